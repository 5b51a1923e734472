//! Chooses the shard of a service that a call is sent to.
//!
//! A service with servers in several failure domains can have a shard, with a home of
//! its own, in each of them. A call stays in the failure domain of its entry VM while
//! a shard there has room, so that neither its permit request nor its body crosses a
//! link between domains. Otherwise it goes to a shard elsewhere that has room. See
//! `docs/design/homes.md`, "Shards".

use std::time::Duration;

use base::DomainId;

/// The longest time for which a shard that refused a call for lack of capacity is
/// passed over. In this time, about as many of its calls end as are needed for it to
/// have room again.
pub const FULL_BACKOFF_MAX: Duration = Duration::from_millis(200);

/// The capacity of a shard as one VM knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardCapacity {
    /// The failure domain of the shard's servers, or none if they may be in several.
    pub domain: Option<DomainId>,
    /// The slots of the shard's servers that may be given calls.
    pub slots: u32,
    /// Whether the shard recently refused a call for lack of capacity; see
    /// [`FULL_BACKOFF_MAX`].
    pub full: bool,
}

/// Returns the index of the shard for a call that was received in `domain`, or none
/// if there are no shards.
///
/// Shards in `domain` that are not full come first, then other shards that are not
/// full, then full ones, local ones first. `draw` is a random number from 0 to 1 that
/// chooses among equal shards, weighted by their slots.
pub fn choose(shards: &[ShardCapacity], domain: DomainId, draw: f64) -> Option<usize> {
    let open = |shard: &ShardCapacity| shard.slots > 0 && !shard.full;
    let local = |shard: &ShardCapacity| shard.domain == Some(domain);
    let local_open = pick(shards, |s| open(s) && local(s), draw);
    let any_open = || pick(shards, open, draw);
    // If all shards are full, a local one refuses the call as well as any other.
    let local_full = || pick(shards, |s| s.slots > 0 && local(s), draw);
    local_open
        .or_else(any_open)
        .or_else(local_full)
        .or_else(|| pick(shards, |s| s.slots > 0, draw))
        .or_else(|| (!shards.is_empty()).then_some(0))
}

/// Returns the index of the shard that `draw` selects among those that satisfy
/// `predicate`, weighted by their slots.
fn pick(
    shards: &[ShardCapacity],
    predicate: impl Fn(&ShardCapacity) -> bool,
    draw: f64,
) -> Option<usize> {
    let matching = || {
        shards
            .iter()
            .enumerate()
            .filter(|(_, shard)| predicate(shard))
    };
    let total: f64 = matching().map(|(_, shard)| f64::from(shard.slots)).sum();
    let mut remaining = draw * total;
    let mut last = None;
    for (i, shard) in matching() {
        last = Some(i);
        remaining -= f64::from(shard.slots);
        if remaining < 0.0 {
            break;
        }
    }
    last
}
