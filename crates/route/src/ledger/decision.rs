//! Records of the decisions of a home, for the log.

use std::time::Duration;

use base::OrderId;
use base::ServerId;
use base::VmId;

use crate::msg::AttemptId;
use crate::msg::AttemptKind;
use crate::msg::Ranking;
use crate::msg::RefusalReason;

/// A decision of the home together with the values that it was based on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The home granted a permit.
    Granted {
        /// The VM that requested the permit.
        vm: VmId,
        /// The id of the attempt.
        call: AttemptId,
        /// The server that the attempt may be sent to.
        server: ServerId,
        /// Whether the attempt is the first one, a retry, a hedge or a rescue.
        kind: AttemptKind,
        /// Calls in flight at the server before this grant.
        busy: u32,
        /// The concurrency limit of the server at the time of the grant.
        limit: u32,
        /// The expected service time of the server in seconds.
        expected: f64,
        /// The estimated slowdown of the server's host; 1 is its usual speed.
        slowdown: f64,
        /// The time since the last response of the server.
        age: Duration,
        /// Requests in the queue at the time of the grant.
        waiting: usize,
        /// What the call was weighed by.
        ranking: Ranking,
    },
    /// A server began or ceased to limit the rate of its calls.
    RateLimited {
        /// The server.
        server: ServerId,
        /// The calls that it takes in a second; none if it names no limit any more.
        per_second: Option<f64>,
    },
    /// The home found by its own counts that the version on trial is bad, and gives it
    /// nothing more.
    VersionClosed {
        /// The order of the roll-out.
        order: OrderId,
        /// Responses of the version.
        responses: u32,
        /// Those that failed.
        failed: u32,
        /// Those that were slow.
        slow: u32,
        /// Responses of the old version over the same time.
        old_responses: u32,
        /// Those that failed or were slow.
        old_bad: u32,
    },
    /// The home refused a request.
    Refused {
        /// The VM that requested the permit.
        vm: VmId,
        /// The id of the attempt.
        call: AttemptId,
        /// Why the request was refused.
        reason: RefusalReason,
        /// The time after which the caller should try again.
        after: Duration,
        /// Requests in the queue at the time of the refusal.
        waiting: usize,
        /// What the call was weighed by.
        ranking: Ranking,
        /// Whether the request had been queued and gave way to dearer ones.
        evicted: bool,
    },
}
