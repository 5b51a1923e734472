//! How far a VM's copy of the service registry goes.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;

/// The revision up to which a VM knows each part of the registry; 0 if it knows
/// nothing of the part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RegistryRevisions {
    /// The revision of the layout.
    pub layout: Revision,
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
