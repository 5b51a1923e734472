//! Tests which servers a roll-out closes.

use std::time::Duration;

use conf::RolloutState;
use node::specs;
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
