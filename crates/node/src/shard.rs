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
use entry::Refusal;
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

use crate::view::View;

/// The answer to a waiting call.
pub type PermitResult = Result<ServerId, Refusal>;

/// A call that waits for its permit.
struct Waiter {
    call: AttemptId,
    answer: async_channel::Sender<PermitResult>,
}

/// The follower with the calls that wait at it.
struct FollowerSide {
    follower: Follower,
    waiters: Vec<Waiter>,
}

/// What has to be done outside of the locks.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to deliver, also to this VM itself.
    pub messages: Vec<Envelope>,
    /// A VM that was silent.
    pub unresponsive: Option<VmId>,
    /// Servers to probe.
    pub probes: Vec<ServerId>,
}

/// One shard.
pub struct ShardState {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub id: ShardId,
    self_id: VmId,
    spec: Mutex<Arc<ShardSpec>>,
    side: Mutex<FollowerSide>,
    coordinator: Mutex<Coordinator>,
    local: Option<Mutex<LocalPolicy>>,
    /// Until when the shard is taken to have no room, in milliseconds.
    full_until_ms: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ShardState {
    /// Makes the cell of `spec`; with `local` a baseline chooses the servers.
    pub fn new(
        self_id: VmId,
        boot_id: u32,
        spec: Arc<ShardSpec>,
        local: Option<LocalPolicy>,
    ) -> Self {
        let side = FollowerSide {
            follower: Follower::new(spec.shard, self_id, boot_id),
            waiters: Vec::new(),
        };
        Self {
            service: spec.service,
            id: spec.shard,
            self_id,
            side: Mutex::new(side),
            coordinator: Mutex::new(Coordinator::new(self_id, spec.clone())),
            local: local.map(Mutex::new),
            spec: Mutex::new(spec),
            full_until_ms: AtomicU64::new(0),
        }
    }

    /// Notes that the shard refused a call, and when it should have room.
    pub fn mark_full(&self, after: Duration, now: Time) {
        let until = now + after.min(FULL_BACKOFF_MAX);
        self.full_until_ms
            .store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns what decides whether a call is sent to this shard.
    pub fn candidate(&self, now: Time) -> ShardCapacity {
        let spec = self.spec();
        ShardCapacity {
            domain: spec.domain,
            slots: spec.open_slots(),
            full: (now.as_millis() as u64) < self.full_until_ms.load(Ordering::Relaxed),
        }
    }

    /// Returns the specification in force.
    pub fn spec(&self) -> Arc<ShardSpec> {
        lock(&self.spec).clone()
    }

    /// Runs `look` on the coordinator.
    pub fn with_coordinator<T>(&self, f: impl FnOnce(&Coordinator) -> T) -> T {
        f(&lock(&self.coordinator))
    }

    /// Runs `look` on the follower.
    pub fn with_follower<T>(&self, f: impl FnOnce(&Follower) -> T) -> T {
        f(&lock(&self.side).follower)
    }

    /// Runs `work` on the baseline, if one chooses the servers.
    pub fn with_local<T>(&self, f: impl FnOnce(&mut LocalPolicy) -> T) -> Option<T> {
        self.local.as_ref().map(|local| f(&mut lock(local)))
    }

    /// Follows a change of the configuration or of the membership.
    pub fn update(&self, spec: Arc<ShardSpec>, view: &View, now: Time) -> Effects {
        *lock(&self.spec) = spec.clone();
        self.with_local(|local| local.set_spec(&spec));
        let mut effects = self.update_follower(|side| {
            let homes = view.home_candidates(spec.domain);
            side.follower.set_fleet(&view.alive, homes, &spec, now);
        });
        effects.add(self.update_coordinator(now, |coordinator| {
            coordinator.set_spec(spec, now);
            coordinator.set_fleet(view.fleet(), now);
        }));
        effects
    }

    /// Asks for a permit; the answer comes through `answer`.
    pub fn acquire(
        &self,
        ask: PermitRequest,
        answer: async_channel::Sender<PermitResult>,
        now: Time,
    ) -> (AttemptId, Effects) {
        let mut call = 0;
        let effects = self.update_follower(|side| {
            call = side.follower.acquire(ask, now);
            side.waiters.push(Waiter { call, answer });
        });
        (call, effects)
    }

    /// Notes that `server` closed a connection that it had just been used on.
    pub fn connection_lost(&self, server: ServerId, now: Time) -> Effects {
        self.update_follower(|side| side.follower.connection_lost(server, now))
    }

    /// Ends an attempt.
    pub fn release(&self, release: Release, now: Time) -> Effects {
        self.update_follower(|side| side.follower.release(release, now))
    }

    /// Gives up an attempt whose caller does not wait any more.
    pub fn abandon(&self, call: AttemptId, now: Time) -> Effects {
        self.update_follower(|side| {
            side.waiters.retain(|waiter| waiter.call != call);
            side.follower.abandon(call, now);
        })
    }

    /// Takes a message from `from`.
    pub fn receive(&self, from: VmId, body: Body, view: &View, now: Time) -> Effects {
        if body.is_for_home() {
            let homes = view.home_candidates(self.spec().domain);
            let chosen = base::rendezvous::first(self.id, homes) == Some(self.self_id);
            return self.update_coordinator(now, |coordinator| {
                coordinator.receive(from, body, view.fleet(), chosen, now)
            });
        }
        if let Body::Lead { epoch, .. } = body {
            // The own ledger ends before the promise to follow another leaves.
            let final_state = lock(&self.coordinator).step_down(epoch, now);
            self.keep_final_state(final_state, now);
        }
        self.update_follower(|side| side.follower.receive(from, body, now))
    }

    /// Does what is due on the follower's side.
    pub fn tick_follower(&self, now: Time) -> Effects {
        self.update_follower(|side| {
            if !side.follower.is_idle() {
                side.follower.tick(now);
            }
        })
    }

    /// Does what is due at the coordinator.
    pub fn tick_coordinator(&self, now: Time) -> Effects {
        self.update_coordinator(now, |coordinator| coordinator.tick(now))
    }

    /// Forgets what may be old after this VM was paused.
    pub fn resume_after_pause(&self, now: Time) -> Effects {
        lock(&self.coordinator).resume_after_pause();
        self.update_follower(|side| side.follower.resume_after_pause(now))
    }

    /// Notes the result of a probe.
    pub fn record_probe(&self, server: ServerId, report: ProbeResult, now: Time) -> Effects {
        self.update_coordinator(now, |coordinator| {
            coordinator.record_probe(server, report, now)
        })
    }

    fn update_coordinator(&self, now: Time, f: impl FnOnce(&mut Coordinator)) -> Effects {
        let mut coordinator = lock(&self.coordinator);
        f(&mut coordinator);
        let mut effects = Effects::default();
        let mut superseded_by = None;
        for action in coordinator.take_actions() {
            match action {
                Action::Send(envelope) => effects.messages.push(envelope),
                Action::Probe(server) => effects.probes.push(server),
                Action::StepDown(epoch) => superseded_by = Some(epoch),
            }
        }
        let decisions = coordinator.take_decisions();
        let final_state = superseded_by.and_then(|epoch| coordinator.step_down(epoch, now));
        drop(coordinator);
        for decision in &decisions {
            log_decision(decision);
        }
        self.keep_final_state(final_state, now);
        effects
    }

    /// Keeps what the own ledger knew for the next home.
    fn keep_final_state(&self, final_state: Option<FinalState>, now: Time) {
        if let Some(final_state) = final_state {
            let mut side = lock(&self.side);
            side.follower
                .adopt_summaries(final_state.epoch, final_state.servers, now);
        }
    }

    fn update_follower(&self, f: impl FnOnce(&mut FollowerSide)) -> Effects {
        let mut side = lock(&self.side);
        f(&mut side);
        let mut effects = Effects::default();
        for event in side.follower.take_events() {
            match event {
                Event::Send(envelope) => effects.messages.push(envelope),
                Event::HomeUnresponsive(vm) => effects.unresponsive = Some(vm),
                Event::Granted { call, server } => side.finish(call, Ok(server)),
                Event::Refused {
                    call,
                    reason,
                    after,
                } => {
                    side.finish(
                        call,
                        Err(Refusal {
                            reason,
                            retry_after: after,
                        }),
                    );
                }
            }
        }
        effects
    }
}

impl FollowerSide {
    fn finish(&mut self, call: AttemptId, answer: PermitResult) {
        let index = self.waiters.iter().position(|waiter| waiter.call == call);
        if let Some(index) = index {
            let waiter = self.waiters.swap_remove(index);
            // A caller that has gone meanwhile gives the attempt up itself.
            let _ = waiter.answer.try_send(answer);
        }
    }
}

impl Effects {
    /// Adds all of `other`.
    pub fn add(&mut self, other: Self) {
        self.messages.extend(other.messages);
        self.probes.extend(other.probes);
        self.unresponsive = self.unresponsive.or(other.unresponsive);
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
            slowdown,
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
            pace = *slowdown,
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
