//! The messages about quotas; see `docs/design/quotas.md`.

use std::time::Duration;

use base::TeamId;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::instance::InstanceId;

/// The number of an ask, by which its answer and a give-back are matched to it.
pub type AskId = u64;

/// The number of one of the lanes into which each part is divided; see [`super::LANES`].
pub type Lane = u8;

/// A message between the home of a lane and another VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaMsg {
    /// The lane.
    pub lane: Lane,
    /// The content.
    pub body: QuotaBody,
}

/// The content of a message between the home of a lane and another VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaBody {
    /// The home asks a VM for its part.
    Collect {
        /// The home's process.
        instance: InstanceId,
        /// The home's clock.
        stamp: Time,
        /// The number of registered VMs that the home knows of.
        fleet: u32,
    },
    /// A VM delegates its part to the home for a lease.
    Delegate {
        /// The home's process, from the `Collect`.
        instance: InstanceId,
        /// The stamp of the `Collect`.
        stamp: Time,
        /// The share of each quota; 0 while an earlier lease may run.
        share: f64,
        /// Whether the sender has just started, and an earlier process of it may have
        /// delegated the share to another home.
        waits: bool,
        /// How long the sender's process has run.
        age: Duration,
        /// How long no other home has used the share, as far as that process knows.
        unused: Duration,
        /// The share of each credit.
        credit: f64,
    },
    /// A VM uses the receiver's part no longer.
    Return {
        /// The sender's process.
        instance: InstanceId,
        /// The sender's clock.
        stamp: Time,
        /// For how long tokens that it granted ahead may still be used.
        held: Duration,
    },
    /// A VM asks for a token for a call that waits.
    Ask {
        /// The number of the ask.
        ask: AskId,
        /// The team that makes the call.
        team: TeamId,
        /// How many tokens more than one the VM would use soon.
        extra: u32,
    },
    /// The home grants a token.
    Grant {
        /// The number of the ask.
        ask: AskId,
        /// How many tokens more than one the VM gets ahead.
        extra: u32,
    },
    /// The home has no token.
    Deny {
        /// The number of the ask.
        ask: AskId,
        /// When there will be one.
        retry_after: Duration,
    },
    /// The token that was granted for a call is not used.
    GiveBack {
        /// The number of the ask.
        ask: AskId,
    },
    /// A VM can delegate its part from now on, and wants to be asked for it.
    Offer,
}
