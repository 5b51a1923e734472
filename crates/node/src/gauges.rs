//! Gauges that read their values from the VM's state whenever metrics are collected.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Weak;

use entry::Ports;
use opentelemetry::metrics::Meter;
use route::ledger::RANK_COUNTS;
use route::quota::Counts;

use crate::shared::Shared;

/// Registers the gauges of a VM. They hold only weak references to `shared`.
pub(crate) fn register(shared: &Arc<Shared>) {
    let meter = shared.metrics.meter();
    let weak = Arc::downgrade(shared);
    gauge(&meter, &weak, "vms_alive", "Entry VMs that answer", |s| {
        s.view().total_alive as u64
    });
    gauge(&meter, &weak, "revision", "Revision in force", |s| {
        s.state().revision
    });
    gauge(
        &meter,
        &weak,
        "domain_orders",
        "Orders about failure domains in force",
        |s| s.state().domain_orders.revision,
    );
    gauge(
        &meter,
        &weak,
        "listeners_waiting",
        "Listen addresses that cannot be bound yet",
        |s| s.listeners.waiting_count() as u64,
    );
    gauge(
        &meter,
        &weak,
        "pauses",
        "Pauses of this VM that were noticed",
        Shared::pauses,
    );
    gauge(
        &meter,
        &weak,
        "registry_restores",
        "Restores of the registry from a copy that were noticed",
        |s| s.restores.count(),
    );
    gauge(
        &meter,
        &weak,
        "registry_cut_pages",
        "Pages of lists that ended early, at entries whose bytes do not balance",
        |s| s.cut_pages.load(Ordering::Relaxed),
    );
    gauge(
        &meter,
        &weak,
        "held_removals",
        "Removals of servers and orders that wait for the return of their entries",
        |s| crate::shared::lock(&s.catalog).held_count() as u64,
    );
    gauge(
        &meter,
        &weak,
        "buffer_bytes",
        "Bytes of memory that are reserved for callers",
        |s| s.memory.used() as u64,
    );
    gauge(
        &meter,
        &weak,
        "buffer_max_bytes",
        "Bytes of memory that may be reserved for callers",
        |s| s.memory.max_bytes() as u64,
    );
    gauge(
        &meter,
        &weak,
        "buffer_waits",
        "Reads and early starts that waited for memory",
        |s| s.memory.waits(),
    );
    gauge(
        &meter,
        &weak,
        "caller_connections",
        "Open connections of callers",
        |s| s.caller_connections.count() as u64,
    );
    gauge(
        &meter,
        &weak,
        "resident_bytes",
        "Resident memory of the process",
        |_| obs::process::memory().resident,
    );
    gauge(
        &meter,
        &weak,
        "resident_peak_bytes",
        "Most resident memory of the process since its start",
        |_| obs::process::memory().peak,
    );
    gauge(
        &meter,
        &weak,
        "descriptors",
        "Open descriptors of the process",
        |_| obs::process::descriptors(),
    );
    gauge(
        &meter,
        &weak,
        "descriptors_max",
        "Descriptors that the process may have open",
        |_| obs::process::limits().descriptors.unwrap_or(u64::MAX),
    );
    gauge(
        &meter,
        &weak,
        "panics",
        "Panics since the process started",
        |_| obs::panics::count(),
    );
    gauge(
        &meter,
        &weak,
        "servers_denied",
        "Servers that leave or asked this VM for no calls",
        |s| s.denied_servers().len() as u64,
    );
    gauge(
        &meter,
        &weak,
        "path_lost",
        "Whether this VM reaches no server and relays its calls",
        |s| u64::from(s.reach.is_lost()),
    );
    gauge(
        &meter,
        &weak,
        "requests_rejected",
        "Requests that are rejected because servers crashed while they ran them",
        |s| crate::shared::lock(&s.crashes).rejected_count(s.clock.now()) as u64,
    );
    gauge(
        &meter,
        &weak,
        "peer_messages",
        "Messages sent to peers",
        |s| s.outbox.sent().msgs,
    );
    gauge(
        &meter,
        &weak,
        "peer_datagrams",
        "Datagrams sent to peers",
        |s| s.outbox.sent().datagrams,
    );
    gauge(&meter, &weak, "peer_bytes", "Bytes sent to peers", |s| {
        s.outbox.sent().bytes
    });
    gauge(
        &meter,
        &weak,
        "probes",
        "Probes that this VM's homes asked for",
        |s| s.home_counts().iter().map(|home| home.counts.probes).sum(),
    );
    gauge(
        &meter,
        &weak,
        "waiting",
        "Calls that wait at this VM's homes",
        |s| s.home_counts().iter().map(|home| home.waiting as u64).sum(),
    );
    for (rank, name) in REFUSED_BY_RANK.into_iter().enumerate() {
        gauge(
            &meter,
            &weak,
            name,
            "Calls of this rank that this VM's homes refused; the last one has all from 3 on",
            move |s| {
                let homes = s.home_counts();
                homes.iter().map(|h| h.counts.refused_by_rank[rank]).sum()
            },
        );
    }
    gauge(
        &meter,
        &weak,
        "evicted",
        "Calls that this VM's homes refused after they had been queued, as dearer ones came",
        |s| s.home_counts().iter().map(|h| h.counts.evicted).sum(),
    );
    gauge(
        &meter,
        &weak,
        "servers_rate_limited",
        "Servers of this VM's homes that limit the rate of their calls",
        |s| {
            s.home_counts()
                .iter()
                .map(|home| home.rate_limited as u64)
                .sum()
        },
    );
    gauge(
        &meter,
        &weak,
        "registry_age_ms",
        "Time since the copy of the registry was known to be up to date",
        |s| u64::from(s.registry_age()),
    );
    register_quotas(&meter, &weak);
    register_rollouts(&meter, &weak);
    gauge(
        &meter,
        &weak,
        "platform_calls",
        "Calls to the platform by the watcher",
        |s| crate::shared::lock(&s.budget).calls(),
    );
}

/// Registers the gauges of the quotas of teams.
fn register_quotas(meter: &Meter, weak: &Weak<Shared>) {
    let count = |name, description, value: fn(&Counts) -> u64| {
        gauge(meter, weak, name, description, move |s| {
            value(&s.quota_counts().counts)
        });
    };
    count("quota_granted", "Calls that got a token of a quota", |c| {
        c.granted
    });
    count("quota_refused", "Calls beyond the quota of a team", |c| {
        c.refused
    });
    count(
        "quota_unanswered",
        "Calls refused because no home of the quotas answered",
        |c| c.unanswered,
    );
    count("quota_messages", "Messages sent about quotas", |c| {
        c.messages
    });
    gauge(
        meter,
        weak,
        "quota_wait_us",
        "Time that calls waited for tokens of quotas, in total",
        |s| s.quota_counts().waited.as_micros() as u64,
    );
    gauge(
        meter,
        weak,
        "quota_share_permille",
        "Share of the quotas that this VM holds as a home",
        |s| (s.quota_counts().share * 1e3) as u64,
    );
}

/// The names of the gauges of refused calls, by rank.
const REFUSED_BY_RANK: [&str; RANK_COUNTS] = [
    "refused_rank_0",
    "refused_rank_1",
    "refused_rank_2",
    "refused_rank_3",
];

/// Registers the gauges of roll-outs, which count what this VM's homes have counted.
fn register_rollouts(meter: &Meter, weak: &Weak<Shared>) {
    gauge(
        meter,
        weak,
        "rollouts_running",
        "Roll-outs that are under way",
        |s| s.running_rollouts() as u64,
    );
    gauge(
        meter,
        weak,
        "rollout_firsts",
        "First attempts of services under roll-out",
        |s| s.rollout_counts().firsts,
    );
    gauge(
        meter,
        weak,
        "rollout_exposed",
        "Attempts that went to versions on trial",
        |s| s.rollout_counts().exposed,
    );
    gauge(
        meter,
        weak,
        "rollout_old_bad",
        "Failed and slow responses of versions next to one on trial",
        |s| s.rollout_counts().old_bad,
    );
    gauge(
        meter,
        weak,
        "rollout_target_bad",
        "Failed and slow responses of versions on trial",
        |s| s.rollout_counts().target_bad,
    );
}

fn gauge(
    meter: &Meter,
    weak: &Weak<Shared>,
    name: &'static str,
    description: &'static str,
    value: impl Fn(&Shared) -> u64 + Send + Sync + 'static,
) {
    let weak = weak.clone();
    let _gauge = meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            if let Some(shared) = weak.upgrade() {
                observer.observe(value(&shared), &[]);
            }
        })
        .build();
}
