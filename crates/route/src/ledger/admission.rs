//! Which calls are let in when there is no room at once.
//!
//! The load that this answers: more calls than the servers can serve within
//! their target latency. Serving all of them would serve all of them late, so a
//! call waits only if it can still be answered in time after those before it.
//! Any other is refused at once with the time after which there should be room,
//! unless so little waits that it is served soon anyway. Late calls go after
//! those of their class that are not. See `docs/design/limits.md`, "Overload".

use std::time::Duration;

use base::Time;

use super::Ledger;
use super::NO_SERVER_RETRY_AFTER;
use super::RETRY_AFTER_MIN;
use crate::msg::Kind;
use crate::msg::Reason;
use crate::queue::Waiter;

/// How much longer than expected a call may have to wait without being late. One
/// that is let in and refused later has waited for nothing.
const WAIT_MARGIN: f64 = 1.25;

impl Ledger {
    /// Returns the time that most calls take at a server that runs others too.
    ///
    /// The average is no measure of what can be in time: where hosts are slow by
    /// turns, a few calls are far above it and most are below.
    fn likely_time(&self) -> Duration {
        let contended = self.typical_time * (1.0 + self.contention());
        Duration::from_secs_f64(contended.min(self.mean_time))
    }

    /// Grants a permit to `waiter`, lets it wait, or refuses it.
    pub(super) fn admit(&mut self, mut waiter: Waiter, now: Time) {
        let service_time = self.likely_time();
        waiter.late = waiter.ask.goal < service_time;
        if !waiter.late && self.mean_slowdown > 1.0 {
            waiter.patient = now + waiter.ask.goal.saturating_sub(service_time);
        }
        let ahead = self.queue.ahead_of(&waiter);
        if ahead == 0 {
            if let Some(index) = self.choose_server(&waiter, false, now) {
                if self.probe_first(&mut waiter, index, now) {
                    self.queue.add(waiter);
                } else {
                    self.grant(&waiter, index, now);
                }
                return;
            }
        }
        let rescue = waiter.ask.kind == Kind::Rescue;
        let no_alternative = rescue && !self.has_alternative(&waiter.ask.avoid);
        if no_alternative || self.spec.open_slots() == 0 {
            self.refuse(
                waiter.vm,
                waiter.call,
                Reason::NoServer,
                NO_SERVER_RETRY_AFTER,
            );
            return;
        }
        let mut wait = self.expected_wait(ahead + 1);
        if !waiter.late && wait.mul_f64(WAIT_MARGIN) + service_time > waiter.ask.goal {
            waiter.late = true;
            wait = self.expected_wait(self.queue.ahead_of(&waiter) + 1);
        }
        let until = if waiter.late {
            now + waiter.ask.brief
        } else {
            now + waiter.ask.goal.saturating_sub(service_time)
        };
        waiter.until = waiter.until.min(until);
        let fits = now + wait <= waiter.until && self.queue.has_room(waiter.ask.class);
        if !fits {
            self.refuse(
                waiter.vm,
                waiter.call,
                Reason::Overload,
                wait.max(RETRY_AFTER_MIN),
            );
            return;
        }
        self.counts.queued += 1;
        self.send_queued(waiter.vm, waiter.call);
        self.queue.add(waiter);
    }
}
