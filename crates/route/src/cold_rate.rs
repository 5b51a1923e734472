//! How many calls a cold server has got lately, over changes of the home.
//!
//! A cold server sustains only some calls per second. The home counts its grants to such
//! a server, and each follower notes those that it received, so that the next home can
//! count them too. See `docs/design/homes.md`.

use std::time::Duration;

use base::ServerId;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::msg::AttemptId;

/// The window in which grants count towards the call rate of a cold server. It is longer
/// than the second that the rate is defined for, because the time from grant to arrival
/// at the server varies.
pub const RATE_WINDOW: Duration = Duration::from_millis(1100);

/// A grant for a server that may be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdGrant {
    /// The attempt that it was made for, as a grant may be reported several times.
    pub call: AttemptId,
    /// The server.
    pub server: ServerId,
    /// How long ago the follower received the grant.
    pub age: Duration,
}

/// The grants for servers that may be cold that a follower received within
/// [`RATE_WINDOW`].
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdGrants {
    /// Sorted by time.
    received: Vec<ReceivedGrant>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedGrant {
    call: AttemptId,
    server: ServerId,
    at: Time,
}

impl ColdGrants {
    /// Records a grant that was received at `now`.
    pub(crate) fn record(&mut self, call: AttemptId, server: ServerId, now: Time) {
        self.received.retain(|grant| now < grant.at + RATE_WINDOW);
        self.received.push(ReceivedGrant {
            call,
            server,
            at: now,
        });
    }

    /// Returns the grants as they are reported to a home.
    pub(crate) fn report(&self, now: Time) -> Vec<ColdGrant> {
        let recent = self
            .received
            .iter()
            .filter(|grant| now < grant.at + RATE_WINDOW);
        let report = recent.map(|grant| ColdGrant {
            call: grant.call,
            server: grant.server,
            age: now.saturating_sub(grant.at),
        });
        report.collect()
    }
}
