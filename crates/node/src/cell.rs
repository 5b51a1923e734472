//! One shard on this VM: its follower, its coordinator, and the calls that wait.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::ServerId;
use base::ServiceId;
use base::ShardId;
use base::Time;
use base::VmId;
use entry::Refused;
use route::coordinator::FinalState;
use route::follower::Event;
use route::ledger::Action;
use route::ledger::Decision;
use route::msg::Body;
use route::msg::Envelope;
use route::msg::PermitRequest;
use route::msg::ProbeResult;
use route::msg::Release;
use route::policy::LocalPolicy;
use route::shards::ShardCapacity;
use route::shards::FULL_BACKOFF_MAX;
use route::AttemptId;
use route::Coordinator;
use route::Follower;
use route::ShardSpec;

use crate::fleet::View;

/// The answer to a waiting call.
pub type Answer = Result<ServerId, Refused>;

/// A call that waits for its permit.
struct Waiter {
    call: AttemptId,
    answer: async_channel::Sender<Answer>,
}

/// The follower with the calls that wait at it.
struct Side {
    follower: Follower,
    waiters: Vec<Waiter>,
}

/// What has to be done outside of the locks.
#[derive(Debug, Default)]
pub struct Todo {
    /// Messages to deliver, also to this VM itself.
    pub messages: Vec<Envelope>,
    /// A VM that was silent.
    pub silent: Option<VmId>,
    /// Servers to probe.
    pub probes: Vec<ServerId>,
}

/// One shard.
pub struct Cell {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    me: VmId,
    spec: Mutex<Arc<ShardSpec>>,
    side: Mutex<Side>,
    coordinator: Mutex<Coordinator>,
    local: Option<Mutex<LocalPolicy>>,
    /// Until when the shard is taken to have no room, in milliseconds.
    full: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Cell {
    /// Makes the cell of `spec`; with `local` a baseline chooses the servers.
    pub fn new(me: VmId, life: u32, spec: Arc<ShardSpec>, local: Option<LocalPolicy>) -> Self {
        let side = Side {
            follower: Follower::new(spec.shard, me, life),
            waiters: Vec::new(),
        };
        Self {
            service: spec.service,
            shard: spec.shard,
            me,
            side: Mutex::new(side),
            coordinator: Mutex::new(Coordinator::new(me, spec.clone())),
            local: local.map(Mutex::new),
            spec: Mutex::new(spec),
            full: AtomicU64::new(0),
        }
    }

    /// Notes that the shard refused a call, and when it should have room.
    pub fn note_full(&self, after: Duration, now: Time) {
        let until = now + after.min(FULL_BACKOFF_MAX);
        self.full.store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns what decides whether a call is sent to this shard.
    pub fn room(&self, now: Time) -> ShardCapacity {
        let spec = self.spec();
        ShardCapacity {
            domain: spec.domain,
            slots: spec.open_slots(),
            full: (now.as_millis() as u64) < self.full.load(Ordering::Relaxed),
        }
    }

    /// Returns the specification in force.
    pub fn spec(&self) -> Arc<ShardSpec> {
        lock(&self.spec).clone()
    }

    /// Runs `look` on the coordinator.
    pub fn with_coordinator<T>(&self, look: impl FnOnce(&Coordinator) -> T) -> T {
        look(&lock(&self.coordinator))
    }

    /// Runs `look` on the follower.
    pub fn with_follower<T>(&self, look: impl FnOnce(&Follower) -> T) -> T {
        look(&lock(&self.side).follower)
    }

    /// Runs `work` on the baseline, if one chooses the servers.
    pub fn with_local<T>(&self, work: impl FnOnce(&mut LocalPolicy) -> T) -> Option<T> {
        self.local.as_ref().map(|local| work(&mut lock(local)))
    }

    /// Follows a change of the configuration or of the membership.
    pub fn update(&self, spec: Arc<ShardSpec>, view: &View, now: Time) -> Todo {
        *lock(&self.spec) = spec.clone();
        self.with_local(|local| local.set_spec(&spec));
        let mut todo = self.in_side(|side| {
            let homes = view.homes(spec.domain);
            side.follower.set_fleet(&view.alive, homes, &spec, now);
        });
        todo.add(self.in_coordinator(now, |coordinator| {
            coordinator.set_spec(spec, now);
            coordinator.set_fleet(view.fleet(), now);
        }));
        todo
    }

    /// Asks for a permit; the answer comes through `answer`.
    pub fn acquire(
        &self,
        ask: PermitRequest,
        answer: async_channel::Sender<Answer>,
        now: Time,
    ) -> (AttemptId, Todo) {
        let mut call = 0;
        let todo = self.in_side(|side| {
            call = side.follower.acquire(ask, now);
            side.waiters.push(Waiter { call, answer });
        });
        (call, todo)
    }

    /// Notes that `server` closed a connection that it had just been used on.
    pub fn lost(&self, server: ServerId, now: Time) -> Todo {
        self.in_side(|side| side.follower.lost(server, now))
    }

    /// Ends an attempt.
    pub fn release(&self, release: Release, now: Time) -> Todo {
        self.in_side(|side| side.follower.release(release, now))
    }

    /// Gives up an attempt whose caller does not wait any more.
    pub fn abandon(&self, call: AttemptId, now: Time) -> Todo {
        self.in_side(|side| {
            side.waiters.retain(|waiter| waiter.call != call);
            side.follower.abandon(call, now);
        })
    }

    /// Takes a message from `from`.
    pub fn receive(&self, from: VmId, body: Body, view: &View, now: Time) -> Todo {
        if body.is_for_home() {
            let homes = view.homes(self.spec().domain);
            let chosen = base::rendezvous::first(self.shard, homes) == Some(self.me);
            return self.in_coordinator(now, |coordinator| {
                coordinator.receive(from, body, view.fleet(), chosen, now)
            });
        }
        if let Body::Lead { epoch, .. } = body {
            // The own ledger ends before the promise to follow another leaves.
            let legacy = lock(&self.coordinator).step_down(epoch, now);
            self.inherit(legacy, now);
        }
        self.in_side(|side| side.follower.receive(from, body, now))
    }

    /// Does what is due on the follower's side.
    pub fn tick_side(&self, now: Time) -> Todo {
        self.in_side(|side| {
            if !side.follower.is_idle() {
                side.follower.tick(now);
            }
        })
    }

    /// Does what is due at the coordinator.
    pub fn tick_coordinator(&self, now: Time) -> Todo {
        self.in_coordinator(now, |coordinator| coordinator.tick(now))
    }

    /// Forgets what may be old after this VM was paused.
    pub fn wake(&self, now: Time) -> Todo {
        lock(&self.coordinator).resume_after_pause();
        self.in_side(|side| side.follower.wake(now))
    }

    /// Notes the result of a probe.
    pub fn probed(&self, server: ServerId, report: ProbeResult, now: Time) -> Todo {
        self.in_coordinator(now, |coordinator| {
            coordinator.record_probe(server, report, now)
        })
    }

    fn in_coordinator(&self, now: Time, work: impl FnOnce(&mut Coordinator)) -> Todo {
        let mut coordinator = lock(&self.coordinator);
        work(&mut coordinator);
        let mut todo = Todo::default();
        let mut over = None;
        for action in coordinator.take_actions() {
            match action {
                Action::Send(envelope) => todo.messages.push(envelope),
                Action::Probe(server) => todo.probes.push(server),
                Action::StepDown(epoch) => over = Some(epoch),
            }
        }
        let decisions = coordinator.take_decisions();
        let legacy = over.and_then(|epoch| coordinator.step_down(epoch, now));
        drop(coordinator);
        for decision in &decisions {
            log_decision(decision);
        }
        self.inherit(legacy, now);
        todo
    }

    /// Keeps what the own ledger knew for the next home.
    fn inherit(&self, legacy: Option<FinalState>, now: Time) {
        if let Some(legacy) = legacy {
            let mut side = lock(&self.side);
            side.follower.inherit(legacy.epoch, legacy.servers, now);
        }
    }

    fn in_side(&self, work: impl FnOnce(&mut Side)) -> Todo {
        let mut side = lock(&self.side);
        work(&mut side);
        let mut todo = Todo::default();
        for event in side.follower.take_events() {
            match event {
                Event::Send(envelope) => todo.messages.push(envelope),
                Event::Silent(vm) => todo.silent = Some(vm),
                Event::Granted { call, server } => side.finish(call, Ok(server)),
                Event::Refused {
                    call,
                    reason,
                    after,
                } => {
                    side.finish(call, Err(Refused { reason, after }));
                }
            }
        }
        todo
    }
}

impl Side {
    fn finish(&mut self, call: AttemptId, answer: Answer) {
        let at = self.waiters.iter().position(|waiter| waiter.call == call);
        if let Some(at) = at {
            let waiter = self.waiters.swap_remove(at);
            // A caller that has gone meanwhile gives the attempt up itself.
            let _ = waiter.answer.try_send(answer);
        }
    }
}

impl Todo {
    /// Adds all of `other`.
    pub fn add(&mut self, other: Self) {
        self.messages.extend(other.messages);
        self.probes.extend(other.probes);
        self.silent = self.silent.or(other.silent);
    }
}

/// Logs a decision of the home with what it was made from.
fn log_decision(decision: &Decision) {
    match decision {
        Decision::Granted {
            vm,
            call,
            server,
            kind,
            busy,
            limit,
            expected,
            pace,
            age,
            waiting,
        } => log::info!(
            vm = format!("{vm:x}"),
            call = *call,
            server = format!("{server:x}"),
            kind:? = *kind,
            busy = *busy,
            limit = *limit,
            expected_ms = expected * 1e3,
            pace = *pace,
            age_ms = age.as_millis() as u64,
            waiting = *waiting as u64;
            "home: granted"
        ),
        Decision::Refused {
            vm,
            call,
            reason,
            after,
            waiting,
        } => log::info!(
            vm = format!("{vm:x}"),
            call = *call,
            reason = reason.name(),
            after_ms = after.as_millis() as u64,
            waiting = *waiting as u64;
            "home: refused"
        ),
    }
}
