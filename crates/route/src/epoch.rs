//! Epochs: the order of the homes of one shard.
//!
//! A VM that has followed an epoch never follows a lower one. This is what
//! keeps two homes from granting the same cold server; see
//! `docs/design/homes.md`.

use base::VmId;
use serde::Deserialize;
use serde::Serialize;

/// One term of one home; terms are ordered by count, then by VM.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Greater than the count of every epoch that its home had heard of.
    pub count: u64,
    /// The home.
    pub home: VmId,
}

impl Epoch {
    /// Returns the first epoch of `home` after `seen`.
    pub fn after(seen: Self, home: VmId) -> Self {
        Self {
            count: seen.count + 1,
            home,
        }
    }
}
