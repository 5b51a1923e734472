//! What a new home takes over from the last one about the servers.
//!
//! Followers keep the last snapshot that a home told them. Snapshots may be lost, so
//! one follower may still think a server warm that has just restarted. Of the
//! recent snapshots of the latest epoch the most careful word on each server
//! counts; old snapshots count only where there is no recent one.

use std::time::Duration;

use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::epoch::Epoch;
use crate::msg::ServerSummary;

/// The age up to which a snapshot is recent: active followers hear more often.
const RECENT: Duration = Duration::from_millis(2500);

/// A snapshot as a follower keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The epoch of the home that told it.
    pub source: Epoch,
    /// How long ago that was.
    pub age: Duration,
    /// The servers as they are thought to be when the snapshot is sent, sorted by
    /// id.
    #[serde(rename = "lines")]
    pub servers: Vec<ServerSummary>,
}

/// A line with the time at which it was true.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DatedSummary {
    pub(crate) summary: ServerSummary,
    since: Time,
}

impl DatedSummary {
    /// Takes `line` for true `now`.
    pub(crate) fn new(line: ServerSummary, now: Time) -> Self {
        Self {
            summary: line,
            since: now,
        }
    }

    /// Returns the line with the age of what it says as it is `now`.
    pub(crate) fn at(&self, now: Time) -> ServerSummary {
        ServerSummary {
            age: self.summary.age + now.saturating_sub(self.since),
            ..self.summary
        }
    }

    /// Notes that the server has answered `now`.
    pub(crate) fn mark_responded(&mut self, now: Time) {
        self.summary.age = Duration::ZERO;
        self.since = now;
    }
}

/// The snapshots heard so far, merged.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    source: Epoch,
    recent: bool,
    known: Vec<DatedSummary>,
}

impl Handover {
    /// Takes one more snapshot, which has come `now`, into account.
    pub fn merge(&mut self, snapshot: &Snapshot, now: Time) {
        let recent = snapshot.age <= RECENT;
        let (old, new) = ((self.source, self.recent), (snapshot.source, recent));
        if new < old || snapshot.servers.is_empty() {
            return;
        }
        if new > old {
            (self.source, self.recent) = new;
            self.known.clear();
        }
        for line in &snapshot.servers {
            self.add(DatedSummary::new(*line, now));
        }
    }

    fn add(&mut self, new: DatedSummary) {
        let found = self
            .known
            .binary_search_by_key(&new.summary.server, |known| known.summary.server);
        match found {
            Ok(at) => {
                let kept = &mut self.known[at];
                let word = |line: &ServerSummary| (line.warmth, line.limit);
                if word(&new.summary) < word(&kept.summary) {
                    *kept = new;
                }
            }
            Err(at) => self.known.insert(at, new),
        }
    }

    /// Returns the servers as they are thought to be `now`, sorted by id.
    pub fn servers(&self, now: Time) -> impl Iterator<Item = ServerSummary> + '_ {
        self.known.iter().map(move |known| known.at(now))
    }
}
