//! The limit of one server: how many calls it bears at this moment.
//!
//! A server starts cold, at the few calls its service names. Healthy answers
//! raise the limit one by one up to its slots. A refusal, a broken connection
//! or a jump of its service times lower it at once, because servers turn cold
//! without warning. What is known of a server that has not answered for long
//! does not count any more: it may have restarted meanwhile. See
//! `docs/design/limits.md`.

use std::time::Duration;

use base::Outcome;
use base::Time;

use crate::msg::ServerSummary;
use crate::msg::Warmth;
use crate::spec::Announcement;
use crate::spec::ServerSpec;
use crate::spec::ShardSpec;

/// Weight of one answer in the share of those that say that the server failed.
const ERROR_WEIGHT: f64 = 0.2;
/// The share of failed answers that counts as none: one alone says little, as
/// sound servers fail a call now and then.
const ERROR_USUAL: f64 = 0.25;
/// The age at which half of what is known of a server's failures counts.
const ERROR_HALF_LIFE: f64 = 2.0;
/// Weight of one answer in the average service time.
const WEIGHT: f64 = 0.2;
/// Usual service times that one answer counts as in that average at the most.
const OUTLIER: f64 = 2.0;
/// An answer is healthy if it took at most this many usual service times.
const HEALTHY: f64 = 3.0;
/// Weight of one answer in the average pace of a server.
const PACE_WEIGHT: f64 = 0.125;
/// The limit grows only while answers take at most this many usual service
/// times on average; a server that is not yet warm is slower.
const WARM_PACE: f64 = 1.5;
/// How much longer than the service asks for a server is kept at a limit at
/// the most, after it failed at the next one.
const NEED_MAX: u32 = 16;
/// A server whose answers take this many usual service times on that average
/// counts as cold; a neighbour's noise stays below it.
const JUMP: f64 = 8.0;
/// Usual service times that one answer counts as at the most, also one that
/// never came in time; a single slow one is not a jump.
const LATE: f64 = 20.0;
/// Calls in a row that a server may leave without an answer for long before it
/// counts as down.
const SILENT_MAX: u32 = 3;
/// The first pause of a server that failed.
const PAUSE_MIN: Duration = Duration::from_millis(250);
/// The longest pause of a server that keeps failing.
const PAUSE_MAX: Duration = Duration::from_secs(5);
/// The pause of a server that refused a call.
const SHED_PAUSE: Duration = Duration::from_millis(20);
/// The time after its last answer for which a server without calls counts as
/// it was. A connection that a server closes sooner after its last use tells of
/// a restart; one that was idle for longer may just have been idle too long.
pub const IDLE_STATE_TTL: Duration = Duration::from_secs(4);
/// Usual service times for which a server may leave a call without an answer
/// until it is thought not to answer at all.
pub const UNRESPONSIVE_FACTOR: f64 = 20.0;
/// The shortest time for which it may do so.
pub const UNRESPONSIVE_MIN: Duration = Duration::from_millis(100);
/// The age at which half of what was learned about a server's speed counts.
const HALF_LIFE: f64 = 1.0;

/// The limit and what it is derived from.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: u32,
    current: u32,
    healthy: u32,
    need: u32,
    pace: f64,
    failures: u32,
    silent: u32,
    down: bool,
    lowered: bool,
    paused: Time,
    usual: f64,
    heard: Time,
    sheds: bool,
    errors: f64,
    erred: Time,
    back: Option<Time>,
}

impl Limit {
    /// Makes the limit of a server about which nothing is known.
    pub fn new(server: &ServerSpec, spec: &ShardSpec) -> Self {
        Self {
            slots: server.slots,
            current: match server.announced {
                Announcement::Warm => server.slots,
                Announcement::Unknown | Announcement::Cold(_) => spec.cold_limit.min(server.slots),
            },
            healthy: 0,
            need: spec.grow_after,
            pace: 1.0,
            failures: 0,
            silent: 0,
            down: false,
            lowered: false,
            paused: Time::ZERO,
            usual: 0.0,
            heard: Time::ZERO,
            sheds: false,
            errors: 0.0,
            erred: Time::ZERO,
            back: None,
        }
    }

    /// Takes over what an earlier home knew.
    pub fn adopt(&mut self, line: &ServerSummary, now: Time) {
        self.current = line.limit.clamp(1, self.slots);
        self.down = line.warmth == Warmth::Down;
        self.lowered = line.warmth == Warmth::Lowered;
        self.usual = line.usual.as_secs_f64();
        self.heard = self.heard.max(now.saturating_sub(line.age));
    }

    /// Returns how long ago the server last answered.
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.heard)
    }

    /// Returns whether its limit is above that of a server that has just
    /// started although it has not answered for long, in which it may have
    /// restarted.
    pub fn is_stale(&self, spec: &ShardSpec, now: Time) -> bool {
        self.current > self.coldest(spec) && self.age(now) >= IDLE_STATE_TTL
    }

    /// Sets the limit back without a sign of a restart; a server that was warm
    /// is remembered as such.
    pub fn lower(&mut self, spec: &ShardSpec) {
        let warm = self.warmth(spec) >= Warmth::Lowered;
        self.reset_to_cold(spec);
        self.lowered = warm;
    }

    fn coldest(&self, spec: &ShardSpec) -> u32 {
        spec.cold_limit.min(self.slots)
    }

    /// Follows a change of the server's slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.current = self.current.min(slots);
    }

    /// Returns the calls it bears at once, without those that wait in it.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether it may be given a call at all.
    pub fn is_up(&self, now: Time) -> bool {
        !self.down && now >= self.paused
    }

    /// Returns whether it is down and its pause has passed.
    pub fn wants_probe(&self, now: Time) -> bool {
        self.down && now >= self.paused
    }

    /// Returns until when it gets no calls.
    pub fn paused_until(&self) -> Time {
        self.paused
    }

    /// Returns how warm it is.
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

    /// Returns whether calls beyond its slots may wait in it.
    pub fn allows_queueing(&self, spec: &ShardSpec) -> bool {
        spec.server_queues && !self.sheds && self.current >= self.slots
    }

    /// Returns its usual service time in seconds, 0 if unknown.
    pub fn usual_time(&self) -> f64 {
        self.usual
    }

    /// Returns the expected service time in seconds, given that of its peers.
    ///
    /// What was learned long ago counts less and less, so that a server that
    /// was slow once is tried again.
    pub fn expected(&self, typical: f64, now: Time) -> f64 {
        if self.usual == 0.0 {
            return typical;
        }
        let age = now.saturating_sub(self.heard).as_secs_f64();
        typical + (self.usual - typical) * (-age / HALF_LIFE).exp2()
    }

    /// Returns the share of its answers that say that it failed, beyond what is
    /// usual and as far as that still counts.
    pub fn excess_errors(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.erred).as_secs_f64();
        let errors = self.errors * (-age / ERROR_HALF_LIFE).exp2();
        (errors - ERROR_USUAL).max(0.0) / (1.0 - ERROR_USUAL)
    }

    /// Notes how an attempt ended; `typical` is the service's usual time.
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
                self.errors -= self.errors * ERROR_WEIGHT;
                self.done(took, typical, spec, now);
            }
            Outcome::Failed => {
                self.failures = 0;
                self.silent = 0;
                self.heard = now;
                self.erred = now;
                self.errors += (1.0 - self.errors) * ERROR_WEIGHT;
            }
            Outcome::Shed => self.shed(spec, now),
            Outcome::Unreachable | Outcome::Broken => self.fail(spec, now),
            Outcome::Late => self.late(took, typical, spec, now),
            Outcome::Cancelled | Outcome::Unused => {}
        }
    }

    fn done(&mut self, took: f64, typical: f64, spec: &ShardSpec, now: Time) {
        self.failures = 0;
        self.silent = 0;
        self.heard = now;
        if self.usual == 0.0 {
            self.usual = took;
        } else {
            // One slow answer says more of its host's moment than of the server.
            let took = took.min(self.usual * OUTLIER);
            self.usual += (took - self.usual) * WEIGHT;
        }
        let known = typical > 0.0;
        if known && self.jumps(took / typical) {
            self.lower(spec);
            return;
        }
        if known && took > typical * HEALTHY {
            return;
        }
        self.healthy = self.healthy.saturating_add(1);
        if self.healthy < self.need || self.pace > WARM_PACE {
            return;
        }
        if self.current < self.slots {
            self.current += 1;
            self.healthy = 0;
        } else {
            self.need = spec.grow_after;
        }
    }

    /// Notes how many usual times an answer took; returns whether that is a jump.
    fn jumps(&mut self, times: f64) -> bool {
        self.pace += (times.min(LATE) - self.pace) * PACE_WEIGHT;
        self.pace > JUMP
    }

    /// Takes a server's own word that it bears its slots.
    pub fn mark_warm(&mut self) {
        self.current = self.slots;
        self.back = None;
        self.lowered = false;
        self.pace = 1.0;
    }

    /// Notes that the server may have restarted just now.
    pub fn suspect_restart(&mut self, now: Time) {
        self.back = Some(now);
    }

    /// Returns whether the server may be cold without having said so yet.
    pub fn may_be_cold(&self, spec: &ShardSpec, now: Time) -> bool {
        self.back
            .is_some_and(|back| now < back + spec.cold_duration)
    }

    /// Sets the limit back to that of a server that has just started.
    pub fn reset_to_cold(&mut self, spec: &ShardSpec) {
        self.current = self.coldest(spec);
        self.lowered = false;
        self.healthy = 0;
        self.pace = 1.0;
    }

    fn shed(&mut self, spec: &ShardSpec, now: Time) {
        self.sheds = true;
        self.lowered = false;
        self.healthy = 0;
        self.current = (self.current - 1).max(self.coldest(spec));
        self.paused = self.paused.max(now + SHED_PAUSE);
    }

    /// Notes a call that was given up after `took`.
    ///
    /// One that was given up early says little. A server that leaves several in
    /// a row without an answer for long does not answer at all.
    fn late(&mut self, took: f64, typical: f64, spec: &ShardSpec, now: Time) {
        self.healthy = 0;
        let times = if typical > 0.0 { took / typical } else { LATE };
        if times >= JUMP {
            self.silent += 1;
        }
        if self.silent >= SILENT_MAX {
            self.silent = 0;
            self.fail(spec, now);
        } else if self.jumps(times) {
            self.lower(spec);
        }
    }

    fn fail(&mut self, spec: &ShardSpec, now: Time) {
        let grew = self.current > spec.cold_limit && self.healthy < self.need;
        if grew && !self.down {
            // It may have failed because the limit grew too soon.
            self.need = (self.need * 2).min(spec.grow_after * NEED_MAX);
        }
        self.reset_to_cold(spec);
        let pause = PAUSE_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.down = true;
        self.paused = now + pause.min(PAUSE_MAX);
    }

    /// Notes the result of a probe; a server that answers is cold, not warm.
    pub fn record_probe(&mut self, ok: bool, spec: &ShardSpec, now: Time) {
        if ok {
            self.down = false;
            self.reset_to_cold(spec);
            self.suspect_restart(now);
        } else {
            self.fail(spec, now);
        }
    }
}
