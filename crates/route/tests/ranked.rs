//! What the order of waiting calls, the shares, the demand and the forms of a permit request
//! decide.

use std::time::Duration;

use base::Class;
use base::Time;
use route::demand::Demand;
use route::follower::ranked::RankedForm;
use route::follower::Event;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::PermitRequest;
use route::msg::Ranking;
use route::precedence::Precedence;
use route::shares::Shares;
use route::shares::Standing;
use route::work::WorkTimes;
use route::AttemptId;
use route::Epoch;
use route::Follower;
use route::ShardSpec;

const HOME: u64 = 2;
const NOW: Time = Duration::from_secs(10);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ranking(rank: u32, team: u64, work: u64) -> Ranking {
    Ranking {
        rank,
        team,
        work: ms(work),
        target: ms(500),
    }
}

fn request() -> PermitRequest {
    PermitRequest {
        class: Class::Critical,
        left: ms(2000),
        goal: ms(500),
        late_wait: ms(60),
        kind: AttemptKind::First,
        avoid: Vec::new(),
        domain: 0,
        ranking: Some(ranking(0, 7, 220)),
    }
}

/// Returns a follower of the home.
fn follower() -> (Follower, Epoch) {
    let mut follower = Follower::new(1, 1, 0);
    let spec = ShardSpec::new(1, Vec::new());
    follower.set_fleet(&[1, HOME], &[HOME], &spec, NOW);
    let epoch = Epoch {
        count: 1,
        home: HOME,
    };
    follower.receive(HOME, Body::Lead { epoch, nonce: 0 }, NOW);
    follower.take_events();
    (follower, epoch)
}

/// Returns the forms in which requests have been sent, true for the ranked one.
fn forms(follower: &mut Follower) -> Vec<bool> {
    let form = |event| match event {
        Event::Send(envelope) => match envelope.msg.body {
            Body::AcquireRanked { .. } => Some(true),
            Body::Acquire { .. } => Some(false),
            _ => None,
        },
        _ => None,
    };
    follower
        .take_events()
        .into_iter()
        .filter_map(form)
        .collect()
}

/// Requests a permit, lets `silence` pass without a reply, and has the home queue the call;
/// returns the forms sent.
fn call(follower: &mut Follower, epoch: Epoch, now: Time, silence: Duration) -> Vec<bool> {
    let call: AttemptId = follower.acquire(request(), now);
    let now = now + silence;
    follower.tick(now);
    follower.receive(HOME, Body::Queued { epoch, call }, now);
    let sent = forms(follower);
    follower.abandon(call, now);
    sent
}

#[test]
fn request_is_sent_plainly_until_the_home_reads_rankings() {
    let (mut follower, epoch) = follower();
    // The reply may be to the plain form, so it shows nothing.
    assert_eq!(call(&mut follower, epoch, NOW, ms(20)), [true, false]);
    assert_eq!(
        call(&mut follower, epoch, NOW + ms(50), ms(20)),
        [true, false]
    );
    // This one shows that the home reads the ranked form.
    assert_eq!(call(&mut follower, epoch, NOW + ms(100), ms(5)), [true]);
    assert_eq!(
        call(&mut follower, epoch, NOW + ms(150), ms(20)),
        [true, true]
    );
}

#[test]
fn home_that_reads_no_rankings_gets_plain_requests_first() {
    let (mut follower, epoch) = follower();
    let mut ranked_first = 0;
    for i in 0..100 {
        let sent = call(&mut follower, epoch, NOW + ms(50 * i), ms(20));
        assert!(sent.contains(&false), "{sent:?}");
        ranked_first += u32::from(sent[0]);
    }
    assert!(ranked_first < 15, "{ranked_first}");
    assert!(ranked_first > 3, "{ranked_first}");
}

#[test]
fn form_is_tried_anew_with_each_home() {
    let mut form = RankedForm::default();
    let first = Epoch { count: 1, home: 1 };
    let second = Epoch { count: 2, home: 2 };
    form.record_reply(first, false);
    assert!(form.is_next(first, true));
    assert!(form.is_next(second, false) && !form.is_next(second, true));
}

#[test]
fn order_is_rank_then_lateness_then_share_then_work_then_deadline() {
    let place = |ranking: Ranking, late, deadline| {
        Precedence::by_rank(&ranking, Standing::default(), late, ms(deadline))
    };
    let short = Standing {
        kind_short: true,
        ..Standing::default()
    };
    let light = Standing {
        team_short: true,
        ..Standing::default()
    };
    let sorted = [
        Precedence::by_rank(&ranking(2, 1, 1300), short, false, ms(9)),
        place(ranking(0, 1, 220), false, 5),
        place(ranking(0, 1, 220), true, 1),
        Precedence::by_rank(&ranking(1, 1, 1300), light, false, ms(9)),
        place(ranking(1, 1, 100), false, 9),
        place(ranking(1, 1, 320), false, 1),
        place(ranking(1, 1, 320), false, 2),
        place(ranking(2, 1, 100), false, 1),
    ];
    assert!(sorted.is_sorted());
    // Without rankings, the order is by class, lateness and deadline.
    let plain = [
        Precedence::by_class(Class::Critical, false, ms(9)),
        Precedence::by_class(Class::Critical, true, ms(1)),
        Precedence::by_class(Class::Interactive, false, ms(1)),
        Precedence::by_class(Class::Interactive, false, ms(2)),
    ];
    assert!(plain.is_sorted());
}

#[test]
fn teams_and_kinds_that_got_little_are_short_of_their_share() {
    let mut shares = Shares::default();
    let [heavy, light] = [ranking(1, 1, 300), ranking(1, 2, 300)];
    for i in 0..100 {
        shares.ask(&heavy, NOW);
        shares.serve(&heavy);
        if i % 5 == 0 {
            shares.ask(&light, NOW);
        }
    }
    assert!(shares.standing(&light).team_short && !shares.standing(&heavy).team_short);
    assert!(shares.standing(&light).level < shares.standing(&heavy).level);
    let last = Ranking {
        target: ms(6000),
        ..ranking(2, 3, 1300)
    };
    for _ in 0..10 {
        shares.ask(&last, NOW);
    }
    assert!(shares.standing(&last).kind_short);
    for _ in 0..5 {
        shares.serve(&last);
    }
    assert!(!shares.standing(&last).kind_short);
    let standings = shares.standings();
    for ranking in [heavy, light, last, ranking(9, 9, 9)] {
        assert_eq!(standings.of(&ranking), shares.standing(&ranking));
    }
}

#[test]
fn shares_and_times_are_bounded() {
    let mut shares = Shares::default();
    let mut times = WorkTimes::default();
    for i in 0..100_000 {
        shares.ask(&ranking(i as u32, i, 1), NOW);
        times.record(i, ms(10));
    }
    assert_eq!(times.get(99_999), ms(10));
    assert_eq!(times.get(0), Duration::ZERO);
    assert!(format!("{shares:?}").len() + format!("{times:?}").len() < 200_000);
}

#[test]
fn slots_are_reserved_only_for_calls_that_come_and_have_too_little_room() {
    let mut demand = Demand::default();
    let feed = |demand: &mut Demand, rank, per_sec: u64, work: u64, slack: u64, from: Time| {
        for i in 0..2 * per_sec {
            demand.record(rank, ms(work), ms(slack), from + ms(1000 * i / per_sec));
        }
        from + ms(2000)
    };
    let now = feed(&mut demand, 0, 10, 200, 100, NOW);
    assert_eq!(demand.reserve(2, 8.0, now), 0.0, "there is room");
    let mut now = now;
    for _ in 0..3 {
        feed(&mut demand, 0, 10, 200, 100, now);
        now = feed(&mut demand, 2, 10, 1300, 4000, now);
    }
    let reserved = demand.reserve(2, 8.0, now);
    assert!((1.0..=4.0).contains(&reserved), "{reserved}");
    assert_eq!(
        demand.reserve(0, 8.0, now),
        0.0,
        "no rank is above the first"
    );
    let idle = demand.reserve(2, 8.0, now + Duration::from_secs(4));
    assert_eq!(idle, 0.0, "no more calls come");
    assert!(demand.left(2, 8.0, now) < demand.left(0, 8.0, now));
}

#[test]
fn request_is_ranked_at_a_slow_home_that_says_it_reads_rankings() {
    let (mut follower, epoch) = follower();
    let slow = ms(20);
    assert_eq!(call(&mut follower, epoch, NOW, slow), [true, false]);
    follower.receive(HOME, Body::ReadsRanked { epoch }, NOW + slow);
    for n in 1..8 {
        let now = NOW + n * ms(50);
        assert_eq!(call(&mut follower, epoch, now, slow), [true, true]);
    }
}
