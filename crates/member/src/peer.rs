//! What a VM knows about one of its peers.

use std::net::SocketAddr;

use base::DomainId;
use base::RegionId;
use base::Time;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Version number of what a VM reports about itself.
///
/// Only the VM itself raises its incarnation. The number grows across restarts too.
pub type Incarnation = u64;

/// Whether a peer is alive, as seen by one VM.
///
/// Of two updates with the same incarnation the one with the greater health counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The peer responds.
    Alive,
    /// The peer did not respond and still has time to refute the suspicion.
    Suspect,
    /// The peer did not refute the suspicion in time.
    Dead,
    /// The peer reported that it leaves because of a planned stop.
    Left,
}

/// What a VM reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The id of the VM, which is the hash of its name.
    pub vm: VmId,
    /// The name of the VM.
    pub name: String,
    /// The address at which the VM receives from its peers, over UDP and TCP.
    pub address: SocketAddr,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The region of the VM.
    pub region: RegionId,
    /// The load that the VM can handle, in thousandths of a core.
    pub capacity: u32,
}

/// A peer, as seen by this VM.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What the peer reported about itself.
    pub profile: Profile,
    /// The incarnation of the peer to which `health` applies.
    pub incarnation: Incarnation,
    /// The health of the peer.
    pub health: Health,
    /// The time since which the peer has had this health, by this VM's clock.
    pub since: Time,
}

impl Peer {
    /// Returns whether an update with `incarnation` and `health` supersedes what is
    /// known about the peer.
    pub fn is_superseded_by(&self, incarnation: Incarnation, health: Health) -> bool {
        (incarnation, health) > (self.incarnation, self.health)
    }
}
