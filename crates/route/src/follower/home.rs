//! How a follower finds its home, follows its epoch, and detects that it does
//! not respond.
//!
//! See `docs/design/homes.md` for epochs and for pauses of a VM.

use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;

use super::Attempt;
use super::Event;
use super::Follower;
use super::LostConnection;
use super::Stage;
use super::FALLBACK_TIMEOUT;
use super::RESEND_MIN;
use crate::epoch::Epoch;
use crate::handover::Snapshot;
use crate::msg::Body;
use crate::msg::Warmth;

/// The time between two attempts to join a home.
const JOIN_PERIOD: Duration = Duration::from_millis(20);
/// The time without a response of the home after which the membership is asked
/// to probe the home.
const HINT_TIMEOUT: Duration = Duration::from_millis(40);
/// How many times a lost connection is reported to the home, as messages may be
/// lost.
const LOST_SENDS: u32 = 3;

impl Follower {
    /// Stops following the home after this VM was paused.
    ///
    /// Messages in the socket buffers may be out of date by now. The follower
    /// therefore follows a home again only after a reply to a join that is sent
    /// from now on.
    pub fn resume_after_pause(&mut self, now: Time) {
        self.following = false;
        self.unconfirmed = true;
        if !self.attempts.is_empty() {
            self.join(now);
        }
    }

    /// Returns whether no home is followed, or another one than the membership
    /// now selects.
    pub(super) fn needs_join(&self) -> bool {
        !self.following || self.candidate != Some(self.highest_epoch.home)
    }

    /// Asks the VM that the membership selects as home to act as home.
    pub(super) fn join(&mut self, now: Time) {
        let Some(to) = self.candidate else {
            return;
        };
        self.nonce = self.nonce.wrapping_add(1).max(1);
        self.next_join = now + JOIN_PERIOD;
        let seen = self.highest_epoch;
        let nonce = self.nonce;
        self.send(to, Body::Join { seen, nonce });
    }

    /// Follows `epoch` unless a higher one has been followed: acknowledges it
    /// with a report of all attempts, and requests permits again for those that
    /// wait.
    pub(super) fn receive_lead(&mut self, from: VmId, epoch: Epoch, nonce: u32, now: Time) {
        if from != epoch.home {
            return;
        }
        if epoch < self.highest_epoch {
            let seen = self.highest_epoch;
            self.send(from, Body::Stale { seen });
            return;
        }
        if self.unconfirmed && nonce != self.nonce {
            return;
        }
        let new_home = epoch > self.highest_epoch || !self.following;
        self.highest_epoch = epoch;
        self.following = true;
        self.unconfirmed = false;
        self.last_heard = now;
        let grants = self.cold_grants.report(now);
        if !grants.is_empty() {
            self.send_home(Body::ColdGrants { epoch, grants });
        }
        let body = Body::Attach {
            epoch,
            holding: self.report(now),
            snapshot: Snapshot {
                source: self.snapshot_epoch,
                age: now.saturating_sub(self.snapshot_time),
                servers: self.server_summaries(now).collect(),
            },
        };
        self.send_home(body);
        let limits = self.rate_notes.report(now);
        if !limits.is_empty() {
            self.send_home(Body::RateLimits { epoch, limits });
        }
        if new_home {
            for index in 0..self.attempts.len() {
                if let Stage::Waiting { .. } = self.attempts[index].stage {
                    self.attempts[index].stage = Stage::requested(now);
                    self.send_acquire(index, now);
                }
            }
        }
    }

    /// Processes the reply of `from` that it is not the home. A reply with
    /// nonce 0 belongs to no join; it comes from a VM that was followed and has
    /// lost its ledger.
    pub(super) fn receive_not_home(&mut self, from: VmId, nonce: u32, now: Time) {
        if nonce == self.nonce {
            self.next_join = now + JOIN_PERIOD;
        }
        if nonce == 0 && self.following && from == self.highest_epoch.home {
            self.following = false;
            self.join(now);
        }
    }

    /// Returns whether `epoch`, the epoch of a message, is followed; if so, records
    /// that the home has responded.
    pub(super) fn is_current(&mut self, epoch: Epoch, now: Time) -> bool {
        let current = self.following && epoch == self.highest_epoch;
        if current {
            self.last_heard = now;
        }
        current
    }

    /// Detects that the home does not respond to a waiting attempt: first has
    /// the membership probe the home, then uses the fallback slots.
    pub(super) fn check_home_timeout(&mut self, now: Time) {
        let waiting = |attempt: &&Attempt| matches!(attempt.stage, Stage::Waiting { .. });
        let oldest = self
            .attempts
            .iter()
            .filter(waiting)
            .map(|attempt| attempt.requested_at);
        let Some(oldest) = oldest.min() else {
            return;
        };
        let unresponsive_for = now.saturating_sub(oldest.max(self.last_heard));
        if unresponsive_for >= HINT_TIMEOUT && now >= self.last_hint + HINT_TIMEOUT {
            self.last_hint = now;
            let home = self.home().or(self.candidate);
            self.events.extend(home.map(Event::HomeUnresponsive));
        }
        if unresponsive_for >= FALLBACK_TIMEOUT && !self.unconfirmed {
            self.use_fallback_slots(now);
        }
    }

    /// Records that `server` closed a connection that had just been in use.
    ///
    /// The server has restarted, or is about to, so neither this VM nor a home
    /// may take it for warm.
    pub fn connection_lost(&mut self, server: ServerId, now: Time) {
        self.lower_warmth(server, Warmth::Cold);
        let listed = self
            .lost_connections
            .iter()
            .any(|lost| lost.server == server);
        if self.following && !listed {
            self.lost_connections.push(LostConnection {
                server,
                sends_left: LOST_SENDS,
                next_send: now,
            });
            self.send_lost(now);
        }
    }

    /// Reports lost connections to the home, each as often as is due.
    pub(super) fn send_lost(&mut self, now: Time) {
        if !self.following {
            // The next home learns of the lost connections from the snapshot of this
            // follower.
            self.lost_connections.clear();
            return;
        }
        let epoch = self.highest_epoch;
        let mut due = Vec::new();
        for lost in self
            .lost_connections
            .iter_mut()
            .filter(|lost| now >= lost.next_send)
        {
            lost.sends_left -= 1;
            lost.next_send = now + RESEND_MIN;
            due.push(lost.server);
        }
        self.lost_connections.retain(|lost| lost.sends_left > 0);
        for server in due {
            self.send_home(Body::Lost { epoch, server });
        }
    }
}
