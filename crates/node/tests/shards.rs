//! Shards as a VM chooses among them.

use std::sync::Arc;
use std::time::Duration;

use base::Time;
use node::shard::ShardState;
use route::ShardSpec;

const NOW: Time = Duration::from_secs(10);
const AFTER: Duration = Duration::from_millis(100);

fn shard() -> ShardState {
    ShardState::new(1, 1, Arc::new(ShardSpec::new(1, Vec::new())), None)
}

/// Load: notices are refused while the shard has room for tolls, which must not leave their
/// failure domain for it.
#[test]
fn mark_full_by_a_low_rank_leaves_the_shard_to_higher_ones() {
    let shard = shard();
    let full = |rank, now| shard.candidate(rank, now).full;
    shard.mark_full(Some(2), AFTER, NOW);
    assert!(full(Some(2), NOW) && full(Some(3), NOW));
    assert!(!full(Some(0), NOW) && !full(Some(1), NOW));
    shard.mark_full(Some(1), AFTER, NOW);
    shard.mark_full(Some(3), AFTER, NOW);
    assert!(full(Some(1), NOW) && !full(Some(0), NOW));
    let later = NOW + AFTER;
    assert!(!full(Some(3), later));
    shard.mark_full(Some(3), AFTER, later);
    assert!(!full(Some(1), later), "what was refused before has passed");
}

#[test]
fn mark_full_without_a_rank_holds_for_all_calls() {
    let shard = shard();
    assert!(!shard.candidate(None, NOW).full);
    shard.mark_full(None, AFTER, NOW);
    assert!(shard.candidate(None, NOW).full && shard.candidate(Some(0), NOW).full);
    shard.mark_full(Some(2), AFTER, NOW + AFTER);
    assert!(shard.candidate(None, NOW + AFTER).full);
}
