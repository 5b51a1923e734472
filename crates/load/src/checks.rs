//! Checks the promises from what callers were told and what servers ran.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use standin::record::CallId;

use crate::faults::Outage;
use crate::fleet::Fleet;
use crate::tally::End;
use crate::tally::Tally;

/// The time after which a domain that is out gets no new work.
pub const LATE_WORK_MAX: Duration = Duration::from_secs(2);

/// How often each promise was broken in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Calls that must not run twice and did.
    pub twice: usize,
    /// Calls whose callers were told that they were not run, and that were.
    pub false_refusals: usize,
    /// Answers that looked whole and were not.
    pub short: usize,
    /// Calls beyond what a cold server bears, over all servers.
    pub cold_excess: usize,
    /// Domains that got new work long after they were taken out.
    pub late_work: usize,
    /// Calls that ended in no answer although no VM had failed.
    pub cut: usize,
}

impl Violations {
    /// Checks one run; `calm` says that no VM was made to fail in it.
    pub fn check(fleet: &Fleet, tally: &Tally, outages: &[Outage], calm: bool) -> Self {
        let runs = Runs::new(fleet);
        let samples = tally.samples.iter();
        let twice = samples.clone().filter(|s| s.post && runs.times(s.call) > 1);
        let false_refusals = samples
            .clone()
            .filter(|s| s.end == End::NotRun && runs.times(s.call) > 0);
        let excess = fleet.servers.iter().map(|member| {
            let bears = standin::Model::default().bears;
            let peak = member.backend.with_record(|record| record.cold_peak);
            peak.saturating_sub(bears)
        });
        Self {
            twice: twice.count(),
            false_refusals: false_refusals.count(),
            short: tally.count(End::Short),
            cold_excess: excess.sum(),
            late_work: outages.iter().filter(|o| o.late > LATE_WORK_MAX).count(),
            cut: if calm { tally.count(End::Cut) } else { 0 },
        }
    }

    /// Returns how many promises were broken in all.
    pub fn total(&self) -> usize {
        let Self {
            twice,
            false_refusals,
            short,
            cold_excess,
            late_work,
            cut,
        } = self;
        twice + false_refusals + short + cold_excess + late_work + cut
    }
}

/// How often each call ran, over all servers, sorted by call.
struct Runs(Vec<(CallId, u32)>);

impl Runs {
    fn new(fleet: &Fleet) -> Self {
        let mut all: Vec<(CallId, u32)> = Vec::new();
        for member in &fleet.servers {
            member.backend.with_record(|record| {
                all.extend(record.runs().iter().map(|run| (run.call, run.times)));
            });
        }
        all.sort_unstable();
        all.dedup_by(|next, kept| {
            let same = next.0 == kept.0;
            if same {
                kept.1 += next.1;
            }
            same
        });
        Self(all)
    }

    fn times(&self, call: CallId) -> u32 {
        let found = self.0.binary_search_by_key(&call, |(call, _)| *call);
        found.map_or(0, |at| self.0[at].1)
    }
}
