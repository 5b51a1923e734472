//! What the crates have to agree on about one call.

use serde::Deserialize;
use serde::Serialize;

/// How urgent a call is; the order is the order of service under overload.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served before all others and shed last.
    Critical,
    /// A caller waits for it.
    #[default]
    Interactive,
    /// It may wait for long but must not be lost while there is memory.
    Deferrable,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Critical, Self::Interactive, Self::Deferrable];

    /// Returns the place of the class in [`Class::ALL`].
    pub fn rank(self) -> usize {
        self as usize
    }

    /// Returns the name used in settings and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Interactive => "interactive",
            Self::Deferrable => "deferrable",
        }
    }
}

/// How one attempt at a backend server ended, as the home has to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A whole answer came back.
    Done,
    /// A whole answer came back that says that the server failed.
    Failed,
    /// The server refused the call and said that it did not run it.
    Shed,
    /// The connection could not be made, so nothing was sent.
    Unreachable,
    /// The connection broke or the answer was malformed after something was sent.
    Broken,
    /// No whole answer came before the deadline.
    Late,
    /// The caller went away or another attempt won.
    Cancelled,
    /// The permit was given back unused.
    Unused,
}
