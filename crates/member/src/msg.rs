//! Messages of the membership protocol.

use base::Revision;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::news::Item;

/// Numbers the probes of one VM.
pub type ProbeNo = u32;

/// Stands for a whole membership: equal if and, but for chance, only if two VMs
/// know the same VMs with the same incarnations.
pub type Digest = u64;

/// The revisions that a VM has in force; they travel on every probe, so that
/// a VM that lags learns of it within a few periods.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// The revision of the head of the configuration.
    pub head: Revision,
    /// The revision of the orders about failure domains.
    pub domains: Revision,
    /// Up to where the VM knows the registry, if it has one.
    pub registry: base::marks::Marks,
    /// How long ago that knowledge was last found to be the newest, in
    /// milliseconds.
    pub age: u32,
}

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// Asks the VM `to` for an [`Msg::Ack`].
    Ping {
        /// The VM that is meant; another one at its address does not answer.
        to: VmId,
        /// The probe that is answered.
        probe: ProbeNo,
        /// What the sender has in force.
        marks: Marks,
        /// A digest of the VMs that the sender thinks are there.
        digest: Digest,
        /// News about any VM.
        news: Vec<Item>,
    },
    /// Asks the receiver to ping `to` on the sender's behalf.
    Ask {
        /// The VM that did not answer.
        to: VmId,
        /// The probe that is answered.
        probe: ProbeNo,
    },
    /// Says that the VM `about` answered.
    Ack {
        /// The VM that answered.
        about: VmId,
        /// The probe that it answers.
        probe: ProbeNo,
        /// What the answering VM has in force.
        marks: Marks,
        /// A digest of the VMs that the answering VM thinks are there.
        digest: Digest,
        /// News about any VM.
        news: Vec<Item>,
    },
    /// Asks for the whole membership.
    Join {
        /// The sender and all that it knows.
        news: Vec<Item>,
    },
    /// Tells the whole membership, in as many messages as it takes.
    Roster {
        /// The sender and a part of what it knows.
        news: Vec<Item>,
    },
}
