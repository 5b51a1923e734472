//! What a VM knows of the roll-outs: which orders are under way, how far they are, and
//! what there is to write. Decisions only; [`crate::rollouts`] carries them out.

use std::time::Duration;

use base::OrderId;
use base::Revision;
use base::ServerId;
use base::ServiceId;
use base::ShardId;
use base::Time;
use base::VmId;
use conf::Rollout;
use conf::RolloutState;
use route::rollout::decider::Findings;
use route::rollout::decider::Step;
use route::rollout::Decider;
use route::rollout::Phase;
use route::rollout::Report;
use route::rollout::Supply;

/// The ended orders that are remembered beyond those in the registry.
const ENDED_MAX: usize = 64;
/// The time after which a VM that is not the first choice stops to decide, if no home
/// reports to it.
const HEARD_MAX: Duration = Duration::from_secs(3);
/// The delays between two writes of a status, and between two times that all VMs are told
/// of a roll-back. They double.
const REPEAT_MIN: Duration = Duration::from_millis(400);
const REPEAT_MAX: Duration = Duration::from_secs(4);

/// An entry of the catalog.
pub struct Entry {
    /// The name in the registry.
    pub name: String,
    /// The revision in the registry.
    pub revision: Revision,
    /// The order.
    pub rollout: Rollout,
}

/// A delay that doubles with each use.
#[derive(Clone, Copy, Debug)]
struct Repeat {
    due: Time,
    delay: Duration,
}

impl Repeat {
    fn new() -> Self {
        Self {
            due: Time::ZERO,
            delay: REPEAT_MIN,
        }
    }

    /// Returns whether it is time, and sets the next time if it is.
    fn take(&mut self, now: Time) -> bool {
        let due = now >= self.due;
        if due {
            self.due = now + self.delay;
            self.delay = (self.delay * 2).min(REPEAT_MAX);
        }
        due
    }
}

/// What a home reported last.
struct LastReport {
    shard: ShardId,
    at: Time,
    bad: u32,
}

/// An order in the registry.
struct Tracked {
    entry: Entry,
    first_seen: Time,
    /// The decisions of this VM; none if it has not been the decider.
    decider: Option<Decider>,
    /// When a home last reported to this VM; none before.
    heard_at: Option<Time>,
    reported: Vec<LastReport>,
    /// The state that should be in the registry, as far as this VM decides.
    wanted: Option<RolloutState>,
    writes: Repeat,
    tellings: Repeat,
    warned: bool,
}

/// A write of a status that is due.
#[derive(Clone, Debug)]
pub struct DueWrite {
    /// The name of the entry.
    pub name: String,
    /// The revision that the write replaces.
    pub revision: Revision,
    /// The state to write.
    pub state: RolloutState,
    /// The version of the order.
    pub target: String,
}

/// What follows from a decision, with its inputs.
pub enum Outcome {
    /// The phase to tell the homes.
    Entered(Phase, Vec<VmId>),
    /// The status `completed` is to be written.
    Completes,
    /// All VMs are to be told again that the version was rolled back.
    TellRollback,
    /// The order names a version without servers.
    NoServers,
}

/// What a VM knows of the roll-outs.
#[derive(Default)]
pub struct RolloutTable {
    tracked: Vec<Tracked>,
    /// The orders that ended, sorted, whatever the registry says of them.
    ended: Vec<(OrderId, RolloutState)>,
    /// The servers that may be sent nothing, sorted.
    closed: Vec<ServerId>,
}

impl RolloutTable {
    /// Returns whether all orders have ended and the registry says so.
    pub fn is_settled(&self) -> bool {
        self.tracked.iter().all(|tracked| {
            let end = self.end_of(tracked.order());
            end.is_some() && end == tracked.entry.rollout.state
        })
    }

    /// Returns whether there is no order.
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Returns the orders that ended, sorted.
    pub fn ended(&self) -> Vec<(OrderId, RolloutState)> {
        self.ended.clone()
    }

    /// Returns the servers that may be sent nothing, sorted.
    pub fn closed(&self) -> &[ServerId] {
        &self.closed
    }

    /// Replaces the servers that may be sent nothing.
    pub fn set_closed(&mut self, closed: Vec<ServerId>) {
        self.closed = closed;
    }

    /// Returns the orders in the registry, each with the name of its service.
    pub fn orders(&self) -> Vec<(OrderId, String)> {
        let orders = self.tracked.iter().map(|tracked| {
            let rollout = &tracked.entry.rollout;
            (rollout.order, rollout.service.clone())
        });
        orders.collect()
    }

    /// Returns the number of orders that have not ended.
    pub fn running(&self) -> usize {
        let orders = self.tracked.iter().map(|t| t.entry.rollout.order);
        orders.filter(|order| self.end_of(*order).is_none()).count()
    }

    /// Returns the order of the entry of `service`.
    pub fn rollout(&self, order: OrderId) -> Option<&Rollout> {
        self.find(order).map(|tracked| &tracked.entry.rollout)
    }

    /// Returns the state with which `order` ended; none if it has not.
    pub fn end_of(&self, order: OrderId) -> Option<RolloutState> {
        let index = self.ended.binary_search_by_key(&order, |e| e.0).ok()?;
        Some(self.ended[index].1)
    }

    fn find(&self, order: OrderId) -> Option<&Tracked> {
        let mut tracked = self.tracked.iter();
        tracked.find(|tracked| tracked.entry.rollout.order == order)
    }

    fn find_mut(&mut self, order: OrderId) -> Option<&mut Tracked> {
        let mut tracked = self.tracked.iter_mut();
        tracked.find(|tracked| tracked.entry.rollout.order == order)
    }

    /// Takes over the entries of the catalog. Returns the orders that were not known, and
    /// whether a state became final.
    pub fn sync(&mut self, entries: Vec<Entry>, now: Time) -> (Vec<Rollout>, bool) {
        let mut new = Vec::new();
        let mut ended = false;
        let orders: Vec<OrderId> = entries.iter().map(|entry| entry.rollout.order).collect();
        self.tracked
            .retain(|tracked| orders.contains(&tracked.entry.rollout.order));
        for entry in entries {
            if let Some(state) = entry.rollout.state.filter(|state| state.is_final()) {
                ended |= self.end(entry.rollout.order, state, true);
            }
            match self.find_mut(entry.rollout.order) {
                Some(tracked) => tracked.entry = entry,
                None => {
                    new.push(entry.rollout.clone());
                    self.tracked.push(Tracked::new(entry, now));
                }
            }
        }
        (new, ended)
    }

    /// Records that `order` ended; returns whether that is news. The first end holds, except
    /// that a completion which is `written` replaces a roll-back that is not.
    pub fn end(&mut self, order: OrderId, state: RolloutState, written: bool) -> bool {
        match self.ended.binary_search_by_key(&order, |e| e.0) {
            Err(index) => {
                self.ended.insert(index, (order, state));
                self.drop_ended(order);
                true
            }
            Ok(index) => {
                let known = &mut self.ended[index].1;
                let replaces = written && state == RolloutState::Completed && *known != state;
                if replaces {
                    *known = state;
                }
                replaces
            }
        }
    }

    /// Drops an ended order that is not in the registry if there are too many.
    fn drop_ended(&mut self, newest: OrderId) {
        if self.ended.len() <= ENDED_MAX {
            return;
        }
        let is_gone =
            |order: OrderId| order != newest && self.tracked.iter().all(|t| t.order() != order);
        if let Some(index) = self.ended.iter().position(|e| is_gone(e.0)) {
            self.ended.remove(index);
        }
    }

    /// Returns the time since `order` was given, as far as this VM knows.
    pub fn elapsed(&self, order: OrderId, now: Time) -> Duration {
        let seen = self.find(order).map(|tracked| tracked.first_seen);
        now.saturating_sub(seen.unwrap_or(now))
    }

    /// Records that `order` was given at least `elapsed` ago.
    pub fn note_elapsed(&mut self, order: OrderId, elapsed: Duration, now: Time) {
        if let Some(tracked) = self.find_mut(order) {
            tracked.first_seen = tracked.first_seen.min(now.saturating_sub(elapsed));
        }
    }

    /// Returns whether the home of `shard` should report: it has not for `period`, or it has
    /// seen `bad` responses, which are more than before.
    pub fn take_report_due(
        &mut self,
        (order, shard): (OrderId, ShardId),
        bad: u32,
        period: Duration,
        now: Time,
    ) -> bool {
        let Some(tracked) = self.find_mut(order) else {
            return false;
        };
        let mut reported = tracked.reported.iter_mut();
        match reported.find(|last| last.shard == shard) {
            Some(last) if now < last.at + period && bad <= last.bad => false,
            Some(last) => {
                (last.at, last.bad) = (now, bad);
                true
            }
            None => {
                let at = now;
                tracked.reported.push(LastReport { shard, at, bad });
                true
            }
        }
    }

    /// Records the report of a home at `vm`. Returns the phase to reply with and the age of
    /// the order; none if the order is not known here.
    pub fn record(&mut self, vm: VmId, report: Report, now: Time) -> Option<(Phase, Duration)> {
        let order = report.order;
        let end = self.end_of(order);
        let elapsed = self.elapsed(order, now).max(report.elapsed);
        // Also after the end: who is heard goes on telling and writing it.
        self.find_mut(order)?.heard_at = Some(now);
        match end {
            Some(RolloutState::RolledBack) => return Some((Phase::RolledBack, elapsed)),
            Some(_) => return None,
            None => {}
        }
        self.note_elapsed(order, elapsed, now);
        let tracked = self.find_mut(order)?;
        let decider = tracked.decider(now);
        decider.record(vm, report, now);
        Some((decider.phase(), elapsed))
    }

    /// Decides about `order` if this VM is to do so: it is the first choice, or homes report
    /// to it. A VM that is `isolated` hears only few others. Returns what follows, with the
    /// inputs.
    pub fn decide(
        &mut self,
        order: OrderId,
        is_first: bool,
        isolated: bool,
        supply: Supply,
        now: Time,
    ) -> Option<(Outcome, Option<Findings>)> {
        let end = self.end_of(order);
        let tracked = self.find_mut(order)?;
        let heard = tracked.heard_at.is_some_and(|at| now < at + HEARD_MAX);
        if !is_first && !heard {
            tracked.wanted = None;
            return None;
        }
        if let Some(end) = end {
            tracked.wanted = Some(end);
            let written = tracked.entry.rollout.state == Some(end);
            let tells = end == RolloutState::RolledBack && !written && tracked.tellings.take(now);
            return tells.then_some((Outcome::TellRollback, None));
        }
        let completes = tracked.decider.as_ref().is_some_and(Decider::completes);
        tracked.wanted = Some(if completes {
            RolloutState::Completed
        } else {
            RolloutState::Running
        });
        if supply.target == 0 && !tracked.warned {
            tracked.warned = true;
            return Some((Outcome::NoServers, None));
        }
        let decider = tracked.decider(now);
        decider.set_isolated(isolated);
        let step = decider.step(supply, now)?;
        let findings = Some(decider.findings(now));
        match step {
            Step::Enter(phase) => {
                let homes = decider.homes(HEARD_MAX, now);
                if phase == Phase::RolledBack {
                    // A write of the completion may be due just now.
                    tracked.wanted = Some(RolloutState::RolledBack);
                }
                Some((Outcome::Entered(phase, homes), findings))
            }
            Step::Complete => {
                tracked.wanted = Some(RolloutState::Completed);
                tracked.writes = Repeat::new();
                Some((Outcome::Completes, findings))
            }
        }
    }

    /// Returns a write that is due, and sets the time of the next attempt.
    pub fn take_write(&mut self, now: Time) -> Option<DueWrite> {
        for tracked in &mut self.tracked {
            let Entry {
                name,
                revision,
                rollout,
            } = &tracked.entry;
            let Some(state) = tracked.wanted.filter(|state| rollout.state != Some(*state)) else {
                tracked.writes = Repeat::new();
                continue;
            };
            if tracked.writes.take(now) {
                return Some(DueWrite {
                    name: name.clone(),
                    revision: *revision,
                    state,
                    target: rollout.target.clone(),
                });
            }
        }
        None
    }
}

impl Tracked {
    fn new(entry: Entry, now: Time) -> Self {
        Self {
            entry,
            first_seen: now,
            decider: None,
            heard_at: None,
            reported: Vec::new(),
            wanted: None,
            writes: Repeat::new(),
            tellings: Repeat::new(),
            warned: false,
        }
    }

    fn order(&self) -> OrderId {
        self.entry.rollout.order
    }

    /// Returns the decider, and makes this VM one if it was none.
    fn decider(&mut self, now: Time) -> &mut Decider {
        let (started, duration) = (self.first_seen, self.entry.rollout.duration);
        self.decider
            .get_or_insert_with(|| Decider::new(started, duration, now))
    }
}

/// Returns the VM that should decide about the roll-out of `service`.
pub fn first_choice(service: ServiceId, eligible: &[VmId]) -> Option<VmId> {
    const DECIDER_KEY: u64 = 0x726f_6c6c_6f75_7473;
    base::rendezvous::first(base::hash::mix(DECIDER_KEY, service), eligible)
}
