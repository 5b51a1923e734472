//! The messages that travel in datagrams.

use route::keys::ClaimReply;
use route::keys::KeyClaim;
use serde::Deserialize;
use serde::Serialize;

/// A message about an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyMsg {
    /// Claims a key for a call.
    Claim(KeyClaim),
    /// Answers a claim.
    #[serde(rename = "Answer")]
    Reply {
        /// The claim that is answered.
        claimed: KeyClaim,
        /// The answer.
        claim: ClaimReply,
    },
    /// Gives a claim up because its call certainly did not run.
    Forget(KeyClaim),
}

/// A message from one VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// About the membership.
    Member(member::Msg),
    /// About a shard's permits.
    Route(route::Msg),
    /// About an idempotency key.
    Key(KeyMsg),
}
