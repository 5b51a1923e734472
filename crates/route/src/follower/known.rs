//! What a follower knows about servers, and what it tells a home that it holds.
//!
//! It keeps what the last home told, with the age of it, and adds what this VM
//! has seen itself since. See `docs/design/limits.md`.

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

/// The shortest time that a call that was given up is thought to run on.
const LINGER_MIN: Duration = Duration::from_millis(20);

impl Follower {
    /// Returns what is known of the servers `now`, sorted by id: what the home
    /// last told, and what this VM has seen since.
    pub fn server_summaries(&self, now: Time) -> impl Iterator<Item = ServerSummary> + '_ {
        self.lines.iter().map(move |known| known.at(now))
    }

    pub(super) fn take_lines(&mut self, source: Epoch, lines: Vec<ServerSummary>, now: Time) {
        self.lines.clear();
        self.lines
            .extend(lines.into_iter().map(|line| DatedSummary::new(line, now)));
        self.source = source;
        self.refreshed = now;
    }

    /// Takes over what this VM knew as home of `epoch`, which has ended.
    pub fn adopt_summaries(&mut self, epoch: Epoch, lines: Vec<ServerSummary>, now: Time) {
        if epoch >= self.source {
            self.take_lines(epoch, lines, now);
        }
    }

    /// Returns the place of what is known of `server`.
    pub(super) fn place(&self, server: ServerId) -> Option<usize> {
        let found = self
            .lines
            .binary_search_by_key(&server, |known| known.summary.server);
        found.ok()
    }

    pub(super) fn known(&mut self, server: ServerId) -> Option<&mut DatedSummary> {
        self.place(server).map(|at| &mut self.lines[at])
    }

    /// Keeps this VM from using a server that just failed without a home, and
    /// the next home from thinking it warm.
    pub(super) fn distrust(&mut self, server: ServerId, warmth: Warmth) {
        if let Some(known) = self.known(server) {
            known.summary.warmth = known.summary.warmth.min(warmth);
            known.summary.limit = 1;
        }
    }

    /// Remembers an attempt that the server may still run, for the next home.
    pub(super) fn linger(&mut self, release: &Release, now: Time) {
        let known = self.known(release.server);
        let usual = known.map_or(Duration::ZERO, |known| known.summary.usual);
        self.lingering.retain(|lingering| now < lingering.until);
        self.lingering.push(Lingering {
            number: release.call,
            server: release.server,
            until: now + (usual * 2).max(LINGER_MIN),
        });
    }

    pub(super) fn holding(&mut self, now: Time) -> FollowerReport {
        self.reports += 1;
        let held = self.calls.iter().filter_map(|call| match call.stage {
            Stage::Held(server) => Some(HeldPermit {
                call: call.number,
                server,
                left: call.due.saturating_sub(now),
            }),
            Stage::Waiting { .. } => None,
        });
        let lingering = self.lingering.iter().filter(|l| now < l.until);
        let lingering = lingering.map(|lingering| HeldPermit {
            call: lingering.number,
            server: lingering.server,
            left: lingering.until.saturating_sub(now),
        });
        let waiting = self.calls.iter().filter_map(|call| match call.stage {
            Stage::Waiting { .. } => Some(call.number),
            Stage::Held(_) => None,
        });
        FollowerReport {
            number: self.reports,
            last_issued: self.last,
            held: held.chain(lingering).collect(),
            waiting: waiting.collect(),
        }
    }
}
