//! Plays loads against a ledger without a network and checks what callers get.
//!
//! Time goes on in steps of a millisecond. A server runs as many calls as it has
//! slots; how long one takes follows from the pace of its host when it begins.

use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::Time;
use route::handover::Snapshot;
use route::ledger::Action;
use route::ledger::Fleet;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::FollowerReport;
use route::msg::Load;
use route::msg::PermitRequest;
use route::msg::ProbeResult;
use route::msg::Release;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::AttemptId;
use route::Epoch;
use route::Ledger;
use route::ShardSpec;

const STEP: Duration = Duration::from_millis(1);
const VM: u64 = 1;
const WORK: u64 = 60;
const TARGET: u64 = 200;
const SLOW: u64 = 5;
/// How long a host keeps its pace.
const PACE_STEPS: u64 = 150;

/// A call that runs at a server.
struct Running {
    call: AttemptId,
    server: ServerId,
    since: Time,
    ends: Time,
    asked: Time,
    outcome: Outcome,
}

/// What callers got.
#[derive(Debug, Default)]
struct Got {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Refusals that came later than an eighth of the target.
    refused_late: u32,
    /// Calls that their server failed.
    failed: u32,
    /// Calls that their server refused.
    shed: u32,
}

/// A share of calls that end otherwise than they should.
#[derive(Clone, Copy, Debug)]
struct Fault {
    /// The server; none for all.
    server: Option<ServerId>,
    share: f64,
    /// How long such a call takes.
    after: Duration,
    outcome: Outcome,
}

struct World {
    ledger: Ledger,
    rng: fastrand::Rng,
    now: Time,
    last: AttemptId,
    asked: Vec<(AttemptId, Time)>,
    running: Vec<Running>,
    slots: u32,
    slow_share: f64,
    paces: Vec<u64>,
    /// What is wrong with servers.
    fault: Option<Fault>,
    /// From when on servers say that they are warm; none if they say nothing.
    warm: Option<Time>,
    got: Got,
    sent: Vec<(ServerId, Time)>,
}

fn spec(servers: u64, slots: u32, start: Announcement) -> ShardSpec {
    let servers = (1..=servers).map(|id| ServerSpec {
        id,
        domain: id % 3,
        slots,
        connections: 220,
        open: true,
        announced: start,
    });
    ShardSpec {
        max_deadline: Duration::from_secs(2),
        server_queues: false,
        ..ShardSpec::new(1, servers.collect())
    }
}

impl World {
    fn new(spec: ShardSpec, slow_share: f64) -> Self {
        let now = Duration::from_secs(10);
        let slots = spec.servers[0].slots;
        let paces = vec![1; spec.servers.len()];
        let fleet = Fleet {
            vms: &[VM],
            alive: &[VM],
            undiscovered: 0,
        };
        let mut ledger = Ledger::new(VM, Epoch::default(), spec.into(), fleet, now);
        let attach = Body::Attach {
            epoch: ledger.epoch(),
            holding: FollowerReport::default(),
            snapshot: Snapshot::default(),
        };
        ledger.receive(VM, attach, now);
        Self {
            ledger,
            rng: fastrand::Rng::with_seed(7),
            now,
            last: 0,
            asked: Vec::new(),
            running: Vec::new(),
            slots,
            slow_share,
            paces,
            fault: None,
            warm: None,
            got: Got::default(),
            sent: Vec::new(),
        }
    }

    /// Plays `span` with `rate` calls a second.
    fn play(&mut self, span: Duration, rate: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let steps = self.now.as_millis() as u64;
            if steps.is_multiple_of(PACE_STEPS) {
                for pace in &mut self.paces {
                    let slow = self.rng.f64() < self.slow_share;
                    *pace = if slow { SLOW } else { 1 };
                }
            }
            self.finish();
            if self.rng.f64() < rate * STEP.as_secs_f64() {
                self.ask();
            }
            if steps.is_multiple_of(20) {
                self.ledger.tick(self.now);
            }
            self.act();
        }
    }

    fn ask(&mut self) {
        self.last += 1;
        let ask = PermitRequest {
            class: base::Class::Interactive,
            left: Duration::from_millis(1200),
            goal: Duration::from_millis(TARGET),
            late_wait: Duration::from_millis(TARGET / 8),
            kind: AttemptKind::First,
            avoid: Vec::new(),
            domain: self.last % 3,
        };
        self.asked.push((self.last, self.now));
        let body = Body::Acquire {
            epoch: self.ledger.epoch(),
            call: self.last,
            ask,
        };
        self.ledger.receive(VM, body, self.now);
    }

    fn finish(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.running);
        let (over, left): (Vec<_>, Vec<_>) = all.into_iter().partition(|run| now >= run.ends);
        self.running = left;
        for run in over {
            let took = now - run.asked;
            if run.outcome == Outcome::Failed {
                self.got.failed += 1;
            } else if run.outcome == Outcome::Shed {
                self.got.shed += 1;
            } else if took <= Duration::from_millis(TARGET) {
                self.got.in_time += 1;
            } else {
                self.got.late += 1;
            }
            let release = Release {
                call: run.call,
                server: run.server,
                outcome: run.outcome,
                took: now - run.since,
                load: Some(self.load(run.server)),
            };
            let epoch = self.ledger.epoch();
            self.ledger
                .receive(VM, Body::Release { epoch, release }, now);
        }
    }

    fn load(&self, server: ServerId) -> Load {
        Load {
            busy: 0,
            waiting: 0,
            slowdown_percent: self.paces[server as usize - 1] as u32 * 100,
        }
    }

    fn act(&mut self) {
        for action in self.ledger.take_actions() {
            match action {
                Action::Probe(server) => {
                    let load = self.load(server);
                    let report = ProbeResult {
                        ok: true,
                        load: Some(load),
                        warm: self.warm.map(|since| self.now >= since),
                    };
                    self.ledger.record_probe(server, report, self.now);
                }
                Action::Send(envelope) => self.hear(envelope.msg.body),
                Action::StepDown(_) => {}
            }
        }
    }

    fn hear(&mut self, body: Body) {
        match body {
            Body::Grant { call, server, .. } => {
                let asked = self.take_asked(call);
                let busy = self.running.iter().filter(|run| run.server == server);
                assert!((busy.count() as u32) < self.slots, "beyond its slots");
                self.sent.push((server, self.now));
                let mut work = Duration::from_millis(WORK * self.paces[server as usize - 1]);
                let mut outcome = Outcome::Done;
                if let Some(fault) = self.fault {
                    let here = fault.server.is_none_or(|faulty| faulty == server);
                    if here && self.rng.f64() < fault.share {
                        outcome = fault.outcome;
                        work = fault.after;
                    }
                }
                self.running.push(Running {
                    call,
                    server,
                    since: self.now,
                    ends: self.now + work,
                    asked,
                    outcome,
                });
            }
            Body::Refuse { call, .. } => {
                let waited = self.now - self.take_asked(call);
                self.got.refused += 1;
                let brief = Duration::from_millis(TARGET / 8) + 2 * STEP;
                self.got.refused_late += u32::from(waited > brief);
            }
            _ => {}
        }
    }

    fn take_asked(&mut self, call: AttemptId) -> Time {
        let at = self.asked.iter().position(|(known, _)| *known == call);
        self.asked.swap_remove(at.expect("it was asked")).1
    }
}

/// Load: twice as many calls as the servers can run. In time are as many as
/// they can run, nearly all others are refused at once, few are late.
#[test]
fn overload_calls_are_in_time_or_refused_at_once() {
    let mut world = World::new(spec(8, 2, Announcement::Warm), 0.0);
    let capacity = 16.0 * 1000.0 / WORK as f64;
    world.play(Duration::from_secs(10), 2.0 * capacity);
    let got = &world.got;
    assert!(f64::from(got.in_time) >= 0.9 * 10.0 * capacity, "{got:?}");
    assert!(got.late * 20 <= got.in_time, "{got:?}");
    assert!(got.refused_late * 20 <= got.refused, "{got:?}");
}

/// Load: a burst of three times what the servers can run, then half of it.
#[test]
fn overload_leaves_nothing_behind() {
    let mut world = World::new(spec(8, 2, Announcement::Warm), 0.0);
    let capacity = 16.0 * 1000.0 / WORK as f64;
    world.play(Duration::from_secs(3), 3.0 * capacity);
    world.play(Duration::from_secs(1), 0.5 * capacity);
    world.got = Got::default();
    world.play(Duration::from_secs(5), 0.5 * capacity);
    let got = &world.got;
    assert!(got.in_time > 0 && got.refused == 0, "{got:?}");
    assert!(got.late * 100 <= got.in_time, "{got:?}");
}

/// Load: a quarter of what the servers can run, with a third of the hosts five
/// times slower for 150 ms at a time. Without knowing which, a third of the
/// calls would be late.
#[test]
fn slow_hosts_are_avoided_while_others_are_idle() {
    let mut world = World::new(spec(8, 3, Announcement::Warm), 0.33);
    world.play(Duration::from_secs(3), 40.0);
    world.got = Got::default();
    world.play(Duration::from_secs(20), 40.0);
    let got = &world.got;
    let all = got.in_time + got.late + got.refused;
    assert!(got.in_time * 10 >= all * 9, "{got:?}");
}

/// Load: a quarter of what the servers can run, of which one fails all its calls
/// at once. It is always free and answers soonest, and still gets little.
#[test]
fn servers_that_fail_at_once_get_little_while_others_are_sound() {
    let mut world = World::new(spec(8, 3, Announcement::Warm), 0.2);
    world.play(Duration::from_secs(3), 40.0);
    world.got = Got::default();
    world.fault = Some(Fault {
        server: Some(1),
        share: 1.0,
        after: Duration::from_millis(2),
        outcome: Outcome::Failed,
    });
    world.play(Duration::from_secs(20), 40.0);
    let got = &world.got;
    let all = got.in_time + got.late + got.refused + got.failed;
    assert!(got.failed * 50 <= all, "{got:?}");
    assert!(got.in_time * 10 >= all * 9, "{got:?}");
}

/// Load: the same with a server that fails half of its calls in the usual time.
#[test]
fn servers_that_fail_in_part_get_little_while_others_are_sound() {
    let mut world = World::new(spec(8, 3, Announcement::Warm), 0.2);
    world.play(Duration::from_secs(3), 40.0);
    world.got = Got::default();
    world.fault = Some(Fault {
        server: Some(1),
        share: 0.5,
        after: Duration::from_millis(WORK),
        outcome: Outcome::Failed,
    });
    world.play(Duration::from_secs(20), 40.0);
    let got = &world.got;
    let all = got.in_time + got.late + got.refused + got.failed;
    // An eighth of all would go there if nobody saw it.
    assert!(got.failed * 50 <= all, "{got:?}");
}

/// Load: a tenth of what the servers can run, while all of them refuse half of the
/// calls although they are idle. A refused call did not run and may come again, so
/// every call is offered to a server.
#[test]
fn servers_that_refuse_while_idle_are_offered_every_call() {
    let shedding = ShardSpec {
        cold_rate: 4.3,
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(8, 2, Announcement::Warm)
    };
    let mut world = World::new(shedding, 0.0);
    world.play(Duration::from_secs(3), 80.0);
    world.got = Got::default();
    world.fault = Some(Fault {
        server: None,
        share: 0.55,
        after: Duration::from_millis(2),
        outcome: Outcome::Shed,
    });
    world.play(Duration::from_secs(10), 80.0);
    let got = &world.got;
    let all = got.in_time + got.late + got.refused + got.shed;
    assert!(got.refused * 50 <= all, "{got:?}");
}

/// Load: far more than cold servers bear, however well they answer.
#[test]
fn cold_servers_get_no_more_than_they_bear_in_any_second() {
    let rate = 6;
    let cold = ShardSpec {
        cold_rate: f64::from(rate),
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(4, 2, Announcement::Cold(1))
    };
    let mut world = World::new(cold, 0.0);
    world.play(Duration::from_secs(10), 200.0);
    for (server, at) in &world.sent {
        let second = world.sent.iter().filter(|(other, sent)| {
            other == server && *sent >= *at && *sent < *at + Duration::from_secs(1)
        });
        assert!(second.count() <= rate as usize, "server {server} at {at:?}");
    }
    assert!(world.sent.len() >= 4 * 10 * rate as usize / 2);
}

/// Load: a third of what the servers can run. They have announced that they are
/// cold, and their health answers say when they no longer are.
#[test]
fn servers_whose_health_answers_say_warm_get_what_they_bear() {
    let cold = ShardSpec {
        cold_rate: 6.0,
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(8, 2, Announcement::Cold(1))
    };
    let mut world = World::new(cold, 0.0);
    world.warm = Some(world.now + Duration::from_secs(2));
    world.play(Duration::from_secs(2), 90.0);
    for (server, at) in &world.sent {
        let second = world.sent.iter().filter(|(other, sent)| {
            other == server && *sent >= *at && *sent < *at + Duration::from_secs(1)
        });
        assert!(second.count() <= 6, "server {server} at {at:?}");
    }
    world.play(Duration::from_secs(1), 90.0);
    world.got = Got::default();
    world.play(Duration::from_secs(5), 90.0);
    let got = &world.got;
    let all = got.in_time + got.late + got.refused;
    assert!(got.in_time * 50 >= all * 49, "{got:?}");
}

/// Load: any, with servers that fail and come back. A server that was down may
/// have restarted, so its rate is bounded until that would have shown.
#[test]
fn returning_servers_get_no_more_than_cold_ones_bear() {
    let warm = ShardSpec {
        cold_rate: 6.0,
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(4, 2, Announcement::Warm)
    };
    let mut world = World::new(warm, 0.0);
    world.play(Duration::from_secs(2), 100.0);
    let back = world.now;
    for server in 1..=4 {
        // Two broken attempts and a good probe, as after a restart.
        world.last += 1;
        let call = world.last;
        let release = Release {
            call,
            server,
            outcome: Outcome::Broken,
            took: Duration::ZERO,
            load: None,
        };
        let holding = FollowerReport {
            number: call,
            last_issued: call,
            held: vec![route::msg::HeldPermit {
                call,
                server,
                left: Duration::from_secs(1),
            }],
            waiting: Vec::new(),
        };
        let epoch = world.ledger.epoch();
        let refresh = Body::Refresh { epoch, holding };
        world.ledger.receive(VM, refresh, world.now);
        world
            .ledger
            .receive(VM, Body::Release { epoch, release }, world.now);
    }
    world.running.clear();
    world.sent.clear();
    world.play(Duration::from_secs(2), 100.0);
    for (server, at) in &world.sent {
        let second = world.sent.iter().filter(|(other, sent)| {
            other == server && *sent >= *at && *sent < *at + Duration::from_secs(1)
        });
        assert!(second.count() <= 6, "server {server}, {:?}", *at - back);
    }
}
