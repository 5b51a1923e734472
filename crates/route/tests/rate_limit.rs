//! Rate limits that servers name, at the home and at the followers.

use std::time::Duration;

use base::Time;
use route::follower::Event;
use route::msg::Body;
use route::rate_limit::RateLimit;
use route::rate_limit::RateNotes;
use route::Epoch;
use route::Follower;
use route::HomeId;

const NOW: Time = Time::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

/// Returns how many calls `limit` allows from `from` on, if they come every 10 ms for
/// `span`.
fn spend_all(limit: &mut RateLimit, from: Time, span: Duration) -> u32 {
    let mut count = 0;
    let mut now = from;
    while now < from + span {
        if limit.allows(now) {
            limit.spend(now);
            count += 1;
        }
        now += Duration::from_millis(10);
    }
    count
}

#[test]
fn allows_as_many_calls_as_the_rate() {
    for (interval_ms, calls) in [(400, 10), (1000, 4), (250, 16)] {
        let mut limit = RateLimit::new(Duration::from_millis(interval_ms), NOW, NOW);
        let count = spend_all(&mut limit, NOW, SECOND * 4);
        assert!(
            calls - 1 <= count && count <= calls,
            "{interval_ms} ms: {count}"
        );
    }
}

#[test]
fn allows_a_burst_of_a_second_after_a_pause() {
    let mut limit = RateLimit::new(Duration::from_millis(400), NOW, NOW);
    let count = spend_all(&mut limit, NOW + SECOND * 60, SECOND * 4);
    // Ten calls in four seconds and those of one second more.
    assert!((11..=13).contains(&count), "{count}");
}

#[test]
fn allows_a_call_now_and_then_at_a_rate_of_zero() {
    let mut limit = RateLimit::new(Duration::MAX, NOW, NOW);
    let count = spend_all(&mut limit, NOW, SECOND * 20);
    assert!((1..=5).contains(&count), "{count}");
}

#[test]
fn renew_keeps_what_was_spent_and_ignores_older_responses() {
    let mut limit = RateLimit::new(SECOND, NOW, NOW);
    assert!(!limit.allows(NOW));
    limit.renew(SECOND, NOW + SECOND / 2, NOW + SECOND / 2);
    assert!(!limit.allows(NOW + SECOND / 2));
    limit.renew(SECOND / 10, NOW, NOW + SECOND / 2);
    assert!(!limit.allows(NOW + SECOND / 2 + SECOND / 10));
    assert!(limit.allows(NOW + SECOND));
}

#[test]
fn record_response_without_a_limit_ends_the_note() {
    let mut notes = RateNotes::default();
    notes.record(1, Some(SECOND), NOW);
    notes.record(2, Some(SECOND), NOW);
    notes.record(1, None, NOW);
    let later = NOW + SECOND;
    assert!(!notes.is_limited(1, later) && notes.is_limited(2, later));
    let report = notes.report(later);
    assert_eq!(
        (report.len(), report[0].server, report[0].age),
        (1, 2, SECOND)
    );
    assert!(notes.report(NOW + SECOND * 60).is_empty());
}

#[test]
fn receive_lead_reports_the_limits_to_a_new_home() {
    const HOME: u64 = 2;
    const SERVER: u64 = 5;
    let mut follower = Follower::new(9, 1, 7);
    follower.record_rate(SERVER, Some(SECOND), NOW);
    let home = HomeId {
        vm: HOME,
        instance: 1,
    };
    let epoch = Epoch::after(Epoch::default(), home);
    follower.receive(HOME, Body::Lead { epoch, nonce: 0 }, NOW + SECOND);
    let reported = follower
        .take_events()
        .into_iter()
        .find_map(|event| match event {
            Event::Send(envelope) => match envelope.msg.body {
                Body::RateLimits { limits, .. } => Some((envelope.to, limits)),
                _ => None,
            },
            _ => None,
        });
    let (to, limits) = reported.unwrap();
    assert_eq!((to, limits.len()), (HOME, 1));
    assert_eq!((limits[0].server, limits[0].age), (SERVER, SECOND));
}
