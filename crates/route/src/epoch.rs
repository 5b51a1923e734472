//! Epochs: the total order of the homes of one shard.
//!
//! A VM that has acknowledged an epoch never acts on a lower one. This keeps two
//! homes from granting permits for the same cold server; see
//! `docs/design/homes.md`.

use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::instance::InstanceId;

/// A VM as home of one shard, for as long as it keeps the state of that shard.
///
/// A VM that has lost its state does not know its last epoch. The instance keeps its
/// next epoch distinct from that one, whose messages may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeId {
    /// The VM.
    pub vm: VmId,
    /// The state of the shard at the VM.
    pub instance: InstanceId,
}

/// The time in which one VM is home without interruption. Epochs are ordered by
/// count, then by home.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Higher than the count of every epoch that the home had seen before; the lower
    /// 32 bits are the instance of the home.
    pub count: u64,
    /// The VM that is home in this epoch.
    pub home: VmId,
}

impl Epoch {
    /// Returns the epoch of `home` that follows `seen`.
    pub fn after(seen: Self, home: HomeId) -> Self {
        Self {
            count: ((seen.term() + 1) << InstanceId::BITS) | u64::from(home.instance),
            home: home.vm,
        }
    }

    /// Returns the number of epochs up to this one, as far as its home knows.
    pub fn term(&self) -> u64 {
        self.count >> InstanceId::BITS
    }
}
