//! Idempotency keys that a few VMs remember for the whole fleet.
//!
//! A key belongs to the few VMs that rank first for it among all that may exist,
//! whether they answer or not. A call may run if most of them let it have the
//! key, and each lets one call only; so a second call, at whichever entry VM, may
//! not. An owner that has just started, or has just become one, may lack a claim
//! and does not count. See `docs/design/at-most-once.md`.

use std::time::Duration;

use base::rendezvous;
use base::Time;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::msg::AttemptId;

/// How long a claim is remembered; callers have to repeat within it.
pub const CLAIM_TTL: Duration = Duration::from_secs(60);
/// How long a VM has to have been an owner of a key to count: as long as claims
/// are remembered, and until all VMs have surely heard of it as an owner.
pub const OWNER_AGE_MIN: Duration = Duration::from_secs(70);
/// VMs that remember each key.
pub const OWNERS_PER_KEY: usize = 5;
/// The most claims that one VM remembers.
const CLAIMS_MAX: usize = 200_000;
/// The most views that one VM remembers; with more, it is sure of less.
const VIEWS_MAX: usize = 64;
/// When a call should be sent again whose key's owners mostly do not answer.
const SILENT_WAIT: Duration = Duration::from_secs(1);

/// A key, hashed together with its service.
pub type KeyHash = u64;

/// A claim of a key by a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The key.
    pub key: KeyHash,
    /// The number under which the asking VM claims it.
    pub call: AttemptId,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Nobody has claimed the key as far as this VM remembers; it is claimed now.
    First {
        /// For how long this VM has been an owner of the key.
        age: Duration,
    },
    /// Another call has claimed it.
    Taken,
    /// There is no room to remember another claim.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    claimed: KeyClaim,
    vm: VmId,
    at: Time,
}

/// Which VMs might exist, from when on.
#[derive(Clone, Debug)]
struct Seen {
    since: Time,
    vms: Vec<VmId>,
    whole: bool,
}

/// The claims that one VM remembers, sorted by key.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    me: VmId,
    views: Vec<Seen>,
    aged: bool,
    entries: Vec<Entry>,
    swept: Time,
}

impl ClaimTable {
    /// Makes the empty memory of the VM `me`, which is sure of nothing until it
    /// is told which VMs there are.
    pub fn new(me: VmId, now: Time) -> Self {
        Self {
            me,
            views: Vec::new(),
            aged: false,
            entries: Vec::new(),
            swept: now,
        }
    }

    /// Makes an empty memory that is sure of every key.
    pub fn with_full_age(me: VmId) -> Self {
        Self {
            aged: true,
            ..Self::new(me, Time::ZERO)
        }
    }

    /// Returns how many claims are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Follows a change of the VMs that may exist, whether they answer or not.
    ///
    /// They are not `whole` if there are others of which nothing is known: a VM
    /// that started while it was cut off would take itself for the only owner.
    pub fn set_view(&mut self, vms: &[VmId], whole: bool, now: Time) {
        let same = |seen: &Seen| seen.vms == vms && seen.whole == whole;
        if self.views.last().is_some_and(same) {
            return;
        }
        // The last view that is older than that still says what held then.
        let old = self
            .views
            .partition_point(|seen| seen.since + OWNER_AGE_MIN <= now)
            .saturating_sub(1);
        let excess = (self.views.len() + 1).saturating_sub(VIEWS_MAX);
        self.views.drain(..old.max(excess));
        self.views.push(Seen {
            since: now,
            vms: vms.to_vec(),
            whole,
        });
    }

    /// Returns for how long this VM has been an owner of `key`.
    fn age(&self, key: KeyHash, now: Time) -> Duration {
        if self.aged {
            return OWNER_AGE_MIN;
        }
        let owned = |seen: &&Seen| seen.whole && owners(key, &seen.vms).contains(&self.me);
        let first = self.views.iter().rev().take_while(owned).last();
        first.map_or(Duration::ZERO, |seen| now.saturating_sub(seen.since))
    }

    /// Claims a key for a call of `vm`; repeating a claim changes nothing.
    pub fn claim(&mut self, claimed: KeyClaim, vm: VmId, now: Time) -> ClaimReply {
        self.sweep(now);
        let age = self.age(claimed.key, now);
        let entry = Entry {
            claimed,
            vm,
            at: now,
        };
        match self.find(claimed.key) {
            Ok(at) => {
                let kept = &mut self.entries[at];
                let same = (kept.vm, kept.claimed) == (vm, claimed);
                if !same && now < kept.at + CLAIM_TTL {
                    return ClaimReply::Taken;
                }
                *kept = entry;
                ClaimReply::First { age }
            }
            Err(_) if self.entries.len() >= CLAIMS_MAX => ClaimReply::Full,
            Err(at) => {
                self.entries.insert(at, entry);
                ClaimReply::First { age }
            }
        }
    }

    /// Forgets a claim whose call certainly did not run.
    pub fn forget(&mut self, claimed: KeyClaim, vm: VmId) {
        if let Ok(at) = self.find(claimed.key) {
            let kept = self.entries[at];
            if (kept.vm, kept.claimed) == (vm, claimed) {
                self.entries.remove(at);
            }
        }
    }

    fn sweep(&mut self, now: Time) {
        if now >= self.swept + CLAIM_TTL / 4 {
            self.swept = now;
            self.entries.retain(|entry| now < entry.at + CLAIM_TTL);
        }
    }

    fn find(&self, key: KeyHash) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&key, |entry| entry.claimed.key)
    }
}

/// Returns the VMs that remember `key`, the first to be asked first, out of all
/// that may exist.
pub fn owners(key: KeyHash, vms: &[VmId]) -> Vec<VmId> {
    rendezvous::top(key, vms, OWNERS_PER_KEY)
}

/// What the owners' answers allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call is the first one and may run.
    Run,
    /// Another call has the key; this one is not run.
    Duplicate,
    /// Nobody can be sure yet; this call is not run.
    Undecided {
        /// When somebody can.
        after: Duration,
    },
}

/// Rules on the answers of a key's `owners`; none stands for silence, and those
/// that were not asked any more are left out.
///
/// An owner lets only one call have the key, so no two calls have most of them.
pub fn decide(owners: usize, answers: &[Option<ClaimReply>]) -> ClaimDecision {
    let quorum = owners / 2 + 1;
    let mut ages: Vec<Duration> = answers
        .iter()
        .filter_map(|answer| match answer {
            Some(ClaimReply::First { age }) => Some(*age),
            _ => None,
        })
        .collect();
    ages.sort_unstable_by(|a, b| b.cmp(a));
    match ages.get(quorum - 1) {
        Some(age) if *age >= OWNER_AGE_MIN => ClaimDecision::Run,
        _ if answers.contains(&Some(ClaimReply::Taken)) => ClaimDecision::Duplicate,
        Some(age) => ClaimDecision::Undecided {
            after: OWNER_AGE_MIN - *age,
        },
        None => ClaimDecision::Undecided { after: SILENT_WAIT },
    }
}
