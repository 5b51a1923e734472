//! Answers callers: finds the service, gets permits, makes attempts, and tells
//! the caller truthfully what became of its call.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use base::DomainId;
use conf::service::CallRule;
use conf::state::RouteMatch;
use conf::Service;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use net::body;
use net::server::Handler;
use net::Body;
use net::BoxFuture;
use obs::spans::Open;
use obs::Calls;
use obs::Metrics;
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
use smol::Timer;

use crate::answer::Answer;
use crate::answer::Disposition;
use crate::attempt::Attempt;
use crate::attempt::Content;
use crate::attempt::Failed;
use crate::attempt::Head;
use crate::call::explain;
use crate::call::log_attempt;
use crate::call::log_end;
use crate::call::mark;
use crate::call::Call;
use crate::call::Granted;
use crate::call::Missed;
use crate::call::Served;
use crate::dialect::Dialect;
use crate::dialect::Native;
use crate::headers;
use crate::pool::Pools;
use crate::ports::Permit;
use crate::ports::Ports;
use crate::record::Arrival;
use crate::record::Place;
use crate::request::Outgoing;
use crate::spent::Spent;
use crate::tracked::Tracked;

/// Attempts at one call whose servers certainly did not run it, at the most;
/// those that may have run are bounded by the route.
const UNRUN_MAX: u32 = 3;
/// The part of its target latency that a call may wait although it is late.
const LATE_PART: f64 = 0.125;
/// When a caller should come back to a VM that has no configuration yet; VMs
/// have it within a fraction of a second of their start.
const UNCONFIGURED_WAIT: Duration = Duration::from_millis(300);

/// Who this VM is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name, as a header value.
    pub vm: HeaderValue,
    /// Its failure domain.
    pub domain: DomainId,
    /// The largest body of a request, in bytes.
    pub body: usize,
}

/// Answers the callers of one VM.
pub struct Proxy {
    pub(crate) ports: Arc<dyn Ports>,
    pools: Arc<Pools>,
    metrics: Arc<Metrics>,
    spans: Arc<Spans>,
    calls: Arc<Calls>,
    dialect: Arc<dyn Dialect>,
    spent: Spent,
    me: Identity,
}

impl Handler for Proxy {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request, peer).await })
    }
}

impl Proxy {
    /// Makes a proxy that works through `ports` and `pools`.
    pub fn new(
        ports: Arc<dyn Ports>,
        pools: Arc<Pools>,
        metrics: Arc<Metrics>,
        spans: Arc<Spans>,
        calls: Arc<Calls>,
        me: Identity,
    ) -> Self {
        Self {
            ports,
            pools,
            metrics,
            spans,
            calls,
            dialect: Arc::new(Native),
            spent: Spent::default(),
            me,
        }
    }

    /// Returns the same proxy, which speaks `dialect` to callers and servers.
    pub fn with_dialect(mut self, dialect: Arc<dyn Dialect>) -> Self {
        self.dialect = dialect;
        self
    }

    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let began = self.ports.now();
        let parent = self.spans.extract(request.headers());
        let span = self.spans.start("call", SpanKind::Server, &parent);
        let id = self.dialect.call_id(request.headers());
        let arrival = Arrival::new(&request, &span, id.as_ref());
        let state = self.ports.state();
        let draw = fastrand::f64();
        let method = request.method().as_str();
        let found = state.route(&arrival.host, &arrival.path, method, draw);
        let service = found.map(|found| found.service);
        let result = match found {
            Some(found) => {
                let limits = state.caller_limits();
                let body = limits.map_or(self.me.body, |limits| limits.body.min(self.me.body));
                self.serve(found, request, peer, body, &span).await
            }
            None if !state.is_configured() => Err(Answer::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-configuration",
                "this VM has just started and knows no services yet; try again",
            )
            .with_after(UNCONFIGURED_WAIT)),
            None => Err(Answer::not_run(
                StatusCode::NOT_FOUND,
                "no-service",
                "no service has this host and path; check them or the tickets",
            )),
        };
        let name = service.map_or("", |service| service.name.as_str());
        let took = self.ports.now().saturating_sub(began);
        let disposition = result
            .as_ref()
            .map_or_else(|answer| answer.disposition, |_| Disposition::Served);
        let record = match &result {
            Ok(served) => arrival.served(name, &served.place, served.head.parts.status, took),
            Err(answer) => arrival.refused(name, answer, took),
        };
        self.metrics
            .call(name, disposition.name(), &record.domain, took);
        if let Err(answer) = &result {
            span.fail(answer.text.clone());
            self.metrics.refusal(name, answer.reason);
        }
        log_end(&record, &result, state.revision);
        self.calls.add(record);
        match result {
            Ok(served) => {
                let added = took.saturating_sub(served.head.took);
                self.metrics.added(name, added);
                self.metrics.permit(name, served.waited);
                self.pass_on(served, added)
            }
            Err(answer) => answer.into_response(&self.me.vm, &*self.dialect),
        }
    }

    async fn serve(
        &self,
        found: RouteMatch<'_>,
        request: Request<Incoming>,
        peer: SocketAddr,
        body: usize,
        span: &Open,
    ) -> Result<Served, Answer> {
        let began = self.ports.now();
        let RouteMatch { service, rule, .. } = found;
        span.set("service", service.name.clone());
        let fields = request.headers();
        let id = self.dialect.call_id(fields);
        let asked = self.dialect.limit(fields);
        let limit = asked.map_or(rule.deadline, |l| l.min(rule.deadline));
        let spent = found.mapping.map_or(Duration::ZERO, |mapping| {
            self.spent.note(&mapping.name, asked)
        });
        let key = idempotency_key(service, &rule, request.headers());
        let (parts, incoming) = request.into_parts();
        let reading = Outgoing::new(parts, incoming, peer, body);
        let outgoing = net::timeout(limit, reading).await.unwrap_or_else(|| {
            Err(Answer::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "slow-body",
                "the body did not come before the deadline; send it faster",
            ))
        })?;
        let claimed = match key {
            Some(key) => Some(self.claim(key).await?),
            None => None,
        };
        let call = Call {
            service,
            rule,
            due: began + limit,
            goal: (began + rule.target).saturating_sub(spent),
            span,
            id,
            tried: Vec::new(),
            sends: AtomicU32::new(0),
        };
        let result = self.attempt_until_done(call, outgoing).await;
        if let (Some(claimed), Err(answer)) = (claimed, &result) {
            if answer.disposition == Disposition::NotRun {
                self.ports.forget(claimed);
            }
        }
        result
    }

    async fn claim(&self, key: KeyHash) -> Result<KeyClaim, Answer> {
        let (ruling, claimed) = self.ports.claim(key).await;
        match ruling {
            ClaimDecision::Run => Ok(claimed),
            ClaimDecision::Duplicate => {
                let mut answer = Answer::not_run(
                    StatusCode::CONFLICT,
                    "key-taken",
                    "a call with this Idempotency-Key came before and may have run; \
                     ask for its result instead of sending it again",
                );
                answer.disposition = Disposition::Duplicate;
                Err(answer)
            }
            ClaimDecision::Undecided { after } => {
                self.ports.forget(claimed);
                Err(Answer::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "key-memory",
                    "it is not yet certain that this Idempotency-Key is new; try again later",
                )
                .with_after(after))
            }
        }
    }

    /// Makes attempts until one is answered or none is allowed any more.
    async fn attempt_until_done(
        &self,
        mut call: Call<'_>,
        mut outgoing: Outgoing,
    ) -> Result<Served, Answer> {
        let idempotent = call.rule.idempotent;
        let most = call.rule.attempts + UNRUN_MAX;
        let mut attempts = Attempts::new(idempotent, outgoing.is_repeatable(), most);
        let mut kind = AttemptKind::First;
        let mut errored = None;
        loop {
            let alone = kind != AttemptKind::First || !idempotent || !outgoing.is_repeatable();
            let result = if !alone {
                self.attempt_beside(&mut call, &mut outgoing).await
            } else {
                self.attempt(&mut call, &mut outgoing, kind).await
            };
            let missed = match result {
                Ok(served) => {
                    let again = idempotent
                        && served.is_error()
                        && outgoing.is_repeatable()
                        && call.may_send()
                        && self.ports.now() < call.due;
                    if !again {
                        return Ok(served);
                    }
                    // Its own answer is the caller's unless another does better.
                    errored = Some(served);
                    kind = AttemptKind::Retry;
                    continue;
                }
                Err(missed) => missed,
            };
            if let Some(served) = errored.take() {
                return Ok(served);
            }
            let (failure, kept) = match &missed {
                Missed::Refused(_) => (Failure::Refused, true),
                Missed::Failed(failed) => (failed.failure, failed.unsent.is_some()),
            };
            let verdict = attempts.record_failure(failure, kept);
            if verdict != Verdict::Retry || !call.may_send() || self.ports.now() >= call.due {
                return Err(explain(attempts.verdict(), &missed));
            }
            if let Missed::Failed(Failed {
                unsent: Some(request),
                ..
            }) = missed
            {
                outgoing.restore(*request);
            }
            kind = AttemptKind::Retry;
        }
    }

    async fn attempt(
        &self,
        call: &mut Call<'_>,
        outgoing: &mut Outgoing,
        kind: AttemptKind,
    ) -> Result<Served, Missed> {
        let granted = self.permit(call, kind).await?;
        call.tried.push(granted.permit.server);
        let request = outgoing.make();
        self.send(call, granted, request).await
    }

    pub(crate) fn left(&self, call: &Call<'_>) -> Duration {
        call.due.saturating_sub(self.ports.now())
    }

    pub(crate) async fn permit(
        &self,
        call: &Call<'_>,
        kind: AttemptKind,
    ) -> Result<Granted, Missed> {
        let began = self.ports.now();
        let ask = PermitRequest {
            class: call.rule.class,
            left: self.left(call),
            goal: call.goal.saturating_sub(self.ports.now()),
            late_wait: call.rule.target.mul_f64(LATE_PART),
            kind,
            avoid: call.tried.clone(),
            domain: self.me.domain,
        };
        let span = self
            .spans
            .start("permit", SpanKind::Internal, call.span.context());
        let granted = self.ports.acquire(call.service.id(), ask).await;
        match granted {
            Ok(permit) => {
                let waited = self.ports.now().saturating_sub(began);
                Ok(Granted { permit, waited })
            }
            Err(refused) => {
                span.fail(refused.reason.name());
                Err(Missed::Refused(refused))
            }
        }
    }

    /// Ends a permit that is not used.
    fn give_back(&self, permit: Permit, text: &str) -> Missed {
        let none = Duration::ZERO;
        self.ports
            .release(permit, base::Outcome::Unused, none, None);
        Missed::unsent(text)
    }

    pub(crate) async fn send(
        &self,
        call: &Call<'_>,
        granted: Granted,
        request: Option<Request<Body>>,
    ) -> Result<Served, Missed> {
        let Granted { permit, waited } = granted;
        let id = permit.server;
        let state = self.ports.state();
        let server = state.server(call.service.id(), id);
        let (Some(server), Some(mut request)) = (server, request) else {
            return Err(self.give_back(permit, "the server has been removed"));
        };
        if !state.accepts_calls(server) {
            return Err(self.give_back(permit, "the server is leaving or its domain is out"));
        }
        let left = self.left(call);
        self.dialect
            .direct(request.headers_mut(), left, server.instance());
        let span = self
            .spans
            .start("attempt", SpanKind::Client, call.span.context());
        span.set("server", server.name.clone());
        span.set("domain", server.domain.clone());
        span.inject(request.headers_mut());
        let attempt = Attempt {
            ports: self.ports.clone(),
            pools: self.pools.clone(),
            dialect: self.dialect.clone(),
            id: call.id.clone(),
            server: server.clone(),
            http2: call.service.http2,
            permit,
            left,
        };
        call.sends.fetch_add(1, Ordering::Relaxed);
        let began = self.ports.now();
        let result = attempt.run(request).await;
        log_attempt(call, &permit, server, &result, self.ports.now() - began);
        match result {
            Ok(head) => {
                self.metrics.attempt(&call.service.name, "answered");
                let place = Place {
                    server: server.name.clone(),
                    domain: server.domain.clone(),
                    attempts: call.tried.len() as u32,
                };
                Ok(Served {
                    head,
                    place,
                    waited,
                    due: call.due,
                })
            }
            Err(failed) => {
                if failed.failure.proves_not_run() {
                    call.sends.fetch_sub(1, Ordering::Relaxed);
                }
                self.metrics
                    .attempt(&call.service.name, failed.failure.name());
                span.fail(failed.text.clone());
                Err(Missed::Failed(failed))
            }
        }
    }

    /// Marks a server's answer and passes it on.
    fn pass_on(&self, served: Served, added: Duration) -> Response<Body> {
        let Served {
            head, place, due, ..
        } = served;
        let Head {
            mut parts, content, ..
        } = head;
        headers::strip_hop(&mut parts.headers);
        headers::strip_own(&mut parts.headers);
        self.dialect.hide(&mut parts.headers);
        mark(&mut parts.headers, &self.me.vm, &place);
        let timing = format!("snipepaddle;dur={:.3}", added.as_secs_f64() * 1e3);
        if let Ok(timing) = HeaderValue::from_str(&timing) {
            parts.headers.append(headers::SERVER_TIMING, timing);
        }
        parts.version = http::Version::default();
        match content {
            Content::Whole(bytes, None) => Response::from_parts(parts, body::full(bytes)),
            Content::Whole(bytes, Some(trailers)) => {
                Response::from_parts(parts, body::with_trailers(bytes, trailers))
            }
            Content::Stream {
                prefix,
                rest,
                settle,
            } => {
                let left = due.saturating_sub(self.ports.now());
                let tracked = Tracked::new(prefix, rest, Timer::after(left), *settle);
                Response::from_parts(parts, body::boxed(tracked))
            }
        }
    }
}

/// Returns the key of a call that must not run twice, if its caller gave one.
fn idempotency_key(service: &Service, rule: &CallRule, fields: &HeaderMap) -> Option<KeyHash> {
    if rule.idempotent {
        return None;
    }
    let key = fields.get(headers::IDEMPOTENCY_KEY)?.to_str().ok()?;
    Some(base::hash::of(&["key", &service.name, key]))
}
