//! News about VMs, and how often each has been told on.

use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::Health;
use crate::peer::Incarnation;
use crate::peer::Profile;

/// How many times log2 of the fleet's size each item is told on.
const SPREAD: u32 = 3;
/// The most items on one message, so that it fits a datagram.
const ITEMS_MAX: usize = 6;

/// What is said about one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The VM.
    pub profile: Profile,
    /// The incarnation that the health is about.
    pub incarnation: Incarnation,
    /// Its health.
    pub health: Health,
}

/// An item that still has to be told on.
#[derive(Clone, Debug)]
struct Rumor {
    vm: VmId,
    sent: u32,
}

/// The VMs about which there is something to tell, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue(Vec<Rumor>);

impl GossipQueue {
    /// Begins to tell about `vm`, again if it was told before.
    pub fn add(&mut self, vm: VmId) {
        match self.0.binary_search_by_key(&vm, |rumor| rumor.vm) {
            Ok(at) => self.0[at].sent = 0,
            Err(at) => self.0.insert(at, Rumor { vm, sent: 0 }),
        }
    }

    /// Picks the least told VMs for one message to one of `fleet` VMs.
    pub fn pick(&mut self, fleet: usize) -> Vec<VmId> {
        let limit = SPREAD * (fleet + 1).ilog2().max(1);
        let mut order: Vec<usize> = (0..self.0.len()).collect();
        order.sort_by_key(|&at| self.0[at].sent);
        order.truncate(ITEMS_MAX);
        let mut picked = Vec::with_capacity(order.len());
        for at in order {
            self.0[at].sent += 1;
            picked.push(self.0[at].vm);
        }
        self.0.retain(|rumor| rumor.sent < limit);
        picked
    }
}
