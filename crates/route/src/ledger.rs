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

use std::sync::Arc;
use std::time::Duration;

use base::rendezvous;
use base::Class;
use base::Outcome;
use base::ServerId;
use base::Time;
use base::VmId;

use crate::budget::Budget;
use crate::choose;
use crate::choose::Candidate;
use crate::epoch::Epoch;
use crate::heritage::Heritage;
use crate::heritage::Sheet;
use crate::limit::Limit;
use crate::msg;
use crate::msg::Ask;
use crate::msg::Body;
use crate::msg::CallNo;
use crate::msg::Envelope;
use crate::msg::Holding;
use crate::msg::Kind;
use crate::msg::Line;
use crate::msg::Load;
use crate::msg::Msg;
use crate::msg::Release;
use crate::msg::Warmth;
use crate::msg::Why;
use crate::permits::Permit;
use crate::permits::Permits;
use crate::queue::Queue;
use crate::queue::Waiter;
use crate::roster::Roster;
use crate::spec::ServerSpec;
use crate::spec::Spec;

/// The silence after which a VM's permits and promise do not count any more.
pub const GONE: Duration = Duration::from_secs(30);
/// Time beyond its deadline for which a permit is kept when nothing is heard.
const GRACE: Duration = Duration::from_secs(1);
/// The shortest time that a cancelled call is thought to run on.
const LINGER_MIN: Duration = Duration::from_millis(20);
/// Usual service times for which a cancelled call is thought to run on.
const LINGER: f64 = 2.0;
/// The time between two sheets to a follower when nothing changes.
const SHEET_PERIOD: Duration = Duration::from_secs(1);
/// The time after its last request for which a follower is sent sheets.
const ACTIVE: Duration = Duration::from_secs(5);
/// When a caller should try again if no server may take work.
const NO_SERVER_WAIT: Duration = Duration::from_secs(1);
/// When a caller should try again if the budget for second tries is spent.
const BUDGET_WAIT: Duration = Duration::from_millis(200);
/// The shortest time after which a refused call should be tried again.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Weight of one permit in the average time that a slot stands idle.
const GAP_WEIGHT: f64 = 0.05;
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
    pub strangers: usize,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Deliver a message.
    Send(Envelope),
    /// Ask the server for its health and report with [`Ledger::probed`].
    Probe(ServerId),
    /// Drop the ledger: this epoch is over.
    StepDown(Epoch),
}

/// What the ledger knows about one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) limit: Limit,
    pub(crate) busy: u32,
    pub(crate) reserved: u32,
    admitted: Vec<VmId>,
    used: Time,
    touched: bool,
    probed: Time,
    probing: bool,
    load: Option<Load>,
}

/// A follower that has asked for something.
#[derive(Clone, Debug)]
struct Active {
    vm: VmId,
    asked: Time,
    told: Time,
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
    pub(crate) spec: Arc<Spec>,
    pub(crate) servers: Vec<Server>,
    pub(crate) permits: Permits,
    pub(crate) queue: Queue,
    pub(crate) roster: Roster,
    pub(crate) complete: bool,
    trusted: bool,
    units: Vec<rendezvous::Unit>,
    heritage: Heritage,
    active: Vec<Active>,
    retries: Budget,
    hedges: Budget,
    typical: f64,
    gap: f64,
    changed: bool,
    counts: Counts,
    actions: Vec<Action>,
}

impl Ledger {
    /// Makes the ledger of a new epoch, which follows `prior`.
    pub fn new(me: VmId, prior: Epoch, spec: Arc<Spec>, fleet: Fleet<'_>, now: Time) -> Self {
        let mut ledger = Self {
            me,
            epoch: Epoch::after(prior, me),
            prior,
            servers: Vec::new(),
            permits: Permits::default(),
            queue: Queue::default(),
            roster: Roster::new(fleet.vms, fleet.alive, now).with_strangers(fleet.strangers),
            complete: false,
            trusted: false,
            units: Vec::new(),
            heritage: Heritage::default(),
            active: Vec::new(),
            retries: Budget::new(spec.retry_percent),
            hedges: Budget::new(spec.hedge_percent),
            typical: 0.0,
            gap: 0.0,
            changed: true,
            counts: Counts::default(),
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

    /// Takes the actions that have come up since the last time.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Describes the servers, sorted by id.
    pub fn lines(&self) -> Vec<Line> {
        let line = |server: &Server| Line {
            server: server.id,
            limit: server.limit.current(),
            warmth: server.limit.warmth(&self.spec),
            usual: Duration::from_secs_f64(server.limit.usual()),
        };
        self.servers.iter().map(line).collect()
    }

    /// Returns the calls in flight at `server`, as far as the home knows.
    pub fn busy(&self, server: ServerId) -> u32 {
        self.find(server).map_or(0, |at| self.servers[at].busy)
    }

    /// Returns what `server` last said about its load.
    pub fn load(&self, server: ServerId) -> Option<Load> {
        self.find(server).and_then(|at| self.servers[at].load)
    }

    /// Follows a change of the configuration.
    pub fn set_spec(&mut self, spec: Arc<Spec>, now: Time) {
        self.retries.set_percent(spec.retry_percent);
        self.hedges.set_percent(spec.hedge_percent);
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
        self.roster.set_strangers(fleet.strangers);
        self.divide();
        for permit in &self.permits.list().to_vec() {
            if fleet.vms.binary_search(&permit.vm).is_err() {
                self.linger(permit.vm, permit.call, now);
            }
        }
        let waiters = self.queue.take(|w| fleet.vms.binary_search(&w.vm).is_err());
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
        self.learn_typical();
        self.pump(now);
        self.send_sheets(now);
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
                sheet,
            } => {
                if self.is_current(from, epoch) {
                    self.attach(from, &holding, &sheet, now);
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
            Body::Lead { .. }
            | Body::NotHome { .. }
            | Body::Grant { .. }
            | Body::Queued { .. }
            | Body::Refuse { .. }
            | Body::Sheet { .. } => {}
        }
    }

    /// Notes the result of a probe.
    pub fn probed(&mut self, server: ServerId, ok: bool, now: Time) {
        let spec = self.spec.clone();
        if let Some(at) = self.find(server) {
            let server = &mut self.servers[at];
            server.probing = false;
            if server.limit.wants_probe(now) {
                server.limit.probed(ok, &spec, now);
                self.changed = true;
            }
        }
        self.pump(now);
    }

    fn join(&mut self, from: VmId, seen: Epoch, nonce: u32, now: Time) {
        if seen > self.epoch {
            self.restart(seen, now);
        }
        let epoch = self.epoch;
        self.send(from, Body::Lead { epoch, nonce });
    }

    /// Begins a new epoch after `seen`, keeping what is known of the servers.
    fn restart(&mut self, seen: Epoch, now: Time) {
        self.prior = seen;
        self.epoch = Epoch::after(seen, self.me);
        let vms = self.roster.vms();
        let strangers = self.roster.strangers();
        self.roster = Roster::new(&vms, &vms, now).with_strangers(strangers);
        self.complete = false;
        self.review(now);
        self.ask_promises(now);
    }

    fn overtaken(&mut self, seen: Epoch) {
        if seen > self.epoch {
            self.actions.push(Action::StepDown(seen));
        }
    }

    /// Returns whether a message is of this epoch; helps its sender if not.
    fn is_current(&mut self, from: VmId, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            let epoch = self.epoch;
            self.send(from, Body::Lead { epoch, nonce: 0 });
        }
        self.overtaken(epoch);
        epoch == self.epoch
    }

    fn attach(&mut self, from: VmId, holding: &Holding, sheet: &Sheet, now: Time) {
        self.reconcile(from, holding, now);
        if sheet.source < self.epoch {
            self.heritage.merge(sheet);
        }
        if self.roster.promise(from) {
            self.review(now);
        }
        self.pump(now);
    }

    /// Takes over what the last home knew, but for what this one knows better.
    fn inherit(&mut self, now: Time) {
        for line in self.heritage.lines() {
            let found = self.servers.binary_search_by_key(&line.server, |s| s.id);
            let Ok(at) = found else {
                continue;
            };
            let server = &mut self.servers[at];
            if !server.touched {
                server.limit.adopt(line, now);
                self.changed = true;
            }
        }
        if self.complete {
            self.heritage = Heritage::default();
        }
    }

    /// Brings the ledger in line with all that `from` has.
    fn reconcile(&mut self, from: VmId, holding: &Holding, now: Time) {
        let life = msg::life(holding.upto);
        let active = self.active(from, now);
        if active.life == life && holding.number <= active.report {
            return;
        }
        active.life = life;
        active.report = holding.number;
        for held in &holding.held {
            self.count_held(from, held, now);
        }
        let is_over = |call: CallNo| {
            let old = msg::life(call) != life || call <= holding.upto;
            let held = holding.held.iter().any(|held| held.call == call);
            old && !held && holding.waiting.binary_search(&call).is_err()
        };
        for permit in self.permits.of(from).to_vec() {
            if !permit.lingers && is_over(permit.call) {
                if msg::life(permit.call) == life {
                    self.free(from, permit.call);
                } else {
                    self.linger(from, permit.call, now);
                }
            }
        }
        drop(self.queue.take(|w| w.vm == from && is_over(w.call)));
    }

    fn count_held(&mut self, from: VmId, held: &msg::Held, now: Time) {
        let known = self.permits.get(from, held.call).copied();
        if known.is_some_and(|permit| permit.server == held.server) {
            return;
        }
        if known.is_some() {
            self.free(from, held.call);
        }
        drop(self.queue.take(|w| w.vm == from && w.call == held.call));
        self.give(from, held.call, held.server, held.left, now);
    }

    fn acquire(&mut self, from: VmId, call: CallNo, ask: Ask, now: Time) {
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
        if ask.kind == Kind::First {
            self.retries.earn();
            self.hedges.earn();
        }
        if ask.kind == Kind::Retry && !self.retries.spend() {
            self.refuse(from, call, Why::Budget, BUDGET_WAIT);
            return;
        }
        let waiter = Waiter::new(from, call, ask, now);
        if waiter.ask.kind == Kind::Hedge {
            self.hedge(&waiter, now);
        } else {
            self.admit(waiter, now);
        }
    }

    /// Grants a hedge only out of what nobody else wants.
    fn hedge(&mut self, waiter: &Waiter, now: Time) {
        let place = if self.queue.is_empty() && self.hedges.allows() {
            self.place(waiter, true, now)
        } else {
            None
        };
        match place {
            Some(at) => {
                self.hedges.spend();
                self.grant(waiter, at, now);
            }
            None => self.refuse(waiter.vm, waiter.call, Why::Budget, BUDGET_WAIT),
        }
    }

    fn admit(&mut self, waiter: Waiter, now: Time) {
        let ahead = self.queue.ahead_of(&waiter);
        if ahead == 0 {
            if let Some(at) = self.place(&waiter, false, now) {
                self.grant(&waiter, at, now);
                return;
            }
        }
        if self.spec.open_slots() == 0 {
            self.refuse(waiter.vm, waiter.call, Why::NoServer, NO_SERVER_WAIT);
            return;
        }
        let wait = self.wait_of(ahead);
        let fits = now + wait <= waiter.until && self.queue.has_room(waiter.ask.class);
        if !fits {
            self.refuse(waiter.vm, waiter.call, Why::Overload, wait.max(RETRY_MIN));
            return;
        }
        self.counts.queued += 1;
        self.send_queued(waiter.vm, waiter.call);
        self.queue.add(waiter);
    }

    /// Returns how long a request waits that has `ahead` others before it.
    fn wait_of(&self, ahead: usize) -> Duration {
        let up = self.servers.iter().filter(|server| {
            let open = self.spec.server(server.id).is_some_and(|s| s.open);
            open && server.limit.warmth(&self.spec) != Warmth::Down
        });
        let slots: u32 = up.map(|server| server.limit.current()).sum();
        let rounds = ahead as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64(rounds * (self.typical + self.gap))
    }

    fn release(&mut self, from: VmId, release: Release, now: Time) {
        drop(self.queue.take(|w| w.vm == from && w.call == release.call));
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

    fn learn(&mut self, permit: &Permit, release: &Release, now: Time) {
        let spec = self.spec.clone();
        let typical = self.typical;
        let took = release.took.as_secs_f64();
        if release.outcome == Outcome::Done {
            let held = now.saturating_sub(permit.since).as_secs_f64();
            let gap = (held - took).max(0.0);
            self.gap += (gap - self.gap) * GAP_WEIGHT;
            if self.typical == 0.0 {
                self.typical = took;
            }
        }
        let Some(at) = self.find(release.server) else {
            return;
        };
        let server = &mut self.servers[at];
        server.touched = true;
        if release.load.is_some() {
            server.load = release.load;
        }
        let before = server.limit.warmth(&spec);
        server
            .limit
            .note(release.outcome, took, typical, &spec, now);
        if server.limit.warmth(&spec) != before {
            self.changed = true;
            self.send_sheets(now);
        }
    }

    /// Serves waiting requests as long as there is room.
    fn pump(&mut self, now: Time) {
        let mut at = 0;
        while at < self.queue.len().min(LOOK_AHEAD) {
            let waiter = self.queue.list()[at].clone();
            match self.place(&waiter, false, now) {
                Some(server) => {
                    self.queue.remove(at);
                    self.grant(&waiter, server, now);
                }
                None => at += 1,
            }
        }
    }

    /// Returns the place of the server for `waiter`; with `spare` only one
    /// that has a free slot and is warm.
    fn place(&self, waiter: &Waiter, spare: bool, now: Time) -> Option<usize> {
        let avoid = &waiter.ask.avoid;
        let all = || {
            self.servers
                .iter()
                .enumerate()
                .filter_map(|(at, server)| self.candidate(at, server, waiter, now))
                .filter(|candidate| !spare || (candidate.free && candidate.warm))
        };
        let wary = waiter.ask.class == Class::Critical;
        let fresh = all().filter(|c| !avoid.contains(&self.servers[c.at].id));
        let best = choose::best(fresh, wary);
        if best.is_some() || spare || self.has_other(avoid) {
            return best;
        }
        choose::best(all(), wary)
    }

    /// Returns whether an open server exists that is not in `avoid`.
    fn has_other(&self, avoid: &[ServerId]) -> bool {
        let mut open = self.spec.servers.iter().filter(|server| server.open);
        open.any(|server| !avoid.contains(&server.id))
    }

    fn candidate(
        &self,
        at: usize,
        server: &Server,
        waiter: &Waiter,
        now: Time,
    ) -> Option<Candidate> {
        let spec = self.spec.server(server.id)?;
        let admitted = server.admitted.binary_search(&waiter.vm).is_ok();
        if !spec.open || !server.limit.is_up(now) || !admitted {
            return None;
        }
        let warm = server.limit.warmth(&self.spec) == Warmth::Warm;
        let limit = self.usable(server, warm);
        let free = server.busy < limit;
        if !free && server.busy >= limit + self.depth(server, limit) {
            return None;
        }
        let oldest = self.oldest(server, now);
        Some(Candidate {
            at,
            free,
            warm,
            busy: server.busy,
            slots: spec.slots,
            expected: server.limit.expected(self.typical, now),
            oldest,
            local: spec.domain == waiter.ask.domain,
            used: server.used,
        })
    }

    /// Returns the calls that may be in flight at `server` without waiting.
    fn usable(&self, server: &Server, warm: bool) -> u32 {
        if self.complete {
            return server.limit.current();
        }
        if !warm || !self.trusted {
            return 0;
        }
        server.limit.current().saturating_sub(server.reserved)
    }

    /// Returns how many calls may wait in `server` beyond its limit.
    ///
    /// A slot stands idle from the end of a call until the next one arrives.
    /// So many calls wait in the server as are likely to end in that time: the
    /// mean of a Poisson count and one deviation.
    fn depth(&self, server: &Server, limit: u32) -> u32 {
        if limit == 0 || !self.complete || !server.limit.queues(&self.spec) {
            return 0;
        }
        let usual = server.limit.usual();
        if usual <= 0.0 {
            return 1;
        }
        // The way to the server and back is taken to be as long as that to
        // the home, which is what the gap covers.
        let ending = f64::from(limit) * 2.0 * self.gap / usual;
        let likely = ending + ending.sqrt();
        (likely.ceil() as u32).clamp(1, limit)
    }

    fn oldest(&self, server: &Server, now: Time) -> f64 {
        if server.busy == 0 {
            return 0.0;
        }
        let permits = self.permits.list().iter();
        let since = permits
            .filter(|permit| permit.server == server.id)
            .map(|permit| permit.since)
            .min();
        since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64())
    }

    fn grant(&mut self, waiter: &Waiter, at: usize, now: Time) {
        let server = self.servers[at].id;
        let left = waiter.due.saturating_sub(now);
        self.give(waiter.vm, waiter.call, server, left, now);
        self.counts.granted += 1;
        self.send_grant(waiter.vm, waiter.call, server);
    }

    fn give(&mut self, vm: VmId, call: CallNo, server: ServerId, left: Duration, now: Time) {
        let permit = Permit {
            vm,
            call,
            server,
            since: now,
            ends: now + left + GRACE,
            lingers: false,
        };
        if !self.permits.add(permit) {
            return;
        }
        if let Some(at) = self.find(server) {
            self.servers[at].busy += 1;
            self.servers[at].used = now;
        }
    }

    fn free(&mut self, vm: VmId, call: CallNo) {
        if let Some(permit) = self.permits.remove(vm, call) {
            self.uncount(&permit);
        }
    }

    fn uncount(&mut self, permit: &Permit) {
        if let Some(at) = self.find(permit.server) {
            self.servers[at].busy = self.servers[at].busy.saturating_sub(1);
        }
    }

    /// Keeps a permit for as long as the server may still run the call.
    fn linger(&mut self, vm: VmId, call: CallNo, now: Time) {
        let Some(permit) = self.permits.get(vm, call).copied() else {
            return;
        };
        if permit.lingers {
            return;
        }
        let usual = self
            .find(permit.server)
            .map_or(0.0, |at| self.servers[at].limit.usual());
        let run = Duration::from_secs_f64(usual.max(self.typical) * LINGER).max(LINGER_MIN);
        if let Some(permit) = self.permits.get_mut(vm, call) {
            permit.lingers = true;
            permit.ends = permit.ends.min(now + run);
        }
    }

    fn expire(&mut self, now: Time) {
        for permit in self.permits.take(|permit| now >= permit.ends) {
            self.uncount(&permit);
        }
        for waiter in self.queue.take(|waiter| now >= waiter.until) {
            let wait = self.wait_of(self.queue.len()).max(RETRY_MIN);
            self.refuse(waiter.vm, waiter.call, Why::Expired, wait);
        }
        self.active.retain(|active| now < active.asked + GONE);
    }

    /// Works out again whether the epoch is complete and what is reserved.
    fn review(&mut self, now: Time) {
        self.complete = self.roster.is_complete(GONE, now);
        // Before the last home or most VMs have spoken, nobody may have told
        // of a server that has just restarted.
        let heard = self.roster.has(self.prior.home) || self.roster.has_majority();
        self.trusted = self.complete || heard;
        for server in &mut self.servers {
            server.reserved = 0;
        }
        if self.trusted {
            self.inherit(now);
        }
        if self.complete {
            return;
        }
        let silent: Vec<VmId> = self.roster.reserving(GONE, now).collect();
        for unit in &self.units {
            let found = self.servers.binary_search_by_key(&unit.key, |s| s.id);
            if let (Ok(at), Ok(_)) = (found, silent.binary_search(&unit.owner)) {
                self.servers[at].reserved += 1;
            }
        }
    }

    /// Works out again which VM owns which slot, and which may connect where.
    fn divide(&mut self) {
        let vms = self.roster.vms();
        let keys: Vec<(u64, u32)> = self.spec.servers.iter().map(|s| (s.id, s.slots)).collect();
        self.units = rendezvous::partition(&keys, &vms);
        for server in &mut self.servers {
            let known = self.spec.server(server.id);
            server.admitted = known.map_or(Vec::new(), |known| known.admitted(&vms));
        }
    }

    fn ask_promises(&mut self, now: Time) {
        let epoch = self.epoch;
        for vm in self.roster.to_ask(now) {
            self.send(vm, Body::Lead { epoch, nonce: 0 });
        }
    }

    fn learn_typical(&mut self) {
        let mut times: Vec<f64> = self
            .servers
            .iter()
            .map(|server| server.limit.usual())
            .filter(|usual| *usual > 0.0)
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        if let Some(median) = times.get(times.len() / 2) {
            self.typical = *median;
        }
    }

    fn send_sheets(&mut self, now: Time) {
        let changed = std::mem::take(&mut self.changed);
        let due: Vec<VmId> = self
            .active
            .iter_mut()
            .filter(|active| now < active.asked + ACTIVE)
            .filter(|active| changed || now >= active.told + SHEET_PERIOD)
            .map(|active| {
                active.told = now;
                active.vm
            })
            .collect();
        if due.is_empty() {
            return;
        }
        let lines = self.lines();
        let epoch = self.epoch;
        for vm in due {
            let lines = lines.clone();
            self.send(vm, Body::Sheet { epoch, lines });
        }
    }

    fn start_probes(&mut self, now: Time) {
        let spec = self.spec.clone();
        if spec.probe_share == 0 {
            return;
        }
        for server in &mut self.servers {
            let Some(known) = spec.server(server.id).filter(|s| s.open) else {
                continue;
            };
            let share = f64::from(spec.probe_share) / 10_000.0 * f64::from(known.slots);
            let period = spec.probe_cost.div_f64(share);
            let due = server.probed.is_zero() || now >= server.probed + period;
            if due && !server.probing && server.limit.wants_probe(now) {
                server.probed = now;
                server.probing = true;
                self.counts.probes += 1;
                self.actions.push(Action::Probe(server.id));
            }
        }
    }

    /// Makes the list of servers that of the specification.
    fn match_servers(&mut self) {
        let spec = self.spec.clone();
        let old = std::mem::take(&mut self.servers);
        for known in &spec.servers {
            let kept = old.iter().find(|server| server.id == known.id);
            let mut server = kept.cloned().unwrap_or_else(|| Server::new(known, &spec));
            server.limit.set_slots(known.slots);
            self.servers.push(server);
        }
        for at in 0..self.servers.len() {
            let id = self.servers[at].id;
            let permits = self.permits.list().iter();
            self.servers[at].busy = permits.filter(|p| p.server == id).count() as u32;
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
                    told: Time::ZERO,
                    report: 0,
                    life: 0,
                };
                self.active.insert(at, active);
                at
            }
        };
        &mut self.active[at]
    }

    fn find(&self, server: ServerId) -> Option<usize> {
        let found = self.servers.binary_search_by_key(&server, |s| s.id);
        found.ok()
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

    fn refuse(&mut self, to: VmId, call: CallNo, why: Why, after: Duration) {
        self.counts.refused += 1;
        let epoch = self.epoch;
        let body = Body::Refuse {
            epoch,
            call,
            why,
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

impl Server {
    fn new(known: &ServerSpec, spec: &Spec) -> Self {
        Self {
            id: known.id,
            limit: Limit::new(known, spec),
            busy: 0,
            reserved: 0,
            admitted: Vec::new(),
            used: Time::ZERO,
            touched: false,
            probed: Time::ZERO,
            probing: false,
            load: None,
        }
    }
}
