//! The order to move a service to servers of another version.
//!
//! See `docs/design/rollouts.md`.

use std::time::Duration;

use base::OrderId;
use serde::Deserialize;
use serde::Serialize;

/// How far a roll-out is, as the registry has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The version is being tried.
    Running,
    /// The service has moved to the version; the servers of other versions stop.
    Completed,
    /// The service does not move; the servers of the version leave.
    RolledBack,
}

impl RolloutState {
    /// Returns whether the state never changes again.
    pub fn is_final(self) -> bool {
        self != Self::Running
    }

    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled back",
        }
    }
}

/// The order to move a service to servers of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The name of the service.
    pub service: String,
    /// The version to move to.
    pub target: String,
    /// The time from the order until the roll-out should have ended.
    pub duration: Duration,
    /// The id of the order.
    pub order: OrderId,
    /// The state in the registry; `None` if it has none for this order.
    pub state: Option<RolloutState>,
}
