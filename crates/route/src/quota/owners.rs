//! The VMs that a home asks for their parts.

use std::time::Duration;

use base::Time;
use base::VmId;

/// How long a VM is asked after it was last alive: a slow one is often taken for dead, and
/// answers all the same.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// The VMs that are alive, and those that were a moment ago.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// Sorted.
    alive: Vec<VmId>,
    /// The others, with the time until which they are asked; sorted by VM.
    silent: Vec<(VmId, Time)>,
}

impl Owners {
    /// Records that the sorted `alive` VMs respond, and no others.
    pub fn set_alive(&mut self, alive: &[VmId], now: Time) {
        let is_alive = |vm: &VmId| alive.binary_search(vm).is_ok();
        let lost = self.alive.iter().filter(|vm| !is_alive(vm));
        let lost = lost.map(|vm| (*vm, now + SILENT_TIME));
        self.silent.retain(|(vm, _)| !is_alive(vm));
        self.silent.extend(lost);
        self.silent.sort_unstable();
        self.alive = alive.to_vec();
    }

    /// Returns the number of VMs that are alive.
    pub fn alive_count(&self) -> usize {
        self.alive.len()
    }

    /// Returns the VMs to be asked at `now`, sorted.
    pub fn asked(&mut self, now: Time) -> Vec<VmId> {
        self.silent.retain(|(_, until)| now < *until);
        let silent = self.silent.iter().map(|(vm, _)| *vm);
        let mut asked: Vec<VmId> = self.alive.iter().copied().chain(silent).collect();
        asked.sort_unstable();
        asked
    }
}
