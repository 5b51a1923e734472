//! What one VM knows about another.

use std::net::SocketAddr;

use base::DomainId;
use base::RegionId;
use base::Time;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Orders what a VM says about itself; it only grows, across restarts too.
pub type Incarnation = u64;

/// Whether a peer can be worked with; of two reports with one incarnation the
/// greater one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer and may refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What a VM tells about itself when it joins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Its id.
    pub vm: VmId,
    /// Its name.
    pub name: String,
    /// Its address for UDP and TCP.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region, as a hash of the region's name.
    pub region: RegionId,
    /// How much it can carry, in thousandths of a core.
    pub capacity: u32,
}

/// One peer as this VM sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it told about itself.
    pub profile: Profile,
    /// The incarnation that the health is about.
    pub incarnation: Incarnation,
    /// Its health.
    pub health: Health,
    /// Since when it has this health.
    pub since: Time,
}

impl Peer {
    /// Returns whether a report supersedes what is known.
    pub fn is_superseded_by(&self, incarnation: Incarnation, health: Health) -> bool {
        (incarnation, health) > (self.incarnation, self.health)
    }
}
