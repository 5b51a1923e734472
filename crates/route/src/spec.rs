//! What the decisions have to know about a service and its servers.

use std::time::Duration;

use base::rendezvous;
use base::DomainId;
use base::ServerId;
use base::ServiceId;
use base::ShardId;
use base::VmId;

/// The most servers of a service that one home looks after wherever they stand;
/// with more, each failure domain has a home of its own. Below it, a home for
/// each domain would choose among few servers.
pub const SHARED_HOME_SERVERS_MAX: usize = 32;
/// The most servers of one domain that one home looks after.
pub const SHARD_SERVERS_MAX: usize = 128;
/// Second attempts beyond their share in ten seconds, where nobody says more.
const SLACK: u32 = 10;
/// The share of a server's connections that the fleet uses, in percent; the
/// rest is for connections that close while others open.
const CONNECTION_PERCENT: usize = 90;

/// One server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Its id.
    pub id: ServerId,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// Calls it runs at once.
    pub slots: u32,
    /// Connections it bears from the whole fleet.
    pub connections: u32,
    /// Whether it may get new work: neither draining nor in a domain that is out.
    pub open: bool,
    /// What it says of its start.
    pub announced: Announcement,
}

/// What a server says of its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Announcement {
    /// Nothing, so that it may have started at any time.
    #[default]
    Unknown,
    /// It bears little yet; the number changes each time that it says so anew.
    Cold(u64),
    /// It bears its slots.
    Warm,
}

/// One shard of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSpec {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// The failure domain of its servers; none if they may stand in several.
    pub domain: Option<DomainId>,
    /// The servers, sorted by id.
    pub servers: Vec<ServerSpec>,
    /// Calls in flight that a cold server bears.
    pub cold_limit: u32,
    /// Healthy answers after which a cold server's limit grows by one.
    pub grow_after: u32,
    /// Whether the servers queue what is beyond their slots.
    pub server_queues: bool,
    /// Second attempts per hundred first ones.
    pub retry_percent: u32,
    /// Second attempts beyond that share in ten seconds.
    pub retry_slack: u32,
    /// Hedged attempts per hundred first ones.
    pub hedge_percent: u32,
    /// Hedged attempts beyond that share in ten seconds.
    pub hedge_slack: u32,
    /// The slot time that a probe costs.
    pub probe_cost: Duration,
    /// The most slot time for probes, in hundredths of a percent.
    pub probe_share: u32,
    /// Calls a second that a cold server bears; 0 for no such bound.
    pub cold_rate: f64,
    /// For how long a server that has restarted is cold.
    pub cold_duration: Duration,
    /// The longest deadline of a call.
    pub max_deadline: Duration,
}

impl ShardSpec {
    /// Makes the specification of a service with one shard and usual numbers.
    pub fn new(service: ServiceId, mut servers: Vec<ServerSpec>) -> Self {
        servers.sort_by_key(|server| server.id);
        Self {
            service,
            shard: base::id::shard(service, 0),
            domain: None,
            servers,
            cold_limit: 1,
            grow_after: 16,
            server_queues: true,
            retry_percent: 10,
            retry_slack: SLACK,
            hedge_percent: 0,
            hedge_slack: SLACK,
            probe_cost: Duration::from_millis(6),
            probe_share: 100,
            cold_rate: 0.0,
            cold_duration: Duration::ZERO,
            max_deadline: Duration::ZERO,
        }
    }

    /// Splits the servers into a shard for each failure domain if they are many,
    /// and those of a large domain into parts.
    ///
    /// A server's part follows from its id, so that adding one moves no other
    /// unless the number of parts changes. Each shard gets its part of the slack
    /// of second attempts, which is the whole service's.
    pub fn shards(mut self) -> Vec<Self> {
        if self.servers.len() <= SHARED_HOME_SERVERS_MAX {
            return vec![self];
        }
        let servers = std::mem::take(&mut self.servers);
        let mut domains: Vec<DomainId> = servers.iter().map(|s| s.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let mut shards = Vec::new();
        for domain in domains {
            let all = servers.iter().filter(|s| s.domain == domain);
            let count = all.clone().count().div_ceil(SHARD_SERVERS_MAX) as u32;
            for n in 0..count {
                let part = all
                    .clone()
                    .filter(|s| s.id % u64::from(count) == u64::from(n));
                shards.push(Self {
                    shard: base::id::shard_in(self.service, domain, n),
                    domain: Some(domain),
                    servers: part.cloned().collect(),
                    ..self.clone()
                });
            }
        }
        shards.retain(|shard| !shard.servers.is_empty());
        let count = shards.len() as u32;
        for shard in &mut shards {
            shard.retry_slack /= count;
            shard.hedge_slack /= count;
        }
        shards
    }

    /// Returns the server with `id`.
    pub fn server(&self, id: ServerId) -> Option<&ServerSpec> {
        let at = self.servers.binary_search_by_key(&id, |server| server.id);
        at.ok().map(|at| &self.servers[at])
    }

    /// Returns the slots of all servers that may get work.
    pub fn open_slots(&self) -> u32 {
        let open = self.servers.iter().filter(|server| server.open);
        open.map(|server| server.slots).sum()
    }
}

impl ServerSpec {
    /// Returns the VMs of `fleet` that may connect to the server, sorted.
    ///
    /// In a fleet larger than the server's connections only some VMs may. They
    /// are chosen by rank, so that few change when a VM comes or goes.
    pub fn admitted_vms(&self, fleet: &[VmId]) -> Vec<VmId> {
        let mut vms = rendezvous::top(self.id, fleet, usable(self.connections));
        vms.sort_unstable();
        vms
    }
}

/// Returns how many of a server's `connections` each of `fleet` VMs may keep.
pub fn connections_per_vm(connections: u32, fleet: usize) -> usize {
    (usable(connections) / fleet.max(1)).max(1)
}

fn usable(connections: u32) -> usize {
    (connections as usize * CONNECTION_PERCENT / 100).max(1)
}
