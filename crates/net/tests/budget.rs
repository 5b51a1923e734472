//! The memory that the connections and calls of a VM share.

use bytes::Bytes;
use net::budget::MemoryBudget;

#[test]
fn budget_refuses_more_than_its_size() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.reserve(60).unwrap();
    assert!(budget.reserve(41).is_none());
    assert!(!first.grow(41));
    assert_eq!(budget.used(), 60);
    assert!(first.grow(40));
    assert_eq!(budget.used(), 100);
}

#[test]
fn budget_gets_back_what_is_dropped() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.reserve(60).unwrap();
    let second = budget.reserve(40).unwrap();
    first.shrink_to(10);
    assert_eq!(budget.used(), 50);
    drop((first, second));
    assert_eq!(budget.used(), 0);
}

#[test]
fn budget_is_held_by_bytes_until_their_last_part_is_dropped() {
    let budget = MemoryBudget::new(100);
    let reservation = budget.reserve(60).unwrap();
    let bytes = reservation.attach(Bytes::from_static(b"abc"));
    let part = bytes.slice(1..2);
    drop(bytes);
    assert_eq!(budget.used(), 60);
    assert_eq!(&part[..], b"b");
    drop(part);
    assert_eq!(budget.used(), 0);
}
