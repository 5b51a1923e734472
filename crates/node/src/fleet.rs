//! The other VMs as one moment's membership shows them.

use std::net::SocketAddr;

use base::VmId;
use member::Health;
use member::Membership;

/// A snapshot of the membership; it is replaced whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The VMs of this one's region that answer, this one included, sorted.
    pub alive: Vec<VmId>,
    /// The VMs of this one's region that may hold permits, this one included,
    /// sorted.
    pub vms: Vec<VmId>,
    /// How many VMs answer in all regions.
    pub everywhere: usize,
    /// VMs that should exist and of which nothing has been heard.
    pub strangers: usize,
    addresses: Vec<(VmId, SocketAddr)>,
}

impl View {
    /// Takes a snapshot.
    pub fn new(members: &Membership) -> Self {
        let me = members.me();
        let near = |peer: &member::Peer| peer.profile.region == me.region;
        let everywhere = members.alive();
        let mut alive = everywhere.to_vec();
        alive.retain(|vm| members.peer(*vm).is_none_or(near));
        let holds = |peer: &&member::Peer| peer.health != Health::Left && near(peer);
        let mut vms: Vec<VmId> = members
            .peers()
            .iter()
            .filter(holds)
            .map(|peer| peer.profile.vm)
            .collect();
        vms.push(me.vm);
        vms.sort_unstable();
        let addresses = members
            .peers()
            .iter()
            .map(|peer| (peer.profile.vm, peer.profile.address))
            .collect();
        Self {
            alive,
            vms,
            everywhere: everywhere.len(),
            strangers: members.strangers(),
            addresses,
        }
    }

    /// Returns the address of `vm`.
    pub fn address(&self, vm: VmId) -> Option<SocketAddr> {
        let at = self.addresses.binary_search_by_key(&vm, |(vm, _)| *vm);
        at.ok().map(|at| self.addresses[at].1)
    }

    /// Returns the view as a ledger needs it.
    pub fn fleet(&self) -> route::ledger::Fleet<'_> {
        route::ledger::Fleet {
            vms: &self.vms,
            alive: &self.alive,
            strangers: self.strangers,
        }
    }
}
