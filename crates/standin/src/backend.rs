//! A stand-in for a backend server.
//!
//! A call occupies a slot for an exponentially distributed time. A server that
//! has restarted is cold: it is slower, and it crashes when it has more requests
//! in flight than it sustains. Tests can slow a server down, make it cold, drain
//! it, freeze it, restart it or shut it down at any time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::Clock;
use event_listener::Event;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use net::body;
use net::exec::Handle;
use net::server::Handler;
use net::server::Limits;
use net::server::Server;
use net::Body;
use net::BoxFuture;
use net::Stop;
use smol::net::TcpListener;
use smol::Timer;

use crate::model::Model;
use crate::model::OverloadPolicy;
use crate::record::CallId;
use crate::record::Record;
use crate::timer::sleep;

/// The request header with the id that the caller gave the call.
pub const CALL_ID: &str = "x-call-id";
/// The response header in which a server reports its load.
const LOAD_HEADER: &str = "snipepaddle-load";
/// The response header that marks a refused call as not run.
const NOT_RUN_HEADER: &str = "snipepaddle-not-run";
/// The largest request body that is accepted.
const BODY_MAX_BYTES: usize = 16 << 20;

#[derive(Debug)]
struct State {
    running: usize,
    waiting: usize,
    /// For each free slot, the time at which it was due to become free.
    free_since: Vec<Duration>,
    cold: bool,
    /// Whether the server is cold because it lost its caches; it does not crash
    /// then.
    caches_dropped: bool,
    /// Calls finished since the server last became cold, or was made.
    warmup_calls: usize,
    /// Factor on service times; 1 = as usual.
    slowdown: f64,
    /// Whether waiting requests get no slot.
    frozen: bool,
    /// Whether new requests are refused.
    draining: bool,
    /// The reported load: requests that run, and requests that wait.
    reported: (usize, usize),
    reported_at: Duration,
    rng: fastrand::Rng,
    record: Record,
    /// Peer addresses of the connections that have carried a request, sorted.
    seen_peers: Vec<SocketAddr>,
}

struct Inner {
    model: Model,
    clock: Clock,
    state: Mutex<State>,
    freed: Event,
    /// Closes the port and all connections when triggered; `None` while the
    /// server is down.
    kill: Mutex<Option<Stop>>,
}

/// A stand-in for a backend server; clones share one server.
#[derive(Clone)]
pub struct Backend {
    address: SocketAddr,
    inner: Arc<Inner>,
    handle: Handle,
}

/// A request in flight. Dropping it frees its slot, or its place in the queue if
/// it has no slot yet.
struct InFlight<'a> {
    inner: &'a Inner,
    arrived: Duration,
    /// When the slot time starts to count.
    start: Duration,
    /// When the slot was due to become free; `None` if the request ends early.
    end: Option<Duration>,
    has_slot: bool,
    finished: bool,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        if self.has_slot {
            state.running -= 1;
            let freed = self.end.unwrap_or_else(|| self.inner.clock.now());
            state.free_since.push(freed);
        } else {
            state.waiting -= 1;
        }
        if !self.finished {
            state.record.cancelled += 1;
        }
        drop(state);
        self.inner.freed.notify(1);
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot. Returns `None` if the request is refused.
    async fn admit(&self) -> Option<InFlight<'_>> {
        let mut admitted = {
            let mut state = self.lock();
            let full = state.running >= self.model.slots;
            let shed = self.model.overload == OverloadPolicy::Shed;
            if state.draining || (shed && full) {
                state.record.shed += 1;
                return None;
            }
            state.waiting += 1;
            let in_flight = state.running + state.waiting;
            state.record.peak = state.record.peak.max(in_flight);
            if state.cold && !state.caches_dropped {
                state.record.cold_peak = state.record.cold_peak.max(in_flight);
                if in_flight > self.model.cold_limit {
                    state.record.crashes += 1;
                    self.kill();
                }
            }
            let now = self.clock.now();
            InFlight {
                inner: self,
                arrived: now,
                start: now,
                end: None,
                has_slot: false,
                finished: false,
            }
        };
        loop {
            let freed = self.freed.listen();
            {
                let mut state = self.lock();
                if !state.frozen && state.running < self.model.slots {
                    state.waiting -= 1;
                    state.running += 1;
                    admitted.has_slot = true;
                    // Counts from the time at which the slot was due to become
                    // free, so that late wake-ups cost the server no capacity.
                    let free = state.free_since.pop().unwrap_or_default();
                    admitted.start = admitted.arrived.max(free);
                    return Some(admitted);
                }
            }
            freed.await;
        }
    }

    /// Closes the port and all connections.
    fn kill(&self) {
        let mut kill = self.kill.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stop) = kill.take() {
            stop.trigger();
        }
    }

    /// Draws the service time of a call.
    fn sample_service_time(&self) -> Duration {
        let mut state = self.lock();
        let uniform = 1.0 - state.rng.f64();
        let cold_slowdown = if state.cold {
            self.model.cold_slowdown
        } else {
            1.0
        };
        self.model
            .service_time
            .mul_f64(-uniform.ln() * state.slowdown * cold_slowdown)
    }

    fn record_begin(&self, call: Option<CallId>) {
        let now = self.clock.now();
        self.lock().record.begin(call, now);
    }

    /// Occupies the slot of `admitted` for `time`.
    async fn occupy(&self, admitted: &mut InFlight<'_>, time: Duration) {
        let end = admitted.start + time;
        sleep(end.saturating_sub(self.clock.now())).await;
        admitted.end = Some(end);
        admitted.finished = true;
    }

    /// Counts a finished call; the server becomes warm after enough of them.
    fn record_finish(&self) {
        let mut state = self.lock();
        state.record.finished += 1;
        state.warmup_calls += 1;
        if state.warmup_calls >= self.model.warm_after {
            state.cold = false;
        }
    }

    /// Returns the numbers of running and waiting requests that the server
    /// reports: up to `report_lag` old, or zeros if it always reports idle.
    fn reported_load(&self) -> (usize, usize) {
        if self.model.reports_idle {
            return (0, 0);
        }
        let now = self.clock.now();
        let mut state = self.lock();
        if now >= state.reported_at + self.model.report_lag {
            state.reported = (state.running, state.waiting);
            state.reported_at = now;
        }
        state.reported
    }

    fn respond(&self, status: StatusCode, size: usize) -> Response<Body> {
        let (busy, waiting) = self.reported_load();
        let mut response = Response::new(body::full(vec![b'x'; size]));
        *response.status_mut() = status;
        let load = format!("busy={busy}, waiting={waiting}");
        if let Ok(load) = load.parse() {
            response.headers_mut().insert(LOAD_HEADER, load);
        }
        response
    }

    /// Returns the slot time for setting up the connection from `peer`: not zero
    /// for the first request on it only.
    fn charge_connect(&self, peer: SocketAddr) -> Duration {
        let mut state = self.lock();
        match state.seen_peers.binary_search(&peer) {
            Ok(_) => Duration::ZERO,
            Err(index) => {
                state.seen_peers.insert(index, peer);
                state.record.connections += 1;
                self.model.connect_cost
            }
        }
    }

    async fn serve(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let connect = self.charge_connect(peer);
        if !connect.is_zero() {
            // The handshake takes one round trip.
            sleep(self.model.latency * 2).await;
        }
        sleep(self.model.latency).await;
        let response = if request.uri().path() == "/health" {
            self.probe(connect).await
        } else {
            self.call(request, connect).await
        };
        sleep(self.model.latency).await;
        response
    }

    async fn probe(&self, connect: Duration) -> Response<Body> {
        let Some(mut admitted) = self.admit_probe().await else {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE, 0);
        };
        self.occupy(&mut admitted, connect + self.model.probe_cost)
            .await;
        let mut state = self.lock();
        state.record.probes += 1;
        state.record.probe_time += self.model.probe_cost;
        drop(state);
        self.respond(StatusCode::OK, 0)
    }

    async fn admit_probe(&self) -> Option<InFlight<'_>> {
        if self.lock().draining {
            return None;
        }
        self.admit().await
    }

    async fn call(&self, request: Request<Incoming>, connect: Duration) -> Response<Body> {
        let call = request.headers().get(CALL_ID);
        let call = call
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        let Some(mut admitted) = self.admit().await else {
            let mut refusal = self.respond(StatusCode::SERVICE_UNAVAILABLE, 0);
            let yes = http::HeaderValue::from_static("1");
            refusal.headers_mut().insert(NOT_RUN_HEADER, yes);
            return refusal;
        };
        let Ok(received) = body::collect(request.into_body(), BODY_MAX_BYTES).await else {
            return self.respond(StatusCode::BAD_REQUEST, 0);
        };
        self.record_begin(call);
        self.occupy(&mut admitted, connect + self.sample_service_time())
            .await;
        self.record_finish();
        drop(received);
        self.respond(StatusCode::OK, self.model.response_bytes)
    }
}

impl Handler for Inner {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.serve(request, peer).await })
    }
}

impl Backend {
    /// Starts a warm server on a free port of `ip`. Fails if no port can be
    /// bound.
    pub async fn start(
        ip: std::net::IpAddr,
        model: Model,
        clock: Clock,
        handle: Handle,
    ) -> std::io::Result<Self> {
        Self::start_at((ip, 0).into(), model, clock, handle).await
    }

    /// Starts a warm server at `address`. Fails if the port cannot be bound.
    pub async fn start_at(
        address: SocketAddr,
        model: Model,
        clock: Clock,
        handle: Handle,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let state = State {
            running: 0,
            waiting: 0,
            free_since: vec![Duration::ZERO; model.slots],
            cold: false,
            caches_dropped: false,
            warmup_calls: 0,
            slowdown: 1.0,
            frozen: false,
            draining: false,
            reported: (0, 0),
            reported_at: Duration::ZERO,
            rng: fastrand::Rng::with_seed(model.seed),
            record: Record::default(),
            seen_peers: Vec::new(),
        };
        let backend = Self {
            address: listener.local_addr()?,
            inner: Arc::new(Inner {
                model,
                clock,
                state: Mutex::new(state),
                freed: Event::new(),
                kill: Mutex::default(),
            }),
            handle,
        };
        backend.listen(listener);
        Ok(backend)
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a copy of the server's record.
    pub fn record(&self) -> Record {
        self.inner.lock().record.clone()
    }

    /// Returns the result of `read` on the server's record, which is not copied.
    /// Requests at the server wait until `read` returns.
    pub fn with_record<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        read(&self.inner.lock().record)
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self) -> bool {
        self.inner.lock().cold
    }

    /// Multiplies service times by `factor`; 1 restores the usual ones.
    pub fn set_slowdown(&self, factor: f64) {
        self.inner.lock().slowdown = factor;
    }

    /// Makes the server cold without a restart, as if its caches had been lost.
    /// It keeps its connections and does not crash from requests in flight.
    pub fn drop_caches(&self) {
        self.set_cold(true);
    }

    fn set_cold(&self, caches_dropped: bool) {
        let mut state = self.inner.lock();
        state.cold = true;
        state.caches_dropped = caches_dropped;
        state.warmup_calls = 0;
        if !caches_dropped {
            state.seen_peers.clear();
        }
    }

    /// Makes the server refuse new requests, or accept them again.
    pub fn set_draining(&self, draining: bool) {
        self.inner.lock().draining = draining;
    }

    /// Makes the server start no requests, or start them again. A frozen server
    /// still accepts requests, which wait, and finishes those that run.
    pub fn set_frozen(&self, frozen: bool) {
        self.inner.lock().frozen = frozen;
        self.inner.freed.notify(usize::MAX);
    }

    /// Closes all connections and the port, and listens again after `downtime`;
    /// the server is cold then.
    pub fn restart(&self, downtime: Duration) {
        let backend = self.clone();
        self.inner.kill();
        self.handle.spawn_detached(async move {
            Timer::after(downtime).await;
            backend.start_cold().await;
        });
    }

    /// Closes all connections and the port for good.
    pub fn shut_down(&self) {
        self.inner.kill();
    }

    /// Listens again, cold; retries until the port can be bound.
    async fn start_cold(self) {
        self.set_cold(false);
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => {
                    self.listen(listener);
                    return;
                }
                Err(_) => Timer::after(Duration::from_millis(20)).await,
            };
        }
    }

    /// Serves on `listener` until the server crashes, restarts or shuts down.
    fn listen(&self, listener: TcpListener) {
        let stop = Stop::new();
        let limits = Limits {
            connections: self.inner.model.max_connections,
            half_close: false,
            ..Limits::default()
        };
        let server = Server::new(self.inner.clone(), self.handle.clone(), stop.clone())
            .with_kill(stop.clone())
            .with_limits(limits);
        let mut kill = self
            .inner
            .kill
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *kill = Some(stop.clone());
        drop(kill);
        let backend = self.clone();
        self.handle.spawn_detached(async move {
            let crashes = backend.record().crashes;
            server.run(listener).await;
            // Only a crash is handled here; `restart` makes the server listen again
            // itself.
            if backend.record().crashes > crashes {
                Timer::after(backend.inner.model.crash_downtime).await;
                backend.start_cold().await;
            }
        });
    }
}
