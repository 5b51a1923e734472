//! Revisions of the service registry, and how far a VM's copy of it goes.
//!
//! The registry may be restored from an older copy. Its counter then goes back and
//! gives out numbers again, so a number alone orders nothing. Each restore begins a new
//! *era*, and a [`Revision`] consists of the era and the counter in it. Revisions thus
//! stay in the order in which the registry made them; see `docs/design/platform.md`.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::TicketNo;

/// The number of bits of a revision that hold the counter. The bits above hold the era.
const COUNTER_BITS: u32 = 44;
const COUNTER_MASK: u64 = (1 << COUNTER_BITS) - 1;

/// The number of restores of the registry that preceded a revision.
pub type Era = u64;

/// Returns the revision with the number `counter` in `era`. A counter that is too large
/// becomes the largest one.
pub fn in_era(era: Era, counter: u64) -> Revision {
    (era << COUNTER_BITS) | counter.min(COUNTER_MASK)
}

/// Returns the era of `revision`.
pub fn era(revision: Revision) -> Era {
    revision >> COUNTER_BITS
}

/// Returns the number of `revision` within its era.
pub fn counter(revision: Revision) -> u64 {
    revision & COUNTER_MASK
}

/// The revision up to which a VM knows each part of the registry; 0 if it knows
/// nothing of the part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RegistryRevisions {
    /// The ticket number of the layout. It is the operators' order, which holds across
    /// restores of the registry.
    pub layout: TicketNo,
    /// The revision of the newest change to a server's entry.
    pub servers: Revision,
    /// The revision of the newest change to the entry of a failure domain that is
    /// out of service or that came back.
    pub outs: Revision,
}

impl RegistryRevisions {
    /// Returns whether at least one part is newer than in `other`.
    ///
    /// Each of two values can exceed the other, in different parts.
    pub fn exceeds(&self, other: &Self) -> bool {
        self.layout > other.layout || self.servers > other.servers || self.outs > other.outs
    }
}
