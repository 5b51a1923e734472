//! The follower: one VM's side of a shard. It requests permits from the home
//! and reports how the attempts ended.
//!
//! The follower resends messages that may have been lost. It moves to another
//! home when its view of the membership changes or a higher epoch starts, and
//! reports the permits that it holds there. When no home responds, it falls
//! back to the slots of warm servers that the rendezvous hash assigns to this
//! VM, which need no permit. See `docs/design/homes.md`.

mod fallback;
mod home;
pub mod ranked;
mod summaries;

use std::time::Duration;

use base::rendezvous;
use base::Outcome;
use base::ServerId;
use base::ShardId;
use base::Time;
use base::VmId;

use self::ranked::RankedForm;
use crate::cold_rate::ColdGrants;
use crate::epoch::Epoch;
use crate::handover::DatedSummary;
use crate::instance;
use crate::instance::InstanceId;
use crate::msg::AttemptId;
use crate::msg::Body;
use crate::msg::Envelope;
use crate::msg::Msg;
use crate::msg::PermitRequest;
use crate::msg::RateNote;
use crate::msg::RefusalReason;
use crate::msg::Release;
use crate::msg::Warmth;
use crate::rate_limit::RateNotes;
use crate::rollout::VersionGroup;
use crate::spec::ShardSpec;

/// The first timeout after which a permit request is sent again.
const RESEND_MIN: Duration = Duration::from_millis(15);
/// The longest timeout after which a permit request that the home has not queued
/// is sent again.
const RESEND_MAX: Duration = Duration::from_millis(120);
/// The timeout after which a request that the home has queued is sent again.
const RESEND_QUEUED: Duration = Duration::from_millis(150);
/// The time without a response of the home after which the fallback slots are
/// used.
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(100);
/// The time between two reports of the permits and requests of this VM.
const REFRESH_PERIOD: Duration = Duration::from_millis(250);
/// The delay after which a caller should try again if its call got no permit
/// before its deadline.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The attempt waits for a permit.
    Waiting {
        /// When to send the request again.
        resend_at: Time,
        /// How long to wait for a reply once the request is sent again.
        backoff: Duration,
    },
    /// The attempt holds a permit or a fallback slot of this server.
    Held(ServerId),
}

impl Stage {
    /// Returns the stage of an attempt whose permit is being requested `now`.
    fn requested(now: Time) -> Self {
        Self::Waiting {
            resend_at: now + RESEND_MIN,
            backoff: RESEND_MIN * 2,
        }
    }
}

/// An attempt that waits for a permit or holds one.
#[derive(Clone, Debug)]
struct Attempt {
    id: AttemptId,
    request: PermitRequest,
    deadline: Time,
    requested_at: Time,
    stage: Stage,
    /// The epoch of the home to which the request was last sent.
    sent_to: Option<Epoch>,
    /// Whether it was sent to that home in the plain form.
    sent_plain: bool,
}

/// A cancelled attempt that the server may still run.
#[derive(Clone, Copy, Debug)]
struct Lingering {
    id: AttemptId,
    server: ServerId,
    until: Time,
}

/// A server that closed a connection, which is still to be reported to the
/// home.
#[derive(Clone, Copy, Debug)]
struct LostConnection {
    server: ServerId,
    sends_left: u32,
    next_send: Time,
}

/// An event that the code around the follower has to handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Deliver the message.
    Send(Envelope),
    /// The attempt may be sent to the server.
    Granted {
        /// The id of the attempt.
        call: AttemptId,
        /// The server that the permit is for.
        server: ServerId,
    },
    /// The attempt gets no permit and was not run.
    Refused {
        /// The id of the attempt.
        call: AttemptId,
        /// Why the request was refused.
        reason: RefusalReason,
        /// The time after which the caller should try again.
        after: Duration,
    },
    /// The home, which is the given VM, does not respond; the membership should
    /// probe it.
    HomeUnresponsive(VmId),
}

/// One VM's side of a shard.
#[derive(Clone, Debug)]
pub struct Follower {
    shard: ShardId,
    self_id: VmId,
    highest_epoch: Epoch,
    /// Whether the home of `highest_epoch` is followed at present.
    following: bool,
    /// Whether this VM was paused and no home has replied to a join since.
    unconfirmed: bool,
    /// The VM that should be the home by the rendezvous hash.
    candidate: Option<VmId>,
    /// The nonce of the last join.
    nonce: u32,
    next_join: Time,
    last_heard: Time,
    last_hint: Time,
    attempts: Vec<Attempt>,
    lingering: Vec<Lingering>,
    lost_connections: Vec<LostConnection>,
    rate_notes: RateNotes,
    cold_grants: ColdGrants,
    ranked_form: RankedForm,
    /// The last attempt id that was assigned; its upper half is the instance.
    last_id: AttemptId,
    /// The summaries of the last snapshot, sorted by server.
    summaries: Vec<DatedSummary>,
    /// The epoch of the home that the last snapshot came from.
    snapshot_epoch: Epoch,
    snapshot_time: Time,
    /// The number of slots that this VM owns of each server, sorted by server.
    owned_slots: Vec<(ServerId, u32)>,
    next_refresh: Time,
    /// The number of the last report.
    last_report: u64,
    fallback_count: u64,
    events: Vec<Event>,
}

impl Follower {
    /// Creates a follower without a home; `instance` is the state of the shard that
    /// it belongs to.
    pub fn new(shard: ShardId, self_id: VmId, instance: InstanceId) -> Self {
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
            rate_notes: RateNotes::default(),
            cold_grants: ColdGrants::default(),
            ranked_form: RankedForm::default(),
            last_id: u64::from(instance) << instance::COUNTER_BITS,
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

    /// Returns the highest epoch that this VM has followed, the default epoch
    /// if it has followed none.
    pub fn highest_epoch(&self) -> Epoch {
        self.highest_epoch
    }

    /// Returns the home that is followed at present, if any.
    pub fn home(&self) -> Option<VmId> {
        self.following.then_some(self.highest_epoch.home)
    }

    /// Returns the number of attempts that were placed on fallback slots,
    /// without a home.
    pub fn fallback_count(&self) -> u64 {
        self.fallback_count
    }

    /// Returns whether [`Follower::tick`] has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.lost_connections.is_empty()
    }

    /// Returns the attempts that hold a permit or a fallback slot, each with
    /// its server.
    pub fn held_permits(&self) -> impl Iterator<Item = (AttemptId, ServerId)> + '_ {
        self.attempts
            .iter()
            .filter_map(|attempt| match attempt.stage {
                Stage::Held(server) => Some((attempt.id, server)),
                Stage::Waiting { .. } => None,
            })
    }

    /// Returns and clears the events since the previous call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Applies a change of the membership or of the specification. `alive` are
    /// the VMs that respond, which share the fallback slots; `eligible` are
    /// those of them that may be homes.
    pub fn set_fleet(&mut self, alive: &[VmId], eligible: &[VmId], spec: &ShardSpec, now: Time) {
        self.candidate = rendezvous::first(self.shard, eligible);
        let keys: Vec<(u64, u32)> = spec
            .servers
            .iter()
            .filter(|server| server.open && server.version == VersionGroup::Old)
            .map(|server| (server.id, server.slots))
            .collect();
        self.owned_slots.clear();
        for slot in rendezvous::partition(&keys, alive) {
            if slot.owner != self.self_id {
                continue;
            }
            match self
                .owned_slots
                .binary_search_by_key(&slot.key, |owned| owned.0)
            {
                Ok(index) => self.owned_slots[index].1 += 1,
                Err(index) => self.owned_slots.insert(index, (slot.key, 1)),
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

    /// Requests a permit and returns the id of the attempt; the result follows
    /// as an event.
    pub fn acquire(&mut self, request: PermitRequest, now: Time) -> AttemptId {
        self.last_id += 1;
        let id = self.last_id;
        self.attempts.push(Attempt {
            id,
            deadline: now + request.left,
            request,
            requested_at: now,
            stage: Stage::requested(now),
            sent_to: None,
            sent_plain: false,
        });
        if self.following {
            self.send_acquire(self.attempts.len() - 1, now);
        }
        if self.needs_join() && now >= self.next_join {
            self.join(now);
        }
        id
    }

    /// Ends an attempt in whatever stage, and releases its permit. Does nothing
    /// if the attempt has ended before.
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
                if let Some(dated) = self.summary_mut(release.server) {
                    dated.mark_responded(now);
                }
            }
            Outcome::Failed | Outcome::Shed | Outcome::Unused => {}
        }
        if self.following {
            let epoch = self.highest_epoch;
            self.send_home(Body::Release { epoch, release });
        }
    }

    /// Records that a response of `server` named a rate limit of a call every `interval`,
    /// or none, and reports the limit to the home. Has to be called before the release of
    /// the attempt.
    pub fn record_rate(&mut self, server: ServerId, interval: Option<Duration>, now: Time) {
        self.rate_notes.record(server, interval, now);
        if let (Some(interval), true) = (interval, self.following) {
            let epoch = self.highest_epoch;
            let note = RateNote {
                server,
                interval,
                age: Duration::ZERO,
            };
            let limits = vec![note];
            self.send_home(Body::RateLimits { epoch, limits });
        }
    }

    /// Gives up an attempt that was not sent to a server, whether it waits for
    /// a permit or has just been granted one.
    pub fn abandon(&mut self, call: AttemptId, now: Time) {
        let server = match self.find(call).map(|index| self.attempts[index].stage) {
            Some(Stage::Held(server)) => server,
            _ => 0,
        };
        self.release(Release::unused(call, server), now);
    }

    /// Processes a message from `from`. Messages meant for a home are ignored.
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
                    self.record_reply(call);
                    self.receive_grant(call, server, now);
                }
            }
            Body::Queued { epoch, call } => {
                if self.is_current(epoch, now) {
                    self.record_reply(call);
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
                    self.record_reply(call);
                    self.receive_refusal(call, reason, after);
                }
            }
            Body::ReadsRanked { epoch } => {
                if self.is_current(epoch, now) {
                    self.ranked_form.record_word(epoch);
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
            | Body::AcquireRanked { .. }
            | Body::Lost { .. }
            | Body::RateLimits { .. }
            | Body::ColdGrants { .. }
            | Body::Release { .. } => {}
        }
    }

    /// Performs the periodic work: resends, expires requests, joins a home and
    /// reports to it. Has to be called every few milliseconds unless
    /// [`Follower::is_idle`].
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

    /// Records a grant. A grant for an attempt that has ended is released; a
    /// grant for another server than the one held prompts a report, so that the
    /// home corrects its ledger.
    fn receive_grant(&mut self, call: AttemptId, server: ServerId, now: Time) {
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
                if self.may_be_cold(server) {
                    self.cold_grants.record(call, server, now);
                }
            }
            Stage::Held(held) if held != server => self.next_refresh = Time::ZERO,
            Stage::Held(_) => {}
        }
    }

    fn receive_queued(&mut self, call: AttemptId, now: Time) {
        if let Some(index) = self.find(call) {
            if let Stage::Waiting { .. } = self.attempts[index].stage {
                self.attempts[index].stage = Stage::Waiting {
                    resend_at: now + RESEND_QUEUED,
                    backoff: RESEND_QUEUED,
                };
            }
        }
    }

    fn receive_refusal(&mut self, call: AttemptId, reason: RefusalReason, after: Duration) {
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

    /// Refuses the attempts that have not got a permit before their deadline.
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
                    reason: RefusalReason::Expired,
                    after: EXPIRED_RETRY_AFTER,
                });
            } else {
                index += 1;
            }
        }
    }

    /// Sends those permit requests again to which the home has not replied in time.
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

    /// Records a reply to the permit request of `call`.
    fn record_reply(&mut self, call: AttemptId) {
        let epoch = self.highest_epoch;
        let found = self.find(call).map(|index| &self.attempts[index]);
        let waiting = found.filter(|attempt| {
            let ranked = attempt.request.ranking.is_some();
            let waits = matches!(attempt.stage, Stage::Waiting { .. });
            ranked && waits && attempt.sent_to == Some(epoch)
        });
        if let Some(plain) = waiting.map(|attempt| attempt.sent_plain) {
            self.ranked_form.record_reply(epoch, plain);
        }
    }

    /// Sends a permit request with the time that is left to the attempt, in a form that the
    /// home should be able to read.
    fn send_acquire(&mut self, index: usize, now: Time) {
        let epoch = self.highest_epoch;
        let attempt = &mut self.attempts[index];
        let sent = attempt.sent_to == Some(epoch);
        let ranking = attempt.request.ranking;
        let ranking = ranking.filter(|_| self.ranked_form.is_next(epoch, sent));
        attempt.sent_to = Some(epoch);
        attempt.sent_plain = (sent && attempt.sent_plain) || ranking.is_none();
        let call = attempt.id;
        let mut request = attempt.request.clone();
        request.left = attempt.deadline.saturating_sub(now);
        request.goal = request
            .goal
            .saturating_sub(now.saturating_sub(attempt.requested_at));
        let body = match ranking {
            Some(ranking) => Body::AcquireRanked {
                epoch,
                call,
                ask: request,
                ranking: Box::new(ranking),
            },
            None => Body::Acquire {
                epoch,
                call,
                ask: request,
            },
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

    fn find(&self, call: AttemptId) -> Option<usize> {
        let found = self
            .attempts
            .binary_search_by_key(&call, |attempt| attempt.id);
        found.ok()
    }
}
