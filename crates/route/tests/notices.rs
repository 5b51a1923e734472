//! What servers ask a VM for in their responses.

use std::time::Duration;

use base::Time;
use route::notices::Notice;
use route::notices::Notices;
use route::notices::REST_MAX;

const NOW: Time = Time::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn record_leaving_is_final() {
    let mut notices = Notices::default();
    assert!(notices.allows(1, NOW));
    assert!(notices.record(1, Notice::Leaving, NOW));
    assert!(!notices.record(1, Notice::Leaving, NOW));
    assert!(!notices.record(1, Notice::Rest(SECOND), NOW));
    assert!(!notices.allows(1, NOW + Duration::from_secs(3600)));
    // Another start of the server has another id.
    assert!(notices.allows(2, NOW));
}

#[test]
fn record_rest_ends_after_its_time() {
    let mut notices = Notices::default();
    assert!(notices.record(1, Notice::Rest(SECOND), NOW));
    assert!(!notices.allows(1, NOW + SECOND / 2));
    assert!(notices.allows(1, NOW + SECOND));
    assert_eq!(notices.denied(NOW + SECOND), [0; 0]);
}

#[test]
fn record_rest_shorter_one_changes_nothing() {
    let mut notices = Notices::default();
    notices.record(1, Notice::Rest(SECOND * 3), NOW);
    assert!(!notices.record(1, Notice::Rest(SECOND), NOW));
    assert!(!notices.allows(1, NOW + SECOND * 2));
    assert!(notices.record(1, Notice::Leaving, NOW));
}

#[test]
fn record_rest_absurd_one_is_bounded() {
    let mut notices = Notices::default();
    notices.record(1, Notice::Rest(Duration::MAX), NOW);
    assert!(!notices.allows(1, NOW + REST_MAX / 2));
    assert!(notices.allows(1, NOW + REST_MAX));
}

#[test]
fn delay_is_that_of_the_earliest_server() {
    let mut notices = Notices::default();
    let delay = |notices: &Notices, servers: &[u64]| {
        notices.delay(servers.iter().copied(), SECOND * 9, NOW)
    };
    assert_eq!(delay(&notices, &[]), None);
    notices.record(1, Notice::Rest(SECOND * 3), NOW);
    notices.record(2, Notice::Rest(SECOND * 2), NOW);
    notices.record(3, Notice::Leaving, NOW);
    assert_eq!(delay(&notices, &[1, 2, 3]), Some(SECOND * 2));
    assert_eq!(delay(&notices, &[3]), Some(SECOND * 9));
    assert_eq!(delay(&notices, &[1, 2, 3, 4]), None);
}

#[test]
fn record_many_servers_keeps_the_latest() {
    let mut notices = Notices::default();
    for server in 0..10_000 {
        let now = NOW + Duration::from_millis(server);
        notices.record(server, Notice::Leaving, now);
    }
    let now = NOW + Duration::from_secs(60);
    assert!(notices.denied(now).len() <= 5000);
    assert!(!notices.allows(9_999, now));
}
