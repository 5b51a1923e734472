//! Runs simulated loads against a ledger, without a network, and checks how the calls
//! end.

mod load_sim;

use std::time::Duration;

use base::Outcome;
use base::Time;
use route::ledger::Action;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::FollowerReport;
use route::msg::PermitRequest;
use route::msg::RefusalReason;
use route::msg::Release;
use route::rollout::Phase;
use route::rollout::Terms;
use route::rollout::VersionGroup;
use route::spec::Announcement;
use route::ShardSpec;

use crate::load_sim::spec;
use crate::load_sim::Counts;
use crate::load_sim::Fault;
use crate::load_sim::Sim;
use crate::load_sim::SERVICE_TIME_MS;
use crate::load_sim::VM;

/// Load: twice as many calls as the servers can run. About as many calls as they can run
/// have to end in time, and nearly all others have to be refused at once. Few calls may
/// be late.
#[test]
fn overload_calls_are_in_time_or_refused_at_once() {
    let mut sim = Sim::new(spec(8, 2, Announcement::Warm), 0.0);
    let capacity = 16.0 * 1000.0 / SERVICE_TIME_MS as f64;
    sim.run(Duration::from_secs(10), 2.0 * capacity);
    let got = &sim.counts;
    assert!(f64::from(got.in_time) >= 0.9 * 10.0 * capacity, "{got:?}");
    assert!(got.late * 20 <= got.in_time, "{got:?}");
    assert!(got.refused_late * 20 <= got.refused, "{got:?}");
}

/// Load: a burst of three times what the servers can run, then half of what they can run.
/// One second after the burst, no call may be refused and hardly any may be late.
#[test]
fn overload_has_no_effect_once_it_is_over() {
    let mut sim = Sim::new(spec(8, 2, Announcement::Warm), 0.0);
    let capacity = 16.0 * 1000.0 / SERVICE_TIME_MS as f64;
    sim.run(Duration::from_secs(3), 3.0 * capacity);
    sim.run(Duration::from_secs(1), 0.5 * capacity);
    sim.counts = Counts::default();
    sim.run(Duration::from_secs(5), 0.5 * capacity);
    let got = &sim.counts;
    assert!(got.in_time > 0 && got.refused == 0, "{got:?}");
    assert!(got.late * 100 <= got.in_time, "{got:?}");
}

/// Load: less than a quarter of what the servers can run, while a third of the hosts are
/// five times slower for 150 ms at a time. A home that did not know the slow hosts would
/// make a third of the calls late.
#[test]
fn slow_hosts_are_avoided_while_others_are_idle() {
    let mut sim = Sim::new(spec(8, 3, Announcement::Warm), 0.33);
    sim.run(Duration::from_secs(3), 40.0);
    sim.counts = Counts::default();
    sim.run(Duration::from_secs(20), 40.0);
    let got = &sim.counts;
    let all = got.in_time + got.late + got.refused;
    assert!(got.in_time * 10 >= all * 9, "{got:?}");
}

/// Load: less than a quarter of what the servers can run, while one server fails all of
/// its calls at once. Although this server always has a free slot and responds fastest,
/// it may get few calls only.
#[test]
fn failing_server_gets_few_calls_if_it_fails_all() {
    let mut sim = Sim::new(spec(8, 3, Announcement::Warm), 0.2);
    sim.run(Duration::from_secs(3), 40.0);
    sim.counts = Counts::default();
    sim.fault = Some(Fault {
        server: Some(1),
        share: 1.0,
        took: Duration::from_millis(2),
        outcome: Outcome::Failed,
    });
    sim.run(Duration::from_secs(20), 40.0);
    let got = &sim.counts;
    let all = got.in_time + got.late + got.refused + got.failed;
    assert!(got.failed * 50 <= all, "{got:?}");
    assert!(got.in_time * 10 >= all * 9, "{got:?}");
}

/// Load: less than a quarter of what the servers can run, while one server fails half of
/// its calls after the usual service time.
#[test]
fn failing_server_gets_few_calls_if_it_fails_half() {
    let mut sim = Sim::new(spec(8, 3, Announcement::Warm), 0.2);
    sim.run(Duration::from_secs(3), 40.0);
    sim.counts = Counts::default();
    sim.fault = Some(Fault {
        server: Some(1),
        share: 0.5,
        took: Duration::from_millis(SERVICE_TIME_MS),
        outcome: Outcome::Failed,
    });
    sim.run(Duration::from_secs(20), 40.0);
    let got = &sim.counts;
    let all = got.in_time + got.late + got.refused + got.failed;
    // If the home ignored the failures, an eighth of all calls would go to this server.
    assert!(got.failed * 50 <= all, "{got:?}");
}

/// Load: a third of what the servers can run, while all of them refuse about half of the
/// calls although they are idle. A call that a server refused did not run and may be
/// retried, so the home has to grant a permit to nearly every call.
#[test]
fn shedding_servers_are_offered_every_call() {
    let shedding = ShardSpec {
        cold_rate: 4.3,
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(8, 2, Announcement::Warm)
    };
    let mut sim = Sim::new(shedding, 0.0);
    sim.run(Duration::from_secs(3), 80.0);
    sim.counts = Counts::default();
    sim.fault = Some(Fault {
        server: None,
        share: 0.55,
        took: Duration::from_millis(2),
        outcome: Outcome::Shed,
    });
    sim.run(Duration::from_secs(10), 80.0);
    let got = &sim.counts;
    let all = got.in_time + got.late + got.refused + got.shed;
    assert!(got.refused * 50 <= all, "{got:?}");
}

/// Load: far more than cold servers can handle. In every span of a second, each server
/// may get its cold rate at most, however well it responds.
#[test]
fn cold_servers_stay_within_cold_rate() {
    let rate = 6;
    let cold = ShardSpec {
        cold_rate: f64::from(rate),
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(4, 2, Announcement::Cold(1))
    };
    let mut sim = Sim::new(cold, 0.0);
    sim.run(Duration::from_secs(10), 200.0);
    for (server, time) in &sim.granted {
        let second = sim.granted.iter().filter(|(other, granted_at)| {
            other == server && *granted_at >= *time && *granted_at < *time + Duration::from_secs(1)
        });
        assert!(
            second.count() <= rate as usize,
            "server {server} at {time:?}"
        );
    }
    assert!(sim.granted.len() >= 4 * 10 * rate as usize / 2);
}

/// Load: a third of what the servers can run. The servers have announced that they are
/// cold, and report in health checks when they are warm. From one second after that on,
/// nearly all calls have to end in time.
#[test]
fn probed_warm_servers_get_full_load() {
    let cold = ShardSpec {
        cold_rate: 6.0,
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(8, 2, Announcement::Cold(1))
    };
    let mut sim = Sim::new(cold, 0.0);
    sim.warm_at = Some(sim.now + Duration::from_secs(2));
    sim.run(Duration::from_secs(2), 90.0);
    for (server, time) in &sim.granted {
        let second = sim.granted.iter().filter(|(other, granted_at)| {
            other == server && *granted_at >= *time && *granted_at < *time + Duration::from_secs(1)
        });
        assert!(second.count() <= 6, "server {server} at {time:?}");
    }
    sim.run(Duration::from_secs(1), 90.0);
    sim.counts = Counts::default();
    sim.run(Duration::from_secs(5), 90.0);
    let got = &sim.counts;
    let all = got.in_time + got.late + got.refused;
    assert!(got.in_time * 50 >= all * 49, "{got:?}");
}

/// Load: three quarters of what the servers can run. All servers fail and return. A
/// server that was down may have restarted, so its rate has to stay that of a cold server
/// until a restart would have shown.
#[test]
fn returning_servers_stay_within_cold_rate() {
    let warm = ShardSpec {
        cold_rate: 6.0,
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(4, 2, Announcement::Warm)
    };
    let mut sim = Sim::new(warm, 0.0);
    sim.run(Duration::from_secs(2), 100.0);
    let returned_at = sim.now;
    for server in 1..=4 {
        // The report adds a permit for an attempt whose connection then breaks. A probe
        // succeeds later, as after a restart.
        sim.last_id += 1;
        let call = sim.last_id;
        let release = Release {
            call,
            server,
            outcome: Outcome::Broken,
            took: Duration::ZERO,
            load: None,
        };
        let report = FollowerReport {
            number: call,
            last_issued: call,
            held: vec![route::msg::HeldPermit {
                call,
                server,
                left: Duration::from_secs(1),
            }],
            waiting: Vec::new(),
        };
        let epoch = sim.ledger.epoch();
        let refresh = Body::Refresh {
            epoch,
            holding: report,
        };
        sim.ledger.receive(VM, refresh, sim.now);
        sim.ledger
            .receive(VM, Body::Release { epoch, release }, sim.now);
    }
    sim.running.clear();
    sim.granted.clear();
    sim.run(Duration::from_secs(2), 100.0);
    for (server, time) in &sim.granted {
        let second = sim.granted.iter().filter(|(other, granted_at)| {
            other == server && *granted_at >= *time && *granted_at < *time + Duration::from_secs(1)
        });
        assert!(
            second.count() <= 6,
            "server {server}, {:?}",
            *time - returned_at
        );
    }
}

/// Load: a burst of many times what the servers can run, whose refused calls ask other
/// shards too. Second attempts have to stay within the budget of the calls that got a
/// permit: a call that two shards count would raise the budget of the service twice.
#[test]
fn refused_calls_do_not_raise_the_budget_of_retries() {
    let spec = ShardSpec {
        retry_percent: 10,
        retry_slack: 5,
        ..spec(4, 2, Announcement::Warm)
    };
    let mut sim = Sim::new(spec, 0.0);
    sim.run(Duration::from_secs(4), 800.0);
    let granted = sim.granted.len() as u32;
    assert!(sim.counts.refused > 4 * granted, "{:?}", sim.counts);
    let mut allowed = 0;
    for _ in 0..2000 {
        sim.last_id += 1;
        let request = PermitRequest {
            class: base::Class::Interactive,
            left: Duration::from_millis(1200),
            goal: Duration::ZERO,
            late_wait: Duration::ZERO,
            kind: AttemptKind::Retry,
            avoid: Vec::new(),
            domain: 0,
            ranking: None,
        };
        let epoch = sim.ledger.epoch();
        let body = Body::Acquire {
            epoch,
            call: sim.last_id,
            ask: request,
        };
        sim.ledger.receive(VM, body, sim.now);
        for action in sim.ledger.take_actions() {
            if let Action::Send(envelope) = action {
                let spent = match envelope.msg.body {
                    Body::Refuse { reason, .. } => reason != RefusalReason::Budget,
                    Body::Grant { .. } | Body::Queued { .. } => true,
                    _ => false,
                };
                allowed += u32::from(spent);
            }
        }
    }
    assert!(allowed > 0);
    let most = granted / 10 + 5;
    assert!(allowed <= most, "{allowed} of at most {most}");
}

/// Load: three times what the servers can run. The service lets calls wait in its servers,
/// but these close the connection of a call that comes while they are full. A call that
/// ends so may have run, so its caller cannot repeat it: no more than one such call for
/// each server may be lost. And a server that is full is not down: the others' calls have
/// to go on at full capacity.
#[test]
fn servers_that_reset_when_full_lose_hardly_any_call() {
    let queues = ShardSpec {
        server_queues: true,
        cold_rate: 6.0,
        cold_duration: Duration::from_secs(3),
        grow_after: 4,
        ..spec(8, 2, Announcement::Warm)
    };
    let mut sim = Sim::new(queues, 0.0);
    sim.resets_when_full = true;
    let capacity = 16.0 * 1000.0 / SERVICE_TIME_MS as f64;
    sim.run(Duration::from_secs(10), 3.0 * capacity);
    let got = &sim.counts;
    assert!(got.broken <= 8, "{got:?}");
    assert!(f64::from(got.in_time) >= 0.9 * 10.0 * capacity, "{got:?}");
}

#[test]
fn servers_that_limit_their_rate_get_no_more() {
    const RATE: f64 = 3.0;
    let window = Duration::from_secs(4);
    let mut sim = Sim::new(spec(4, 2, Announcement::Warm), 0.0);
    sim.run(Duration::from_secs(2), 60.0);
    sim.rate_limit = Some(RATE);
    sim.run(Duration::from_secs(2), 60.0);
    let settled = sim.now;
    sim.counts = Counts::default();
    sim.run(Duration::from_secs(10), 60.0);
    let allowed = (1.5 * RATE * window.as_secs_f64()) as usize + 5;
    for server in 1..=4 {
        let at_server = sim.granted.iter().filter(|(granted, _)| *granted == server);
        let times = at_server.map(|(_, at)| *at).filter(|at| *at >= settled);
        let times: Vec<Time> = times.collect();
        let in_window = |from: &Time| {
            let until = *from + window;
            times
                .iter()
                .filter(|at| **at >= *from && **at < until)
                .count()
        };
        let most = times.iter().map(in_window).max().unwrap_or(0);
        assert!(
            most <= allowed,
            "server {server}: {most} calls, allowed {allowed}"
        );
        let used = times.len() as f64 / (RATE * 10.0);
        assert!(used > 0.9, "server {server}: {used:.2} of its rate is used");
    }
    // What cannot be served is refused at once.
    let counts = &sim.counts;
    assert!(counts.refused > 300, "{counts:?}");
    assert!(counts.refused_late * 20 < counts.refused, "{counts:?}");
}

#[test]
fn servers_that_lift_their_limit_get_calls_again() {
    let mut sim = Sim::new(spec(4, 2, Announcement::Warm), 0.0);
    sim.rate_limit = Some(1.0);
    sim.run(Duration::from_secs(5), 40.0);
    sim.rate_limit = None;
    // A server gets its next call in a second, and its response lifts the limit.
    sim.run(Duration::from_secs(2), 40.0);
    sim.counts = Counts::default();
    sim.run(Duration::from_secs(5), 40.0);
    let counts = &sim.counts;
    assert!(counts.in_time >= 180, "{counts:?}");
}

/// Returns a shard of eight servers of which the last four are of a version on trial.
fn rollout_spec() -> ShardSpec {
    let mut spec = spec(8, 4, Announcement::Warm);
    for server in &mut spec.servers[4..] {
        server.version = VersionGroup::Target;
    }
    spec.rollout = Some(Terms {
        order: 7,
        share: 0.1,
        lease: Duration::from_secs(3),
    });
    spec
}

/// Runs for `secs` seconds in which the decider tells `phase` each second. Returns the
/// grants for the old version and for the one on trial.
fn run_phase(sim: &mut Sim, phase: Phase, secs: u32) -> (usize, usize) {
    sim.granted.clear();
    for _ in 0..secs {
        let now = sim.now;
        sim.ledger.hear_phase(7, phase, now);
        sim.run(Duration::from_secs(1), 40.0);
    }
    let new = sim.granted.iter().filter(|(server, _)| *server > 4).count();
    (sim.granted.len() - new, new)
}

#[test]
fn rollout_share_holds_in_each_phase() {
    let mut sim = Sim::new(rollout_spec(), 0.0);
    sim.run(Duration::from_secs(5), 40.0);
    assert!(sim.granted.iter().all(|(server, _)| *server <= 4));
    let (old, new) = run_phase(&mut sim, Phase::Trial, 20);
    assert!((10..(old + new) / 10).contains(&new), "{old} {new}");
    let (old, surge) = run_phase(&mut sim, Phase::Surge, 5);
    assert!(surge > new / 2 && surge <= old + 1, "{old} {surge}");
    // Calls that were granted before the switch are still counted.
    run_phase(&mut sim, Phase::Switch, 1);
    let (old, new) = run_phase(&mut sim, Phase::Switch, 5);
    assert!(old == 0 && new > 100, "{old} {new}");
    let (old, new) = run_phase(&mut sim, Phase::RolledBack, 5);
    assert!(old > 100 && new == 0, "{old} {new}");
}

#[test]
fn rollout_of_a_failing_version_is_closed_by_the_home_alone() {
    let mut sim = Sim::new(rollout_spec(), 0.0);
    run_phase(&mut sim, Phase::Trial, 10);
    sim.failing = (5..=8).collect();
    run_phase(&mut sim, Phase::Trial, 30);
    assert!(sim.ledger.exposure().unwrap().is_closed());
    assert!(sim.counts.failed < 50, "{:?}", sim.counts);
    let (old, new) = run_phase(&mut sim, Phase::Surge, 5);
    assert!(old > 100 && new == 0, "{old} {new}");
}
