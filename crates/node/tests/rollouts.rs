//! Tests which servers a roll-out closes, and which states deciders write.

use std::time::Duration;

use base::Time;
use conf::Rollout;
use conf::RolloutState;
use node::rollout_table::Entry;
use node::rollout_table::Outcome;
use node::rollout_table::RolloutTable;
use node::specs;
use route::rollout::KindEvidence;
use route::rollout::Phase;
use route::rollout::Report;
use route::rollout::Supply;
use route::rollout::Tally;
use route::rollout::Terms;
use route::rollout::VersionGroup;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::ShardSpec;

/// Returns which servers are open after a completion, with `targets` servers of its version
/// and `others` of other versions.
fn open_after_completion(targets: usize, others: usize) -> (usize, usize) {
    let server = |id| ServerSpec {
        id,
        domain: 0,
        slots: 8,
        connections: 4,
        open: true,
        version: VersionGroup::Old,
        announced: Announcement::Unknown,
    };
    let total = targets + others;
    let spec = ShardSpec::new(1, (0..total as u64).map(server).collect());
    let is_target: Vec<bool> = (0..total).map(|index| index < targets).collect();
    let terms = Terms {
        order: 7,
        share: 0.1,
        lease: Duration::from_secs(3),
    };
    let spec = specs::restrict(spec, &is_target, RolloutState::Completed, terms, true);
    let open = spec.servers.iter().map(|server| usize::from(server.open));
    let open: Vec<usize> = open.collect();
    (open[..targets].iter().sum(), open[targets..].iter().sum())
}

#[test]
fn restrict_completed_closes_old_servers() {
    assert_eq!(open_after_completion(4, 4), (4, 0));
    assert_eq!(open_after_completion(4, 8), (4, 0));
    assert_eq!(open_after_completion(0, 4), (0, 4));
}

#[test]
fn restrict_completed_lets_a_later_version_take_over() {
    assert_eq!(open_after_completion(1, 7), (1, 7));
}

const ORDER: u64 = 7;
const SUPPLY: Supply = Supply {
    target: 30,
    old: 30,
};

/// Returns a table that knows one order.
fn table() -> RolloutTable {
    let mut table = RolloutTable::default();
    let entry = Entry {
        name: "shop".to_owned(),
        revision: 1,
        rollout: Rollout {
            service: "shop".to_owned(),
            target: "v2".to_owned(),
            duration: Duration::from_secs(60),
            order: ORDER,
            state: Some(RolloutState::Running),
        },
    };
    table.sync(vec![entry], Time::ZERO);
    table
}

/// Returns the report of a home that switched.
fn report() -> Report {
    let tally = |total| Tally {
        total,
        ..Tally::default()
    };
    Report {
        order: ORDER,
        phase: Phase::Switch,
        kinds: vec![KindEvidence {
            kind: 1,
            old: tally(900),
            target: tally(30),
        }],
        ..Report::new(1, 1, Duration::from_secs(40))
    }
}

#[test]
fn decide_goes_on_completing_after_another_was_first() {
    let mut table = table();
    let at = Time::from_secs(10);
    table.record(1, report(), at);
    let at = at + Duration::from_secs(5);
    let decision = table.decide(ORDER, true, false, SUPPLY, at);
    assert!(matches!(decision, Some((Outcome::Completes, _))));
    let at = at + Duration::from_secs(5);
    assert!(table.decide(ORDER, false, false, SUPPLY, at).is_none());
    assert!(table.take_write(at).is_none());
    table.decide(ORDER, true, false, SUPPLY, at);
    let write = table.take_write(at).expect("a write is due");
    assert_eq!(write.state, RolloutState::Completed);
}

#[test]
fn decide_repeats_a_roll_back_while_homes_report() {
    let mut table = table();
    let mut at = Time::from_secs(10);
    table.record(1, report(), at);
    table.end(ORDER, RolloutState::RolledBack, false);
    for _ in 0..10 {
        at += Duration::from_secs(1);
        table.record(1, report(), at);
    }
    let decision = table.decide(ORDER, false, false, SUPPLY, at);
    assert!(matches!(decision, Some((Outcome::TellRollback, _))));
    let write = table.take_write(at).expect("a write is due");
    assert_eq!(write.state, RolloutState::RolledBack);
}
