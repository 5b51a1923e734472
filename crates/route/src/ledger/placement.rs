//! Chooses a server for a request, and estimates how long a request waits.
//!
//! See `docs/design/homes.md` for the choice, and for the calls that wait in
//! the queue of a server.

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

/// The number of calls likely to end while the next call is on its way to the
/// server, from which on calls may wait in the server. Below it, the idle slot
/// costs less than a call that is bound to a server too early.
const ENDING_CALLS_MIN: f64 = 0.5;

impl Ledger {
    /// Returns the estimated wait of a request with `ahead` requests before it,
    /// from the limits and rate limits of the servers that are up and the mean time of a
    /// call.
    pub(super) fn estimated_wait(&self, ahead: usize, now: Time) -> Duration {
        let call_secs = self.mean_time + self.idle_gap;
        let slots = self.capacity(now);
        let rounds = ahead as f64 / if slots > 0.0 { slots } else { 1.0 };
        // The rates of several servers may allow the next calls all at the same time.
        let next = self
            .up_servers(now)
            .map(|server| server.rate_delay(now))
            .min();
        Duration::from_secs_f64(rounds * call_secs).max(next.unwrap_or_default())
    }

    /// Returns how many calls the servers that are up can run at once.
    pub(super) fn capacity(&self, now: Time) -> f64 {
        let call_secs = self.mean_time + self.idle_gap;
        let slots = self
            .up_servers(now)
            .map(|server| server.capacity(call_secs));
        slots.sum()
    }

    fn up_servers(&self, now: Time) -> impl Iterator<Item = &Server> {
        let group = self.usable_group(now);
        self.servers.iter().filter(move |server| {
            let usable = server.open && server.version == group;
            usable && server.limit.warmth(&self.spec) != Warmth::Down
        })
    }

    /// Returns the index of the best server for `waiter`, or none if no server
    /// has room for it; with `spare_only`, only warm servers with a free slot
    /// count.
    ///
    /// Servers that earlier attempts of the call have used are chosen only if
    /// there is no other open server, and never for a hedge or a rescue.
    pub(super) fn choose_server(
        &self,
        waiter: &Waiter,
        spare_only: bool,
        now: Time,
    ) -> Option<usize> {
        let avoid = &waiter.request.avoid;
        let all = || {
            self.servers
                .iter()
                .enumerate()
                .filter_map(|(index, server)| self.candidate(index, server, waiter, now))
                .filter(|candidate| !spare_only || (candidate.has_slot && candidate.warm))
        };
        let critical = waiter.request.class == Class::Critical;
        let untried = all().filter(|c| !avoid.contains(&self.servers[c.index].id));
        let work_factor = self.work_factor(waiter);
        let in_time = |c: &Candidate| {
            let left = (waiter.request.goal + waiter.queued_at).saturating_sub(now);
            now >= waiter.in_time_until || c.predicted_time() * work_factor <= left.as_secs_f64()
        };
        if self.tries_version(waiter, now) {
            let tried = untried.clone().filter(|c| self.is_on_trial(c.index));
            let best = choose::best(tried.filter(in_time), critical);
            if best.is_some() {
                return best;
            }
        }
        let best = choose::best(untried.filter(in_time), critical);
        let other_only = spare_only || waiter.request.kind == AttemptKind::Rescue;
        if best.is_some() || other_only || self.has_alternative(avoid, now) {
            return best;
        }
        choose::best(all().filter(in_time), critical)
    }

    /// Returns whether a server that any attempt may use exists that is not in `avoid`.
    pub(super) fn has_alternative(&self, avoid: &[ServerId], now: Time) -> bool {
        let servers = self.spec.servers.iter();
        let mut open = servers.filter(|server| self.may_use(server, now));
        open.any(|server| !avoid.contains(&server.id))
    }

    /// Returns `server`, which has the index `index`, as a candidate for
    /// `waiter`; none if it may not get the call now.
    pub(super) fn candidate(
        &self,
        index: usize,
        server: &Server,
        waiter: &Waiter,
        now: Time,
    ) -> Option<Candidate> {
        let spec = self.spec.server(server.id)?;
        let allowed = server.allowed_vms.binary_search(&waiter.vm).is_ok();
        if !self.may_expose(spec, waiter.request.kind, now) || !server.limit.is_up(now) || !allowed
        {
            return None;
        }
        let warmth = server.limit.warmth(&self.spec);
        if server.is_cold(&self.spec, now) && server.at_cold_rate(&self.spec, now) {
            return None;
        }
        if server.at_rate_limit(now) {
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
            index,
            has_slot: free,
            warm: warmth == Warmth::Warm,
            in_flight: server.busy,
            slots: spec.slots,
            service_time: server.limit.expected(self.typical_time, now),
            oldest_age: oldest,
            slowdown: self.slowdown_of(server, now),
            contention: self.contention(),
            local: spec.domain == waiter.request.domain,
            connected: server.likely_connected(waiter.vm, now),
            errors: server.limit.excess_errors(now),
            last_used: server.last_grant,
        })
    }

    /// Returns the number of calls that may be in flight at `server` before
    /// further calls wait in it.
    ///
    /// While the epoch is not complete, some VMs may still follow another home,
    /// which may be using the servers that have just started. This home then
    /// uses only servers that are warm, or were warm before their limit was
    /// lowered, and leaves the VMs that have not acknowledged the epoch their
    /// slots. A server whose limit was lowered because it was idle is used up
    /// to that limit, which is the limit of a server that has just started.
    pub(super) fn usable_limit(&self, server: &Server, warmth: Warmth) -> u32 {
        if self.complete {
            return server.limit.current();
        }
        if warmth < Warmth::Lowered || !self.handover_trusted {
            return 0;
        }
        server.limit.current().saturating_sub(server.reserved)
    }

    /// Returns how many calls beyond `limit` may wait in the queue of `server`.
    ///
    /// A slot is idle from the end of a call until the next call arrives. To
    /// keep it busy, as many calls wait in the server as are likely to end in
    /// that time: the mean of a Poisson distribution plus one standard
    /// deviation.
    pub(super) fn queue_depth(&self, server: &Server, limit: u32) -> u32 {
        let shared = server.reserved > 0;
        if limit == 0 || shared || !server.limit.allows_queueing(&self.spec) {
            return 0;
        }
        let usual = server.limit.usual_time();
        if usual <= 0.0 {
            return 1;
        }
        // The idle gap covers the round trip between VM and home. The round
        // trip between VM and server is assumed to take as long, hence the
        // factor 2.
        let ending = f64::from(limit) * 2.0 * self.idle_gap / usual;
        let likely = ending + ending.sqrt();
        if likely < ENDING_CALLS_MIN {
            return 0;
        }
        (likely.ceil() as u32).clamp(1, limit)
    }

    /// Returns whether `server` most likely does not respond at all: its oldest
    /// call has been in flight for [`UNRESPONSIVE_FACTOR`] typical service
    /// times, at least [`UNRESPONSIVE_MIN`], and no response has come since
    /// that call was granted.
    ///
    /// The server may only be running long calls, so it still gets one trial
    /// call in each such span; a response to that call shows that it is not
    /// stuck.
    fn is_stuck(&self, server: &Server, oldest: f64, now: Time) -> bool {
        let bound = (self.typical_time * UNRESPONSIVE_FACTOR).max(UNRESPONSIVE_MIN.as_secs_f64());
        let responded = server.limit.age(now).as_secs_f64() < oldest;
        let tried = now.saturating_sub(server.last_grant).as_secs_f64() < bound;
        self.typical_time > 0.0 && oldest >= bound && !responded && tried
    }

    /// Returns for how long the oldest call at `server` has been in flight, in
    /// seconds; 0 if there is none.
    pub(super) fn oldest_call_secs(&self, server: &Server, now: Time) -> f64 {
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
