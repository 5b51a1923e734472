//! The clock of the running process.
//!
//! Decision crates never read a clock: the time is an argument of each call.
//! Only the daemon and the tools own a [`Clock`].
//!
//! It counts the time in which the VM was suspended, which the standard library's
//! monotonic clock leaves out: what a VM knew before is old when it goes on.

use std::time::Duration;

use rustix::time::clock_gettime;
use rustix::time::ClockId;

use crate::Time;

/// A monotonic clock that starts at zero when it is made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the time since the clock was made.
    pub fn now(&self) -> Time {
        since_boot().saturating_sub(self.start)
    }
}

/// Returns the time since the machine was booted, suspended or not.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The kernel gives no negative time since boot.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
