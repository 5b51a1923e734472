//! The other VMs as one moment's membership shows them.

use std::net::SocketAddr;

use base::DomainId;
use base::VmId;
use member::Health;
use member::Membership;

/// A snapshot of the membership; it is replaced whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The VMs of this one's region that answer, this one included, sorted.
    pub alive: Vec<VmId>,
    /// Those of them that take work for all others, sorted; see [`able`].
    pub able: Vec<VmId>,
    /// The same for each failure domain, sorted by domain.
    homes: Vec<(DomainId, Vec<VmId>)>,
    /// The VMs of this one's region that may hold permits, this one included,
    /// sorted.
    pub vms: Vec<VmId>,
    /// How many VMs answer in all regions.
    pub everywhere: usize,
    /// VMs that should exist and of which nothing has been heard.
    pub strangers: usize,
    addresses: Vec<(VmId, SocketAddr)>,
}

/// The part of the most able VM's capacity that another has to have to be as fit
/// as that one to take work for all.
const ABLE: f64 = 0.5;

/// Returns the VMs that should be homes and readers: where VMs differ, work that
/// all others depend on goes to those with the most processor and link.
pub fn able(alive: &[VmId], capacity: impl Fn(VmId) -> u32) -> Vec<VmId> {
    let most = alive.iter().map(|&vm| capacity(vm)).max().unwrap_or(0);
    let least = f64::from(most) * ABLE;
    let mut able = alive.to_vec();
    able.retain(|&vm| f64::from(capacity(vm)) >= least);
    able
}

/// Splits `vms` by domain; both stay sorted.
fn split(vms: &[VmId], domain: impl Fn(VmId) -> DomainId) -> Vec<(DomainId, Vec<VmId>)> {
    let mut split: Vec<(DomainId, Vec<VmId>)> = Vec::new();
    for &vm in vms {
        let domain = domain(vm);
        match split.binary_search_by_key(&domain, |(domain, _)| *domain) {
            Ok(at) => split[at].1.push(vm),
            Err(at) => split.insert(at, (domain, vec![vm])),
        }
    }
    split
}

impl View {
    /// Takes a snapshot.
    pub fn new(members: &Membership) -> Self {
        let me = members.profile();
        let near = |peer: &member::Peer| peer.profile.region == me.region;
        let everywhere = members.alive();
        let mut alive = everywhere.to_vec();
        alive.retain(|vm| members.peer(*vm).is_none_or(near));
        let capacity = |vm: VmId| members.peer(vm).map_or(me.capacity, |p| p.profile.capacity);
        let able = able(&alive, capacity);
        let domain = |vm: VmId| members.peer(vm).map_or(me.domain, |p| p.profile.domain);
        let homes = split(&alive, domain).into_iter();
        let homes = homes.map(|(domain, vms)| (domain, self::able(&vms, capacity)));
        let homes = homes.collect();
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
            able,
            homes,
            vms,
            everywhere: everywhere.len(),
            strangers: members.undiscovered(),
            addresses,
        }
    }

    /// Returns the VMs that may be homes of a shard whose servers stand in
    /// `domain`: those of that domain, where any answers.
    pub fn homes(&self, domain: Option<DomainId>) -> &[VmId] {
        let near = domain.and_then(|domain| {
            let at = self
                .homes
                .binary_search_by_key(&domain, |(domain, _)| *domain);
            at.ok().map(|at| self.homes[at].1.as_slice())
        });
        near.unwrap_or(&self.able)
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
            undiscovered: self.strangers,
        }
    }
}
