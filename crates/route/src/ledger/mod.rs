//! The slot ledger of one shard, kept by its home.
//!
//! The ledger knows every permit that is out for the shard's servers. It
//! grants a permit when a server has room, keeps the request in line when none
//! has, and refuses it early when waiting could not help. Everything a message
//! may do twice is harmless: requests, releases and reports name the attempt.
//!
//! What the ledger may use depends on its [`Roster`]: until all VMs have
//! promised to follow its epoch, it leaves the silent ones their part of the
//! warm servers' slots and uses no other server. See `docs/design/homes.md`.
mod admission;
pub mod decision;
mod followers;
mod grants;
mod placement;
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
use crate::epoch::Epoch;
use crate::handover::Handover;
use crate::msg::Ask;
use crate::msg::Body;
use crate::msg::CallNo;
use crate::msg::Envelope;
use crate::msg::Kind;
use crate::msg::Msg;
use crate::msg::Reason;
use crate::msg::Release;
use crate::permits::Permit;
use crate::permits::Permits;
use crate::queue::Queue;
use crate::queue::Waiter;
use crate::roster::Roster;
use crate::spec::Spec;

/// The shortest silence after which a VM's permits and promise do not count any
/// more.
const DEPARTURE_TIMEOUT_MIN: Duration = Duration::from_secs(10);
/// The same for each VM of the fleet: the more there are, the longer a home that
/// is cut off takes to find out that it does not hear most of them.
const DEPARTURE_TIMEOUT_PER_VM: Duration = Duration::from_millis(150);
/// The silence after which a follower is not sent snapshots any more.
const FOLLOWER_RETENTION: Duration = Duration::from_secs(30);
/// Time beyond its deadline for which a permit is kept when nothing is heard.
const PERMIT_GRACE: Duration = Duration::from_secs(1);
/// The shortest time that a cancelled call is thought to run on.
const LINGER_MIN: Duration = Duration::from_millis(20);
/// Usual service times for which a cancelled call is thought to run on.
const LINGER_SERVICE_TIMES: f64 = 2.0;
/// When a caller should try again if no server may take work.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When a caller should try again if the budget for second tries is spent.
const BUDGET_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The shortest time after which a refused call should be tried again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Waiters that are looked at for one that a free server suits.
const QUEUE_SCAN_MAX: usize = 8;

/// What the home does not know by itself but is told.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// All VMs that may hold permits, sorted.
    pub vms: &'a [VmId],
    /// Those of them that answer, sorted.
    pub alive: &'a [VmId],
    /// VMs that should exist and of which nothing has been heard.
    pub undiscovered: usize,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Deliver a message.
    Send(Envelope),
    /// Ask the server for its health and report with [`Ledger::record_probe`].
    Probe(ServerId),
    /// Drop the ledger: this epoch is over.
    StepDown(Epoch),
}

/// A follower that has asked for something.
#[derive(Clone, Debug)]
struct FollowerState {
    vm: VmId,
    last_request: Time,
    last_snapshot: Time,
    last_report: u64,
    boot_id: u32,
}

/// What one home counts, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits granted.
    pub granted: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Requests refused.
    pub refused: u64,
    /// Probes asked for.
    pub probes: u64,
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    self_id: VmId,
    pub(crate) epoch: Epoch,
    prior_epoch: Epoch,
    pub(crate) spec: Arc<Spec>,
    pub(crate) servers: Vec<Server>,
    pub(crate) permits: Permits,
    pub(crate) queue: Queue,
    pub(crate) quorum: Roster,
    pub(crate) complete: bool,
    handover_trusted: bool,
    slot_owners: Vec<rendezvous::Unit>,
    handover: Handover,
    followers: Vec<FollowerState>,
    retry_budget: Budget,
    hedge_budget: Budget,
    typical_time: f64,
    /// The average time that a call takes at a server, slow hosts counted.
    mean_time: f64,
    /// The average time of calls that had their server to themselves, and of
    /// those that had not.
    uncontended: f64,
    contended: f64,
    /// How much longer work takes on the hosts on average.
    mean_slowdown: f64,
    /// Whether health answers tell of warmth; none before the first.
    reports_warmth: Option<bool>,
    idle_gap: f64,
    summaries_changed: bool,
    last_broadcast: Time,
    counts: Counts,
    decisions: Vec<Decision>,
    actions: Vec<Action>,
}

impl Ledger {
    /// Makes the ledger of a new epoch, which follows `prior`.
    pub fn new(
        self_id: VmId,
        prior_epoch: Epoch,
        spec: Arc<Spec>,
        fleet: Fleet<'_>,
        now: Time,
    ) -> Self {
        let mut ledger = Self {
            self_id,
            epoch: Epoch::after(prior_epoch, self_id),
            prior_epoch,
            servers: Vec::new(),
            permits: Permits::default(),
            queue: Queue::default(),
            quorum: Roster::new(fleet.vms, fleet.alive, now).with_strangers(fleet.undiscovered),
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
            summaries_changed: true,
            last_broadcast: Time::ZERO,
            counts: Counts::default(),
            decisions: Vec::new(),
            actions: Vec::new(),
            spec,
        };
        ledger.sync_servers();
        ledger.assign_slots();
        ledger.update_epoch_state(now);
        ledger.request_acknowledgements(now);
        ledger
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the silence after which a VM's permits and promise do not count
    /// any more: nothing that it began can still be running.
    pub fn departure_timeout(&self) -> Duration {
        let fleet = DEPARTURE_TIMEOUT_PER_VM * self.quorum.len() as u32;
        DEPARTURE_TIMEOUT_MIN
            .max(fleet)
            .max(self.spec.longest + PERMIT_GRACE)
    }

    /// Returns whether all VMs follow this epoch.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns what was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many permits are out.
    pub fn permits(&self) -> &[Permit] {
        self.permits.list()
    }

    /// Takes the decisions made since the last time.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the actions that have come up since the last time.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Follows a change of the configuration.
    pub fn set_spec(&mut self, spec: Arc<Spec>, now: Time) {
        self.retry_budget.set(spec.retry_percent, spec.retry_slack);
        self.hedge_budget.set(spec.hedge_percent, spec.hedge_slack);
        self.spec = spec;
        self.summaries_changed = true;
        self.sync_servers();
        self.assign_slots();
        self.update_epoch_state(now);
        self.serve_queue(now);
    }

    /// Follows a change of the membership.
    pub fn set_fleet(&mut self, fleet: Fleet<'_>, now: Time) {
        self.quorum.update(fleet.vms, fleet.alive, now);
        self.quorum.set_strangers(fleet.undiscovered);
        self.assign_slots();
        self.linger_unreachable(fleet, now);
        let waiters = self.queue.take(|w| fleet.vms.binary_search(&w.vm).is_err());
        drop(waiters);
        self.update_epoch_state(now);
        self.request_acknowledgements(now);
        self.serve_queue(now);
    }

    /// Does what is due; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Time) {
        self.expire(now);
        self.update_epoch_state(now);
        self.request_acknowledgements(now);
        self.forget_stale(now);
        self.update_typical_time();
        self.probe_for_waiting(now);
        self.serve_queue(now);
        self.send_snapshots(now);
        self.start_probes(now);
    }

    /// Takes a message from the follower `from`.
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
            Body::Acquire { epoch, call, ask } => {
                if self.is_current(from, epoch) {
                    self.acquire(from, call, ask, now);
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
            Body::Lead { .. }
            | Body::NotHome { .. }
            | Body::Grant { .. }
            | Body::Queued { .. }
            | Body::Refuse { .. }
            | Body::Snapshot { .. } => {}
        }
    }

    fn acquire(&mut self, from: VmId, call: CallNo, ask: Ask, now: Time) {
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
        if ask.kind == Kind::First {
            self.retry_budget.earn(now);
            self.hedge_budget.earn(now);
        }
        let again = matches!(ask.kind, Kind::Retry | Kind::Rescue);
        if again && !self.retry_budget.spend(now) {
            self.refuse(from, call, Reason::Budget, BUDGET_RETRY_AFTER);
            return;
        }
        let waiter = Waiter::new(from, call, ask, now);
        if waiter.ask.kind == Kind::Hedge {
            self.admit_hedge(&waiter, now);
        } else {
            self.admit(waiter, now);
        }
    }

    /// Grants a hedge only out of what nobody else wants.
    fn admit_hedge(&mut self, waiter: &Waiter, now: Time) {
        let choice = if self.queue.is_empty() && self.hedge_budget.allows(now) {
            self.choose_server(waiter, true, now)
        } else {
            None
        };
        match choice {
            Some(index) => {
                self.hedge_budget.spend(now);
                self.grant(waiter, index, now);
            }
            None => self.refuse(waiter.vm, waiter.call, Reason::Budget, BUDGET_RETRY_AFTER),
        }
    }

    fn release(&mut self, from: VmId, release: Release, now: Time) {
        drop(self.queue.take(|w| w.vm == from && w.call == release.call));
        let Some(permit) = self.permits.get(from, release.call).copied() else {
            return;
        };
        if permit.lingers || permit.server != release.server {
            return;
        }
        self.record_release(&permit, &release, now);
        match release.outcome {
            Outcome::Cancelled | Outcome::Late => self.linger(from, release.call, now),
            _ => self.remove_permit(from, release.call),
        }
        self.serve_queue(now);
    }

    /// Serves waiting requests as long as there is room.
    fn serve_queue(&mut self, now: Time) {
        let mut index = 0;
        while index < self.queue.len().min(QUEUE_SCAN_MAX) {
            let waiter = self.queue.list()[index].clone();
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
                    last_report: 0,
                    boot_id: 0,
                };
                self.followers.insert(index, follower);
                index
            }
        };
        &mut self.followers[index]
    }

    fn send_grant(&mut self, to: VmId, call: CallNo, server: ServerId) {
        let epoch = self.epoch;
        let body = Body::Grant {
            epoch,
            call,
            server,
        };
        self.send(to, body);
    }

    fn send_queued(&mut self, to: VmId, call: CallNo) {
        let epoch = self.epoch;
        self.send(to, Body::Queued { epoch, call });
    }

    fn refuse(&mut self, to: VmId, call: CallNo, reason: Reason, after: Duration) {
        self.counts.refused += 1;
        self.decisions.push(Decision::Refused {
            vm: to,
            call,
            reason,
            after,
            waiting: self.queue.len(),
        });
        let epoch = self.epoch;
        let body = Body::Refuse {
            epoch,
            call,
            reason,
            after,
        };
        self.send(to, body);
    }

    fn send(&mut self, to: VmId, body: Body) {
        let shard = self.spec.shard;
        let msg = Msg { shard, body };
        self.actions.push(Action::Send(Envelope { to, msg }));
    }
}
