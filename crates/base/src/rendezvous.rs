//! Highest-random-weight choice of VMs for a key.
//!
//! Every VM that sees the same set of live VMs picks the same one without a
//! message, and a VM that comes or goes moves only its own keys. See
//! `docs/design/homes.md`.

use crate::hash;
use crate::VmId;

/// Returns the VM with the highest weight for `key`, or none for an empty set.
pub fn first(key: u64, vms: &[VmId]) -> Option<VmId> {
    vms.iter()
        .copied()
        .max_by_key(|&vm| (hash::mix(key, vm), vm))
}

/// Returns up to `count` VMs for `key`, the highest weight first.
pub fn top(key: u64, vms: &[VmId], count: usize) -> Vec<VmId> {
    let mut ranked: Vec<_> = vms.iter().map(|&vm| (hash::mix(key, vm), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

/// Assigns each of `slots` units of `key` to one VM, so that no VM owns more
/// than its even share rounded up.
///
/// The cap keeps a VM from owning most of a small service by chance; below the
/// cap the choice is the plain rendezvous one, so few units move when a VM
/// comes or goes.
pub fn partition(keys: &[(u64, u32)], vms: &[VmId]) -> Vec<OwnedSlot> {
    let total: usize = keys.iter().map(|&(_, slots)| slots as usize).sum();
    let mut units = Vec::with_capacity(total);
    if vms.is_empty() {
        return units;
    }
    let cap = total.div_ceil(vms.len());
    let mut owned = vec![0_usize; vms.len()];
    for &(key, slots) in keys {
        for slot in 0..slots {
            let unit = hash::mix(key, u64::from(slot));
            let best = (0..vms.len())
                .filter(|&i| owned[i] < cap)
                .max_by_key(|&i| (hash::mix(unit, vms[i]), vms[i]));
            if let Some(i) = best {
                owned[i] += 1;
                units.push(OwnedSlot { key, owner: vms[i] });
            }
        }
    }
    units
}

/// One slot of a key and the VM that may use it without asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedSlot {
    /// The key whose slot this is.
    pub key: u64,
    /// The VM that owns the slot.
    pub owner: VmId,
}
