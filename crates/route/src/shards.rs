//! Which shard of a service a call is sent to.
//!
//! The load that this answers: services whose servers stand in several failure
//! domains, with a home each. A call stays in its own domain, where neither its
//! permit nor its body crosses a link between domains, as long as there is room;
//! what does not fit goes to where there is some. See `docs/design/homes.md`,
//! "Shards".

use std::time::Duration;

use base::DomainId;

/// The longest time for which a shard that refused a call is passed over, in
/// which about as many calls end at it as have to for there to be room.
pub const FULL_BACKOFF_MAX: Duration = Duration::from_millis(200);

/// What is known of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardCapacity {
    /// The failure domain of its servers; none if they stand in several.
    pub domain: Option<DomainId>,
    /// The slots of its servers that may get work.
    pub slots: u32,
    /// Whether it refused a call for want of room a moment ago.
    pub full: bool,
}

/// Returns the place of the shard for a call that came in at `domain`; `draw` is
/// a number from 0 to 1 that decides between others by their slots.
pub fn choose(shards: &[ShardCapacity], domain: DomainId, draw: f64) -> Option<usize> {
    let open = |shard: &ShardCapacity| shard.slots > 0 && !shard.full;
    let near = |shard: &ShardCapacity| shard.domain == Some(domain);
    let with_room = pick(shards, |s| open(s) && near(s), draw);
    let elsewhere = || pick(shards, open, draw);
    // Where all are full the near one's refusal is as good as any.
    let full = || pick(shards, |s| s.slots > 0 && near(s), draw);
    with_room
        .or_else(elsewhere)
        .or_else(full)
        .or_else(|| pick(shards, |s| s.slots > 0, draw))
        .or_else(|| (!shards.is_empty()).then_some(0))
}

fn pick(
    shards: &[ShardCapacity],
    fits: impl Fn(&ShardCapacity) -> bool,
    draw: f64,
) -> Option<usize> {
    let fitting = || shards.iter().enumerate().filter(|(_, shard)| fits(shard));
    let all: f64 = fitting().map(|(_, shard)| f64::from(shard.slots)).sum();
    let mut left = draw * all;
    let mut last = None;
    for (at, shard) in fitting() {
        last = Some(at);
        left -= f64::from(shard.slots);
        if left < 0.0 {
            break;
        }
    }
    last
}
