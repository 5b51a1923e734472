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
    pub eligible: Vec<VmId>,
    /// The same for each failure domain, sorted by domain.
    by_domain: Vec<(DomainId, Vec<VmId>)>,
    /// The VMs of this one's region that may hold permits, this one included,
    /// sorted.
    pub vms: Vec<VmId>,
    /// How many VMs answer in all regions.
    pub total_alive: usize,
    /// VMs that should exist and of which nothing has been heard.
    pub undiscovered: usize,
    addresses: Vec<(VmId, SocketAddr)>,
}

/// The part of the most able VM's capacity that another has to have to be as fit
/// as that one to take work for all.
const ELIGIBLE_SHARE: f64 = 0.5;

/// Returns the VMs that should be homes and readers: where VMs differ, work that
/// all others depend on goes to those with the most processor and link.
pub fn eligible(alive: &[VmId], capacity: impl Fn(VmId) -> u32) -> Vec<VmId> {
    let largest = alive.iter().map(|&vm| capacity(vm)).max().unwrap_or(0);
    let threshold = f64::from(largest) * ELIGIBLE_SHARE;
    let mut eligible = alive.to_vec();
    eligible.retain(|&vm| f64::from(capacity(vm)) >= threshold);
    eligible
}

/// Splits `vms` by domain; both stay sorted.
fn group_by_domain(vms: &[VmId], domain: impl Fn(VmId) -> DomainId) -> Vec<(DomainId, Vec<VmId>)> {
    let mut groups: Vec<(DomainId, Vec<VmId>)> = Vec::new();
    for &vm in vms {
        let domain = domain(vm);
        match groups.binary_search_by_key(&domain, |(domain, _)| *domain) {
            Ok(index) => groups[index].1.push(vm),
            Err(index) => groups.insert(index, (domain, vec![vm])),
        }
    }
    groups
}

impl View {
    /// Takes a snapshot.
    pub fn new(members: &Membership) -> Self {
        let own = members.profile();
        let same_region = |peer: &member::Peer| peer.profile.region == own.region;
        let all_alive = members.alive();
        let mut alive = all_alive.to_vec();
        alive.retain(|vm| members.peer(*vm).is_none_or(same_region));
        let capacity = |vm: VmId| {
            members
                .peer(vm)
                .map_or(own.capacity, |p| p.profile.capacity)
        };
        let eligible = eligible(&alive, capacity);
        let domain = |vm: VmId| members.peer(vm).map_or(own.domain, |p| p.profile.domain);
        let by_domain = group_by_domain(&alive, domain).into_iter();
        let by_domain = by_domain.map(|(domain, vms)| (domain, self::eligible(&vms, capacity)));
        let by_domain = by_domain.collect();
        let may_hold_permits =
            |peer: &&member::Peer| peer.health != Health::Left && same_region(peer);
        let mut vms: Vec<VmId> = members
            .peers()
            .iter()
            .filter(may_hold_permits)
            .map(|peer| peer.profile.vm)
            .collect();
        vms.push(own.vm);
        vms.sort_unstable();
        let addresses = members
            .peers()
            .iter()
            .map(|peer| (peer.profile.vm, peer.profile.address))
            .collect();
        Self {
            alive,
            eligible,
            by_domain,
            vms,
            total_alive: all_alive.len(),
            undiscovered: members.undiscovered(),
            addresses,
        }
    }

    /// Returns the VMs that may be homes of a shard whose servers stand in
    /// `domain`: those of that domain, where any answers.
    pub fn home_candidates(&self, domain: Option<DomainId>) -> &[VmId] {
        let same_region = domain.and_then(|domain| {
            let index = self
                .by_domain
                .binary_search_by_key(&domain, |(domain, _)| *domain);
            index.ok().map(|index| self.by_domain[index].1.as_slice())
        });
        same_region.unwrap_or(&self.eligible)
    }

    /// Returns the address of `vm`.
    pub fn address(&self, vm: VmId) -> Option<SocketAddr> {
        let index = self.addresses.binary_search_by_key(&vm, |(vm, _)| *vm);
        index.ok().map(|index| self.addresses[index].1)
    }

    /// Returns the view as a ledger needs it.
    pub fn fleet(&self) -> route::ledger::Fleet<'_> {
        route::ledger::Fleet {
            vms: &self.vms,
            alive: &self.alive,
            undiscovered: self.undiscovered,
        }
    }
}
