//! All that one VM does about quotas: as delegator, as home, and for its own calls.

use std::time::Duration;

use base::TeamId;
use base::Time;
use base::VmId;

use crate::instance::InstanceId;
use crate::quota::AskId;
use crate::quota::Delegation;
use crate::quota::Delegator;
use crate::quota::Denied;
use crate::quota::Desk;
use crate::quota::FleetSize;
use crate::quota::Granted;
use crate::quota::Home;
use crate::quota::Lane;
use crate::quota::Limit;
use crate::quota::Owners;
use crate::quota::QuotaBody;
use crate::quota::QuotaMsg;
use crate::quota::Taken;
use crate::quota::Terms;
use crate::quota::Token;
use crate::quota::LANES;

/// The retry delay of a call for which no home answered. The next home has tokens by then.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long buckets must have been too small before one VM becomes the home of both lanes: a
/// fleet that starts finds itself within less.
const SCARCE_DELAY: Duration = Duration::from_secs(5);

/// The VMs as far as quotas are concerned.
#[derive(Clone, Copy, Debug)]
pub struct HomeView<'a> {
    /// The home of each lane.
    pub homes: [Option<VmId>; LANES],
    /// The VMs that respond, this one included, sorted.
    pub alive: &'a [VmId],
    /// The number of registered VMs, whether they respond or not.
    pub registered: u32,
}

/// The answer to an ask of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call may run.
    Granted(Token),
    /// There will be a token after this time.
    Refused(Duration),
}

/// A decision for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// This VM is the home of a lane from now on.
    HomeTaken(Lane),
    /// This VM is no longer the home of a lane, and returned so many parts.
    HomeLeft(Lane, usize),
    /// The share of the quotas that the home of a lane holds has passed half of the lane.
    Share(Lane, f64),
    /// The VM was paused, and dropped its tokens.
    Paused,
}

/// Counts of what a VM did about quotas.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Calls that got a token.
    pub granted: u64,
    /// Calls that got none.
    pub refused: u64,
    /// Calls for which no home answered.
    pub unanswered: u64,
    /// Messages to other VMs.
    pub messages: u64,
}

/// One lane of the quotas at one VM.
#[derive(Clone, Debug)]
struct LaneState {
    home_vm: Option<VmId>,
    delegator: Delegator,
    home: Home,
    /// Whether the home held most of the lane when that was last noted.
    holds_most: bool,
}

/// The quotas at one VM.
#[derive(Clone, Debug)]
pub struct Quotas {
    self_id: VmId,
    instance: InstanceId,
    terms: Terms,
    /// Sorted by team.
    limits: Vec<Limit>,
    fleet: FleetSize,
    owners: Owners,
    /// The home of each lane while no bucket is too small.
    homes: [Option<VmId>; LANES],
    /// Since when buckets have been too small; see [`Self::is_scarce`].
    scarce_since: Option<Time>,
    lanes: [LaneState; LANES],
    desk: Desk,
    outgoing: Vec<(VmId, QuotaMsg)>,
    answers: Vec<(AskId, Answer)>,
    notes: Vec<Note>,
    counts: Counts,
}

impl Quotas {
    /// Creates the quotas of a process that started at `start`. The numbers of its asks
    /// begin with `first`, which should differ between processes.
    pub fn new(
        self_id: VmId,
        instance: InstanceId,
        terms: Terms,
        start: Time,
        first: AskId,
    ) -> Self {
        let lane = LaneState {
            home_vm: None,
            delegator: Delegator::new(start, terms.window),
            home: Home::new(terms),
            holds_most: false,
        };
        Self {
            self_id,
            instance,
            terms,
            limits: Vec::new(),
            fleet: FleetSize::new(),
            owners: Owners::default(),
            homes: [None; LANES],
            scarce_since: None,
            lanes: [lane.clone(), lane],
            desk: Desk::new(first),
            outgoing: Vec::new(),
            answers: Vec::new(),
            notes: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Returns whether any team has a limit.
    pub fn is_active(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns whether the calls of `team` are limited.
    pub fn limits(&self, team: TeamId) -> bool {
        self.limits
            .binary_search_by_key(&team, |limit| limit.team)
            .is_ok()
    }

    /// Returns the home of each lane.
    pub fn homes(&self) -> [Option<VmId>; LANES] {
        std::array::from_fn(|lane| self.lanes[lane].home_vm)
    }

    /// Returns the share of the quotas that this VM holds as the home of lanes.
    pub fn share(&self) -> f64 {
        self.lanes.iter().map(|lane| lane.home.share()).sum()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<(VmId, QuotaMsg)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the answers to asks of this VM.
    pub fn take_answers(&mut self) -> Vec<(AskId, Answer)> {
        std::mem::take(&mut self.answers)
    }

    /// Takes the notes for the log.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Puts `limits` in force. Returns whether they differ from those before.
    pub fn set_limits(&mut self, mut limits: Vec<Limit>, now: Time) -> bool {
        limits.sort_unstable_by_key(|limit| limit.team);
        if limits == self.limits {
            return false;
        }
        self.limits = limits;
        for lane in &mut self.lanes {
            lane.home.set_limits(&self.limits, now);
        }
        self.choose_roles(now);
        true
    }

    /// Records a change of the fleet.
    pub fn set_view(&mut self, view: HomeView<'_>, now: Time) {
        self.fleet.observe(view.registered, now);
        self.owners.set_alive(view.alive, now);
        self.homes = view.homes;
        self.choose_roles(now);
    }

    /// Asks for parts that are due, and forgets what is outdated.
    pub fn tick(&mut self, registered: u32, now: Time) {
        self.fleet.observe(registered, now);
        if self.is_scarce() || self.scarce_since.is_some() {
            self.choose_roles(now);
        }
        self.desk.tick(now);
        let owners = self.owners.asked(now);
        let collect = self.collect_msg(now);
        for lane in 0..LANES {
            let due = self.lanes[lane].home.collect(&owners, now);
            for vm in due {
                self.send(vm, lane as Lane, collect, now);
            }
            self.note_share(lane);
        }
    }

    /// Offers this VM's part to the homes, which may have asked for it before this VM knew a
    /// limit. They ask again later if the offer is lost.
    pub fn offer(&mut self, now: Time) {
        for index in 0..LANES {
            let home = self.lanes[index].home_vm.filter(|vm| *vm != self.self_id);
            if let Some(home) = home {
                self.send(home, index as Lane, QuotaBody::Offer, now);
            }
        }
    }

    fn collect_msg(&self, now: Time) -> QuotaBody {
        QuotaBody::Collect {
            instance: self.instance,
            stamp: now,
            fleet: self.fleet.get(),
        }
    }

    /// Returns the parts to their owners, at a planned stop.
    pub fn leave(&mut self, now: Time) {
        self.homes = [None; LANES];
        self.choose_roles(now);
    }

    /// Drops what may be outdated after this VM was paused.
    pub fn resume_after_pause(&mut self, now: Time) {
        self.desk.drop_tokens();
        for lane in &mut self.lanes {
            lane.home.collect(&[], now);
        }
        self.notes.push(Note::Paused);
    }

    /// Takes a token of `team` for a call.
    pub fn take(&mut self, team: TeamId, now: Time) -> Taken {
        let taken = self.desk.take(team, now);
        match taken {
            Taken::Now(_) => self.counts.granted += 1,
            Taken::Refused(_) => self.counts.refused += 1,
            Taken::Wait(ask) => self.ask(ask, now),
        }
        taken
    }

    /// Sends an ask that got no answer to the other lane. Returns the home that did not
    /// answer; `None` if there is none or no call waits any more.
    pub fn ask_other(&mut self, ask: AskId, now: Time) -> Option<VmId> {
        let silent = self.desk.turn(ask, now)?;
        self.ask(ask, now);
        self.lanes[usize::from(silent)].home_vm
    }

    /// Gives up an ask that got no answer in time. Returns the time after which the caller
    /// should try again.
    pub fn give_up(&mut self, ask: AskId) -> Duration {
        self.counts.unanswered += 1;
        self.counts.refused += 1;
        self.desk.give_up(ask).unwrap_or(NO_HOME_RETRY_AFTER)
    }

    /// Takes a token back whose call certainly did not run.
    pub fn give_back(&mut self, token: Token, now: Time) {
        if let Some(home) = self.desk.give_back(token, now) {
            let body = QuotaBody::GiveBack { ask: token.ask };
            self.send(home, token.lane, body, now);
        }
    }

    /// Processes a message of the VM `from`.
    pub fn receive(&mut self, from: VmId, msg: QuotaMsg, now: Time) {
        let index = usize::from(msg.lane);
        if !self.is_active() || index >= LANES {
            return;
        }
        let (lane, other) = two_lanes(&mut self.lanes, index);
        match msg.body {
            QuotaBody::Collect {
                instance,
                stamp,
                fleet,
            } => self.delegate(msg.lane, (from, instance), stamp, fleet, now),
            QuotaBody::Delegate {
                instance,
                stamp,
                share,
                waits,
                age,
                unused,
                credit,
            } => {
                if instance == self.instance {
                    let delegation = Delegation {
                        share,
                        waits,
                        age,
                        unused,
                        credit,
                    };
                    lane.home.delegate(from, stamp, delegation, now);
                }
            }
            QuotaBody::Return {
                instance,
                stamp,
                held,
            } => lane.delegator.take_back((from, instance), stamp, held, now),
            QuotaBody::Ask { ask, team, extra } => {
                self.serve(msg.lane, (from, ask), team, extra, now);
            }
            QuotaBody::Grant { ask, extra } => {
                match self.desk.granted((from, msg.lane), ask, extra, now) {
                    Granted::Token(token) => {
                        self.counts.granted += 1;
                        self.answers.push((ask, Answer::Granted(token)));
                    }
                    Granted::GiveBack => {
                        self.send(from, msg.lane, QuotaBody::GiveBack { ask }, now);
                    }
                    Granted::Nothing => {}
                }
            }
            QuotaBody::Deny { ask, retry_after } => {
                self.finish_denied(msg.lane, ask, retry_after, now);
            }
            QuotaBody::GiveBack { ask } => {
                lane.home.give_back(Some(&mut other.home), from, ask, now);
            }
            QuotaBody::Offer => {
                if lane.home.take_offer(from, now) {
                    let collect = self.collect_msg(now);
                    self.send(from, msg.lane, collect, now);
                }
            }
        }
    }

    /// Delegates a lane of this VM's part to `home` if it is the home by this VM's view.
    fn delegate(
        &mut self,
        lane: Lane,
        home: (VmId, InstanceId),
        stamp: Time,
        fleet: u32,
        now: Time,
    ) {
        let fleet = fleet.max(self.fleet.get());
        let window = self.terms.window;
        let state = &mut self.lanes[usize::from(lane)];
        if state.home_vm != Some(home.0) {
            return;
        }
        let delegation = state.delegator.collect(home, stamp, fleet, window, now);
        if let Some(mut delegation) = delegation {
            // What this VM used as the home itself shows that not all parts were unused.
            if let Some(used) = state.home.last_use(now) {
                delegation.age = delegation.age.min(now.saturating_sub(used));
            }
            let delegate = QuotaBody::Delegate {
                instance: home.1,
                stamp,
                share: delegation.share,
                waits: delegation.waits,
                age: delegation.age,
                unused: delegation.unused,
                credit: delegation.credit,
            };
            self.send(home.0, lane, delegate, now);
        }
    }

    /// Sends an ask to the home of its lane. A lane whose home is not known counts as one that
    /// refuses, so the other one is asked at once.
    fn ask(&mut self, ask: AskId, now: Time) {
        let Some((lane, team, extra)) = self.desk.pending(ask) else {
            return;
        };
        match self.lanes[usize::from(lane)].home_vm {
            Some(home) => self.send(home, lane, QuotaBody::Ask { ask, team, extra }, now),
            None => self.finish_denied(lane, ask, NO_HOME_RETRY_AFTER, now),
        }
    }

    /// Answers an ask of the VM `from`. A VM that is not the home lets it ask another one.
    fn serve(
        &mut self,
        lane: Lane,
        (from, ask): (VmId, AskId),
        team: TeamId,
        extra: u32,
        now: Time,
    ) {
        let (own, other) = two_lanes(&mut self.lanes, usize::from(lane));
        if !own.home.is_active() {
            return;
        }
        let other = Some(&mut other.home);
        let answer = match own.home.take(other, (from, ask), team, extra, now) {
            Ok(extra) => QuotaBody::Grant { ask, extra },
            Err(retry_after) => QuotaBody::Deny { ask, retry_after },
        };
        self.send(from, lane, answer, now);
    }

    fn finish_denied(&mut self, lane: Lane, ask: AskId, retry_after: Duration, now: Time) {
        match self.desk.denied(lane, ask, retry_after, now) {
            Denied::AskOther => self.ask(ask, now),
            Denied::Nothing => {}
            Denied::Refused(retry_after) => {
                self.counts.refused += 1;
                self.answers.push((ask, Answer::Refused(retry_after)));
            }
        }
    }

    /// Returns whether the parts of the VMs that respond keep a bucket of one lane below a
    /// token. One VM is the home of both lanes then, and grants tokens out of both buckets.
    fn is_scarce(&self) -> bool {
        let present = self.owners.alive_count() as f64 / f64::from(self.fleet.get());
        let is_small = |limit: &Limit| limit.stock(&self.terms) * present < LANES as f64;
        self.limits.iter().any(is_small)
    }

    /// Becomes the home of lanes, or gives that up, as the view says.
    fn choose_roles(&mut self, now: Time) {
        let since = *self.scarce_since.get_or_insert(now);
        self.scarce_since = self.is_scarce().then_some(since);
        let is_scarce = self.scarce_since.is_some() && now >= since + SCARCE_DELAY;
        for index in 0..LANES {
            let single = self.homes[0].filter(|_| is_scarce);
            let home = single.or(self.homes[index]);
            let lane = &mut self.lanes[index];
            lane.home_vm = home;
            let is_chosen = !self.limits.is_empty() && lane.home_vm == Some(self.self_id);
            if !is_chosen {
                self.stop_home(index, now);
            } else if !lane.home.is_active() {
                lane.home.start(&self.limits, now);
                self.notes.push(Note::HomeTaken(index as Lane));
            }
        }
    }

    fn stop_home(&mut self, index: usize, now: Time) {
        let lane = &mut self.lanes[index];
        if !lane.home.is_active() {
            return;
        }
        let (owners, held) = lane.home.stop(now);
        lane.holds_most = false;
        let number = index as Lane;
        self.notes.push(Note::HomeLeft(number, owners.len()));
        let give = QuotaBody::Return {
            instance: self.instance,
            stamp: now,
            held,
        };
        for vm in owners {
            self.send(vm, number, give, now);
        }
    }

    fn note_share(&mut self, index: usize) {
        let lane = &mut self.lanes[index];
        let share = lane.home.share();
        let holds_most = share * LANES as f64 > 0.5;
        if lane.home.is_active() && holds_most != lane.holds_most {
            lane.holds_most = holds_most;
            self.notes.push(Note::Share(index as Lane, share));
        }
    }

    /// Queues a message. One to this VM itself is processed at once.
    fn send(&mut self, to: VmId, lane: Lane, body: QuotaBody, now: Time) {
        let msg = QuotaMsg { lane, body };
        if to == self.self_id {
            self.receive(to, msg, now);
        } else {
            self.counts.messages += 1;
            self.outgoing.push((to, msg));
        }
    }
}

/// Returns the lane `index` and the other one.
fn two_lanes(lanes: &mut [LaneState; LANES], index: usize) -> (&mut LaneState, &mut LaneState) {
    let [first, second] = lanes;
    if index == 0 {
        (first, second)
    } else {
        (second, first)
    }
}
