//! How many VMs read the registry when a whole fleet starts, while nothing changes, and
//! when the readers fail.

use std::time::Duration;

use conf::registry::Topic;
use node::readers::reads_at_start;
use node::readers::stale_age;
use node::readers::watch_wait;
use node::readers::TopicReads;
use node::readers::READERS;
use node::readers::STALE_AGE;

/// The time between two exchanges that a VM begins with a random peer.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(200);

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
fn reads_at_start_vms_without_peers_wait_for_seeds() {
    for fleet in [13, 30, 120, 471, 1000] {
        assert_eq!(readers(fleet, 1, Duration::from_millis(400)), 3);
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

/// Plays a registry that nobody changes: readers watch the servers, and all VMs exchange
/// the time at which a reader last got a response. Returns how often readers and other
/// VMs read in `time`.
fn quiet_reads(fleet: usize, time: Duration) -> (usize, usize) {
    const TICK: Duration = Duration::from_millis(10);
    let mut rng = fastrand::Rng::with_seed(fleet as u64);
    let period = watch_wait(Topic::Servers, Duration::ZERO);
    let mut draw = |span: Duration| span.mul_f64(rng.f64());
    let mut next_reads: Vec<Duration> = (0..READERS).map(|_| draw(period)).collect();
    let mut next_exchanges: Vec<Duration> = (0..fleet).map(|_| draw(EXCHANGE_PERIOD)).collect();
    let mut confirmed = vec![Duration::ZERO; fleet];
    let (mut by_readers, mut by_others) = (0, 0);
    let mut now = Duration::ZERO;
    while now < time {
        now += TICK;
        for (vm, next) in next_reads.iter_mut().enumerate() {
            if now >= *next {
                *next += period;
                confirmed[vm] = now;
                by_readers += 1;
            }
        }
        for vm in 0..fleet {
            if now >= next_exchanges[vm] {
                next_exchanges[vm] += EXCHANGE_PERIOD;
                let peer = rng.usize(..fleet);
                let latest = confirmed[vm].max(confirmed[peer]);
                confirmed[vm] = latest;
                confirmed[peer] = latest;
            }
            let position = vm as f64 / fleet as f64;
            if vm >= READERS && now - confirmed[vm] > stale_age(position, fleet as u32) {
                confirmed[vm] = now;
                by_others += 1;
            }
        }
    }
    (by_readers, by_others)
}

#[test]
fn quiet_registry_is_read_mostly_by_its_readers() {
    for fleet in [13, 30, 120, 471, 1000] {
        let (by_readers, by_others) = quiet_reads(fleet, Duration::from_secs(30));
        assert!(by_readers > 0);
        assert!(
            by_others < by_readers,
            "{fleet} VMs: {by_readers} reads by readers, {by_others} by others"
        );
    }
}

#[test]
fn stale_age_does_not_grow_with_the_fleet() {
    for fleet in [13, 30, 120, 471, 1000] {
        assert!(
            stale_age(1.0, fleet) <= Duration::from_secs(6),
            "{fleet} VMs"
        );
    }
    // A small fleet is done before a change would be late.
    assert!(stale_age(1.0, 15) < Duration::from_secs(2));
}

#[test]
fn stale_age_few_begin_in_any_fleet() {
    for fleet in [13_u32, 30, 120, 471, 1000] {
        let soon = STALE_AGE + Duration::from_millis(400);
        let begun = (0..fleet).filter(|rank| {
            let position = f64::from(*rank) / f64::from(fleet);
            stale_age(position, fleet) <= soon
        });
        let count = begun.count();
        assert!(count <= 21, "{count} of {fleet}");
    }
}

#[test]
fn confirmed_at_servers_alone_confirm_nothing() {
    let ms = Duration::from_millis;
    let reads = TopicReads::default();
    reads.record(Topic::Servers, ms(100));
    assert_eq!(reads.confirmed_at(ms(100)), Duration::ZERO);
    reads.record(Topic::Layout, ms(120));
    assert_eq!(reads.confirmed_at(ms(120)), Duration::ZERO);
    reads.record(Topic::DomainsOut, ms(150));
    assert_eq!(reads.confirmed_at(ms(150)), ms(100));
    reads.record(Topic::Servers, ms(2000));
    assert_eq!(reads.confirmed_at(ms(2000)), ms(120));
}

#[test]
fn confirmed_at_watched_topics_are_up_to_date() {
    let ms = Duration::from_millis;
    let reads = TopicReads::default();
    for topic in [Topic::Servers, Topic::Layout, Topic::DomainsOut] {
        reads.record(topic, ms(100));
        reads.set_watched(topic, true);
    }
    // The wait of a watch of the servers says nothing before its response.
    assert_eq!(reads.confirmed_at(ms(900)), ms(100));
    reads.record(Topic::Servers, ms(1000));
    assert_eq!(reads.confirmed_at(ms(1000)), ms(1000));
    reads.set_watched(Topic::Layout, false);
    assert_eq!(reads.confirmed_at(ms(1000)), ms(100));
}
