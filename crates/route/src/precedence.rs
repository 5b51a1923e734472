//! The order in which calls are served while there is too little room, and so which of
//! them gives way.
//!
//! One order decides who is served first, who is turned away, who is displaced from the
//! queue and when a refused caller should come back. A kind of calls or a team that has got
//! far less than the others goes first, so that none starves. Then the rank decides, then
//! whether the target latency can still be met, and then what serving the call costs: of
//! two calls whose refusal costs the same, the one that needs a slot for a shorter time
//! leaves room for more of the others. See `docs/design/overload.md`.

use base::Class;
use base::Rank;
use base::Time;

use crate::msg::Ranking;
use crate::shares::Standing;

/// The place of a call among those that wait; the least one is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Whether calls of this kind have got their least share.
    pub settled: bool,
    /// The priority.
    pub rank: Rank,
    /// Whether the target latency cannot be met any more.
    pub late: bool,
    /// Whether the team has got its least share of the rank.
    pub team_settled: bool,
    /// The magnitude of the slot time that the call needs.
    pub work: u8,
    /// How well the team has been served, in steps.
    pub level: u8,
    /// The deadline of the call.
    pub deadline: Time,
}

impl Precedence {
    /// Returns the place of a call of which only the class is known.
    pub fn by_class(class: Class, late: bool, deadline: Time) -> Self {
        Self {
            settled: true,
            rank: rank_of(class),
            late,
            team_settled: true,
            work: 0,
            level: 0,
            deadline,
        }
    }

    /// Returns the place of a call with the properties `ranking`, of a kind and a team that
    /// have been served as `standing` says.
    pub fn by_rank(ranking: &Ranking, standing: Standing, late: bool, deadline: Time) -> Self {
        Self {
            settled: !standing.kind_short,
            rank: ranking.rank,
            late,
            team_settled: !standing.team_short,
            work: magnitude(ranking.work.as_millis()),
            level: standing.level,
            deadline,
        }
    }
}

/// Returns the rank of a call of which only the class is known.
///
/// The most urgent class holds two ranks, and the call may be of either, so it is taken for
/// the less urgent one.
pub fn rank_of(class: Class) -> Rank {
    class.rank() as Rank + 1
}

/// Returns the number of binary digits of `millis`: times that are nearly the same must
/// compare as equal, as they are estimates.
fn magnitude(millis: u128) -> u8 {
    (u128::BITS - millis.leading_zeros()) as u8
}
