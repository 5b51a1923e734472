//! Instances: the successive states of one shard at one VM.
//!
//! A VM loses the state of its shards when it restarts, and gives one up when the
//! configuration no longer has the shard. Messages of an earlier state may arrive after
//! those of a later one. The instance, which is part of attempt ids and epochs, tells
//! them apart and orders them; see `docs/design/homes.md`.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::msg::AttemptId;

/// Identifies a state of one shard at one VM. Instances are compared by [`is_older`],
/// since they wrap around after about a year.
pub type InstanceId = u32;

/// The time after which the next instance differs.
const RESOLUTION: Duration = Duration::from_millis(8);
/// The size of the counter below the instance in attempt ids and epochs.
pub(crate) const COUNTER_BITS: u32 = u64::BITS - InstanceId::BITS;

/// Returns the instance of a state that is created at `time`.
pub fn at(time: SystemTime) -> InstanceId {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    (since.as_millis() / RESOLUTION.as_millis()) as InstanceId
}

/// Returns the instance that is contained in an attempt id.
pub fn of_attempt(call: AttemptId) -> InstanceId {
    (call >> COUNTER_BITS) as InstanceId
}

/// Returns whether `first` was created before `second`, unless the VM's clock was set
/// back in between.
pub fn is_older(first: InstanceId, second: InstanceId) -> bool {
    first != second && second.wrapping_sub(first) < InstanceId::MAX / 2
}
