//! The number of VMs among which quotas are divided.

use std::time::Duration;

use base::Time;

/// How long a smaller number must have lasted before it counts.
const SHRINK_DELAY: Duration = Duration::from_secs(120);

/// The number of registered VMs, which grows at once and shrinks late: VMs that forget the
/// others, which they cannot reach, must not take their parts.
#[derive(Clone, Debug)]
pub struct FleetSize {
    size: u32,
    /// The largest number since `since`, which is smaller than `size`.
    lower: u32,
    since: Time,
}

impl FleetSize {
    /// Creates the size of a fleet of one.
    pub fn new() -> Self {
        Self {
            size: 1,
            lower: 0,
            since: Time::ZERO,
        }
    }

    /// Records that `count` VMs are registered.
    pub fn observe(&mut self, count: u32, now: Time) {
        if count >= self.size {
            self.size = count;
            self.lower = 0;
            return;
        }
        if self.lower == 0 {
            self.since = now;
        }
        self.lower = self.lower.max(count).max(1);
        if now >= self.since + SHRINK_DELAY {
            self.size = self.lower;
            self.lower = 0;
        }
    }

    /// Returns the number of VMs that counts.
    pub fn get(&self) -> u32 {
        self.size
    }
}

impl Default for FleetSize {
    fn default() -> Self {
        Self::new()
    }
}
