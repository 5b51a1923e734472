//! A follower's copy of the server summaries, and its reports of the permits
//! that it holds.
//!
//! The follower keeps the summaries of the last snapshot with their age, and
//! adds what this VM has observed since. See `docs/design/limits.md`.

use std::time::Duration;

use base::ServerId;
use base::Time;

use super::Follower;
use super::Lingering;
use super::Stage;
use crate::epoch::Epoch;
use crate::handover::DatedSummary;
use crate::msg::FollowerReport;
use crate::msg::HeldPermit;
use crate::msg::Release;
use crate::msg::ServerSummary;
use crate::msg::Warmth;

/// The shortest time for which a server is assumed to run a cancelled call on.
const LINGER_MIN: Duration = Duration::from_millis(20);

impl Follower {
    /// Returns the summaries of the servers as of `now`, sorted by id: those of
    /// the last snapshot, with what this VM has observed since.
    pub fn server_summaries(&self, now: Time) -> impl Iterator<Item = ServerSummary> + '_ {
        self.summaries.iter().map(move |dated| dated.at(now))
    }

    /// Replaces all summaries with those of a snapshot from the home of the epoch
    /// `source`.
    pub(super) fn set_summaries(
        &mut self,
        source: Epoch,
        summaries: Vec<ServerSummary>,
        now: Time,
    ) {
        self.summaries.clear();
        self.summaries.extend(
            summaries
                .into_iter()
                .map(|summary| DatedSummary::new(summary, now)),
        );
        self.snapshot_epoch = source;
        self.snapshot_time = now;
    }

    /// Adopts the summaries that this VM had as the home of `epoch`, which has
    /// ended, unless those of a higher epoch are known.
    pub fn adopt_summaries(&mut self, epoch: Epoch, summaries: Vec<ServerSummary>, now: Time) {
        if epoch >= self.snapshot_epoch {
            self.set_summaries(epoch, summaries, now);
        }
    }

    /// Returns the index of the summary of `server`.
    pub(super) fn summary_index(&self, server: ServerId) -> Option<usize> {
        let found = self
            .summaries
            .binary_search_by_key(&server, |dated| dated.summary.server);
        found.ok()
    }

    /// Returns whether `server` may be cold as far as this VM knows.
    pub(super) fn may_be_cold(&self, server: ServerId) -> bool {
        self.summary_index(server)
            .is_none_or(|index| self.summaries[index].summary.warmth < Warmth::Lowered)
    }

    pub(super) fn summary_mut(&mut self, server: ServerId) -> Option<&mut DatedSummary> {
        self.summary_index(server)
            .map(|index| &mut self.summaries[index])
    }

    /// Lowers the summary of a server that has failed or restarted to `warmth`
    /// at most and a limit of 1. This VM then does not use the server as a
    /// fallback, and the next home does not take it for warm.
    pub(super) fn lower_warmth(&mut self, server: ServerId, warmth: Warmth) {
        if let Some(dated) = self.summary_mut(server) {
            dated.summary.warmth = dated.summary.warmth.min(warmth);
            dated.summary.limit = 1;
        }
    }

    /// Records a cancelled attempt that the server may still run, so that it is
    /// reported to the next home.
    pub(super) fn record_lingering(&mut self, release: &Release, now: Time) {
        let dated = self.summary_mut(release.server);
        let usual = dated.map_or(Duration::ZERO, |dated| dated.summary.usual);
        self.lingering.retain(|lingering| now < lingering.until);
        self.lingering.push(Lingering {
            id: release.call,
            server: release.server,
            until: now + (usual * 2).max(LINGER_MIN),
        });
    }

    /// Returns a report of all attempts that hold a permit, linger or wait.
    pub(super) fn report(&mut self, now: Time) -> FollowerReport {
        self.last_report += 1;
        let held = self
            .attempts
            .iter()
            .filter_map(|attempt| match attempt.stage {
                Stage::Held(server) => Some(HeldPermit {
                    call: attempt.id,
                    server,
                    left: attempt.deadline.saturating_sub(now),
                }),
                Stage::Waiting { .. } => None,
            });
        let lingering = self.lingering.iter().filter(|l| now < l.until);
        let lingering = lingering.map(|lingering| HeldPermit {
            call: lingering.id,
            server: lingering.server,
            left: lingering.until.saturating_sub(now),
        });
        let waiting = self
            .attempts
            .iter()
            .filter_map(|attempt| match attempt.stage {
                Stage::Waiting { .. } => Some(attempt.id),
                Stage::Held(_) => None,
            });
        FollowerReport {
            number: self.last_report,
            last_issued: self.last_id,
            held: held.chain(lingering).collect(),
            waiting: waiting.collect(),
        }
    }
}
