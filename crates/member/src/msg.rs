//! Messages of the membership protocol.

use base::Revision;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::update::Update;

/// Numbers the probes of one VM.
pub type ProbeId = u32;

/// Stands for a whole membership: equal if and, but for chance, only if two VMs
/// know the same VMs with the same incarnations.
pub type Digest = u64;

/// The revisions that a VM has in force; they travel on every probe, so that
/// a VM that lags learns of it within a few periods.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// The revision of the head of the configuration.
    pub head: Revision,
    /// The revision of the orders about failure domains.
    pub domains: Revision,
    /// Up to where the VM knows the registry, if it has one.
    pub registry: base::revisions::RegistryRevisions,
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
        probe: ProbeId,
        /// What the sender has in force.
        marks: Revisions,
        /// A digest of the VMs that the sender thinks are there.
        digest: Digest,
        /// News about any VM.
        news: Vec<Update>,
    },
    /// Asks the receiver to ping `to` on the sender's behalf.
    #[serde(rename = "Ask")]
    PingRequest {
        /// The VM that did not answer.
        to: VmId,
        /// The probe that is answered.
        probe: ProbeId,
    },
    /// Says that the VM `about` answered.
    Ack {
        /// The VM that answered.
        about: VmId,
        /// The probe that it answers.
        probe: ProbeId,
        /// What the answering VM has in force.
        marks: Revisions,
        /// A digest of the VMs that the answering VM thinks are there.
        digest: Digest,
        /// News about any VM.
        news: Vec<Update>,
    },
    /// Asks for the whole membership.
    Join {
        /// The sender and all that it knows.
        news: Vec<Update>,
    },
    /// Tells the whole membership, in as many messages as it takes.
    #[serde(rename = "Roster")]
    MemberList {
        /// The sender and a part of what it knows.
        news: Vec<Update>,
    },
}
