//! How a follower finds its home, follows it, and notices that it is silent.
//!
//! See `docs/design/homes.md` for epochs and for what a pause means.

use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;

use super::Call;
use super::Event;
use super::Follower;
use super::Lost;
use super::Stage;
use super::FALL_BACK_AFTER;
use super::RESEND_MIN;
use crate::epoch::Epoch;
use crate::handover::Snapshot;
use crate::msg::Body;
use crate::msg::Warmth;

/// The wait between two tries to join a home.
const JOIN_PERIOD: Duration = Duration::from_millis(20);
/// The silence after which the membership is asked to look at the home.
const HINT_AFTER: Duration = Duration::from_millis(40);
/// How often the home is told of a lost connection, as messages may be lost.
const LOST_TRIES: u32 = 3;

impl Follower {
    /// Forgets that a home is followed, after this VM was paused.
    ///
    /// What waits in its sockets may be old by now, so nothing counts until a
    /// home answers a question that is asked from now on.
    pub fn resume_after_pause(&mut self, now: Time) {
        self.following = false;
        self.unsure = true;
        if !self.calls.is_empty() {
            self.join(now);
        }
    }

    pub(super) fn wants_home(&self) -> bool {
        !self.following || self.candidate != Some(self.seen.home)
    }

    pub(super) fn join(&mut self, now: Time) {
        let Some(to) = self.candidate else {
            return;
        };
        self.nonce = self.nonce.wrapping_add(1).max(1);
        self.join_at = now + JOIN_PERIOD;
        let seen = self.seen;
        let nonce = self.nonce;
        self.send(to, Body::Join { seen, nonce });
    }

    pub(super) fn lead(&mut self, from: VmId, epoch: Epoch, nonce: u32, now: Time) {
        if from != epoch.home {
            return;
        }
        if epoch < self.seen {
            let seen = self.seen;
            self.send(from, Body::Stale { seen });
            return;
        }
        if self.unsure && nonce != self.nonce {
            return;
        }
        let moved = epoch > self.seen || !self.following;
        self.seen = epoch;
        self.following = true;
        self.unsure = false;
        self.heard = now;
        let body = Body::Attach {
            epoch,
            holding: self.holding(now),
            snapshot: Snapshot {
                source: self.source,
                age: now.saturating_sub(self.refreshed),
                servers: self.server_summaries(now).collect(),
            },
        };
        self.send_home(body);
        if moved {
            for at in 0..self.calls.len() {
                if let Stage::Waiting { .. } = self.calls[at].stage {
                    self.calls[at].stage = Stage::first(now);
                    self.send_acquire(at, now);
                }
            }
        }
    }

    /// Takes the word of a VM that it is not home; nonce 0 comes from one that
    /// was followed and has lost its ledger.
    pub(super) fn declined(&mut self, from: VmId, nonce: u32, now: Time) {
        if nonce == self.nonce {
            self.join_at = now + JOIN_PERIOD;
        }
        if nonce == 0 && self.following && from == self.seen.home {
            self.following = false;
            self.join(now);
        }
    }

    /// Returns whether a message is of the epoch that is followed.
    pub(super) fn is_current(&mut self, epoch: Epoch, now: Time) -> bool {
        let current = self.following && epoch == self.seen;
        if current {
            self.heard = now;
        }
        current
    }

    /// Looks for a home that has not answered, and does without it.
    pub(super) fn check_silence(&mut self, now: Time) {
        let waiting = |call: &&Call| matches!(call.stage, Stage::Waiting { .. });
        let oldest = self.calls.iter().filter(waiting).map(|call| call.since);
        let Some(oldest) = oldest.min() else {
            return;
        };
        let silent = now.saturating_sub(oldest.max(self.heard));
        if silent >= HINT_AFTER && now >= self.hinted + HINT_AFTER {
            self.hinted = now;
            let home = self.home().or(self.candidate);
            self.events.extend(home.map(Event::HomeUnresponsive));
        }
        if silent >= FALL_BACK_AFTER && !self.unsure {
            self.use_own_slots(now);
        }
    }

    /// Notes that `server` closed a connection that it had just been used on.
    ///
    /// It has restarted, or is about to, so nobody may take it for warm.
    pub fn connection_lost(&mut self, server: ServerId, now: Time) {
        self.distrust(server, Warmth::Cold);
        let listed = self.lost.iter().any(|lost| lost.server == server);
        if self.following && !listed {
            self.lost.push(Lost {
                server,
                tries: LOST_TRIES,
                next: now,
            });
            self.tell_lost(now);
        }
    }

    /// Tells the home of lost connections as often as is due.
    pub(super) fn tell_lost(&mut self, now: Time) {
        if !self.following {
            // The next home reads it in the snapshot that it is sent.
            self.lost.clear();
            return;
        }
        let epoch = self.seen;
        let mut due = Vec::new();
        for lost in self.lost.iter_mut().filter(|lost| now >= lost.next) {
            lost.tries -= 1;
            lost.next = now + RESEND_MIN;
            due.push(lost.server);
        }
        self.lost.retain(|lost| lost.tries > 0);
        for server in due {
            self.send_home(Body::Lost { epoch, server });
        }
    }
}
