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
use crate::handover::Known;
use crate::msg::Held;
use crate::msg::Holding;
use crate::msg::Line;
use crate::msg::Release;
use crate::msg::Warmth;

/// The shortest time that a call that was given up is thought to run on.
const LINGER_MIN: Duration = Duration::from_millis(20);

impl Follower {
    /// Returns what is known of the servers `now`, sorted by id: what the home
    /// last told, and what this VM has seen since.
    pub fn server_summaries(&self, now: Time) -> impl Iterator<Item = Line> + '_ {
        self.summaries.iter().map(move |known| known.at(now))
    }

    pub(super) fn set_summaries(&mut self, source: Epoch, lines: Vec<Line>, now: Time) {
        self.summaries.clear();
        self.summaries
            .extend(lines.into_iter().map(|line| Known::new(line, now)));
        self.snapshot_epoch = source;
        self.snapshot_time = now;
    }

    /// Takes over what this VM knew as home of `epoch`, which has ended.
    pub fn adopt_summaries(&mut self, epoch: Epoch, lines: Vec<Line>, now: Time) {
        if epoch >= self.snapshot_epoch {
            self.set_summaries(epoch, lines, now);
        }
    }

    /// Returns the place of what is known of `server`.
    pub(super) fn summary_index(&self, server: ServerId) -> Option<usize> {
        let found = self
            .summaries
            .binary_search_by_key(&server, |known| known.line.server);
        found.ok()
    }

    pub(super) fn summary_mut(&mut self, server: ServerId) -> Option<&mut Known> {
        self.summary_index(server)
            .map(|index| &mut self.summaries[index])
    }

    /// Keeps this VM from using a server that just failed without a home, and
    /// the next home from thinking it warm.
    pub(super) fn lower_warmth(&mut self, server: ServerId, warmth: Warmth) {
        if let Some(known) = self.summary_mut(server) {
            known.line.warmth = known.line.warmth.min(warmth);
            known.line.limit = 1;
        }
    }

    /// Remembers an attempt that the server may still run, for the next home.
    pub(super) fn record_lingering(&mut self, release: &Release, now: Time) {
        let known = self.summary_mut(release.server);
        let usual = known.map_or(Duration::ZERO, |known| known.line.usual);
        self.lingering.retain(|lingering| now < lingering.until);
        self.lingering.push(Lingering {
            id: release.call,
            server: release.server,
            until: now + (usual * 2).max(LINGER_MIN),
        });
    }

    pub(super) fn report(&mut self, now: Time) -> Holding {
        self.last_report += 1;
        let held = self
            .attempts
            .iter()
            .filter_map(|attempt| match attempt.stage {
                Stage::Held(server) => Some(Held {
                    call: attempt.id,
                    server,
                    left: attempt.deadline.saturating_sub(now),
                }),
                Stage::Waiting { .. } => None,
            });
        let lingering = self.lingering.iter().filter(|l| now < l.until);
        let lingering = lingering.map(|lingering| Held {
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
        Holding {
            number: self.last_report,
            upto: self.last_id,
            held: held.chain(lingering).collect(),
            waiting: waiting.collect(),
        }
    }
}
