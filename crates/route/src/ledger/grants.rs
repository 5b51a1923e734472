//! The life of a permit at its home: granted, ended, kept while the server may
//! still run the call.

use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;

use super::Decision;
use super::Fleet;
use super::Ledger;
use super::FORGOTTEN;
use super::GRACE;
use super::LINGER;
use super::LINGER_MIN;
use super::RETRY_MIN;
use crate::msg::AttemptId;
use crate::msg::RefusalReason;
use crate::msg::Warmth;
use crate::permits::Permit;
use crate::queue::Waiter;

impl Ledger {
    pub(super) fn grant(&mut self, waiter: &Waiter, at: usize, now: Time) {
        let server = self.servers[at].id;
        let left = waiter.deadline.saturating_sub(now);
        self.give(waiter.vm, waiter.call, server, left, now);
        self.counts.granted += 1;
        let choice = &self.servers[at];
        self.decisions.push(Decision::Granted {
            vm: waiter.vm,
            call: waiter.call,
            server,
            kind: waiter.request.kind,
            busy: choice.busy.saturating_sub(1),
            limit: choice.limit.current(),
            expected: choice.limit.expected(self.typical, now),
            slowdown: self.pace_of(choice, now),
            age: choice.limit.age(now),
            waiting: self.queue.len(),
        });
        self.send_grant(waiter.vm, waiter.call, server);
    }

    pub(super) fn give(
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
            expires: now + left + GRACE,
            concurrent: self.busy(server),
            lingers: false,
        };
        if !self.permits.add(permit) {
            return;
        }
        if let Some(at) = self.find(server) {
            self.changed |= self.servers[at].forget_stale(&self.spec, now);
            self.servers[at].busy += 1;
            self.servers[at].used = now;
            self.servers[at].note_grant(now);
            self.servers[at].note_link(vm, now);
        }
    }

    pub(super) fn free(&mut self, vm: VmId, call: AttemptId) {
        if let Some(permit) = self.permits.remove(vm, call) {
            self.uncount(&permit);
        }
    }

    pub(super) fn uncount(&mut self, permit: &Permit) {
        if let Some(at) = self.find(permit.server) {
            self.servers[at].busy = self.servers[at].busy.saturating_sub(1);
        }
    }

    /// Ends the permits of VMs that cannot release them any more.
    ///
    /// The servers end those calls all the same, so their slots are free before
    /// the calls' deadlines. A VM that is only silent may still be about to send
    /// a call; a server that has just started would not bear it beside another.
    pub(super) fn linger_silent(&mut self, fleet: Fleet<'_>, now: Time) {
        for permit in &self.permits.list().to_vec() {
            let gone = fleet.vms.binary_search(&permit.vm).is_err();
            let silent = fleet.alive.binary_search(&permit.vm).is_err();
            if gone || (silent && self.bears_more(permit.server)) {
                self.linger(permit.vm, permit.call, now);
            }
        }
    }

    /// Returns whether a call beyond its limit does `server` no harm.
    pub(super) fn bears_more(&self, server: ServerId) -> bool {
        let found = self.find(server);
        found.is_some_and(|at| self.servers[at].limit.warmth(&self.spec) >= Warmth::Lowered)
    }

    /// Keeps a permit for as long as the server may still run the call.
    pub(super) fn linger(&mut self, vm: VmId, call: AttemptId, now: Time) {
        let Some(permit) = self.permits.get(vm, call).copied() else {
            return;
        };
        if permit.lingers {
            return;
        }
        let usual = self
            .find(permit.server)
            .map_or(0.0, |at| self.servers[at].limit.usual_time());
        let run = Duration::from_secs_f64(usual.max(self.typical) * LINGER).max(LINGER_MIN);
        if let Some(permit) = self.permits.get_mut(vm, call) {
            permit.lingers = true;
            permit.expires = permit.expires.min(now + run);
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        for permit in self.permits.extract_if(|permit| now >= permit.expires) {
            self.uncount(&permit);
        }
        for waiter in self.queue.extract_if(|waiter| now >= waiter.expires) {
            let wait = self.wait_of(self.queue.len()).max(RETRY_MIN);
            self.refuse(waiter.vm, waiter.call, RefusalReason::Expired, wait);
        }
        self.active.retain(|active| now < active.asked + FORGOTTEN);
    }
}
