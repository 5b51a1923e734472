//! What a new home takes over from the previous one about the servers.
//!
//! Each follower keeps the last snapshot that it received from a home. Snapshots
//! can be lost, so a follower may still consider a server warm that has just
//! restarted. A new home merges the snapshots of its followers: among the recent
//! snapshots of the latest epoch, the most cautious summary of each server wins.
//! Older snapshots count only while there is no recent one.

use std::time::Duration;

use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::epoch::Epoch;
use crate::msg::ServerSummary;

/// The age up to which a snapshot counts as recent. Followers that request permits
/// get snapshots more often than this.
const RECENT_AGE_MAX: Duration = Duration::from_millis(2500);

/// The state of the servers as a follower last received it from a home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The epoch of the home that sent it.
    pub source: Epoch,
    /// How long ago the follower received it.
    pub age: Duration,
    /// The servers at the time at which the follower passes the snapshot on, sorted
    /// by id. The follower's own observations since then are included.
    #[serde(rename = "lines")]
    pub servers: Vec<ServerSummary>,
}

/// A server summary with the time at which it was up to date.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DatedSummary {
    pub(crate) summary: ServerSummary,
    as_of: Time,
}

impl DatedSummary {
    /// Creates a summary that is up to date at `now`.
    pub(crate) fn new(summary: ServerSummary, now: Time) -> Self {
        Self {
            summary,
            as_of: now,
        }
    }

    /// Returns the summary with its age advanced to `now`.
    pub(crate) fn at(&self, now: Time) -> ServerSummary {
        ServerSummary {
            age: self.summary.age + now.saturating_sub(self.as_of),
            ..self.summary
        }
    }

    /// Records that the server responded at `now`.
    pub(crate) fn mark_responded(&mut self, now: Time) {
        self.summary.age = Duration::ZERO;
        self.as_of = now;
    }
}

/// The merged snapshots that a new home has received so far.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    source: Epoch,
    recent: bool,
    servers: Vec<DatedSummary>,
}

impl Handover {
    /// Merges a snapshot that was received at `now`.
    ///
    /// A snapshot replaces the merged state if it is of a later epoch, or the first
    /// recent one of the same epoch. It is ignored if it is empty, of an earlier epoch,
    /// or not recent while the merged state of the same epoch is.
    pub fn merge(&mut self, snapshot: &Snapshot, now: Time) {
        let recent = snapshot.age <= RECENT_AGE_MAX;
        let (old, new) = ((self.source, self.recent), (snapshot.source, recent));
        if new < old || snapshot.servers.is_empty() {
            return;
        }
        if new > old {
            (self.source, self.recent) = new;
            self.servers.clear();
        }
        for summary in &snapshot.servers {
            self.merge_server(DatedSummary::new(*summary, now));
        }
    }

    fn merge_server(&mut self, new: DatedSummary) {
        let found = self
            .servers
            .binary_search_by_key(&new.summary.server, |known| known.summary.server);
        match found {
            Ok(i) => {
                let kept = &mut self.servers[i];
                let capacity = |summary: &ServerSummary| (summary.warmth, summary.limit);
                if capacity(&new.summary) < capacity(&kept.summary) {
                    *kept = new;
                }
            }
            Err(i) => self.servers.insert(i, new),
        }
    }

    /// Returns the merged summaries with their ages advanced to `now`, sorted by
    /// server id.
    pub fn servers(&self, now: Time) -> impl Iterator<Item = ServerSummary> + '_ {
        self.servers.iter().map(move |known| known.at(now))
    }
}
