//! What the responses at one home show of a version, next to the old one.

use base::Outcome;
use base::ServerId;
use serde::Deserialize;
use serde::Serialize;

use super::verdict;
use super::VersionGroup;
use crate::msg::AttemptKind;
use crate::msg::PermitRequest;

/// The kind of a call: its class and its target latency on a logarithmic scale. Calls of
/// different routes mostly differ in it.
pub type KindId = u16;

/// The steps of the scale of target latencies in each doubling.
const STEPS_PER_DOUBLING: f64 = 4.0;
/// The kinds that are counted separately. All others are counted as [`OTHER_KIND`].
const KINDS_MAX: usize = 12;
/// Calls of kinds beyond [`KINDS_MAX`], and second attempts, whose target latency has
/// passed in part.
const OTHER_KIND: KindId = KindId::MAX;
/// How many times the median of the old version makes a response slow.
const SLOW_FACTOR: f64 = 3.0;
/// The responses of the old version that a median needs.
const MEDIAN_SAMPLES_MIN: u32 = 8;
/// The responses after which older ones count half in the median.
const MEDIAN_SAMPLES_MAX: u32 = 1024;
/// The servers of the version from which on the worst one is left out.
const SERVERS_MIN: usize = 3;
/// The bad responses of the worst server from which on they are left out. Single ones at
/// many homes and kinds of calls would add up to many that are of different servers.
const WORST_MIN: u32 = 2;
/// The buckets of [`Times`].
const BUCKETS: usize = 64;
/// The buckets of [`Times`] in each doubling.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Returns the kind of the call of `request`.
pub fn kind_of(request: &PermitRequest) -> KindId {
    if request.kind != AttemptKind::First {
        return OTHER_KIND;
    }
    let millis = request.goal.as_secs_f64() * 1e3;
    let step = (millis.max(1.0).log2() * STEPS_PER_DOUBLING).round() as KindId;
    (request.class.rank() as KindId) << 8 | step.min(255)
}

/// The responses of the servers of one version to calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All responses, and calls that got none.
    pub total: u32,
    /// Those that are failures of the server.
    pub failed: u32,
    /// Other responses that are much slower than those of the old version.
    pub slow: u32,
    /// Failed and slow responses of the server that has most of them, 0 if there are few
    /// servers. One bad server is not a bad version.
    pub worst: u32,
}

impl Tally {
    /// Returns the responses that are failed or slow.
    pub fn bad(&self) -> u32 {
        self.failed + self.slow
    }

    /// Adds the responses of `other`, which other homes have counted.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.slow += other.slow;
        self.worst += other.worst;
    }
}

/// The responses to calls of one kind, for both versions over the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindEvidence {
    /// The kind of the calls.
    pub kind: KindId,
    /// The responses of the old version.
    pub old: Tally,
    /// The responses of the version on trial.
    pub target: Tally,
}

/// Adds the evidence of `kind` to `kinds`, which is sorted.
pub fn merge(kinds: &mut Vec<KindEvidence>, kind: &KindEvidence) {
    match kinds.binary_search_by_key(&kind.kind, |known| known.kind) {
        Ok(index) => {
            kinds[index].old.add(&kind.old);
            kinds[index].target.add(&kind.target);
        }
        Err(index) => kinds.insert(index, *kind),
    }
}

/// A histogram of times on a logarithmic scale from a millisecond on.
#[derive(Clone, Debug)]
struct Times {
    buckets: [u16; BUCKETS],
    total: u32,
}

impl Times {
    fn new() -> Self {
        Self {
            buckets: [0; BUCKETS],
            total: 0,
        }
    }

    fn add(&mut self, secs: f64) {
        let step = (secs * 1e3).max(1.0).log2() * BUCKETS_PER_DOUBLING;
        self.buckets[(step as usize).min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= MEDIAN_SAMPLES_MAX {
            for bucket in &mut self.buckets {
                *bucket /= 2;
            }
            self.total = self.buckets.iter().map(|count| u32::from(*count)).sum();
        }
    }

    /// Returns the upper bound of the bucket with the median, in seconds.
    fn median(&self) -> Option<f64> {
        if self.total < MEDIAN_SAMPLES_MIN {
            return None;
        }
        let mut seen = 0;
        let index = self.buckets.iter().position(|count| {
            seen += u32::from(*count);
            seen * 2 >= self.total
        })?;
        Some(((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() / 1e3)
    }
}

/// The counts of one kind of call at a home.
#[derive(Clone, Debug)]
struct KindCounts {
    counts: KindEvidence,
    old_times: Times,
    /// Bad responses by server of the version on trial.
    servers: Vec<(ServerId, u32)>,
}

/// The evidence that one home has.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    kinds: Vec<KindCounts>,
    bad: bool,
}

impl Evidence {
    /// Records the end of an attempt; see [`super::Exposure::record_end`].
    pub fn record(
        &mut self,
        (server, group): (ServerId, VersionGroup),
        kind: KindId,
        outcome: Outcome,
        took: f64,
        cold: bool,
    ) {
        let failed = match outcome {
            Outcome::Done | Outcome::Cancelled => false,
            Outcome::Failed | Outcome::Broken | Outcome::Late => true,
            // The server did not run the call.
            Outcome::Shed | Outcome::Unreachable | Outcome::Unused => return,
        };
        let counts = self.find(kind);
        let median = counts.old_times.median();
        let slow = !failed && !cold && median.is_some_and(|median| took > median * SLOW_FACTOR);
        // A caller may give a call up because it is slow. Others show nothing.
        if outcome == Outcome::Cancelled && !slow {
            return;
        }
        let tally = match group {
            VersionGroup::Old => &mut counts.counts.old,
            VersionGroup::Target => &mut counts.counts.target,
        };
        tally.total += 1;
        tally.failed += u32::from(failed);
        tally.slow += u32::from(slow);
        match group {
            VersionGroup::Old if outcome == Outcome::Done && !cold => counts.old_times.add(took),
            VersionGroup::Old => {}
            VersionGroup::Target => {
                counts.record_server(server, failed || slow);
                self.bad = self.bad || verdict::is_clear(&self.kinds());
            }
        }
    }

    /// Returns whether the counts have shown that the version is bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// Returns the number of bad responses of the version on trial.
    pub fn bad_responses(&self) -> u32 {
        let kinds = self.kinds.iter();
        kinds.map(|kind| kind.counts.target.bad()).sum()
    }

    /// Returns the counts by kind, sorted.
    pub fn kinds(&self) -> Vec<KindEvidence> {
        self.kinds.iter().map(|kind| kind.counts).collect()
    }

    fn find(&mut self, kind: KindId) -> &mut KindCounts {
        let position =
            |kinds: &[KindCounts], id| kinds.binary_search_by_key(&id, |k| k.counts.kind);
        let full = self.kinds.len() >= KINDS_MAX;
        let id = match position(&self.kinds, kind) {
            Err(_) if full => OTHER_KIND,
            _ => kind,
        };
        let index = position(&self.kinds, id).unwrap_or_else(|index| {
            let counts = KindEvidence {
                kind: id,
                ..KindEvidence::default()
            };
            let new = KindCounts {
                counts,
                old_times: Times::new(),
                servers: Vec::new(),
            };
            self.kinds.insert(index, new);
            index
        });
        &mut self.kinds[index]
    }
}

impl KindCounts {
    /// Records a response of `server`, and which server of the version is the worst.
    fn record_server(&mut self, server: ServerId, bad: bool) {
        let found = self.servers.binary_search_by_key(&server, |known| known.0);
        let index = found.unwrap_or_else(|index| {
            self.servers.insert(index, (server, 0));
            index
        });
        self.servers[index].1 += u32::from(bad);
        let worst = self.servers.iter().map(|known| known.1).max();
        let several = self.servers.len() >= SERVERS_MIN;
        self.counts.target.worst = worst
            .filter(|bad| several && *bad >= WORST_MIN)
            .unwrap_or(0);
    }
}
