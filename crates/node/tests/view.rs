//! Tests which VMs are eligible as homes and readers.

use node::view::eligible;

/// Gives the VMs 1 and 2 five times the capacity of the others.
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
