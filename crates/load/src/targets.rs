//! The targets of the design, measured on this machine.
//!
//! Each row compares figures of runs made one after the other in one process,
//! so that they are ratios rather than claims about a machine. The cost of
//! control at full size is worked out in `docs/CAPACITY.md` and not here.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use conf::settings::Policy;
use entry::Ports;
use serde::Deserialize;
use serde::Serialize;

use crate::checks::Violations;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::plan::Event;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::run;
use crate::run::Outcome;
use crate::tally::End;
use crate::tally::Tally;

/// The deployments that are measured.
const DEPLOYMENTS: [&str; 2] = [
    include_str!("../../../experiments/port-louis.json"),
    include_str!("../../../experiments/lone-star.json"),
];
/// The length of one slice of time in which goodput is compared.
const SLICE: Duration = Duration::from_millis(500);
/// Runs of one experiment at the most while the machine is busy.
const RUNS: usize = 3;
/// The time from which a run is repeated at all; short ones are to be quick.
const LONG: Duration = Duration::from_secs(8);
/// The share of late wake-ups above which a run is repeated.
const UNPUNCTUAL_MAX: f64 = 0.003;
/// The time after a domain has vanished in which calls may be lost.
const SETTLED: Duration = Duration::from_secs(1);
/// The longest wait for a ticket to be in force everywhere.
const IN_FORCE_MAX: Duration = Duration::from_secs(20);
/// Tickets whose way into force is timed.
const TICKETS: u64 = 5;
/// The part of the load that is left when few call.
const FEW: f64 = 0.002;

/// One measure with its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The deployment.
    pub plan: String,
    /// What is measured.
    pub measure: String,
    /// The greatest figure that meets the target.
    pub most: f64,
    /// The figure.
    pub figure: f64,
}

impl Row {
    fn new(plan: &Plan, measure: &str, most: f64, figure: f64) -> Self {
        Self {
            plan: plan.name.clone(),
            measure: measure.into(),
            most,
            figure,
        }
    }

    /// Returns whether the target is met.
    pub fn is_met(&self) -> bool {
        self.figure <= self.most
    }

    /// Describes the row.
    pub fn text(&self) -> String {
        let word = if self.is_met() { "met" } else { "MISSED" };
        format!(
            "{:<12} {:<58} at most {:>8.3}  is {:>8.3}  {word}",
            self.plan, self.measure, self.most, self.figure
        )
    }
}

/// How to measure.
#[derive(Clone, Copy, Debug)]
pub struct TargetOptions {
    /// Whether to measure in less than a minute.
    pub quick: bool,
    /// The seed.
    pub seed: u64,
}

/// Measures all targets; calls `each` with every row as it comes.
pub async fn measure(
    options: TargetOptions,
    mut each: impl FnMut(&Row),
) -> anyhow::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for text in DEPLOYMENTS {
        let plan = base_plan(text, options)?;
        let mut note = |row: Row| {
            each(&row);
            rows.push(row);
        };
        tails(&plan, &mut note).await?;
        added(&plan, &mut note).await?;
        domain(&plan, &mut note).await?;
        dark(&plan, &mut note).await?;
        faults(&plan, options, &mut note).await?;
        tickets(&plan, &mut note).await?;
        if options.quick {
            break;
        }
    }
    Ok(rows)
}

fn base_plan(text: &str, options: TargetOptions) -> anyhow::Result<Plan> {
    let mut plan = Plan::parse(text)?;
    plan.seed = options.seed;
    plan.events.clear();
    if options.quick {
        plan.warmup = Duration::from_millis(1500);
        plan.time = Duration::from_millis(3200);
    } else {
        plan.warmup = Duration::from_secs(2);
        plan.time = Duration::from_secs(10);
    }
    Ok(plan)
}

fn fleet_options(policy: Policy, vms: usize) -> FleetOptions {
    FleetOptions {
        policy,
        vms,
        unbatched: false,
    }
}

/// Runs `plan`; a run in which the machine was busy with other things tells of
/// the machine, so it is repeated, which is said.
async fn run_plan(plan: &Plan, policy: Policy, vms: usize) -> anyhow::Result<(Outcome, Tally)> {
    let runs = if plan.time < LONG { 1 } else { RUNS };
    for _ in 1..runs {
        let run = run::run(plan, &fleet_options(policy, vms)).await?;
        let share = run.0.unpunctual;
        if share <= UNPUNCTUAL_MAX {
            return Ok(run);
        }
        println!(
            "machine busy, {:.1}% of wake-ups late: run repeated",
            share * 100.0
        );
    }
    run::run(plan, &fleet_options(policy, vms)).await
}

/// Tail latency at high load, against one VM and against two choices.
async fn tails(plan: &Plan, note: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let mut plan = plan.clone();
    plan.load = 0.85;
    let (home, _) = run_plan(&plan, Policy::Home, plan.vms).await?;
    let (two, _) = run_plan(&plan, Policy::TwoChoices, plan.vms).await?;
    let mut lone = plan.clone();
    lone.threads = 4;
    let (one, _) = run_plan(&lone, Policy::Home, 1).await?;
    let ratio = home.tail.p99 / one.tail.p99;
    note(Row::new(
        &plan,
        "p99 at load 0.85, of that of one VM that sees all",
        1.10,
        ratio,
    ));
    let ratio = home.tail.p99 / two.tail.p99;
    note(Row::new(
        &plan,
        "p99 at load 0.85, of that of two choices",
        0.75,
        ratio,
    ));
    Ok(())
}

/// The time that the entry VMs add at half load, without noisy neighbours.
async fn added(plan: &Plan, note: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let mut plan = plan.clone();
    plan.load = 0.5;
    plan.noise = None;
    let (outcome, _) = run_plan(&plan, Policy::Home, plan.vms).await?;
    note(Row::new(
        &plan,
        "added time at load 0.5, p99, ms",
        1.9,
        outcome.added.p99,
    ));
    let share = outcome.probes * 100.0;
    note(Row::new(&plan, "probe time, % of slot time", 1.0, share));
    Ok(())
}

/// Service while a domain leaves and returns; its servers restart meanwhile, so
/// that they come back cold, and its VMs stay up.
async fn domain(plan: &Plan, note: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let mut plan = plan.clone();
    plan.load = 0.6;
    let domain = plan.domains[0].clone();
    let out = plan.time.mul_f64(0.2);
    let restart = plan.time.mul_f64(0.35);
    let back = plan.time.mul_f64(0.65);
    plan.events = vec![
        Event {
            at: out,
            fault: Fault::DomainOut {
                domain: domain.clone(),
            },
        },
        Event {
            at: restart,
            fault: Fault::DomainRestart {
                domain: domain.clone(),
            },
        },
        Event {
            at: back,
            fault: Fault::DomainIn {
                domain: domain.clone(),
            },
        },
    ];
    let (outcome, tally) = run_plan(&plan, Policy::Home, plan.vms).await?;
    let late = outcome.late.as_secs_f64();
    note(Row::new(
        &plan,
        "new work after a domain is out, s",
        2.0,
        late,
    ));
    let lost = 1.0 - goodput(&plan, &tally, &domain, out, back);
    note(Row::new(
        &plan,
        "goodput lost while a domain leaves and returns",
        0.03,
        lost,
    ));
    let lost = critical_lost(&plan, &tally) as f64;
    note(Row::new(
        &plan,
        "critical calls lost while a domain leaves and returns",
        0.0,
        lost,
    ));
    note(broken(
        &plan,
        "promises broken while a domain leaves and returns",
        &outcome.violations,
    ));
    Ok(())
}

/// Service after the servers and VMs of a domain have vanished together.
async fn dark(plan: &Plan, note: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let mut plan = plan.clone();
    plan.load = 0.5;
    let domain = plan.domains[0].clone();
    let at = plan.time.mul_f64(0.2);
    plan.events = vec![Event {
        at,
        fault: Fault::DomainVanish {
            domain: domain.clone(),
        },
    }];
    let (outcome, tally) = run_plan(&plan, Policy::Home, plan.vms).await?;
    let from = plan.warmup + at + SETTLED;
    let after = tally.between(from, plan.warmup + plan.time);
    let served = after.count(End::Served) as f64;
    let lost = 1.0 - served / after.samples.len().max(1) as f64;
    note(Row::new(
        &plan,
        "calls lost from 1 s after a domain has vanished",
        0.03,
        lost,
    ));
    note(broken(
        &plan,
        "promises broken while a domain vanishes",
        &outcome.violations,
    ));
    Ok(())
}

/// Returns the served calls against what was offered or could be served, of
/// the worst slice of time.
fn goodput(plan: &Plan, tally: &Tally, domain: &str, out: Duration, back: Duration) -> f64 {
    let slices = (plan.time.as_millis() / SLICE.as_millis()) as u32;
    let ratio = |n: u32| {
        let from = plan.warmup + SLICE * n;
        let part = tally.between(from, from + SLICE);
        let offered = part.samples.len() as f64;
        let middle = SLICE * n + SLICE / 2;
        let is_out = middle >= out && middle < back;
        let capacity = capacity(plan, if is_out { Some(domain) } else { None });
        let bound = offered.min(capacity * SLICE.as_secs_f64());
        part.count(End::Served) as f64 / bound.max(1.0)
    };
    (0..slices).map(ratio).fold(1.0, f64::min)
}

/// Returns the calls a second that all servers outside of `domain` can serve.
fn capacity(plan: &Plan, domain: Option<&str>) -> f64 {
    let rate = |service: &crate::plan::ServicePlan| {
        let at = |n: usize| plan.domains[n % plan.domains.len()].as_str();
        let left = (0..service.servers).filter(|n| Some(at(*n)) != domain);
        left.count() as f64 * f64::from(service.slots) / service.mean.as_secs_f64()
    };
    plan.services.iter().map(rate).sum()
}

fn critical_lost(plan: &Plan, tally: &Tally) -> usize {
    let critical = |at: usize| plan.services[at].class == base::Class::Critical;
    let samples = tally.samples.iter();
    samples
        .filter(|sample| critical(sample.service) && sample.end != End::Served)
        .count()
}

fn broken(plan: &Plan, measure: &str, broken: &Violations) -> Row {
    if broken.total() > 0 {
        eprintln!("{measure}: {broken:?}");
    }
    Row::new(plan, measure, 0.0, broken.total() as f64)
}

/// Promises under every mix of faults that is tried.
async fn faults(
    plan: &Plan,
    options: TargetOptions,
    note: &mut impl FnMut(Row),
) -> anyhow::Result<()> {
    let first = plan.services[0].name.clone();
    let second = plan.services[1].name.clone();
    let mixes = mixes(&first, &second);
    let count = if options.quick { 2 } else { mixes.len() };
    for (name, faults) in mixes.into_iter().take(count) {
        let mut plan = plan.clone();
        plan.load = 0.6;
        let steps = faults.len() as u32 + 1;
        let at = |n: usize| plan.time / steps * (n as u32) + Duration::from_millis(200);
        let events = faults.into_iter().enumerate();
        plan.events = events
            .map(|(n, fault)| Event { at: at(n), fault })
            .collect();
        let (outcome, _) = run_plan(&plan, Policy::Home, plan.vms).await?;
        let measure = format!("promises broken: {name}");
        note(broken(&plan, &measure, &outcome.violations));
    }
    Ok(())
}

/// Returns the mixes of faults with their names.
fn mixes(first: &str, second: &str) -> Vec<(&'static str, Vec<Fault>)> {
    let restart = |service: &str, count| Fault::Restart {
        service: service.into(),
        count,
    };
    let chill = |service: &str, count| Fault::Chill {
        service: service.into(),
        count,
    };
    let drain = |on| Fault::Drain {
        service: second.into(),
        count: 2,
        on,
    };
    let kill = |service: &str| Fault::KillHome {
        service: service.into(),
    };
    vec![
        (
            "home killed, servers restart",
            vec![kill(second), restart(second, 2)],
        ),
        (
            "loss, platform down, restarts",
            vec![
                Fault::Loss { share: 0.05 },
                Fault::Platform { down: true },
                restart(first, 3),
                restart(second, 2),
                Fault::Platform { down: false },
            ],
        ),
        (
            "home paused and back, servers restart",
            vec![
                Fault::PauseHome {
                    service: second.into(),
                },
                restart(second, 3),
                Fault::Resume,
            ],
        ),
        (
            "sudden cold, drain by itself, slow",
            vec![
                chill(first, 3),
                drain(true),
                Fault::Slow {
                    service: first.into(),
                    count: 2,
                    factor: 10.0,
                },
                drain(false),
            ],
        ),
        (
            "two homes killed, loss",
            vec![
                Fault::Loss { share: 0.02 },
                kill(first),
                kill(second),
                restart(second, 1),
            ],
        ),
        (
            "servers restart while few call, then many do",
            vec![
                Fault::Load { factor: FEW },
                restart(first, usize::MAX),
                restart(second, usize::MAX),
                Fault::Load { factor: 1.0 },
            ],
        ),
    ]
}

/// The time until a ticket is in force on every VM.
async fn tickets(plan: &Plan, note: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let fleet = Fleet::start(plan, &fleet_options(Policy::Home, plan.vms)).await?;
    let worst = worst_ticket(&fleet, plan).await?;
    fleet.stop().await;
    note(Row::new(
        plan,
        "ticket in force on every VM, s",
        2.0,
        worst.as_secs_f64(),
    ));
    Ok(())
}

/// Returns the longest time that one of some tickets took.
async fn worst_ticket(fleet: &Fleet, plan: &Plan) -> anyhow::Result<Duration> {
    let mut worst = Duration::ZERO;
    for number in 2..2 + TICKETS {
        worst = worst.max(time_ticket(fleet, plan, number).await?);
    }
    Ok(worst)
}

/// Applies a ticket and waits until all VMs have it in force.
async fn time_ticket(fleet: &Fleet, plan: &Plan, number: u64) -> anyhow::Result<Duration> {
    let mut ticket = fleet.ticket(plan);
    ticket.number = number;
    ticket.note = format!("the same again, {number}");
    let began = Instant::now();
    fleet.apply_ticket(&ticket).await?;
    let wanted = fleet.vms[0].shared.state().revision;
    let everywhere = async {
        while fleet
            .vms
            .iter()
            .any(|vm| vm.shared.state().revision < wanted)
        {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    };
    net::timeout(IN_FORCE_MAX, everywhere)
        .await
        .context("a ticket was not in force everywhere in time")?;
    Ok(began.elapsed())
}

/// Times tickets in a fleet of `vms`; returns the worst time and the calls to
/// the platform that all tickets together took.
pub async fn propagation(vms: usize) -> anyhow::Result<(Duration, u64)> {
    let mut plan = Plan::parse(DEPLOYMENTS[0])?;
    plan.vms = vms;
    let fleet = Fleet::start(&plan, &fleet_options(Policy::Home, vms)).await?;
    let before = fleet.platform.objects().calls();
    let worst = worst_ticket(&fleet, &plan).await?;
    let calls = fleet.platform.objects().calls() - before;
    fleet.stop().await;
    Ok((worst, calls))
}
