//! The status of a VM, as the administration API returns it.

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

/// Another VM as seen by this VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM's name in its settings.
    pub name: String,
    /// The address on which it listens for peers.
    pub address: String,
    /// One of "alive", "suspect", "dead" and "left".
    pub health: String,
    /// The incarnation to which `health` refers.
    pub incarnation: u64,
}

/// A backend server as seen by its home, or as the home last reported it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server's name, or its id in hexadecimal if it is not in the
    /// configuration.
    pub name: String,
    /// The failure domain of the server; empty if the server is not in the
    /// configuration.
    pub domain: String,
    /// The slots that the configuration gives the server.
    pub slots: u32,
    /// The concurrency limit that the home currently allows.
    pub limit: u32,
    /// Attempts in flight from all VMs; none on a VM that is not the home.
    pub busy: Option<u32>,
    /// One of "down", "cold", "warming", "lowered" and "warm".
    pub warmth: String,
    /// The usual service time in microseconds; 0 if unknown.
    pub usual: u64,
    /// Why the server gets no work; none if it gets work.
    pub closed: Option<String>,
}

/// A shard as seen by this VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The name of the service; empty if it is not in the configuration.
    pub service: String,
    /// The name of the home that this VM follows; none if it follows no home.
    pub home: Option<String>,
    /// The counter of the highest epoch that this VM has followed.
    pub epoch: u64,
    /// Whether this VM is the home.
    pub here: bool,
    /// Whether all VMs have acknowledged the epoch; none on a VM that is not the home.
    pub complete: Option<bool>,
    /// Permit requests in the home's queue; none on a VM that is not the home.
    pub waiting: Option<usize>,
    /// Attempts that this VM has assigned to its fallback slots, without a home.
    pub alone: u64,
    /// The servers of the shard.
    pub servers: Vec<ServerStatus>,
}

/// The state of this VM's copy of the service registry.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistryStatus {
    /// The number of the ticket in force; 0 if none is.
    pub ticket: u64,
    /// How long ago this VM's copy was last found to be up to date.
    #[serde_as(as = "Span")]
    pub age: Duration,
    /// Whether this VM is one of the readers.
    pub reads: bool,
    /// Whether this VM's last attempt to read the registry failed.
    pub away: bool,
    /// The number of servers that have an entry.
    pub servers: usize,
    /// How many restores of the registry from a copy this VM has noticed.
    #[serde(default)]
    pub restores: u64,
}

/// The status of a VM.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The VM's name in its settings.
    pub vm: String,
    /// The VM's failure domain.
    pub domain: String,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The revision of the domain orders in force.
    pub orders: Revision,
    /// How long the configuration and the domain orders have been in force.
    #[serde_as(as = "Span")]
    pub since: Duration,
    /// The time since the process started.
    #[serde_as(as = "Span")]
    pub up: Duration,
    /// The failure domains that are out of service.
    pub out: Vec<String>,
    /// The state of the copy of the service registry; none without a registry.
    #[serde(default)]
    pub registry: Option<RegistryStatus>,
    /// The number of pauses of this VM that were detected since the process started.
    pub pauses: u64,
    /// The other VMs, dead ones included.
    pub vms: Vec<VmStatus>,
    /// The shards of this VM's region.
    pub shards: Vec<ShardStatus>,
}

/// Counters of a ledger that this VM keeps as home.
#[derive(Clone, Copy, Debug)]
pub struct HomeCounts {
    /// The counters of the ledger since the start of its epoch.
    pub counts: Counts,
    /// The permit requests in the queue.
    pub waiting: usize,
    /// The servers that limit the rate of their calls.
    pub rate_limited: usize,
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

/// Returns `time` rounded down to whole milliseconds.
fn whole_millis(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}

impl Shared {
    /// Returns the counters of each ledger that this VM keeps as home.
    pub fn home_counts(&self) -> Vec<HomeCounts> {
        let table = self.table();
        let counts = table.shards().iter().filter_map(|shard| {
            shard.with_coordinator(|coordinator| {
                coordinator.ledger().map(|ledger| HomeCounts {
                    counts: ledger.counts(),
                    waiting: ledger.waiting(),
                    rate_limited: ledger.rate_limited(),
                })
            })
        });
        counts.collect()
    }

    /// Returns the status of this VM.
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
            since: whole_millis(now.saturating_sub(self.in_force_since())),
            up: whole_millis(now),
            out: out.map(|order| order.domain.clone()).collect(),
            registry: self.registry_status(),
            pauses: self.pauses(),
            vms: self.vm_statuses(),
            shards: table
                .shards()
                .iter()
                .map(|s| self.shard_status(s))
                .collect(),
        }
    }

    fn registry_status(&self) -> Option<RegistryStatus> {
        self.registry.as_ref()?;
        let catalog = lock(&self.catalog);
        let servers = catalog.servers().iter();
        Some(RegistryStatus {
            ticket: catalog.layout().map_or(0, |layout| layout.ticket),
            age: Duration::from_millis(u64::from(self.registry_age())),
            reads: self.readers().contains(&self.self_id),
            away: self.is_registry_down(),
            servers: servers.filter(|server| server.value.is_some()).count(),
            restores: self.restores.count(),
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

    /// Returns the name of `vm`, or its id in hexadecimal if the VM is not known.
    fn vm_name(&self, vm: base::VmId) -> String {
        if vm == self.self_id {
            return self.settings.vm.clone();
        }
        let members = lock(&self.members);
        let peer = members.peer(vm);
        peer.map_or_else(|| format!("{vm:x}"), |peer| peer.profile.name.clone())
    }

    fn shard_status(&self, shard: &ShardState) -> ShardStatus {
        let state = self.state();
        let now = self.clock.now();
        let (home, epoch, fallback_count, reported) = shard.with_follower(|follower| {
            let summaries: Vec<ServerSummary> = follower.server_summaries(now).collect();
            (
                follower.home(),
                follower.highest_epoch(),
                follower.fallback_count(),
                summaries,
            )
        });
        let ledger_state = shard.with_coordinator(|coordinator| {
            coordinator.ledger().map(|ledger| {
                let summaries = ledger.server_summaries(now);
                let busy: Vec<u32> = summaries.iter().map(|s| ledger.busy(s.server)).collect();
                (ledger.is_complete(), ledger.waiting(), summaries, busy)
            })
        });
        let summaries = ledger_state.as_ref().map_or(&reported, |ledger| &ledger.2);
        let servers = summaries.iter().enumerate().map(|(index, summary)| {
            let busy = ledger_state.as_ref().map(|ledger| ledger.3[index]);
            self.server_status(shard, summary, busy)
        });
        let service = state.service(shard.service);
        ShardStatus {
            service: service.map(|s| s.name.clone()).unwrap_or_default(),
            home: home.map(|vm| self.vm_name(vm)),
            epoch: epoch.term(),
            here: ledger_state.is_some(),
            complete: ledger_state.as_ref().map(|ledger| ledger.0),
            waiting: ledger_state.as_ref().map(|ledger| ledger.1),
            alone: fallback_count,
            servers: servers.collect(),
        }
    }

    fn server_status(
        &self,
        shard: &ShardState,
        summary: &ServerSummary,
        busy: Option<u32>,
    ) -> ServerStatus {
        let state = self.state();
        let server = state.server(shard.service, summary.server);
        let closed = server.and_then(|server| {
            if state.domain_orders.is_out(&server.domain) {
                Some("its failure domain is out")
            } else if !state.accepts_calls(server) {
                Some("it drains")
            } else if summary.warmth == Warmth::Down {
                Some("it failed and is being probed")
            } else {
                None
            }
        });
        ServerStatus {
            name: server_name(&state, shard.service, summary.server),
            domain: server.map(|s| s.domain.clone()).unwrap_or_default(),
            slots: server.map_or(0, |server| server.slots),
            limit: summary.limit,
            busy,
            warmth: warmth_name(summary.warmth).into(),
            usual: summary.usual.as_micros() as u64,
            closed: closed.map(Into::into),
        }
    }
}

impl Shared {
    /// Returns the latest accepted tickets, the newest last.
    pub fn recent_tickets(&self) -> Vec<conf::head::AcceptedTicket> {
        lock(&self.mirror).head().recent.clone()
    }

    /// Returns whether any ticket in force names the failure domain `name`.
    pub fn has_domain(&self, name: &str) -> bool {
        lock(&self.mirror).head().domain(name).is_some()
    }
}
