//! A monotonic clock that includes the time in which the VM is suspended.
//!
//! The crates that make decisions never read a clock; their functions take the
//! time as an argument. Only the daemon and the tools own a [`Clock`].
//!
//! The standard library's monotonic clock leaves out the time in which the VM is
//! suspended. [`Clock`] counts it, because what a VM knew before a suspension is
//! out of date when the VM resumes.

use std::time::Duration;

use rustix::time::clock_gettime;
use rustix::time::ClockId;

use crate::Time;

/// A monotonic clock that starts at zero when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Time {
        since_boot().saturating_sub(self.start)
    }
}

/// Returns the time since the machine booted, including suspended time.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The kernel never returns a negative time since boot.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
