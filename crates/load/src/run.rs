//! Runs an experiment under one policy: starts a fleet, its callers and its
//! faults, and computes the figures of the run.

use std::sync::Arc;
use std::time::Duration;

use conf::settings::Policy;
use serde::Deserialize;
use serde::Serialize;
use standin::timer::WakeupStats;

use crate::callers::Balancer;
use crate::callers::Callers;
use crate::checks::Broken;
use crate::faults;
use crate::faults::Injector;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::tally::End;
use crate::tally::Percentiles;
use crate::tally::Tally;

/// Figures of one service in a run. Only calls after the warm-up count.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceResult {
    /// Name of the service.
    pub service: String,
    /// Number of calls.
    pub calls: usize,
    /// Calls whose callers received the complete response of a server.
    pub served: usize,
    /// Calls that the load balancer reported as not run.
    pub not_run: usize,
    /// Calls of which the load balancer reported that they may have run.
    pub unknown: usize,
    /// Calls without a complete response.
    pub cut: usize,
    /// Attempts after the first one, summed over all calls.
    pub retries: u32,
    /// Latency percentiles of the served calls.
    pub tail: Percentiles,
    /// Percentiles of the time that the entry VMs added.
    pub added: Percentiles,
    /// Calls to which each failure domain responded, in the order of the plan.
    pub domains: Vec<usize>,
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the plan.
    pub plan: String,
    /// Policy of the entry VMs.
    pub policy: Policy,
    /// Number of entry VMs.
    pub vms: usize,
    /// Load, as the share of slots that it keeps busy.
    pub load: f64,
    /// Seed of the plan.
    pub seed: u64,
    /// Figures of each service, in the order of the plan.
    pub services: Vec<ServiceResult>,
    /// Latency percentiles of all served calls after the warm-up.
    pub tail: Percentiles,
    /// Percentiles of the time that the entry VMs added to calls after the
    /// warm-up.
    pub added: Percentiles,
    /// Violations of guarantees, over all calls including the warm-up.
    #[serde(rename = "broken")]
    pub violations: Broken,
    /// Longest time from an order that took a domain out of service until the
    /// domain last began a call; zero without such an order.
    pub late: Duration,
    /// Share of the slot time of all servers that probes took.
    pub probes: f64,
    /// Datagrams between entry VMs, per call.
    pub datagrams: f64,
    /// Bytes between entry VMs, per call.
    pub bytes: f64,
    /// Messages between entry VMs, per call.
    pub messages: f64,
    /// CPU time of the whole process per call, in milliseconds.
    pub cpu: f64,
    /// Share of the timer wake-ups of stand-ins and callers that came 1 ms late or
    /// more. A high share means that the machine was too busy for the figures to
    /// be trusted.
    pub unpunctual: f64,
}

/// Runs `plan` once with `options`. Returns the figures of the run and the
/// results of the calls after the warm-up.
pub async fn run(plan: &Plan, options: &FleetOptions) -> anyhow::Result<(Outcome, Tally)> {
    let fleet = Fleet::start(plan, options).await?;
    let balancer = Arc::new(Balancer::new(
        fleet.vms.iter().map(|vm| vm.callers).collect(),
    ));
    let callers = Callers::new(Arc::new(plan.clone()), balancer.clone());
    let cpu = cpu_secs();
    let punctuality = WakeupStats::now();
    let sent = sent_counts(&fleet);
    let injector = Injector::new(&fleet, balancer);
    let measure_start = fleet.clock.now() + plan.warmup;
    let duration = plan.warmup + plan.time;
    let load = futures_lite::future::zip(
        callers.run(duration),
        injector.run(&plan.events, fleet.clock, measure_start),
    );
    let noise = async {
        match plan.noise {
            Some(noise) => faults::inject_noise(&fleet, noise, plan.seed).await,
            None => std::future::pending().await,
        }
    };
    let noise = async {
        noise.await;
        unreachable!("noise never ends")
    };
    let (all, outages) = futures_lite::future::or(load, noise).await;
    let mut outages = outages?;
    faults::update_outages(&fleet, &mut outages);
    let tally = all.between(plan.warmup, duration);
    let vms_sound = !plan.events.iter().any(|event| hits_vms(&event.fault));
    let calls = all.samples.len().max(1) as f64;
    let now = self::sent_counts(&fleet);
    let outcome = Outcome {
        plan: plan.name.clone(),
        policy: options.policy,
        vms: options.vms,
        load: plan.load,
        seed: plan.seed,
        services: services(plan, &tally),
        tail: tally.latency(),
        added: tally.added_time(),
        violations: Broken::check(&fleet, &all, &outages, vms_sound),
        late: outages.iter().map(|o| o.late_by).max().unwrap_or_default(),
        probes: probe_share(plan, &fleet, duration),
        datagrams: (now.datagrams - sent.datagrams) as f64 / calls,
        bytes: (now.bytes - sent.bytes) as f64 / calls,
        messages: (now.msgs - sent.msgs) as f64 / calls,
        cpu: (cpu_secs() - cpu) * 1e3 / calls,
        unpunctual: WakeupStats::now().late_share_since(&punctuality),
    };
    fleet.stop().await;
    Ok((outcome, tally))
}

/// Returns whether `fault` kills or pauses VMs.
fn hits_vms(fault: &Fault) -> bool {
    matches!(
        fault,
        Fault::DomainVanish { .. }
            | Fault::DomainFreeze { .. }
            | Fault::KillHome { .. }
            | Fault::PauseHome { .. }
    )
}

fn services(plan: &Plan, tally: &Tally) -> Vec<ServiceResult> {
    let result = |(index, service): (usize, &crate::plan::ServicePlan)| {
        let tally = tally.of_service(index);
        let served = |domain: usize| {
            let samples = tally.samples.iter();
            samples.filter(|s| s.domain == Some(domain)).count()
        };
        ServiceResult {
            service: service.name.clone(),
            calls: tally.samples.len(),
            served: tally.count(End::Served),
            not_run: tally.count(End::NotRun),
            unknown: tally.count(End::Unknown),
            cut: tally.count(End::Cut),
            retries: tally.samples.iter().map(|sample| sample.retries).sum(),
            tail: tally.latency(),
            added: tally.added_time(),
            domains: (0..plan.domains.len()).map(served).collect(),
        }
    };
    plan.services.iter().enumerate().map(result).collect()
}

/// Returns the sum of the messages, datagrams and bytes that the entry VMs have
/// sent to each other.
pub fn sent_counts(fleet: &Fleet) -> wire::outbox::SentCounts {
    let mut all = wire::outbox::SentCounts::default();
    for vm in &fleet.vms {
        let sent = vm.shared.outbox.sent();
        all.msgs += sent.msgs;
        all.datagrams += sent.datagrams;
        all.bytes += sent.bytes;
    }
    all
}

fn probe_share(plan: &Plan, fleet: &Fleet, time: Duration) -> f64 {
    let probe_time = fleet
        .servers
        .iter()
        .map(|server| server.backend.with_record(|record| record.probe_time));
    let probe_time: Duration = probe_time.sum();
    let slots: f64 = plan
        .services
        .iter()
        .map(|s| s.servers as f64 * f64::from(s.slots))
        .sum();
    probe_time.as_secs_f64() / (slots * time.as_secs_f64())
}

/// Returns the CPU time that this process has used, in seconds, from
/// `/proc/self/stat`; 0 on systems other than Linux.
pub fn cpu_secs() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        fields
            .get(index)
            .and_then(|f| f.parse().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
