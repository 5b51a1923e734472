//! What a VM shows about itself, as the administration API sends it.

use std::time::Duration;

use base::units::Span;
use base::Revision;
use entry::Ports;
use member::Health;
use route::ledger::Counts;
use route::msg::ServerSummary;
use route::msg::Warmth;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::shard::ShardState;
use crate::shared::lock;
use crate::shared::server_name;
use crate::shared::Shared;

/// A VM as this one sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmStatus {
    /// Its name.
    pub name: String,
    /// Its address for peers.
    pub address: String,
    /// Its health.
    pub health: String,
    /// The incarnation that the health is about.
    pub incarnation: u64,
}

/// A backend server as its home sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its slots.
    pub slots: u32,
    /// Calls that it bears now.
    pub limit: u32,
    /// Calls in flight from the whole fleet; none on a VM that is not its home.
    pub busy: Option<u32>,
    /// How warm it is.
    pub warmth: String,
    /// Its usual service time in microseconds.
    pub usual: u64,
    /// Why it gets no work, if it does not.
    pub closed: Option<String>,
}

/// A shard as this VM sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The service.
    pub service: String,
    /// The name of the home, if one is followed.
    pub home: Option<String>,
    /// The count of the epoch that is followed.
    pub epoch: u64,
    /// Whether this VM is the home.
    pub here: bool,
    /// Whether all VMs follow the epoch; none on a VM that is not the home.
    pub complete: Option<bool>,
    /// Calls that wait; none on a VM that is not the home.
    pub waiting: Option<usize>,
    /// Calls that this VM placed without a home.
    pub alone: u64,
    /// The servers.
    pub servers: Vec<ServerStatus>,
}

/// What this VM knows of the users' system of record.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistryStatus {
    /// The ticket in force; 0 if none is.
    pub ticket: u64,
    /// How long ago this VM's knowledge was found to be the newest.
    #[serde_as(as = "Span")]
    pub age: Duration,
    /// Whether this VM is one of those that read for all.
    pub reads: bool,
    /// Whether the system of record failed to answer this VM last.
    pub away: bool,
    /// Servers that have an entry.
    pub servers: usize,
}

/// All that a VM shows.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The revision of the orders about failure domains in force.
    pub orders: Revision,
    /// For how long they have been in force.
    #[serde_as(as = "Span")]
    pub since: Duration,
    /// For how long the VM has run.
    #[serde_as(as = "Span")]
    pub up: Duration,
    /// Failure domains that are out.
    pub out: Vec<String>,
    /// What it knows of the users' system of record, if there is one.
    #[serde(default)]
    pub registry: Option<RegistryStatus>,
    /// Pauses that were noticed.
    pub pauses: u64,
    /// The other VMs.
    pub vms: Vec<VmStatus>,
    /// The shards.
    pub shards: Vec<ShardStatus>,
}

/// A ledger that this VM keeps as home.
#[derive(Clone, Copy, Debug)]
pub struct HomeCounts {
    /// What it counted.
    pub counts: Counts,
    /// Calls that wait.
    pub waiting: usize,
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Alive => "alive",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
        Health::Left => "left",
    }
}

fn warmth_name(warmth: Warmth) -> &'static str {
    match warmth {
        Warmth::Down => "down",
        Warmth::Cold => "cold",
        Warmth::Warming => "warming",
        Warmth::Lowered => "lowered",
        Warmth::Warm => "warm",
    }
}

fn seconds(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}

impl Shared {
    /// Returns what the ledgers that this VM keeps have counted.
    pub fn home_counts(&self) -> Vec<HomeCounts> {
        let table = self.table();
        let counts = table.shards().iter().filter_map(|shard| {
            shard.with_coordinator(|coordinator| {
                coordinator.ledger().map(|ledger| HomeCounts {
                    counts: ledger.counts(),
                    waiting: ledger.waiting(),
                })
            })
        });
        counts.collect()
    }

    /// Returns all that this VM shows.
    pub fn status(&self) -> Status {
        let state = self.state();
        let now = self.clock.now();
        let out = state.domain_orders.orders.iter().filter(|order| order.out);
        let table = self.table();
        Status {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            revision: state.revision,
            orders: state.domain_orders.revision,
            since: seconds(now.saturating_sub(self.in_force_since())),
            up: seconds(now),
            out: out.map(|order| order.domain.clone()).collect(),
            registry: self.registry_status(),
            pauses: self.pauses(),
            vms: self.vm_statuses(),
            shards: table.shards().iter().map(|c| self.shard(c)).collect(),
        }
    }

    fn registry_status(&self) -> Option<RegistryStatus> {
        self.registry.as_ref()?;
        let catalog = lock(&self.catalog);
        let known = catalog.servers().iter();
        Some(RegistryStatus {
            ticket: catalog.layout().map_or(0, |layout| layout.ticket),
            age: Duration::from_millis(u64::from(self.registry_age())),
            reads: self.readers().contains(&self.self_id),
            away: self.is_registry_down(),
            servers: known.filter(|server| server.value.is_some()).count(),
        })
    }

    fn vm_statuses(&self) -> Vec<VmStatus> {
        let members = lock(&self.members);
        let peers = members.peers().iter();
        peers
            .map(|peer| VmStatus {
                name: peer.profile.name.clone(),
                address: peer.profile.address.to_string(),
                health: health_name(peer.health).into(),
                incarnation: peer.incarnation,
            })
            .collect()
    }

    fn vm_name(&self, vm: base::VmId) -> String {
        if vm == self.self_id {
            return self.settings.vm.clone();
        }
        let members = lock(&self.members);
        let peer = members.peer(vm);
        peer.map_or_else(|| format!("{vm:x}"), |peer| peer.profile.name.clone())
    }

    fn shard(&self, shard: &ShardState) -> ShardStatus {
        let state = self.state();
        let now = self.clock.now();
        let (home, epoch, alone, remembered) = shard.with_follower(|follower| {
            let lines: Vec<ServerSummary> = follower.server_summaries(now).collect();
            (
                follower.home(),
                follower.highest_epoch(),
                follower.fallback_count(),
                lines,
            )
        });
        let kept = shard.with_coordinator(|coordinator| {
            coordinator.ledger().map(|ledger| {
                let lines = ledger.server_summaries(now);
                let busy: Vec<u32> = lines.iter().map(|l| ledger.busy(l.server)).collect();
                (ledger.is_complete(), ledger.waiting(), lines, busy)
            })
        });
        let lines = kept.as_ref().map_or(&remembered, |kept| &kept.2);
        let servers = lines.iter().enumerate().map(|(at, line)| {
            let busy = kept.as_ref().map(|kept| kept.3[at]);
            self.server(shard, line, busy)
        });
        let service = state.service(shard.service);
        ShardStatus {
            service: service.map(|s| s.name.clone()).unwrap_or_default(),
            home: home.map(|vm| self.vm_name(vm)),
            epoch: epoch.count,
            here: kept.is_some(),
            complete: kept.as_ref().map(|kept| kept.0),
            waiting: kept.as_ref().map(|kept| kept.1),
            alone,
            servers: servers.collect(),
        }
    }

    fn server(&self, shard: &ShardState, line: &ServerSummary, busy: Option<u32>) -> ServerStatus {
        let state = self.state();
        let known = state.server(shard.service, line.server);
        let closed = known.and_then(|server| {
            if state.domain_orders.is_out(&server.domain) {
                Some("its failure domain is out")
            } else if !state.accepts_calls(server) {
                Some("it drains")
            } else if line.warmth == Warmth::Down {
                Some("it failed and is being probed")
            } else {
                None
            }
        });
        ServerStatus {
            name: server_name(&state, shard.service, line.server),
            domain: known.map(|s| s.domain.clone()).unwrap_or_default(),
            slots: known.map_or(0, |server| server.slots),
            limit: line.limit,
            busy,
            warmth: warmth_name(line.warmth).into(),
            usual: line.usual.as_micros() as u64,
            closed: closed.map(Into::into),
        }
    }
}

impl Shared {
    /// Returns the last accepted tickets, the newest last.
    pub fn recent_tickets(&self) -> Vec<conf::head::AcceptedTicket> {
        lock(&self.mirror).head().recent.clone()
    }

    /// Returns whether any ticket in force names the failure domain.
    pub fn has_domain(&self, name: &str) -> bool {
        lock(&self.mirror).head().domain(name).is_some()
    }
}
