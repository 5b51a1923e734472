//! One VM's side of a shard: it asks the home for permits and tells it what
//! became of them.
//!
//! The follower resends what may be lost, moves to a new home when its view or
//! a higher epoch says so, and takes along what it holds. When no home answers
//! it uses the slots of warm servers that the rendezvous hash gives this VM,
//! for which nobody has to be asked. See `docs/design/homes.md`.

mod fallback;
mod home;
mod summaries;

use std::time::Duration;

use base::rendezvous;
use base::Outcome;
use base::ServerId;
use base::ShardId;
use base::Time;
use base::VmId;

use crate::epoch::Epoch;
use crate::handover::Known;
use crate::msg::Ask;
use crate::msg::Body;
use crate::msg::CallNo;
use crate::msg::Envelope;
use crate::msg::Msg;
use crate::msg::Reason;
use crate::msg::Release;
use crate::msg::Warmth;
use crate::spec::Spec;

/// The first wait for an answer of the home.
const RESEND_MIN: Duration = Duration::from_millis(15);
/// The longest wait for an answer of the home.
const RESEND_MAX: Duration = Duration::from_millis(120);
/// The wait for a grant after the home said that the request waits.
const RESEND_QUEUED: Duration = Duration::from_millis(150);
/// The silence after which this VM's own slots are used.
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(100);
/// The time between two reports of what this VM holds.
const REFRESH_PERIOD: Duration = Duration::from_millis(250);
/// When a caller should try again if its call could not be placed in time.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It waits for a permit.
    Waiting {
        /// When to ask again.
        resend_at: Time,
        /// The wait after that.
        backoff: Duration,
    },
    /// It has one.
    Held(ServerId),
}

impl Stage {
    /// Returns the stage of an attempt that has just been asked for.
    fn requested(now: Time) -> Self {
        Self::Waiting {
            resend_at: now + RESEND_MIN,
            backoff: RESEND_MIN * 2,
        }
    }
}

/// An attempt.
#[derive(Clone, Debug)]
struct Attempt {
    id: CallNo,
    request: Ask,
    deadline: Time,
    requested_at: Time,
    stage: Stage,
}

/// An attempt that was given up while the server may still run it.
#[derive(Clone, Copy, Debug)]
struct Lingering {
    id: CallNo,
    server: ServerId,
    until: Time,
}

/// A server that closed a connection, of which the home is still to be told.
#[derive(Clone, Copy, Debug)]
struct LostConnection {
    server: ServerId,
    sends_left: u32,
    next_send: Time,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Deliver a message.
    Send(Envelope),
    /// The attempt may be sent to the server.
    Granted {
        /// The attempt.
        call: CallNo,
        /// The server.
        server: ServerId,
    },
    /// The attempt may not be made; it was not run.
    Refused {
        /// The attempt.
        call: CallNo,
        /// Why.
        reason: Reason,
        /// When another try makes sense.
        after: Duration,
    },
    /// The home is silent; the membership should look at it.
    HomeUnresponsive(VmId),
}

/// One VM's side of a shard.
#[derive(Clone, Debug)]
pub struct Follower {
    shard: ShardId,
    self_id: VmId,
    highest_epoch: Epoch,
    following: bool,
    unconfirmed: bool,
    candidate: Option<VmId>,
    nonce: u32,
    next_join: Time,
    last_heard: Time,
    last_hint: Time,
    attempts: Vec<Attempt>,
    lingering: Vec<Lingering>,
    lost_connections: Vec<LostConnection>,
    last_id: CallNo,
    summaries: Vec<Known>,
    snapshot_epoch: Epoch,
    snapshot_time: Time,
    owned_slots: Vec<(ServerId, u32)>,
    next_refresh: Time,
    last_report: u64,
    fallback_count: u64,
    events: Vec<Event>,
}

impl Follower {
    /// Makes a follower that knows no home; `life` has to differ between the
    /// lives of this VM.
    pub fn new(shard: ShardId, self_id: VmId, boot_id: u32) -> Self {
        Self {
            shard,
            self_id,
            highest_epoch: Epoch::default(),
            following: false,
            unconfirmed: false,
            candidate: None,
            nonce: 0,
            next_join: Time::ZERO,
            last_heard: Time::ZERO,
            last_hint: Time::ZERO,
            attempts: Vec::new(),
            lingering: Vec::new(),
            lost_connections: Vec::new(),
            last_id: u64::from(boot_id) << 32,
            summaries: Vec::new(),
            snapshot_epoch: Epoch::default(),
            snapshot_time: Time::ZERO,
            owned_slots: Vec::new(),
            next_refresh: Time::ZERO,
            last_report: 0,
            fallback_count: 0,
            events: Vec::new(),
        }
    }

    /// Returns the highest epoch that this VM has followed.
    pub fn highest_epoch(&self) -> Epoch {
        self.highest_epoch
    }

    /// Returns the home that is followed now.
    pub fn home(&self) -> Option<VmId> {
        self.following.then_some(self.highest_epoch.home)
    }

    /// Returns how many attempts were placed without a home.
    pub fn fallback_count(&self) -> u64 {
        self.fallback_count
    }

    /// Returns whether there is nothing to be done in [`Follower::tick`].
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.lost_connections.is_empty()
    }

    /// Returns the attempts at a server, with the server.
    pub fn held_permits(&self) -> impl Iterator<Item = (CallNo, ServerId)> + '_ {
        self.attempts
            .iter()
            .filter_map(|attempt| match attempt.stage {
                Stage::Held(server) => Some((attempt.id, server)),
                Stage::Waiting { .. } => None,
            })
    }

    /// Takes the events that have come up since the last time.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Follows a change of the membership or of the configuration; `able` are the
    /// VMs of `alive` that may be homes.
    pub fn set_fleet(&mut self, alive: &[VmId], eligible: &[VmId], spec: &Spec, now: Time) {
        self.candidate = rendezvous::first(self.shard, eligible);
        let keys: Vec<(u64, u32)> = spec
            .servers
            .iter()
            .filter(|server| server.open)
            .map(|server| (server.id, server.slots))
            .collect();
        self.owned_slots.clear();
        for unit in rendezvous::partition(&keys, alive) {
            if unit.owner != self.self_id {
                continue;
            }
            match self
                .owned_slots
                .binary_search_by_key(&unit.key, |owned| owned.0)
            {
                Ok(index) => self.owned_slots[index].1 += 1,
                Err(index) => self.owned_slots.insert(index, (unit.key, 1)),
            }
        }
        let home_failed = self.following && alive.binary_search(&self.highest_epoch.home).is_err();
        if home_failed {
            self.following = false;
        }
        if self.needs_join() && !self.attempts.is_empty() {
            self.join(now);
        }
    }

    /// Asks for a permit; the answer comes as an event.
    pub fn acquire(&mut self, request: Ask, now: Time) -> CallNo {
        self.last_id += 1;
        let id = self.last_id;
        self.attempts.push(Attempt {
            id,
            deadline: now + request.left,
            request,
            requested_at: now,
            stage: Stage::requested(now),
        });
        if self.following {
            self.send_acquire(self.attempts.len() - 1, now);
        }
        if self.needs_join() && now >= self.next_join {
            self.join(now);
        }
        id
    }

    /// Ends an attempt, whatever its stage; repeats do nothing.
    pub fn release(&mut self, release: Release, now: Time) {
        let Some(index) = self.find(release.call) else {
            return;
        };
        self.attempts.remove(index);
        match release.outcome {
            Outcome::Cancelled | Outcome::Late => self.record_lingering(&release, now),
            Outcome::Broken | Outcome::Unreachable => {
                self.lower_warmth(release.server, Warmth::Down);
            }
            Outcome::Done => {
                if let Some(known) = self.summary_mut(release.server) {
                    known.answered(now);
                }
            }
            Outcome::Failed | Outcome::Shed | Outcome::Unused => {}
        }
        if self.following {
            let epoch = self.highest_epoch;
            self.send_home(Body::Release { epoch, release });
        }
    }

    /// Gives up an attempt that has no permit yet.
    pub fn abandon(&mut self, call: CallNo, now: Time) {
        let server = match self.find(call).map(|index| self.attempts[index].stage) {
            Some(Stage::Held(server)) => server,
            _ => 0,
        };
        self.release(Release::unused(call, server), now);
    }

    /// Takes a message that came from `from`.
    pub fn receive(&mut self, from: VmId, body: Body, now: Time) {
        match body {
            Body::Lead { epoch, nonce } => self.receive_lead(from, epoch, nonce, now),
            Body::NotHome { nonce } => self.receive_not_home(from, nonce, now),
            Body::Grant {
                epoch,
                call,
                server,
            } => {
                if self.is_current(epoch, now) {
                    self.receive_grant(call, server);
                }
            }
            Body::Queued { epoch, call } => {
                if self.is_current(epoch, now) {
                    self.receive_queued(call, now);
                }
            }
            Body::Refuse {
                epoch,
                call,
                reason,
                after,
            } => {
                if self.is_current(epoch, now) {
                    self.receive_refusal(call, reason, after);
                }
            }
            Body::Snapshot { epoch, lines } => {
                if self.is_current(epoch, now) {
                    self.set_summaries(epoch, lines, now);
                }
            }
            Body::Join { .. }
            | Body::Attach { .. }
            | Body::Refresh { .. }
            | Body::Stale { .. }
            | Body::Acquire { .. }
            | Body::Lost { .. }
            | Body::Release { .. } => {}
        }
    }

    /// Does what is due; to be called every few milliseconds unless idle.
    pub fn tick(&mut self, now: Time) {
        self.send_lost(now);
        self.expire(now);
        if self.attempts.is_empty() {
            return;
        }
        if self.needs_join() && now >= self.next_join {
            self.join(now);
        }
        self.resend(now);
        self.check_home_timeout(now);
        if self.following && now >= self.next_refresh {
            self.next_refresh = now + REFRESH_PERIOD;
            let holding = self.report(now);
            let epoch = self.highest_epoch;
            self.send_home(Body::Refresh { epoch, holding });
        }
    }

    fn receive_grant(&mut self, call: CallNo, server: ServerId) {
        let Some(index) = self.find(call) else {
            let epoch = self.highest_epoch;
            let release = Release::unused(call, server);
            self.send_home(Body::Release { epoch, release });
            return;
        };
        match self.attempts[index].stage {
            Stage::Waiting { .. } => {
                self.attempts[index].stage = Stage::Held(server);
                self.events.push(Event::Granted { call, server });
            }
            Stage::Held(known) if known != server => self.next_refresh = Time::ZERO,
            Stage::Held(_) => {}
        }
    }

    fn receive_queued(&mut self, call: CallNo, now: Time) {
        if let Some(index) = self.find(call) {
            if let Stage::Waiting { .. } = self.attempts[index].stage {
                self.attempts[index].stage = Stage::Waiting {
                    resend_at: now + RESEND_QUEUED,
                    backoff: RESEND_QUEUED,
                };
            }
        }
    }

    fn receive_refusal(&mut self, call: CallNo, reason: Reason, after: Duration) {
        let Some(index) = self.find(call) else {
            return;
        };
        if let Stage::Waiting { .. } = self.attempts[index].stage {
            self.attempts.remove(index);
            self.events.push(Event::Refused {
                call,
                reason,
                after,
            });
        }
    }

    fn expire(&mut self, now: Time) {
        let mut index = 0;
        while index < self.attempts.len() {
            let attempt = &self.attempts[index];
            let waiting = matches!(attempt.stage, Stage::Waiting { .. });
            if waiting && now >= attempt.deadline {
                let call = attempt.id;
                self.abandon(call, now);
                self.events.push(Event::Refused {
                    call,
                    reason: Reason::Expired,
                    after: EXPIRED_RETRY_AFTER,
                });
            } else {
                index += 1;
            }
        }
    }

    fn resend(&mut self, now: Time) {
        if !self.following {
            return;
        }
        for index in 0..self.attempts.len() {
            let Stage::Waiting { resend_at, backoff } = self.attempts[index].stage else {
                continue;
            };
            if now >= resend_at {
                self.attempts[index].stage = Stage::Waiting {
                    resend_at: now + backoff,
                    backoff: (backoff * 2).min(RESEND_MAX.max(backoff)),
                };
                self.send_acquire(index, now);
            }
        }
    }

    fn send_acquire(&mut self, index: usize, now: Time) {
        let attempt = &self.attempts[index];
        let mut ask = attempt.request.clone();
        ask.left = attempt.deadline.saturating_sub(now);
        ask.goal = ask
            .goal
            .saturating_sub(now.saturating_sub(attempt.requested_at));
        let body = Body::Acquire {
            epoch: self.highest_epoch,
            call: attempt.id,
            ask,
        };
        self.send_home(body);
    }

    fn send_home(&mut self, body: Body) {
        self.send(self.highest_epoch.home, body);
    }

    fn send(&mut self, to: VmId, body: Body) {
        let shard = self.shard;
        let msg = Msg { shard, body };
        self.events.push(Event::Send(Envelope { to, msg }));
    }

    fn find(&self, call: CallNo) -> Option<usize> {
        let found = self
            .attempts
            .binary_search_by_key(&call, |attempt| attempt.id);
        found.ok()
    }
}
