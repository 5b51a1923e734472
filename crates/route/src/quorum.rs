//! Which VMs have acknowledged a home's epoch.
//!
//! A VM that has acknowledged an epoch never acts on a grant of a lower one. Once
//! every VM that could do so has acknowledged the epoch or has failed, the epoch is
//! *complete*. Only then may the home use cold servers, because no other home can be
//! using them.

use std::time::Duration;

use base::Time;
use base::VmId;

/// The time before the first repetition of a request for an acknowledgement.
const REQUEST_BACKOFF_MIN: Duration = Duration::from_millis(20);
const REQUEST_BACKOFF_MAX: Duration = Duration::from_millis(500);

/// One VM that may hold permits for the shard.
#[derive(Clone, Debug)]
struct Member {
    vm: VmId,
    acknowledged: bool,
    alive: bool,
    /// When the VM last stopped responding; meaningful only while it is not alive.
    unresponsive_since: Time,
    next_request: Time,
    backoff: Duration,
}

/// The VMs that may hold permits for the shard, and their acknowledgements of one
/// epoch.
#[derive(Clone, Debug, Default)]
pub struct Quorum {
    /// Sorted by VM.
    members: Vec<Member>,
    undiscovered: usize,
    started: Time,
}

impl Quorum {
    /// Creates the quorum of a new epoch that nobody has acknowledged yet.
    ///
    /// `vms` are the known VMs and `alive` those of them that respond, both sorted.
    pub fn new(vms: &[VmId], alive: &[VmId], now: Time) -> Self {
        let mut quorum = Self {
            started: now,
            ..Self::default()
        };
        quorum.update(vms, alive, now);
        quorum
    }

    /// Sets the number of undiscovered VMs: those that should exist but of which
    /// nothing has been heard.
    pub fn with_undiscovered(mut self, undiscovered: usize) -> Self {
        self.undiscovered = undiscovered;
        self
    }

    /// Returns the number of undiscovered VMs.
    pub fn undiscovered(&self) -> usize {
        self.undiscovered
    }

    /// Changes the number of undiscovered VMs.
    pub fn set_undiscovered(&mut self, undiscovered: usize) {
        self.undiscovered = undiscovered;
    }

    /// Applies a change of the membership; `vms` and `alive` are sorted.
    ///
    /// A VM that is no longer in `vms`, because it left or the membership has
    /// removed it, is removed. A new VM has acknowledged nothing.
    pub fn update(&mut self, vms: &[VmId], alive: &[VmId], now: Time) {
        self.members
            .retain(|member| vms.binary_search(&member.vm).is_ok());
        for &vm in vms {
            if let Err(i) = self.find(vm) {
                self.members.insert(
                    i,
                    Member {
                        vm,
                        acknowledged: false,
                        alive: true,
                        unresponsive_since: now,
                        next_request: now,
                        backoff: REQUEST_BACKOFF_MIN,
                    },
                );
            }
        }
        for member in &mut self.members {
            let is_alive = alive.binary_search(&member.vm).is_ok();
            if member.alive && !is_alive {
                member.unresponsive_since = now;
            }
            member.alive = is_alive;
        }
    }

    /// Records the acknowledgement of `vm`; returns whether `vm` is a member.
    pub fn acknowledge(&mut self, vm: VmId) -> bool {
        let found = self.find(vm);
        if let Ok(i) = found {
            self.members[i].acknowledged = true;
        }
        found.is_ok()
    }

    /// Returns whether `vm` is a member and has acknowledged the epoch.
    pub fn has_acknowledged(&self, vm: VmId) -> bool {
        self.find(vm).is_ok_and(|i| self.members[i].acknowledged)
    }

    /// Returns whether a majority of all VMs, undiscovered ones included, has
    /// acknowledged the epoch.
    pub fn majority_acknowledged(&self) -> bool {
        let acknowledged = self
            .members
            .iter()
            .filter(|member| member.acknowledged)
            .count();
        2 * acknowledged > self.members.len() + self.undiscovered
    }

    /// Returns whether a majority of all VMs, undiscovered ones included, responds.
    pub fn majority_alive(&self) -> bool {
        let alive = self.members.iter().filter(|member| member.alive).count();
        2 * alive > self.members.len() + self.undiscovered
    }

    /// Returns whether the epoch is complete.
    ///
    /// It is complete if a majority of the VMs responds and all VMs have acknowledged
    /// it. If a majority has acknowledged it, VMs that have been unresponsive or
    /// undiscovered for `failure_timeout` count as failed and are not needed.
    ///
    /// The majority prevents both halves of a partitioned fleet from counting the
    /// other half as failed. A home that is cut off from the majority has no complete
    /// epoch any more, long before that majority counts the home as failed.
    pub fn is_complete(&self, failure_timeout: Duration, now: Time) -> bool {
        let majority = self.majority_acknowledged();
        if !self.majority_alive() {
            return false;
        }
        let discovered =
            self.undiscovered == 0 || (majority && now >= self.started + failure_timeout);
        let failed = |member: &Member| {
            majority && !member.alive && now >= member.unresponsive_since + failure_timeout
        };
        discovered && self.members.iter().all(|m| m.acknowledged || failed(m))
    }

    /// Returns the VMs that respond and have not acknowledged the epoch, sorted. They
    /// may be using their fallback slots.
    ///
    /// No slots are reserved for a VM that does not respond. It has most often failed,
    /// and the slots would be missing when they are needed most. If the VM is only
    /// partitioned, warm servers get a few calls more than their slots, which queue in
    /// the servers.
    pub fn alive_unacknowledged(&self) -> impl Iterator<Item = VmId> + '_ {
        let pending = self.members.iter().filter(|m| !m.acknowledged && m.alive);
        pending.map(|m| m.vm)
    }

    /// Returns the number of VMs that may hold permits.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no VM may hold permits.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns all VMs that may hold permits, sorted.
    pub fn vms(&self) -> Vec<VmId> {
        self.members.iter().map(|member| member.vm).collect()
    }

    /// Returns the VMs that respond, sorted.
    pub fn alive(&self) -> Vec<VmId> {
        let alive = self.members.iter().filter(|member| member.alive);
        alive.map(|member| member.vm).collect()
    }

    /// Returns the VMs that are due to be asked for their acknowledgement, and
    /// schedules the next request to each with exponential backoff.
    pub fn take_due(&mut self, now: Time) -> Vec<VmId> {
        let mut vms = Vec::new();
        for member in &mut self.members {
            if !member.acknowledged && now >= member.next_request {
                vms.push(member.vm);
                member.next_request = now + member.backoff;
                member.backoff = (member.backoff * 2).min(REQUEST_BACKOFF_MAX);
            }
        }
        vms
    }

    fn find(&self, vm: VmId) -> Result<usize, usize> {
        self.members.binary_search_by_key(&vm, |member| member.vm)
    }
}
