//! The home's bound of the calls that go to a version on trial.
//!
//! A home compares its own grants to the version with its own first attempts. Whatever
//! other homes do, and whatever this home has forgotten, the sum over all homes keeps the
//! share: no home ever grants more than its own first attempts allow.

use base::Outcome;
use base::ServerId;
use base::Time;

use super::evidence::Evidence;
use super::evidence::KindEvidence;
use super::evidence::KindId;
use super::Phase;
use super::Report;
use super::Terms;
use super::VersionGroup;
use crate::msg::AttemptKind;

/// The part of the share that the trial uses; the rest is for the surge.
const TRIAL_PART: f64 = 0.5;
/// The part of the share that is used at all. A first attempt may be granted twice, if a
/// VM asks a second home because the first one did not respond.
const USED_PART: f64 = 0.9;

/// The exposure of a version at one home.
#[derive(Clone, Debug)]
pub struct Exposure {
    terms: Terms,
    begun: Time,
    phase: Phase,
    /// Until when the word of the decider holds.
    told_until: Time,
    firsts: u64,
    exposed: u64,
    /// Whether the last first attempt went to the version.
    last_exposed: bool,
    evidence: Evidence,
}

impl Exposure {
    /// Creates the exposure of a home that has just learned of the order. It grants the
    /// version nothing before it hears from the decider.
    pub fn new(terms: Terms, now: Time) -> Self {
        Self {
            terms,
            begun: now,
            phase: Phase::Trial,
            told_until: Time::ZERO,
            firsts: 0,
            exposed: 0,
            last_exposed: false,
            evidence: Evidence::default(),
        }
    }

    /// Returns the terms.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Applies changed terms of the same order.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Records that a decider told the `phase`. An earlier phase than the known one comes
    /// from a decider that has not heard of that one yet.
    pub fn hear(&mut self, phase: Phase, now: Time) {
        self.phase = self.phase.max(phase);
        self.told_until = now + self.terms.lease;
    }

    /// Returns the phase in which calls are granted; none while the version gets nothing.
    fn active_phase(&self, now: Time) -> Option<Phase> {
        let told = now < self.told_until && !self.evidence.is_bad();
        Some(self.phase).filter(|phase| told && *phase != Phase::RolledBack)
    }

    /// Returns whether an attempt of `kind` may go to a server of `group`.
    pub fn allows(&self, group: VersionGroup, kind: AttemptKind, now: Time) -> bool {
        let switched = self.is_switched(now);
        match group {
            VersionGroup::Old => !switched,
            VersionGroup::Target => switched || self.has_credit(kind, now),
        }
    }

    /// Returns whether all new calls go to the version.
    pub fn is_switched(&self, now: Time) -> bool {
        self.active_phase(now) == Some(Phase::Switch)
    }

    /// Returns whether one more attempt of `kind` may go to the version on trial. Only
    /// first attempts may: the second attempt of a call that the version failed has to
    /// succeed.
    pub fn has_credit(&self, kind: AttemptKind, now: Time) -> bool {
        let part = match self.active_phase(now) {
            Some(Phase::Trial) => USED_PART * TRIAL_PART,
            Some(Phase::Surge) if !self.last_exposed => USED_PART,
            _ => return false,
        };
        let allowed = self.terms.share * part * (self.firsts + 1) as f64;
        kind == AttemptKind::First && (self.exposed + 1) as f64 <= allowed
    }

    /// Records the grant of an attempt of `kind` at a server of `group`.
    pub fn record_grant(&mut self, group: VersionGroup, kind: AttemptKind) {
        let exposed = group == VersionGroup::Target;
        self.exposed += u64::from(exposed);
        if kind == AttemptKind::First {
            self.firsts += 1;
            self.last_exposed = exposed;
        }
    }

    /// Records the end of an attempt at a server. `took` is in seconds; the times of a
    /// server that is `cold` say nothing of its version. Returns whether the version has
    /// just been found to be bad.
    pub fn record_end(
        &mut self,
        server: (ServerId, VersionGroup),
        kind: KindId,
        outcome: Outcome,
        took: f64,
        cold: bool,
    ) -> bool {
        let was_bad = self.evidence.is_bad();
        self.evidence.record(server, kind, outcome, took, cold);
        !was_bad && self.evidence.is_bad()
    }

    /// Returns whether this home found by its own counts that the version is bad.
    pub fn is_closed(&self) -> bool {
        self.evidence.is_bad()
    }

    /// Returns the number of first attempts, and of attempts that went to the version.
    pub fn counts(&self) -> (u64, u64) {
        (self.firsts, self.exposed)
    }

    /// Returns a number that changes when something happened that the decider should hear
    /// of soon.
    pub fn bad_responses(&self) -> u32 {
        self.evidence.bad_responses()
    }

    /// Returns the counts by kind of call.
    pub fn report_kinds(&self) -> Vec<KindEvidence> {
        self.evidence.kinds()
    }

    /// Fills `report`, which names the service, the shard and the age of the order.
    pub fn report(&self, report: Report) -> Report {
        Report {
            order: self.terms.order,
            begun: self.begun,
            phase: self.phase,
            closed: self.is_closed(),
            firsts: self.firsts,
            exposed: self.exposed,
            kinds: self.evidence.kinds(),
            ..report
        }
    }
}
