//! The VM as the proxy sees it ([`Ports`]): permits, claims of idempotency keys and
//! the configuration in force.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::ServiceId;
use base::TeamId;
use base::Time;
use conf::settings::Policy;
use conf::Service;
use conf::State;
use entry::Permit;
use entry::Ports;
use entry::QuotaUse;
use entry::Refusal;
use entry::ServerReport;
use net::BoxFuture;
use route::crashes::Fingerprint;
use route::keys;
use route::keys::ClaimDecision;
use route::keys::KeyClaim;
use route::keys::KeyHash;
use route::msg::PermitRequest;
use route::msg::RefusalReason;
use route::msg::Release;
use route::notices::Notice;
use route::shards;
use route::shards::ShardCapacity;
use route::AttemptId;
use wire::KeyMsg;
use wire::Msg;

use crate::shard::ShardState;
use crate::shared::lock;
use crate::shared::read;
use crate::shared::Shared;

/// The delay after which a caller should try again if its service has no shard, or no
/// server that the local policy may choose, or was removed while the call waited.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A guard of a permit request that waits for its result. On drop it subtracts the
/// request from [`Shared::waiting_calls`], and withdraws the request if its result has
/// not arrived.
struct PendingRequest<'a> {
    shared: &'a Shared,
    shard: Arc<ShardState>,
    call: AttemptId,
    /// Whether the result is still missing.
    armed: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.shared.waiting_calls.fetch_sub(1, Ordering::Relaxed);
        if self.armed {
            let effects = self.shard.abandon(self.call, self.shared.clock.now());
            self.shared.run_effects(&self.shard, effects);
        }
    }
}

impl Shared {
    fn log_notice(&self, server: ServerId, notice: Notice) {
        let state = read(&self.state);
        let services = state.services.iter();
        let found = services.filter_map(|service| state.server(service.id(), server));
        let name = found.map(|server| server.name.clone()).next();
        let rest = match notice {
            Notice::Leaving => None,
            Notice::Rest(delay) => Some(delay.as_millis() as u64),
        };
        log::info!(
            server = name.unwrap_or_else(|| format!("{server:x}")),
            leaves = rest.is_none(),
            rest_ms = rest.unwrap_or(0);
            "server: asked for no further calls"
        );
    }

    /// Returns the shard to which a call of `service` should go; none if the service
    /// has no shard.
    fn choose_shard(&self, service: ServiceId, request: &PermitRequest) -> Option<Arc<ShardState>> {
        let table = self.table();
        let shards = table.of_service(service);
        if let [(_, only)] = shards {
            return Some(only.clone());
        }
        let now = self.clock.now();
        let rank = request.ranking.map(|ranking| ranking.rank);
        let candidates: Vec<ShardCapacity> = shards
            .iter()
            .map(|(_, shard)| shard.candidate(rank, now))
            .collect();
        let index = shards::choose(&candidates, request.domain, fastrand::f64())?;
        Some(shards[index].1.clone())
    }

    /// Requests a permit from the home of one shard of the service, and from the home
    /// of another shard if the first has no room.
    async fn acquire_any(
        &self,
        service: ServiceId,
        request: PermitRequest,
    ) -> Result<Permit, Refusal> {
        let shard = self.choose_shard(service, &request).ok_or_else(no_server)?;
        let refused = match self.acquire_home(shard.clone(), request.clone()).await {
            Err(refused) if refused.reason.lacks_capacity() => refused,
            result => return result,
        };
        let rank = request.ranking.map(|ranking| ranking.rank);
        shard.mark_full(rank, refused.retry_after, self.clock.now());
        match self.choose_shard(service, &request) {
            Some(other) if other.id != shard.id => self.acquire_home(other, request).await,
            _ => Err(refused),
        }
    }

    /// Requests a permit from the home of `shard` and waits for the result. Dropping
    /// the future withdraws the request.
    async fn acquire_home(
        &self,
        shard: Arc<ShardState>,
        request: PermitRequest,
    ) -> Result<Permit, Refusal> {
        self.check_pause();
        let (result, receiver) = async_channel::bounded(1);
        let (call, effects) = shard.acquire(request, result, self.clock.now());
        if self.waiting_calls.fetch_add(1, Ordering::Relaxed) == 0 {
            self.permit_requested.notify(1);
        }
        let mut pending = PendingRequest {
            shared: self,
            shard: shard.clone(),
            call,
            armed: true,
        };
        self.run_effects(&shard, effects);
        let result = receiver.recv().await;
        pending.armed = false;
        match result {
            Ok(Ok(server)) => Ok(Permit {
                shard: shard.id,
                attempt_id: call,
                server,
            }),
            Ok(Err(refused)) => Err(refused),
            Err(_) => Err(no_server()),
        }
    }

    /// Chooses a server by the local policy, without a home.
    fn acquire_local(
        &self,
        shard: &Arc<ShardState>,
        request: &PermitRequest,
    ) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let picked =
            shard.with_local(|local| (local.pick(&request.avoid, now), local.server_to_probe()));
        let Some((Some(server), to_probe)) = picked else {
            return Err(no_server());
        };
        if let Some(server) = to_probe {
            self.probe(shard, server);
        }
        Ok(Permit {
            shard: shard.id,
            attempt_id: 0,
            server,
        })
    }
}

fn no_server() -> Refusal {
    Refusal {
        reason: RefusalReason::NoServer,
        retry_after: NO_SERVER_RETRY_AFTER,
    }
}

impl Ports for Shared {
    fn state(&self) -> Arc<State> {
        read(&self.state)
    }

    fn fleet_size(&self) -> usize {
        self.view().alive.len()
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn is_stopping(&self) -> bool {
        self.drain_end.get().is_some()
    }

    fn may_send_until(&self, deadline: Time) -> bool {
        let end = self.drain_end.get().filter(|_| self.stop.is_triggered());
        end.is_none_or(|end| deadline <= *end)
    }

    fn stopped_before(&self, deadline: Time) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            self.stop.wait().await;
            if self.may_send_until(deadline) {
                std::future::pending().await
            }
        })
    }

    fn take_quota(&self, team: TeamId) -> BoxFuture<'_, Result<QuotaUse, Refusal>> {
        Box::pin(Shared::take_quota(self, team))
    }

    fn give_quota_back(&self, used: QuotaUse) {
        Shared::give_quota_back(self, used);
    }

    fn acquire(
        &self,
        service: ServiceId,
        request: PermitRequest,
    ) -> BoxFuture<'_, Result<Permit, Refusal>> {
        Box::pin(async move {
            if self.settings.policy == Policy::Home {
                return self.acquire_any(service, request).await;
            }
            let shard = self.choose_shard(service, &request).ok_or_else(no_server)?;
            self.acquire_local(&shard, &request)
        })
    }

    fn release(&self, permit: Permit, outcome: Outcome, took: Duration, report: ServerReport) {
        // A failure says nothing about the server if this VM reaches none at all.
        let outcome = match outcome {
            Outcome::Unreachable if self.reach.is_lost() => Outcome::Unused,
            Outcome::Broken | Outcome::Late if self.reach.is_lost() => Outcome::Cancelled,
            outcome => outcome,
        };
        let table = self.table();
        let Some(shard) = table.get(permit.shard) else {
            return;
        };
        let timed = (outcome == Outcome::Done).then_some(took);
        if shard
            .with_local(|local| local.release(permit.server, timed))
            .is_some()
        {
            return;
        }
        let release = Release {
            call: permit.attempt_id,
            server: permit.server,
            outcome,
            took,
            load: report.load,
        };
        let effects = shard.release(release, report.interval, self.clock.now());
        self.run_effects(shard, effects);
    }

    fn note_server(&self, server: ServerId, notice: Notice) {
        let changed = lock(&self.notices).record(server, notice, self.clock.now());
        if changed {
            self.log_notice(server, notice);
        }
    }

    fn note_rate(&self, server: ServerId, interval: Duration) {
        let table = self.table();
        let shards = table.shards().iter();
        for shard in shards.filter(|shard| shard.spec().server(server).is_some()) {
            let effects = shard.record_rate(server, interval, self.clock.now());
            self.run_effects(shard, effects);
        }
    }

    fn allows_server(&self, server: ServerId) -> bool {
        let closed = self.is_closed_by_rollout(server);
        !closed && lock(&self.notices).allows(server, self.clock.now())
    }

    fn denied_servers(&self) -> Vec<ServerId> {
        let mut denied = lock(&self.notices).denied(self.clock.now());
        self.add_closed_by_rollouts(&mut denied);
        denied
    }

    fn rest_left(&self, service: &Service) -> Option<Duration> {
        let now = self.clock.now();
        if lock(&self.notices).denied(now).is_empty() {
            return None;
        }
        let state = read(&self.state);
        let servers = service.servers.iter();
        let open = servers.filter(|server| state.accepts_calls(server));
        let ids = open.map(|server| server.id(&service.name));
        lock(&self.notices).delay(ids, NO_SERVER_RETRY_AFTER, now)
    }

    fn rejected_for(&self, request: Fingerprint) -> Option<Duration> {
        lock(&self.crashes).rejected_for(request, self.clock.now())
    }

    fn record_lost(&self, request: Fingerprint, server: ServerId, address: SocketAddr) {
        self.check_crash(request, server, address);
    }

    fn record_response(&self, request: Fingerprint) {
        self.clear_crashes(request);
    }

    fn check_path(&self, failed: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(Shared::check_path(self, failed))
    }

    fn suspect_path(&self, failed: SocketAddr) {
        let Some(shared) = self.to_arc() else {
            return;
        };
        self.handle.spawn_detached(async move {
            Shared::check_path(&shared, failed).await;
        });
    }

    fn relay_target(&self) -> Option<SocketAddr> {
        Shared::relay_target(self)
    }

    fn usual_time(&self, service: ServiceId) -> Option<Duration> {
        let now = self.clock.now();
        let table = self.table();
        let mut times: Vec<Duration> = Vec::new();
        for (_, shard) in table.of_service(service) {
            shard.with_follower(|follower| {
                let usual_times = follower.server_summaries(now).map(|summary| summary.usual);
                times.extend(usual_times.filter(|usual| !usual.is_zero()));
            });
        }
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }

    fn claim(&self, key: KeyHash) -> BoxFuture<'_, (ClaimDecision, KeyClaim)> {
        Box::pin(async move {
            let call = self.next_claim.fetch_add(1, Ordering::Relaxed);
            let claim = KeyClaim { key, call };
            let owners = keys::owners(key, &self.view().vms);
            let replies = self.claim_at_owners(&owners, claim).await;
            (keys::decide(owners.len(), &replies), claim)
        })
    }

    fn forget(&self, claim: KeyClaim) {
        let view = self.view();
        for owner in keys::owners(claim.key, &view.vms) {
            if owner == self.self_id {
                lock(&self.remembered_keys).forget(claim, self.self_id);
            } else if let Some(to) = view.address(owner) {
                self.outbox.put(to, Msg::Key(KeyMsg::Forget(claim)));
            }
        }
    }
}
