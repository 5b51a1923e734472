//! Budget of second attempts (retries or hedges) of a service.
//!
//! Within a sliding window, second attempts may make up a percentage of the
//! first attempts plus a fixed slack. The slack lets a service with little
//! traffic make second attempts at all. Both kinds of attempt are counted in
//! slices of the window.
//!
//! A new budget starts with empty counts: it does not know how many second
//! attempts the previous home allowed in the same window. The configured slack has
//! to allow for that.

use std::time::Duration;

use base::Time;

const SLICES: usize = 20;
/// The span over which attempts are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// A sliding-window budget of second attempts, in proportion to first attempts.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    slack: u32,
    slices: [Slice; SLICES],
    /// Number of the current slice, counted from time zero.
    current: u64,
}

/// Attempts counted in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    first_attempts: u32,
    second_attempts: u32,
}

impl Budget {
    /// Creates a budget of `percent` second attempts per hundred first attempts,
    /// plus `slack` more per window.
    ///
    /// With `percent` 0 no second attempt is allowed, whatever the slack.
    pub fn new(percent: u32, slack: u32) -> Self {
        Self {
            percent,
            slack,
            slices: [Slice::default(); SLICES],
            current: 0,
        }
    }

    /// Changes the percentage and the slack, and keeps the counts.
    pub fn set_limits(&mut self, percent: u32, slack: u32) {
        self.percent = percent;
        self.slack = slack;
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Time) {
        self.slice(now).first_attempts += 1;
    }

    /// Returns whether the budget has room for a second attempt, without counting
    /// one.
    pub fn allows(&mut self, now: Time) -> bool {
        if self.percent == 0 {
            return false;
        }
        self.slice(now);
        let first_attempts: u32 = self.slices.iter().map(|slice| slice.first_attempts).sum();
        let second_attempts: u32 = self.slices.iter().map(|slice| slice.second_attempts).sum();
        let share = f64::from(first_attempts) * f64::from(self.percent) / 100.0;
        f64::from(second_attempts) + 1.0 <= share + f64::from(self.slack)
    }

    /// Counts a second attempt if the budget allows it, and returns whether it
    /// does.
    pub fn try_spend(&mut self, now: Time) -> bool {
        let allowed = self.allows(now);
        if allowed {
            self.slice(now).second_attempts += 1;
        }
        allowed
    }

    /// Clears the slices that have left the window and returns the current one.
    fn slice(&mut self, now: Time) -> &mut Slice {
        let slice_ms = WINDOW.as_millis() as u64 / SLICES as u64;
        let number = now.as_millis() as u64 / slice_ms;
        let passed = number.saturating_sub(self.current).min(SLICES as u64);
        for k in 0..passed {
            self.slices[((number - k) % SLICES as u64) as usize] = Slice::default();
        }
        self.current = self.current.max(number);
        &mut self.slices[(self.current % SLICES as u64) as usize]
    }
}
