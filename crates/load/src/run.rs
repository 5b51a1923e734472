//! One run: a fleet, its callers and its faults, and what came of it.

use std::sync::Arc;
use std::time::Duration;

use conf::settings::Policy;
use serde::Deserialize;
use serde::Serialize;
use standin::sleeper::Punctuality;

use crate::callers::Balancer;
use crate::callers::Callers;
use crate::checks::Violations;
use crate::faults;
use crate::faults::Injector;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::tally::End;
use crate::tally::Percentiles;
use crate::tally::Tally;

/// What came of one service in a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceResult {
    /// Its name.
    pub service: String,
    /// Its calls.
    pub calls: usize,
    /// Calls served.
    pub served: usize,
    /// Calls answered as not run.
    pub not_run: usize,
    /// Calls answered as perhaps run.
    pub unknown: usize,
    /// Calls that got no answer.
    pub cut: usize,
    /// Attempts after the first ones.
    pub retries: u32,
    /// Times of served calls.
    pub tail: Percentiles,
    /// Times added by the entry VMs.
    pub added: Percentiles,
    /// Calls served by each failure domain, in the plan's order.
    pub domains: Vec<usize>,
}

/// What came of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The plan's name.
    pub plan: String,
    /// The policy.
    pub policy: Policy,
    /// The entry VMs.
    pub vms: usize,
    /// The load.
    pub load: f64,
    /// The seed.
    pub seed: u64,
    /// The services.
    pub services: Vec<ServiceResult>,
    /// Times of all served calls.
    pub tail: Percentiles,
    /// Times added by the entry VMs to all calls.
    pub added: Percentiles,
    /// Broken promises.
    #[serde(rename = "broken")]
    pub violations: Violations,
    /// The longest time after which a domain that was out still got work.
    pub late: Duration,
    /// The share of slot time that probes took.
    pub probes: f64,
    /// Datagrams between entry VMs for each call.
    pub datagrams: f64,
    /// Bytes between entry VMs for each call.
    pub bytes: f64,
    /// Messages between entry VMs for each call.
    pub messages: f64,
    /// Processor seconds of the whole process for each thousand calls.
    pub cpu: f64,
    /// The share of the stand-ins' wake-ups that came a millisecond late or
    /// more: how busy the machine was with other things.
    pub unpunctual: f64,
}

/// Runs `plan` once under `start`; returns what came of it and every call.
pub async fn run(plan: &Plan, options: &FleetOptions) -> anyhow::Result<(Outcome, Tally)> {
    let fleet = Fleet::start(plan, options).await?;
    let balancer = Arc::new(Balancer::new(
        fleet.vms.iter().map(|vm| vm.callers).collect(),
    ));
    let callers = Callers::new(Arc::new(plan.clone()), balancer.clone());
    let cpu = cpu_secs();
    let punctuality = Punctuality::now();
    let sent = sent_counts(&fleet);
    let injector = Injector::new(&fleet, balancer);
    let begun = fleet.clock.now() + plan.warmup;
    let whole = plan.warmup + plan.time;
    let load = futures_lite::future::zip(
        callers.run(whole),
        injector.run(&plan.events, fleet.clock, begun),
    );
    let noise = async {
        match plan.noise {
            Some(noise) => faults::inject_noise(&fleet, noise, plan.seed).await,
            None => std::future::pending().await,
        }
    };
    let noise = async {
        noise.await;
        unreachable!("noise has no end")
    };
    let (all, outages) = futures_lite::future::or(load, noise).await;
    let mut outages = outages?;
    faults::update_outages(&fleet, &mut outages);
    let tally = all.between(plan.warmup, whole);
    let calm = !plan.events.iter().any(|event| breaks_vms(&event.fault));
    let calls = all.samples.len().max(1) as f64;
    let now = sent_counts(&fleet);
    let outcome = Outcome {
        plan: plan.name.clone(),
        policy: options.policy,
        vms: options.vms,
        load: plan.load,
        seed: plan.seed,
        services: services(plan, &tally),
        tail: tally.latency(),
        added: tally.added_time(),
        violations: Violations::check(&fleet, &all, &outages, calm),
        late: outages.iter().map(|o| o.late).max().unwrap_or_default(),
        probes: probe_share(plan, &fleet, whole),
        datagrams: (now.datagrams - sent.datagrams) as f64 / calls,
        bytes: (now.bytes - sent.bytes) as f64 / calls,
        messages: (now.msgs - sent.msgs) as f64 / calls,
        cpu: (cpu_secs() - cpu) * 1e3 / calls,
        unpunctual: Punctuality::now().late_since(&punctuality),
    };
    fleet.stop().await;
    Ok((outcome, tally))
}

fn breaks_vms(fault: &Fault) -> bool {
    matches!(
        fault,
        Fault::DomainVanish { .. }
            | Fault::DomainFreeze { .. }
            | Fault::KillHome { .. }
            | Fault::PauseHome { .. }
    )
}

fn services(plan: &Plan, tally: &Tally) -> Vec<ServiceResult> {
    let result = |(at, service): (usize, &crate::plan::ServicePlan)| {
        let tally = tally.of_service(at);
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

/// Returns what all entry VMs together have sent to each other.
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
    let spent = fleet
        .servers
        .iter()
        .map(|member| member.backend.with_record(|record| record.probe_time));
    let spent: Duration = spent.sum();
    let slots: f64 = plan
        .services
        .iter()
        .map(|s| s.servers as f64 * f64::from(s.slots))
        .sum();
    spent.as_secs_f64() / (slots * time.as_secs_f64())
}

/// Returns the processor seconds that this process has used, from Linux's
/// `/proc/self/stat`; 0 elsewhere.
pub fn cpu_secs() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| -> f64 { fields.get(at).and_then(|f| f.parse().ok()).unwrap_or(0.0) };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
