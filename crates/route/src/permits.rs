//! The permits that a home has granted and that have not ended yet.

use std::time::Duration;

use base::Rank;
use base::ServerId;
use base::Time;
use base::VmId;

use crate::msg::AttemptId;
use crate::rollout::evidence::KindId;

/// The right of one attempt to be sent to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The VM that holds the permit.
    pub vm: VmId,
    /// The attempt that the permit is for.
    pub call: AttemptId,
    /// The server that the attempt may be sent to.
    pub server: ServerId,
    /// When the permit was granted.
    pub granted_at: Time,
    /// When the permit ends even if its release is never received.
    pub expires: Time,
    /// Calls that were already in flight at the server when the permit was granted.
    pub concurrent: u32,
    /// The kind of the call while a roll-out is under way, 0 if it is not known.
    pub kind: KindId,
    /// Whether the holder has given up the attempt, or has failed, while the server
    /// may still run the attempt.
    pub lingers: bool,
    /// How long such a call usually takes, as its request said; zero if it did not.
    pub work: Duration,
    /// The priority of the call, if its request said so.
    pub rank: Option<Rank>,
}

/// Permits, sorted by holder and attempt.
#[derive(Clone, Debug, Default)]
pub struct Permits(Vec<Permit>);

impl Permits {
    /// Returns all permits.
    pub fn list(&self) -> &[Permit] {
        &self.0
    }

    /// Returns the permit that `vm` holds for an attempt, or none.
    pub fn get(&self, vm: VmId, call: AttemptId) -> Option<&Permit> {
        let i = self.find(vm, call).ok()?;
        Some(&self.0[i])
    }

    /// Returns a mutable reference to the permit that `vm` holds for an attempt.
    ///
    /// The caller must not change the holder or the attempt, which determine the
    /// order.
    pub fn get_mut(&mut self, vm: VmId, call: AttemptId) -> Option<&mut Permit> {
        let i = self.find(vm, call).ok()?;
        Some(&mut self.0[i])
    }

    /// Adds a permit, and returns whether it was added. An attempt that already has
    /// a permit keeps it.
    pub fn add(&mut self, permit: Permit) -> bool {
        match self.find(permit.vm, permit.call) {
            Ok(_) => false,
            Err(i) => {
                self.0.insert(i, permit);
                true
            }
        }
    }

    /// Removes and returns the permit that `vm` holds for an attempt, or none.
    pub fn remove(&mut self, vm: VmId, call: AttemptId) -> Option<Permit> {
        let i = self.find(vm, call).ok()?;
        Some(self.0.remove(i))
    }

    /// Removes and returns all permits that satisfy `predicate`.
    pub fn extract_if(&mut self, predicate: impl Fn(&Permit) -> bool) -> Vec<Permit> {
        let (out, kept) = self.0.iter().partition(|permit| predicate(permit));
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
