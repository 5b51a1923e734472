//! Rendezvous hashing (highest random weight), which chooses VMs for a key.
//!
//! VMs that know the same set of live VMs choose the same VM without exchanging a
//! message. When a VM joins or leaves, only the keys of that VM move. See
//! `docs/design/homes.md`.

use crate::hash;
use crate::VmId;

/// Returns the VM with the highest weight for `key`, or `None` if `vms` is empty.
pub fn first(key: u64, vms: &[VmId]) -> Option<VmId> {
    vms.iter()
        .copied()
        .max_by_key(|&vm| (hash::mix(key, vm), vm))
}

/// Returns up to `count` VMs for `key`, in descending order of weight.
pub fn top(key: u64, vms: &[VmId], count: usize) -> Vec<VmId> {
    let mut ranked: Vec<_> = vms.iter().map(|&vm| (hash::mix(key, vm), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

/// Assigns each slot of `keys` to a VM of `vms`.
///
/// Each key is given with its number of slots. No VM owns more than an even share of
/// all slots, rounded up. This cap keeps a VM from owning most slots of a small
/// service by chance. Below the cap each slot goes to the VM with the highest
/// weight, so that few slots move when a VM joins or leaves.
pub fn partition(keys: &[(u64, u32)], vms: &[VmId]) -> Vec<OwnedSlot> {
    let total: usize = keys.iter().map(|&(_, slots)| slots as usize).sum();
    let mut assigned = Vec::with_capacity(total);
    if vms.is_empty() {
        return assigned;
    }
    let cap = total.div_ceil(vms.len());
    let mut owned = vec![0_usize; vms.len()];
    for &(key, slots) in keys {
        for slot in 0..slots {
            let slot_hash = hash::mix(key, u64::from(slot));
            let best = (0..vms.len())
                .filter(|&i| owned[i] < cap)
                .max_by_key(|&i| (hash::mix(slot_hash, vms[i]), vms[i]));
            if let Some(i) = best {
                owned[i] += 1;
                assigned.push(OwnedSlot { key, owner: vms[i] });
            }
        }
    }
    assigned
}

/// A slot of a key and the VM that may use the slot without requesting a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedSlot {
    /// The key to which the slot belongs.
    pub key: u64,
    /// The VM that owns the slot.
    pub owner: VmId,
}
