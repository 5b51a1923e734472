//! The part of a service's configuration that routing decisions depend on, by shard.

use std::time::Duration;

use base::rendezvous;
use base::DomainId;
use base::ServerId;
use base::ServiceId;
use base::ShardId;
use base::VmId;

use crate::rollout::Terms;
use crate::rollout::VersionGroup;

/// The most servers of a service that share one home, whatever their failure domains.
/// With more servers, each failure domain has a home of its own. With fewer, a home per
/// failure domain would have few servers to choose from.
pub const SHARED_HOME_SERVERS_MAX: usize = 32;
/// The most servers of one failure domain that share one home, on average over the
/// shards of the domain.
pub const SHARD_SERVERS_MAX: usize = 128;
/// The default number of retries and of hedges in ten seconds beyond their percentage
/// of the first attempts.
const DEFAULT_SLACK: u32 = 10;
/// The share of a server's connections that the entry VMs use. The rest allows for
/// connections that are still closing while new ones are opened.
const USABLE_CONNECTIONS_PERCENT: usize = 90;

/// The configuration of one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Id of the server.
    pub id: ServerId,
    /// The failure domain that the server is in.
    pub domain: DomainId,
    /// Calls that the server runs at once when it is warm.
    pub slots: u32,
    /// Connections that the server accepts from all VMs together.
    pub connections: u32,
    /// Whether the server may be given calls: it is neither draining nor in a failure
    /// domain that is out of service.
    pub open: bool,
    /// The server's version with regard to a roll-out.
    pub version: VersionGroup,
    /// The warmth that the server announced in the registry.
    pub announced: Announcement,
}

/// The warmth that a server announced in the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Announcement {
    /// The server announced nothing, so it may restart without notice.
    #[default]
    Unknown,
    /// The server is cold. The number changes with each announcement that it is, so
    /// that a new start can be distinguished from an earlier one.
    Cold(u64),
    /// The server is warm and can run as many calls as it has slots.
    Warm,
}

/// The configuration of one shard of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSpec {
    /// The service that the shard belongs to.
    pub service: ServiceId,
    /// Id of the shard.
    pub shard: ShardId,
    /// The failure domain of the shard's servers, or none if they may be in several.
    pub domain: Option<DomainId>,
    /// The shard's servers, sorted by id.
    pub servers: Vec<ServerSpec>,
    /// The concurrency limit of a cold server.
    pub cold_limit: u32,
    /// Healthy responses after which the limit of a server that is not warm grows by
    /// one.
    pub grow_after: u32,
    /// Whether the servers queue calls beyond their slots rather than refuse them.
    pub server_queues: bool,
    /// Retries and rescues per hundred first attempts; 0 allows none.
    pub retry_percent: u32,
    /// Retries and rescues beyond that percentage in ten seconds.
    pub retry_slack: u32,
    /// Hedges per hundred first attempts; 0 allows none.
    pub hedge_percent: u32,
    /// Hedges beyond that percentage in ten seconds.
    pub hedge_slack: u32,
    /// How long a probe occupies a slot of a server.
    pub probe_cost: Duration,
    /// The share of a server's slot time that health checks may use, in hundredths of
    /// a percent; 0 disables them.
    pub probe_share: u32,
    /// Calls per second that a cold server can handle; 0 means no limit.
    pub cold_rate: f64,
    /// For how long a server stays cold after a restart.
    pub cold_duration: Duration,
    /// The longest deadline of the service's calls.
    pub max_deadline: Duration,
    /// The terms of the roll-out that is under way; none if there is none.
    pub rollout: Option<Terms>,
}

impl ShardSpec {
    /// Creates the configuration of a service with one shard and default settings.
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
            retry_slack: DEFAULT_SLACK,
            hedge_percent: 0,
            hedge_slack: DEFAULT_SLACK,
            probe_cost: Duration::from_millis(6),
            probe_share: 100,
            cold_rate: 0.0,
            cold_duration: Duration::ZERO,
            max_deadline: Duration::ZERO,
            rollout: None,
        }
    }

    /// Splits the service into shards.
    ///
    /// A service of at most [`SHARED_HOME_SERVERS_MAX`] servers keeps one shard. A larger
    /// one gets a shard for each failure domain, and several for a domain with more than
    /// [`SHARD_SERVERS_MAX`] servers. A server's shard within its domain follows from its
    /// id, so an added server moves no other server unless the number of shards changes.
    ///
    /// The slack for second attempts belongs to the whole service and is divided among
    /// the shards.
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

    /// Returns the server with `id`, or none if the shard does not have it.
    pub fn server(&self, id: ServerId) -> Option<&ServerSpec> {
        let found = self.servers.binary_search_by_key(&id, |server| server.id);
        found.ok().map(|i| &self.servers[i])
    }

    /// Returns the total slots of the servers that may be given calls.
    pub fn open_slots(&self) -> u32 {
        let open = self.servers.iter().filter(|server| server.open);
        open.map(|server| server.slots).sum()
    }
}

impl ServerSpec {
    /// Returns the VMs of `fleet`, which is sorted, that may connect to the server, sorted.
    ///
    /// If there are more VMs than the server accepts connections, only some of them
    /// may. They are chosen by rendezvous hash, so that few change when a VM joins or
    /// leaves.
    pub fn admitted_vms(&self, fleet: &[VmId]) -> Vec<VmId> {
        if fleet.len() <= usable_connections(self.connections) {
            return fleet.to_vec();
        }
        let mut vms = rendezvous::top(self.id, fleet, usable_connections(self.connections));
        vms.sort_unstable();
        vms
    }
}

/// Returns how many of a server's `connections` each of `fleet` VMs may use, at least
/// one.
pub fn connections_per_vm(connections: u32, fleet: usize) -> usize {
    (usable_connections(connections) / fleet.max(1)).max(1)
}

fn usable_connections(connections: u32) -> usize {
    (connections as usize * USABLE_CONNECTIONS_PERCENT / 100).max(1)
}
