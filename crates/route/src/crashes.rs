//! Requests under which servers crashed, and which of them are rejected.
//!
//! A request that crashes each server that runs it takes a service down if it is repeated,
//! since each repeat counts as a new call. A [`CrashTable`] recognizes repeats by their
//! [`Fingerprint`]. The VM at which a server crashed reports it to a few owners of the
//! fingerprint, and these tell all VMs once a second server has crashed. Tables are merged
//! as sets of crashes, so reports may be lost, repeated and reordered. See
//! `docs/design/limits.md`, "Requests that crash servers".

use std::time::Duration;

use base::rendezvous;
use base::ServerId;
use base::Time;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

/// The number of crashes under a request from which on it is rejected.
pub const REJECT_CRASHES: usize = 3;
/// The number of crashes from which on the owners of a request tell all VMs of it.
const SHARE_CRASHES: usize = 2;
/// The number of VMs that count the crashes under a request.
const OWNERS_PER_REQUEST: usize = 3;
/// The time after its last crash for which a request is rejected.
const REJECT_TTL: Duration = Duration::from_secs(300);
/// The time after its last crash at which a request is forgotten that is not rejected.
const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// The time within which two crashes of a server are the same one. Several calls may have seen
/// it, and the age of a crash is too low by the time for which its report was delayed, as
/// by a pause of a VM.
const SAME_CRASH: Duration = Duration::from_secs(10);
/// The most crashes that are kept of one request.
const CRASHES_PER_REQUEST: usize = 8;
/// The most requests that a VM keeps. The ones whose last crash is the longest ago are
/// dropped beyond it.
const REQUESTS_MAX: usize = 1024;

/// Identifies a request over all calls that repeat it, at all VMs.
pub type Fingerprint = u64;

/// The crash of a server while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The server that crashed.
    pub server: ServerId,
    /// The time since the crash.
    pub age: Duration,
}

/// The crashes under one request, as one VM knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request that the servers ran.
    pub request: Fingerprint,
    /// The crashes, the earliest first.
    pub crashes: Vec<Crash>,
}

#[derive(Clone, Debug)]
struct Entry {
    request: Fingerprint,
    /// Each crashed server and when it crashed, the earliest first.
    crashes: Vec<(ServerId, Time)>,
}

impl Entry {
    fn is_rejected(&self) -> bool {
        self.crashes.len() >= REJECT_CRASHES
    }

    /// Returns when the request is forgotten unless another server crashes.
    fn expiry(&self) -> Time {
        let ttl = if self.is_rejected() {
            REJECT_TTL
        } else {
            SUSPECT_TTL
        };
        self.crashes.last().map_or(Time::ZERO, |(_, at)| *at + ttl)
    }

    /// Adds a crash unless it is known, or earlier than as many as are kept. Returns whether
    /// it was added.
    fn add(&mut self, server: ServerId, at: Time) -> bool {
        let is_same =
            |(other, time): &(ServerId, Time)| *other == server && time.abs_diff(at) < SAME_CRASH;
        if self.crashes.iter().any(is_same) {
            return false;
        }
        let index = self.crashes.partition_point(|(_, time)| *time <= at);
        if self.crashes.len() < CRASHES_PER_REQUEST {
            self.crashes.insert(index, (server, at));
            return true;
        }
        let is_newer = index > 0;
        if is_newer {
            self.crashes.insert(index, (server, at));
            self.crashes.remove(0);
        }
        is_newer
    }

    fn report(&self, now: Time) -> CrashReport {
        let crash = |&(server, at): &(ServerId, Time)| Crash {
            server,
            age: now.saturating_sub(at),
        };
        CrashReport {
            request: self.request,
            crashes: self.crashes.iter().map(crash).collect(),
        }
    }
}

/// The requests under which servers crashed lately, as one VM knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    /// Sorted by request.
    entries: Vec<Entry>,
}

impl CrashTable {
    /// Merges the crashes of `report`. Returns whether any of them was not known.
    pub fn merge(&mut self, report: &CrashReport, now: Time) -> bool {
        self.entries.retain(|entry| now < entry.expiry());
        let index = match self.find(report.request) {
            Ok(index) => index,
            Err(_) => self.insert(report.request),
        };
        let mut changed = false;
        for crash in &report.crashes {
            changed |= self.entries[index].add(crash.server, now.saturating_sub(crash.age));
        }
        changed
    }

    /// Removes a request that a server has responded to. Returns whether it was known.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let found = self.find(request);
        if let Ok(index) = found {
            self.entries.remove(index);
        }
        found.is_ok()
    }

    /// Returns for how much longer `request` is rejected, none if it is not.
    pub fn rejected_for(&self, request: Fingerprint, now: Time) -> Option<Duration> {
        let entry = &self.entries[self.find(request).ok()?];
        let left = entry.expiry().saturating_sub(now);
        (entry.is_rejected() && !left.is_zero()).then_some(left)
    }

    /// Returns the crashes under `request`; none if there were none, or so long ago that
    /// they have been forgotten.
    pub fn report(&self, request: Fingerprint, now: Time) -> Option<CrashReport> {
        let entry = &self.entries[self.find(request).ok()?];
        (now < entry.expiry()).then(|| entry.report(now))
    }

    /// Returns the reports that the VM `self_id` has to send to VMs that have just joined:
    /// those of the requests which it owns among `earlier`, the VMs that were alive before.
    pub fn reports_for_joined(
        &self,
        self_id: VmId,
        earlier: &[VmId],
        now: Time,
    ) -> Vec<CrashReport> {
        let is_due = |entry: &&Entry| {
            is_shared(entry.crashes.len())
                && now < entry.expiry()
                && owners(entry.request, earlier).contains(&self_id)
        };
        let due = self.entries.iter().filter(is_due);
        due.map(|entry| entry.report(now)).collect()
    }

    /// Returns the number of requests that are rejected.
    pub fn rejected_count(&self, now: Time) -> usize {
        let is_rejected = |entry: &&Entry| entry.is_rejected() && now < entry.expiry();
        self.entries.iter().filter(is_rejected).count()
    }

    /// Adds an entry without crashes and returns its index.
    fn insert(&mut self, request: Fingerprint) -> usize {
        if self.entries.len() >= REQUESTS_MAX {
            let oldest = (0..self.entries.len()).min_by_key(|&i| self.entries[i].expiry());
            if let Some(oldest) = oldest {
                self.entries.remove(oldest);
            }
        }
        let index = self.find(request).unwrap_or_else(|index| index);
        let crashes = Vec::new();
        self.entries.insert(index, Entry { request, crashes });
        index
    }

    fn find(&self, request: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&request, |entry| entry.request)
    }
}

/// Returns the VMs of `alive` that count the crashes under `request`.
pub fn owners(request: Fingerprint, alive: &[VmId]) -> Vec<VmId> {
    rendezvous::top(request, alive, OWNERS_PER_REQUEST)
}

/// Returns whether the owners of a request tell all VMs of its crashes.
pub fn is_shared(crashes: usize) -> bool {
    crashes >= SHARE_CRASHES
}
