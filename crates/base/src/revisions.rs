//! How much of a registry a VM knows.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;

/// The revisions up to which a VM knows the parts of a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RegistryRevisions {
    /// The layout.
    pub layout: Revision,
    /// The last change of a server.
    pub servers: Revision,
    /// The last change of a domain that is out.
    pub outs: Revision,
}

impl RegistryRevisions {
    /// Returns whether any part is newer than in `other`.
    pub fn exceeds(&self, other: &Self) -> bool {
        self.layout > other.layout || self.servers > other.servers || self.outs > other.outs
    }
}
