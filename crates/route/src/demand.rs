//! How much room the calls of each rank have needed lately.
//!
//! From it follows what is left to a rank once the calls of higher ranks are served, so a
//! call that would wait in vain is refused at once; and how many slots have to stay free
//! for calls that cannot wait until one that runs long has ended. See
//! `docs/design/overload.md`.

use std::time::Duration;

use base::Rank;
use base::Time;

/// The time in which a count falls to 1/e.
const MEMORY: Duration = Duration::from_secs(1);
/// The most ranks that are told apart; those beyond count as the last one.
const RANKS_MAX: usize = 16;
/// The part of the slots that all calls need from which on there is too little room.
const SCARCE: f64 = 0.75;
/// The largest part of the slots that is kept free.
const RESERVE_MAX: f64 = 0.5;

/// Calls of one or more ranks, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Calls.
    pub calls: f64,
    /// The slots that they keep busy.
    pub slots: f64,
    /// The sum of the times that they can wait, in seconds.
    pub slack: f64,
}

/// The recent demand by rank.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Sorted by rank.
    ranks: Vec<(Rank, Flow)>,
    updated_at: Time,
}

impl Demand {
    /// Counts a call of `rank` that keeps a slot busy for `work` and can wait for `slack`.
    pub fn record(&mut self, rank: Rank, work: Duration, slack: Duration, now: Time) {
        self.decay(now);
        let per_sec = 1.0 / MEMORY.as_secs_f64();
        let index = self.index_of(rank);
        let flow = &mut self.ranks[index].1;
        flow.calls += per_sec;
        flow.slots += work.as_secs_f64() * per_sec;
        flow.slack += slack.as_secs_f64() * per_sec;
    }

    /// Returns the demand of all ranks above `rank` as of `now`.
    pub fn above(&self, rank: Rank, now: Time) -> Flow {
        self.sum(|other| other < rank, now)
    }

    /// Returns the part of `slots` that calls above `rank` leave, at least a twentieth.
    pub fn left(&self, rank: Rank, slots: f64, now: Time) -> f64 {
        (1.0 - self.above(rank, now).slots / slots.max(1.0)).max(0.05)
    }

    /// Returns how many of `slots` calls of `rank` and below may not use.
    ///
    /// It is what calls above `rank` keep busy, with one standard deviation of a Poisson
    /// distribution, less the slots that become free while such a call can wait. While there
    /// is room for all, it is nothing, and it vanishes when no such calls come any more.
    pub fn reserve(&self, rank: Rank, slots: f64, now: Time) -> f64 {
        let above = self.above(rank, now);
        let others = self.sum(|other| other >= rank, now);
        let is_scarce = above.slots + others.slots >= SCARCE * slots;
        if above.calls <= 0.0 || others.slots <= 0.0 || !is_scarce {
            return 0.0;
        }
        let wait_secs = above.slack / above.calls;
        let hold_secs = others.slots / others.calls;
        let freed = (slots - above.slots).max(0.0) / hold_secs * wait_secs;
        let needed = above.slots + above.slots.sqrt() - freed;
        needed.clamp(0.0, slots * RESERVE_MAX)
    }

    fn sum(&self, counts: impl Fn(Rank) -> bool, now: Time) -> Flow {
        let factor = decay_factor(now.saturating_sub(self.updated_at));
        let flows = self.ranks.iter().filter(|(rank, _)| counts(*rank));
        flows.fold(Flow::default(), |sum, (_, flow)| Flow {
            calls: sum.calls + flow.calls * factor,
            slots: sum.slots + flow.slots * factor,
            slack: sum.slack + flow.slack * factor,
        })
    }

    fn decay(&mut self, now: Time) {
        let factor = decay_factor(now.saturating_sub(self.updated_at));
        self.updated_at = self.updated_at.max(now);
        for (_, flow) in &mut self.ranks {
            flow.calls *= factor;
            flow.slots *= factor;
            flow.slack *= factor;
        }
    }

    /// Returns the index of `rank`, which is added if there is room for one more.
    fn index_of(&mut self, rank: Rank) -> usize {
        match self.ranks.binary_search_by_key(&rank, |known| known.0) {
            Ok(index) => index,
            Err(index) if self.ranks.len() < RANKS_MAX => {
                self.ranks.insert(index, (rank, Flow::default()));
                index
            }
            Err(index) => index.min(RANKS_MAX - 1),
        }
    }
}

fn decay_factor(age: Duration) -> f64 {
    (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
}
