//! Which VMs take work for all others.

use node::fleet::able;

/// Ids 1 and 2 have five times the capacity of the others.
fn capacity(vm: u64) -> u32 {
    if vm <= 2 {
        500
    } else {
        100
    }
}

#[test]
fn able_vms_are_the_large_ones() {
    assert_eq!(able(&[1, 2, 3, 4], capacity), [1, 2]);
}

#[test]
fn able_vms_are_all_where_no_large_one_answers() {
    assert_eq!(able(&[3, 4, 5], capacity), [3, 4, 5]);
    assert_eq!(able(&[], capacity), [0; 0]);
}
