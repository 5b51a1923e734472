//! Decides how a roll-out goes on, from the reports of the homes.

use std::time::Duration;

use base::ShardId;
use base::Time;
use base::VmId;

use super::evidence;
use super::evidence::KindEvidence;
use super::verdict;
use super::Phase;
use super::Report;

/// The part of the ordered time after which the surge begins.
const TRIAL_END: f64 = 0.5;
/// The part of the ordered time after which a clear result ends the surge.
const SURGE_END: f64 = 0.7;
/// The part of the ordered time after which there is a verdict in any case.
const LAST_END: f64 = 0.85;
/// The part of the ordered time after which there is a verdict even without any report.
const SILENT_END: f64 = 0.95;
/// The time for which a new decider waits for the reports of all homes. It is longer than
/// the time between two reports of a home.
const SETTLE: Duration = Duration::from_secs(2);
/// The longest time between the switch and its completion, in which the old servers
/// finish their calls.
const SWITCH_TIME: Duration = Duration::from_secs(2);
/// The longest part of the ordered time that the switch takes.
const SWITCH_PART: f64 = 0.08;
/// The responses of the version that a completion needs.
const TOTAL_MIN: u32 = 20;
/// The responses to each usual kind of call that an early completion needs.
const KIND_MIN: u32 = 8;
/// The share of the old version's calls from which on a kind is usual.
const KIND_SHARE: f64 = 0.05;
/// The reports that are kept. Those of homes with the fewest calls give way, and last those
/// that found the version to be bad.
const REPORTS_MAX: usize = 64;

/// The slots of the servers that may get calls, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// The slots of the version on trial.
    pub target: u32,
    /// The slots of all other versions.
    pub old: u32,
}

impl Supply {
    /// Returns whether the servers of the version can take all calls.
    pub fn is_sufficient(self) -> bool {
        self.target > 0 && self.target >= self.old / 2
    }
}

/// What follows from a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The roll-out enters this phase.
    Enter(Phase),
    /// The roll-out is to be written as completed. It still ends otherwise if the version
    /// turns out bad before that is written.
    Complete,
}

/// The inputs of a decision, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Findings {
    /// The counts of both versions over all kinds of calls.
    pub counts: KindEvidence,
    /// The highest score; see [`verdict::highest_score`].
    pub score: f64,
    /// First attempts that homes granted.
    pub firsts: u64,
    /// Those that went to the version.
    pub exposed: u64,
    /// The homes that reported.
    pub homes: usize,
    /// The age of the latest report.
    pub age: Duration,
}

/// The latest report of one home.
#[derive(Clone, Debug)]
struct Known {
    vm: VmId,
    report: Report,
    received: Time,
}

/// The decisions about one order.
#[derive(Clone, Debug)]
pub struct Decider {
    started: Time,
    begun: Time,
    isolated: bool,
    duration: Duration,
    phase: Phase,
    phase_since: Time,
    completes: bool,
    /// Sorted by shard, VM and start of the home.
    reports: Vec<Known>,
}

fn key(vm: VmId, report: &Report) -> (ShardId, VmId, Time) {
    (report.shard, vm, report.begun)
}

impl Decider {
    /// Creates the decider of an order that was given at `started` and is to end within
    /// `duration`.
    pub fn new(started: Time, duration: Duration, now: Time) -> Self {
        Self {
            started,
            begun: now,
            isolated: false,
            duration,
            phase: Phase::Trial,
            phase_since: now,
            completes: false,
            reports: Vec::new(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the roll-out is to be written as completed.
    pub fn completes(&self) -> bool {
        self.completes && self.phase == Phase::Switch
    }

    /// Returns the time since the order.
    pub fn elapsed(&self, now: Time) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Returns the VMs whose homes reported within `max_age`, sorted.
    pub fn homes(&self, max_age: Duration, now: Time) -> Vec<VmId> {
        let recent = self
            .reports
            .iter()
            .filter(|known| now < known.received + max_age);
        let mut vms: Vec<VmId> = recent.map(|known| known.vm).collect();
        vms.sort_unstable();
        vms.dedup();
        vms
    }

    /// Records the report of the home `vm`. A report that arrives after a later one of the
    /// same home changes nothing.
    pub fn record(&mut self, vm: VmId, report: Report, now: Time) {
        self.started = self.started.min(now.saturating_sub(report.elapsed));
        if report.phase > self.phase {
            self.enter(report.phase, now);
        }
        let position = |known: &Known| key(known.vm, &known.report);
        let new = Known {
            vm,
            received: now,
            report,
        };
        match self
            .reports
            .binary_search_by_key(&key(vm, &new.report), position)
        {
            Ok(index) => {
                let known = &mut self.reports[index];
                let closed = known.report.closed || new.report.closed;
                if new.report.firsts >= known.report.firsts {
                    *known = new;
                }
                known.received = now;
                known.report.closed = closed;
            }
            Err(index) => self.reports.insert(index, new),
        }
        if self.reports.len() > REPORTS_MAX {
            let weight = |index: &usize| {
                let report = &self.reports[*index].report;
                (report.closed, report.firsts)
            };
            if let Some(index) = (0..self.reports.len()).min_by_key(weight) {
                self.reports.remove(index);
            }
        }
    }

    /// Records that a roll-back was decided elsewhere.
    pub fn roll_back(&mut self, now: Time) {
        self.enter(Phase::RolledBack, now);
    }

    /// Sets whether this VM hears too few VMs to know the counts of most homes. It then
    /// only rolls back a version that is bad beyond doubt.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Returns whether the homes had time to report, and can.
    fn is_informed(&self, now: Time) -> bool {
        now >= self.begun + SETTLE && !self.isolated
    }

    /// Returns the next step of the roll-out; none if it stays as it is.
    pub fn step(&mut self, supply: Supply, now: Time) -> Option<Step> {
        let next = self.next_phase(supply, now);
        if let Some(phase) = next.filter(|phase| *phase > self.phase) {
            self.enter(phase, now);
            return Some(Step::Enter(phase));
        }
        let wait = SWITCH_TIME.min(self.duration.mul_f64(SWITCH_PART));
        let due = self.phase == Phase::Switch && now >= self.phase_since + wait;
        if due && self.is_informed(now) && !self.completes {
            self.completes = true;
            return Some(Step::Complete);
        }
        None
    }

    fn next_phase(&self, supply: Supply, now: Time) -> Option<Phase> {
        let kinds = self.kinds();
        let closed = self.reports.iter().any(|known| known.report.closed);
        if closed || verdict::is_clear(&kinds) {
            return Some(Phase::RolledBack);
        }
        if !self.is_informed(now) {
            return None;
        }
        let part = self.elapsed(now).as_secs_f64() / self.duration.as_secs_f64().max(0.001);
        let last_end = if self.reports.is_empty() {
            SILENT_END
        } else {
            LAST_END
        };
        match self.phase {
            Phase::Trial if part < TRIAL_END => None,
            Phase::Trial => Some(Phase::Surge),
            Phase::Surge if part >= last_end => Some(last_verdict(&kinds, supply)),
            Phase::Surge if part >= SURGE_END && is_settled(&kinds, supply) => Some(Phase::Switch),
            _ => None,
        }
    }

    fn enter(&mut self, phase: Phase, now: Time) {
        if phase > self.phase {
            self.phase = phase;
            self.phase_since = now;
        }
    }

    fn kinds(&self) -> Vec<KindEvidence> {
        let mut kinds = Vec::new();
        for known in &self.reports {
            for kind in &known.report.kinds {
                evidence::merge(&mut kinds, kind);
            }
        }
        kinds
    }

    /// Returns what the decisions are based on at `now`.
    pub fn findings(&self, now: Time) -> Findings {
        let kinds = self.kinds();
        let latest = self.reports.iter().map(|known| known.received).max();
        Findings {
            counts: verdict::sum(&kinds),
            score: verdict::highest_score(&kinds),
            firsts: self.reports.iter().map(|known| known.report.firsts).sum(),
            exposed: self.reports.iter().map(|known| known.report.exposed).sum(),
            homes: self.reports.len(),
            age: now.saturating_sub(latest.unwrap_or(self.started)),
        }
    }
}

/// Returns whether enough is known to put the version in force before the last moment.
fn is_settled(kinds: &[KindEvidence], supply: Supply) -> bool {
    let all = verdict::sum(kinds);
    let usual =
        |kind: &&KindEvidence| f64::from(kind.old.total) >= f64::from(all.old.total) * KIND_SHARE;
    let tried = kinds
        .iter()
        .filter(usual)
        .all(|kind| kind.target.total >= KIND_MIN);
    tried && last_verdict(kinds, supply) == Phase::Switch
}

/// Returns the verdict at the last moment. Without enough good responses the service stays
/// with the version that serves it.
fn last_verdict(kinds: &[KindEvidence], supply: Supply) -> Phase {
    let all = verdict::sum(kinds);
    // If no other version serves, there is nothing to move, and nothing to compare with.
    let alone = supply.old == 0 && supply.target > 0;
    let tried = all.target.total >= TOTAL_MIN;
    let good = verdict::highest_score(kinds) < verdict::DOUBT_SCORE;
    if alone || (tried && good && supply.is_sufficient()) {
        Phase::Switch
    } else {
        Phase::RolledBack
    }
}
