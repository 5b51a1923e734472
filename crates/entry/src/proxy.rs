//! Responds to calls: finds the service, requests permits, makes attempts, and reports to
//! the caller whether its call was run.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base::DomainId;
use base::ServerId;
use base::TeamId;
use base::Time;
use bytes::Bytes;
use conf::service::CallRule;
use conf::state::RouteMatch;
use conf::Service;
use conf::State;
use conf::Team;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Empty;
use hyper::body::Incoming;
use net::body;
use net::budget::MemoryBudget;
use net::lookahead::Place;
use net::server::Handler;
use net::Body;
use net::BoxFuture;
use obs::spans::ActiveSpan;
use obs::Metrics;
use obs::RecentCalls;
use obs::SpanKind;
use obs::Spans;
use route::attempts::Attempts;
use route::attempts::Failure;
use route::attempts::Verdict;
use route::keys::ClaimDecision;
use route::keys::KeyClaim;
use route::keys::KeyHash;
use route::msg::AttemptKind;
use route::msg::PermitRequest;
use route::msg::Ranking;
use route::msg::RefusalReason;
use route::work::WorkKey;
use smol::Timer;

use crate::attempt::Attempt;
use crate::attempt::FailedAttempt;
use crate::attempt::ResponseBody;
use crate::attempt::ServerResponse;
use crate::call::failure_response;
use crate::call::log_attempt;
use crate::call::log_call;
use crate::call::set_served_fields;
use crate::call::AttemptError;
use crate::call::Call;
use crate::call::Granted;
use crate::call::Served;
use crate::dialect::Dialect;
use crate::dialect::Native;
use crate::elapsed::ElapsedEstimator;
use crate::headers;
use crate::heard;
use crate::local_response::Disposition;
use crate::local_response::LocalResponse;
use crate::pool::Pools;
use crate::ports::Permit;
use crate::ports::Ports;
use crate::ports::QuotaUse;
use crate::ports::Refusal;
use crate::ports::ServerReport;
use crate::progress::Progress;
use crate::progress::Stage;
use crate::record;
use crate::record::RequestSummary;
use crate::record::ServedBy;
use crate::relay::Relays;
use crate::request::CallBody;
use crate::request::OutgoingRequest;
use crate::team;
use crate::tracked_body::TrackedBody;
use crate::work::SharedWorkTimes;

/// How many attempts that certainly did not run the call are made at most, in addition to
/// the route's limit, which bounds the attempts that may have run it.
const NOT_RUN_ATTEMPTS_MAX: u32 = 3;
/// How long a call that cannot meet its target latency may still wait for a permit, as a
/// share of the target latency.
const LATE_WAIT_SHARE: f64 = 0.125;
/// The retry delay sent to callers of a VM that has no configuration yet. VMs get their
/// configuration within a fraction of a second of their start.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The retry delay sent to callers of a route that cannot be used. It takes a new
/// configuration to change that.
const UNUSABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The refusal of a call that might not end before this VM does. Another VM can take it at
/// once.
const STOPPING: Refusal = Refusal {
    reason: RefusalReason::Stopping,
    retry_after: Duration::ZERO,
};

/// The properties of this VM that the proxy needs.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the VM, as a header value.
    pub vm: HeaderValue,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The limit of request bodies in bytes; the configuration may set a lower one.
    pub max_body: usize,
    /// The memory for what is buffered for callers.
    pub memory: MemoryBudget,
}

/// Forwards the calls that one VM receives to backend servers.
pub struct Proxy {
    pub(crate) ports: Arc<dyn Ports>,
    pools: Arc<Pools>,
    relays: Relays,
    metrics: Arc<Metrics>,
    spans: Arc<Spans>,
    calls: Arc<RecentCalls>,
    dialect: Arc<dyn Dialect>,
    elapsed: ElapsedEstimator,
    work_times: SharedWorkTimes,
    identity: Identity,
}

impl Handler for Proxy {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(request, peer).await })
    }

    fn call_early(
        self: Arc<Self>,
        request: Request<()>,
        peer: SocketAddr,
    ) -> Option<BoxFuture<'static, Response<Body>>> {
        if self.ports.relay_target().is_some() {
            // The response of another VM is streamed, and may break off.
            return None;
        }
        let state = self.ports.state();
        let path = request.uri().path();
        let method = request.method().as_str();
        let route = state.route(record::host_of(&request), path, method, 0.0)?;
        if !route.rule.idempotent {
            return None;
        }
        let request = request.map(|()| Empty::<Bytes>::new());
        Some(Box::pin(async move { self.respond(request, peer).await }))
    }
}

impl Proxy {
    /// Creates a proxy with the [`Native`] dialect.
    pub fn new(
        ports: Arc<dyn Ports>,
        pools: Arc<Pools>,
        metrics: Arc<Metrics>,
        spans: Arc<Spans>,
        calls: Arc<RecentCalls>,
        identity: Identity,
    ) -> Self {
        Self {
            relays: Relays {
                pools: pools.clone(),
                ports: ports.clone(),
            },
            ports,
            pools,
            metrics,
            spans,
            calls,
            dialect: Arc::new(Native),
            elapsed: ElapsedEstimator::default(),
            work_times: SharedWorkTimes::default(),
            identity,
        }
    }

    /// Sets the header field conventions of callers and servers.
    pub fn with_dialect(mut self, dialect: Arc<dyn Dialect>) -> Self {
        self.dialect = dialect;
        self
    }

    /// Sets the pools of connections to other VMs, over which calls are relayed.
    pub fn with_relay_pools(mut self, pools: Arc<Pools>) -> Self {
        self.relays.pools = pools;
        self
    }

    /// Returns the response to a caller's request: that of another VM if this one has no
    /// path to servers.
    async fn respond(&self, request: Request<impl CallBody>, peer: SocketAddr) -> Response<Body> {
        if self.ports.relay_target().is_some() {
            return Box::pin(self.relay(request, peer)).await;
        }
        self.respond_here(request, peer).await
    }

    /// Relays a call to another VM, which makes the attempts. Calls of no route are responded
    /// to here, and so are those of a service whose servers all want no calls of this VM.
    async fn relay(&self, request: Request<impl CallBody>, peer: SocketAddr) -> Response<Body> {
        let began = self.ports.now();
        let state = self.ports.state();
        let host = record::host_of(&request);
        let method = request.method().as_str();
        let route = state.route(host, request.uri().path(), method, fastrand::f64());
        let Some(RouteMatch { service, rule, .. }) = route else {
            return self.respond_here(request, peer).await;
        };
        if self.ports.rest_left(service).is_some() {
            return self.respond_here(request, peer).await;
        }
        let id = self.dialect.call_id(request.headers());
        let time_left = self.dialect.timeout(request.headers());
        let limit = time_left.map_or(rule.deadline, |left| left.min(rule.deadline));
        let max_body = self.max_body(&state);
        let progress = self.track_call(id.as_ref(), &service.name, began);
        let place = place_of(&request);
        if !place.try_stream() {
            place.stream_anyway();
        }
        let (parts, incoming) = request.into_parts();
        let reading = OutgoingRequest::new_relayed(
            parts,
            incoming,
            peer,
            max_body,
            &self.identity.memory,
            &*self.dialect,
        );
        let result = match net::timeout(limit, reading).await {
            Some(Ok(mut outgoing)) => {
                let denied = self.denied_servers(&state);
                let set_fields = |fields: &mut HeaderMap, left| {
                    self.dialect.set_attempt_fields(fields, left, "");
                    heard::set_denied(fields, &denied);
                };
                progress.set_stage(Stage::Response);
                self.relays
                    .send(&mut outgoing, set_fields, began + limit)
                    .await
            }
            Some(Err(response)) => Err(response),
            None => Err(slow_body()),
        };
        progress.end();
        let took = self.ports.now().saturating_sub(began);
        let reason = result.as_ref().err().map_or("", |response| response.reason);
        self.metrics.record_call(&service.name, "relayed", "", took);
        log::info!(
            id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default(),
            caller = peer.ip().to_string(),
            service = service.name,
            status = result.as_ref().map_or(0, |response| response.status().as_u16()),
            reason = reason,
            took_us = took.as_micros() as u64;
            "relay: ended"
        );
        result.unwrap_or_else(|response| response.into_response(&self.identity.vm, &*self.dialect))
    }

    /// Returns the servers in service that want no calls of this VM. The other VM may choose
    /// another service of the route, so these are those of all services.
    fn denied_servers(&self, state: &State) -> Vec<ServerId> {
        let mut denied = self.ports.denied_servers();
        denied.retain(|id| {
            let services = state.services.iter();
            let mut found = services.filter_map(|service| state.server(service.id(), *id));
            found.any(|server| state.accepts_calls(server))
        });
        denied
    }

    fn track_call(&self, id: Option<&HeaderValue>, service: &str, began: Time) -> Progress {
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let (ports, metrics) = (self.ports.clone(), self.metrics.clone());
        Progress::new(ports, metrics, id, service, began)
    }

    /// Returns the limit of request bodies in bytes.
    fn max_body(&self, state: &State) -> usize {
        let limits = state.caller_limits();
        limits.map_or(self.identity.max_body, |limits| {
            limits.body.min(self.identity.max_body)
        })
    }

    /// Returns the response to a request, and records the call in the metrics, the log and
    /// the list of calls.
    pub(crate) async fn respond_here(
        &self,
        request: Request<impl CallBody>,
        peer: SocketAddr,
    ) -> Response<Body> {
        let began = self.ports.now();
        let parent = self.spans.extract(request.headers());
        let span = self.spans.start("call", SpanKind::Server, &parent);
        let id = self.dialect.call_id(request.headers());
        let mut summary = RequestSummary::new(&request, &span, id.as_ref(), peer.ip());
        let state = self.ports.state();
        let random = fastrand::f64();
        let method = request.method().as_str();
        let route = state.route(&summary.host, &summary.path, method, random);
        let service = route.map(|route| route.service);
        let name = service.map_or("", |service| service.name.as_str());
        let progress = self.track_call(id.as_ref(), name, began);
        let authenticated =
            route.map(|route| team::authenticate(&state, route, request.headers(), &*self.dialect));
        let result = match authenticated {
            Some(Err(response)) => Err(response),
            Some(Ok(route)) => {
                summary.team = route.team.map(|team| team.name.clone());
                let max_body = self.max_body(&state);
                self.serve(route, request, peer, max_body, &span, &progress)
                    .await
            }
            None if !state.is_configured() => Err(LocalResponse::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-configuration",
                "this VM has just started and knows no services yet; try again",
            )
            .with_retry_after(UNCONFIGURED_RETRY_AFTER)),
            None if state.is_mapped(&summary.host, &summary.path) => Err(LocalResponse::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "unusable-route",
                "the route of this path names no known service; correct the configuration",
            )
            .with_retry_after(UNUSABLE_RETRY_AFTER)),
            None => Err(LocalResponse::not_run(
                StatusCode::NOT_FOUND,
                "no-service",
                "no service has this host and path; check them or the tickets",
            )),
        };
        progress.end();
        let took = self.ports.now().saturating_sub(began);
        let disposition = result
            .as_ref()
            .map_or_else(|response| response.disposition, |_| Disposition::Served);
        let record = match &result {
            Ok(served) => {
                summary.served(name, &served.served_by, served.response.parts.status, took)
            }
            Err(response) => summary.refused(name, response, took),
        };
        self.metrics
            .record_call(name, disposition.name(), &record.domain, took);
        if !record.team.is_empty() {
            self.metrics
                .record_team_call(&record.team, disposition.name());
        }
        if let Err(response) = &result {
            span.set_error(response.detail.clone());
            self.metrics.record_refusal(name, response.reason);
        }
        log_call(&record, &result, state.revision);
        self.calls.add(record);
        match result {
            Ok(served) => {
                let added = took.saturating_sub(served.response.took);
                self.metrics.record_added_time(name, added);
                self.metrics.record_permit_time(name, served.permit_wait);
                self.forward(served, added)
            }
            Err(response) => response.into_response(&self.identity.vm, &*self.dialect),
        }
    }

    /// Sends the call to servers until one responds.
    ///
    /// # Errors
    ///
    /// Returns the load balancer's own response if there is none from a server.
    async fn serve(
        &self,
        route: RouteMatch<'_>,
        request: Request<impl CallBody>,
        peer: SocketAddr,
        max_body: usize,
        span: &ActiveSpan,
        progress: &Progress,
    ) -> Result<Served, LocalResponse> {
        let began = self.ports.now();
        let RouteMatch {
            service,
            rule,
            team,
            ..
        } = route;
        span.set_attribute("service", service.name.clone());
        let fields = request.headers();
        let id = self.dialect.call_id(fields);
        let time_left = self.dialect.timeout(fields);
        let limit = time_left.map_or(rule.deadline, |left| left.min(rule.deadline));
        let elapsed = route.mapping.map_or(Duration::ZERO, |mapping| {
            self.elapsed.observe(&mapping.name, time_left)
        });
        let key = idempotency_key(service, &rule, team, request.headers());
        let place = place_of(&request);
        let heard = request.extensions().get().cloned().unwrap_or_default();
        let (parts, incoming) = request.into_parts();
        let reading = OutgoingRequest::new(parts, incoming, peer, max_body, &self.identity.memory);
        let mut outgoing = net::timeout(limit, Box::pin(reading))
            .await
            .unwrap_or_else(|| Err(slow_body()))?;
        outgoing.set_team(team, &self.dialect);
        let team = team.map(Team::id);
        let used = self.take_quota(team).await?;
        let claim = match key {
            Some(key) => {
                progress.set_stage(Stage::Claim);
                let claimed = self.claim(key).await;
                Some(claimed.inspect_err(|_| self.ports.give_quota_back(used))?)
            }
            None => None,
        };
        let call = Call {
            service,
            rule,
            team,
            work_key: route.weighed.then(|| work_key(&route)),
            deadline: began + limit,
            target_time: (began + rule.target).saturating_sub(elapsed),
            span,
            place,
            id,
            fingerprint: outgoing.fingerprint(),
            progress,
            tried: Vec::new(),
            sends: AtomicU32::new(0),
            heard,
            may_have_run: Mutex::default(),
        };
        let result = Box::pin(self.attempt_with_retries(call, outgoing)).await;
        let not_run = |response: &LocalResponse| response.disposition == Disposition::NotRun;
        if result.as_ref().is_err_and(not_run) {
            self.ports.give_quota_back(used);
            if let Some(claim) = claim {
                self.ports.forget(claim);
            }
        }
        result
    }

    /// Takes a token of the team's quota for a call, once for all of its attempts.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if the quota is used up.
    async fn take_quota(&self, team: Option<TeamId>) -> Result<QuotaUse, LocalResponse> {
        let Some(team) = team else {
            return Ok(None);
        };
        self.ports.take_quota(team).await.map_err(|refused| {
            LocalResponse::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                refused.reason.name(),
                "the team has used up its quota; send fewer calls, or try again after the given \
                 time",
            )
            .with_retry_after(refused.retry_after)
        })
    }

    /// Claims an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if the call must not run, or must not run now.
    async fn claim(&self, key: KeyHash) -> Result<KeyClaim, LocalResponse> {
        let (decision, claim) = self.ports.claim(key).await;
        match decision {
            ClaimDecision::Run => Ok(claim),
            ClaimDecision::Duplicate => {
                let mut response = LocalResponse::not_run(
                    StatusCode::CONFLICT,
                    "key-taken",
                    "a call with this Idempotency-Key came before and may have run; \
                     ask for its result instead of sending it again",
                );
                response.disposition = Disposition::Duplicate;
                Err(response)
            }
            ClaimDecision::Undecided { after } => {
                self.ports.forget(claim);
                Err(LocalResponse::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "key-memory",
                    "it is not yet certain that this Idempotency-Key is new; try again later",
                )
                .with_retry_after(after))
            }
        }
    }

    /// Makes attempts until a server responds or no further attempt is allowed.
    ///
    /// An error response of a server counts as failed if the call may be retried; the
    /// retry's response replaces it if there is one.
    async fn attempt_with_retries(
        &self,
        mut call: Call<'_>,
        mut outgoing: OutgoingRequest,
    ) -> Result<Served, LocalResponse> {
        let idempotent = call.rule.idempotent;
        let max_attempts = call.rule.attempts + NOT_RUN_ATTEMPTS_MAX;
        let mut attempts = Attempts::new(idempotent, outgoing.is_repeatable(), max_attempts);
        let mut kind = AttemptKind::First;
        let mut error_response = None;
        loop {
            let without_hedging =
                kind != AttemptKind::First || !idempotent || !outgoing.is_repeatable();
            let result = if !without_hedging {
                Box::pin(self.attempt_with_hedging(&mut call, &mut outgoing)).await
            } else {
                Box::pin(self.attempt(&mut call, &mut outgoing, kind)).await
            };
            let error = match result {
                Ok(served) => {
                    let retry = idempotent
                        && served.is_error()
                        && outgoing.is_repeatable()
                        && call.may_send()
                        && self.ports.now() < call.deadline;
                    if !retry {
                        return Ok(served);
                    }
                    // Returned to the caller unless the retry gets a response.
                    error_response = Some(served);
                    kind = AttemptKind::Retry;
                    continue;
                }
                Err(error) => error,
            };
            if let Some(served) = error_response.take() {
                return Ok(served);
            }
            let (failure, intact) = match &error {
                AttemptError::Refused(_) => (Failure::Refused, true),
                AttemptError::Failed(failed) => (failed.failure, failed.unsent.is_some()),
            };
            let verdict = attempts.record_failure(failure, intact);
            if verdict != Verdict::Retry || !call.may_send() || self.ports.now() >= call.deadline {
                let response = failure_response(attempts.verdict(), &error);
                return Err(response.with_may_have_run(call.take_may_have_run()));
            }
            if let AttemptError::Failed(FailedAttempt {
                unsent: Some(request),
                ..
            }) = error
            {
                outgoing.restore(*request);
            }
            kind = AttemptKind::Retry;
        }
    }

    /// Makes one attempt of `kind`, without a hedge or rescue.
    async fn attempt(
        &self,
        call: &mut Call<'_>,
        outgoing: &mut OutgoingRequest,
        kind: AttemptKind,
    ) -> Result<Served, AttemptError> {
        let granted = self.request_permit(call, kind).await?;
        call.tried.push(granted.permit.server);
        let request = outgoing.build();
        Box::pin(self.send(call, granted, request)).await
    }

    /// Returns the time until the call's deadline.
    pub(crate) fn time_left(&self, call: &Call<'_>) -> Duration {
        call.deadline.saturating_sub(self.ports.now())
    }

    /// Requests a permit for an attempt of `kind`, at a server that no earlier attempt of
    /// the call has used if possible.
    pub(crate) async fn request_permit(
        &self,
        call: &Call<'_>,
        kind: AttemptKind,
    ) -> Result<Granted, AttemptError> {
        let began = self.ports.now();
        if kind == AttemptKind::First || kind == AttemptKind::Retry {
            call.progress.set_stage(Stage::Permit);
        }
        self.check_rejected(call)?;
        self.check_stop(call)?;
        if let Some(retry_after) = self.ports.rest_left(call.service) {
            return Err(AttemptError::Refused(Refusal {
                reason: RefusalReason::NoServer,
                retry_after,
            }));
        }
        let mut avoid = call.tried.clone();
        avoid.extend(self.ports.denied_servers());
        avoid.extend_from_slice(call.heard.denied());
        let permit_request = PermitRequest {
            class: call.rule.class,
            left: self.time_left(call),
            goal: call.target_time.saturating_sub(self.ports.now()),
            late_wait: call.rule.target.mul_f64(LATE_WAIT_SHARE),
            kind,
            avoid,
            domain: self.identity.domain,
            ranking: call.work_key.map(|key| Ranking {
                rank: call.rule.rank,
                team: call.team.unwrap_or_default(),
                work: self.work_times.get(key),
                target: call.rule.target,
            }),
        };
        let span = self
            .spans
            .start("permit", SpanKind::Internal, call.span.context());
        let acquired = self.ports.acquire(call.service.id(), permit_request);
        let stopped = async {
            self.ports.stopped_before(call.deadline).await;
            Err(STOPPING)
        };
        let granted = smol::future::or(acquired, stopped).await;
        match granted {
            Ok(permit) => {
                let wait = self.ports.now().saturating_sub(began);
                Ok(Granted { permit, wait })
            }
            Err(refused) => {
                span.set_error(refused.reason.name());
                Err(AttemptError::Refused(refused))
            }
        }
    }

    /// Fails if servers crashed while they ran the call's request, at whichever VM.
    fn check_rejected(&self, call: &Call<'_>) -> Result<(), AttemptError> {
        let rejected = self.ports.rejected_for(call.fingerprint);
        rejected.map_or(Ok(()), |retry_after| {
            Err(AttemptError::Refused(Refusal {
                reason: RefusalReason::CrashesServers,
                retry_after,
            }))
        })
    }

    /// Fails if the VM stops, and might end before the call does.
    fn check_stop(&self, call: &Call<'_>) -> Result<(), AttemptError> {
        let may_send = self.ports.may_send_until(call.deadline);
        may_send
            .then_some(())
            .ok_or(AttemptError::Refused(STOPPING))
    }

    /// Releases a permit that is not used, and returns the attempt's error.
    fn release_unused(&self, permit: Permit, detail: &str) -> AttemptError {
        let took = Duration::ZERO;
        self.ports
            .release(permit, base::Outcome::Unused, took, ServerReport::default());
        AttemptError::unsent(detail)
    }

    /// Sends `request` to the server of the permit. Fails, and releases the permit, if
    /// `request` is `None` or the server may no longer get calls.
    pub(crate) async fn send(
        &self,
        call: &Call<'_>,
        granted: Granted,
        request: Option<Request<Body>>,
    ) -> Result<Served, AttemptError> {
        let Granted { permit, wait } = granted;
        let server_id = permit.server;
        let state = self.ports.state();
        let server = state.server(call.service.id(), server_id);
        let (Some(server), Some(mut request)) = (server, request) else {
            return Err(self.release_unused(permit, "the server has been removed"));
        };
        if !state.accepts_calls(server) {
            return Err(self.release_unused(
                permit,
                "the server is draining or its failure domain is out of service",
            ));
        }
        if let Err(rejected) = self.check_rejected(call) {
            self.release_unused(permit, "the request crashes servers");
            return Err(rejected);
        }
        if let Err(stopping) = self.check_stop(call) {
            self.release_unused(permit, "the VM stops");
            return Err(stopping);
        }
        let left = self.time_left(call);
        self.dialect
            .set_attempt_fields(request.headers_mut(), left, server.instance());
        let span = self
            .spans
            .start("attempt", SpanKind::Client, call.span.context());
        span.set_attribute("server", server.name.clone());
        span.set_attribute("domain", server.domain.clone());
        span.inject(request.headers_mut());
        let attempt = Attempt {
            ports: self.ports.clone(),
            pools: self.pools.clone(),
            dialect: self.dialect.clone(),
            call_id: call.id.clone(),
            fingerprint: call.fingerprint,
            service: call.service.id(),
            server: server.clone(),
            http2: call.service.http2,
            permit,
            deadline: call.deadline,
            place: call.place.clone(),
            heard: call.heard.clone(),
            memory: self.identity.memory.clone(),
        };
        call.sends.fetch_add(1, Ordering::Relaxed);
        call.progress.set_stage(Stage::Response);
        let began = self.ports.now();
        let result = attempt.run(request).await;
        log_attempt(call, &permit, server, &result, self.ports.now() - began);
        let served_by = ServedBy {
            server: server.name.clone(),
            domain: server.domain.clone(),
            attempts: call.tried.len() as u32,
        };
        match result {
            Ok(response) => {
                self.metrics.record_attempt(&call.service.name, "answered");
                if !response.parts.status.is_server_error() {
                    self.work_times.record(call.work_key, response.took);
                }
                Ok(Served {
                    response,
                    served_by,
                    permit_wait: wait,
                    deadline: call.deadline,
                })
            }
            Err(failed) => {
                if failed.failure.proves_not_run() {
                    call.sends.fetch_sub(1, Ordering::Relaxed);
                } else {
                    call.set_may_have_run(served_by);
                }
                self.metrics
                    .record_attempt(&call.service.name, failed.failure.name());
                span.set_error(failed.detail.clone());
                Err(AttemptError::Failed(failed))
            }
        }
    }

    /// Converts a server's response into the response to the caller. `added` is the time
    /// that the load balancer added to the call.
    fn forward(&self, served: Served, added: Duration) -> Response<Body> {
        let Served {
            response,
            served_by,
            deadline,
            ..
        } = served;
        let ServerResponse {
            mut parts, body, ..
        } = response;
        headers::strip_hop_by_hop(&mut parts.headers);
        headers::strip_reserved(&mut parts.headers);
        self.dialect.strip_server_fields(&mut parts.headers);
        set_served_fields(&mut parts.headers, &self.identity.vm, &served_by);
        let timing = format!("snipepaddle;dur={:.3}", added.as_secs_f64() * 1e3);
        if let Ok(timing) = HeaderValue::from_str(&timing) {
            parts.headers.append(headers::SERVER_TIMING, timing);
        }
        parts.version = http::Version::default();
        match body {
            ResponseBody::Buffered(bytes, None) => Response::from_parts(parts, body::full(bytes)),
            ResponseBody::Buffered(bytes, Some(trailers)) => {
                Response::from_parts(parts, body::with_trailers(bytes, trailers))
            }
            ResponseBody::Stream {
                prefix,
                rest,
                completion,
            } => {
                let left = deadline.saturating_sub(self.ports.now());
                let tracked = TrackedBody::new(prefix, rest, Timer::after(left), *completion);
                Response::from_parts(parts, body::boxed(tracked))
            }
        }
    }
}

/// Returns what identifies calls that take about as long as those of `route`.
fn work_key(route: &RouteMatch<'_>) -> WorkKey {
    let mapping = route.mapping.map_or("", |mapping| &mapping.name);
    base::hash::of(&["work", &route.service.name, mapping])
}

/// Returns the place of a request on its connection; an empty one over HTTP/2.
fn place_of<B>(request: &Request<B>) -> Place {
    request.extensions().get().cloned().unwrap_or_default()
}

fn slow_body() -> LocalResponse {
    LocalResponse::not_run(
        StatusCode::REQUEST_TIMEOUT,
        "slow-body",
        "the body did not come before the deadline; send it faster",
    )
}

/// Returns the hash of the caller's idempotency key, if the call has one and must not run
/// twice. The hash includes the names of the service and the team, so calls of different
/// services and of different teams may have the same key. Without a team it is that of
/// earlier builds.
fn idempotency_key(
    service: &Service,
    rule: &CallRule,
    team: Option<&Team>,
    fields: &HeaderMap,
) -> Option<KeyHash> {
    if rule.idempotent {
        return None;
    }
    let key = fields.get(headers::IDEMPOTENCY_KEY)?.to_str().ok()?;
    let mut names = vec!["key", &service.name, key];
    names.extend(team.map(|team| team.name.as_str()));
    Some(base::hash::of(&names))
}
