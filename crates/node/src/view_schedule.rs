//! Decides when a change of the membership is applied to the view.
//!
//! Each new view costs time in proportion to the fleet, and in a large fleet many
//! members change at once when it starts, or when part of it fails. A VM with a small
//! share of a core that applied each change by itself would respond to pings too late,
//! be suspected, and so cause more changes. The load that this answers is the start or
//! the failure of hundreds of VMs; see `docs/design/membership.md`.

use std::time::Duration;

use base::Time;

/// The shortest time between two views for each VM of the fleet.
const INTERVAL_PER_VM: Duration = Duration::from_millis(1);
/// The upper bound of the time between two views. A failed home is replaced within this
/// time after its failure is known.
const INTERVAL_MAX: Duration = Duration::from_millis(200);

/// The times at which views are applied.
///
/// The first change after a quiet time is applied at once, so that a single failure is
/// acted on without delay. Changes that follow closely are applied together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewSchedule {
    /// The membership's version of the last view.
    version: u64,
    /// When the next view may be applied.
    next: Time,
    /// Whether a change waits for that time.
    waiting: bool,
}

impl ViewSchedule {
    /// Returns whether the membership, which is at `version` and counts `fleet` VMs, has
    /// to be applied now. If so, it counts as applied.
    pub fn take_due(&mut self, version: u64, fleet: usize, now: Time) -> bool {
        self.waiting = version != self.version;
        if !self.waiting || now < self.next {
            return false;
        }
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        self.version = version;
        self.next = now + INTERVAL_PER_VM.saturating_mul(fleet).min(INTERVAL_MAX);
        self.waiting = false;
        true
    }

    /// Returns when a waiting change has to be applied, none if there is none.
    pub fn due(&self) -> Option<Time> {
        self.waiting.then_some(self.next)
    }
}
