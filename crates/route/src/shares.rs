//! How often the calls of each kind and of each team were served lately.
//!
//! Under overload, an order by rank alone would leave the last rank nothing, and the team
//! that sends most would push out the others of its rank. The home therefore counts, with
//! a memory of a few seconds, how many calls of each kind and team asked for a permit and
//! how many of them were served or queued. Where these shares are uneven beyond a bound,
//! the calls that came off badly go first. The tables are bounded. See
//! `docs/design/overload.md`.

use std::time::Duration;

use base::Rank;
use base::Time;

use crate::msg::Ranking;

/// The time in which a count falls to 1/e.
const MEMORY: Duration = Duration::from_secs(4);
/// The shortest time between two updates of the counts for their age.
const DECAY_PERIOD: Duration = Duration::from_millis(50);
/// The most kinds, and the most teams, that are counted.
const RECORDS_MAX: usize = 256;
/// The calls from which on a share says something.
const ASKED_MIN: f64 = 3.0;
/// The least share of a kind, as a part of the share of all calls.
const KIND_SHARE_MIN: f64 = 0.4;
/// The least share of a team, as a part of the share of all calls of its rank.
const TEAM_SHARE_MIN: f64 = 0.65;
/// The share of a team that asks far more than the others, as a part of theirs.
const HEAVY_WEIGHT_MIN: f64 = 0.7;
/// Steps of the level for each factor of two of the share.
const LEVEL_STEPS: f64 = 2.0;
/// The least share that has a level of its own, as a power of two.
const LEVEL_LOG_MIN: f64 = -8.0;

/// How well a call's kind and team have been served lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether calls of the kind got less than their least share.
    pub kind_short: bool,
    /// Whether calls of the team got less than its least share of the rank.
    pub team_short: bool,
    /// The share of the team's calls that were served, in logarithmic steps.
    pub level: u8,
}

/// Calls that asked for a permit and that were served, weighted by age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    asked: f64,
    served: f64,
}

/// The tally of one kind or team; the key is a rank and what tells those of a rank apart.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Record {
    key: (Rank, u64),
    tally: Tally,
}

/// Records by key, sorted.
#[derive(Clone, Debug, Default)]
struct Table(Vec<Record>);

/// The recent shares of kinds and teams.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    kinds: Table,
    teams: Table,
    decayed_at: Time,
}

impl Shares {
    /// Counts a call that asks for a permit.
    pub fn ask(&mut self, ranking: &Ranking, now: Time) {
        self.decay(now);
        self.kinds.entry(kind_key(ranking)).asked += 1.0;
        self.teams.entry(team_key(ranking)).asked += 1.0;
    }

    /// Counts a call that was granted a permit or queued.
    pub fn serve(&mut self, ranking: &Ranking) {
        self.kinds.entry(kind_key(ranking)).served += 1.0;
        self.teams.entry(team_key(ranking)).served += 1.0;
    }

    /// Takes back that a call was served, as it was refused after it had been queued.
    pub fn withdraw(&mut self, ranking: &Ranking) {
        for tally in [
            self.kinds.entry(kind_key(ranking)),
            self.teams.entry(team_key(ranking)),
        ] {
            tally.served = (tally.served - 1.0).max(0.0);
        }
    }

    /// Returns how well the kind and the team of a call were served.
    pub fn standing(&self, ranking: &Ranking) -> Standing {
        let peers = self.teams.of_rank(ranking.rank);
        self.judge(ranking, self.kinds.total(), peers)
    }

    /// Returns the standings of all calls, for many of them at once.
    pub fn standings(&self) -> Standings<'_> {
        let mut ranks: Vec<Rank> = self.teams.0.iter().map(|record| record.key.0).collect();
        ranks.dedup();
        let peers = |rank| (rank, self.teams.of_rank(rank));
        Standings {
            shares: self,
            total: self.kinds.total(),
            peers: ranks.into_iter().map(peers).collect(),
        }
    }

    fn judge(&self, ranking: &Ranking, total: Tally, peers: Peers) -> Standing {
        let kind = self.kinds.get(kind_key(ranking));
        let team = self.teams.get(team_key(ranking));
        Standing {
            kind_short: kind.is_short(total, KIND_SHARE_MIN),
            team_short: team.is_short(peers.tally, TEAM_SHARE_MIN),
            level: level(team.share() / peers.weight(team)),
        }
    }

    /// Ages the counts.
    fn decay(&mut self, now: Time) {
        let age = now.saturating_sub(self.decayed_at);
        if age < DECAY_PERIOD {
            return;
        }
        self.decayed_at = now;
        let factor = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.kinds.scale(factor);
        self.teams.scale(factor);
    }
}

/// The standings of all calls at one time.
#[derive(Clone, Debug)]
pub struct Standings<'a> {
    shares: &'a Shares,
    total: Tally,
    /// Sorted by rank.
    peers: Vec<(Rank, Peers)>,
}

impl Standings<'_> {
    /// Returns how well the kind and the team of a call were served.
    pub fn of(&self, ranking: &Ranking) -> Standing {
        let found = self
            .peers
            .binary_search_by_key(&ranking.rank, |peers| peers.0);
        let peers = found.map_or_else(|_| Peers::default(), |index| self.peers[index].1);
        self.shares.judge(ranking, self.total, peers)
    }
}

/// Calls of the same rank and target latency count as a kind.
fn kind_key(ranking: &Ranking) -> (Rank, u64) {
    (ranking.rank, ranking.target.as_micros() as u64)
}

fn team_key(ranking: &Ranking) -> (Rank, u64) {
    (ranking.rank, ranking.team)
}

/// Returns the step of `share` on a logarithmic scale.
fn level(share: f64) -> u8 {
    ((share.log2().max(LEVEL_LOG_MIN) - LEVEL_LOG_MIN) * LEVEL_STEPS) as u8
}

/// The calls of all teams of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Peers {
    tally: Tally,
    teams: u32,
}

impl Peers {
    /// Returns the weight of a call of `team`, which falls with the number of its calls.
    ///
    /// With equal weights a team that sends five times as many calls as the others would
    /// get five times as much room. With a weight by number alone it would starve.
    fn weight(&self, team: Tally) -> f64 {
        let mean = self.tally.asked / f64::from(self.teams.max(1));
        (mean / team.asked.max(mean * 0.01).max(f64::MIN_POSITIVE)).clamp(HEAVY_WEIGHT_MIN, 1.0)
    }
}

impl Tally {
    /// Returns the share of the calls that were served; all if there were none.
    fn share(self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }

    /// Returns whether the share is below the part `least` of that of `all`.
    fn is_short(self, all: Tally, least: f64) -> bool {
        self.asked >= ASKED_MIN && self.share() < least * all.share()
    }
}

impl Table {
    fn get(&self, key: (Rank, u64)) -> Tally {
        let found = self.0.binary_search_by_key(&key, |record| record.key);
        found.map_or_else(|_| Tally::default(), |index| self.0[index].tally)
    }

    /// Returns the tally of `key`. A new one takes the place of the smallest if the table
    /// is full.
    fn entry(&mut self, key: (Rank, u64)) -> &mut Tally {
        let find = |table: &Self| table.0.binary_search_by_key(&key, |record| record.key);
        let index = find(self).unwrap_or_else(|_| {
            self.make_room();
            let index = find(self).unwrap_or_else(|index| index);
            let tally = Tally::default();
            self.0.insert(index, Record { key, tally });
            index
        });
        &mut self.0[index].tally
    }

    fn make_room(&mut self) {
        if self.0.len() < RECORDS_MAX {
            return;
        }
        let asked = |index: &usize| self.0[*index].tally.asked;
        let least = (0..self.0.len()).min_by(|a, b| asked(a).total_cmp(&asked(b)));
        if let Some(index) = least {
            self.0.remove(index);
        }
    }

    fn scale(&mut self, factor: f64) {
        for record in &mut self.0 {
            record.tally.asked *= factor;
            record.tally.served *= factor;
        }
        self.0.retain(|record| record.tally.asked > 0.01);
    }

    fn total(&self) -> Tally {
        sum(self.0.iter())
    }

    fn of_rank(&self, rank: Rank) -> Peers {
        let from = self.0.partition_point(|record| record.key.0 < rank);
        let to = self.0.partition_point(|record| record.key.0 <= rank);
        let records = &self.0[from..to];
        let active = records.iter().filter(|r| r.tally.asked >= 1.0);
        Peers {
            tally: sum(records.iter()),
            teams: active.count() as u32,
        }
    }
}

fn sum<'a>(records: impl Iterator<Item = &'a Record>) -> Tally {
    records.fold(Tally::default(), |sum, record| Tally {
        asked: sum.asked + record.tally.asked,
        served: sum.served + record.tally.served,
    })
}
