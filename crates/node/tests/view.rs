//! Which VMs take work for all others.

use node::view::eligible;

/// Ids 1 and 2 have five times the capacity of the others.
fn capacity(vm: u64) -> u32 {
    if vm <= 2 {
        500
    } else {
        100
    }
}

#[test]
fn eligible_large_vms_only() {
    assert_eq!(eligible(&[1, 2, 3, 4], capacity), [1, 2]);
}

#[test]
fn eligible_all_vms_without_large_ones() {
    assert_eq!(eligible(&[3, 4, 5], capacity), [3, 4, 5]);
    assert_eq!(eligible(&[], capacity), [0; 0]);
}
