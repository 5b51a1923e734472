//! Epochs: the total order of the homes of one shard.
//!
//! A VM that has acknowledged an epoch never acts on a lower one. This keeps two
//! homes from granting permits for the same cold server; see
//! `docs/design/homes.md`.

use base::VmId;
use serde::Deserialize;
use serde::Serialize;

/// The term of one home. Epochs are ordered by count, then by home.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Higher than the count of every epoch that the home had seen before.
    pub count: u64,
    /// The VM that is home in this epoch.
    pub home: VmId,
}

impl Epoch {
    /// Returns the lowest epoch of `home` that is above `seen`.
    pub fn after(seen: Self, home: VmId) -> Self {
        Self {
            count: seen.count + 1,
            home,
        }
    }
}
