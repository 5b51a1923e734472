//! Tests the parts that routing decisions are made of, one by one: attempts, keys,
//! limits, queue, budget, shards, handover and the choice of a server.

use std::time::Duration;

use base::Class;
use base::Outcome;
use base::Time;
use route::attempts::Attempts;
use route::attempts::Failure;
use route::attempts::Verdict;
use route::budget::Budget;
use route::epoch::Epoch;
use route::handover::Handover;
use route::handover::Snapshot;
use route::keys;
use route::keys::ClaimDecision;
use route::keys::ClaimReply;
use route::keys::ClaimTable;
use route::keys::KeyClaim;
use route::ledger::Action;
use route::ledger::Fleet;
use route::limit::Limit;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::FollowerReport;
use route::msg::PermitRequest;
use route::msg::Release;
use route::msg::ServerSummary;
use route::msg::Warmth;
use route::queue::Queue;
use route::queue::Waiter;
use route::shards::choose;
use route::shards::ShardCapacity;
use route::spec::connections_per_vm;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::HomeId;
use route::Ledger;
use route::ShardSpec;

/// Number of cases generated for the property of the budget.
const CASES: u64 = 20_000;

const FAILURES: [Failure; 5] = [
    Failure::Refused,
    Failure::Unsent,
    Failure::Shed,
    Failure::Broken,
    Failure::Late,
];

fn server(slots: u32, connections: u32) -> ServerSpec {
    ServerSpec {
        id: 7,
        domain: 1,
        slots,
        connections,
        open: true,
        version: Default::default(),
        announced: Announcement::Unknown,
    }
}

#[test]
fn record_failure_call_that_may_have_run_is_not_repeated() {
    cases::check::<(bool, Vec<(u8, bool)>)>(4000, |(repeatable, failures)| {
        let mut attempts = Attempts::new(false, *repeatable, 3);
        let mut may_have_run = false;
        for (failure, intact) in failures {
            let failure = FAILURES[usize::from(*failure) % FAILURES.len()];
            may_have_run |= !failure.proves_not_run();
            match attempts.record_failure(failure, *intact) {
                Verdict::Retry => assert!(!may_have_run),
                Verdict::NotRun => assert!(!may_have_run),
                Verdict::Unknown => assert!(may_have_run),
            }
        }
    });
}

#[test]
fn record_failure_idempotent_is_repeated_then_unknown() {
    let mut attempts = Attempts::new(true, true, 2);
    assert_eq!(
        attempts.record_failure(Failure::Broken, false),
        Verdict::Retry
    );
    assert_eq!(
        attempts.record_failure(Failure::Shed, false),
        Verdict::Unknown
    );
}

#[test]
fn record_failure_streamed_body_is_not_sent_twice() {
    let mut attempts = Attempts::new(true, false, 3);
    assert_eq!(
        attempts.record_failure(Failure::Shed, false),
        Verdict::NotRun
    );
}

#[test]
fn claim_by_second_call_is_refused_until_forgotten() {
    let mut table = ClaimTable::new(1, Time::ZERO);
    let now = Duration::from_secs(100);
    let claim = KeyClaim { key: 5, call: 1 };
    assert!(matches!(
        table.claim(claim, 1, now),
        ClaimReply::First { .. }
    ));
    assert!(matches!(
        table.claim(claim, 1, now),
        ClaimReply::First { .. }
    ));
    assert_eq!(table.claim(claim, 2, now), ClaimReply::Taken);
    table.forget(claim, 2);
    assert_eq!(table.claim(claim, 2, now), ClaimReply::Taken);
    table.forget(claim, 1);
    assert!(matches!(
        table.claim(claim, 2, now),
        ClaimReply::First { .. }
    ));
}

#[test]
fn decide_needs_grants_of_old_owners() {
    let first = |age| Some(ClaimReply::First { age });
    let young = first(keys::OWNER_AGE_MIN / 2);
    let old = first(keys::OWNER_AGE_MIN);
    let taken = Some(ClaimReply::Taken);
    assert_eq!(keys::decide(1, &[old]), ClaimDecision::Run);
    assert_eq!(keys::decide(3, &[old, old, young]), ClaimDecision::Run);
    assert_eq!(keys::decide(3, &[old, None, old]), ClaimDecision::Run);
    assert_eq!(keys::decide(3, &[old, old, taken]), ClaimDecision::Run);
    assert_eq!(
        keys::decide(3, &[old, taken, taken]),
        ClaimDecision::Duplicate
    );
    assert_eq!(
        keys::decide(3, &[old, taken, None]),
        ClaimDecision::Duplicate
    );
    assert_eq!(
        keys::decide(5, &[old, old, taken]),
        ClaimDecision::Duplicate
    );
    for replies in [
        [old, young, young],
        [old, None, None],
        [young, young, young],
        [None, None, None],
    ] {
        assert!(matches!(
            keys::decide(3, &replies),
            ClaimDecision::Undecided { .. }
        ));
    }
}

#[test]
fn record_healthy_responses_raise_limit_to_slots() {
    let spec = ShardSpec::new(1, vec![server(3, 220)]);
    let mut limit = Limit::new(&spec.servers[0], &spec);
    assert_eq!(limit.warmth(&spec), Warmth::Cold);
    for count in 0..spec.grow_after * 2 {
        assert!(limit.current() <= 1 + count / spec.grow_after);
        limit.record(Outcome::Done, 0.01, 0.01, &spec, Time::ZERO);
    }
    assert_eq!(limit.warmth(&spec), Warmth::Warm);
}

#[test]
fn record_slow_responses_keep_limit() {
    let spec = ShardSpec::new(1, vec![server(3, 220)]);
    let mut limit = Limit::new(&spec.servers[0], &spec);
    for _ in 0..100 {
        limit.record(Outcome::Done, 0.04, 0.01, &spec, Time::ZERO);
    }
    assert_eq!(limit.current(), 1);
}

#[test]
fn record_slowdown_break_and_shed_lower_limit() {
    let spec = ShardSpec::new(1, vec![server(4, 220)]);
    let warm = || {
        let mut limit = Limit::new(&spec.servers[0], &spec);
        for _ in 0..spec.grow_after * 3 {
            limit.record(Outcome::Done, 0.01, 0.01, &spec, Time::ZERO);
        }
        assert_eq!(limit.current(), 4);
        limit
    };
    let mut slowed = warm();
    for _ in 0..20 {
        slowed.record(Outcome::Done, 0.1, 0.01, &spec, Time::ZERO);
    }
    assert_eq!(slowed.current(), 1);
    let mut broken = warm();
    broken.record(Outcome::Broken, 0.0, 0.01, &spec, Time::ZERO);
    assert_eq!(broken.warmth(&spec), Warmth::Down);
    let mut shed = warm();
    shed.record(Outcome::Shed, 0.0, 0.01, &spec, Time::ZERO);
    assert_eq!(shed.current(), 3);
    assert!(!shed.is_up(Time::ZERO));
    assert!(shed.is_up(Duration::from_millis(50)));
}

#[test]
fn record_probe_success_makes_server_cold() {
    let spec = ShardSpec::new(1, vec![server(4, 220)]);
    let mut limit = Limit::new(&spec.servers[0], &spec);
    limit.record(Outcome::Broken, 0.0, 0.01, &spec, Time::ZERO);
    let later = Duration::from_secs(1);
    assert!(limit.wants_probe(later));
    limit.record_probe(true, &spec, later);
    assert_eq!(limit.warmth(&spec), Warmth::Cold);
}

#[test]
fn add_sorts_by_class_then_deadline() {
    cases::check::<Vec<(u8, u16)>>(500, |calls| {
        let mut queue = Queue::default();
        for (call, (class, left)) in calls.iter().enumerate() {
            let request = PermitRequest {
                class: Class::ALL[usize::from(*class) % 3],
                left: Duration::from_millis(u64::from(*left)),
                goal: Duration::from_millis(u64::from(*left)),
                late_wait: Duration::from_millis(u64::from(*left)) / 8,
                kind: AttemptKind::First,
                avoid: Vec::new(),
                domain: 0,
                ranking: None,
            };
            queue.add(Waiter::new(1, call as u64, request, Time::ZERO));
        }
        let order: Vec<_> = queue
            .list()
            .iter()
            .map(|w| (w.request.class, w.deadline))
            .collect();
        assert!(order.is_sorted());
        assert_eq!(queue.len(), calls.len());
    });
}

#[test]
fn try_spend_follows_percentage() {
    let mut budget = Budget::new(10, 10);
    let mut spent = 0;
    for _ in 0..1000 {
        budget.record_first(Time::ZERO);
        spent += u32::from(budget.try_spend(Time::ZERO));
    }
    assert!((100..=111).contains(&spent), "{spent}");
    assert!(!Budget::new(0, 10).try_spend(Time::ZERO));
}

#[test]
fn try_spend_stays_within_percentage_and_slack() {
    cases::check::<Vec<(u8, bool)>>(CASES, |steps| {
        let mut budget = Budget::new(20, 28);
        let mut now = Time::ZERO;
        let mut firsts: Vec<Time> = Vec::new();
        let mut seconds: Vec<Time> = Vec::new();
        for (wait, first) in steps {
            now += Duration::from_millis(u64::from(*wait) * 10);
            if *first {
                budget.record_first(now);
                firsts.push(now);
            } else if budget.try_spend(now) {
                seconds.push(now);
            }
            // The budget counts whole slices, so its window covers between 9.5 and 10
            // seconds. Second attempts are therefore counted over 9 s, and first
            // attempts over 10 s.
            let since = |span: u64| now.saturating_sub(Duration::from_secs(span));
            let second_count = seconds.iter().filter(|time| **time > since(9)).count();
            let first_count = firsts.iter().filter(|time| **time >= since(10)).count();
            assert!(second_count as f64 <= 0.2 * first_count as f64 + 28.0);
        }
    });
}

#[test]
fn admitted_vms_share_connections_in_any_fleet() {
    for fleet in [1, 13, 150, 198, 300, 700] {
        let vms: Vec<u64> = (0..fleet).map(|n| base::id::vm(&format!("{n}"))).collect();
        let server = server(2, 220);
        let admitted = server.admitted_vms(&vms);
        let total = admitted.len() * connections_per_vm(server.connections, vms.len());
        assert!(total <= 220, "{fleet} VMs may open {total} connections");
        assert!(!admitted.is_empty());
    }
}

#[test]
fn admitted_vms_gain_at_most_one_when_another_leaves() {
    let vms: Vec<u64> = (0..400).map(|n| base::id::vm(&format!("{n}"))).collect();
    let server = server(2, 220);
    let before = server.admitted_vms(&vms);
    let after = server.admitted_vms(&vms[1..]);
    let new = after.iter().filter(|vm| !before.contains(vm)).count();
    assert!(new <= 1, "{new}");
}

#[test]
fn shards_contain_each_server_once() {
    let servers = (0..1000).map(|n| ServerSpec {
        id: base::id::server("big", &format!("{n}")),
        ..server(2, 220)
    });
    let shards = ShardSpec::new(9, servers.collect()).shards();
    let mut ids: Vec<u64> = shards
        .iter()
        .flat_map(|s| s.servers.iter().map(|s| s.id))
        .collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 1000);
    assert!(shards.len() >= 8);
}

#[test]
fn shards_of_large_service_have_one_domain_and_share_slack() {
    let servers = |count: u64| {
        (0..count).map(|n| ServerSpec {
            id: base::id::server("big", &format!("{n}")),
            domain: n % 4,
            ..server(2, 220)
        })
    };
    let few = ShardSpec::new(9, servers(32).collect()).shards();
    assert_eq!(few.len(), 1);
    let whole = ShardSpec {
        retry_slack: 90,
        hedge_slack: 41,
        ..ShardSpec::new(9, servers(200).collect())
    };
    let shards = whole.shards();
    assert_eq!(shards.len(), 4);
    for shard in &shards {
        let domains = shard.servers.iter().map(|s| Some(s.domain));
        assert!(domains.into_iter().all(|domain| domain == shard.domain));
        assert_eq!((shard.retry_slack, shard.hedge_slack), (22, 10));
    }
}

fn shard(domain: u64, slots: u32, full: bool) -> ShardCapacity {
    ShardCapacity {
        domain: Some(domain),
        slots,
        full,
    }
}

#[test]
fn choose_prefers_local_shard_with_room() {
    let shards = [shard(1, 10, false), shard(2, 10, false)];
    assert_eq!(choose(&shards, 2, 0.1), Some(1));
    let shards = [shard(1, 10, false), shard(2, 10, true)];
    assert_eq!(choose(&shards, 2, 0.1), Some(0));
    let shards = [shard(1, 10, false), shard(2, 0, false)];
    assert_eq!(choose(&shards, 2, 0.9), Some(0));
}

#[test]
fn choose_remote_shard_weighted_by_slots() {
    let shards = [shard(1, 30, false), shard(2, 10, false), shard(3, 10, true)];
    assert_eq!(choose(&shards, 3, 0.7), Some(0));
    assert_eq!(choose(&shards, 3, 0.8), Some(1));
    assert_eq!(choose(&shards, 9, 1.0), Some(1));
}

#[test]
fn choose_when_all_shards_are_full_or_closed() {
    let shards = [shard(1, 10, true), shard(2, 10, true)];
    assert_eq!(choose(&shards, 2, 0.1), Some(1));
    assert_eq!(choose(&shards, 3, 0.9), Some(1));
    assert_eq!(choose(&[shard(1, 0, false)], 1, 0.5), Some(0));
    assert_eq!(choose(&[], 1, 0.5), None);
}

#[test]
fn record_broken_at_raised_limit_slows_growth() {
    let spec = ShardSpec::new(1, vec![server(4, 220)]);
    let mut limit = Limit::new(&spec.servers[0], &spec);
    let responses_to_grow = |limit: &mut Limit| {
        let start = limit.current();
        let mut count = 0;
        while limit.current() == start {
            limit.record(Outcome::Done, 0.01, 0.01, &spec, Time::ZERO);
            count += 1;
        }
        count
    };
    let first = responses_to_grow(&mut limit);
    limit.record(Outcome::Broken, 0.0, 0.01, &spec, Time::ZERO);
    limit.record_probe(true, &spec, Duration::from_secs(1));
    let second = responses_to_grow(&mut limit);
    assert!(second >= 2 * first, "{first} then {second}");
}

#[test]
fn record_responses_at_twice_the_time_do_not_warm_server() {
    let spec = ShardSpec::new(1, vec![server(4, 220)]);
    let mut limit = Limit::new(&spec.servers[0], &spec);
    for _ in 0..200 {
        limit.record(Outcome::Done, 0.02, 0.01, &spec, Time::ZERO);
    }
    // The average slowdown rises above the bound for growth only after a few responses,
    // so the limit may have grown once by then.
    assert!(limit.current() <= 2);
}

#[test]
fn merge_recent_snapshots_keep_most_cautious_summary() {
    let summary = |warmth, limit| ServerSummary {
        server: 7,
        limit,
        warmth,
        usual: Duration::from_millis(10),
        age: Duration::from_millis(20),
    };
    let snapshot = |count, age, summary| Snapshot {
        source: Epoch { count, home: 1 },
        age: Duration::from_secs(age),
        servers: vec![summary],
    };
    let mut handover = Handover::default();
    let now = Duration::from_secs(100);
    handover.merge(&snapshot(1, 0, summary(Warmth::Cold, 1)), now);
    handover.merge(&snapshot(2, 60, summary(Warmth::Cold, 1)), now);
    handover.merge(&snapshot(2, 0, summary(Warmth::Warm, 3)), now);
    assert_eq!(handover.servers(now).next().unwrap().limit, 3);
    handover.merge(&snapshot(2, 1, summary(Warmth::Down, 1)), now);
    handover.merge(&snapshot(2, 0, summary(Warmth::Warm, 3)), now);
    handover.merge(&snapshot(2, 60, summary(Warmth::Warm, 3)), now);
    let later = now + Duration::from_secs(3);
    let merged = handover.servers(later).next().unwrap();
    assert_eq!(merged.warmth, Warmth::Down);
    assert_eq!(merged.age, Duration::from_millis(3020));
}

#[test]
fn adopt_old_state_is_stale() {
    let spec = ShardSpec::new(1, vec![server(3, 220)]);
    let now = Duration::from_secs(100);
    let summary = |age| ServerSummary {
        server: 7,
        limit: 3,
        warmth: Warmth::Warm,
        usual: Duration::from_millis(10),
        age,
    };
    let mut limit = Limit::new(&spec.servers[0], &spec);
    assert!(!limit.is_stale(&spec, now), "a cold server is not stale");
    limit.adopt(&summary(route::limit::IDLE_STATE_TTL), now);
    assert!(limit.is_stale(&spec, now));
    limit.adopt(&summary(Duration::from_secs(1)), now);
    assert!(!limit.is_stale(&spec, now));
    limit.adopt(&summary(route::limit::IDLE_STATE_TTL), now);
    assert!(
        !limit.is_stale(&spec, now),
        "the more recent response counts"
    );
    limit.record(Outcome::Done, 0.01, 0.01, &spec, now);
    assert!(!limit.is_stale(&spec, now));
}

#[test]
fn record_late_marks_server_down_only_after_long_waits() {
    let spec = ShardSpec::new(1, vec![server(3, 220)]);
    let now = Duration::from_secs(100);
    let late = |took: f64| {
        let mut limit = Limit::new(&spec.servers[0], &spec);
        for _ in 0..10 {
            limit.record(Outcome::Late, took, 0.01, &spec, now);
        }
        limit.warmth(&spec)
    };
    assert_eq!(late(1.0), Warmth::Down);
    // Calls that were given up after two usual service times say little about the server.
    assert_eq!(late(0.02), Warmth::Cold);
}

/// Makes one call from the only VM, and returns the server that the call was sent to.
/// `took` returns the service time in milliseconds at a given server.
fn call_once(ledger: &mut Ledger, id: u64, took: impl Fn(u64) -> u64, now: Time) -> u64 {
    let epoch = ledger.epoch();
    let request = PermitRequest {
        class: Class::Interactive,
        left: Duration::from_secs(1),
        goal: Duration::from_secs(1),
        late_wait: Duration::from_secs(1) / 8,
        kind: AttemptKind::First,
        avoid: Vec::new(),
        domain: 0,
        ranking: None,
    };
    let call = id;
    ledger.receive(
        1,
        Body::Acquire {
            epoch,
            call,
            ask: request,
        },
        now,
    );
    let granted = ledger.take_actions().into_iter().find_map(|action| {
        let Action::Send(envelope) = action else {
            return None;
        };
        match envelope.msg.body {
            Body::Grant { server, .. } => Some(server),
            _ => None,
        }
    });
    let server = granted.unwrap();
    let took = Duration::from_millis(took(server));
    let release = Release {
        call,
        server,
        outcome: Outcome::Done,
        took,
        load: None,
    };
    ledger.receive(1, Body::Release { epoch, release }, now + took);
    server
}

#[test]
fn acquire_slower_server_is_tried_again() {
    let servers = [1, 2].map(|id| ServerSpec {
        id,
        ..server(2, 220)
    });
    let fleet = Fleet {
        vms: &[1],
        alive: &[1],
        undiscovered: 0,
    };
    let mut now = Duration::from_secs(10);
    let spec = std::sync::Arc::new(ShardSpec::new(1, servers.to_vec()));
    let home = HomeId { vm: 1, instance: 1 };
    let mut ledger = Ledger::new(home, Epoch::default(), spec, fleet, now);
    let attach = Body::Attach {
        epoch: ledger.epoch(),
        holding: FollowerReport::default(),
        snapshot: Snapshot::default(),
    };
    ledger.receive(1, attach, now);
    // The first call takes 10 ms at server 1 and 20 ms at server 2. Later calls take 9 to
    // 11 ms at both.
    let mut served = [0, 0];
    for id in 1..1500 {
        let counts = served;
        let took = |server: u64| match counts[server as usize - 1] {
            0 => 10 * server,
            n => 9 + n % 3,
        };
        let server = call_once(&mut ledger, id, took, now);
        served[server as usize - 1] += 1;
        now += Duration::from_millis(25);
        ledger.tick(now);
    }
    // A server's own average loses half of its weight per second without a response, so
    // the slower server is tried several times within the 37 s that the calls take.
    assert!(served.iter().all(|count| *count >= 5), "{served:?}");
}

#[test]
fn acquire_unresponsive_server_is_used_after_next_response() {
    let fleet = Fleet {
        vms: &[1],
        alive: &[1],
        undiscovered: 0,
    };
    let mut now = Duration::from_secs(10);
    let mut spec = ShardSpec::new(1, vec![server(4, 220)]);
    spec.cold_limit = 4;
    let home = HomeId { vm: 1, instance: 1 };
    let mut ledger = Ledger::new(
        home,
        Epoch::default(),
        std::sync::Arc::new(spec),
        fleet,
        now,
    );
    let epoch = ledger.epoch();
    let attach = Body::Attach {
        epoch,
        holding: FollowerReport::default(),
        snapshot: Snapshot::default(),
    };
    ledger.receive(1, attach, now);
    call_once(&mut ledger, 1, |_| 10, now);
    now += Duration::from_millis(20);
    ledger.tick(now);
    let request = PermitRequest {
        class: Class::Interactive,
        left: Duration::from_secs(60),
        goal: Duration::from_secs(60),
        late_wait: Duration::from_secs(60) / 8,
        kind: AttemptKind::First,
        avoid: Vec::new(),
        domain: 0,
        ranking: None,
    };
    let grants = |ledger: &mut Ledger| {
        let is_grant = |action: &Action| match action {
            Action::Send(envelope) => matches!(envelope.msg.body, Body::Grant { .. }),
            _ => false,
        };
        ledger.take_actions().iter().filter(|a| is_grant(a)).count()
    };
    let acquire = |ledger: &mut Ledger, call, now| {
        let request = request.clone();
        ledger.receive(
            1,
            Body::Acquire {
                epoch,
                call,
                ask: request,
            },
            now,
        );
        grants(ledger)
    };
    // Two long calls begin, and the server does not respond for 20 usual service times,
    // after which it counts as unresponsive.
    assert_eq!(acquire(&mut ledger, 2, now), 1);
    now += Duration::from_millis(150);
    assert_eq!(acquire(&mut ledger, 3, now), 1);
    now += Duration::from_millis(150);
    assert_eq!(
        acquire(&mut ledger, 4, now),
        0,
        "the server counts as unresponsive"
    );
    now += Duration::from_millis(60);
    ledger.tick(now);
    assert_eq!(grants(&mut ledger), 1, "the server gets one trial call");
    let release = Release {
        call: 4,
        server: 7,
        outcome: Outcome::Done,
        took: Duration::from_millis(10),
        load: None,
    };
    now += Duration::from_millis(10);
    ledger.receive(1, Body::Release { epoch, release }, now);
    assert_eq!(acquire(&mut ledger, 5, now), 1);
    assert_eq!(acquire(&mut ledger, 6, now), 1);
}
