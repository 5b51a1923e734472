//! How many VMs read the registry when a whole fleet starts.

use std::time::Duration;

use node::readers::reads_at_start;

/// Returns how many of `fleet` VMs, three of them seeds, read by `up` after their start
/// if no VM gets the catalog. Each VM knows `known` VMs.
fn readers(fleet: u32, known: u32, up: Duration) -> u32 {
    let reads = |n: &u32| {
        let position = f64::from(*n) / f64::from(fleet);
        reads_at_start(*n < 3, position, known, up)
    };
    (0..fleet).filter(reads).count() as u32
}

#[test]
fn reads_at_start_seeds_at_once_and_others_later() {
    for fleet in [13, 30, 120, 471, 1000] {
        assert_eq!(readers(fleet, 4, Duration::ZERO), 3);
        assert_eq!(readers(fleet, fleet, Duration::from_millis(500)), 3);
    }
}

#[test]
fn reads_at_start_vms_without_peers_read_within_a_second() {
    for fleet in [13, 30, 120, 471, 1000] {
        assert_eq!(readers(fleet, 1, Duration::from_secs(1)), fleet);
        assert!(readers(fleet, 1, Duration::from_millis(250)) < fleet / 3 + 3);
    }
}

#[test]
fn reads_at_start_few_begin_in_any_fleet() {
    for fleet in [13, 30, 120, 471, 1000] {
        let count = readers(fleet, fleet, Duration::from_millis(600));
        assert!((3..=12).contains(&count), "{count} of {fleet}");
        let count = readers(fleet, fleet, Duration::from_millis(1200));
        assert!(count <= 40, "{count} of {fleet}");
    }
}

#[test]
fn reads_at_start_all_read_at_last() {
    for fleet in [13, 30, 120, 471, 1000] {
        let up = Duration::from_secs(3);
        assert_eq!(readers(fleet, fleet, up), fleet);
    }
}
