//! A token bucket for calls to the platform, and the backoff after failures.
//!
//! The platform's rates grow more slowly than the fleet, so the VMs that call
//! it share one rate, and each one's share shrinks as they grow in number.

use std::time::Duration;

use base::Time;

/// Calls a second that the whole fleet may make.
const FLEET_RATE: f64 = 1000.0;
/// Calls that one VM may make at once after a quiet time.
const BURST: f64 = 20.0;
/// The first wait after a failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The longest wait after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The budget of one VM.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    last: Time,
    fleet: usize,
    failures: u32,
    spent: u64,
}

impl Budget {
    /// Makes a full budget for a fleet of one.
    pub fn new() -> Self {
        Self {
            tokens: BURST,
            last: Time::ZERO,
            fleet: 1,
            failures: 0,
            spent: 0,
        }
    }

    /// Tells the budget how many VMs share the rate.
    pub fn set_fleet_size(&mut self, fleet: usize) {
        self.fleet = fleet.max(1);
    }

    /// Returns how many calls were allowed so far.
    pub fn calls(&self) -> u64 {
        self.spent
    }

    /// Takes one call, or returns how long to wait for it.
    pub fn try_take(&mut self, now: Time) -> Result<(), Duration> {
        let rate = FLEET_RATE / self.fleet as f64;
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(BURST);
        self.last = self.last.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.spent += 1;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / rate))
    }

    /// Notes a failed call; returns how long to wait, with `jitter` from 0 to 1.
    pub fn record_failure(&mut self, jitter: f64) -> Duration {
        let doubled = BACKOFF_MIN * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        doubled.min(BACKOFF_MAX).mul_f64(0.5 + jitter / 2.0)
    }

    /// Notes a call that went well.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
