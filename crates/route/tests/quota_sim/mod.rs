//! A fleet of VMs with quotas, with simulated clocks, messages and faults.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;
use route::quota;
use route::quota::Answer;
use route::quota::AskId;
use route::quota::HomeView;
use route::quota::Limit;
use route::quota::QuotaMsg;
use route::quota::Quotas;
use route::quota::Taken;
use route::quota::Terms;
use route::quota::Token;
use route::quota::ASK_AGAIN;
use route::quota::ASK_LIMIT;

/// The step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(50);

/// The properties of a fleet.
#[derive(Clone)]
pub(crate) struct Rules {
    pub(crate) terms: Terms,
    /// The number of VMs that may be homes.
    pub(crate) large: usize,
    /// By how much clocks are too fast or too slow.
    pub(crate) drift: f64,
    pub(crate) limits: Vec<Limit>,
}

impl Rules {
    pub(crate) fn new(limits: Vec<Limit>) -> Self {
        Self {
            terms: super::TERMS,
            large: 8,
            drift: 0.0,
            limits,
        }
    }
}

struct Waiting {
    ask: AskId,
    team: u64,
    since: Time,
    again: bool,
}

struct Vm {
    quotas: Quotas,
    /// When the process and its clock started.
    start: Time,
    speed: f64,
    /// VMs reach only those with the same number.
    side: usize,
    up: bool,
    /// The process does nothing until then.
    frozen_until: Time,
    /// Until when the process gets no processor, which it does not notice.
    stalled_until: Time,
    /// When a stopped process starts again.
    starts_at: Option<Time>,
    view_at: Time,
    tick_at: Time,
    waiting: Vec<Waiting>,
    inbox: Vec<(u64, QuotaMsg)>,
}

impl Vm {
    fn clock(&self, now: Time) -> Time {
        now.saturating_sub(self.start).mul_f64(self.speed)
    }
}

pub(crate) struct Fleet {
    rules: Rules,
    now: Time,
    vms: Vec<Vm>,
    /// Sorted by the time of arrival: the time, sender, receiver and message.
    mail: VecDeque<(Time, usize, usize, QuotaMsg)>,
    rng: fastrand::Rng,
    /// Calls per second of each team.
    pub(crate) demand: Vec<f64>,
    /// The longest time until a VM learns which others respond.
    pub(crate) view_delay: Duration,
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) delay_max: Duration,
    /// VMs from this one on run a build that knows no quotas.
    pub(crate) old_from: usize,
    /// Whether most calls with a token find no room and give it back.
    pub(crate) refuse_runs: bool,
    pub(crate) granted: Vec<u64>,
    pub(crate) refused: Vec<u64>,
    /// The refused calls that got no answer while they waited.
    pub(crate) unanswered: u64,
    pub(crate) messages: u64,
    /// Calls that ran: the team and the time.
    runs: Vec<(u64, Time)>,
    /// Calls that may still give their token back.
    unsure: Vec<(usize, Token, Time)>,
    scale: f64,
    /// The number of teams that have a limit; the others have none yet.
    limited: usize,
    /// The largest limits that were in force in the last windows.
    bound_scale: f64,
}

impl Fleet {
    pub(crate) fn new(count: usize, rules: Rules, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Time::from_secs(1000);
        let vms = (0..count).map(|vm| {
            let start = now - Duration::from_secs(5);
            Vm {
                quotas: new_quotas(vm, &rules, &rules.limits, start, Time::ZERO),
                start,
                speed: 1.0 + rules.drift * (rng.f64() * 2.0 - 1.0),
                side: 0,
                up: true,
                frozen_until: Time::ZERO,
                stalled_until: Time::ZERO,
                starts_at: None,
                view_at: now,
                tick_at: now + STEP * rng.u32(..10),
                waiting: Vec::new(),
                inbox: Vec::new(),
            }
        });
        let teams = rules.limits.len();
        let mut fleet = Self {
            vms: vms.collect(),
            rules,
            now,
            mail: VecDeque::new(),
            rng,
            demand: vec![0.0; teams],
            view_delay: Duration::from_millis(1500),
            loss: 0.0,
            duplicates: 0.0,
            delay_max: Duration::from_millis(4),
            old_from: usize::MAX,
            refuse_runs: false,
            granted: vec![0; teams],
            refused: vec![0; teams],
            unanswered: 0,
            messages: 0,
            runs: Vec::new(),
            unsure: Vec::new(),
            scale: 1.0,
            limited: teams,
            bound_scale: 1.0,
        };
        (0..count).for_each(|vm| fleet.update_view(vm));
        fleet
    }

    pub(crate) fn totals(&self) -> (u64, u64) {
        (self.granted.iter().sum(), self.refused.iter().sum())
    }

    pub(crate) fn clear_counts(&mut self) {
        self.granted.fill(0);
        self.refused.fill(0);
        self.unanswered = 0;
        self.messages = 0;
    }

    /// Returns the home by the view of `vm`.
    pub(crate) fn home_of(&self, vm: usize) -> usize {
        self.homes_of(vm)[0]
    }

    /// Returns the homes of both lanes by the view of `vm`.
    pub(crate) fn homes_of(&self, vm: usize) -> [usize; 2] {
        self.vms[vm]
            .quotas
            .homes()
            .map(|home| home.unwrap() as usize)
    }

    pub(crate) fn stop(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        state.up = false;
        state.waiting.clear();
        state.inbox.clear();
        self.change_views();
    }

    /// Kills a VM, which starts again `after` that.
    pub(crate) fn restart(&mut self, vm: usize, after: Duration) {
        self.stop(vm);
        self.vms[vm].starts_at = Some(self.now + after.max(STEP));
    }

    pub(crate) fn freeze(&mut self, vm: usize, span: Duration) {
        self.vms[vm].frozen_until = self.now + span;
        self.change_views();
    }

    /// Lets a VM stand still for a moment, which no VM notices.
    pub(crate) fn stall(&mut self, vm: usize, span: Duration) {
        self.vms[vm].stalled_until = self.now + span;
    }

    /// Cuts the first `count` VMs off from the others.
    pub(crate) fn split(&mut self, count: usize) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            vm.side = usize::from(index < count);
        }
        self.change_views();
    }

    /// Cuts the homes by the view of `vm` off from the others.
    pub(crate) fn cut_homes_off(&mut self, vm: usize) {
        let homes = self.vms[vm].quotas.homes();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            vm.side = usize::from(homes.contains(&Some(index as u64)));
        }
        self.change_views();
    }

    /// Ends what disturbs messages.
    pub(crate) fn heal(&mut self) {
        self.vms.iter_mut().for_each(|vm| vm.side = 0);
        (self.loss, self.duplicates) = (0.0, 0.0);
        self.delay_max = Duration::from_millis(4);
        self.change_views();
    }

    /// Puts limits of `scale` times the first ones in force at all VMs that are up.
    pub(crate) fn set_rate_scale(&mut self, scale: f64) {
        self.scale = scale;
        self.bound_scale = self.bound_scale.max(scale);
        self.put_in_force();
    }

    /// Lets only the first `count` teams have a limit.
    pub(crate) fn limit_teams(&mut self, count: usize) {
        self.limited = count;
        self.put_in_force();
    }

    fn put_in_force(&mut self) {
        let limits = self.limits();
        for vm in 0..self.vms.len() {
            let now = self.vms[vm].clock(self.now);
            self.vms[vm].quotas.set_limits(limits.clone(), now);
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for vm in 0..self.vms.len() {
                self.step(vm);
            }
            self.make_calls();
            self.end_unsure();
        }
    }

    /// Checks that no window had more calls of a team than the bound, nor more than what the
    /// design allows: the stock of tokens, one credit, and the inflow by clocks that drift
    /// and with tokens that are late, see `docs/design/quotas.md`.
    pub(crate) fn check_bound(&self) {
        let terms = self.rules.terms;
        let window = terms.window.as_secs_f64();
        for limit in &self.rules.limits {
            let (rate, burst) = (
                limit.rate * self.bound_scale,
                limit.burst * self.bound_scale,
            );
            let quota = rate * window + burst;
            let tolerance = quota * terms.excess + terms.slack;
            let late = 0.2 + window * 2.0 * self.rules.drift;
            let designed = burst.max(3.0) + tolerance / 2.0 + rate * (window + late) + 1.0;
            let bound = (quota + tolerance).min(designed);
            let count = self.most_in_window(limit.team);
            assert!(
                count as f64 <= bound,
                "team {}: {count} calls in a window, bound {bound:.1}",
                limit.team
            );
        }
    }

    /// Returns the largest number of calls of `team` that ran in a window.
    pub(crate) fn most_in_window(&self, team: u64) -> usize {
        let of_team = self.runs.iter().filter(|(other, _)| *other == team);
        let mut runs: Vec<Time> = of_team.map(|(_, at)| *at).collect();
        runs.sort_unstable();
        let mut first = 0;
        let counts = runs.iter().enumerate().map(|(last, at)| {
            while runs[first] + self.rules.terms.window < *at {
                first += 1;
            }
            last - first + 1
        });
        counts.max().unwrap_or(0)
    }

    fn limits(&self) -> Vec<Limit> {
        let scaled = |limit: &Limit| Limit {
            rate: limit.rate * self.scale,
            burst: limit.burst * self.scale,
            ..*limit
        };
        let limited = self.rules.limits.iter().take(self.limited);
        limited.map(scaled).collect()
    }

    /// Lets each VM learn of a change after a delay of its own.
    fn change_views(&mut self) {
        for vm in &mut self.vms {
            vm.view_at = self.now + self.view_delay.mul_f64(self.rng.f64());
        }
    }

    fn update_view(&mut self, vm: usize) {
        let side = self.vms[vm].side;
        let responds = |other: &usize| {
            let state = &self.vms[*other];
            *other == vm || (state.up && state.side == side && self.now >= state.frozen_until)
        };
        let alive: Vec<u64> = (0..self.vms.len())
            .filter(responds)
            .map(|vm| vm as u64)
            .collect();
        let large = alive.iter().filter(|vm| **vm < self.rules.large as u64);
        let mut eligible: Vec<u64> = large.copied().collect();
        if eligible.is_empty() {
            eligible.clone_from(&alive);
        }
        let view = HomeView {
            homes: quota::choose_homes(7, &eligible, |vm| vm % 4),
            alive: &alive,
            registered: self.vms.len() as u32,
        };
        let now = self.vms[vm].clock(self.now);
        self.vms[vm].quotas.set_view(view, now);
        self.vms[vm].view_at = Time::MAX;
        self.carry_out(vm);
    }

    fn deliver(&mut self) {
        while self.mail.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, msg)) = self.mail.pop_front() else {
                return;
            };
            if self.vms[to].up && self.vms[from].side == self.vms[to].side {
                self.vms[to].inbox.push((from as u64, msg));
            }
        }
    }

    fn step(&mut self, vm: usize) {
        if self.vms[vm].starts_at.is_some_and(|at| at <= self.now) {
            let start = self.now;
            let limits = self.limits();
            let state = &mut self.vms[vm];
            state.quotas = new_quotas(vm, &self.rules, &limits, start, Time::ZERO);
            (state.start, state.starts_at, state.up) = (start, None, true);
            self.change_views();
            self.update_view(vm);
        }
        let state = &mut self.vms[vm];
        if vm >= self.old_from {
            state.inbox.clear();
            return;
        }
        if !state.up || self.now < state.frozen_until.max(state.stalled_until) {
            return;
        }
        let now = state.clock(self.now);
        let is_stalled = !state.stalled_until.is_zero();
        state.stalled_until = Time::ZERO;
        if is_stalled {
            // Timers may run before the messages that came meanwhile are read.
            self.repeat_asks(vm, now);
        }
        let state = &mut self.vms[vm];
        let is_resumed = !state.frozen_until.is_zero();
        state.frozen_until = Time::ZERO;
        if is_resumed {
            state.quotas.resume_after_pause(now);
        }
        for (from, msg) in std::mem::take(&mut state.inbox) {
            state.quotas.receive(from, msg, now);
        }
        self.carry_out(vm);
        self.repeat_asks(vm, now);
        if self.now >= self.vms[vm].view_at || is_resumed {
            self.update_view(vm);
        }
        if self.now >= self.vms[vm].tick_at {
            self.vms[vm].tick_at = self.now + TICK;
            let registered = self.vms.len() as u32;
            self.vms[vm].quotas.tick(registered, now);
        }
        self.carry_out(vm);
    }

    fn repeat_asks(&mut self, vm: usize, now: Time) {
        let state = &mut self.vms[vm];
        for waiting in &mut state.waiting {
            if !waiting.again && now >= waiting.since + ASK_AGAIN {
                waiting.again = true;
                state.quotas.ask_other(waiting.ask, now);
            }
            if now >= waiting.since + ASK_LIMIT {
                state.quotas.give_up(waiting.ask);
                self.unanswered += 1;
                self.refused[waiting.team as usize] += 1;
            }
        }
        let waits = |waiting: &Waiting| now < waiting.since + ASK_LIMIT;
        state.waiting.retain(waits);
    }

    /// Sends messages, and runs the calls that got tokens.
    fn carry_out(&mut self, vm: usize) {
        let now = self.vms[vm].clock(self.now);
        for (ask, answer) in self.vms[vm].quotas.take_answers() {
            let state = &mut self.vms[vm];
            let Some(index) = state.waiting.iter().position(|w| w.ask == ask) else {
                if let Answer::Granted(token) = answer {
                    state.quotas.give_back(token, now);
                }
                continue;
            };
            let waiting = state.waiting.swap_remove(index);
            match answer {
                Answer::Granted(token) => self.run_call(vm, token),
                Answer::Refused(_) => self.refused[waiting.team as usize] += 1,
            }
        }
        for (to, msg) in self.vms[vm].quotas.take_messages() {
            self.messages += 1;
            let copies = 1 + usize::from(self.rng.f64() < self.duplicates);
            for _ in 0..copies {
                if self.rng.f64() >= self.loss {
                    let delay = self.delay_max.mul_f64(self.rng.f64());
                    self.post(self.now + delay, vm, to as usize, msg);
                }
            }
        }
    }

    fn post(&mut self, at: Time, from: usize, to: usize, msg: QuotaMsg) {
        let index = self.mail.partition_point(|(other, ..)| *other <= at);
        self.mail.insert(index, (at, from, to, msg));
    }

    fn run_call(&mut self, vm: usize, token: Token) {
        self.granted[token.team as usize] += 1;
        if self.refuse_runs && self.rng.f64() < 0.8 {
            let until = self.now + Duration::from_millis(self.rng.u64(..150));
            self.unsure.push((vm, token, until));
        } else {
            self.runs.push((token.team, self.now));
        }
    }

    /// Gives the tokens back of calls that found no room.
    fn end_unsure(&mut self) {
        let now = self.now;
        let (ended, unsure) = std::mem::take(&mut self.unsure)
            .into_iter()
            .partition(|(.., until)| *until <= now);
        self.unsure = unsure;
        for (vm, token, _) in ended {
            let clock = self.vms[vm].clock(now);
            if self.vms[vm].up && now >= self.vms[vm].frozen_until {
                self.vms[vm].quotas.give_back(token, clock);
                self.carry_out(vm);
            }
        }
    }

    fn make_calls(&mut self) {
        for team in 0..self.demand.len() {
            let mut expected = self.demand[team] * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.f64() < expected.min(1.0) {
                    self.call(team as u64);
                }
                expected -= 1.0;
            }
        }
    }

    fn call(&mut self, team: u64) {
        let vm = self.rng.usize(..self.vms.len().min(self.old_from));
        let state = &mut self.vms[vm];
        if !state.up || self.now < state.frozen_until.max(state.stalled_until) {
            return;
        }
        let now = state.clock(self.now);
        match state.quotas.take(team, now) {
            Taken::Now(token) => self.run_call(vm, token),
            Taken::Refused(_) => self.refused[team as usize] += 1,
            Taken::Wait(ask) => state.waiting.push(Waiting {
                ask,
                team,
                since: now,
                again: false,
            }),
        }
        self.carry_out(vm);
    }
}

fn new_quotas(vm: usize, rules: &Rules, limits: &[Limit], start: Time, now: Time) -> Quotas {
    let instance = (start.as_millis() / 4) as u32;
    let first = start.as_nanos() as u64;
    let mut quotas = Quotas::new(vm as u64, instance, rules.terms, Time::ZERO, first);
    quotas.set_limits(limits.to_vec(), now);
    quotas
}
