//! The state of one shard on this VM: its follower, its coordinator, and the calls
//! that wait for a permit.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::OrderId;
use base::Rank;
use base::ServerId;
use base::ServiceId;
use base::ShardId;
use base::Time;
use base::VmId;
use entry::Refusal;
use route::coordinator::FinalState;
use route::follower::Event;
use route::instance::InstanceId;
use route::ledger::Action;
use route::ledger::Decision;
use route::msg::Body;
use route::msg::Envelope;
use route::msg::PermitRequest;
use route::msg::ProbeResult;
use route::msg::Release;
use route::policy::LocalPolicy;
use route::rollout::Phase;
use route::shards::ShardCapacity;
use route::shards::FULL_BACKOFF_MAX;
use route::AttemptId;
use route::Coordinator;
use route::Follower;
use route::HomeId;
use route::ShardSpec;

use crate::view::View;

/// The result of a permit request: the server to use, or why there is none.
pub type PermitResult = Result<ServerId, Refusal>;

/// An attempt that waits for its permit.
struct Waiter {
    call: AttemptId,
    result: async_channel::Sender<PermitResult>,
}

/// The follower and the attempts that wait at it.
struct FollowerSide {
    follower: Follower,
    waiters: Vec<Waiter>,
}

/// Work that an operation on a shard leaves to be done after the locks of the shard
/// are released.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to deliver; the receiver may be this VM itself.
    pub messages: Vec<Envelope>,
    /// A home that did not respond, to be probed by the membership.
    pub unresponsive: Option<VmId>,
    /// Servers whose health to probe.
    pub probes: Vec<ServerId>,
}

/// The state of one shard on this VM.
///
/// No lock in it is held while another lock is taken.
pub struct ShardState {
    /// The service to which the shard belongs.
    pub service: ServiceId,
    /// The id of the shard.
    pub id: ShardId,
    self_id: VmId,
    spec: Mutex<Arc<ShardSpec>>,
    side: Mutex<FollowerSide>,
    coordinator: Mutex<Coordinator>,
    /// The local policy; none if the home chooses the servers.
    local: Option<Mutex<LocalPolicy>>,
    /// The time until which the shard counts as full, in milliseconds of the clock.
    full_until_ms: AtomicU64,
    /// The most urgent rank of the calls for which the shard counts as full.
    full_rank: AtomicU32,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ShardState {
    /// Makes the state of the shard that `spec` describes. `instance` tells it from the
    /// earlier states of the shard at this VM. With `local`, that baseline policy chooses
    /// the servers instead of the home.
    pub fn new(
        self_id: VmId,
        instance: InstanceId,
        spec: Arc<ShardSpec>,
        local: Option<LocalPolicy>,
    ) -> Self {
        let side = FollowerSide {
            follower: Follower::new(spec.shard, self_id, instance),
            waiters: Vec::new(),
        };
        let home = HomeId {
            vm: self_id,
            instance,
        };
        Self {
            service: spec.service,
            id: spec.shard,
            self_id,
            side: Mutex::new(side),
            coordinator: Mutex::new(Coordinator::new(home, spec.clone())),
            local: local.map(Mutex::new),
            spec: Mutex::new(spec),
            full_until_ms: AtomicU64::new(0),
            full_rank: AtomicU32::new(0),
        }
    }

    /// Records that the shard refused a call of `rank` and is expected to have room again
    /// after the delay `after`. The shard counts as full for that long, but at most for
    /// [`FULL_BACKOFF_MAX`], for calls of that rank and of less urgent ones: it may have
    /// room for others. Without a rank it counts as full for all calls.
    pub fn mark_full(&self, rank: Option<Rank>, after: Duration, now: Time) {
        let mut rank = rank.unwrap_or(0);
        if self.is_full(now) {
            rank = rank.min(self.full_rank.load(Ordering::Relaxed));
        }
        let until = now + after.min(FULL_BACKOFF_MAX);
        self.full_rank.store(rank, Ordering::Relaxed);
        self.full_until_ms
            .store(until.as_millis() as u64, Ordering::Relaxed);
    }

    fn is_full(&self, now: Time) -> bool {
        (now.as_millis() as u64) < self.full_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the properties by which [`route::shards::choose`] selects a shard for a call
    /// of `rank`, or of a class alone.
    pub fn candidate(&self, rank: Option<Rank>, now: Time) -> ShardCapacity {
        let spec = self.spec();
        let rank = rank.unwrap_or(Rank::MAX);
        ShardCapacity {
            domain: spec.domain,
            slots: spec.open_slots(),
            full: self.is_full(now) && rank >= self.full_rank.load(Ordering::Relaxed),
        }
    }

    /// Returns the specification of the shard in the configuration in force.
    pub fn spec(&self) -> Arc<ShardSpec> {
        lock(&self.spec).clone()
    }

    /// Returns the result of `f` on the coordinator, which stays locked meanwhile.
    pub fn with_coordinator<T>(&self, f: impl FnOnce(&Coordinator) -> T) -> T {
        f(&lock(&self.coordinator))
    }

    /// Returns the result of `f` on the follower, which stays locked meanwhile.
    pub fn with_follower<T>(&self, f: impl FnOnce(&Follower) -> T) -> T {
        f(&lock(&self.side).follower)
    }

    /// Returns the result of `f` on the local policy; none if the home chooses the
    /// servers.
    pub fn with_local<T>(&self, f: impl FnOnce(&mut LocalPolicy) -> T) -> Option<T> {
        self.local.as_ref().map(|local| f(&mut lock(local)))
    }

    /// Applies a change of the configuration, and the latest view of the membership.
    pub fn update(&self, spec: Arc<ShardSpec>, view: &View, now: Time) -> Effects {
        *lock(&self.spec) = spec.clone();
        self.with_local(|local| local.set_spec(&spec));
        let mut effects = self.update_coordinator(now, |coordinator| {
            coordinator.set_spec(spec, now);
        });
        effects.add(self.update_fleet(view, now));
        effects
    }

    /// Applies a change of the membership.
    pub fn update_fleet(&self, view: &View, now: Time) -> Effects {
        let spec = self.spec();
        let mut effects = self.update_follower(|side| {
            let homes = view.home_candidates(spec.domain);
            side.follower.set_fleet(&view.alive, homes, &spec, now);
        });
        effects.add(self.update_coordinator(now, |coordinator| {
            coordinator.set_fleet(view.fleet(), now);
        }));
        effects
    }

    /// Requests a permit, whose grant or refusal is sent to `result`. Returns the
    /// attempt id.
    pub fn acquire(
        &self,
        request: PermitRequest,
        result: async_channel::Sender<PermitResult>,
        now: Time,
    ) -> (AttemptId, Effects) {
        let mut call = 0;
        let effects = self.update_follower(|side| {
            call = side.follower.acquire(request, now);
            side.waiters.push(Waiter { call, result });
        });
        (call, effects)
    }

    /// Reports to the home that `server` closed an idle connection soon after its
    /// last use.
    pub fn connection_lost(&self, server: ServerId, now: Time) -> Effects {
        self.update_follower(|side| side.follower.connection_lost(server, now))
    }

    /// Releases the permit of an attempt that has ended. `interval` is the time between
    /// two calls that the server named as its rate limit in the response.
    pub fn release(&self, release: Release, interval: Option<Duration>, now: Time) -> Effects {
        self.update_follower(|side| {
            if release.outcome.is_response() || interval.is_some() {
                side.follower.record_rate(release.server, interval, now);
            }
            side.follower.release(release, now);
        })
    }

    /// Records that `server` named a rate limit of a call every `interval` in a response to
    /// another VM, for a call of this one.
    pub fn record_rate(&self, server: ServerId, interval: Duration, now: Time) -> Effects {
        self.update_follower(|side| side.follower.record_rate(server, Some(interval), now))
    }

    /// Withdraws the permit request of an attempt whose caller no longer waits.
    pub fn abandon(&self, call: AttemptId, now: Time) -> Effects {
        self.update_follower(|side| {
            side.waiters.retain(|waiter| waiter.call != call);
            side.follower.abandon(call, now);
        })
    }

    /// Dispatches a message from the VM `from` to the coordinator or the follower.
    pub fn receive(&self, from: VmId, body: Body, view: &View, now: Time) -> Effects {
        if body.is_for_home() {
            let homes = view.home_candidates(self.spec().domain);
            let is_home = base::rendezvous::first(self.id, homes) == Some(self.self_id);
            return self.update_coordinator(now, |coordinator| {
                coordinator.receive(from, body, view.fleet(), is_home, now)
            });
        }
        if let Body::Lead { epoch, .. } = body {
            // This VM's own ledger has to end before its follower acknowledges a
            // higher epoch: the acknowledgement implies that this VM makes no more
            // grants of a lower epoch.
            let final_state = lock(&self.coordinator).step_down(epoch, now);
            self.keep_final_state(final_state, now);
        }
        self.update_follower(|side| side.follower.receive(from, body, now))
    }

    /// Ticks the follower unless it is idle.
    pub fn tick_follower(&self, now: Time) -> Effects {
        self.update_follower(|side| {
            if !side.follower.is_idle() {
                side.follower.tick(now);
            }
        })
    }

    /// Ticks the coordinator.
    pub fn tick_coordinator(&self, now: Time) -> Effects {
        self.update_coordinator(now, |coordinator| coordinator.tick(now))
    }

    /// Discards state that may be out of date after a pause of this VM: the
    /// coordinator gives up its ledger, and the follower joins its home again.
    pub fn resume_after_pause(&self, now: Time) -> Effects {
        lock(&self.coordinator).resume_after_pause();
        self.update_follower(|side| side.follower.resume_after_pause(now))
    }

    /// Passes the phase of a roll-out, which its decider told, to the coordinator.
    pub fn hear_phase(&self, order: OrderId, phase: Phase, now: Time) -> Effects {
        self.update_coordinator(now, |coordinator| {
            coordinator.hear_phase(order, phase, now);
        })
    }

    /// Records the result of a health probe at the coordinator.
    pub fn record_probe(&self, server: ServerId, result: ProbeResult, now: Time) -> Effects {
        self.update_coordinator(now, |coordinator| {
            coordinator.record_probe(server, result, now)
        })
    }

    /// Runs `f` on the coordinator and returns the effects that follow.
    fn update_coordinator(&self, now: Time, f: impl FnOnce(&mut Coordinator)) -> Effects {
        let mut coordinator = lock(&self.coordinator);
        f(&mut coordinator);
        let mut effects = Effects::default();
        let mut higher_epoch = None;
        for action in coordinator.take_actions() {
            match action {
                Action::Send(envelope) => effects.messages.push(envelope),
                Action::Probe(server) => effects.probes.push(server),
                Action::StepDown(epoch) => higher_epoch = Some(epoch),
            }
        }
        let decisions = coordinator.take_decisions();
        let final_state = higher_epoch.and_then(|epoch| coordinator.step_down(epoch, now));
        drop(coordinator);
        for decision in &decisions {
            log_decision(decision);
        }
        self.keep_final_state(final_state, now);
        effects
    }

    /// Passes the final state of this VM's own ledger to the follower, which reports
    /// it to the next home.
    fn keep_final_state(&self, final_state: Option<FinalState>, now: Time) {
        if let Some(final_state) = final_state {
            let mut side = lock(&self.side);
            side.follower
                .adopt_summaries(final_state.epoch, final_state.servers, now);
        }
    }

    /// Runs `f` on the follower side, passes results to the attempts that waited for
    /// them, and returns the remaining effects.
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
    /// Sends `result` to the attempt `call`, which then no longer waits.
    fn finish(&mut self, call: AttemptId, result: PermitResult) {
        let index = self.waiters.iter().position(|waiter| waiter.call == call);
        if let Some(index) = index {
            let waiter = self.waiters.swap_remove(index);
            // If the receiver was dropped, the attempt is withdrawn by
            // [`ShardState::abandon`].
            let _ = waiter.result.try_send(result);
        }
    }
}

impl Effects {
    /// Adds the effects of `other`. If both name an unresponsive VM, the one in `self`
    /// is kept.
    pub fn add(&mut self, other: Self) {
        self.messages.extend(other.messages);
        self.probes.extend(other.probes);
        self.unresponsive = self.unresponsive.or(other.unresponsive);
    }
}

/// Logs a decision of this VM as home together with the values that led to it.
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
            ranking,
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
            waiting = *waiting as u64,
            rank = ranking.rank,
            team = format!("{:x}", ranking.team),
            work_ms = ranking.work.as_millis() as u64;
            "home: granted"
        ),
        Decision::VersionClosed {
            order,
            responses,
            failed,
            slow,
            old_responses,
            old_bad,
        } => log::warn!(
            order = format!("{order:x}"),
            responses = *responses,
            failed = *failed,
            slow = *slow,
            old_responses = *old_responses,
            old_bad = *old_bad;
            "home: a version is bad and gets no more calls"
        ),
        Decision::RateLimited { server, per_second } => log::info!(
            server = format!("{server:x}"),
            limited = per_second.is_some(),
            per_second = per_second.unwrap_or(0.0);
            "home: rate limit of a server changed"
        ),
        Decision::Refused {
            vm,
            call,
            reason,
            after,
            waiting,
            ranking,
            evicted,
        } => log::info!(
            vm = format!("{vm:x}"),
            call = *call,
            reason = reason.name(),
            after_ms = after.as_millis() as u64,
            waiting = *waiting as u64,
            rank = ranking.rank,
            team = format!("{:x}", ranking.team),
            work_ms = ranking.work.as_millis() as u64,
            evicted = *evicted;
            "home: refused"
        ),
    }
}
