//! Messages between the followers and the home of a shard.
//!
//! Messages can be lost, duplicated and reordered. Each one carries an epoch or a nonce,
//! by which its receiver recognizes a message of an earlier epoch or exchange. Requests
//! and releases name their attempt, and reports are numbered, so a repeated one has no
//! further effect.

use std::time::Duration;

use base::Class;
use base::DomainId;
use base::Outcome;
use base::Rank;
use base::ServerId;
use base::ShardId;
use base::TeamId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::cold_rate::ColdGrant;
use crate::epoch::Epoch;
use crate::handover::Snapshot;

/// Identifies an attempt among all attempts of one VM, also across restarts.
///
/// The upper 32 bits are the [instance](crate::instance). The lower 32 bits count the
/// attempts since it was created.
pub type AttemptId = u64;

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptKind {
    /// The first attempt of a call.
    First,
    /// Follows a failed attempt. Counts against the retry budget.
    Retry,
    /// Runs in parallel with a slow attempt. Counts against the hedge budget and is
    /// refused rather than queued.
    Hedge,
    /// Runs in parallel with an attempt whose server does not respond. Counts
    /// against the retry budget, and is refused if there is no other server.
    Rescue,
}

/// A request for a permit: the properties of the attempt that the home considers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The priority class of the call.
    pub class: Class,
    /// The time left until the call's deadline.
    pub left: Duration,
    /// The time left until the call's target latency, zero if that has passed.
    pub goal: Duration,
    /// How long the request may be queued if the target latency cannot be met.
    #[serde(rename = "brief")]
    pub late_wait: Duration,
    /// Why the attempt is made.
    pub kind: AttemptKind,
    /// Servers that earlier attempts of the call have used.
    pub avoid: Vec<ServerId>,
    /// The failure domain of the requesting VM.
    pub domain: DomainId,
    /// What the home needs to weigh the call against others; `None` where it is served by
    /// class alone. It travels beside the request, since builds from before it cannot read
    /// a longer one.
    #[serde(skip)]
    pub ranking: Option<Ranking>,
}

/// The properties of a call that say which one gives way when there is too little room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranking {
    /// The priority of the call.
    pub rank: Rank,
    /// The team that makes the call; zero for none.
    pub team: TeamId,
    /// How long a server usually works on such a call, zero if unknown.
    pub work: Duration,
    /// The target latency of such calls, counted from their start.
    pub target: Duration,
}

/// Why a permit is refused. The attempt has not run in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No server of the shard may be given calls, or, for a rescue, none that the call
    /// has not tried yet.
    NoServer,
    /// The expected time in the queue is longer than the call may wait, or the
    /// queue of its class is full.
    Overload,
    /// The budget for second attempts is used up.
    Budget,
    /// The request was queued for as long as it may be.
    Expired,
    /// Servers crashed while they ran the same request.
    CrashesServers,
    /// The VM stops, and the call might not end before the VM does.
    Stopping,
    /// The team of the call has used up its quota.
    Quota,
}

/// The result of a health check of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeResult {
    /// Whether the server responded with a success status.
    pub ok: bool,
    /// The load that the server reported, if any.
    pub load: Option<Load>,
    /// Whether the server reported to be warm (true) or cold (false); none if it
    /// reported neither.
    pub warm: Option<bool>,
}

impl RefusalReason {
    /// Returns whether the reason is a lack of capacity, which another shard may
    /// have.
    pub fn lacks_capacity(self) -> bool {
        matches!(self, Self::NoServer | Self::Overload)
    }

    /// Returns the name used in response headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no-server",
            Self::Overload => "overload",
            Self::Budget => "budget",
            Self::Expired => "expired",
            Self::CrashesServers => "crashes-servers",
            Self::Stopping => "stopping",
            Self::Quota => "quota",
        }
    }
}

/// How warm a server is according to its home, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Warmth {
    /// The server failed and gets no calls until a probe succeeds.
    Down,
    /// The server has just started, or behaves like one that has. Its limit is that of
    /// a cold server.
    Cold,
    /// The server's limit is between that of a cold server and its slots, and grows.
    Warming,
    /// The server was warm, and its limit has been lowered because it is slow or has not
    /// responded for a while. There is no sign of a restart.
    Lowered,
    /// The server's limit equals its slots.
    Warm,
}

/// The state of one server as its home reports it to the followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSummary {
    /// Id of the server.
    pub server: ServerId,
    /// The number of calls that the server may run at once, not counting calls that
    /// queue in it.
    pub limit: u32,
    /// How warm the server is.
    pub warmth: Warmth,
    /// The server's average service time, zero if unknown.
    pub usual: Duration,
    /// The time since the server's last response.
    pub age: Duration,
}

/// The load that a backend server reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that the server is running.
    pub busy: u32,
    /// Calls that are queued in the server.
    pub waiting: u32,
    /// How long work takes on the server's host now, in percent of the usual time;
    /// [`USUAL_SLOWDOWN_PERCENT`] if the server does not report it.
    #[serde(rename = "pace")]
    pub slowdown_percent: u32,
}

/// The slowdown of a host on which work takes as long as usual.
pub const USUAL_SLOWDOWN_PERCENT: u32 = 100;

/// A permit that a follower holds for an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPermit {
    /// Id of the attempt.
    pub call: AttemptId,
    /// The server that the permit is for.
    pub server: ServerId,
    /// The time left until the attempt's deadline, or, for an attempt that was given up,
    /// until the server has most likely finished it.
    pub left: Duration,
}

/// A rate limit that a server named in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateNote {
    /// The server that named the limit.
    pub server: ServerId,
    /// The time between two calls of all VMs together.
    pub interval: Duration,
    /// The time since the response.
    pub age: Duration,
}

/// Reports the end of an attempt, and gives its permit back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Id of the attempt.
    pub call: AttemptId,
    /// The server that the permit was for.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time from sending the request to the end of the response.
    pub took: Duration,
    /// The load that the server reported with the response, if any.
    pub load: Option<Load>,
}

impl Release {
    /// Creates the release of a permit for an attempt that was never sent to `server`.
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

/// All permits that a follower holds, and its requests that are still open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerReport {
    /// Sequence number within a boot of the follower, so that a home can ignore a
    /// report that arrives out of order.
    pub number: u64,
    /// The highest attempt id that was assigned when the report was made. Attempts up
    /// to it that are not in the report have ended, and so have attempts of an earlier
    /// boot.
    #[serde(rename = "upto")]
    pub last_issued: AttemptId,
    /// Permits of attempts that a server may be running.
    pub held: Vec<HeldPermit>,
    /// Attempts that wait for a permit, sorted by id.
    pub waiting: Vec<AttemptId>,
}

/// The content of a message about one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A follower asks a VM to act as its home.
    Join {
        /// The highest epoch that the follower has acknowledged.
        seen: Epoch,
        /// Repeated in the reply, which distinguishes it from an older reply.
        nonce: u32,
    },
    /// A home asks a VM to acknowledge its epoch.
    Lead {
        /// The epoch of the sending home.
        epoch: Epoch,
        /// The nonce of the join that this message replies to, 0 if it is no reply.
        nonce: u32,
    },
    /// A VM that was addressed as home does not consider itself home.
    NotHome {
        /// The nonce of the join that this message replies to, 0 for other requests.
        nonce: u32,
    },
    /// A VM acknowledges `epoch`, and reports the permits that it holds.
    Attach {
        /// The epoch that is acknowledged.
        epoch: Epoch,
        /// The VM's permits and open requests.
        holding: FollowerReport,
        /// The servers as an earlier home last reported them.
        snapshot: Snapshot,
    },
    /// A follower repeats its report regularly, which makes up for lost messages.
    Refresh {
        /// The epoch that the follower has acknowledged.
        epoch: Epoch,
        /// The follower's permits and open requests.
        holding: FollowerReport,
    },
    /// The epoch of a home that asked for an acknowledgement is outdated, so it is not
    /// acknowledged.
    Stale {
        /// The epoch that the sender has acknowledged.
        seen: Epoch,
    },
    /// A follower requests a permit.
    Acquire {
        /// The epoch that the follower has acknowledged.
        epoch: Epoch,
        /// Id of the attempt.
        call: AttemptId,
        /// The properties of the attempt.
        ask: PermitRequest,
    },
    /// The home grants a permit.
    Grant {
        /// The epoch of the sending home.
        epoch: Epoch,
        /// Id of the attempt.
        call: AttemptId,
        /// The server that the attempt may be sent to.
        server: ServerId,
    },
    /// The home has queued the request; a grant or a refusal follows.
    Queued {
        /// The epoch of the sending home.
        epoch: Epoch,
        /// Id of the attempt.
        call: AttemptId,
    },
    /// The home refuses a permit.
    Refuse {
        /// The epoch of the sending home.
        epoch: Epoch,
        /// Id of the attempt.
        call: AttemptId,
        /// Why the permit is refused.
        reason: RefusalReason,
        /// The time after which a new request may be granted.
        after: Duration,
    },
    /// A follower reports that an attempt has ended.
    Release {
        /// The epoch that the follower has acknowledged.
        epoch: Epoch,
        /// The permit and how the attempt ended.
        release: Release,
    },
    /// A follower reports that a server closed a connection that had just been used,
    /// which indicates a restart.
    Lost {
        /// The epoch that the follower has acknowledged.
        epoch: Epoch,
        /// The server that closed the connection.
        server: ServerId,
    },
    /// The home reports the state of its servers.
    Snapshot {
        /// The epoch of the sending home.
        epoch: Epoch,
        /// Summaries of the servers, sorted by id.
        lines: Vec<ServerSummary>,
    },
    /// A follower reports rate limits that servers named in responses: one before the
    /// release of each such attempt, and all that it knows to a new home. Builds from
    /// before this message drop the datagram that it is in.
    RateLimits {
        /// The epoch that the follower has acknowledged.
        epoch: Epoch,
        /// The limits.
        limits: Vec<RateNote>,
    },
    /// A follower reports to a new home, before it acknowledges the epoch, the grants for
    /// cold servers that it has received lately. Builds from before this message drop
    /// the datagram that it is in.
    ColdGrants {
        /// The epoch that the follower is about to acknowledge.
        epoch: Epoch,
        /// The grants.
        grants: Vec<ColdGrant>,
    },
    /// A follower requests a permit and says what the home weighs the call by. Builds from
    /// before this message drop the datagram that it is in; see
    /// [`RankedForm`](crate::follower::ranked::RankedForm).
    AcquireRanked {
        /// The epoch that the follower has acknowledged.
        epoch: Epoch,
        /// Id of the attempt.
        call: AttemptId,
        /// The properties of the attempt.
        ask: PermitRequest,
        /// What the call is weighed by.
        ranking: Box<Ranking>,
    },
    /// A home says that it reads ranked requests. Only followers that sent one are told.
    ReadsRanked {
        /// The epoch of the sending home.
        epoch: Epoch,
    },
}

impl Body {
    /// Returns whether the message is addressed to a home rather than to a follower.
    pub fn is_for_home(&self) -> bool {
        matches!(
            self,
            Self::Join { .. }
                | Self::Attach { .. }
                | Self::Refresh { .. }
                | Self::Stale { .. }
                | Self::Acquire { .. }
                | Self::AcquireRanked { .. }
                | Self::Release { .. }
                | Self::Lost { .. }
                | Self::RateLimits { .. }
                | Self::ColdGrants { .. }
        )
    }
}

/// A message about one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Msg {
    /// The shard that the message is about.
    pub shard: ShardId,
    /// The content of the message.
    pub body: Body,
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver, which may be the sending VM itself.
    pub to: VmId,
    /// The message to deliver.
    pub msg: Msg,
}
