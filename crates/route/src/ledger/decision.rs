//! What a home decided and from what, for the log.

use std::time::Duration;

use base::ServerId;
use base::VmId;

use crate::msg::AttemptId;
use crate::msg::AttemptKind;
use crate::msg::RefusalReason;

/// A decision and what it was made from, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A permit was granted.
    Granted {
        /// The VM that asked.
        vm: VmId,
        /// The attempt.
        call: AttemptId,
        /// The server.
        server: ServerId,
        /// Which attempt at the call it is.
        kind: AttemptKind,
        /// Calls that were in flight at the server.
        busy: u32,
        /// Calls that it bore.
        limit: u32,
        /// Its expected service time in seconds.
        expected: f64,
        /// How much longer work takes on its host, as far as that is known.
        slowdown: f64,
        /// How long ago the server last answered.
        age: Duration,
        /// Requests that waited.
        waiting: usize,
    },
    /// A request was refused.
    Refused {
        /// The VM that asked.
        vm: VmId,
        /// The attempt.
        call: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When to try again.
        after: Duration,
        /// Requests that waited.
        waiting: usize,
    },
}
