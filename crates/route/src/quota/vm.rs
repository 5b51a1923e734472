//! All that one VM does about quotas: as delegator, as home, and for its own calls.

use std::time::Duration;

use base::TeamId;
use base::Time;
use base::VmId;

use crate::instance::InstanceId;
use crate::quota::AskId;
use crate::quota::Delegator;
use crate::quota::Desk;
use crate::quota::FleetSize;
use crate::quota::Home;
use crate::quota::Limit;
use crate::quota::QuotaMsg;
use crate::quota::Taken;
use crate::quota::Terms;
use crate::quota::Token;

/// The retry delay of a call for which no home answered. The next home has tokens by then.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The VMs as far as quotas are concerned.
#[derive(Clone, Copy, Debug)]
pub struct HomeView<'a> {
    /// The home of the quotas.
    pub home: Option<VmId>,
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
    /// This VM is the home from now on.
    HomeTaken,
    /// This VM is no longer the home, and returned so many parts.
    HomeLeft(usize),
    /// The share of the quotas that this home holds has passed the half.
    Share(f64),
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

/// The quotas at one VM.
#[derive(Clone, Debug)]
pub struct Quotas {
    self_id: VmId,
    instance: InstanceId,
    terms: Terms,
    /// Sorted by team.
    limits: Vec<Limit>,
    fleet: FleetSize,
    alive: Vec<VmId>,
    home_vm: Option<VmId>,
    delegator: Delegator,
    home: Home,
    desk: Desk,
    /// Whether the home held most of the quotas when that was last noted.
    holds_most: bool,
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
        Self {
            self_id,
            instance,
            terms,
            limits: Vec::new(),
            fleet: FleetSize::new(),
            alive: Vec::new(),
            home_vm: None,
            delegator: Delegator::new(start, terms.window),
            home: Home::new(terms),
            desk: Desk::new(first),
            holds_most: false,
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

    /// Returns the home of the quotas.
    pub fn home_vm(&self) -> Option<VmId> {
        self.home_vm
    }

    /// Returns the share of the quotas that this VM holds as their home.
    pub fn share(&self) -> f64 {
        self.home.share()
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

    /// Puts `limits` in force.
    pub fn set_limits(&mut self, mut limits: Vec<Limit>, now: Time) {
        limits.sort_unstable_by_key(|limit| limit.team);
        self.limits = limits;
        self.home.set_limits(&self.limits, now);
        if !self.is_active() {
            self.stop_home(now);
        }
    }

    /// Records a change of the fleet.
    pub fn set_view(&mut self, view: HomeView<'_>, now: Time) {
        self.fleet.observe(view.registered, now);
        self.alive = view.alive.to_vec();
        self.home_vm = view.home;
        self.choose_role(now);
    }

    /// Asks for parts that are due, and forgets what is outdated.
    pub fn tick(&mut self, registered: u32, now: Time) {
        self.fleet.observe(registered, now);
        self.choose_role(now);
        self.desk.tick(now);
        let due = self.home.collect(&self.alive, now);
        let collect = QuotaMsg::Collect {
            instance: self.instance,
            stamp: now,
            fleet: self.fleet.get(),
        };
        for vm in due {
            self.send(vm, collect, now);
        }
        let holds_most = self.home.share() > 0.5;
        if self.home.is_active() && holds_most != self.holds_most {
            self.holds_most = holds_most;
            self.notes.push(Note::Share(self.home.share()));
        }
    }

    /// Returns the parts to their owners, at a planned stop.
    pub fn leave(&mut self, now: Time) {
        self.home_vm = None;
        self.stop_home(now);
    }

    /// Drops what may be outdated after this VM was paused.
    pub fn resume_after_pause(&mut self, now: Time) {
        self.desk.drop_tokens();
        self.home.collect(&[], now);
        self.notes.push(Note::Paused);
    }

    /// Takes a token of `team` for a call.
    pub fn take(&mut self, team: TeamId, now: Time) -> Taken {
        let taken = self.desk.take(team, now);
        match taken {
            Taken::Now(_) => self.counts.granted += 1,
            Taken::Refused(_) => self.counts.refused += 1,
            Taken::Wait(ask, _) => self.ask(ask, now),
        }
        taken
    }

    /// Sends an ask that has no answer, again if it was sent before.
    pub fn ask(&mut self, ask: AskId, now: Time) {
        let (Some((team, extra)), Some(home)) = (self.desk.pending(ask), self.home_vm) else {
            return;
        };
        self.send(home, QuotaMsg::Ask { ask, team, extra }, now);
    }

    /// Gives up an ask that got no answer in time. Returns the time after which the caller
    /// should try again.
    pub fn give_up(&mut self, ask: AskId) -> Duration {
        self.desk.give_up(ask);
        self.counts.unanswered += 1;
        self.counts.refused += 1;
        NO_HOME_RETRY_AFTER
    }

    /// Takes a token back whose call certainly did not run.
    pub fn give_back(&mut self, token: Token, now: Time) {
        if let Some(home) = self.desk.give_back(token, now) {
            self.send(home, QuotaMsg::GiveBack { ask: token.ask }, now);
        }
    }

    /// Processes a message of the VM `from`.
    pub fn receive(&mut self, from: VmId, msg: QuotaMsg, now: Time) {
        if !self.is_active() {
            return;
        }
        match msg {
            QuotaMsg::Collect {
                instance,
                stamp,
                fleet,
            } => self.delegate((from, instance), stamp, fleet, now),
            QuotaMsg::Delegate {
                instance,
                stamp,
                share,
                credit,
            } => {
                if instance == self.instance {
                    self.home.delegate(from, stamp, (share, credit), now);
                }
            }
            QuotaMsg::Return {
                instance,
                stamp,
                held,
            } => self.delegator.take_back((from, instance), stamp, held, now),
            QuotaMsg::Ask { ask, team, extra } => self.serve((from, ask), team, extra, now),
            QuotaMsg::Grant { ask, extra } => self.finish_grant(from, ask, extra, now),
            QuotaMsg::Deny { ask, retry_after } => {
                if self.desk.denied(ask, retry_after, now) {
                    self.counts.refused += 1;
                    self.answers.push((ask, Answer::Refused(retry_after)));
                }
            }
            QuotaMsg::GiveBack { ask } => self.home.give_back(from, ask, now),
        }
    }

    /// Delegates this VM's part to `home` if it is the home by this VM's view.
    fn delegate(&mut self, home: (VmId, InstanceId), stamp: Time, fleet: u32, now: Time) {
        if self.home_vm != Some(home.0) {
            return;
        }
        let fleet = fleet.max(self.fleet.get());
        let window = self.terms.window;
        if let Some(delegation) = self.delegator.collect(home, stamp, fleet, window, now) {
            let delegate = QuotaMsg::Delegate {
                instance: home.1,
                stamp,
                share: delegation.share,
                credit: delegation.credit,
            };
            self.send(home.0, delegate, now);
        }
    }

    /// Answers an ask of the VM `from`. A VM that is not the home lets it ask another one.
    fn serve(&mut self, (from, ask): (VmId, AskId), team: TeamId, extra: u32, now: Time) {
        if !self.home.is_active() {
            return;
        }
        let answer = match self.home.take((from, ask), team, extra, now) {
            Ok(extra) => QuotaMsg::Grant { ask, extra },
            Err(retry_after) => QuotaMsg::Deny { ask, retry_after },
        };
        self.send(from, answer, now);
    }

    fn finish_grant(&mut self, from: VmId, ask: AskId, extra: u32, now: Time) {
        if let Some(token) = self.desk.granted(from, ask, extra, now) {
            self.counts.granted += 1;
            self.answers.push((ask, Answer::Granted(token)));
        }
    }

    /// Becomes the home, or gives that up, as the view says.
    fn choose_role(&mut self, now: Time) {
        let should_be = self.is_active() && self.home_vm == Some(self.self_id);
        if should_be && !self.home.is_active() {
            self.home.start(&self.limits, now);
            self.notes.push(Note::HomeTaken);
        } else if !should_be {
            self.stop_home(now);
        }
    }

    fn stop_home(&mut self, now: Time) {
        if !self.home.is_active() {
            return;
        }
        let (owners, held) = self.home.stop(now);
        self.holds_most = false;
        self.notes.push(Note::HomeLeft(owners.len()));
        let give = QuotaMsg::Return {
            instance: self.instance,
            stamp: now,
            held,
        };
        for vm in owners {
            self.send(vm, give, now);
        }
    }

    /// Queues a message. One to this VM itself is processed at once.
    fn send(&mut self, to: VmId, msg: QuotaMsg, now: Time) {
        if to == self.self_id {
            self.receive(to, msg, now);
        } else {
            self.counts.messages += 1;
            self.outgoing.push((to, msg));
        }
    }
}
