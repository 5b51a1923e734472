//! How the home grants, releases and expires permits.
//!
//! After a call was cancelled, or the VM that sent it has left, the server may
//! still run the call for a while. Its permit then lingers: it occupies a slot
//! of the server for a short time more, and is removed without a release.

use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;

use super::Decision;
use super::Fleet;
use super::Ledger;
use super::FOLLOWER_RETENTION;
use super::LINGER_MIN;
use super::LINGER_SERVICE_TIMES;
use super::PERMIT_GRACE;
use crate::msg::AttemptId;
use crate::msg::AttemptKind;
use crate::msg::RefusalReason;
use crate::msg::Warmth;
use crate::permits::Permit;
use crate::queue::Waiter;

impl Ledger {
    pub(super) fn grant(&mut self, waiter: &Waiter, index: usize, now: Time) {
        let server = self.servers[index].id;
        let left = waiter.deadline.saturating_sub(now);
        self.add_permit(waiter.vm, waiter.call, server, left, now);
        if let Some(permit) = self.permits.get_mut(waiter.vm, waiter.call) {
            permit.work = waiter.request.ranking.map_or(Duration::ZERO, |r| r.work);
            permit.rank = waiter.request.ranking.map(|r| r.rank);
        }
        self.record_exposure(waiter, server);
        self.counts.granted += 1;
        if waiter.request.kind == AttemptKind::First {
            // A call that one shard refuses asks another one, so a request that is not
            // granted must not count, or the call would raise the budget twice.
            self.retry_budget.record_first(now);
            self.hedge_budget.record_first(now);
        }
        let choice = &self.servers[index];
        self.decisions.push(Decision::Granted {
            vm: waiter.vm,
            call: waiter.call,
            server,
            kind: waiter.request.kind,
            busy: choice.busy.saturating_sub(1),
            limit: choice.limit.current(),
            expected: choice.limit.expected(self.typical_time, now),
            slowdown: self.slowdown_of(choice, now),
            age: choice.limit.age(now),
            waiting: self.queue.len(),
            ranking: waiter.ranking(),
        });
        self.send_grant(waiter.vm, waiter.call, server);
    }

    /// Adds a permit with `left` until the deadline of its call; does nothing
    /// if the attempt has one.
    pub(super) fn add_permit(
        &mut self,
        vm: VmId,
        call: AttemptId,
        server: ServerId,
        left: Duration,
        now: Time,
    ) {
        let permit = Permit {
            vm,
            call,
            server,
            granted_at: now,
            expires: now + left + PERMIT_GRACE,
            concurrent: self.busy(server),
            kind: 0,
            lingers: false,
            work: Duration::ZERO,
            rank: None,
        };
        if !self.permits.add(permit) {
            return;
        }
        if let Some(index) = self.find(server) {
            self.summaries_changed |= self.servers[index].forget_stale(&self.spec, now);
            self.servers[index].busy += 1;
            self.servers[index].last_grant = now;
            self.servers[index].record_grant((vm, call), now);
            self.servers[index].spend_rate(now);
            self.servers[index].record_connection(vm, now);
        }
    }

    pub(super) fn remove_permit(&mut self, vm: VmId, call: AttemptId) {
        if let Some(permit) = self.permits.remove(vm, call) {
            self.decrement_busy(&permit);
        }
    }

    /// Subtracts `permit` from the calls in flight at its server.
    pub(super) fn decrement_busy(&mut self, permit: &Permit) {
        if let Some(index) = self.find(permit.server) {
            self.servers[index].busy = self.servers[index].busy.saturating_sub(1);
        }
    }

    /// Marks as lingering the permits of VMs that have left the membership, and
    /// those of VMs that do not respond if the server can sustain a call beyond
    /// its limit.
    ///
    /// Such a VM sends no release, but the servers finish or abort its calls,
    /// so the slots become free well before the deadlines of the calls. A VM
    /// that does not respond may still be about to send a call, and a server
    /// that has just started could not sustain that call in parallel with
    /// another one.
    pub(super) fn linger_unreachable(&mut self, fleet: Fleet<'_>, now: Time) {
        for permit in &self.permits.list().to_vec() {
            let departed = fleet.vms.binary_search(&permit.vm).is_err();
            let unresponsive = fleet.alive.binary_search(&permit.vm).is_err();
            if departed || (unresponsive && self.tolerates_overrun(permit.server)) {
                self.linger(permit.vm, permit.call, now);
            }
        }
    }

    /// Returns whether `server` can sustain a call beyond its limit, which
    /// holds for servers that are warm, or were warm before their limit was
    /// lowered.
    pub(super) fn tolerates_overrun(&self, server: ServerId) -> bool {
        let found = self.find(server);
        found.is_some_and(|index| self.servers[index].limit.warmth(&self.spec) >= Warmth::Lowered)
    }

    /// Keeps the permit only for the time for which the server may still run
    /// the call: [`LINGER_SERVICE_TIMES`] usual service times, at least
    /// [`LINGER_MIN`].
    pub(super) fn linger(&mut self, vm: VmId, call: AttemptId, now: Time) {
        let Some(permit) = self.permits.get(vm, call).copied() else {
            return;
        };
        if permit.lingers {
            return;
        }
        let usual = self
            .find(permit.server)
            .map_or(0.0, |index| self.servers[index].limit.usual_time());
        let run = Duration::from_secs_f64(usual.max(self.typical_time) * LINGER_SERVICE_TIMES)
            .max(LINGER_MIN);
        if let Some(permit) = self.permits.get_mut(vm, call) {
            permit.lingers = true;
            permit.expires = permit.expires.min(now + run);
        }
    }

    /// Removes permits past their end, refuses requests that have waited for
    /// too long, and drops the state of followers without recent requests.
    pub(super) fn expire(&mut self, now: Time) {
        for permit in self.permits.extract_if(|permit| now >= permit.expires) {
            self.decrement_busy(&permit);
        }
        for waiter in self.queue.extract_if(|waiter| now >= waiter.expires) {
            self.turn_away(&waiter, RefusalReason::Expired, false, now);
        }
        self.followers
            .retain(|follower| now < follower.last_request + FOLLOWER_RETENTION);
    }
}
