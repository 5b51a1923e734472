//! The messages that travel in datagrams.

use route::keys::Claim;
use route::keys::KeyHash;
use route::CallNo;
use serde::Deserialize;
use serde::Serialize;

/// A message about an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyMsg {
    /// Claims a key for an attempt.
    Claim {
        /// The key.
        key: KeyHash,
        /// The attempt.
        call: CallNo,
    },
    /// Answers a claim.
    Answer {
        /// The key.
        key: KeyHash,
        /// The attempt that claimed it.
        call: CallNo,
        /// The answer.
        claim: Claim,
    },
    /// Gives a claim up because its call certainly did not run.
    Forget {
        /// The key.
        key: KeyHash,
        /// The attempt that claimed it.
        call: CallNo,
    },
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
