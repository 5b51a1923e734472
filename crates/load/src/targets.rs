//! Measures the targets of the design.
//!
//! Rows that compare policies or fleets are ratios of figures of runs made one
//! after the other in one process, so that they say little about the machine.
//! The cost of control at full size is not measured here but calculated in
//! `docs/CAPACITY.md`.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use conf::settings::Policy;
use entry::Ports;
use serde::Deserialize;
use serde::Serialize;

use crate::checks::Broken;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::plan::Event;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::run;
use crate::run::Outcome;
use crate::tally::End;
use crate::tally::Tally;

/// Experiment files of the deployments to measure.
const DEPLOYMENTS: [&str; 2] = [
    include_str!("../../../experiments/port-louis.json"),
    include_str!("../../../experiments/lone-star.json"),
];
/// Length of the time slices in which goodput is computed.
const SLICE: Duration = Duration::from_millis(500);
/// Largest number of runs of one experiment on a busy machine.
const RUNS_MAX: usize = 3;
/// Shortest measured time of a run that is repeated on a busy machine. Shorter
/// runs belong to a quick measurement.
const REPEAT_TIME_MIN: Duration = Duration::from_secs(8);
/// Largest share of late wake-ups in a run that is not repeated; see
/// [`Outcome::unpunctual`].
const LATE_WAKEUPS_MAX: f64 = 0.003;
/// Time after the failure of a domain during which lost calls do not count.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Longest wait until a ticket is in force on all VMs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of tickets that are timed.
const TICKETS: u64 = 5;
/// Factor on the load for a phase with few calls.
const LOW_LOAD_FACTOR: f64 = 0.002;

/// A measured figure and its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Name of the deployment.
    pub plan: String,
    /// Description of the figure, with its unit.
    pub measure: String,
    /// Target: the greatest figure that meets it.
    pub most: f64,
    /// Measured figure.
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

    /// Formats the row as a line of text.
    pub fn text(&self) -> String {
        let word = if self.is_met() { "met" } else { "MISSED" };
        format!(
            "{:<12} {:<58} at most {:>8.3}  is {:>8.3}  {word}",
            self.plan, self.measure, self.most, self.figure
        )
    }
}

/// Options of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct TargetOptions {
    /// Whether to measure only the first deployment, with short runs and fewer
    /// mixes of faults, which takes less than a minute.
    pub quick: bool,
    /// Seed of all runs.
    pub seed: u64,
}

/// Measures the targets and calls `each` with every row as soon as it is
/// measured. Returns all rows.
pub async fn measure(
    options: TargetOptions,
    mut each: impl FnMut(&Row),
) -> anyhow::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for text in DEPLOYMENTS {
        let plan = base_plan(text, options)?;
        let mut report = |row: Row| {
            each(&row);
            rows.push(row);
        };
        tail_latency(&plan, &mut report).await?;
        added_time(&plan, &mut report).await?;
        domain_outage(&plan, &mut report).await?;
        domain_failure(&plan, &mut report).await?;
        fault_mixes(&plan, options, &mut report).await?;
        ticket_time(&plan, &mut report).await?;
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

/// Runs `plan` and returns the figures and the calls of the run.
///
/// The figures of a run on a machine that is busy with other work describe the
/// machine. Such a run is repeated, up to [`RUNS_MAX`] runs in all, and a message
/// is printed.
async fn run_plan(plan: &Plan, policy: Policy, vms: usize) -> anyhow::Result<(Outcome, Tally)> {
    let runs = if plan.time < REPEAT_TIME_MIN {
        1
    } else {
        RUNS_MAX
    };
    for _ in 1..runs {
        let run = run::run(plan, &fleet_options(policy, vms)).await?;
        let share = run.0.unpunctual;
        if share <= LATE_WAKEUPS_MAX {
            return Ok(run);
        }
        println!(
            "machine busy, {:.1}% of wake-ups late: run repeated",
            share * 100.0
        );
    }
    run::run(plan, &fleet_options(policy, vms)).await
}

/// Measures tail latency at high load, relative to a single VM that carries all
/// calls and to the power-of-two-choices policy.
async fn tail_latency(plan: &Plan, report: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let mut plan = plan.clone();
    plan.load = 0.85;
    let (home, _) = run_plan(&plan, Policy::Home, plan.vms).await?;
    let (two, _) = run_plan(&plan, Policy::TwoChoices, plan.vms).await?;
    let mut single_vm = plan.clone();
    single_vm.threads = 4;
    let (one, _) = run_plan(&single_vm, Policy::Home, 1).await?;
    let ratio = home.tail.p99 / one.tail.p99;
    report(Row::new(
        &plan,
        "p99 at load 0.85, of that of one VM that sees all",
        1.10,
        ratio,
    ));
    let ratio = home.tail.p99 / two.tail.p99;
    report(Row::new(
        &plan,
        "p99 at load 0.85, of that of two choices",
        0.75,
        ratio,
    ));
    Ok(())
}

/// Measures the time that the entry VMs add and the cost of probes, at half load
/// without noisy neighbors.
async fn added_time(plan: &Plan, report: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let mut plan = plan.clone();
    plan.load = 0.5;
    plan.noise = None;
    let (outcome, _) = run_plan(&plan, Policy::Home, plan.vms).await?;
    report(Row::new(
        &plan,
        "added time at load 0.5, p99, ms",
        1.9,
        outcome.added.p99,
    ));
    let share = outcome.probes * 100.0;
    report(Row::new(&plan, "probe time, % of slot time", 1.0, share));
    Ok(())
}

/// Measures service while operators take a domain out of service and bring it
/// back. The servers of the domain restart meanwhile, so that they are cold when
/// they come back; its VMs keep running.
async fn domain_outage(plan: &Plan, report: &mut impl FnMut(Row)) -> anyhow::Result<()> {
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
    report(Row::new(
        &plan,
        "new work after a domain is out, s",
        2.0,
        late,
    ));
    let lost = 1.0 - goodput(&plan, &tally, &domain, out, back);
    report(Row::new(
        &plan,
        "goodput lost while a domain leaves and returns",
        0.03,
        lost,
    ));
    let lost = critical_lost(&plan, &tally) as f64;
    report(Row::new(
        &plan,
        "critical calls lost while a domain leaves and returns",
        0.0,
        lost,
    ));
    report(violations_row(
        &plan,
        "promises broken while a domain leaves and returns",
        &outcome.violations,
    ));
    Ok(())
}

/// Measures service after all servers and VMs of a domain have failed at once.
async fn domain_failure(plan: &Plan, report: &mut impl FnMut(Row)) -> anyhow::Result<()> {
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
    let from = plan.warmup + at + RECOVERY_TIME;
    let after = tally.between(from, plan.warmup + plan.time);
    let served = after.count(End::Served) as f64;
    let lost = 1.0 - served / after.samples.len().max(1) as f64;
    report(Row::new(
        &plan,
        "calls lost from 1 s after a domain has vanished",
        0.03,
        lost,
    ));
    report(violations_row(
        &plan,
        "promises broken while a domain vanishes",
        &outcome.violations,
    ));
    Ok(())
}

/// Returns the goodput of the worst time slice, from 0 to 1.
///
/// The goodput of a slice is the number of served calls divided by the number of
/// offered calls or by the capacity of the servers, whichever is less. `domain`
/// does not contribute capacity from `out` until `back`.
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

/// Returns the number of calls per second that all servers outside `domain` can
/// serve; of all servers if `domain` is `None`.
fn capacity(plan: &Plan, domain: Option<&str>) -> f64 {
    let rate = |service: &crate::plan::ServicePlan| {
        let domain_of = |n: usize| plan.domains[n % plan.domains.len()].as_str();
        let in_service = (0..service.servers).filter(|n| Some(domain_of(*n)) != domain);
        in_service.count() as f64 * f64::from(service.slots) / service.mean.as_secs_f64()
    };
    plan.services.iter().map(rate).sum()
}

/// Returns the number of calls of class `critical` that were not served.
fn critical_lost(plan: &Plan, tally: &Tally) -> usize {
    let is_critical = |service: usize| plan.services[service].class == base::Class::Critical;
    let samples = tally.samples.iter();
    samples
        .filter(|sample| is_critical(sample.service) && sample.end != End::Served)
        .count()
}

/// Returns a row for the number of violations, which must be 0, and prints them
/// if there are any.
fn violations_row(plan: &Plan, measure: &str, violations: &Broken) -> Row {
    if violations.total() > 0 {
        eprintln!("{measure}: {violations:?}");
    }
    Row::new(plan, measure, 0.0, violations.total() as f64)
}

/// Checks the guarantees under each mix of faults.
async fn fault_mixes(
    plan: &Plan,
    options: TargetOptions,
    report: &mut impl FnMut(Row),
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
        report(violations_row(&plan, &measure, &outcome.violations));
    }
    Ok(())
}

/// Returns the mixes of faults and their names, for the services `first` and
/// `second`.
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
                Fault::Load {
                    factor: LOW_LOAD_FACTOR,
                },
                restart(first, usize::MAX),
                restart(second, usize::MAX),
                Fault::Load { factor: 1.0 },
            ],
        ),
    ]
}

/// Measures the time until a ticket is in force on every VM.
async fn ticket_time(plan: &Plan, report: &mut impl FnMut(Row)) -> anyhow::Result<()> {
    let fleet = Fleet::start(plan, &fleet_options(Policy::Home, plan.vms)).await?;
    let worst = worst_ticket(&fleet, plan).await?;
    fleet.stop().await;
    report(Row::new(
        plan,
        "ticket in force on every VM, s",
        2.0,
        worst.as_secs_f64(),
    ));
    Ok(())
}

/// Applies [`TICKETS`] tickets one after the other and returns the longest time
/// until one of them was in force on all VMs.
async fn worst_ticket(fleet: &Fleet, plan: &Plan) -> anyhow::Result<Duration> {
    let mut worst = Duration::ZERO;
    for number in 2..2 + TICKETS {
        worst = worst.max(time_ticket(fleet, plan, number).await?);
    }
    Ok(worst)
}

/// Applies a ticket and returns the time until it was in force on all VMs.
async fn time_ticket(fleet: &Fleet, plan: &Plan, number: u64) -> anyhow::Result<Duration> {
    let mut ticket = fleet.ticket(plan);
    ticket.number = number;
    ticket.note = format!("the same again, {number}");
    let started = Instant::now();
    fleet.apply_ticket(&ticket).await?;
    let target = fleet.vms[0].shared.state().revision;
    let everywhere = async {
        while fleet
            .vms
            .iter()
            .any(|vm| vm.shared.state().revision < target)
        {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    };
    net::timeout(IN_FORCE_TIMEOUT, everywhere)
        .await
        .context("a ticket was not in force on all VMs within 20 s")?;
    Ok(started.elapsed())
}

/// Times tickets in a fleet of `vms` entry VMs. Returns the longest time until a
/// ticket was in force on all VMs, and the number of calls to the platform that
/// all tickets together took.
pub async fn propagation(vms: usize) -> anyhow::Result<(Duration, u64)> {
    let mut plan = Plan::parse(DEPLOYMENTS[0])?;
    plan.vms = vms;
    let fleet = Fleet::start(&plan, &fleet_options(Policy::Home, vms)).await?;
    let before = fleet.platform.store().request_count();
    let worst = worst_ticket(&fleet, &plan).await?;
    let calls = fleet.platform.store().request_count() - before;
    fleet.stop().await;
    Ok((worst, calls))
}
