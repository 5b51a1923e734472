//! One VM's side of a shard: it asks the home for permits and tells it what
//! became of them.
//!
//! The follower resends what may be lost, moves to a new home when its view or
//! a higher epoch says so, and takes along what it holds. When no home answers
//! it uses the slots of warm servers that the rendezvous hash gives this VM,
//! for which nobody has to be asked. See `docs/design/homes.md`.

mod home;
mod known;
mod own;

use std::time::Duration;

use base::rendezvous;
use base::Outcome;
use base::ServerId;
use base::ShardId;
use base::Time;
use base::VmId;

use crate::epoch::Epoch;
use crate::handover::DatedSummary;
use crate::msg::AttemptId;
use crate::msg::Body;
use crate::msg::Envelope;
use crate::msg::Msg;
use crate::msg::PermitRequest;
use crate::msg::RefusalReason;
use crate::msg::Release;
use crate::msg::Warmth;
use crate::spec::ShardSpec;

/// The first wait for an answer of the home.
const RESEND_MIN: Duration = Duration::from_millis(15);
/// The longest wait for an answer of the home.
const RESEND_MAX: Duration = Duration::from_millis(120);
/// The wait for a grant after the home said that the request waits.
const RESEND_QUEUED: Duration = Duration::from_millis(150);
/// The silence after which this VM's own slots are used.
const FALL_BACK_AFTER: Duration = Duration::from_millis(100);
/// The time between two reports of what this VM holds.
const REFRESH_PERIOD: Duration = Duration::from_millis(250);
/// When a caller should try again if its call could not be placed in time.
const EXPIRED_WAIT: Duration = Duration::from_millis(100);

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It waits for a permit.
    Waiting {
        /// When to ask again.
        resend: Time,
        /// The wait after that.
        wait: Duration,
    },
    /// It has one.
    Held(ServerId),
}

impl Stage {
    /// Returns the stage of an attempt that has just been asked for.
    fn first(now: Time) -> Self {
        Self::Waiting {
            resend: now + RESEND_MIN,
            wait: RESEND_MIN * 2,
        }
    }
}

/// An attempt.
#[derive(Clone, Debug)]
struct Call {
    number: AttemptId,
    ask: PermitRequest,
    due: Time,
    since: Time,
    stage: Stage,
}

/// An attempt that was given up while the server may still run it.
#[derive(Clone, Copy, Debug)]
struct Lingering {
    number: AttemptId,
    server: ServerId,
    until: Time,
}

/// A server that closed a connection, of which the home is still to be told.
#[derive(Clone, Copy, Debug)]
struct Lost {
    server: ServerId,
    tries: u32,
    next: Time,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Deliver a message.
    Send(Envelope),
    /// The attempt may be sent to the server.
    Granted {
        /// The attempt.
        call: AttemptId,
        /// The server.
        server: ServerId,
    },
    /// The attempt may not be made; it was not run.
    Refused {
        /// The attempt.
        call: AttemptId,
        /// Why.
        reason: RefusalReason,
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
    me: VmId,
    seen: Epoch,
    following: bool,
    unsure: bool,
    candidate: Option<VmId>,
    nonce: u32,
    join_at: Time,
    heard: Time,
    hinted: Time,
    calls: Vec<Call>,
    lingering: Vec<Lingering>,
    lost: Vec<Lost>,
    last: AttemptId,
    lines: Vec<DatedSummary>,
    source: Epoch,
    refreshed: Time,
    owned: Vec<(ServerId, u32)>,
    refresh_at: Time,
    reports: u64,
    alone: u64,
    events: Vec<Event>,
}

impl Follower {
    /// Makes a follower that knows no home; `life` has to differ between the
    /// lives of this VM.
    pub fn new(shard: ShardId, me: VmId, life: u32) -> Self {
        Self {
            shard,
            me,
            seen: Epoch::default(),
            following: false,
            unsure: false,
            candidate: None,
            nonce: 0,
            join_at: Time::ZERO,
            heard: Time::ZERO,
            hinted: Time::ZERO,
            calls: Vec::new(),
            lingering: Vec::new(),
            lost: Vec::new(),
            last: u64::from(life) << 32,
            lines: Vec::new(),
            source: Epoch::default(),
            refreshed: Time::ZERO,
            owned: Vec::new(),
            refresh_at: Time::ZERO,
            reports: 0,
            alone: 0,
            events: Vec::new(),
        }
    }

    /// Returns the highest epoch that this VM has followed.
    pub fn highest_epoch(&self) -> Epoch {
        self.seen
    }

    /// Returns the home that is followed now.
    pub fn home(&self) -> Option<VmId> {
        self.following.then_some(self.seen.home)
    }

    /// Returns how many attempts were placed without a home.
    pub fn fallback_count(&self) -> u64 {
        self.alone
    }

    /// Returns whether there is nothing to be done in [`Follower::tick`].
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.lost.is_empty()
    }

    /// Returns the attempts at a server, with the server.
    pub fn held_permits(&self) -> impl Iterator<Item = (AttemptId, ServerId)> + '_ {
        self.calls.iter().filter_map(|call| match call.stage {
            Stage::Held(server) => Some((call.number, server)),
            Stage::Waiting { .. } => None,
        })
    }

    /// Takes the events that have come up since the last time.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Follows a change of the membership or of the configuration; `able` are the
    /// VMs of `alive` that may be homes.
    pub fn set_fleet(&mut self, alive: &[VmId], able: &[VmId], spec: &ShardSpec, now: Time) {
        self.candidate = rendezvous::first(self.shard, able);
        let keys: Vec<(u64, u32)> = spec
            .servers
            .iter()
            .filter(|server| server.open)
            .map(|server| (server.id, server.slots))
            .collect();
        self.owned.clear();
        for unit in rendezvous::partition(&keys, alive) {
            if unit.owner != self.me {
                continue;
            }
            match self.owned.binary_search_by_key(&unit.key, |own| own.0) {
                Ok(at) => self.owned[at].1 += 1,
                Err(at) => self.owned.insert(at, (unit.key, 1)),
            }
        }
        let lost = self.following && alive.binary_search(&self.seen.home).is_err();
        if lost {
            self.following = false;
        }
        if self.wants_home() && !self.calls.is_empty() {
            self.join(now);
        }
    }

    /// Asks for a permit; the answer comes as an event.
    pub fn acquire(&mut self, ask: PermitRequest, now: Time) -> AttemptId {
        self.last += 1;
        let number = self.last;
        self.calls.push(Call {
            number,
            due: now + ask.left,
            ask,
            since: now,
            stage: Stage::first(now),
        });
        if self.following {
            self.send_acquire(self.calls.len() - 1, now);
        }
        if self.wants_home() && now >= self.join_at {
            self.join(now);
        }
        number
    }

    /// Ends an attempt, whatever its stage; repeats do nothing.
    pub fn release(&mut self, release: Release, now: Time) {
        let Some(at) = self.find(release.call) else {
            return;
        };
        self.calls.remove(at);
        match release.outcome {
            Outcome::Cancelled | Outcome::Late => self.linger(&release, now),
            Outcome::Broken | Outcome::Unreachable => {
                self.distrust(release.server, Warmth::Down);
            }
            Outcome::Done => {
                if let Some(known) = self.known(release.server) {
                    known.mark_responded(now);
                }
            }
            Outcome::Failed | Outcome::Shed | Outcome::Unused => {}
        }
        if self.following {
            let epoch = self.seen;
            self.send_home(Body::Release { epoch, release });
        }
    }

    /// Gives up an attempt that has no permit yet.
    pub fn abandon(&mut self, call: AttemptId, now: Time) {
        let server = match self.find(call).map(|at| self.calls[at].stage) {
            Some(Stage::Held(server)) => server,
            _ => 0,
        };
        self.release(Release::unused(call, server), now);
    }

    /// Takes a message that came from `from`.
    pub fn receive(&mut self, from: VmId, body: Body, now: Time) {
        match body {
            Body::Lead { epoch, nonce } => self.lead(from, epoch, nonce, now),
            Body::NotHome { nonce } => self.declined(from, nonce, now),
            Body::Grant {
                epoch,
                call,
                server,
            } => {
                if self.is_current(epoch, now) {
                    self.granted(call, server);
                }
            }
            Body::Queued { epoch, call } => {
                if self.is_current(epoch, now) {
                    self.queued(call, now);
                }
            }
            Body::Refuse {
                epoch,
                call,
                reason,
                after,
            } => {
                if self.is_current(epoch, now) {
                    self.refused(call, reason, after);
                }
            }
            Body::Snapshot { epoch, lines } => {
                if self.is_current(epoch, now) {
                    self.take_lines(epoch, lines, now);
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
        self.tell_lost(now);
        self.expire(now);
        if self.calls.is_empty() {
            return;
        }
        if self.wants_home() && now >= self.join_at {
            self.join(now);
        }
        self.resend(now);
        self.check_silence(now);
        if self.following && now >= self.refresh_at {
            self.refresh_at = now + REFRESH_PERIOD;
            let holding = self.holding(now);
            let epoch = self.seen;
            self.send_home(Body::Refresh { epoch, holding });
        }
    }

    fn granted(&mut self, call: AttemptId, server: ServerId) {
        let Some(at) = self.find(call) else {
            let epoch = self.seen;
            let release = Release::unused(call, server);
            self.send_home(Body::Release { epoch, release });
            return;
        };
        match self.calls[at].stage {
            Stage::Waiting { .. } => {
                self.calls[at].stage = Stage::Held(server);
                self.events.push(Event::Granted { call, server });
            }
            Stage::Held(kept) if kept != server => self.refresh_at = Time::ZERO,
            Stage::Held(_) => {}
        }
    }

    fn queued(&mut self, call: AttemptId, now: Time) {
        if let Some(at) = self.find(call) {
            if let Stage::Waiting { .. } = self.calls[at].stage {
                self.calls[at].stage = Stage::Waiting {
                    resend: now + RESEND_QUEUED,
                    wait: RESEND_QUEUED,
                };
            }
        }
    }

    fn refused(&mut self, call: AttemptId, reason: RefusalReason, after: Duration) {
        let Some(at) = self.find(call) else {
            return;
        };
        if let Stage::Waiting { .. } = self.calls[at].stage {
            self.calls.remove(at);
            self.events.push(Event::Refused {
                call,
                reason,
                after,
            });
        }
    }

    fn expire(&mut self, now: Time) {
        let mut at = 0;
        while at < self.calls.len() {
            let call = &self.calls[at];
            let waits = matches!(call.stage, Stage::Waiting { .. });
            if waits && now >= call.due {
                let call = call.number;
                self.abandon(call, now);
                self.events.push(Event::Refused {
                    call,
                    reason: RefusalReason::Expired,
                    after: EXPIRED_WAIT,
                });
            } else {
                at += 1;
            }
        }
    }

    fn resend(&mut self, now: Time) {
        if !self.following {
            return;
        }
        for at in 0..self.calls.len() {
            let Stage::Waiting { resend, wait } = self.calls[at].stage else {
                continue;
            };
            if now >= resend {
                self.calls[at].stage = Stage::Waiting {
                    resend: now + wait,
                    wait: (wait * 2).min(RESEND_MAX.max(wait)),
                };
                self.send_acquire(at, now);
            }
        }
    }

    fn send_acquire(&mut self, at: usize, now: Time) {
        let call = &self.calls[at];
        let mut ask = call.ask.clone();
        ask.left = call.due.saturating_sub(now);
        ask.goal = ask.goal.saturating_sub(now.saturating_sub(call.since));
        let body = Body::Acquire {
            epoch: self.seen,
            call: call.number,
            ask,
        };
        self.send_home(body);
    }

    fn send_home(&mut self, body: Body) {
        self.send(self.seen.home, body);
    }

    fn send(&mut self, to: VmId, body: Body) {
        let shard = self.shard;
        let msg = Msg { shard, body };
        self.events.push(Event::Send(Envelope { to, msg }));
    }

    fn find(&self, call: AttemptId) -> Option<usize> {
        let found = self.calls.binary_search_by_key(&call, |c| c.number);
        found.ok()
    }
}
