//! Checks the guarantees of the load balancer: compares the responses that
//! callers got with the calls that the servers ran.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use standin::record::CallId;

use crate::faults::Outage;
use crate::fleet::Fleet;
use crate::tally::End;
use crate::tally::Tally;

/// Time after the order that takes a domain out of service from which the
/// servers of the domain must not begin a call.
pub const LATE_WORK_MAX: Duration = Duration::from_secs(2);

/// Number of violations of each guarantee in a run. Reports print the type name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// Non-idempotent calls that ran more than once.
    pub twice: usize,
    /// Calls that ran although their callers got the response that they did not.
    pub false_refusals: usize,
    /// Responses that appeared complete but had the wrong length.
    pub short: usize,
    /// Sum over all servers of the calls in flight beyond the number that a cold
    /// server sustains, at the peak of each server.
    pub cold_excess: usize,
    /// Outages in which a domain began a call later than [`LATE_WORK_MAX`] after
    /// it was taken out.
    pub late_work: usize,
    /// Calls that ended without a response in a run without VM faults.
    pub cut: usize,
}

impl Broken {
    /// Counts the violations in one run. Calls without a response count only if
    /// `vms_sound` is true, that is, no fault of the plan hit a VM.
    pub fn check(fleet: &Fleet, tally: &Tally, outages: &[Outage], vms_sound: bool) -> Self {
        let runs = RunCounts::new(fleet);
        let samples = tally.samples.iter();
        let twice = samples.clone().filter(|s| s.post && runs.times(s.call) > 1);
        let false_refusals = samples
            .clone()
            .filter(|s| s.end == End::NotRun && runs.times(s.call) > 0);
        let excess = fleet.servers.iter().map(|server| {
            let sustained = standin::Model::default().cold_limit;
            let peak = server.backend.with_record(|record| record.cold_peak);
            peak.saturating_sub(sustained)
        });
        Self {
            twice: twice.count(),
            false_refusals: false_refusals.count(),
            short: tally.count(End::Short),
            cold_excess: excess.sum(),
            late_work: outages.iter().filter(|o| o.late_by > LATE_WORK_MAX).count(),
            cut: if vms_sound { tally.count(End::Cut) } else { 0 },
        }
    }

    /// Returns the number of violations of all guarantees.
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

/// Number of runs of each call over all servers, sorted by call.
struct RunCounts(Vec<(CallId, u32)>);

impl RunCounts {
    fn new(fleet: &Fleet) -> Self {
        let mut all: Vec<(CallId, u32)> = Vec::new();
        for server in &fleet.servers {
            server.backend.with_record(|record| {
                all.extend(record.runs().iter().map(|run| (run.call, run.starts)));
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
        found.map_or(0, |pos| self.0[pos].1)
    }
}
