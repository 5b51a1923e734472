//! Idempotency keys that one VM remembers for the whole fleet.
//!
//! A key belongs to the two VMs that rank first for it. The first call with a
//! key claims it at both; a second one, at whichever entry VM, finds the claim
//! and is not run. A VM that started less than [`MEMORY`] ago may have lost
//! claims and says so. See `docs/design/at-most-once.md`.

use std::time::Duration;

use base::rendezvous;
use base::Time;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::msg::CallNo;

/// How long a claim is remembered; callers have to repeat within it.
pub const MEMORY: Duration = Duration::from_secs(60);
/// VMs that remember each key.
pub const OWNERS: usize = 2;
/// The most claims that one VM remembers.
const CLAIMS_MAX: usize = 200_000;

/// A key, hashed together with its service.
pub type KeyHash = u64;

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// Nobody has claimed the key as far as this VM remembers; it is claimed now.
    First {
        /// For how long this VM has remembered claims.
        age: Duration,
    },
    /// Another call has claimed it.
    Taken,
    /// There is no room to remember another claim.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: KeyHash,
    vm: VmId,
    call: CallNo,
    at: Time,
}

/// The claims that one VM remembers, sorted by key.
#[derive(Clone, Debug)]
pub struct Keys {
    since: Time,
    aged: bool,
    entries: Vec<Entry>,
    swept: Time,
}

impl Keys {
    /// Makes an empty memory that begins `now`.
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            aged: false,
            entries: Vec::new(),
            swept: now,
        }
    }

    /// Makes an empty memory that counts as having remembered for long.
    pub fn aged() -> Self {
        Self {
            aged: true,
            ..Self::new(Time::ZERO)
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

    /// Claims `key` for an attempt; repeating a claim changes nothing.
    pub fn claim(&mut self, key: KeyHash, vm: VmId, call: CallNo, now: Time) -> Claim {
        self.sweep(now);
        let age = now.saturating_sub(self.since);
        let age = if self.aged { MEMORY } else { age };
        match self.find(key) {
            Ok(at) => {
                let entry = &mut self.entries[at];
                let same = (entry.vm, entry.call) == (vm, call);
                if !same && now < entry.at + MEMORY {
                    return Claim::Taken;
                }
                *entry = Entry {
                    key,
                    vm,
                    call,
                    at: now,
                };
                Claim::First { age }
            }
            Err(_) if self.entries.len() >= CLAIMS_MAX => Claim::Full,
            Err(at) => {
                self.entries.insert(
                    at,
                    Entry {
                        key,
                        vm,
                        call,
                        at: now,
                    },
                );
                Claim::First { age }
            }
        }
    }

    /// Forgets a claim whose call certainly did not run.
    pub fn forget(&mut self, key: KeyHash, vm: VmId, call: CallNo) {
        if let Ok(at) = self.find(key) {
            let entry = self.entries[at];
            if (entry.vm, entry.call) == (vm, call) {
                self.entries.remove(at);
            }
        }
    }

    fn sweep(&mut self, now: Time) {
        if now >= self.swept + MEMORY / 4 {
            self.swept = now;
            self.entries.retain(|entry| now < entry.at + MEMORY);
        }
    }

    fn find(&self, key: KeyHash) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }
}

/// Returns the VMs that remember `key`, the first to be asked first.
pub fn owners(key: KeyHash, alive: &[VmId]) -> Vec<VmId> {
    rendezvous::top(key, alive, OWNERS)
}

/// What the owners' answers allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// The call is the first one and may run.
    Run,
    /// Another call has the key; this one is not run.
    Duplicate,
    /// Nobody can be sure yet; this call is not run.
    Unsure {
        /// When somebody can.
        after: Duration,
    },
}

/// Rules on the answers of all `asked` owners; none stands for silence.
///
/// One owner that has remembered for long enough is sure. Where all are young
/// nobody is, but for a fleet so young that no call can be older.
pub fn rule(answers: &[Option<Claim>]) -> Ruling {
    if answers.contains(&Some(Claim::Taken)) {
        return Ruling::Duplicate;
    }
    let ages = answers.iter().filter_map(|answer| match answer {
        Some(Claim::First { age }) => Some(*age),
        _ => None,
    });
    match ages.max() {
        Some(age) if age >= MEMORY => Ruling::Run,
        Some(age) => Ruling::Unsure {
            after: MEMORY - age,
        },
        None => Ruling::Unsure {
            after: Duration::from_secs(1),
        },
    }
}
