//! Which VMs have promised to follow a home's epoch.
//!
//! A VM that has promised never acts on a grant of a lower epoch. Once every
//! VM that could do so has promised, or is gone, the epoch is *complete*, and
//! only then may the home use cold servers: nobody else can be using them.

use std::time::Duration;

use base::Time;
use base::VmId;

/// The first wait before a VM is asked again.
const ASK_MIN: Duration = Duration::from_millis(20);
/// The longest wait before a VM is asked again.
const ASK_MAX: Duration = Duration::from_millis(500);

/// What one VM has promised.
#[derive(Clone, Debug)]
struct Voter {
    vm: VmId,
    promised: bool,
    alive: bool,
    unseen: Time,
    ask: Time,
    wait: Duration,
}

/// The VMs that may hold permits for the shard.
#[derive(Clone, Debug, Default)]
pub struct Quorum {
    voters: Vec<Voter>,
    strangers: usize,
    begun: Time,
}

impl Quorum {
    /// Makes the roster of a new epoch: `vms` are known, `alive` of them answer.
    pub fn new(vms: &[VmId], alive: &[VmId], now: Time) -> Self {
        let mut roster = Self {
            begun: now,
            ..Self::default()
        };
        roster.update(vms, alive, now);
        roster
    }

    /// Returns the same roster with VMs that should exist but are not known.
    pub fn with_undiscovered(mut self, strangers: usize) -> Self {
        self.strangers = strangers;
        self
    }

    /// Returns how many VMs should exist but are not known.
    pub fn undiscovered(&self) -> usize {
        self.strangers
    }

    /// Follows a change of the VMs that should exist but are not known.
    pub fn set_undiscovered(&mut self, strangers: usize) {
        self.strangers = strangers;
    }

    /// Follows a change of the membership.
    ///
    /// A VM that membership has forgotten or knows to have left is gone. A new
    /// one has promised nothing.
    pub fn update(&mut self, vms: &[VmId], alive: &[VmId], now: Time) {
        self.voters
            .retain(|voter| vms.binary_search(&voter.vm).is_ok());
        for &vm in vms {
            if let Err(at) = self.find(vm) {
                self.voters.insert(
                    at,
                    Voter {
                        vm,
                        promised: false,
                        alive: true,
                        unseen: now,
                        ask: now,
                        wait: ASK_MIN,
                    },
                );
            }
        }
        for voter in &mut self.voters {
            let lives = alive.binary_search(&voter.vm).is_ok();
            if voter.alive && !lives {
                voter.unseen = now;
            }
            voter.alive = lives;
        }
    }

    /// Notes the promise of `vm`; returns whether it is on the roster.
    pub fn acknowledge(&mut self, vm: VmId) -> bool {
        let found = self.find(vm);
        if let Ok(at) = found {
            self.voters[at].promised = true;
        }
        found.is_ok()
    }

    /// Returns whether `vm` has promised.
    pub fn has_acknowledged(&self, vm: VmId) -> bool {
        self.find(vm).is_ok_and(|at| self.voters[at].promised)
    }

    /// Returns whether most of the VMs have promised, unknown ones counted.
    pub fn majority_acknowledged(&self) -> bool {
        let promised = self.voters.iter().filter(|voter| voter.promised).count();
        2 * promised > self.voters.len() + self.strangers
    }

    /// Returns whether most of the VMs answer, unknown ones counted.
    pub fn majority_alive(&self) -> bool {
        let alive = self.voters.iter().filter(|voter| voter.alive).count();
        2 * alive > self.voters.len() + self.strangers
    }

    /// Returns whether all have promised, but for those silent or unknown for
    /// `gone` while a majority is heard, and whether a majority still answers.
    ///
    /// The majority keeps two halves of a divided fleet from both giving the
    /// other half up: a home that most VMs have left behind has no complete
    /// epoch any more, long before those VMs count it as gone.
    pub fn is_complete(&self, gone: Duration, now: Time) -> bool {
        let majority = self.majority_acknowledged();
        if !self.majority_alive() {
            return false;
        }
        let met = self.strangers == 0 || (majority && now >= self.begun + gone);
        let gone = |voter: &Voter| majority && !voter.alive && now >= voter.unseen + gone;
        met && self.voters.iter().all(|v| v.promised || gone(v))
    }

    /// Returns the VMs that answer and have not promised, which may be using
    /// their part of the slots.
    ///
    /// Nothing is kept for a VM that does not answer: most often it is gone, and
    /// its part would be missing when it is needed most. If it is only cut off,
    /// warm servers get a few calls more than their slots, which wait in them.
    pub fn alive_unacknowledged(&self) -> impl Iterator<Item = VmId> + '_ {
        let open = self.voters.iter().filter(|v| !v.promised && v.alive);
        open.map(|v| v.vm)
    }

    /// Returns how many VMs may hold permits.
    pub fn len(&self) -> usize {
        self.voters.len()
    }

    /// Returns whether no VM may hold permits.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns all VMs, sorted.
    pub fn vms(&self) -> Vec<VmId> {
        self.voters.iter().map(|voter| voter.vm).collect()
    }

    /// Returns the VMs that answer, sorted.
    pub fn alive(&self) -> Vec<VmId> {
        let alive = self.voters.iter().filter(|voter| voter.alive);
        alive.map(|voter| voter.vm).collect()
    }

    /// Returns the VMs that have to be asked now, and notes that they are.
    pub fn take_due(&mut self, now: Time) -> Vec<VmId> {
        let mut vms = Vec::new();
        for voter in &mut self.voters {
            if !voter.promised && now >= voter.ask {
                vms.push(voter.vm);
                voter.ask = now + voter.wait;
                voter.wait = (voter.wait * 2).min(ASK_MAX);
            }
        }
        vms
    }

    fn find(&self, vm: VmId) -> Result<usize, usize> {
        self.voters.binary_search_by_key(&vm, |voter| voter.vm)
    }
}
