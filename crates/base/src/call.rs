//! The priority class of a call and the outcome of an attempt.

use serde::Deserialize;
use serde::Serialize;

/// The priority class of a call.
///
/// Under overload, calls of a class that is declared earlier are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served before all other classes and shed last.
    Critical,
    /// The default class, for callers that wait for the response. Its permit requests may
    /// be queued for the smallest share of the time until their deadline.
    #[default]
    Interactive,
    /// Served after all other classes. More of its permit requests may be queued than of
    /// other classes, and for a greater share of the time until their deadline.
    Deferrable,
}

impl Class {
    /// All classes, from the most urgent to the least urgent.
    pub const ALL: [Self; 3] = [Self::Critical, Self::Interactive, Self::Deferrable];

    /// Returns the index of the class in [`Class::ALL`]; 0 is the most urgent.
    pub fn rank(self) -> usize {
        self as usize
    }

    /// Returns the name of the class in the configuration and in status reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Interactive => "interactive",
            Self::Deferrable => "deferrable",
        }
    }
}

/// The priority of a call as the configuration numbers it, 0 for the most urgent one.
///
/// A [`Class`] bounds how long a call may wait; the rank says which of the calls that wait
/// gives way, however many ranks a configuration has.
pub type Rank = u32;

/// The result of one attempt at a backend server, as it is reported to the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The server sent a complete response.
    Done,
    /// The server sent a complete response that reports a failure of the server.
    Failed,
    /// The server refused the call and reported that it had not run it.
    Shed,
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// After something was sent, the connection broke or the response was malformed.
    Broken,
    /// No complete response arrived before the deadline.
    Late,
    /// The caller disconnected, or another attempt of the call responded first.
    Cancelled,
    /// The permit was released without sending the attempt.
    Unused,
}

impl Outcome {
    /// Returns whether the server sent a complete response.
    pub fn is_response(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Shed)
    }
}
