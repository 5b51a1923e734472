//! Gossip updates about VMs, and the queue that limits how often each is sent.

use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::Health;
use crate::peer::Incarnation;
use crate::peer::Profile;

/// An update is sent about `RETRANSMIT_FACTOR` times the binary logarithm of the fleet
/// size.
const RETRANSMIT_FACTOR: u32 = 3;
/// Maximum number of updates picked for a ping or ack, so that the message fits a
/// datagram.
const PIGGYBACK_MAX: usize = 6;

/// A gossip update: what a VM reports about itself or about a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The profile of the VM that the update is about.
    pub profile: Profile,
    /// The incarnation of the VM to which `health` applies.
    pub incarnation: Incarnation,
    /// The health of the VM.
    pub health: Health,
}

/// A VM whose update is still being sent.
#[derive(Clone, Debug)]
struct Entry {
    vm: VmId,
    /// The number of messages that have carried the update.
    sent: u32,
}

/// The VMs about which updates have to be sent, sorted by id.
///
/// The queue holds ids only. The updates are made from what is known about the VM
/// when the message is sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue(Vec<Entry>);

impl GossipQueue {
    /// Adds `vm`; if `vm` is in the queue already, its count starts again at zero.
    pub fn add(&mut self, vm: VmId) {
        match self.0.binary_search_by_key(&vm, |entry| entry.vm) {
            Ok(i) => self.0[i].sent = 0,
            Err(i) => self.0.insert(i, Entry { vm, sent: 0 }),
        }
    }

    /// Returns the VMs whose updates go into the next message, those with the fewest
    /// sent messages first.
    ///
    /// `fleet` is the number of alive VMs. A VM leaves the queue once its update has
    /// been sent often enough for a fleet of that size.
    pub fn pick(&mut self, fleet: usize) -> Vec<VmId> {
        let limit = transmissions_max(fleet);
        let mut order: Vec<usize> = (0..self.0.len()).collect();
        if order.len() > PIGGYBACK_MAX {
            order.select_nth_unstable_by_key(PIGGYBACK_MAX, |&i| self.0[i].sent);
            order.truncate(PIGGYBACK_MAX);
        }
        let mut picked = Vec::with_capacity(order.len());
        for i in order {
            self.0[i].sent += 1;
            picked.push(self.0[i].vm);
        }
        self.0.retain(|entry| entry.sent < limit);
        picked
    }

    /// Counts the updates about VMs for which `is_known` holds as sent once more, because
    /// a peer turned out to have them. `fleet` is as for [`GossipQueue::pick`].
    pub fn record_known(&mut self, fleet: usize, is_known: impl Fn(VmId) -> bool) {
        let limit = transmissions_max(fleet);
        self.0.retain_mut(|entry| {
            entry.sent += u32::from(is_known(entry.vm));
            entry.sent < limit
        });
    }
}

/// Returns how often an update is sent in a fleet of this size.
fn transmissions_max(fleet: usize) -> u32 {
    RETRANSMIT_FACTOR * (fleet + 1).ilog2().max(1)
}
