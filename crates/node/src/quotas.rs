//! Quotas of teams: carries the decisions of [`route::quota`] out.
//!
//! Nothing is kept, sent or locked for long while no team of the configuration in force
//! has a quota. See `docs/design/quotas.md`.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use base::TeamId;
use base::Time;
use base::VmId;
use conf::State;
use entry::QuotaUse;
use entry::Refusal;
use route::instance;
use route::msg::RefusalReason;
use route::quota;
use route::quota::Answer;
use route::quota::AskId;
use route::quota::Counts;
use route::quota::HomeView;
use route::quota::Limit;
use route::quota::Note;
use route::quota::QuotaMsg;
use route::quota::Quotas;
use route::quota::Taken;
use route::quota::Terms;
use route::quota::ASK_AGAIN;
use route::quota::ASK_LIMIT;
use route::quota::LANES;
use wire::Msg;

use crate::shared::lock;
use crate::shared::read;
use crate::shared::Shared;
use crate::view::View;

/// The key by which the homes of the lanes are chosen.
const HOME_KEY: u64 = 0x71_75_6f_74_61;
/// The interval of the lines about refused calls.
const REFUSALS_INTERVAL: Duration = Duration::from_secs(1);
/// The most teams in lines about refused calls of one interval.
const REFUSED_TEAMS_MAX: usize = 20;

/// The quotas of the teams of the configuration in force, at this VM.
#[derive(Default)]
pub(crate) struct TeamQuotas {
    /// Whether a team has a quota; saves the lock where none has.
    active: AtomicBool,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// `None` until a configuration with a quota was in force.
    quotas: Option<Box<Quotas>>,
    waiters: Vec<(AskId, async_channel::Sender<Answer>)>,
    /// Refused calls since `refused_since`, by team.
    refused: Vec<(TeamId, u64)>,
    refused_since: Time,
    waited: Duration,
}

/// What gauges and tests read.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaCounts {
    /// The counts of decisions.
    pub counts: Counts,
    /// The time that calls waited for tokens.
    pub waited: Duration,
    /// The share of the quotas that this VM holds as their home.
    pub share: f64,
}

/// What is left to be done once the lock is released.
#[derive(Default)]
struct Effects {
    messages: Vec<(VmId, QuotaMsg)>,
    notes: Vec<Note>,
}

impl Inner {
    fn count_refused(&mut self, team: TeamId) {
        match self.refused.binary_search_by_key(&team, |(team, _)| *team) {
            Ok(index) => self.refused[index].1 += 1,
            Err(index) => self.refused.insert(index, (team, 1)),
        }
    }

    /// Hands the answers to the calls that wait. A token whose call has gone is given back.
    fn effects(&mut self, now: Time) -> Effects {
        let Some(quotas) = &mut self.quotas else {
            return Effects::default();
        };
        for (ask, answer) in quotas.take_answers() {
            let index = self.waiters.iter().position(|(other, _)| *other == ask);
            let sent = index.map(|index| self.waiters.swap_remove(index).1.try_send(answer));
            if let (false, Answer::Granted(token)) = (matches!(sent, Some(Ok(()))), answer) {
                quotas.give_back(token, now);
            }
        }
        Effects {
            messages: quotas.take_messages(),
            notes: quotas.take_notes(),
        }
    }
}

impl Shared {
    /// Returns the counts of this VM's quotas.
    pub fn quota_counts(&self) -> QuotaCounts {
        let inner = lock(&self.quotas.inner);
        let Some(quotas) = &inner.quotas else {
            return QuotaCounts::default();
        };
        QuotaCounts {
            counts: quotas.counts(),
            waited: inner.waited,
            share: quotas.share(),
        }
    }

    /// Puts the quotas of the configuration `state` in force.
    pub(crate) fn set_quotas(&self, state: &State) {
        let limits: Vec<Limit> = state
            .teams()
            .iter()
            .filter_map(|team| {
                let quota = team.quota?;
                Limit::new(team.id(), quota.rate, quota.burst)
            })
            .collect();
        let was_active = self.quotas.active.load(Ordering::Relaxed);
        if limits.is_empty() && !was_active {
            return;
        }
        let now = self.clock.now();
        let teams = limits.len();
        let view = self.view();
        let mut inner = lock(&self.quotas.inner);
        let quotas = inner.quotas.get_or_insert_with(|| {
            let instance = instance::at(SystemTime::now());
            let first = fastrand::u64(..);
            let quotas = Quotas::new(
                self.self_id,
                instance,
                self.quota_terms(),
                Time::ZERO,
                first,
            );
            Box::new(quotas)
        });
        if !quotas.set_limits(limits, now) {
            return;
        }
        quotas.set_view(home_view(&view, self.self_id), now);
        if !was_active {
            quotas.offer(now);
        }
        let effects = inner.effects(now);
        self.quotas.active.store(teams > 0, Ordering::Relaxed);
        drop(inner);
        log::info!(teams = teams as u64, revision = state.revision; "quota: limits in force");
        self.run_quota_effects(effects);
    }

    fn quota_terms(&self) -> Terms {
        self.settings
            .quotas
            .map_or_else(Terms::default, |quotas| Terms {
                window: quotas.window,
                excess: quotas.excess,
                slack: f64::from(quotas.slack),
            })
    }

    /// Records a change of the fleet.
    pub(crate) fn update_quota_view(&self, view: &View) {
        let now = self.clock.now();
        let self_id = self.self_id;
        self.with_quotas(|quotas| quotas.set_view(home_view(view, self_id), now));
    }

    /// Collects parts that are due, and logs what was refused.
    pub(crate) fn tick_quotas(&self, now: Time) {
        let view = self.view();
        self.with_quotas(|quotas| quotas.tick(view.registered as u32, now));
        if self.quotas.active.load(Ordering::Relaxed) {
            self.log_refused(now);
        }
    }

    /// Drops what may be outdated after this VM was paused.
    pub(crate) fn resume_quotas(&self, now: Time) {
        self.with_quotas(|quotas| quotas.resume_after_pause(now));
    }

    /// Returns the parts of other VMs at a planned stop.
    pub(crate) fn leave_quotas(&self) {
        let now = self.clock.now();
        self.with_quotas(|quotas| quotas.leave(now));
    }

    /// Processes a message about quotas.
    pub(crate) fn receive_quota(&self, from: VmId, msg: QuotaMsg) {
        let now = self.clock.now();
        self.with_quotas(|quotas| quotas.receive(from, msg, now));
    }

    /// Takes a token of the quota of `team`, and waits for the home's answer if it has to.
    pub(crate) async fn take_quota(&self, team: TeamId) -> Result<QuotaUse, Refusal> {
        if !self.quotas.active.load(Ordering::Relaxed) {
            return Ok(None);
        }
        self.check_pause();
        let began = self.clock.now();
        let Some((taken, answer)) = self.start_take(team, began) else {
            return Ok(None);
        };
        let result = match taken {
            Taken::Now(token) => Ok(Some(token)),
            Taken::Refused(retry_after) => Err(retry_after),
            Taken::Wait(ask) => match self.wait_for_token(ask, &answer).await {
                Answer::Granted(token) => Ok(Some(token)),
                Answer::Refused(retry_after) => Err(retry_after),
            },
        };
        let mut inner = lock(&self.quotas.inner);
        inner.waited += self.clock.now().saturating_sub(began);
        if result.is_err() {
            inner.count_refused(team);
        }
        drop(inner);
        result.map_err(|retry_after| Refusal {
            reason: RefusalReason::Quota,
            retry_after,
        })
    }

    /// Gives the token back of a call that certainly did not run.
    pub(crate) fn give_quota_back(&self, used: QuotaUse) {
        let now = self.clock.now();
        if let Some(token) = used {
            self.with_quotas(|quotas| quotas.give_back(token, now));
        }
    }

    /// Takes a token that is at hand, or asks for one whose answer the channel receives.
    /// `None` if nothing limits the team.
    fn start_take(
        &self,
        team: TeamId,
        now: Time,
    ) -> Option<(Taken, async_channel::Receiver<Answer>)> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut inner = lock(&self.quotas.inner);
        let quotas = inner.quotas.as_mut().filter(|q| q.limits(team))?;
        let taken = quotas.take(team, now);
        if let Taken::Wait(ask) = taken {
            inner.waiters.push((ask, sender));
        }
        let effects = inner.effects(now);
        drop(inner);
        self.run_quota_effects(effects);
        Some((taken, receiver))
    }

    /// Waits for the answer to an ask. Without one it goes to the home of the other lane, and
    /// the membership checks the first one; then the call is refused.
    async fn wait_for_token(&self, ask: AskId, answer: &async_channel::Receiver<Answer>) -> Answer {
        if let Some(Ok(answer)) = net::timeout(ASK_AGAIN, answer.recv()).await {
            return answer;
        }
        let now = self.clock.now();
        let mut silent = None;
        self.with_quotas(|quotas| silent = quotas.ask_other(ask, now));
        if let Some(home) = silent.filter(|home| *home != self.self_id) {
            self.with_members(|members| members.report_unresponsive(home, now));
        }
        let left = ASK_LIMIT.saturating_sub(ASK_AGAIN);
        if let Some(Ok(answer)) = net::timeout(left, answer.recv()).await {
            return answer;
        }
        let mut inner = lock(&self.quotas.inner);
        inner.waiters.retain(|(other, _)| *other != ask);
        if let Ok(answer) = answer.try_recv() {
            return answer;
        }
        let quotas = inner.quotas.as_mut();
        Answer::Refused(quotas.map_or(Duration::ZERO, |quotas| quotas.give_up(ask)))
    }

    /// Runs `f` on the quotas if any team has one, and carries out what follows.
    fn with_quotas(&self, f: impl FnOnce(&mut Quotas)) {
        if !self.quotas.active.load(Ordering::Relaxed) {
            return;
        }
        let now = self.clock.now();
        let mut inner = lock(&self.quotas.inner);
        if let Some(quotas) = &mut inner.quotas {
            f(quotas);
        }
        inner.waiters.retain(|(_, answer)| !answer.is_closed());
        let effects = inner.effects(now);
        drop(inner);
        self.run_quota_effects(effects);
    }

    fn run_quota_effects(&self, effects: Effects) {
        for note in effects.notes {
            log_note(note);
        }
        if effects.messages.is_empty() {
            return;
        }
        let view = self.view();
        for (to, msg) in effects.messages {
            if let Some(address) = view.address(to) {
                self.outbox.put(address, Msg::Quota(msg));
            }
        }
    }

    /// Logs how many calls of each team were refused, once in an interval.
    fn log_refused(&self, now: Time) {
        let mut inner = lock(&self.quotas.inner);
        if inner.refused.is_empty() || now < inner.refused_since + REFUSALS_INTERVAL {
            return;
        }
        inner.refused_since = now;
        let mut refused = std::mem::take(&mut inner.refused);
        drop(inner);
        refused.sort_unstable_by_key(|(_, count)| std::cmp::Reverse(*count));
        let state = read(&self.state);
        for (team, count) in refused.iter().take(REFUSED_TEAMS_MAX) {
            let found = state.teams().iter().find(|known| known.id() == *team);
            let name = found.map_or("", |known| known.name.as_str());
            log::info!(team = name, refused = *count; "quota: calls refused");
        }
    }
}

/// Returns what quotas need of `view`. A VM that has found no other one yet of those that
/// should exist does not know the fleet, and has no home.
fn home_view(view: &View, self_id: VmId) -> HomeView<'_> {
    let is_lost = view.vms == [self_id] && view.undiscovered > 0;
    let homes = if is_lost {
        [None; LANES]
    } else {
        quota::choose_homes(HOME_KEY, &view.eligible, |vm| view.domain_of(vm))
    };
    HomeView {
        homes,
        alive: &view.alive,
        registered: view.registered as u32,
    }
}

fn log_note(note: Note) {
    match note {
        Note::HomeTaken(lane) => {
            log::info!(lane = lane; "quota: this VM is the home of a lane");
        }
        Note::HomeLeft(lane, parts) => {
            log::info!(lane = lane, parts = parts as u64; "quota: this VM is the home no longer");
        }
        Note::Share(lane, share) => {
            log::info!(
                lane = lane,
                share = format!("{share:.3}");
                "quota: the share of the quotas that this home holds has passed half of its lane"
            );
        }
        Note::Paused => log::info!("quota: paused; tokens that were granted ahead are dropped"),
    }
}
