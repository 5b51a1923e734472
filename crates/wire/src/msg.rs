//! The messages that are sent in datagrams.

use std::net::SocketAddr;

use route::crashes::CrashReport;
use route::crashes::Fingerprint;
use route::keys::ClaimReply;
use route::keys::KeyClaim;
use route::quota::QuotaMsg;
use route::rollout::RolloutMsg;
use serde::Deserialize;
use serde::Serialize;

/// A message between an entry VM and an owner of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyMsg {
    /// Asks an owner of the key to grant it to a call.
    Claim(KeyClaim),
    /// The owner's reply to a claim.
    #[serde(rename = "Answer")]
    Reply {
        /// The claim to which this is the reply.
        claimed: KeyClaim,
        /// Whether the owner grants the key.
        claim: ClaimReply,
    },
    /// Withdraws a claim whose call has certainly not run.
    Forget(KeyClaim),
}

/// A message about servers that crashed while they ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMsg {
    /// Servers crashed under the request.
    Crashed(CrashReport),
    /// A server responded to the request, so it does not crash each server that runs it.
    Cleared(Fingerprint),
}

/// A message about a VM that has no path to servers and relays its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMsg {
    /// The sender reaches no server and asks the receiver to take its calls.
    Request,
    /// The sender takes calls at this address.
    Offer {
        /// The address for relayed calls.
        address: SocketAddr,
    },
}

/// A message from one VM to another, by the protocol to which it belongs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Failure detection and gossip.
    Member(member::Msg),
    /// Epochs and permits of a shard.
    Route(route::Msg),
    /// Claims of idempotency keys.
    Key(KeyMsg),
    /// Servers that crashed under requests.
    Crash(CrashMsg),
    /// Calls that are relayed to other VMs.
    Relay(RelayMsg),
    /// Quotas of teams.
    Quota(QuotaMsg),
    /// Roll-outs of versions.
    Rollout(RolloutMsg),
}

impl Msg {
    /// Returns whether builds that may run beside this one lack this kind of message.
    ///
    /// Such a build drops the whole datagram that the message is in, so the message must not
    /// share one with messages that it can read. See `docs/design/wire.md`.
    pub fn is_recent(&self) -> bool {
        match self {
            Self::Route(msg) => matches!(
                msg.body,
                route::msg::Body::AcquireRanked { .. } | route::msg::Body::ReadsRanked { .. }
            ),
            Self::Quota(_) | Self::Rollout(_) => true,
            _ => false,
        }
    }
}
