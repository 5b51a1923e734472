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
use super::NO_SERVER_WAIT;
use super::RETRY_MIN;
use crate::msg::AttemptKind;
use crate::msg::RefusalReason;
use crate::queue::Waiter;

/// How much longer than expected a call may have to wait without being late. One
/// that is let in and refused later has waited for nothing.
const MARGIN: f64 = 1.25;

impl Ledger {
    /// Returns the time that most calls take at a server that runs others too.
    ///
    /// The average is no measure of what can be in time: where hosts are slow by
    /// turns, a few calls are far above it and most are below.
    fn likely(&self) -> Duration {
        let crowded = self.typical * (1.0 + self.crowding());
        Duration::from_secs_f64(crowded.min(self.average))
    }

    /// Grants a permit to `waiter`, lets it wait, or refuses it.
    pub(super) fn admit(&mut self, mut waiter: Waiter, now: Time) {
        let finish = self.likely();
        waiter.late = waiter.request.goal < finish;
        if !waiter.late && self.slowness > 1.0 {
            waiter.in_time_until = now + waiter.request.goal.saturating_sub(finish);
        }
        let ahead = self.queue.ahead_of(&waiter);
        if ahead == 0 {
            if let Some(at) = self.place(&waiter, false, now) {
                if self.asks_first(&mut waiter, at, now) {
                    self.queue.add(waiter);
                } else {
                    self.grant(&waiter, at, now);
                }
                return;
            }
        }
        let elsewhere = waiter.request.kind == AttemptKind::Rescue;
        let hopeless = elsewhere && !self.has_other(&waiter.request.avoid);
        if hopeless || self.spec.open_slots() == 0 {
            self.refuse(
                waiter.vm,
                waiter.call,
                RefusalReason::NoServer,
                NO_SERVER_WAIT,
            );
            return;
        }
        let mut wait = self.wait_of(ahead + 1);
        if !waiter.late && wait.mul_f64(MARGIN) + finish > waiter.request.goal {
            waiter.late = true;
            wait = self.wait_of(self.queue.ahead_of(&waiter) + 1);
        }
        let until = if waiter.late {
            now + waiter.request.late_wait
        } else {
            now + waiter.request.goal.saturating_sub(finish)
        };
        waiter.expires = waiter.expires.min(until);
        let fits = now + wait <= waiter.expires && self.queue.has_room(waiter.request.class);
        if !fits {
            self.refuse(
                waiter.vm,
                waiter.call,
                RefusalReason::Overload,
                wait.max(RETRY_MIN),
            );
            return;
        }
        self.counts.queued += 1;
        self.send_queued(waiter.vm, waiter.call);
        self.queue.add(waiter);
    }
}
