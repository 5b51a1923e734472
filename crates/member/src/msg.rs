//! Messages of the membership protocol.

use base::Revision;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::update::Update;

/// Identifies a probe among those of the VM that sends it; it wraps around.
pub type ProbeId = u32;

/// A hash over the VMs that are alive or suspected, and their incarnations.
///
/// Two VMs that know the same VMs with the same incarnations have equal digests;
/// otherwise the digests differ except for hash collisions.
pub type Digest = u64;

/// The revisions that a VM has in force.
///
/// Every ping and ack carries them, so that a VM that lags behind notices it within
/// a few probe periods.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// The revision of the configuration's head object.
    pub head: Revision,
    /// The revision of the domain orders.
    pub domains: Revision,
    /// The revisions up to which the VM knows the registry; zero without a registry.
    pub registry: base::revisions::RegistryRevisions,
    /// The time since `registry` was last confirmed to be the newest, in milliseconds.
    pub age: u32,
}

/// A message of the membership protocol from one VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// Requests a [`Msg::Ack`] from the VM `to`.
    Ping {
        /// The VM that is probed. Another VM that receives the ping at the address of
        /// this VM does not respond.
        to: VmId,
        /// The id that the ack has to repeat.
        probe: ProbeId,
        /// The revisions that the sender has in force.
        marks: Revisions,
        /// The digest of the sender's membership.
        digest: Digest,
        /// Gossip updates about any VMs.
        news: Vec<Update>,
    },
    /// Requests the receiver to ping `to` on behalf of the sender (SWIM's `ping-req`).
    #[serde(rename = "Ask")]
    PingRequest {
        /// The VM that did not respond to the sender.
        to: VmId,
        /// The id of the sender's probe, which the ack to the sender has to repeat.
        probe: ProbeId,
    },
    /// Reports that the VM `about` responded to a ping.
    Ack {
        /// The VM that responded. The sender is another VM if the ack is relayed for a
        /// [`Msg::PingRequest`]; then `marks` and `digest` are zero and `news` is
        /// empty.
        about: VmId,
        /// The id from the ping or ping request.
        probe: ProbeId,
        /// The revisions that the responding VM has in force.
        marks: Revisions,
        /// The digest of the responding VM's membership.
        digest: Digest,
        /// Gossip updates about any VMs.
        news: Vec<Update>,
    },
    /// Requests the complete member list.
    Join {
        /// The update of the sender about itself.
        news: Vec<Update>,
    },
    /// Carries a part of the complete member list, which may take several messages.
    #[serde(rename = "Roster")]
    MemberList {
        /// Updates about some of the VMs that the sender knows, itself and dead peers
        /// included.
        news: Vec<Update>,
    },
}
