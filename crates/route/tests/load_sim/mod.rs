//! A simulation of the load of one ledger, without a network.
//!
//! Time advances in steps of one millisecond. A server runs at most as many calls as it
//! has slots. How long a call takes follows from its kind, from the slowdown of the
//! server's host at the start of the call, and from how full the server is.

#![allow(dead_code)]

use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::Time;
use route::handover::Snapshot;
use route::ledger::Action;
use route::ledger::Fleet;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::FollowerReport;
use route::msg::Load;
use route::msg::PermitRequest;
use route::msg::ProbeResult;
use route::msg::Ranking;
use route::msg::RateNote;
use route::msg::Release;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::verify;
use route::AttemptId;
use route::Epoch;
use route::HomeId;
use route::Ledger;
use route::ShardSpec;

/// The step by which the time advances.
const STEP: Duration = Duration::from_millis(1);
/// Id of the only VM, which is home and follower at once.
pub(crate) const VM: u64 = 1;
/// How long a call takes on a host that is not slow.
pub(crate) const SERVICE_TIME_MS: u64 = 60;
/// The target latency of all calls.
pub(crate) const TARGET_LATENCY_MS: u64 = 200;
/// The factor by which calls take longer on a slow host.
const SLOW_FACTOR: u64 = 5;
/// How long it takes until a full server has closed the connection of a call.
const RESET_TIME: Duration = Duration::from_millis(2);
/// The time after which the slowdown of each host is drawn again.
const SLOWDOWN_PERIOD_MS: u64 = 150;

/// A call that runs at a server.
pub(crate) struct Running {
    call: AttemptId,
    server: ServerId,
    started_at: Time,
    ends_at: Time,
    /// When the permit was requested.
    requested_at: Time,
    pub(crate) outcome: Outcome,
    /// The index of the call's kind.
    kind: usize,
}

/// A call that the home refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) call: AttemptId,
    /// The index of the call's kind.
    pub(crate) kind: usize,
    /// The time after which its caller should come back.
    pub(crate) after: Duration,
    pub(crate) at: Time,
}

/// Calls that are alike.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) class: base::Class,
    pub(crate) rank: u32,
    pub(crate) team: u64,
    /// How long a call takes on a host that is not slow.
    pub(crate) work: Duration,
    pub(crate) target: Duration,
    pub(crate) left: Duration,
    /// New calls per second on average.
    pub(crate) rate: f64,
    /// Whether the requests say what the home weighs them by.
    pub(crate) ranked: bool,
}

/// The calls of most tests, whose rate is that of the run.
const PLAIN: Kind = Kind {
    name: "plain",
    class: base::Class::Interactive,
    rank: 2,
    team: 0,
    work: Duration::from_millis(SERVICE_TIME_MS),
    target: Duration::from_millis(TARGET_LATENCY_MS),
    left: Duration::from_millis(1200),
    rate: 0.0,
    ranked: false,
};

/// How the calls ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// Calls that requested a permit.
    pub(crate) asked: u32,
    /// Calls that succeeded within the target latency.
    pub(crate) in_time: u32,
    /// Calls that succeeded after the target latency.
    pub(crate) late: u32,
    /// Calls that the home refused.
    pub(crate) refused: u32,
    /// Calls that the home refused later than after an eighth of the target latency.
    pub(crate) refused_late: u32,
    /// Calls that failed at their server.
    pub(crate) failed: u32,
    /// Calls that their server refused.
    pub(crate) shed: u32,
    /// Calls whose connection their server closed without a response.
    pub(crate) broken: u32,
}

/// A fault that makes a share of the calls fail.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// The faulty server, or none if all servers are faulty.
    pub(crate) server: Option<ServerId>,
    /// The share of calls that fail, from 0 to 1.
    pub(crate) share: f64,
    /// How long a failing call takes.
    pub(crate) took: Duration,
    /// How a failing call ends.
    pub(crate) outcome: Outcome,
}

/// The state of the simulation.
pub(crate) struct Sim {
    pub(crate) ledger: Ledger,
    rng: fastrand::Rng,
    pub(crate) now: Time,
    pub(crate) last_id: AttemptId,
    /// The kinds of the calls; the first one is that of [`Sim::run`].
    pub(crate) kinds: Vec<Kind>,
    /// When the calls of the kinds began to come.
    since: Time,
    /// How the calls of each kind ended, of those that came since then.
    pub(crate) kind_counts: Vec<Counts>,
    /// The share of a server's slots above which its calls take longer, and how much.
    pub(crate) knee: Option<(f64, f64)>,
    /// The calls that were refused.
    pub(crate) refusals: Vec<Refused>,
    /// Calls that wait for a permit, with the times of their requests and their kinds.
    waiting: Vec<(AttemptId, Time, usize)>,
    pub(crate) running: Vec<Running>,
    /// Slots of each server.
    slots: u32,
    /// The probability that a host is slow.
    slow_share: f64,
    /// The slowdown of each server's host.
    slowdowns: Vec<u64>,
    pub(crate) fault: Option<Fault>,
    /// Servers that fail all calls.
    pub(crate) failing: Vec<ServerId>,
    /// Whether servers close the connection of a call that comes while all slots are busy.
    pub(crate) resets_when_full: bool,
    /// When the servers start to report in health checks that they are warm; none if they
    /// do not report their warmth.
    pub(crate) warm_at: Option<Time>,
    /// The rate limit that all servers name in their responses, in calls a second.
    pub(crate) rate_limit: Option<f64>,
    pub(crate) counts: Counts,
    /// Servers and times of all permits granted.
    pub(crate) granted: Vec<(ServerId, Time)>,
    /// The calls that were granted.
    pub(crate) granted_calls: Vec<AttemptId>,
}

/// Returns a shard of `servers` servers in three failure domains.
pub(crate) fn spec(servers: u64, slots: u32, announced: Announcement) -> ShardSpec {
    let servers = (1..=servers).map(|id| ServerSpec {
        id,
        domain: id % 3,
        slots,
        connections: 220,
        open: true,
        version: Default::default(),
        announced,
    });
    ShardSpec {
        max_deadline: Duration::from_secs(2),
        server_queues: false,
        ..ShardSpec::new(1, servers.collect())
    }
}

impl Sim {
    pub(crate) fn new(spec: ShardSpec, slow_share: f64) -> Self {
        let now = Duration::from_secs(10);
        let slots = spec.servers[0].slots;
        let slowdowns = vec![1; spec.servers.len()];
        let fleet = Fleet {
            vms: &[VM],
            alive: &[VM],
            undiscovered: 0,
        };
        let home = HomeId {
            vm: VM,
            instance: 1,
        };
        let mut ledger = Ledger::new(home, Epoch::default(), spec.into(), fleet, now);
        let attach = Body::Attach {
            epoch: ledger.epoch(),
            holding: FollowerReport::default(),
            snapshot: Snapshot::default(),
        };
        ledger.receive(VM, attach, now);
        Self {
            ledger,
            rng: fastrand::Rng::with_seed(7),
            now,
            last_id: 0,
            kinds: vec![PLAIN],
            since: now,
            kind_counts: vec![Counts::default()],
            knee: None,
            refusals: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            slots,
            slow_share,
            slowdowns,
            fault: None,
            failing: Vec::new(),
            resets_when_full: false,
            warm_at: None,
            rate_limit: None,
            counts: Counts::default(),
            granted: Vec::new(),
            granted_calls: Vec::new(),
        }
    }

    /// Runs the simulation for `span` with an average of `rate` new calls per second.
    pub(crate) fn run(&mut self, span: Duration, rate: f64) {
        let kinds = vec![Kind { rate, ..PLAIN }];
        self.play(span, &kinds);
    }

    /// Runs the simulation for `span` with calls of `kinds`.
    pub(crate) fn play(&mut self, span: Duration, kinds: &[Kind]) {
        self.kinds = kinds.to_vec();
        self.kind_counts = vec![Counts::default(); kinds.len()];
        self.since = self.now;
        self.advance(span);
    }

    /// Lets the calls in progress go on for `span` without new ones.
    pub(crate) fn drain(&mut self, span: Duration) {
        for kind in &mut self.kinds {
            kind.rate = 0.0;
        }
        self.advance(span);
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let now_ms = self.now.as_millis() as u64;
            if now_ms.is_multiple_of(SLOWDOWN_PERIOD_MS) {
                for slowdown in &mut self.slowdowns {
                    let slow = self.rng.f64() < self.slow_share;
                    *slowdown = if slow { SLOW_FACTOR } else { 1 };
                }
            }
            self.finish_calls();
            for kind in 0..self.kinds.len() {
                if self.rng.f64() < self.kinds[kind].rate * STEP.as_secs_f64() {
                    self.start_call(kind);
                }
            }
            if now_ms.is_multiple_of(20) {
                self.ledger.tick(self.now);
                let violations = verify::check(&self.ledger);
                assert!(violations.is_empty(), "{violations:?}");
            }
            self.perform_actions();
        }
    }

    /// Requests a permit for a new call.
    fn start_call(&mut self, index: usize) {
        self.last_id += 1;
        let kind = self.kinds[index];
        for counts in self.counts_of(index, self.now) {
            counts.asked += 1;
        }
        let request = PermitRequest {
            class: kind.class,
            left: kind.left,
            goal: kind.target,
            late_wait: kind.target / 8,
            kind: AttemptKind::First,
            avoid: Vec::new(),
            domain: self.last_id % 3,
            ranking: None,
        };
        self.waiting.push((self.last_id, self.now, index));
        let epoch = self.ledger.epoch();
        let call = self.last_id;
        let ask = request;
        let body = if kind.ranked {
            let ranking = Box::new(Ranking {
                rank: kind.rank,
                team: kind.team,
                work: kind.work,
                target: kind.target,
            });
            Body::AcquireRanked {
                epoch,
                call,
                ask,
                ranking,
            }
        } else {
            Body::Acquire { epoch, call, ask }
        };
        self.ledger.receive(VM, body, self.now);
    }

    /// Releases the permits of the calls that have ended.
    fn finish_calls(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.running);
        let (ended, remaining): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|attempt| now >= attempt.ends_at);
        self.running = remaining;
        for attempt in ended {
            let took = now - attempt.requested_at;
            let target = self
                .kinds
                .get(attempt.kind)
                .map_or(PLAIN.target, |k| k.target);
            for counts in self.counts_of(attempt.kind, attempt.requested_at) {
                *match attempt.outcome {
                    Outcome::Failed => &mut counts.failed,
                    Outcome::Shed => &mut counts.shed,
                    Outcome::Broken => &mut counts.broken,
                    _ if took <= target => &mut counts.in_time,
                    _ => &mut counts.late,
                } += 1;
            }
            let release = Release {
                call: attempt.call,
                server: attempt.server,
                outcome: attempt.outcome,
                took: now - attempt.started_at,
                load: Some(self.load(attempt.server)),
            };
            let epoch = self.ledger.epoch();
            if let Some(rate) = self.rate_limit {
                let note = RateNote {
                    server: attempt.server,
                    interval: Duration::from_secs_f64(1.0 / rate),
                    age: Duration::ZERO,
                };
                let limits = vec![note];
                self.ledger
                    .receive(VM, Body::RateLimits { epoch, limits }, now);
            }
            self.ledger
                .receive(VM, Body::Release { epoch, release }, now);
        }
    }

    /// Returns the counts of all calls, and those of one kind if `requested_at` is not from
    /// before these began.
    fn counts_of(&mut self, kind: usize, requested_at: Time) -> impl Iterator<Item = &mut Counts> {
        let counts = requested_at >= self.since;
        let of_kind = self.kind_counts.get_mut(kind).filter(|_| counts);
        std::iter::once(&mut self.counts).chain(of_kind)
    }

    /// Returns the load that a server reports.
    fn load(&self, server: ServerId) -> Load {
        Load {
            busy: 0,
            waiting: 0,
            slowdown_percent: self.slowdowns[server as usize - 1] as u32 * 100,
        }
    }

    /// Performs the actions of the ledger. Probes succeed at once.
    fn perform_actions(&mut self) {
        for action in self.ledger.take_actions() {
            match action {
                Action::Probe(server) => {
                    let load = self.load(server);
                    let result = ProbeResult {
                        ok: true,
                        load: Some(load),
                        warm: self.warm_at.map(|start| self.now >= start),
                    };
                    self.ledger.record_probe(server, result, self.now);
                }
                Action::Send(envelope) => self.receive(envelope.msg.body),
                Action::StepDown(_) => {}
            }
        }
    }

    /// Processes a message from the ledger to the VM.
    fn receive(&mut self, body: Body) {
        match body {
            Body::Grant { call, server, .. } => {
                let (requested_at, kind) = self.take_request(call);
                let in_flight = self.running.iter().filter(|other| other.server == server);
                let in_flight = in_flight.count() as u32;
                let is_full = in_flight >= self.slots;
                assert!(
                    !is_full || self.resets_when_full,
                    "more calls granted than the server has slots"
                );
                self.granted.push((server, self.now));
                self.granted_calls.push(call);
                let work = self.kinds[kind].work;
                let mut time = work * self.slowdowns[server as usize - 1] as u32;
                if let Some((knee, factor)) = self.knee {
                    if f64::from(in_flight + 1) > knee * f64::from(self.slots) {
                        time = time.mul_f64(factor);
                    }
                }
                let mut outcome = Outcome::Done;
                if let Some(fault) = self.fault {
                    let affected = fault.server.is_none_or(|faulty| faulty == server);
                    if affected && self.rng.f64() < fault.share {
                        outcome = fault.outcome;
                        time = fault.took;
                    }
                }
                if self.failing.contains(&server) {
                    outcome = Outcome::Failed;
                }
                if is_full {
                    outcome = Outcome::Broken;
                    time = RESET_TIME;
                }
                self.running.push(Running {
                    call,
                    server,
                    started_at: self.now,
                    ends_at: self.now + time,
                    requested_at,
                    outcome,
                    kind,
                });
            }
            Body::Refuse { call, after, .. } => {
                let (requested_at, kind) = self.take_request(call);
                let waited = self.now - requested_at;
                let late_wait = self.kinds[kind].target / 8 + 2 * STEP;
                for counts in self.counts_of(kind, requested_at) {
                    counts.refused += 1;
                    counts.refused_late += u32::from(waited > late_wait);
                }
                let at = self.now;
                self.refusals.push(Refused {
                    call,
                    kind,
                    after,
                    at,
                });
            }
            _ => {}
        }
    }

    /// Removes `call` from the waiting ones and returns the time of its request and its
    /// kind. A call that was refused is none of them, so it must not get a permit.
    fn take_request(&mut self, call: AttemptId) -> (Time, usize) {
        let index = self.waiting.iter().position(|(known, ..)| *known == call);
        let (_, requested_at, kind) = self
            .waiting
            .swap_remove(index.expect("the call is not waiting"));
        (requested_at, kind)
    }
}
