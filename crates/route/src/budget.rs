//! A budget of second attempts as a share of first ones, for the whole fleet.
//!
//! What may be spent in a window is a share of the first attempts in it and a
//! fixed slack, which is what lets a quiet service try again at all. Both are
//! counted in slices of the window. A budget that has just been made knows
//! nothing of what another home has spent in the same window; who sets the
//! slack has to allow for that.

use std::time::Duration;

use base::Time;

/// Slices of the window.
const SLICES: usize = 20;
/// The span in which attempts are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// A budget.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    slack: u32,
    slices: [Slice; SLICES],
    now: u64,
}

/// What was counted in one slice.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    firsts: u32,
    seconds: u32,
}

impl Budget {
    /// Makes a budget of `percent` attempts per hundred first ones, and of
    /// `slack` more in each window.
    pub fn new(percent: u32, slack: u32) -> Self {
        Self {
            percent,
            slack,
            slices: [Slice::default(); SLICES],
            now: 0,
        }
    }

    /// Changes the share and the slack, keeping what was counted.
    pub fn set_limits(&mut self, percent: u32, slack: u32) {
        self.percent = percent;
        self.slack = slack;
    }

    /// Notes a first attempt.
    pub fn record_first(&mut self, now: Time) {
        self.slice(now).firsts += 1;
    }

    /// Returns whether a second attempt may be made.
    pub fn allows(&mut self, now: Time) -> bool {
        if self.percent == 0 {
            return false;
        }
        self.slice(now);
        let firsts: u32 = self.slices.iter().map(|slice| slice.firsts).sum();
        let seconds: u32 = self.slices.iter().map(|slice| slice.seconds).sum();
        let share = f64::from(firsts) * f64::from(self.percent) / 100.0;
        f64::from(seconds) + 1.0 <= share + f64::from(self.slack)
    }

    /// Takes one second attempt; returns whether it may be made.
    pub fn try_spend(&mut self, now: Time) -> bool {
        let allowed = self.allows(now);
        if allowed {
            self.slice(now).seconds += 1;
        }
        allowed
    }

    /// Returns the slice of `now`, after forgetting those that have passed.
    fn slice(&mut self, now: Time) -> &mut Slice {
        let each = WINDOW.as_millis() as u64 / SLICES as u64;
        let number = now.as_millis() as u64 / each;
        let passed = number.saturating_sub(self.now).min(SLICES as u64);
        for k in 0..passed {
            self.slices[((number - k) % SLICES as u64) as usize] = Slice::default();
        }
        self.now = self.now.max(number);
        &mut self.slices[(self.now % SLICES as u64) as usize]
    }
}
