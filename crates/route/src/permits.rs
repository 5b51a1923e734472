//! The permits that a home has given out.

use base::ServerId;
use base::Time;
use base::VmId;

use crate::msg::AttemptId;

/// One permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The VM that holds it.
    pub vm: VmId,
    /// The attempt that it is for.
    pub call: AttemptId,
    /// The server.
    pub server: ServerId,
    /// When it was granted.
    pub granted_at: Time,
    /// When it ends at the latest, whatever is heard of it.
    pub expires: Time,
    /// Calls that were in flight at the server when it was granted.
    pub concurrent: u32,
    /// Whether its holder is done while the server may not be.
    pub lingers: bool,
}

/// Permits, sorted by holder and attempt.
#[derive(Clone, Debug, Default)]
pub struct Permits(Vec<Permit>);

impl Permits {
    /// Returns all permits.
    pub fn list(&self) -> &[Permit] {
        &self.0
    }

    /// Returns the permit of an attempt.
    pub fn get(&self, vm: VmId, call: AttemptId) -> Option<&Permit> {
        let at = self.find(vm, call).ok()?;
        Some(&self.0[at])
    }

    /// Returns the permit of an attempt, to be changed.
    pub fn get_mut(&mut self, vm: VmId, call: AttemptId) -> Option<&mut Permit> {
        let at = self.find(vm, call).ok()?;
        Some(&mut self.0[at])
    }

    /// Adds a permit; returns false if the attempt has one.
    pub fn add(&mut self, permit: Permit) -> bool {
        match self.find(permit.vm, permit.call) {
            Ok(_) => false,
            Err(at) => {
                self.0.insert(at, permit);
                true
            }
        }
    }

    /// Removes the permit of an attempt.
    pub fn remove(&mut self, vm: VmId, call: AttemptId) -> Option<Permit> {
        let at = self.find(vm, call).ok()?;
        Some(self.0.remove(at))
    }

    /// Removes and returns the permits for which `ended` holds.
    pub fn extract_if(&mut self, ended: impl Fn(&Permit) -> bool) -> Vec<Permit> {
        let (out, kept) = self.0.iter().partition(|permit| ended(permit));
        self.0 = kept;
        out
    }

    /// Returns the permits that `vm` holds, sorted by attempt.
    pub fn held_by(&self, vm: VmId) -> &[Permit] {
        let from = self.0.partition_point(|permit| permit.vm < vm);
        let to = self.0.partition_point(|permit| permit.vm <= vm);
        &self.0[from..to]
    }

    fn find(&self, vm: VmId, call: AttemptId) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&(vm, call), |permit| (permit.vm, permit.call))
    }
}
