//! The ledger of one shard: the home's record of limits, permits and queue.
//!
//! The ledger records every permit for the servers of the shard. It grants a
//! permit when a server has room, queues the request when none has, and refuses
//! it early when waiting could not help. Messages are idempotent, as requests,
//! releases and reports carry the ids of the attempts that they are about.
//!
//! Which slots the ledger may use depends on its [`Quorum`]. Until all VMs have
//! acknowledged its epoch, it uses warm servers only, and leaves those VMs that
//! have not acknowledged it their part of the slots of these servers. See
//! `docs/design/homes.md`.

mod admission;
pub mod decision;
mod followers;
mod grants;
mod placement;
mod ranks;
mod rollout;
mod servers;
mod slowdown;

use std::sync::Arc;
use std::time::Duration;

use base::rendezvous;
use base::Outcome;
use base::ServerId;
use base::Time;
use base::VmId;

pub use self::decision::Decision;
use self::servers::Server;
use crate::budget::Budget;
use crate::demand::Demand;
use crate::epoch::Epoch;
use crate::epoch::HomeId;
use crate::handover::Handover;
use crate::instance;
use crate::instance::InstanceId;
use crate::msg::AttemptId;
use crate::msg::AttemptKind;
use crate::msg::Body;
use crate::msg::Envelope;
use crate::msg::FollowerReport;
use crate::msg::Msg;
use crate::msg::PermitRequest;
use crate::msg::RefusalReason;
use crate::msg::Release;
use crate::permits::Permit;
use crate::permits::Permits;
use crate::queue::Queue;
use crate::queue::Waiter;
use crate::quorum::Quorum;
use crate::rollout::Exposure;
use crate::shares::Shares;
use crate::spec::ShardSpec;

/// Lower bound of the time without a response after which a VM counts as
/// departed; see [`Ledger::departure_timeout`].
const DEPARTURE_TIMEOUT_MIN: Duration = Duration::from_secs(10);
/// The departure timeout for each VM of the fleet. The more VMs there are, the
/// longer a home that is cut off takes to find out that most of them do not
/// respond.
const DEPARTURE_TIMEOUT_PER_VM: Duration = Duration::from_millis(150);
/// The time after its last permit request for which the state of a follower is
/// kept.
const FOLLOWER_RETENTION: Duration = Duration::from_secs(30);
/// The time after a report of a follower for which reports of its older instances are
/// ignored. It is bounded since the follower's clock may have been set back.
const REPORT_RETENTION: Duration = Duration::from_secs(5);
/// The time after the deadline of its call for which a permit is kept if no
/// release arrives.
const PERMIT_GRACE: Duration = Duration::from_secs(1);
/// The shortest time for which a server is assumed to run a cancelled call on.
const LINGER_MIN: Duration = Duration::from_millis(20);
/// The time for which a server is assumed to run a cancelled call on, in usual
/// service times.
const LINGER_SERVICE_TIMES: f64 = 2.0;
/// The delay after which a caller should try again if no server may be given
/// calls.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The delay after which a caller should try again if the budget for second
/// attempts is used up.
const BUDGET_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The shortest time after which a caller is asked to repeat a refused call.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// How often a home tells a follower that it reads ranked requests, since messages may be
/// lost.
const READS_RANKED_TOLD: u32 = 3;
/// The number of requests at the head of the queue that are checked for one
/// that may be granted, since the first one may not suit the server that is
/// free.
const QUEUE_SCAN_MAX: usize = 8;

/// The number of ranks whose refusals are counted apart.
pub const RANK_COUNTS: usize = 4;

/// The membership of the fleet as this VM sees it, which the home gets from its
/// environment.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// All VMs that may hold permits, sorted.
    pub vms: &'a [VmId],
    /// The VMs of `vms` that respond, sorted.
    pub alive: &'a [VmId],
    /// The number of VMs that should exist but have not been discovered yet.
    pub undiscovered: usize,
}

/// An action that the code around the ledger has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Deliver the message.
    Send(Envelope),
    /// Probe the server's health and pass the result to
    /// [`Ledger::record_probe`].
    Probe(ServerId),
    /// Drop the ledger, because a VM follows this epoch, which is higher than
    /// that of the ledger.
    StepDown(Epoch),
}

/// The state of a follower that has requested permits or attached recently.
#[derive(Clone, Debug)]
struct FollowerState {
    vm: VmId,
    last_request: Time,
    last_snapshot: Time,
    /// The last report; older ones that arrive later are ignored.
    last_report: Option<ReportStamp>,
    /// How often the follower was told that this home reads ranked requests.
    told_ranked: u32,
}

/// Identifies a report of a follower among its reports.
#[derive(Clone, Copy, Debug)]
struct ReportStamp {
    instance: InstanceId,
    number: u64,
    received: Time,
}

impl FollowerState {
    /// Records `report` as the last one, unless it is older than the last one, and
    /// returns whether it was recorded.
    ///
    /// A report of an older instance may have been delayed across a restart of the
    /// follower.
    fn accept_report(&mut self, report: &FollowerReport, now: Time) -> bool {
        let new = ReportStamp {
            instance: instance::of_attempt(report.last_issued),
            number: report.number,
            received: now,
        };
        let outdated = self.last_report.is_some_and(|last| {
            if last.instance == new.instance {
                new.number <= last.number
            } else {
                let recent = now < last.received + REPORT_RETENTION;
                recent && instance::is_older(new.instance, last.instance)
            }
        });
        if !outdated {
            self.last_report = Some(new);
        }
        !outdated
    }
}

/// Counters of one home since it became home, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits granted.
    pub granted: u64,
    /// Requests queued.
    pub queued: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused, of those with a ranking, by rank; the last number counts all
    /// ranks from there on.
    pub refused_by_rank: [u64; RANK_COUNTS],
    /// Requests refused after they had been queued, as dearer ones needed the room.
    pub evicted: u64,
    /// Probes started.
    pub probes: u64,
}

/// The home's record of limits, permits and queue for one shard.
#[derive(Clone, Debug)]
pub struct Ledger {
    home: HomeId,
    pub(crate) epoch: Epoch,
    prior_epoch: Epoch,
    pub(crate) spec: Arc<ShardSpec>,
    pub(crate) servers: Vec<Server>,
    pub(crate) permits: Permits,
    pub(crate) queue: Queue,
    pub(crate) quorum: Quorum,
    pub(crate) complete: bool,
    /// Whether enough followers have sent snapshots for these to be adopted;
    /// see [`Ledger::update_epoch_state`].
    handover_trusted: bool,
    /// The owner of each slot, which is the VM that may use the slot as a
    /// fallback while it follows no home.
    slot_owners: Vec<rendezvous::OwnedSlot>,
    handover: Handover,
    /// Sorted by VM.
    followers: Vec<FollowerState>,
    retry_budget: Budget,
    hedge_budget: Budget,
    /// The median of the servers' usual service times in seconds; 0 before the
    /// first response.
    typical_time: f64,
    /// The moving average of the service times of all calls in seconds, those
    /// on slow hosts included.
    mean_time: f64,
    /// The moving average of the service times, in seconds, of calls that found
    /// their server without other calls.
    uncontended: f64,
    /// The moving average of the service times, in seconds, of calls that found
    /// other calls at their server.
    contended: f64,
    /// The moving average of the reported slowdown of the hosts; 1 is their
    /// usual speed.
    mean_slowdown: f64,
    /// Whether health checks report warmth; none before the first successful
    /// one.
    reports_warmth: Option<bool>,
    /// The moving average, in seconds, of the time between grant and release in
    /// which the server does not run the call.
    idle_gap: f64,
    /// The exposure of a version on trial; none if no roll-out is under way.
    exposure: Option<Exposure>,
    /// Whether a warmth, a limit or the specification has changed in a way that
    /// the followers have not been sent yet.
    summaries_changed: bool,
    last_broadcast: Time,
    /// The moving average of the time of a call that found its server with one free slot,
    /// by the time that its request named.
    work_pace: f64,
    /// What calls of each rank have needed lately.
    demand: Demand,
    /// How well kinds and teams have been served lately.
    shares: Shares,
    counts: Counts,
    decisions: Vec<Decision>,
    actions: Vec<Action>,
}

impl Ledger {
    /// Creates the ledger of a new epoch, which follows `prior_epoch`, the
    /// highest epoch that this VM knows of.
    pub fn new(
        home: HomeId,
        prior_epoch: Epoch,
        spec: Arc<ShardSpec>,
        fleet: Fleet<'_>,
        now: Time,
    ) -> Self {
        let mut ledger = Self {
            home,
            epoch: Epoch::after(prior_epoch, home),
            prior_epoch,
            servers: Vec::new(),
            permits: Permits::default(),
            queue: Queue::default(),
            quorum: Quorum::new(fleet.vms, fleet.alive, now).with_undiscovered(fleet.undiscovered),
            complete: false,
            handover_trusted: false,
            slot_owners: Vec::new(),
            handover: Handover::default(),
            followers: Vec::new(),
            retry_budget: Budget::new(spec.retry_percent, spec.retry_slack),
            hedge_budget: Budget::new(spec.hedge_percent, spec.hedge_slack),
            typical_time: 0.0,
            mean_time: 0.0,
            uncontended: 0.0,
            contended: 0.0,
            mean_slowdown: 1.0,
            reports_warmth: None,
            idle_gap: 0.0,
            exposure: None,
            summaries_changed: true,
            last_broadcast: Time::ZERO,
            work_pace: slowdown::FULL_PACE_START,
            demand: Demand::default(),
            shares: Shares::default(),
            counts: Counts::default(),
            decisions: Vec::new(),
            actions: Vec::new(),
            spec,
        };
        ledger.sync_rollout(now);
        ledger.sync_servers();
        ledger.assign_slots();
        ledger.update_epoch_state(now);
        ledger.request_acknowledgements(now);
        ledger
    }

    /// Returns the epoch in which this VM is home.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time without a response after which a VM counts as departed,
    /// so that the epoch does not need its acknowledgement any more.
    ///
    /// The timeout exceeds the longest deadline of a call, so no call that the
    /// VM has sent can still be running.
    pub fn departure_timeout(&self) -> Duration {
        let fleet = DEPARTURE_TIMEOUT_PER_VM * self.quorum.len() as u32;
        DEPARTURE_TIMEOUT_MIN
            .max(fleet)
            .max(self.spec.max_deadline + PERMIT_GRACE)
    }

    /// Returns whether the epoch is complete: all VMs that have not departed
    /// have acknowledged it.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the counters of this home.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns all permits, lingering ones included, sorted by VM and attempt.
    pub fn permits(&self) -> &[Permit] {
        self.permits.list()
    }

    /// Returns and clears the decisions made since the previous call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns and clears the actions that have become due since the previous
    /// call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Applies a changed specification of the shard.
    pub fn set_spec(&mut self, spec: Arc<ShardSpec>, now: Time) {
        self.retry_budget
            .set_limits(spec.retry_percent, spec.retry_slack);
        self.hedge_budget
            .set_limits(spec.hedge_percent, spec.hedge_slack);
        self.spec = spec;
        self.summaries_changed = true;
        self.sync_rollout(now);
        self.sync_servers();
        self.assign_slots();
        self.update_epoch_state(now);
        self.serve_queue(now);
    }

    /// Applies a change of the membership, and drops the queued requests of VMs
    /// that have left it.
    pub fn set_fleet(&mut self, fleet: Fleet<'_>, now: Time) {
        self.quorum.update(fleet.vms, fleet.alive, now);
        self.quorum.set_undiscovered(fleet.undiscovered);
        self.assign_slots();
        self.linger_unreachable(fleet, now);
        let waiters = self
            .queue
            .extract_if(|w| fleet.vms.binary_search(&w.vm).is_err());
        drop(waiters);
        self.update_epoch_state(now);
        self.request_acknowledgements(now);
        self.serve_queue(now);
    }

    /// Performs the periodic work: expires permits and requests, serves the
    /// queue, and starts probes and snapshots. Has to be called every few tens
    /// of milliseconds.
    pub fn tick(&mut self, now: Time) {
        self.expire(now);
        self.update_epoch_state(now);
        self.request_acknowledgements(now);
        self.forget_stale(now);
        self.update_typical_time();
        self.update_queue_order(now);
        self.probe_for_waiting(now);
        self.serve_queue(now);
        self.send_snapshots(now);
        self.start_probes(now);
    }

    /// Processes a message from the follower `from`. Permit requests and
    /// reports of another epoch, and messages meant for followers, have no
    /// effect on the permits.
    pub fn receive(&mut self, from: VmId, body: Body, now: Time) {
        match body {
            Body::Join { seen, nonce } => self.join(from, seen, nonce, now),
            Body::Stale { seen } => self.check_superseded(seen),
            Body::Attach {
                epoch,
                holding,
                snapshot,
            } => {
                if self.is_current(from, epoch) {
                    self.attach(from, &holding, &snapshot, now);
                }
            }
            Body::Refresh { epoch, holding } => {
                if self.is_current(from, epoch) {
                    self.reconcile(from, &holding, now);
                    self.serve_queue(now);
                }
            }
            Body::Acquire {
                epoch,
                call,
                ask: request,
            } => {
                if self.is_current(from, epoch) {
                    self.acquire(from, call, request, now);
                }
            }
            Body::AcquireRanked {
                epoch,
                call,
                ask: mut request,
                ranking,
            } => {
                if self.is_current(from, epoch) {
                    self.tell_reads_ranked(from, now);
                    request.ranking = Some(*ranking);
                    self.acquire(from, call, request, now);
                }
            }
            Body::Release { epoch, release } => {
                if self.is_current(from, epoch) {
                    self.release(from, release, now);
                }
            }
            Body::Lost { epoch, server } => {
                if self.is_current(from, epoch) {
                    self.connection_lost(server, now);
                }
            }
            Body::RateLimits { epoch, limits } => {
                if self.is_current(from, epoch) {
                    self.set_rate_limits(&limits, now);
                }
            }
            Body::ColdGrants { epoch, grants } => {
                if self.is_current(from, epoch) {
                    self.count_cold_grants(from, &grants, now);
                }
            }
            Body::Lead { .. }
            | Body::NotHome { .. }
            | Body::Grant { .. }
            | Body::Queued { .. }
            | Body::Refuse { .. }
            | Body::Snapshot { .. }
            | Body::ReadsRanked { .. } => {}
        }
    }

    fn acquire(&mut self, from: VmId, call: AttemptId, request: PermitRequest, now: Time) {
        self.follower_state(from, now).last_request = now;
        if let Some(permit) = self.permits.get(from, call) {
            let server = permit.server;
            if !permit.lingers {
                self.send_grant(from, call, server);
            }
            return;
        }
        if self.queue.contains(from, call) {
            self.send_queued(from, call);
            return;
        }
        let uses_retry_budget = matches!(request.kind, AttemptKind::Retry | AttemptKind::Rescue);
        let waiter = Waiter::new(from, call, request, now);
        if uses_retry_budget && !self.retry_budget.try_spend(now) {
            self.refuse(&waiter, RefusalReason::Budget, BUDGET_RETRY_AFTER, false);
            return;
        }
        if waiter.request.kind == AttemptKind::Hedge {
            self.admit_hedge(&waiter, now);
        } else {
            self.admit(waiter, now);
        }
    }

    /// Grants or refuses a hedge at once. A hedge gets a permit only if the
    /// queue is empty, the hedge budget allows it and a warm server has a free
    /// slot.
    fn admit_hedge(&mut self, waiter: &Waiter, now: Time) {
        let choice = if self.queue.is_empty() && self.hedge_budget.allows(now) {
            self.choose_server(waiter, true, now)
        } else {
            None
        };
        match choice {
            Some(index) => {
                self.hedge_budget.try_spend(now);
                self.grant(waiter, index, now);
            }
            None => self.refuse(waiter, RefusalReason::Budget, BUDGET_RETRY_AFTER, false),
        }
    }

    fn release(&mut self, from: VmId, release: Release, now: Time) {
        drop(
            self.queue
                .extract_if(|w| w.vm == from && w.call == release.call),
        );
        let Some(permit) = self.permits.get(from, release.call).copied() else {
            return;
        };
        if permit.lingers || permit.server != release.server {
            return;
        }
        self.record_evidence(&permit, &release, now);
        self.record_release(&permit, &release, now);
        match release.outcome {
            Outcome::Cancelled | Outcome::Late => self.linger(from, release.call, now),
            _ => self.remove_permit(from, release.call),
        }
        self.serve_queue(now);
    }

    /// Grants permits to queued requests as long as servers have room for them.
    fn serve_queue(&mut self, now: Time) {
        let mut index = 0;
        while index < self.queue.len().min(QUEUE_SCAN_MAX) {
            let waiter = self.queue.list()[index].clone();
            if self.is_held_back(&waiter, now) {
                index += 1;
                continue;
            }
            match self.choose_server(&waiter, false, now) {
                Some(_) if self.awaits_probes(&waiter, now) => index += 1,
                Some(server) => {
                    self.queue.remove(index);
                    self.grant(&waiter, server, now);
                }
                None => index += 1,
            }
        }
    }

    /// Returns the state of the follower `vm`, and adds it if there is none
    /// yet.
    fn follower_state(&mut self, vm: VmId, now: Time) -> &mut FollowerState {
        let found = self
            .followers
            .binary_search_by_key(&vm, |follower| follower.vm);
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let follower = FollowerState {
                    vm,
                    last_request: now,
                    last_snapshot: Time::ZERO,
                    last_report: None,
                    told_ranked: 0,
                };
                self.followers.insert(index, follower);
                index
            }
        };
        &mut self.followers[index]
    }

    /// Tells the follower `to` that this home reads ranked requests: from the time of a
    /// reply alone it could not tell a slow home from one that reads the plain form only.
    fn tell_reads_ranked(&mut self, to: VmId, now: Time) {
        let follower = self.follower_state(to, now);
        if follower.told_ranked < READS_RANKED_TOLD {
            follower.told_ranked += 1;
            let epoch = self.epoch;
            self.send(to, Body::ReadsRanked { epoch });
        }
    }

    fn send_grant(&mut self, to: VmId, call: AttemptId, server: ServerId) {
        let epoch = self.epoch;
        let body = Body::Grant {
            epoch,
            call,
            server,
        };
        self.send(to, body);
    }

    fn send_queued(&mut self, to: VmId, call: AttemptId) {
        let epoch = self.epoch;
        self.send(to, Body::Queued { epoch, call });
    }

    /// Refuses `waiter`; `evicted` says whether it gave way to dearer ones in the queue.
    fn refuse(&mut self, waiter: &Waiter, reason: RefusalReason, after: Duration, evicted: bool) {
        self.counts.refused += 1;
        if let Some(ranking) = &waiter.request.ranking {
            let index = (ranking.rank as usize).min(RANK_COUNTS - 1);
            self.counts.refused_by_rank[index] += 1;
        }
        let call = waiter.call;
        self.decisions.push(Decision::Refused {
            vm: waiter.vm,
            call,
            reason,
            after,
            waiting: self.queue.len(),
            ranking: waiter.ranking(),
            evicted,
        });
        let epoch = self.epoch;
        let body = Body::Refuse {
            epoch,
            call,
            reason,
            after,
        };
        self.send(waiter.vm, body);
    }

    fn send(&mut self, to: VmId, body: Body) {
        let shard = self.spec.shard;
        let msg = Msg { shard, body };
        self.actions.push(Action::Send(Envelope { to, msg }));
    }
}
