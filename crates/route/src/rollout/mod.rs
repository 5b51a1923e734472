//! Moves a service to another version of its servers: how many calls the version gets
//! while it is tried, what its responses show, and how the trial ends.
//!
//! Each home bounds the exposure and counts the evidence by itself ([`Exposure`]). One VM
//! decides ([`Decider`]) from the reports of the homes. See `docs/design/rollouts.md`.

pub mod decider;
pub mod evidence;
pub mod exposure;
pub mod verdict;

use std::time::Duration;

use base::OrderId;
use base::ServiceId;
use base::ShardId;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

pub use self::decider::Decider;
pub use self::decider::Supply;
pub use self::evidence::KindEvidence;
pub use self::evidence::Tally;
pub use self::exposure::Exposure;

/// The version of a server with regard to the roll-out of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionGroup {
    /// Any version, or another one than the roll-out's while there is one.
    #[default]
    Old,
    /// The version that is being tried.
    Target,
}

/// The terms on which a home may give calls to the version that is being tried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The order that the terms belong to.
    pub order: OrderId,
    /// The most calls that the version may get, as a fraction of all first attempts.
    pub share: f64,
    /// For how long the word of the decider holds.
    pub lease: Duration,
}

/// The phase of a roll-out. A later phase replaces an earlier one, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The version gets a part of its share.
    Trial,
    /// The version gets the rest of its share, in a short time.
    Surge,
    /// The version gets all new calls, and the old servers finish theirs.
    Switch,
    /// The version gets nothing any more.
    RolledBack,
}

impl Phase {
    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Surge => "surge",
            Self::Switch => "switch",
            Self::RolledBack => "rolled back",
        }
    }
}

/// What a home has counted since it learned of the order. Each report replaces the one
/// before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service of the roll-out.
    pub service: ServiceId,
    /// The order of the roll-out.
    pub order: OrderId,
    /// The shard of the home.
    pub shard: ShardId,
    /// When the home began to count, by its own clock; distinguishes the homes that a VM
    /// has been.
    pub begun: Time,
    /// The time since the order, as far as the home knows.
    pub elapsed: Duration,
    /// The latest phase that the home knows.
    pub phase: Phase,
    /// Whether the home found by its own counts that the version is bad.
    pub closed: bool,
    /// First attempts that the home granted.
    pub firsts: u64,
    /// Attempts among them that went to the version.
    pub exposed: u64,
    /// The responses by kind of call.
    pub kinds: Vec<KindEvidence>,
}

impl Report {
    /// Creates an empty report of the home of `shard`.
    pub fn new(service: ServiceId, shard: ShardId, elapsed: Duration) -> Self {
        Self {
            service,
            order: 0,
            shard,
            begun: Time::ZERO,
            elapsed,
            phase: Phase::Trial,
            closed: false,
            firsts: 0,
            exposed: 0,
            kinds: Vec::new(),
        }
    }
}

/// A message about roll-outs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMsg {
    /// A home reports to the decider.
    Report(Report),
    /// The decider tells the phase: to homes, and a roll-back to all VMs.
    Phase {
        /// The service of the roll-out.
        service: ServiceId,
        /// The order of the roll-out.
        order: OrderId,
        /// The phase.
        phase: Phase,
        /// The time since the order, as far as the decider knows.
        elapsed: Duration,
    },
    /// An encoded entry of the catalog, from a VM that has read it.
    Entry(Vec<u8>),
}
