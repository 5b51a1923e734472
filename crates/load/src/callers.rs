//! Open-loop callers: the arrival rate does not depend on response times.
//!
//! Arrivals form a Poisson process drawn from the seed. Each call goes to a
//! random live entry VM, as the platform's balancer would send it. If the
//! connection fails, the VM is drawn again. Latency is measured from the time at
//! which a call was due, so that a delay of the load generator counts as well.

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
use smol::lock::Semaphore;
use smol::lock::SemaphoreGuardArc;
use smol::Timer;
use standin::backend::CALL_ID;
use standin::record::CallId;

use crate::plan::Plan;
use crate::plan::ServicePlan;
use crate::tally::End;
use crate::tally::Sample;
use crate::tally::Tally;

/// Number of tries to send a call to a VM before the call counts as cut.
const SEND_TRIES: usize = 4;
/// Time beyond the deadline of a call for which its caller waits for a response.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
/// Fraction of the load that is sent in the first half of the warm-up, while
/// the servers are still cold.
const RAMP_LOAD_FACTOR: f64 = 0.4;
/// Largest response body that a caller accepts.
const RESPONSE_MAX_BYTES: usize = 1 << 20;
/// Number of threads that run the callers.
const CALLER_THREADS: usize = 2;
/// Maximum number of connections that the callers have open to one VM. A call that
/// finds none free waits, and its latency includes the wait.
pub const CONNECTIONS_PER_VM_MAX: usize = 200;

/// Picks entry VMs for callers at random and keeps idle connections to them.
///
/// Stands in for the platform's balancer in front of the entry VMs.
pub struct Balancer {
    vms: Mutex<Vec<Target>>,
    idle: Mutex<Vec<(SocketAddr, Sender)>>,
    load_factor: Mutex<f64>,
}

/// A VM that accepts callers.
#[derive(Clone)]
struct Target {
    address: SocketAddr,
    /// Limits the connections in use. A connection is opened only if none is idle, so
    /// this limits the open connections too.
    slots: Arc<Semaphore>,
}

/// A connection in use by one call.
struct Conn {
    vm: SocketAddr,
    sender: Sender,
    _slot: SemaphoreGuardArc,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            slots: Arc::new(Semaphore::new(CONNECTIONS_PER_VM_MAX)),
        }
    }
}

impl Balancer {
    /// Returns a balancer over the VMs that accept callers at the addresses `vms`.
    pub fn new(vms: Vec<SocketAddr>) -> Self {
        Self {
            vms: Mutex::new(vms.into_iter().map(Target::new).collect()),
            idle: Mutex::default(),
            load_factor: Mutex::new(1.0),
        }
    }

    /// Removes the VM at address `vm`, as the platform does with a VM that is not
    /// ready, and closes the idle connections to it.
    pub fn remove(&self, vm: SocketAddr) {
        lock(&self.vms).retain(|known| known.address != vm);
        lock(&self.idle).retain(|(known, _)| *known != vm);
    }

    /// Sets the arrival rate to `factor` times the rate of the plan.
    pub fn set_load_factor(&self, factor: f64) {
        *lock(&self.load_factor) = factor;
    }

    fn pick(&self) -> Option<Target> {
        let vms = lock(&self.vms);
        if vms.is_empty() {
            return None;
        }
        Some(vms[fastrand::usize(..vms.len())].clone())
    }

    async fn connect(&self, target: Target, handle: &Handle) -> Result<Conn, client::Error> {
        let slot = target.slots.acquire_arc().await;
        let vm = target.address;
        let sender = self.take_idle_or_open(vm, handle).await?;
        Ok(Conn {
            vm,
            sender,
            _slot: slot,
        })
    }

    async fn take_idle_or_open(
        &self,
        vm: SocketAddr,
        handle: &Handle,
    ) -> Result<Sender, client::Error> {
        loop {
            let idle = {
                let mut idle = lock(&self.idle);
                let pos = idle.iter().rposition(|(known, _)| *known == vm);
                pos.map(|pos| idle.swap_remove(pos).1)
            };
            match idle {
                Some(sender) if sender.is_ready() => return Ok(sender),
                Some(_) => {}
                None => return client::connect(handle, vm, false).await,
            }
        }
    }

    fn put_idle(&self, conn: Conn) {
        lock(&self.idle).push((conn.vm, conn.sender));
    }
}

/// Generates the calls of one run and records their results.
pub struct Callers {
    plan: Arc<Plan>,
    balancer: Arc<Balancer>,
    clock: Clock,
    pool: ThreadPool,
    next_id: Arc<AtomicU64>,
    samples: Arc<Mutex<Vec<Sample>>>,
    in_flight: Arc<AtomicU64>,
}

/// Result of a call. The default is a call without a complete response.
struct CallResult {
    end: End,
    added: Option<Duration>,
    domain: Option<usize>,
    retries: u32,
}

impl Default for CallResult {
    fn default() -> Self {
        Self {
            end: End::Cut,
            added: None,
            domain: None,
            retries: 0,
        }
    }
}

struct Call {
    id: CallId,
    service: usize,
    post: bool,
    due: Time,
    start: Time,
}

impl Callers {
    /// Returns callers that generate the load of `plan` through `balancer`.
    pub fn new(plan: Arc<Plan>, balancer: Arc<Balancer>) -> Self {
        Self {
            plan,
            balancer,
            clock: Clock::new(),
            pool: ThreadPool::new("callers", CALLER_THREADS),
            next_id: Arc::new(AtomicU64::new(1)),
            samples: Arc::default(),
            in_flight: Arc::default(),
        }
    }

    /// Calls all services for `time`, waits for the calls in flight and returns
    /// the results.
    ///
    /// The wait is bounded by the longest deadline of a service plus two seconds;
    /// calls that are still in flight then are missing from the results.
    pub async fn run(self, time: Duration) -> Tally {
        let callers = Arc::new(self);
        let start = callers.clock.now();
        let mut tasks = Vec::new();
        for service in 0..callers.plan.services.len() {
            let generator = callers.clone().generate_calls(service, start, time);
            tasks.push(callers.pool.spawn(generator));
        }
        for task in tasks {
            task.await;
        }
        let longest = callers.plan.services.iter().map(|s| s.deadline).max();
        let idle = async {
            while callers.in_flight.load(Ordering::SeqCst) > 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        let wait = longest.unwrap_or_default() + RESPONSE_GRACE * 2;
        let _ = net::timeout(wait, idle).await;
        let samples = std::mem::take(&mut *lock(&callers.samples));
        Tally { samples }
    }

    async fn generate_calls(self: Arc<Self>, service: usize, start: Time, time: Duration) {
        let service_plan = &self.plan.services[service];
        let rate = self.plan.rate(service_plan);
        let seed = self.plan.seed ^ base::hash::of(&["callers", &service_plan.name]);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut due = start;
        let ramp = start + self.plan.warmup / 2;
        loop {
            let rate = if due < ramp {
                rate * RAMP_LOAD_FACTOR
            } else {
                rate
            };
            let rate = rate * *lock(&self.balancer.load_factor);
            due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if due >= start + time {
                return;
            }
            let wait = due.saturating_sub(self.clock.now());
            if !wait.is_zero() {
                standin::sleep(wait).await;
            }
            let call = Call {
                id: self.next_id.fetch_add(1, Ordering::SeqCst),
                service,
                post: rng.f64() < service_plan.posts,
                due,
                start,
            };
            self.in_flight.fetch_add(1, Ordering::SeqCst);
            let callers = self.clone();
            self.pool
                .spawn(async move { callers.run_call(call).await })
                .detach();
        }
    }

    async fn run_call(&self, call: Call) {
        let service_plan = &self.plan.services[call.service];
        standin::sleep(self.plan.latency.callers).await;
        let exchange = self.exchange(&call, service_plan);
        let result = net::timeout(service_plan.deadline + RESPONSE_GRACE, exchange).await;
        let result = result.unwrap_or_default();
        standin::sleep(self.plan.latency.callers).await;
        let sample = Sample {
            call: call.id,
            service: call.service,
            post: call.post,
            due: call.due - call.start,
            latency: self.clock.now().saturating_sub(call.due),
            added: result.added,
            domain: result.domain,
            retries: result.retries,
            end: result.end,
        };
        lock(&self.samples).push(sample);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    async fn exchange(&self, call: &Call, service_plan: &ServicePlan) -> CallResult {
        let mut request = Some(build_request(call, service_plan));
        for _ in 0..SEND_TRIES {
            let Some(vm) = self.balancer.pick() else {
                break;
            };
            let Ok(mut conn) = self.balancer.connect(vm, &self.pool.handle()).await else {
                continue;
            };
            let Some(sent) = request.take() else {
                break;
            };
            match conn.sender.send(sent).await {
                Ok(response) => return self.read_response(conn, response).await,
                Err(failed) => request = failed.unsent,
            }
            if request.is_none() {
                break;
            }
        }
        CallResult::default()
    }

    async fn read_response(
        &self,
        conn: Conn,
        response: http::Response<hyper::body::Incoming>,
    ) -> CallResult {
        let (parts, incoming) = response.into_parts();
        let Ok(bytes) = body::collect(incoming, RESPONSE_MAX_BYTES).await else {
            return CallResult::default();
        };
        self.balancer.put_idle(conn);
        let outcome = header_text(&parts.headers, &headers::OUTCOME);
        let end = match outcome {
            Some("served") if bytes.len() == standin::Model::default().response_bytes => {
                End::Served
            }
            Some("served") => End::Short,
            Some("not-run") => End::NotRun,
            _ => End::Unknown,
        };
        let domain = header_text(&parts.headers, &headers::DOMAIN);
        let domain = domain.and_then(|name| self.plan.domains.iter().position(|d| d == name));
        let attempts = header_text(&parts.headers, &headers::ATTEMPTS);
        let attempts: u32 = attempts.and_then(|n| n.parse().ok()).unwrap_or(1);
        CallResult {
            end,
            added: added_time(&parts.headers),
            domain,
            retries: attempts.saturating_sub(1),
        }
    }
}

fn build_request(call: &Call, service_plan: &ServicePlan) -> Request<Body> {
    let mut request = Request::new(body::empty());
    if call.post {
        *request.method_mut() = Method::POST;
        *request.body_mut() = body::full("activate");
    }
    if let Ok(uri) = format!("/{}", service_plan.name).parse() {
        *request.uri_mut() = uri;
    }
    let fields = request.headers_mut();
    fields.insert(header::HOST, header::HeaderValue::from_static("load"));
    fields.insert(CALL_ID, call.id.into());
    request
}

fn header_text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

/// Returns the time that the entry VM reports in `server-timing` to have added
/// to the call, or `None` if the header is absent or malformed.
fn added_time(fields: &HeaderMap) -> Option<Duration> {
    let timing = header_text(fields, &headers::SERVER_TIMING)?;
    let millis: f64 = timing.strip_prefix("snipepaddle;dur=")?.parse().ok()?;
    Some(Duration::from_secs_f64(millis / 1e3))
}
