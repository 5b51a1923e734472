//! How the home applies a roll-out of a version to its grants.
//!
//! See `docs/design/rollouts.md`. Without a roll-out all servers are of the old version, and
//! nothing here has an effect.

use base::OrderId;
use base::ServerId;
use base::Time;

use super::Decision;
use super::Ledger;
use crate::msg::AttemptKind;
use crate::msg::Release;
use crate::permits::Permit;
use crate::queue::Waiter;
use crate::rollout::evidence;
use crate::rollout::verdict;
use crate::rollout::Exposure;
use crate::rollout::Phase;
use crate::rollout::VersionGroup;
use crate::spec::ServerSpec;

impl Ledger {
    /// Returns the exposure of the version on trial; none if no roll-out is under way.
    pub fn exposure(&self) -> Option<&Exposure> {
        self.exposure.as_ref()
    }

    /// Records the phase of the roll-out `order` that its decider told.
    pub fn hear_phase(&mut self, order: OrderId, phase: Phase, now: Time) {
        let exposure = self.exposure.as_mut();
        let Some(exposure) = exposure.filter(|exposure| exposure.terms().order == order) else {
            return;
        };
        exposure.hear(phase, now);
        self.serve_queue(now);
    }

    /// Begins, keeps or ends the exposure as the specification says.
    pub(super) fn sync_rollout(&mut self, now: Time) {
        match (&mut self.exposure, self.spec.rollout) {
            (Some(exposure), Some(terms)) if exposure.terms().order == terms.order => {
                exposure.set_terms(terms);
            }
            (exposure, terms) => *exposure = terms.map(|terms| Exposure::new(terms, now)),
        }
    }

    /// Returns whether attempts of any kind may go to `server`.
    pub(super) fn may_use(&self, server: &ServerSpec, now: Time) -> bool {
        server.open && server.version == self.usable_group(now)
    }

    /// Returns the versions that attempts of any kind may go to.
    pub(super) fn usable_group(&self, now: Time) -> VersionGroup {
        if self.exposure().is_some_and(|e| e.is_switched(now)) {
            VersionGroup::Target
        } else {
            VersionGroup::Old
        }
    }

    /// Returns whether an attempt of `kind` may go to `server`.
    pub(super) fn may_expose(&self, server: &ServerSpec, kind: AttemptKind, now: Time) -> bool {
        let allowed = match self.exposure() {
            Some(exposure) => exposure.allows(server.version, kind, now),
            None => server.version == VersionGroup::Old,
        };
        server.open && allowed
    }

    /// Returns whether the attempt of `waiter` should go to the version on trial.
    pub(super) fn tries_version(&self, waiter: &Waiter, now: Time) -> bool {
        let exposure = self.exposure();
        exposure.is_some_and(|exposure| exposure.has_credit(waiter.request.kind, now))
    }

    /// Returns whether the server with the index `index` is of the version on trial.
    pub(super) fn is_on_trial(&self, index: usize) -> bool {
        self.group(self.servers[index].id) == VersionGroup::Target
    }

    fn group(&self, server: ServerId) -> VersionGroup {
        let found = self.spec.server(server);
        found.map_or(VersionGroup::Old, |server| server.version)
    }

    /// Counts the grant of a permit for `server` to `waiter`.
    pub(super) fn record_exposure(&mut self, waiter: &Waiter, server: ServerId) {
        let group = self.group(server);
        let Some(exposure) = &mut self.exposure else {
            return;
        };
        exposure.record_grant(group, waiter.request.kind);
        if let Some(permit) = self.permits.get_mut(waiter.vm, waiter.call) {
            permit.kind = evidence::kind_of(&waiter.request);
        }
    }

    /// Counts the end of the attempt of `permit` for the version of its server.
    pub(super) fn record_evidence(&mut self, permit: &Permit, release: &Release, now: Time) {
        let group = self.group(release.server);
        let cold = self
            .find(release.server)
            .is_some_and(|index| self.servers[index].is_announced_cold());
        let Some(exposure) = &mut self.exposure else {
            return;
        };
        let took = release.took.as_secs_f64();
        let server = (release.server, group);
        if exposure.record_end(server, permit.kind, release.outcome, took, cold) {
            let order = exposure.terms().order;
            let counts = verdict::sum(&exposure.report_kinds());
            self.decisions.push(Decision::VersionClosed {
                order,
                responses: counts.target.total,
                failed: counts.target.failed,
                slow: counts.target.slow,
                old_responses: counts.old.total,
                old_bad: counts.old.bad(),
            });
            self.serve_queue(now);
        }
    }
}
