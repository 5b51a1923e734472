//! The slot ledger of one shard, kept by its home.
//!
//! The ledger knows every permit that is out for the shard's servers. It
//! grants a permit when a server has room, keeps the request in line when none
//! has, and refuses it early when waiting could not help. Everything a message
//! may do twice is harmless: requests, releases and reports name the attempt.
//!
//! What the ledger may use depends on its [`Quorum`]: until all VMs have
//! promised to follow its epoch, it leaves the silent ones their part of the
//! warm servers' slots and uses no other server. See `docs/design/homes.md`.
mod admit;
pub mod decision;
mod grants;
mod pace;
mod place;
mod promises;
mod servers;

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
use crate::msg::AttemptId;
use crate::msg::AttemptKind;
use crate::msg::Body;
use crate::msg::Envelope;
use crate::msg::Msg;
use crate::msg::PermitRequest;
use crate::msg::RefusalReason;
use crate::msg::Release;
use crate::permits::Permit;
use crate::permits::Permits;
use crate::queue::Queue;
use crate::queue::Waiter;
use crate::quorum::Quorum;
use crate::spec::ShardSpec;

/// The shortest silence after which a VM's permits and promise do not count any
/// more.
const GONE_MIN: Duration = Duration::from_secs(10);
/// The same for each VM of the fleet: the more there are, the longer a home that
/// is cut off takes to find out that it does not hear most of them.
const GONE_EACH: Duration = Duration::from_millis(150);
/// The silence after which a follower is not sent snapshots any more.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// Time beyond its deadline for which a permit is kept when nothing is heard.
const GRACE: Duration = Duration::from_secs(1);
/// The shortest time that a cancelled call is thought to run on.
const LINGER_MIN: Duration = Duration::from_millis(20);
/// Usual service times for which a cancelled call is thought to run on.
const LINGER: f64 = 2.0;
/// When a caller should try again if no server may take work.
const NO_SERVER_WAIT: Duration = Duration::from_secs(1);
/// When a caller should try again if the budget for second tries is spent.
const BUDGET_WAIT: Duration = Duration::from_millis(200);
/// The shortest time after which a refused call should be tried again.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Waiters that are looked at for one that a free server suits.
const LOOK_AHEAD: usize = 8;

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
struct Active {
    vm: VmId,
    asked: Time,
    sent: Time,
    report: u64,
    life: u32,
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
    me: VmId,
    pub(crate) epoch: Epoch,
    prior: Epoch,
    pub(crate) spec: Arc<ShardSpec>,
    pub(crate) servers: Vec<Server>,
    pub(crate) permits: Permits,
    pub(crate) queue: Queue,
    pub(crate) roster: Quorum,
    pub(crate) complete: bool,
    trusted: bool,
    units: Vec<rendezvous::OwnedSlot>,
    handover: Handover,
    active: Vec<Active>,
    retries: Budget,
    hedges: Budget,
    typical: f64,
    /// The average time that a call takes at a server, slow hosts counted.
    average: f64,
    /// The average time of calls that had their server to themselves, and of
    /// those that had not.
    alone: f64,
    crowded: f64,
    /// How much longer work takes on the hosts on average.
    slowness: f64,
    /// Whether health answers tell of warmth; none before the first.
    tells_warmth: Option<bool>,
    gap: f64,
    changed: bool,
    sent: Time,
    counts: Counts,
    decisions: Vec<Decision>,
    actions: Vec<Action>,
}

impl Ledger {
    /// Makes the ledger of a new epoch, which follows `prior`.
    pub fn new(me: VmId, prior: Epoch, spec: Arc<ShardSpec>, fleet: Fleet<'_>, now: Time) -> Self {
        let mut ledger = Self {
            me,
            epoch: Epoch::after(prior, me),
            prior,
            servers: Vec::new(),
            permits: Permits::default(),
            queue: Queue::default(),
            roster: Quorum::new(fleet.vms, fleet.alive, now).with_undiscovered(fleet.undiscovered),
            complete: false,
            trusted: false,
            units: Vec::new(),
            handover: Handover::default(),
            active: Vec::new(),
            retries: Budget::new(spec.retry_percent, spec.retry_slack),
            hedges: Budget::new(spec.hedge_percent, spec.hedge_slack),
            typical: 0.0,
            average: 0.0,
            alone: 0.0,
            crowded: 0.0,
            slowness: 1.0,
            tells_warmth: None,
            gap: 0.0,
            changed: true,
            sent: Time::ZERO,
            counts: Counts::default(),
            decisions: Vec::new(),
            actions: Vec::new(),
            spec,
        };
        ledger.match_servers();
        ledger.divide();
        ledger.review(now);
        ledger.ask_promises(now);
        ledger
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the silence after which a VM's permits and promise do not count
    /// any more: nothing that it began can still be running.
    pub fn departure_timeout(&self) -> Duration {
        let fleet = GONE_EACH * self.roster.len() as u32;
        GONE_MIN.max(fleet).max(self.spec.max_deadline + GRACE)
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
    pub fn set_spec(&mut self, spec: Arc<ShardSpec>, now: Time) {
        self.retries
            .set_limits(spec.retry_percent, spec.retry_slack);
        self.hedges.set_limits(spec.hedge_percent, spec.hedge_slack);
        self.spec = spec;
        self.changed = true;
        self.match_servers();
        self.divide();
        self.review(now);
        self.pump(now);
    }

    /// Follows a change of the membership.
    pub fn set_fleet(&mut self, fleet: Fleet<'_>, now: Time) {
        self.roster.update(fleet.vms, fleet.alive, now);
        self.roster.set_undiscovered(fleet.undiscovered);
        self.divide();
        self.linger_silent(fleet, now);
        let waiters = self
            .queue
            .extract_if(|w| fleet.vms.binary_search(&w.vm).is_err());
        drop(waiters);
        self.review(now);
        self.ask_promises(now);
        self.pump(now);
    }

    /// Does what is due; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Time) {
        self.expire(now);
        self.review(now);
        self.ask_promises(now);
        self.forget_stale(now);
        self.learn_typical();
        self.ask_for_waiting(now);
        self.pump(now);
        self.send_snapshots(now);
        self.start_probes(now);
    }

    /// Takes a message from the follower `from`.
    pub fn receive(&mut self, from: VmId, body: Body, now: Time) {
        match body {
            Body::Join { seen, nonce } => self.join(from, seen, nonce, now),
            Body::Stale { seen } => self.overtaken(seen),
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
                    self.pump(now);
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
                    self.lost(server, now);
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

    fn acquire(&mut self, from: VmId, call: AttemptId, ask: PermitRequest, now: Time) {
        self.active(from, now).asked = now;
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
        if ask.kind == AttemptKind::First {
            self.retries.record_first(now);
            self.hedges.record_first(now);
        }
        let again = matches!(ask.kind, AttemptKind::Retry | AttemptKind::Rescue);
        if again && !self.retries.try_spend(now) {
            self.refuse(from, call, RefusalReason::Budget, BUDGET_WAIT);
            return;
        }
        let waiter = Waiter::new(from, call, ask, now);
        if waiter.request.kind == AttemptKind::Hedge {
            self.hedge(&waiter, now);
        } else {
            self.admit(waiter, now);
        }
    }

    /// Grants a hedge only out of what nobody else wants.
    fn hedge(&mut self, waiter: &Waiter, now: Time) {
        let place = if self.queue.is_empty() && self.hedges.allows(now) {
            self.place(waiter, true, now)
        } else {
            None
        };
        match place {
            Some(at) => {
                self.hedges.try_spend(now);
                self.grant(waiter, at, now);
            }
            None => self.refuse(waiter.vm, waiter.call, RefusalReason::Budget, BUDGET_WAIT),
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
        self.learn(&permit, &release, now);
        match release.outcome {
            Outcome::Cancelled | Outcome::Late => self.linger(from, release.call, now),
            _ => self.free(from, release.call),
        }
        self.pump(now);
    }

    /// Serves waiting requests as long as there is room.
    fn pump(&mut self, now: Time) {
        let mut at = 0;
        while at < self.queue.len().min(LOOK_AHEAD) {
            let waiter = self.queue.list()[at].clone();
            match self.place(&waiter, false, now) {
                Some(_) if self.awaits_reports(&waiter, now) => at += 1,
                Some(server) => {
                    self.queue.remove(at);
                    self.grant(&waiter, server, now);
                }
                None => at += 1,
            }
        }
    }

    fn active(&mut self, vm: VmId, now: Time) -> &mut Active {
        let found = self.active.binary_search_by_key(&vm, |active| active.vm);
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let active = Active {
                    vm,
                    asked: now,
                    sent: Time::ZERO,
                    report: 0,
                    life: 0,
                };
                self.active.insert(at, active);
                at
            }
        };
        &mut self.active[at]
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

    fn refuse(&mut self, to: VmId, call: AttemptId, reason: RefusalReason, after: Duration) {
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
