//! Open-loop callers: a late answer does not slow the next call.
//!
//! Arrivals are Poisson, drawn from the seed. A call goes to a live entry VM
//! by chance, as the platform's balancer would send it; one that cannot
//! connect goes to another. Times count from when a call was due.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::Clock;
use base::Time;
use entry::headers;
use http::header;
use http::header::HeaderName;
use http::HeaderMap;
use http::Method;
use http::Request;
use net::body;
use net::client;
use net::client::Sender;
use net::exec::Handle;
use net::Body;
use net::ThreadPool;
use smol::Timer;
use standin::backend::CALL_ID;
use standin::record::CallId;

use crate::plan::Plan;
use crate::plan::ServicePlan;
use crate::tally::End;
use crate::tally::Sample;
use crate::tally::Tally;

/// VMs that a call is tried at before it counts as cut.
const TRIES: usize = 4;
/// Time beyond its deadline that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);
/// The share of the load in the first half of the warm-up, in which servers
/// that have just started warm up.
const RAMP: f64 = 0.4;
/// The largest answer.
const ANSWER_MAX: usize = 1 << 20;
/// Threads of the callers.
const THREADS: usize = 2;

/// The entry VMs as callers know them.
pub struct Balancer {
    vms: Mutex<Vec<SocketAddr>>,
    idle: Mutex<Vec<(SocketAddr, Sender)>>,
    factor: Mutex<f64>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Balancer {
    /// Makes the balancer of the VMs that take callers at `vms`.
    pub fn new(vms: Vec<SocketAddr>) -> Self {
        Self {
            vms: Mutex::new(vms),
            idle: Mutex::default(),
            factor: Mutex::new(1.0),
        }
    }

    /// Takes a VM away, as the balancer does once it is not ready.
    pub fn remove(&self, vm: SocketAddr) {
        lock(&self.vms).retain(|known| *known != vm);
        lock(&self.idle).retain(|(known, _)| *known != vm);
    }

    /// Makes callers call `factor` times as often as the plan says.
    pub fn set_load_factor(&self, factor: f64) {
        *lock(&self.factor) = factor;
    }

    fn pick(&self) -> Option<SocketAddr> {
        let vms = lock(&self.vms);
        if vms.is_empty() {
            return None;
        }
        Some(vms[fastrand::usize(..vms.len())])
    }

    async fn connect(&self, vm: SocketAddr, handle: &Handle) -> Result<Sender, client::Error> {
        loop {
            let idle = {
                let mut idle = lock(&self.idle);
                let at = idle.iter().rposition(|(known, _)| *known == vm);
                at.map(|at| idle.swap_remove(at).1)
            };
            match idle {
                Some(sender) if sender.is_ready() => return Ok(sender),
                Some(_) => {}
                None => return client::connect(handle, vm, false).await,
            }
        }
    }

    fn keep(&self, vm: SocketAddr, sender: Sender) {
        lock(&self.idle).push((vm, sender));
    }
}

/// The callers of one run.
pub struct Callers {
    plan: Arc<Plan>,
    balancer: Arc<Balancer>,
    clock: Clock,
    pool: ThreadPool,
    next: Arc<AtomicU64>,
    samples: Arc<Mutex<Vec<Sample>>>,
    open: Arc<AtomicU64>,
}

/// What a caller got.
struct Got {
    end: End,
    added: Option<Duration>,
    domain: Option<usize>,
    retries: u32,
}

impl Default for Got {
    fn default() -> Self {
        Self {
            end: End::Cut,
            added: None,
            domain: None,
            retries: 0,
        }
    }
}

/// What one call needs.
struct Call {
    id: CallId,
    service: usize,
    post: bool,
    due: Time,
    start: Time,
}

impl Callers {
    /// Makes callers of `plan` who call through `balancer`.
    pub fn new(plan: Arc<Plan>, balancer: Arc<Balancer>) -> Self {
        Self {
            plan,
            balancer,
            clock: Clock::new(),
            pool: ThreadPool::new("callers", THREADS),
            next: Arc::new(AtomicU64::new(1)),
            samples: Arc::default(),
            open: Arc::default(),
        }
    }

    /// Calls all services for `time` and waits until every call has ended.
    pub async fn run(self, time: Duration) -> Tally {
        let callers = Arc::new(self);
        let start = callers.clock.now();
        let mut tasks = Vec::new();
        for service in 0..callers.plan.services.len() {
            let generator = callers.clone().generate(service, start, time);
            tasks.push(callers.pool.spawn(generator));
        }
        for task in tasks {
            task.await;
        }
        let longest = callers.plan.services.iter().map(|s| s.deadline).max();
        let ended = async {
            while callers.open.load(Ordering::SeqCst) > 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        let wait = longest.unwrap_or_default() + PATIENCE * 2;
        let _ = net::timeout(wait, ended).await;
        let samples = std::mem::take(&mut *lock(&callers.samples));
        Tally { samples }
    }

    async fn generate(self: Arc<Self>, service: usize, start: Time, time: Duration) {
        let known = &self.plan.services[service];
        let rate = self.plan.rate(known);
        let seed = self.plan.seed ^ base::hash::of(&["callers", &known.name]);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut due = start;
        let ramp = start + self.plan.warmup / 2;
        loop {
            let rate = if due < ramp { rate * RAMP } else { rate };
            let rate = rate * *lock(&self.balancer.factor);
            due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if due >= start + time {
                return;
            }
            let wait = due.saturating_sub(self.clock.now());
            if !wait.is_zero() {
                standin::sleep(wait).await;
            }
            let call = Call {
                id: self.next.fetch_add(1, Ordering::SeqCst),
                service,
                post: rng.f64() < known.posts,
                due,
                start,
            };
            self.open.fetch_add(1, Ordering::SeqCst);
            let callers = self.clone();
            self.pool
                .spawn(async move { callers.call(call).await })
                .detach();
        }
    }

    async fn call(&self, call: Call) {
        let known = &self.plan.services[call.service];
        standin::sleep(self.plan.latency.callers).await;
        let exchange = self.exchange(&call, known);
        let got = net::timeout(known.deadline + PATIENCE, exchange).await;
        let got = got.unwrap_or_default();
        standin::sleep(self.plan.latency.callers).await;
        let sample = Sample {
            call: call.id,
            service: call.service,
            post: call.post,
            at: call.due - call.start,
            took: self.clock.now().saturating_sub(call.due),
            added: got.added,
            domain: got.domain,
            retries: got.retries,
            end: got.end,
        };
        lock(&self.samples).push(sample);
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    async fn exchange(&self, call: &Call, known: &ServicePlan) -> Got {
        let mut request = Some(make(call, known));
        for _ in 0..TRIES {
            let Some(vm) = self.balancer.pick() else {
                break;
            };
            let Ok(mut sender) = self.balancer.connect(vm, &self.pool.handle()).await else {
                continue;
            };
            let Some(sent) = request.take() else {
                break;
            };
            match sender.send(sent).await {
                Ok(response) => return self.read(vm, sender, response).await,
                Err(failed) => request = failed.unsent,
            }
            if request.is_none() {
                break;
            }
        }
        Got::default()
    }

    async fn read(
        &self,
        vm: SocketAddr,
        sender: Sender,
        response: http::Response<hyper::body::Incoming>,
    ) -> Got {
        let (parts, incoming) = response.into_parts();
        let Ok(bytes) = body::collect(incoming, ANSWER_MAX).await else {
            return Got::default();
        };
        self.balancer.keep(vm, sender);
        let disposition = text(&parts.headers, &headers::OUTCOME);
        let end = match disposition {
            Some("served") if bytes.len() == standin::Model::default().answer => End::Served,
            Some("served") => End::Short,
            Some("not-run") => End::NotRun,
            _ => End::Unknown,
        };
        let domain = text(&parts.headers, &headers::DOMAIN);
        let domain = domain.and_then(|name| self.plan.domains.iter().position(|d| d == name));
        let attempts = text(&parts.headers, &headers::ATTEMPTS);
        let attempts: u32 = attempts.and_then(|n| n.parse().ok()).unwrap_or(1);
        Got {
            end,
            added: added(&parts.headers),
            domain,
            retries: attempts.saturating_sub(1),
        }
    }
}

fn make(call: &Call, known: &ServicePlan) -> Request<Body> {
    let mut request = Request::new(body::empty());
    if call.post {
        *request.method_mut() = Method::POST;
        *request.body_mut() = body::full("activate");
    }
    if let Ok(uri) = format!("/{}", known.name).parse() {
        *request.uri_mut() = uri;
    }
    let fields = request.headers_mut();
    fields.insert(header::HOST, header::HeaderValue::from_static("load"));
    fields.insert(CALL_ID, call.id.into());
    request
}

fn text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

/// Reads the time that the entry VM says it added.
fn added(fields: &HeaderMap) -> Option<Duration> {
    let timing = text(fields, &headers::SERVER_TIMING)?;
    let millis: f64 = timing.strip_prefix("snipepaddle;dur=")?.parse().ok()?;
    Some(Duration::from_secs_f64(millis / 1e3))
}
