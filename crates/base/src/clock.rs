//! The clock of the running process.
//!
//! Decision crates never read a clock: the time is an argument of each call.
//! Only the daemon and the tools own a [`Clock`].

use std::time::Instant;

use crate::Time;

/// A monotonic clock that starts at zero when it is made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was made.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
