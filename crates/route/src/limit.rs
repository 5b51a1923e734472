//! The concurrency limit of one server.
//!
//! A server starts cold, with the few calls that its service configures for cold
//! servers. Healthy responses raise the limit one by one up to the server's slots.
//! A refusal, a broken connection or a jump of the service times lowers it at
//! once, because servers become cold without notice. What is known about a server
//! that has not responded for long no longer counts, since the server may have
//! restarted in the meantime. See `docs/design/limits.md`.

use std::time::Duration;

use base::Outcome;
use base::Time;

use crate::msg::ServerSummary;
use crate::msg::Warmth;
use crate::spec::Announcement;
use crate::spec::ServerSpec;
use crate::spec::ShardSpec;

/// Weight of one response in the average share of failures.
const ERROR_WEIGHT: f64 = 0.2;
/// The share of failures that is ignored, because healthy servers also fail a call
/// now and then. One failure after only successes stays below it.
const ERROR_BASELINE: f64 = 0.25;
const ERROR_HALF_LIFE_SECS: f64 = 2.0;
/// Weight of one response in the average service time.
const SERVICE_TIME_WEIGHT: f64 = 0.2;
/// Cap on the service time that one response contributes to the average, in usual
/// service times.
const OUTLIER_FACTOR: f64 = 2.0;
/// Usual service times up to which a response is healthy.
const HEALTHY_FACTOR: f64 = 3.0;
/// Weight of one response in the average slowdown of a server.
const SLOWDOWN_WEIGHT: f64 = 0.125;
/// The average slowdown up to which the limit grows. A server that is still
/// warming up is slower.
const GROWTH_SLOWDOWN_MAX: f64 = 1.5;
/// The factor by which the number of healthy responses that the limit needs to
/// grow can increase, after the server failed at a raised limit.
const GROW_AFTER_FACTOR_MAX: u32 = 16;
/// The average slowdown from which a server counts as cold. Noise from neighbors
/// on the server's host stays below it.
const COLD_SLOWDOWN: f64 = 8.0;
/// The cap on the slowdown of one call, also of one that got no response in time.
/// A single slow call does not lift the average above [`COLD_SLOWDOWN`].
const SLOWDOWN_CAP: f64 = 20.0;
/// Consecutive calls of at least [`COLD_SLOWDOWN`] usual service times without a
/// response after which a server counts as down.
const UNANSWERED_MAX: u32 = 3;
/// The backoff after the first failure of a server.
const DOWN_BACKOFF_MIN: Duration = Duration::from_millis(250);
const DOWN_BACKOFF_MAX: Duration = Duration::from_secs(5);
/// The backoff after a server refused a call.
const SHED_BACKOFF: Duration = Duration::from_millis(20);
/// How long after its last response the state of a server without calls stays
/// valid.
///
/// If a server closes a connection sooner than this after its last use, it has
/// probably restarted. A connection that was idle for longer may also have reached
/// the server's idle timeout.
pub const IDLE_STATE_TTL: Duration = Duration::from_secs(4);
/// Usual service times that a server may take to respond before it counts as
/// unresponsive.
pub const UNRESPONSIVE_FACTOR: f64 = 20.0;
/// The lower bound of the time after which a server counts as unresponsive.
pub const UNRESPONSIVE_MIN: Duration = Duration::from_millis(100);
const SERVICE_TIME_HALF_LIFE_SECS: f64 = 1.0;

/// The concurrency limit of one server, and the observations that it follows from.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: u32,
    current: u32,
    /// Healthy responses counted towards the next increase of the limit.
    healthy: u32,
    /// Healthy responses after which the limit grows by one.
    grow_after: u32,
    /// Average of the service times in units of the service's usual time.
    slowdown: f64,
    /// Consecutive failures, which determine the backoff.
    failures: u32,
    /// Consecutive calls that got no response for long.
    unanswered: u32,
    down: bool,
    lowered: bool,
    backoff_until: Time,
    /// Average service time in seconds, 0 if unknown.
    usual_time: f64,
    last_response: Time,
    /// Whether the server has ever refused a call, so that calls do not queue in it.
    sheds: bool,
    /// Average share of failed responses, before its decay since `last_error`.
    error_share: f64,
    last_error: Time,
    /// When the server may have restarted last.
    suspected_at: Option<Time>,
}

impl Limit {
    /// Creates the limit of a server that has not responded yet: all slots if the
    /// server has announced that it is warm, and otherwise the limit of a cold
    /// server.
    pub fn new(server: &ServerSpec, spec: &ShardSpec) -> Self {
        Self {
            slots: server.slots,
            current: match server.announced {
                Announcement::Warm => server.slots,
                Announcement::Unknown | Announcement::Cold(_) => spec.cold_limit.min(server.slots),
            },
            healthy: 0,
            grow_after: spec.grow_after,
            slowdown: 1.0,
            failures: 0,
            unanswered: 0,
            down: false,
            lowered: false,
            backoff_until: Time::ZERO,
            usual_time: 0.0,
            last_response: Time::ZERO,
            sheds: false,
            error_share: 0.0,
            last_error: Time::ZERO,
            suspected_at: None,
        }
    }

    /// Takes over the state that a previous home reported.
    pub fn adopt(&mut self, summary: &ServerSummary, now: Time) {
        self.current = summary.limit.clamp(1, self.slots);
        self.down = summary.warmth == Warmth::Down;
        self.lowered = summary.warmth == Warmth::Lowered;
        self.usual_time = summary.usual.as_secs_f64();
        self.last_response = self.last_response.max(now.saturating_sub(summary.age));
    }

    /// Returns the time since the server's last response.
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.last_response)
    }

    /// Returns whether the limit is above that of a cold server although the server
    /// has not responded for [`IDLE_STATE_TTL`], during which it may have restarted.
    pub fn is_stale(&self, spec: &ShardSpec, now: Time) -> bool {
        self.current > self.cold_limit(spec) && self.age(now) >= IDLE_STATE_TTL
    }

    /// Resets the limit to that of a cold server without a sign of a restart.
    ///
    /// A server that was warm becomes [`Warmth::Lowered`] rather than cold.
    pub fn lower(&mut self, spec: &ShardSpec) {
        let warm = self.warmth(spec) >= Warmth::Lowered;
        self.reset_to_cold(spec);
        self.lowered = warm;
    }

    fn cold_limit(&self, spec: &ShardSpec) -> u32 {
        spec.cold_limit.min(self.slots)
    }

    /// Applies a change of the server's slots; the limit is capped at them.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.current = self.current.min(slots);
    }

    /// Returns the limit: the number of calls that the server may run at once, not
    /// counting calls that queue in the server.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether the server may be given calls: it is neither down nor in a
    /// backoff.
    pub fn is_up(&self, now: Time) -> bool {
        !self.down && now >= self.backoff_until
    }

    /// Returns whether the server is down and its backoff has passed, so that a
    /// probe should find out whether it works again.
    pub fn wants_probe(&self, now: Time) -> bool {
        self.down && now >= self.backoff_until
    }

    /// Returns the end of the server's current or last backoff, zero if there was
    /// none. The server gets no calls before it.
    pub fn backoff_until(&self) -> Time {
        self.backoff_until
    }

    /// Returns the warmth that follows from the limit.
    pub fn warmth(&self, spec: &ShardSpec) -> Warmth {
        if self.down {
            Warmth::Down
        } else if self.current >= self.slots {
            Warmth::Warm
        } else if self.lowered {
            Warmth::Lowered
        } else if self.current <= spec.cold_limit {
            Warmth::Cold
        } else {
            Warmth::Warming
        }
    }

    /// Returns whether calls beyond the limit may queue in the server. They may if
    /// the service allows it, the limit equals the slots and the server has never
    /// refused a call.
    pub fn allows_queueing(&self, spec: &ShardSpec) -> bool {
        spec.server_queues && !self.sheds && self.current >= self.slots
    }

    /// Returns the server's average service time in seconds, 0 if unknown.
    pub fn usual_time(&self) -> f64 {
        self.usual_time
    }

    /// Returns the expected service time in seconds, where `typical` is that of the
    /// service's servers.
    ///
    /// The server's own average loses half of its weight against `typical` in each
    /// half-life without a response, so that a server that was slow once is tried
    /// again.
    pub fn expected(&self, typical: f64, now: Time) -> f64 {
        if self.usual_time == 0.0 {
            return typical;
        }
        let age = now.saturating_sub(self.last_response).as_secs_f64();
        typical + (self.usual_time - typical) * (-age / SERVICE_TIME_HALF_LIFE_SECS).exp2()
    }

    /// Returns the share of failed responses above the baseline, from 0 to 1. It
    /// decays while no failure is recorded.
    pub fn excess_errors(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.last_error).as_secs_f64();
        let errors = self.error_share * (-age / ERROR_HALF_LIFE_SECS).exp2();
        (errors - ERROR_BASELINE).max(0.0) / (1.0 - ERROR_BASELINE)
    }

    /// Records the end of an attempt that took `took` seconds; `typical` is the
    /// service's usual time in seconds, 0 if unknown.
    pub fn record(
        &mut self,
        outcome: Outcome,
        took: f64,
        typical: f64,
        spec: &ShardSpec,
        now: Time,
    ) {
        match outcome {
            Outcome::Done => {
                self.error_share -= self.error_share * ERROR_WEIGHT;
                self.record_done(took, typical, spec, now);
            }
            Outcome::Failed => {
                self.failures = 0;
                self.unanswered = 0;
                self.last_response = now;
                self.last_error = now;
                self.error_share += (1.0 - self.error_share) * ERROR_WEIGHT;
            }
            Outcome::Shed => self.record_shed(spec, now),
            Outcome::Unreachable | Outcome::Broken => self.record_failure(spec, now),
            Outcome::Late => self.record_late(took, typical, spec, now),
            Outcome::Cancelled | Outcome::Unused => {}
        }
    }

    fn record_done(&mut self, took: f64, typical: f64, spec: &ShardSpec, now: Time) {
        self.failures = 0;
        self.unanswered = 0;
        self.last_response = now;
        if self.usual_time == 0.0 {
            self.usual_time = took;
        } else {
            // A single slow response reflects a momentary load of the host more
            // than the server, so its weight is capped.
            let took = took.min(self.usual_time * OUTLIER_FACTOR);
            self.usual_time += (took - self.usual_time) * SERVICE_TIME_WEIGHT;
        }
        let known = typical > 0.0;
        if known && self.record_slowdown(took / typical) {
            self.lower(spec);
            return;
        }
        if known && took > typical * HEALTHY_FACTOR {
            return;
        }
        self.healthy = self.healthy.saturating_add(1);
        if self.healthy < self.grow_after || self.slowdown > GROWTH_SLOWDOWN_MAX {
            return;
        }
        if self.current < self.slots {
            self.current += 1;
            self.healthy = 0;
        } else {
            self.grow_after = spec.grow_after;
        }
    }

    /// Records the slowdown of one call, and returns whether the average is that of
    /// a cold server.
    fn record_slowdown(&mut self, factor: f64) -> bool {
        self.slowdown += (factor.min(SLOWDOWN_CAP) - self.slowdown) * SLOWDOWN_WEIGHT;
        self.slowdown > COLD_SLOWDOWN
    }

    /// Raises the limit to the server's slots, because the server itself reports
    /// that it is warm.
    pub fn mark_warm(&mut self) {
        self.current = self.slots;
        self.suspected_at = None;
        self.lowered = false;
        self.slowdown = 1.0;
    }

    /// Records that the server may have restarted at `now`.
    pub fn suspect_restart(&mut self, now: Time) {
        self.suspected_at = Some(now);
    }

    /// Returns whether the server may be cold because of a suspected restart, even
    /// if it has not reported that it is.
    pub fn may_be_cold(&self, spec: &ShardSpec, now: Time) -> bool {
        self.suspected_at
            .is_some_and(|at| now < at + spec.cold_duration)
    }

    /// Resets the limit to that of a server that has just started.
    pub fn reset_to_cold(&mut self, spec: &ShardSpec) {
        self.current = self.cold_limit(spec);
        self.lowered = false;
        self.healthy = 0;
        self.slowdown = 1.0;
    }

    fn record_shed(&mut self, spec: &ShardSpec, now: Time) {
        self.sheds = true;
        self.lowered = false;
        self.healthy = 0;
        self.current = (self.current - 1).max(self.cold_limit(spec));
        self.backoff_until = self.backoff_until.max(now + SHED_BACKOFF);
    }

    /// Records a call that was given up after `took` seconds without a response.
    ///
    /// A call that was given up early says little about the server. A server that
    /// leaves several consecutive calls without a response for long counts as down.
    fn record_late(&mut self, took: f64, typical: f64, spec: &ShardSpec, now: Time) {
        self.healthy = 0;
        let factor = if typical > 0.0 {
            took / typical
        } else {
            SLOWDOWN_CAP
        };
        if factor >= COLD_SLOWDOWN {
            self.unanswered += 1;
        }
        if self.unanswered >= UNANSWERED_MAX {
            self.unanswered = 0;
            self.record_failure(spec, now);
        } else if self.record_slowdown(factor) {
            self.lower(spec);
        }
    }

    /// Marks the server as down and cold, with an exponential backoff.
    fn record_failure(&mut self, spec: &ShardSpec, now: Time) {
        let grew = self.current > spec.cold_limit && self.healthy < self.grow_after;
        if grew && !self.down {
            // The server may have failed because the limit grew too soon.
            self.grow_after = (self.grow_after * 2).min(spec.grow_after * GROW_AFTER_FACTOR_MAX);
        }
        self.reset_to_cold(spec);
        let backoff = DOWN_BACKOFF_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.down = true;
        self.backoff_until = now + backoff.min(DOWN_BACKOFF_MAX);
    }

    /// Records the result of a probe of a server that is down. A server that
    /// responds becomes cold rather than warm, as it may have restarted.
    pub fn record_probe(&mut self, ok: bool, spec: &ShardSpec, now: Time) {
        if ok {
            self.down = false;
            self.reset_to_cold(spec);
            self.suspect_restart(now);
        } else {
            self.record_failure(spec, now);
        }
    }
}
