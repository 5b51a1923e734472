//! Idempotency keys: claims that a few owner VMs remember on behalf of all VMs.
//!
//! The owners of a key are the VMs that rank first for it by rendezvous hash,
//! among all VMs that may exist, whether they respond or not. A call may run only
//! if a majority of the owners grants it the key. Each owner grants a key to one
//! call only, so a second call with the same key cannot run, whichever entry VM
//! receives it. An owner that has just started, or that has just become an owner,
//! may lack earlier claims, so its grant does not count yet. See
//! `docs/design/at-most-once.md`.

use std::time::Duration;

use base::rendezvous;
use base::Time;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::msg::AttemptId;

/// How long a claim is remembered. Callers have to repeat a call within this time
/// for the key to have an effect.
pub const CLAIM_TTL: Duration = Duration::from_secs(60);
/// How long a VM must have been an owner of a key before its grants count. This
/// covers [`CLAIM_TTL`] plus the time until all VMs have surely learned that it is
/// an owner.
pub const OWNER_AGE_MIN: Duration = Duration::from_secs(70);
/// The number of VMs that remember each key.
pub const OWNERS_PER_KEY: usize = 5;
/// The most claims that one VM remembers.
const CLAIMS_MAX: usize = 200_000;
/// The most fleet views that one VM remembers. Beyond that the oldest are dropped,
/// and the VM counts as owner of its keys for a shorter time than it was.
const VIEWS_MAX: usize = 64;
/// The delay after which a caller should try again if no majority of the owners of its
/// key grants the key.
const NO_MAJORITY_RETRY: Duration = Duration::from_secs(1);

/// Hash of an idempotency key together with its service, and the team that sent it if any.
pub type KeyHash = u64;

/// A claim of a key by a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Hash of the key, its service and its team.
    pub key: KeyHash,
    /// Id by which the claiming VM identifies the call. Together with the VM it
    /// makes repeated claims of one call recognizable.
    pub call: AttemptId,
}

/// An owner's reply to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key was not claimed by another call as far as the owner remembers, and
    /// is now claimed by this one.
    First {
        /// For how long the VM has been an owner of the key, capped by the views
        /// that it remembers.
        age: Duration,
    },
    /// Another call has claimed the key.
    Taken,
    /// The owner has no room for another claim.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    claim: KeyClaim,
    vm: VmId,
    claimed_at: Time,
}

/// The VMs that may exist, from a point in time on.
#[derive(Clone, Debug)]
struct FleetView {
    since: Time,
    vms: Vec<VmId>,
    /// Whether no VM is undiscovered.
    complete: bool,
}

/// The claims that one VM remembers as owner, sorted by key.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    self_id: VmId,
    /// Sorted by time, the latest last.
    views: Vec<FleetView>,
    /// Whether this VM counts as owner of every key for [`OWNER_AGE_MIN`].
    full_age: bool,
    entries: Vec<Entry>,
    last_sweep: Time,
}

impl ClaimTable {
    /// Creates an empty table for the VM `self_id`. Its grants do not count until
    /// [`ClaimTable::set_view`] has reported the VMs for long enough.
    pub fn new(self_id: VmId, now: Time) -> Self {
        Self {
            self_id,
            views: Vec::new(),
            full_age: false,
            entries: Vec::new(),
            last_sweep: now,
        }
    }

    /// Creates an empty table whose grants count at once for every key, as if the
    /// VM `self_id` had been an owner for [`OWNER_AGE_MIN`].
    pub fn with_full_age(self_id: VmId) -> Self {
        Self {
            full_age: true,
            ..Self::new(self_id, Time::ZERO)
        }
    }

    /// Returns the number of claims that the table holds, expired ones that have
    /// not been swept yet included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies a change of the VMs that may exist, whether they respond or not.
    ///
    /// `complete` is false while some VMs are undiscovered. A VM counts as owner of
    /// no key during that time: one that started while it was partitioned from the
    /// others would otherwise take itself for the only owner.
    pub fn set_view(&mut self, vms: &[VmId], complete: bool, now: Time) {
        let same = |view: &FleetView| view.vms == vms && view.complete == complete;
        if self.views.last().is_some_and(same) {
            return;
        }
        // Of the views that began at least OWNER_AGE_MIN ago, the last one was
        // still in effect at that time, so it is kept.
        let old = self
            .views
            .partition_point(|view| view.since + OWNER_AGE_MIN <= now)
            .saturating_sub(1);
        let excess = (self.views.len() + 1).saturating_sub(VIEWS_MAX);
        self.views.drain(..old.max(excess));
        self.views.push(FleetView {
            since: now,
            vms: vms.to_vec(),
            complete,
        });
    }

    /// Returns for how long this VM has been an owner of `key` without interruption.
    fn owner_age(&self, key: KeyHash, now: Time) -> Duration {
        if self.full_age {
            return OWNER_AGE_MIN;
        }
        let owned =
            |view: &&FleetView| view.complete && owners(key, &view.vms).contains(&self.self_id);
        let first = self.views.iter().rev().take_while(owned).last();
        first.map_or(Duration::ZERO, |view| now.saturating_sub(view.since))
    }

    /// Claims a key for a call of `vm`.
    ///
    /// A claim may be repeated, and is renewed by that. A claim by another call is
    /// refused until [`CLAIM_TTL`] has passed.
    pub fn claim(&mut self, claim: KeyClaim, vm: VmId, now: Time) -> ClaimReply {
        self.sweep(now);
        let age = self.owner_age(claim.key, now);
        let entry = Entry {
            claim,
            vm,
            claimed_at: now,
        };
        match self.find(claim.key) {
            Ok(i) => {
                let kept = &mut self.entries[i];
                let same = (kept.vm, kept.claim) == (vm, claim);
                if !same && now < kept.claimed_at + CLAIM_TTL {
                    return ClaimReply::Taken;
                }
                *kept = entry;
                ClaimReply::First { age }
            }
            Err(_) if self.entries.len() >= CLAIMS_MAX => ClaimReply::Full,
            Err(i) => {
                self.entries.insert(i, entry);
                ClaimReply::First { age }
            }
        }
    }

    /// Removes the claim of a call that certainly did not run. A claim of the key by
    /// another call stays.
    pub fn forget(&mut self, claim: KeyClaim, vm: VmId) {
        if let Ok(i) = self.find(claim.key) {
            let kept = self.entries[i];
            if (kept.vm, kept.claim) == (vm, claim) {
                self.entries.remove(i);
            }
        }
    }

    /// Removes expired claims, at most once per quarter of [`CLAIM_TTL`].
    fn sweep(&mut self, now: Time) {
        if now >= self.last_sweep + CLAIM_TTL / 4 {
            self.last_sweep = now;
            self.entries
                .retain(|entry| now < entry.claimed_at + CLAIM_TTL);
        }
    }

    fn find(&self, key: KeyHash) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&key, |entry| entry.claim.key)
    }
}

/// Returns the owners of `key` among `vms`, all VMs that may exist, in descending
/// order of rank. Claims are sent in this order.
pub fn owners(key: KeyHash, vms: &[VmId]) -> Vec<VmId> {
    rendezvous::top(key, vms, OWNERS_PER_KEY)
}

/// Whether a call may run, given the replies of its key's owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call is the first one with its key and may run.
    Run,
    /// Another call has claimed the key, so this one must not run.
    Duplicate,
    /// The replies do not show whether the call is the first one, so it must not
    /// run now.
    Undecided {
        /// The time after which a new claim may be decided.
        after: Duration,
    },
}

/// Decides on a call by the `replies` of its key's owners.
///
/// `owners` is the number of owners. A reply is none if its owner did not respond;
/// owners that were not asked are left out.
///
/// An owner grants the key to only one call, so at most one call gets the grants of
/// a majority.
pub fn decide(owners: usize, replies: &[Option<ClaimReply>]) -> ClaimDecision {
    let majority = owners / 2 + 1;
    let mut ages: Vec<Duration> = replies
        .iter()
        .filter_map(|reply| match reply {
            Some(ClaimReply::First { age }) => Some(*age),
            _ => None,
        })
        .collect();
    ages.sort_unstable_by(|a, b| b.cmp(a));
    match ages.get(majority - 1) {
        Some(age) if *age >= OWNER_AGE_MIN => ClaimDecision::Run,
        _ if replies.contains(&Some(ClaimReply::Taken)) => ClaimDecision::Duplicate,
        Some(age) => ClaimDecision::Undecided {
            after: OWNER_AGE_MIN - *age,
        },
        None => ClaimDecision::Undecided {
            after: NO_MAJORITY_RETRY,
        },
    }
}
