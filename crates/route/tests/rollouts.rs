//! Roll-outs of good and bad versions over several homes that lose messages, restart, and
//! follow two deciders.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use base::Outcome;
use base::Time;
use route::msg::AttemptKind;
use route::rollout::decider::Step;
use route::rollout::Decider;
use route::rollout::Exposure;
use route::rollout::KindEvidence;
use route::rollout::Phase;
use route::rollout::Report;
use route::rollout::Supply;
use route::rollout::Tally;
use route::rollout::Terms;
use route::rollout::VersionGroup;

const SHARE: f64 = 0.1;
const SLACK: u64 = 50;
const ROLLBACK: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(60);
const LEASE: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// The usual service times of the two routes.
const ROUTES: [f64; 2] = [0.22, 0.9];
/// The share of failures of a healthy server.
const USUAL_FAILURES: f64 = 0.005;
const SUPPLY: Supply = Supply {
    target: 30,
    old: 30,
};

/// What is wrong with a version.
#[derive(Clone, Copy, Debug)]
struct Fault {
    /// The share of responses that are failures.
    failures: f64,
    /// The share of responses that are slow, and the factor.
    slow: (f64, f64),
    /// When it begins.
    from: Duration,
    /// The only route that it hits.
    route: Option<usize>,
    /// Whether it shows only while the version gets a large part of the calls.
    under_load: bool,
}

const GOOD: Fault = Fault {
    failures: USUAL_FAILURES,
    slow: (0.0, 1.0),
    from: Duration::ZERO,
    route: None,
    under_load: false,
};

#[derive(Clone, Copy, Debug)]
struct Setup {
    seed: u64,
    rate: f64,
    homes: usize,
    deciders: usize,
    loss: f64,
    fault: Fault,
    /// When a home forgets everything.
    restart: Option<Duration>,
    /// When the first decider forgets everything.
    forgets: Option<Duration>,
}

impl Setup {
    fn new(seed: u64, rate: f64, fault: Fault) -> Self {
        Self {
            seed,
            rate,
            homes: 4,
            deciders: 1,
            loss: 0.0,
            fault,
            restart: None,
            forgets: None,
        }
    }
}

/// A response on its way, ordered by its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Response {
    at: Time,
    home: usize,
    server: u64,
    target: bool,
    route: u16,
    failed: bool,
    took_ms: u64,
    bad: bool,
}

/// How a roll-out went.
#[derive(Clone, Copy, Debug, Default)]
struct Run {
    requests: u64,
    exposed: u64,
    bad: u64,
    fiftieth_bad: Option<Time>,
    last_exposed: Time,
    completed: Option<Time>,
    rolled_back: Option<Time>,
}

struct Sim {
    setup: Setup,
    rng: fastrand::Rng,
    now: Time,
    homes: Vec<Exposure>,
    reported: Vec<(Time, u32)>,
    deciders: Vec<Decider>,
    responses: BinaryHeap<Reverse<Response>>,
    run: Run,
}

impl Sim {
    fn new(setup: Setup) -> Self {
        let terms = Terms {
            order: 7,
            share: SHARE,
            lease: LEASE,
        };
        Self {
            rng: fastrand::Rng::with_seed(setup.seed),
            now: Time::ZERO,
            homes: vec![Exposure::new(terms, Time::ZERO); setup.homes],
            reported: vec![(Time::ZERO, 0); setup.homes],
            deciders: vec![Decider::new(Time::ZERO, DURATION, Time::ZERO); setup.deciders],
            responses: BinaryHeap::new(),
            run: Run::default(),
            setup,
        }
    }

    /// Plays the ordered time, and a while longer for calls that are under way.
    fn play(mut self) -> Run {
        let mut next_request = Time::ZERO;
        let mut next_step = Time::ZERO;
        while self.now < DURATION + ROLLBACK && self.run.completed.is_none() {
            self.now = next_request.min(next_step);
            self.deliver_responses();
            if self.now == next_request {
                self.request();
                let gap = -self.rng.f64().max(1e-9).ln() / self.setup.rate;
                next_request += Duration::from_secs_f64(gap);
            } else {
                self.step();
                next_step += STEP;
            }
        }
        self.run
    }

    fn request(&mut self) {
        let now = self.now;
        let home = self.rng.usize(..self.homes.len());
        let route = usize::from(self.rng.f64() < 0.3);
        let exposure = &mut self.homes[home];
        let first = AttemptKind::First;
        let target = exposure.has_credit(first, now) || exposure.is_switched(now);
        let group = group(target);
        assert!(exposure.allows(group, first, now));
        exposure.record_grant(group, first);
        self.run.requests += u64::from(now < DURATION);
        if target {
            self.run.exposed += 1;
            self.run.last_exposed = now;
        }
        let response = self.response(home, route, target);
        self.responses.push(Reverse(response));
    }

    fn response(&mut self, home: usize, route: usize, target: bool) -> Response {
        let fault = self.setup.fault;
        let loaded = self.deciders.iter().any(|d| d.phase() >= Phase::Surge);
        let hit = target
            && self.now >= fault.from
            && fault.route.is_none_or(|only| only == route)
            && (loaded || !fault.under_load);
        let failures = if hit { fault.failures } else { USUAL_FAILURES };
        let failed = self.rng.f64() < failures;
        let slow = hit && self.rng.f64() < fault.slow.0;
        // A few responses of healthy servers are slow too.
        let tail = if self.rng.f64() < 0.01 { 4.0 } else { 1.0 };
        let factor = if slow { fault.slow.1 } else { tail };
        let took = ROUTES[route] * (0.6 + 0.8 * self.rng.f64()) * factor;
        Response {
            at: self.now + Duration::from_secs_f64(took),
            home,
            server: self.rng.u64(..8),
            target,
            route: route as u16,
            failed,
            took_ms: (took * 1e3) as u64,
            bad: target && (failed || slow),
        }
    }

    fn deliver_responses(&mut self) {
        while let Some(Reverse(next)) = self.responses.peek().copied() {
            if next.at > self.now {
                break;
            }
            self.responses.pop();
            let outcome = if next.failed {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            let server = (next.server, group(next.target));
            let took = next.took_ms as f64 / 1e3;
            self.homes[next.home].record_end(server, next.route, outcome, took, false);
            self.run.bad += u64::from(next.bad);
            if self.run.bad == 50 && self.run.fiftieth_bad.is_none() {
                self.run.fiftieth_bad = Some(next.at);
            }
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let crossed = |at: Option<Duration>| at.is_some_and(|at| now <= at && at < now + STEP);
        if crossed(self.setup.restart) {
            self.homes[0] = Exposure::new(*self.homes[0].terms(), now);
        }
        if crossed(self.setup.forgets) {
            self.deciders[0] = Decider::new(now, DURATION, now);
        }
        for home in 0..self.homes.len() {
            self.report(home);
        }
        for index in 0..self.deciders.len() {
            let step = self.deciders[index].step(SUPPLY, now);
            match step {
                Some(Step::Enter(Phase::RolledBack)) => self.run.rolled_back = Some(now),
                Some(Step::Complete) if self.run.rolled_back.is_none() => {
                    self.run.completed = Some(now);
                }
                _ => {}
            }
            if self.deciders[index].phase() == Phase::RolledBack
                && now.as_millis().is_multiple_of(400)
            {
                self.tell_rollback();
            }
        }
    }

    /// Sends the report of a home to its decider, and the reply back.
    fn report(&mut self, home: usize) {
        let (at, bad) = self.reported[home];
        let new_bad = self.homes[home].bad_responses();
        if self.now < at + REPORT_PERIOD && new_bad <= bad && self.now > Time::ZERO {
            return;
        }
        self.reported[home] = (self.now, new_bad);
        let report = Report::new(1, home as u64, self.now);
        let report = self.homes[home].report(report);
        if self.is_lost() {
            return;
        }
        let index = home % self.deciders.len();
        self.deciders[index].record(home as u64, report, self.now);
        if !self.is_lost() {
            let phase = self.deciders[index].phase();
            self.homes[home].hear(phase, self.now);
        }
    }

    fn tell_rollback(&mut self) {
        for home in 0..self.homes.len() {
            if !self.is_lost() {
                self.homes[home].hear(Phase::RolledBack, self.now);
            }
        }
        for decider in 0..self.deciders.len() {
            if !self.is_lost() {
                self.deciders[decider].roll_back(self.now);
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.f64() < self.setup.loss
    }
}

fn group(target: bool) -> VersionGroup {
    if target {
        VersionGroup::Target
    } else {
        VersionGroup::Old
    }
}

/// Checks that a bad version gets no more than the bounds allow, and is rolled back.
fn check_bad(setup: Setup) {
    let run = Sim::new(setup).play();
    let allowed = (run.requests as f64 * SHARE) as u64 + SLACK;
    assert!(run.completed.is_none(), "completed: {setup:?} {run:?}");
    assert!(run.rolled_back.is_some(), "no end: {setup:?} {run:?}");
    assert!(run.rolled_back <= Some(DURATION), "{setup:?} {run:?}");
    assert!(run.exposed <= allowed, "exposed: {setup:?} {run:?}");
    if let Some(at) = run.fiftieth_bad {
        assert!(run.last_exposed <= at + ROLLBACK, "{setup:?} {run:?}");
    }
}

fn check_good(setup: Setup) {
    let run = Sim::new(setup).play();
    assert!(run.rolled_back.is_none(), "rolled back: {setup:?} {run:?}");
    assert!(run.completed.is_some(), "not completed: {setup:?} {run:?}");
    assert!(run.completed <= Some(DURATION), "late: {setup:?} {run:?}");
}

fn faults() -> Vec<Fault> {
    let failing = |failures| Fault { failures, ..GOOD };
    let slow = |share| Fault {
        slow: (share, 4.0),
        ..GOOD
    };
    let later = |fault| Fault {
        from: Duration::from_secs(15),
        ..fault
    };
    let loaded = |fault| Fault {
        under_load: true,
        ..fault
    };
    let one_route = |fault| Fault {
        route: Some(1),
        ..fault
    };
    vec![
        failing(0.5),
        failing(0.1),
        slow(1.0),
        slow(0.3),
        later(failing(0.5)),
        later(slow(1.0)),
        loaded(failing(0.5)),
        loaded(slow(1.0)),
        one_route(failing(0.5)),
        one_route(slow(1.0)),
    ]
}

#[test]
fn good_version_completes_in_time() {
    cases::check::<u32>(20, |seed| {
        for rate in [10.0, 100.0, 1000.0] {
            check_good(Setup::new(u64::from(*seed), rate, GOOD));
        }
    });
}

#[test]
fn good_version_completes_with_lost_messages_and_restarts() {
    cases::check::<u32>(20, |seed| {
        check_good(Setup {
            loss: 0.2,
            restart: Some(Duration::from_secs(20)),
            forgets: Some(Duration::from_secs(25)),
            ..Setup::new(u64::from(*seed), 100.0, GOOD)
        });
    });
}

#[test]
fn bad_version_is_rolled_back_within_the_bounds() {
    cases::check::<u32>(8, |seed| {
        for fault in faults() {
            for rate in [100.0, 1000.0] {
                check_bad(Setup::new(u64::from(*seed), rate, fault));
            }
        }
    });
}

#[test]
fn bad_version_is_rolled_back_with_lost_messages_and_restarts() {
    cases::check::<u32>(8, |seed| {
        for fault in faults() {
            let setup = Setup {
                loss: 0.2,
                ..Setup::new(u64::from(*seed), 200.0, fault)
            };
            check_bad(setup);
            check_bad(Setup {
                restart: Some(Duration::from_secs(18)),
                forgets: Some(Duration::from_secs(20)),
                ..setup
            });
        }
    });
}

#[test]
fn bad_version_is_rolled_back_by_two_deciders() {
    cases::check::<u32>(8, |seed| {
        for fault in faults() {
            check_bad(Setup {
                deciders: 2,
                homes: 6,
                loss: 0.1,
                ..Setup::new(u64::from(*seed), 300.0, fault)
            });
        }
    });
}

/// The false-alarm rate that is allowed is one in a thousand roll-outs.
#[test]
fn healthy_noise_rolls_nothing_back() {
    let rolled_back = (0..1000_u64).filter(|seed| {
        let run = Sim::new(Setup::new(1000 + seed, 100.0, GOOD)).play();
        run.rolled_back.is_some()
    });
    let count = rolled_back.count();
    assert!(count <= 1, "{count} of 1000 healthy versions rolled back");
}

#[test]
fn home_gives_nothing_without_the_word_of_the_decider() {
    let terms = Terms {
        order: 7,
        share: SHARE,
        lease: LEASE,
    };
    let mut home = Exposure::new(terms, Time::ZERO);
    let at = Time::from_secs(1);
    for _ in 0..1000 {
        assert!(!home.allows(VersionGroup::Target, AttemptKind::First, at));
        home.record_grant(VersionGroup::Old, AttemptKind::First);
    }
    home.hear(Phase::Trial, at);
    assert!(home.allows(VersionGroup::Target, AttemptKind::First, at));
    assert!(!home.allows(VersionGroup::Target, AttemptKind::Retry, at));
    assert!(!home.allows(VersionGroup::Target, AttemptKind::First, at + LEASE));
    home.hear(Phase::Switch, at);
    assert!(home.allows(VersionGroup::Target, AttemptKind::Retry, at));
    assert!(!home.allows(VersionGroup::Old, AttemptKind::First, at));
    assert!(home.allows(VersionGroup::Old, AttemptKind::First, at + LEASE));
    home.hear(Phase::RolledBack, at);
    home.hear(Phase::Switch, at);
    assert!(!home.allows(VersionGroup::Target, AttemptKind::First, at));
}

/// Without a verdict, whatever homes restart and whichever phase they were told.
#[test]
fn exposure_stays_within_the_share_of_the_first_attempts() {
    cases::check::<u64>(200, |seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let terms = Terms {
            order: 7,
            share: 0.01 + 0.4 * rng.f64(),
            lease: LEASE,
        };
        let mut homes = vec![Exposure::new(terms, Time::ZERO); rng.usize(1..6)];
        let (mut requests, mut exposed) = (0_u64, 0_u64);
        for n in 0..4000_u64 {
            let now = Time::from_millis(n * 5);
            let index = rng.usize(..homes.len());
            let home = &mut homes[index];
            match rng.u8(..100) {
                0 => *home = Exposure::new(terms, now),
                1..20 => home.hear(Phase::Trial, now),
                20..25 => home.hear(Phase::Surge, now),
                _ => {}
            }
            let kind = [AttemptKind::First, AttemptKind::Retry, AttemptKind::Hedge][rng.usize(..3)];
            let target = home.allows(VersionGroup::Target, kind, now);
            home.record_grant(group(target), kind);
            requests += u64::from(kind == AttemptKind::First);
            exposed += u64::from(target);
            assert!(exposed as f64 <= terms.share * requests as f64);
        }
    });
}

#[test]
fn calls_given_up_because_they_are_slow_count() {
    let terms = Terms {
        order: 7,
        share: SHARE,
        lease: LEASE,
    };
    for (took, closes) in [(0.25, false), (2.0, true)] {
        let mut home = Exposure::new(terms, Time::ZERO);
        for n in 0..100_u64 {
            home.record_end((n, VersionGroup::Old), 1, Outcome::Done, 0.2, false);
            let server = (n % 8, VersionGroup::Target);
            home.record_end(server, 1, Outcome::Cancelled, took, false);
        }
        assert_eq!(home.is_closed(), closes, "given up after {took} s");
    }
}

#[test]
fn one_bad_server_is_not_a_bad_version() {
    let terms = Terms {
        order: 7,
        share: SHARE,
        lease: LEASE,
    };
    let mut home = Exposure::new(terms, Time::ZERO);
    for n in 0..400_u64 {
        let outcome = if n % 8 == 0 {
            Outcome::Failed
        } else {
            Outcome::Done
        };
        home.record_end((n, VersionGroup::Old), 1, Outcome::Done, 0.2, false);
        if n < 300 {
            home.record_end((n % 8, VersionGroup::Target), 1, outcome, 0.2, false);
        }
    }
    assert!(!home.is_closed());
}

/// Returns a report of a home at which the version did well.
fn good_report(shard: u64, now: Time) -> Report {
    let tally = |total| Tally {
        total,
        ..Tally::default()
    };
    Report {
        firsts: 1000,
        exposed: 30,
        phase: Phase::Surge,
        kinds: vec![KindEvidence {
            kind: 1,
            old: tally(900),
            target: tally(30),
        }],
        ..Report::new(1, shard, now.saturating_sub(Time::ZERO))
    }
}

#[test]
fn late_successor_waits_for_reports() {
    let begun = Time::ZERO + DURATION.mul_f64(0.86);
    let mut decider = Decider::new(Time::ZERO, DURATION, begun);
    for n in 0..10 {
        let step = decider.step(SUPPLY, begun + STEP * n);
        assert_eq!(step, None, "step {n} without reports");
    }
    let heard = begun + STEP * 10;
    decider.record(1, good_report(1, heard), heard);
    let steps: Vec<Step> = (10..60)
        .filter_map(|n| decider.step(SUPPLY, begun + STEP * n))
        .collect();
    assert_eq!(steps, [Step::Enter(Phase::Switch), Step::Complete]);
}

#[test]
fn late_successor_without_reports_rolls_back_last() {
    let begun = Time::ZERO + DURATION.mul_f64(0.86);
    let mut decider = Decider::new(Time::ZERO, DURATION, begun);
    let last = Time::ZERO + DURATION.mul_f64(0.95);
    let mut now = begun;
    while now < last {
        let step = decider.step(SUPPLY, now);
        assert_ne!(step, Some(Step::Enter(Phase::RolledBack)), "at {now:?}");
        now += STEP;
    }
    let step = decider.step(SUPPLY, now + STEP);
    assert_eq!(step, Some(Step::Enter(Phase::RolledBack)));
}

#[test]
fn isolated_decider_neither_completes_nor_rolls_back_untried() {
    let begun = Time::ZERO + DURATION.mul_f64(0.5);
    for reports in [0, 1] {
        let mut decider = Decider::new(Time::ZERO, DURATION, begun);
        decider.set_isolated(true);
        for shard in 0..reports {
            decider.record(1, good_report(shard, begun), begun);
        }
        for n in 0..400 {
            assert_eq!(decider.step(SUPPLY, begun + STEP * n), None);
        }
    }
}

#[test]
fn closed_report_outlasts_those_of_many_homes() {
    let mut decider = Decider::new(Time::ZERO, DURATION, Time::ZERO);
    let closed = Report {
        closed: true,
        firsts: 1,
        ..good_report(0, Time::ZERO)
    };
    decider.record(1, closed, Time::ZERO);
    for shard in 1..200 {
        decider.record(1, good_report(shard, Time::ZERO), Time::ZERO);
    }
    let step = decider.step(SUPPLY, Time::ZERO);
    assert_eq!(step, Some(Step::Enter(Phase::RolledBack)));
}

#[test]
fn single_failures_at_many_homes_count() {
    let terms = Terms {
        order: 7,
        share: SHARE,
        lease: LEASE,
    };
    let mut decider = Decider::new(Time::ZERO, DURATION, Time::ZERO);
    for shard in 0..16 {
        let mut home = Exposure::new(terms, Time::ZERO);
        for n in 0..10_u64 {
            let outcome = if n == 9 {
                Outcome::Failed
            } else {
                Outcome::Done
            };
            home.record_end((n, VersionGroup::Old), 1, Outcome::Done, 0.2, false);
            home.record_end((n, VersionGroup::Target), 1, outcome, 0.2, false);
        }
        let report = home.report(Report::new(1, shard, Duration::ZERO));
        decider.record(shard, report, Time::ZERO);
    }
    let step = decider.step(SUPPLY, Time::ZERO);
    assert_eq!(step, Some(Step::Enter(Phase::RolledBack)));
}
