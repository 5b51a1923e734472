//! A token bucket for calls to the platform, and the backoff after failed calls.
//!
//! The rate limits of the platform grow more slowly than the fleet. The VMs that call
//! the platform therefore share one fixed rate, and the share of each VM shrinks as
//! their number grows.

use std::time::Duration;

use base::Time;

/// The rate limit of all VMs of the fleet together.
const FLEET_CALLS_PER_SEC: f64 = 1000.0;
/// The number of calls that one VM may make in a burst: the capacity of its token
/// bucket.
const BURST_CALLS: f64 = 20.0;
/// The upper bound of the backoff after the first failure. It doubles with each
/// further failure in a row.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The upper bound of the backoff after any number of failures.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The token bucket and the backoff state of one VM.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    /// When the tokens were last refilled.
    last_refill: Time,
    /// How many VMs share the rate, at least 1.
    fleet_size: usize,
    /// Failed calls since the last successful one.
    failures: u32,
    /// Calls allowed so far.
    calls: u64,
}

impl Budget {
    /// Creates a budget with a full bucket, for a single VM.
    pub fn new() -> Self {
        Self {
            tokens: BURST_CALLS,
            last_refill: Time::ZERO,
            fleet_size: 1,
            failures: 0,
            calls: 0,
        }
    }

    /// Sets how many VMs share the rate. 0 counts as 1.
    pub fn set_fleet_size(&mut self, fleet_size: usize) {
        self.fleet_size = fleet_size.max(1);
    }

    /// Returns how many calls have been allowed so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Takes a token for one call. If there is none, returns how long to wait before the
    /// next try.
    pub fn try_take(&mut self, now: Time) -> Result<(), Duration> {
        let rate = FLEET_CALLS_PER_SEC / self.fleet_size as f64;
        let elapsed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(BURST_CALLS);
        self.last_refill = self.last_refill.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.calls += 1;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / rate))
    }

    /// Records a failed call and returns the backoff before the next one.
    ///
    /// The backoff is between half of its upper bound, for a `jitter` of 0, and the
    /// bound itself, for a `jitter` of 1.
    pub fn record_failure(&mut self, jitter: f64) -> Duration {
        let backoff = BACKOFF_MIN * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        backoff.min(BACKOFF_MAX).mul_f64(0.5 + jitter / 2.0)
    }

    /// Records a successful call, which resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
