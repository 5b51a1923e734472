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
use crate::limit::UNRESPONSIVE_FACTOR;
use crate::limit::UNRESPONSIVE_MIN;
use crate::msg::AttemptKind;
use crate::msg::Warmth;
use crate::queue::Waiter;

/// Calls that end while the next one is on its way, from which on one waits in
/// the server; below it, the slot that stands idle costs less than a call that
/// is bound to a server too early.
const DEPTH_MIN: f64 = 0.5;

impl Ledger {
    /// Returns how long a request waits that has `ahead` others before it.
    pub(super) fn wait_of(&self, ahead: usize) -> Duration {
        let up = self.servers.iter().filter(|server| {
            let open = self.spec.server(server.id).is_some_and(|s| s.open);
            open && server.limit.warmth(&self.spec) != Warmth::Down
        });
        let slots: u32 = up.map(|server| server.limit.current()).sum();
        let rounds = ahead as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64(rounds * (self.average + self.gap))
    }

    /// Returns the place of the server for `waiter`; with `spare` only one
    /// that has a free slot and is warm.
    pub(super) fn place(&self, waiter: &Waiter, spare: bool, now: Time) -> Option<usize> {
        let avoid = &waiter.request.avoid;
        let all = || {
            self.servers
                .iter()
                .enumerate()
                .filter_map(|(at, server)| self.candidate(at, server, waiter, now))
                .filter(|candidate| !spare || (candidate.has_slot && candidate.warm))
        };
        let wary = waiter.request.class == Class::Critical;
        let fresh = all().filter(|c| !avoid.contains(&self.servers[c.index].id));
        let in_time = |c: &Candidate| {
            let left = (waiter.request.goal + waiter.queued_at).saturating_sub(now);
            now >= waiter.in_time_until || c.predicted_time() <= left.as_secs_f64()
        };
        let best = choose::best(fresh.filter(in_time), wary);
        let elsewhere = spare || waiter.request.kind == AttemptKind::Rescue;
        if best.is_some() || elsewhere || self.has_other(avoid) {
            return best;
        }
        choose::best(all().filter(in_time), wary)
    }

    /// Returns whether an open server exists that is not in `avoid`.
    pub(super) fn has_other(&self, avoid: &[ServerId]) -> bool {
        let mut open = self.spec.servers.iter().filter(|server| server.open);
        open.any(|server| !avoid.contains(&server.id))
    }

    pub(super) fn candidate(
        &self,
        at: usize,
        server: &Server,
        waiter: &Waiter,
        now: Time,
    ) -> Option<Candidate> {
        let spec = self.spec.server(server.id)?;
        let admitted = server.admitted.binary_search(&waiter.vm).is_ok();
        if !spec.open || !server.limit.is_up(now) || !admitted {
            return None;
        }
        let warmth = server.limit.warmth(&self.spec);
        if server.is_cold(&self.spec, now) && server.has_its_rate(&self.spec, now) {
            return None;
        }
        let limit = self.usable(server, warmth);
        let free = server.busy < limit;
        if !free && server.busy >= limit + self.depth(server, limit) {
            return None;
        }
        let oldest = self.oldest(server, now);
        if self.is_stuck(server, oldest, now) {
            return None;
        }
        Some(Candidate {
            index: at,
            has_slot: free,
            warm: warmth == Warmth::Warm,
            in_flight: server.busy,
            slots: spec.slots,
            service_time: server.limit.expected(self.typical, now),
            oldest_age: oldest,
            slowdown: self.pace_of(server, now),
            contention: self.crowding(),
            local: spec.domain == waiter.request.domain,
            connected: server.is_linked(waiter.vm, now),
            errors: server.limit.excess_errors(now),
            last_used: server.used,
        })
    }

    /// Returns the calls that may be in flight at `server` without waiting.
    ///
    /// While VMs may still follow another home, that one may be using servers
    /// that have just started, so this one does not. Servers that are only idle
    /// get the calls of one that has just started.
    pub(super) fn usable(&self, server: &Server, warmth: Warmth) -> u32 {
        if self.complete {
            return server.limit.current();
        }
        if warmth < Warmth::Lowered || !self.trusted {
            return 0;
        }
        server.limit.current().saturating_sub(server.reserved)
    }

    /// Returns how many calls may wait in `server` beyond its limit.
    ///
    /// A slot stands idle from the end of a call until the next one arrives.
    /// So many calls wait in the server as are likely to end in that time: the
    /// mean of a Poisson count and one deviation.
    pub(super) fn depth(&self, server: &Server, limit: u32) -> u32 {
        let shared = server.reserved > 0;
        if limit == 0 || shared || !server.limit.allows_queueing(&self.spec) {
            return 0;
        }
        let usual = server.limit.usual_time();
        if usual <= 0.0 {
            return 1;
        }
        // The way to the server and back is taken to be as long as that to
        // the home, which is what the gap covers.
        let ending = f64::from(limit) * 2.0 * self.gap / usual;
        let likely = ending + ending.sqrt();
        if likely < DEPTH_MIN {
            return 0;
        }
        (likely.ceil() as u32).clamp(1, limit)
    }

    /// Returns whether `server` has run a call for so long, and answered nothing
    /// since it got it, that it most likely does not answer at all.
    ///
    /// It may only be running long calls, so it gets one call to try it in each
    /// such time; if that is answered, it is not stuck.
    fn is_stuck(&self, server: &Server, oldest: f64, now: Time) -> bool {
        let bound = (self.typical * UNRESPONSIVE_FACTOR).max(UNRESPONSIVE_MIN.as_secs_f64());
        let answered = server.limit.age(now).as_secs_f64() < oldest;
        let tried = now.saturating_sub(server.used).as_secs_f64() < bound;
        self.typical > 0.0 && oldest >= bound && !answered && tried
    }

    pub(super) fn oldest(&self, server: &Server, now: Time) -> f64 {
        if server.busy == 0 {
            return 0.0;
        }
        let permits = self.permits.list().iter();
        let since = permits
            .filter(|permit| permit.server == server.id)
            .map(|permit| permit.granted_at)
            .min();
        since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64())
    }
}
