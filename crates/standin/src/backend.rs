//! A backend server on loopback.
//!
//! A call takes a slot for an exponential time. A server that has just started
//! is cold: it bears a few calls, is slower, and falls over when it gets more.
//! It can be made slow, cold, draining, frozen or gone at any moment.

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

/// The header in which a caller numbers its calls.
pub const CALL_ID: &str = "x-call-id";
/// The header in which a server reports its load.
const LOAD: &str = "snipepaddle-load";
/// The header that says that a refused call was not run.
const NOT_RUN: &str = "snipepaddle-not-run";
/// The largest body that is read.
const BODY_MAX: usize = 16 << 20;

/// What changes while a server runs.
#[derive(Debug)]
struct State {
    running: usize,
    waiting: usize,
    free_since: Vec<Duration>,
    cold: bool,
    sudden: bool,
    finished: usize,
    slow: f64,
    frozen: bool,
    drains: bool,
    reported: (usize, usize),
    reported_at: Duration,
    rng: fastrand::Rng,
    record: Record,
    /// The other ends of its connections that have carried a request, sorted.
    known: Vec<SocketAddr>,
}

struct Inner {
    model: Model,
    clock: Clock,
    state: Mutex<State>,
    freed: Event,
    fall: Mutex<Option<Stop>>,
}

/// A backend server.
#[derive(Clone)]
pub struct Backend {
    address: SocketAddr,
    inner: Arc<Inner>,
    handle: Handle,
}

/// A slot in use, or a place in line, until it is dropped.
struct Place<'a> {
    inner: &'a Inner,
    arrived: Duration,
    begins: Duration,
    ends: Option<Duration>,
    runs: bool,
    done: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        if self.runs {
            state.running -= 1;
            let freed = self.ends.unwrap_or_else(|| self.inner.clock.now());
            state.free_since.push(freed);
        } else {
            state.waiting -= 1;
        }
        if !self.done {
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

    /// Waits for a slot; none if the call is refused.
    async fn enter(&self) -> Option<Place<'_>> {
        let mut place = {
            let mut state = self.lock();
            let full = state.running >= self.model.slots;
            let shed = self.model.overload == OverloadPolicy::Shed;
            if state.drains || (shed && full) {
                state.record.shed += 1;
                return None;
            }
            state.waiting += 1;
            let flight = state.running + state.waiting;
            state.record.peak = state.record.peak.max(flight);
            if state.cold && !state.sudden {
                state.record.cold_peak = state.record.cold_peak.max(flight);
                if flight > self.model.cold_limit {
                    state.record.crashes += 1;
                    self.fall_over();
                }
            }
            let now = self.clock.now();
            Place {
                inner: self,
                arrived: now,
                begins: now,
                ends: None,
                runs: false,
                done: false,
            }
        };
        loop {
            let freed = self.freed.listen();
            {
                let mut state = self.lock();
                if !state.frozen && state.running < self.model.slots {
                    state.waiting -= 1;
                    state.running += 1;
                    place.runs = true;
                    // The time counts from when the slot was due to be free,
                    // so that late wake-ups of this process cost no capacity.
                    let free = state.free_since.pop().unwrap_or_default();
                    place.begins = place.arrived.max(free);
                    return Some(place);
                }
            }
            freed.await;
        }
    }

    fn fall_over(&self) {
        let mut fall = self.fall.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(kill) = fall.take() {
            kill.trigger();
        }
    }

    /// Draws the time that a call takes now.
    fn draw(&self) -> Duration {
        let mut state = self.lock();
        let uniform = 1.0 - state.rng.f64();
        let cold = if state.cold {
            self.model.cold_slowdown
        } else {
            1.0
        };
        self.model
            .service_time
            .mul_f64(-uniform.ln() * state.slow * cold)
    }

    fn begin(&self, call: Option<CallId>) {
        let now = self.clock.now();
        self.lock().record.begin(call, now);
    }

    /// Keeps the slot of `place` for `time`.
    async fn run(&self, place: &mut Place<'_>, time: Duration) {
        let ends = place.begins + time;
        sleep(ends.saturating_sub(self.clock.now())).await;
        place.ends = Some(ends);
        place.done = true;
    }

    fn finish(&self) {
        let mut state = self.lock();
        state.record.finished += 1;
        state.finished += 1;
        if state.finished >= self.model.warm_after {
            state.cold = false;
        }
    }

    /// Returns the load as it is reported: as it was a while ago, or none.
    fn load(&self) -> (usize, usize) {
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

    fn answer(&self, status: StatusCode, size: usize) -> Response<Body> {
        let (busy, waiting) = self.load();
        let mut response = Response::new(body::full(vec![b'x'; size]));
        *response.status_mut() = status;
        let load = format!("busy={busy}, waiting={waiting}");
        if let Ok(load) = load.parse() {
            response.headers_mut().insert(LOAD, load);
        }
        response
    }

    /// Returns the slot time that the connection from `peer` still costs: the
    /// first request on it pays for it.
    fn connected(&self, peer: SocketAddr) -> Duration {
        let mut state = self.lock();
        match state.known.binary_search(&peer) {
            Ok(_) => Duration::ZERO,
            Err(at) => {
                state.known.insert(at, peer);
                state.record.connections += 1;
                self.model.connect_cost
            }
        }
    }

    async fn serve(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let connect = self.connected(peer);
        if !connect.is_zero() {
            // The handshake goes there and back once.
            sleep(self.model.latency * 2).await;
        }
        sleep(self.model.latency).await;
        let answer = if request.uri().path() == "/health" {
            self.probe(connect).await
        } else {
            self.call(request, connect).await
        };
        sleep(self.model.latency).await;
        answer
    }

    async fn probe(&self, connect: Duration) -> Response<Body> {
        let Some(mut place) = self.enter_probe().await else {
            return self.answer(StatusCode::SERVICE_UNAVAILABLE, 0);
        };
        self.run(&mut place, connect + self.model.probe_cost).await;
        let mut state = self.lock();
        state.record.probes += 1;
        state.record.probe_time += self.model.probe_cost;
        drop(state);
        self.answer(StatusCode::OK, 0)
    }

    async fn enter_probe(&self) -> Option<Place<'_>> {
        if self.lock().drains {
            return None;
        }
        self.enter().await
    }

    async fn call(&self, request: Request<Incoming>, connect: Duration) -> Response<Body> {
        let call = request.headers().get(CALL_ID);
        let call = call
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        let Some(mut place) = self.enter().await else {
            let mut refusal = self.answer(StatusCode::SERVICE_UNAVAILABLE, 0);
            let yes = http::HeaderValue::from_static("1");
            refusal.headers_mut().insert(NOT_RUN, yes);
            return refusal;
        };
        let Ok(received) = body::collect(request.into_body(), BODY_MAX).await else {
            return self.answer(StatusCode::BAD_REQUEST, 0);
        };
        self.begin(call);
        self.run(&mut place, connect + self.draw()).await;
        self.finish();
        drop(received);
        self.answer(StatusCode::OK, self.model.response_bytes)
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
    /// Starts a warm server on a free port of `ip`.
    pub async fn start(
        ip: std::net::IpAddr,
        model: Model,
        clock: Clock,
        handle: Handle,
    ) -> std::io::Result<Self> {
        Self::start_at((ip, 0).into(), model, clock, handle).await
    }

    /// Starts a warm server at `address`.
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
            sudden: false,
            finished: 0,
            slow: 1.0,
            frozen: false,
            drains: false,
            reported: (0, 0),
            reported_at: Duration::ZERO,
            rng: fastrand::Rng::with_seed(model.seed),
            record: Record::default(),
            known: Vec::new(),
        };
        let backend = Self {
            address: listener.local_addr()?,
            inner: Arc::new(Inner {
                model,
                clock,
                state: Mutex::new(state),
                freed: Event::new(),
                fall: Mutex::default(),
            }),
            handle,
        };
        backend.listen(listener);
        Ok(backend)
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a copy of its record.
    pub fn record(&self) -> Record {
        self.inner.lock().record.clone()
    }

    /// Runs `look` on its record.
    pub fn with_record<T>(&self, look: impl FnOnce(&Record) -> T) -> T {
        look(&self.inner.lock().record)
    }

    /// Returns whether it is cold.
    pub fn is_cold(&self) -> bool {
        self.inner.lock().cold
    }

    /// Makes it `factor` times slower.
    pub fn set_slowdown(&self, factor: f64) {
        self.inner.lock().slow = factor;
    }

    /// Makes it slow without notice until it has finished some calls, as if
    /// its caches were gone; what it has in flight does not break it.
    pub fn drop_caches(&self) {
        self.cool(true);
    }

    fn cool(&self, sudden: bool) {
        let mut state = self.inner.lock();
        state.cold = true;
        state.sudden = sudden;
        state.finished = 0;
        if !sudden {
            state.known.clear();
        }
    }

    /// Makes it refuse new calls, or take them again.
    pub fn set_draining(&self, drains: bool) {
        self.inner.lock().drains = drains;
    }

    /// Makes it start no call, or start them again.
    pub fn set_frozen(&self, frozen: bool) {
        self.inner.lock().frozen = frozen;
        self.inner.freed.notify(usize::MAX);
    }

    /// Breaks all its connections and closes its port for `away`; it is cold
    /// when it comes back.
    pub fn restart(&self, away: Duration) {
        let backend = self.clone();
        self.inner.fall_over();
        self.handle.spawn_detached(async move {
            Timer::after(away).await;
            backend.come_back().await;
        });
    }

    /// Breaks all its connections and closes its port for good.
    pub fn shut_down(&self) {
        self.inner.fall_over();
    }

    async fn come_back(self) {
        self.cool(false);
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

    /// Serves on `listener` until the server falls over.
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
        let mut fall = self
            .inner
            .fall
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *fall = Some(stop.clone());
        drop(fall);
        let backend = self.clone();
        self.handle.spawn_detached(async move {
            let falls = backend.record().crashes;
            server.run(listener).await;
            // A restart on purpose comes back by itself.
            if backend.record().crashes > falls {
                Timer::after(backend.inner.model.crash_downtime).await;
                backend.come_back().await;
            }
        });
    }
}
