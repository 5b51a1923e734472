//! Plays too much load against a ledger, without a network, and checks what the callers of
//! each kind and team get, with and without rankings.
//!
//! The services are a fifth of those of the measured case: servers of six slots, on which
//! calls take 1.7 times as long above 0.8 of the slots, and for ten seconds 2.4 times the
//! calls that they usually get.

mod load_sim;

use std::time::Duration;

use base::Class;
use route::spec::Announcement;

use crate::load_sim::spec;
use crate::load_sim::Counts;
use crate::load_sim::Kind;
use crate::load_sim::Sim;

/// How much more calls come than usual.
const BURST: f64 = 2.4;
const SPAN: Duration = Duration::from_secs(10);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn toll(rate: f64) -> Kind {
    Kind {
        name: "toll",
        class: Class::Critical,
        rank: 0,
        team: 1,
        work: ms(220),
        target: ms(500),
        left: ms(2000),
        rate,
        ranked: true,
    }
}

fn schedule(rate: f64) -> Kind {
    Kind {
        name: "schedule",
        rank: 1,
        team: 2,
        work: ms(320),
        target: ms(800),
        left: ms(3000),
        ..toll(rate)
    }
}

fn notice(rate: f64) -> Kind {
    Kind {
        name: "notice",
        class: Class::Interactive,
        rank: 2,
        team: 3,
        work: ms(1300),
        target: ms(6000),
        left: ms(12000),
        ..toll(rate)
    }
}

/// Returns the kinds with requests that say nothing but their class.
fn unranked(kinds: &[Kind]) -> Vec<Kind> {
    let plain = |kind: &Kind| Kind {
        ranked: false,
        ..*kind
    };
    kinds.iter().map(plain).collect()
}

/// Returns the kinds at the rate of a burst.
fn burst(kinds: &[Kind]) -> Vec<Kind> {
    let more = |kind: &Kind| Kind {
        rate: kind.rate * BURST,
        ..*kind
    };
    kinds.iter().map(more).collect()
}

/// Plays the usual load and then a burst at `servers` servers, and returns the simulation.
fn play(servers: u64, usual: &[Kind], span: Duration) -> Sim {
    let shard = route::ShardSpec {
        max_deadline: Duration::from_secs(12),
        ..spec(servers, 6, Announcement::Warm)
    };
    let mut sim = Sim::new(shard, 0.0);
    sim.knee = Some((0.8, 1.7));
    sim.play(Duration::from_secs(4), usual);
    sim.play(span, &burst(usual));
    sim.drain(Duration::from_secs(9));
    sim
}

/// Returns the share of the calls that ended within their target.
fn in_time(counts: &Counts) -> f64 {
    f64::from(counts.in_time) / f64::from(counts.asked)
}

/// Returns the share of the calls that were served.
fn served(counts: &Counts) -> f64 {
    f64::from(counts.in_time + counts.late) / f64::from(counts.asked)
}

fn sum(counts: &[Counts]) -> Counts {
    counts.iter().fold(Counts::default(), |sum, c| Counts {
        asked: sum.asked + c.asked,
        in_time: sum.in_time + c.in_time,
        late: sum.late + c.late,
        refused: sum.refused + c.refused,
        refused_late: sum.refused_late + c.refused_late,
        ..sum
    })
}

fn print(title: &str, sim: &Sim) {
    for (kind, counts) in sim.kinds.iter().zip(&sim.kind_counts) {
        println!(
            "{title:<22} {:<9} team {:<2} {:>6.0}/s in time {:.3} served {:.3} refused late {:.3}",
            kind.name,
            kind.team,
            f64::from(counts.asked) / SPAN.as_secs_f64(),
            in_time(counts),
            served(counts),
            f64::from(counts.refused_late) / f64::from(counts.asked),
        );
    }
}

/// Checks that no kind is served less than a quarter as often as all calls.
fn assert_none_starved(sim: &Sim) {
    let usual = served(&sum(&sim.kind_counts));
    for (kind, counts) in sim.kinds.iter().zip(&sim.kind_counts) {
        let share = served(counts);
        assert!(share >= usual / 4.0, "{}: {share} of {usual}", kind.name);
    }
}

/// Service A: schedule calls, and the toll calls that a split sends there.
fn service_a() -> [Kind; 2] {
    [schedule(230.0), toll(40.0)]
}

/// Service C: notices, and the toll calls that a split sends there.
fn service_c() -> [Kind; 2] {
    [notice(55.0), toll(60.0)]
}

#[test]
fn tolls_are_served_in_time_among_schedule_calls() {
    let before = play(22, &unranked(&service_a()), SPAN);
    print("schedule, by class", &before);
    let after = play(22, &service_a(), SPAN);
    print("schedule, by rank", &after);
    assert!(in_time(&after.kind_counts[1]) >= 0.95);
    let both = |sim: &Sim| in_time(&sum(&sim.kind_counts));
    assert!(both(&after) >= both(&before) - 0.03);
    assert_none_starved(&after);
}

#[test]
fn tolls_are_served_in_time_among_notices() {
    let before = play(22, &unranked(&service_c()), SPAN);
    print("notices, by class", &before);
    let after = play(22, &service_c(), SPAN);
    print("notices, by rank", &after);
    assert!(in_time(&after.kind_counts[1]) >= 0.95);
    // The notices get the room that the tolls leave at full servers.
    let [notices, tolls] = [&after.kind_counts[0], &after.kind_counts[1]];
    let slow_secs = |kind: Kind| kind.work.as_secs_f64() * 1.7;
    let [notice, toll] = service_c();
    let left = 22.0 * 6.0 * SPAN.as_secs_f64() - f64::from(tolls.asked) * slow_secs(toll);
    let room = left / slow_secs(notice);
    assert!(
        f64::from(notices.in_time) >= 0.95 * room,
        "{notices:?} {room}"
    );
    assert_none_starved(&after);
}

/// Load: schedule calls of ten teams, one of which sends five times as much as each of the
/// others. The teams' callers are equals, so each team is to be served at least half as
/// often as all of them.
#[test]
fn heavy_team_takes_no_other_teams_share() {
    let of_team = |team: u64| Kind {
        team,
        ..schedule(if team == 1 { 115.0 } else { 23.0 })
    };
    let teams: Vec<Kind> = (1..=10).map(of_team).collect();
    let before = play(22, &unranked(&teams), SPAN);
    print("teams, by class", &before);
    let after = play(22, &teams, SPAN);
    print("teams, by rank", &after);
    let all = served(&sum(&after.kind_counts));
    for (kind, counts) in after.kinds.iter().zip(&after.kind_counts) {
        assert!(served(counts) >= all / 2.0, "team {}", kind.team);
    }
    let light = served(&sum(&after.kind_counts[1..]));
    assert!(light >= all, "{light} of {all}");
    let both = |sim: &Sim| in_time(&sum(&sim.kind_counts));
    assert!(both(&after) >= both(&before) - 0.03);
}

/// Load: calls of the first rank alone would fill the servers. The last rank still gets its
/// least share.
#[test]
fn last_rank_does_not_starve() {
    let kinds = [
        toll(600.0),
        schedule(100.0),
        Kind {
            work: ms(400),
            target: ms(2000),
            ..notice(60.0)
        },
    ];
    let sim = play(22, &kinds, SPAN);
    print("three ranks", &sim);
    assert_none_starved(&sim);
    let share = |i: usize| served(&sim.kind_counts[i]);
    assert!(share(0) >= share(1) && share(1) >= share(2) - 0.05);
}

/// A call that was refused has not run, and does not run later. And a caller of a lower
/// rank is never asked to come back sooner than one of a higher rank that is refused at the
/// same time.
#[test]
fn refusals_are_final_and_their_times_follow_the_ranks() {
    let kinds = [toll(600.0), schedule(400.0), notice(60.0)];
    let sim = play(22, &kinds, SPAN);
    let granted = &sim.granted_calls;
    let mut compared = 0;
    for refused in &sim.refusals {
        assert!(!granted.contains(&refused.call), "{refused:?}");
    }
    for pair in sim
        .refusals
        .windows(2)
        .filter(|pair| pair[0].at == pair[1].at)
    {
        let (a, b) = (&pair[0], &pair[1]);
        let (high, low) = if a.kind < b.kind { (a, b) } else { (b, a) };
        if high.kind < low.kind {
            compared += 1;
            assert!(low.after >= high.after, "{high:?} {low:?}");
        }
    }
    assert!(compared > 100, "{compared}");
    assert!(sim.ledger.counts().evicted > 0);
}

/// Load: half of what the servers can run. Nobody is refused, with or without ranks.
#[test]
fn nobody_gives_way_while_there_is_room() {
    let kinds = [schedule(60.0), toll(20.0), notice(5.0)];
    let sim = play(22, &kinds, SPAN);
    print("room for all", &sim);
    let all = sum(&sim.kind_counts);
    assert!(all.refused == 0 && all.late == 0, "{all:?}");
}
