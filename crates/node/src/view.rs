//! A snapshot of the membership: which VMs are alive, and which of them may be homes.

use std::net::SocketAddr;

use base::DomainId;
use base::VmId;
use member::Health;
use member::Membership;

/// A snapshot of the membership. It is never changed, but replaced as a whole when the
/// membership changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The VMs of this VM's region that are alive, this VM included, sorted by id.
    pub alive: Vec<VmId>,
    /// The VMs in `alive` that may be homes and readers, sorted by id; see
    /// [`eligible`].
    pub eligible: Vec<VmId>,
    /// The eligible VMs of each failure domain, sorted by domain.
    by_domain: Vec<(DomainId, Vec<VmId>)>,
    /// The VMs of this VM's region that may hold permits, this VM included, sorted
    /// by id: all that have not left, dead ones too.
    pub vms: Vec<VmId>,
    /// The number of VMs that are alive in all regions.
    pub total_alive: usize,
    /// The number of VMs that should exist but of which nothing has been heard.
    pub undiscovered: usize,
    /// The number of VMs of all regions that have not left, this VM, dead and undiscovered
    /// ones included. Quotas bound the calls of all regions together.
    pub registered: usize,
    /// The addresses of the other VMs, sorted by id.
    addresses: Vec<(VmId, SocketAddr)>,
}

/// The least capacity of an eligible VM, as a share of the largest VM's capacity.
const ELIGIBLE_SHARE: f64 = 0.5;

/// Returns the VMs of `alive` that should be homes and readers: those with at least
/// `ELIGIBLE_SHARE` of the largest capacity. All other VMs depend on homes and
/// readers, so these should have the most processor capacity and link bandwidth.
pub fn eligible(alive: &[VmId], capacity: impl Fn(VmId) -> u32) -> Vec<VmId> {
    let largest = alive.iter().map(|&vm| capacity(vm)).max().unwrap_or(0);
    let threshold = f64::from(largest) * ELIGIBLE_SHARE;
    let mut eligible = alive.to_vec();
    eligible.retain(|&vm| f64::from(capacity(vm)) >= threshold);
    eligible
}

/// Groups `vms` by failure domain. The groups are sorted by domain, and each keeps
/// the order of `vms`.
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
    /// Returns whether fewer than half of the region's VMs are alive as far as this VM
    /// hears: it may be the one that is cut off.
    pub fn is_isolated(&self) -> bool {
        self.alive.len() * 2 < self.vms.len()
    }

    /// Takes a snapshot of `members`.
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
        let remaining = || {
            let peers = members.peers().iter();
            peers.filter(|peer| peer.health != Health::Left)
        };
        let may_hold_permits = remaining().filter(|peer| same_region(peer));
        let mut vms: Vec<VmId> = may_hold_permits.map(|peer| peer.profile.vm).collect();
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
            registered: remaining().count() + 1 + members.undiscovered(),
            addresses,
        }
    }

    /// Returns the VMs that may be the home of a shard whose servers are in
    /// `domain`: the eligible VMs of that failure domain. If none of its VMs is
    /// alive, or `domain` is none, returns the eligible VMs of the region.
    pub fn home_candidates(&self, domain: Option<DomainId>) -> &[VmId] {
        let in_domain = domain.and_then(|domain| {
            let index = self
                .by_domain
                .binary_search_by_key(&domain, |(domain, _)| *domain);
            index.ok().map(|index| self.by_domain[index].1.as_slice())
        });
        in_domain.unwrap_or(&self.eligible)
    }

    /// Returns the failure domain of the VM `vm`, which may be a home; 0 for any other one.
    pub fn domain_of(&self, vm: VmId) -> DomainId {
        let has_vm = |(_, vms): &&(DomainId, Vec<VmId>)| vms.contains(&vm);
        let found = self.by_domain.iter().find(has_vm);
        found.map_or(0, |(domain, _)| *domain)
    }

    /// Returns the address of `vm`, or none if `vm` is not known or is this VM.
    pub fn address(&self, vm: VmId) -> Option<SocketAddr> {
        let index = self.addresses.binary_search_by_key(&vm, |(vm, _)| *vm);
        index.ok().map(|index| self.addresses[index].1)
    }

    /// Returns the part of the view that a ledger needs.
    pub fn fleet(&self) -> route::ledger::Fleet<'_> {
        route::ledger::Fleet {
            vms: &self.vms,
            alive: &self.alive,
            undiscovered: self.undiscovered,
        }
    }
}
