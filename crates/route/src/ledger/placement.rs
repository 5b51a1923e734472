//! Where a request is placed, and how long it would wait.
//!
//! See `docs/design/homes.md` for the choice and for the calls that wait in a
//! server.

use std::time::Duration;

use base::Class;
use base::ServerId;
use base::Time;

use super::servers::Server;
use super::Ledger;
use crate::choose;
use crate::choose::Candidate;
use crate::limit::SILENT;
use crate::limit::SILENT_MIN;
use crate::msg::Kind;
use crate::msg::Warmth;
use crate::queue::Waiter;

/// Calls that end while the next one is on its way, from which on one waits in
/// the server; below it, the slot that stands idle costs less than a call that
/// is bound to a server too early.
const ENDING_CALLS_MIN: f64 = 0.5;

impl Ledger {
    /// Returns how long a request waits that has `ahead` others before it.
    pub(super) fn expected_wait(&self, ahead: usize) -> Duration {
        let up = self.servers.iter().filter(|server| {
            let open = self.spec.server(server.id).is_some_and(|s| s.open);
            open && server.limit.warmth(&self.spec) != Warmth::Down
        });
        let slots: u32 = up.map(|server| server.limit.current()).sum();
        let rounds = ahead as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64(rounds * (self.mean_time + self.idle_gap))
    }

    /// Returns the place of the server for `waiter`; with `spare` only one
    /// that has a free slot and is warm.
    pub(super) fn choose_server(&self, waiter: &Waiter, spare: bool, now: Time) -> Option<usize> {
        let avoid = &waiter.ask.avoid;
        let all = || {
            self.servers
                .iter()
                .enumerate()
                .filter_map(|(index, server)| self.candidate(index, server, waiter, now))
                .filter(|candidate| !spare || (candidate.free && candidate.warm))
        };
        let critical = waiter.ask.class == Class::Critical;
        let untried = all().filter(|c| !avoid.contains(&self.servers[c.at].id));
        let in_time = |c: &Candidate| {
            let left = (waiter.ask.goal + waiter.since).saturating_sub(now);
            now >= waiter.patient || c.time() <= left.as_secs_f64()
        };
        let best = choose::best(untried.filter(in_time), critical);
        let other_only = spare || waiter.ask.kind == Kind::Rescue;
        if best.is_some() || other_only || self.has_alternative(avoid) {
            return best;
        }
        choose::best(all().filter(in_time), critical)
    }

    /// Returns whether an open server exists that is not in `avoid`.
    pub(super) fn has_alternative(&self, avoid: &[ServerId]) -> bool {
        let mut open = self.spec.servers.iter().filter(|server| server.open);
        open.any(|server| !avoid.contains(&server.id))
    }

    pub(super) fn candidate(
        &self,
        index: usize,
        server: &Server,
        waiter: &Waiter,
        now: Time,
    ) -> Option<Candidate> {
        let spec = self.spec.server(server.id)?;
        let allowed = server.allowed_vms.binary_search(&waiter.vm).is_ok();
        if !spec.open || !server.limit.is_up(now) || !allowed {
            return None;
        }
        let warmth = server.limit.warmth(&self.spec);
        if server.is_cold(&self.spec, now) && server.at_cold_rate(&self.spec, now) {
            return None;
        }
        let limit = self.usable_limit(server, warmth);
        let free = server.busy < limit;
        if !free && server.busy >= limit + self.queue_depth(server, limit) {
            return None;
        }
        let oldest = self.oldest_call_secs(server, now);
        if self.is_stuck(server, oldest, now) {
            return None;
        }
        Some(Candidate {
            at: index,
            free,
            warm: warmth == Warmth::Warm,
            busy: server.busy,
            slots: spec.slots,
            expected: server.limit.expected(self.typical_time, now),
            oldest,
            pace: self.slowdown_of(server, now),
            crowding: self.contention(),
            local: spec.domain == waiter.ask.domain,
            linked: server.likely_connected(waiter.vm, now),
            errors: server.limit.errors(now),
            used: server.last_grant,
        })
    }

    /// Returns the calls that may be in flight at `server` without waiting.
    ///
    /// While VMs may still follow another home, that one may be using servers
    /// that have just started, so this one does not. Servers that are only idle
    /// get the calls of one that has just started.
    pub(super) fn usable_limit(&self, server: &Server, warmth: Warmth) -> u32 {
        if self.complete {
            return server.limit.current();
        }
        if warmth < Warmth::Lowered || !self.handover_trusted {
            return 0;
        }
        server.limit.current().saturating_sub(server.reserved)
    }

    /// Returns how many calls may wait in `server` beyond its limit.
    ///
    /// A slot stands idle from the end of a call until the next one arrives.
    /// So many calls wait in the server as are likely to end in that time: the
    /// mean of a Poisson count and one deviation.
    pub(super) fn queue_depth(&self, server: &Server, limit: u32) -> u32 {
        let shared = server.reserved > 0;
        if limit == 0 || shared || !server.limit.queues(&self.spec) {
            return 0;
        }
        let usual = server.limit.usual();
        if usual <= 0.0 {
            return 1;
        }
        // The way to the server and back is taken to be as long as that to
        // the home, which is what the gap covers.
        let ending = f64::from(limit) * 2.0 * self.idle_gap / usual;
        let expected = ending + ending.sqrt();
        if expected < ENDING_CALLS_MIN {
            return 0;
        }
        (expected.ceil() as u32).clamp(1, limit)
    }

    /// Returns whether `server` has run a call for so long, and answered nothing
    /// since it got it, that it most likely does not answer at all.
    ///
    /// It may only be running long calls, so it gets one call to try it in each
    /// such time; if that is answered, it is not stuck.
    fn is_stuck(&self, server: &Server, oldest: f64, now: Time) -> bool {
        let bound = (self.typical_time * SILENT).max(SILENT_MIN.as_secs_f64());
        let answered = server.limit.age(now).as_secs_f64() < oldest;
        let tried = now.saturating_sub(server.last_grant).as_secs_f64() < bound;
        self.typical_time > 0.0 && oldest >= bound && !answered && tried
    }

    pub(super) fn oldest_call_secs(&self, server: &Server, now: Time) -> f64 {
        if server.busy == 0 {
            return 0.0;
        }
        let permits = self.permits.list().iter();
        let since = permits
            .filter(|permit| permit.server == server.id)
            .map(|permit| permit.since)
            .min();
        since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64())
    }
}
