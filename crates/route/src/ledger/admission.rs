//! Admission control: grants, queues or refuses a request for a permit.
//!
//! Under overload, more calls arrive than the servers can finish within their
//! target latency, and queueing all of them would make all of them late. A
//! request is therefore queued only if, after the requests ahead of it, its
//! call can still finish within the target. A call that cannot is late: its
//! request is queued behind the requests of the same class that are not late,
//! for a short time only, and is refused at once if the queue is too long for
//! that. The refusal carries the time after which there should be room. See
//! `docs/design/limits.md`, "Overload".

use std::time::Duration;

use base::Time;

use super::Ledger;
use super::NO_SERVER_RETRY_AFTER;
use super::RETRY_AFTER_MIN;
use crate::msg::AttemptKind;
use crate::msg::RefusalReason;
use crate::queue::Waiter;

/// Factor on the estimated wait in the check whether a call will be late. It is
/// above 1 because a call that is queued and then refused has waited in vain.
const WAIT_MARGIN: f64 = 1.25;

impl Ledger {
    /// Returns the service time to be expected for most calls at a server that
    /// runs other calls too.
    ///
    /// The mean over all calls only serves as an upper bound. Where hosts are
    /// slow by turns, a few calls take far longer than the mean and most take
    /// less.
    pub(super) fn likely_time(&self) -> Duration {
        let contended = self.typical_time * (1.0 + self.contention());
        Duration::from_secs_f64(contended.min(self.mean_time))
    }

    /// Grants a permit to `waiter`, queues it, or refuses it.
    pub(super) fn admit(&mut self, mut waiter: Waiter, now: Time) {
        self.record_ask(&mut waiter, now);
        let service_time = self.service_time(&waiter);
        waiter.late = waiter.request.goal < service_time;
        if !waiter.late && self.mean_slowdown > 1.0 {
            waiter.in_time_until = now + waiter.request.goal.saturating_sub(service_time);
        }
        let ahead = self.queue.ahead_of(&waiter);
        if ahead == 0 && !self.is_held_back(&waiter, now) {
            if let Some(index) = self.choose_server(&waiter, false, now) {
                self.record_serve(&waiter);
                if self.probe_first(&mut waiter, index, now) {
                    self.queue.add(waiter);
                } else {
                    self.grant(&waiter, index, now);
                }
                return;
            }
        }
        let rescue = waiter.request.kind == AttemptKind::Rescue;
        let no_alternative = rescue && !self.has_alternative(&waiter.request.avoid, now);
        let mut servers = self.spec.servers.iter();
        let usable = servers.any(|server| server.slots > 0 && self.may_use(server, now));
        if no_alternative || !usable {
            self.refuse(
                &waiter,
                RefusalReason::NoServer,
                NO_SERVER_RETRY_AFTER,
                false,
            );
            return;
        }
        let mut wait = self.wait_of(&waiter, ahead, now);
        if !waiter.late && wait.mul_f64(WAIT_MARGIN) + service_time > waiter.request.goal {
            waiter.late = true;
            wait = self.wait_of(&waiter, self.queue.ahead_of(&waiter), now);
        }
        let until = if waiter.late {
            now + waiter.request.late_wait
        } else {
            now + waiter.request.goal.saturating_sub(service_time)
        };
        waiter.expires = waiter.expires.min(until);
        let fits = now + wait <= waiter.expires && self.queue.has_room(waiter.request.class);
        if !fits {
            let after = match waiter.request.ranking {
                Some(_) => self.retry_after(&waiter, now),
                None => wait.max(RETRY_AFTER_MIN),
            };
            self.refuse(&waiter, RefusalReason::Overload, after, false);
            return;
        }
        self.counts.queued += 1;
        self.record_serve(&waiter);
        self.send_queued(waiter.vm, waiter.call);
        let ranked = waiter.request.ranking.is_some();
        let is_last = self.queue.ahead_of(&waiter) == self.queue.len();
        self.queue.add(waiter);
        if ranked && !is_last {
            self.evict(now);
        }
    }
}
