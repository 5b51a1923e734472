//! Messages between the follower and the home of a shard.

use std::time::Duration;

use base::Class;
use base::DomainId;
use base::Outcome;
use base::ServerId;
use base::ShardId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::epoch::Epoch;
use crate::handover::Snapshot;

/// Numbers the attempts of one VM over all its lives: the upper half is drawn
/// at the start of the process, the lower half counts.
pub type AttemptId = u64;

/// Returns the part of a call number that names the life of the VM.
pub fn boot_id(call: AttemptId) -> u32 {
    (call >> 32) as u32
}

/// Which attempt at a call asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptKind {
    /// The first one.
    First,
    /// One after a failed one; it costs the retry budget.
    Retry,
    /// One beside a slow one; it costs the hedge budget and never waits.
    Hedge,
    /// One beside one whose server does not answer; it costs the retry budget
    /// and goes to another server or to none.
    Rescue,
}

/// What a permit is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// How urgent the call is.
    pub class: Class,
    /// The time left to its deadline.
    pub left: Duration,
    /// The time left until an answer is worth less to its caller; zero if that
    /// has passed.
    pub goal: Duration,
    /// The time that it may wait although it is late for that.
    #[serde(rename = "brief")]
    pub late_wait: Duration,
    /// Which attempt it is.
    pub kind: AttemptKind,
    /// Servers that earlier attempts have used.
    pub avoid: Vec<ServerId>,
    /// The failure domain of the asking VM.
    pub domain: DomainId,
}

/// Why a call is refused; it was not run in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No server of the service may take work.
    NoServer,
    /// The wait would outlast the deadline or the bound for its class.
    Overload,
    /// The budget for second attempts is spent.
    Budget,
    /// The time for the call ran out while it waited.
    Expired,
}

/// What a health check found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeResult {
    /// Whether the server answered that it is well.
    pub ok: bool,
    /// What it said of its load.
    pub load: Option<Load>,
    /// Whether it said that it is warm; none if it said nothing of that.
    pub warm: Option<bool>,
}

impl RefusalReason {
    /// Returns whether servers elsewhere may have the room that was missing.
    pub fn lacks_capacity(self) -> bool {
        matches!(self, Self::NoServer | Self::Overload)
    }

    /// Returns the word used in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no-server",
            Self::Overload => "overload",
            Self::Budget => "budget",
            Self::Expired => "expired",
        }
    }
}

/// How warm a server is, as its home believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Warmth {
    /// It takes no calls at all now.
    Down,
    /// It has just started, or behaves as if it had.
    Cold,
    /// Its limit grows.
    Warming,
    /// It was warm, and its limit was lowered because it is slow or has not
    /// answered for a while; nothing says that it has restarted.
    Lowered,
    /// It bears its full limit.
    Warm,
}

/// What a home tells its followers about one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSummary {
    /// The server.
    pub server: ServerId,
    /// Calls it bears at once, without those that wait in it.
    pub limit: u32,
    /// How warm it is.
    pub warmth: Warmth,
    /// Its usual service time.
    pub usual: Duration,
    /// How long ago it last answered.
    pub age: Duration,
}

/// What a backend server said about its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that it runs.
    pub busy: u32,
    /// Calls that wait in it.
    pub waiting: u32,
    /// How long work takes on its host at this moment, in percent of what is
    /// usual; [`USUAL_SLOWDOWN_PERCENT`] where the server does not say.
    #[serde(rename = "pace")]
    pub slowdown_percent: u32,
}

/// The pace of a host on which work takes as long as usual, in percent.
pub const USUAL_SLOWDOWN_PERCENT: u32 = 100;

/// An attempt that a follower has at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPermit {
    /// The attempt.
    pub call: AttemptId,
    /// The server.
    pub server: ServerId,
    /// The time left to its deadline.
    pub left: Duration,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The attempt.
    pub call: AttemptId,
    /// The server that it was at.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from sending the request to the end of the answer.
    pub took: Duration,
    /// What the server said about its load.
    pub load: Option<Load>,
}

impl Release {
    /// Makes the end of an attempt that was never sent to `server`.
    pub fn unused(call: AttemptId, server: ServerId) -> Self {
        Self {
            call,
            server,
            outcome: Outcome::Unused,
            took: Duration::ZERO,
            load: None,
        }
    }
}

/// All that a follower has at the home it follows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerReport {
    /// Counts these reports, so that an old one that comes late is ignored.
    pub number: u64,
    /// The greatest call number given out when the report was made.
    #[serde(rename = "upto")]
    pub last_issued: AttemptId,
    /// Attempts at a server.
    pub held: Vec<HeldPermit>,
    /// Attempts that wait for a permit, sorted.
    pub waiting: Vec<AttemptId>,
}

/// The content of a message about one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A follower asks a VM to be its home.
    Join {
        /// The highest epoch the follower has followed.
        seen: Epoch,
        /// Comes back in the answer; tells it from an older one.
        nonce: u32,
    },
    /// A home asks a VM to follow it.
    Lead {
        /// The home's epoch.
        epoch: Epoch,
        /// The nonce of the join that it answers, 0 for none.
        nonce: u32,
    },
    /// A VM that was asked to be home does not think that it is.
    NotHome {
        /// The nonce of the join that it answers.
        nonce: u32,
    },
    /// A VM follows `epoch` from now on and tells what it has.
    Attach {
        /// The epoch that it follows.
        epoch: Epoch,
        /// What it has.
        holding: FollowerReport,
        /// What it last heard about the servers from an earlier home.
        snapshot: Snapshot,
    },
    /// A follower repeats what it has, so that lost messages do no harm.
    Refresh {
        /// The epoch that it follows.
        epoch: Epoch,
        /// What it has.
        holding: FollowerReport,
    },
    /// A home that asked to be followed is behind; nothing is promised to it.
    Stale {
        /// The epoch that the sender follows.
        seen: Epoch,
    },
    /// A follower asks for a permit.
    Acquire {
        /// The epoch that it follows.
        epoch: Epoch,
        /// The attempt.
        call: AttemptId,
        /// What it is for.
        ask: PermitRequest,
    },
    /// The home grants a permit.
    Grant {
        /// The home's epoch.
        epoch: Epoch,
        /// The attempt.
        call: AttemptId,
        /// The server it may be sent to.
        server: ServerId,
    },
    /// The home has the request; a grant or refusal follows.
    Queued {
        /// The home's epoch.
        epoch: Epoch,
        /// The attempt.
        call: AttemptId,
    },
    /// The home grants no permit.
    Refuse {
        /// The home's epoch.
        epoch: Epoch,
        /// The attempt.
        call: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When another try makes sense.
        after: Duration,
    },
    /// An attempt has ended.
    Release {
        /// The epoch that the follower follows.
        epoch: Epoch,
        /// The end.
        release: Release,
    },
    /// A follower saw a server close a connection that it had just used.
    Lost {
        /// The epoch that the follower follows.
        epoch: Epoch,
        /// The server.
        server: ServerId,
    },
    /// The home tells about its servers.
    Snapshot {
        /// The home's epoch.
        epoch: Epoch,
        /// The servers, sorted by id.
        lines: Vec<ServerSummary>,
    },
}

impl Body {
    /// Returns whether it is meant for the home rather than for a follower.
    pub fn is_for_home(&self) -> bool {
        matches!(
            self,
            Self::Join { .. }
                | Self::Attach { .. }
                | Self::Refresh { .. }
                | Self::Stale { .. }
                | Self::Acquire { .. }
                | Self::Release { .. }
                | Self::Lost { .. }
        )
    }
}

/// A message about one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Msg {
    /// The shard.
    pub shard: ShardId,
    /// The content.
    pub body: Body,
}

/// A message with the VM that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver, which may be the sender itself.
    pub to: VmId,
    /// The message.
    pub msg: Msg,
}
