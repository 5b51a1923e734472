//! The backend servers of a run. A location keeps its address, while the server
//! instance at it changes with every restart.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Time;
use smol::channel;
use smol::io::AsyncWriteExt;
use smol::lock::Semaphore;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::Timer;
use stand::fields;
use stand::ServerEntry;
use stand::Store;

use crate::caller::team_of;
use crate::caller::LIMITED;
use crate::caller::TEAMS;
use crate::http::Message;
use crate::http::MessageReader;
use crate::link::Link;
use crate::record::CallId;
use crate::record::InstanceIndex;
use crate::record::Key;
use crate::record::Misnamed;
use crate::record::Recorder;
use crate::record::ServerInstance;
use crate::record::ServerNotice;

/// The backoff after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The number of calls that a server executes concurrently.
pub const SLOTS: u32 = 3;
/// The maximum number of calls queued in a server; more are refused with status 503.
const QUEUE_MAX: u32 = 6;
/// The mean of the exponentially distributed execution time of a call.
const SERVICE_TIME_MEAN: Duration = Duration::from_millis(30);
/// The factor by which a cold server is slower.
const COLD_SLOWDOWN: f64 = 2.0;
/// The approximate maximum size of a response body.
const BODY_MAX_BYTES: usize = 6000;
/// The share of calls on which a faulty server fails.
const FAULT_SHARE: f64 = 0.3;

/// The share of calls on which a server of a bad version fails.
const BAD_VERSION_SHARE: f64 = 0.5;
/// The version of servers at first.
const VERSION: &str = "v1";

/// How a server handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Executes calls and responds to them without faults.
    Normal,
    /// Takes this factor longer for each call.
    Slow(f64),
    /// Responds to some calls with status 500 after executing them.
    IntermittentErrors,
    /// Responds to half of the calls with status 500, as a bad version does.
    BadVersion,
    /// Responds to some calls with wrong bytes after executing them.
    CorruptResponses,
    /// Executes calls, but closes the connection of some instead of responding.
    LostResponses,
    /// Reads calls and neither executes them nor responds.
    Unresponsive,
    /// Refuses calls and asks for a rest of this many seconds.
    Resting(u64),
}

struct State {
    instance: InstanceIndex,
    version: &'static str,
    entry: ServerEntry,
    name: String,
    behavior: Behavior,
    /// Whether all responses say that the server leaves.
    leaving: bool,
    /// The calls a second that all responses name as a limit.
    rate_limit: Option<u64>,
    up: bool,
    /// Whether the server repeats its announcement, until its entry is removed.
    announces: bool,
    /// Whether the entry in the store has lapsed although the server is up.
    lapsed: bool,
    cold_until: Time,
    running: u32,
    waiting: u32,
    slots: Arc<Semaphore>,
    /// Open connections with the id of each, which is the value of `accepted` when the
    /// connection was accepted.
    connections: Vec<(u64, TcpStream)>,
    accepted: u64,
    rng: fastrand::Rng,
}

/// The part of a path that makes a server crash while it executes the request.
pub const POISON_MARK: &str = "poison";

/// An address at which one server instance after another runs.
#[derive(Clone)]
pub struct Location {
    /// The proxy to the server, whose address is announced in the store.
    pub link: Link,
    index: usize,
    domain: &'static str,
    recorder: Recorder,
    /// Receives the index of the location when its server crashes under a request.
    crashes: channel::Sender<usize>,
    state: Arc<Mutex<State>>,
}

impl State {
    /// Returns the server's entry in the store.
    fn spec(&self) -> serde_json::Value {
        let mut spec = self.entry.to_json();
        spec["info"]["version"] = self.version.into();
        spec
    }
}

/// Counts a call as waiting or running in the state of its server until it is dropped.
/// The counts of a later instance are left alone.
struct AdmissionGuard<'a> {
    location: &'a Location,
    instance: InstanceIndex,
    running: bool,
}

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.location.lock();
        if state.instance == self.instance {
            if self.running {
                state.running -= 1;
            } else {
                state.waiting -= 1;
            }
        }
    }
}

impl Location {
    /// Opens location `index` on `address` and starts a warm server instance there. Crashes
    /// under requests are sent to `crashes`.
    ///
    /// # Errors
    ///
    /// Fails if `address` cannot be bound.
    pub async fn open(
        index: usize,
        address: SocketAddr,
        domain: &'static str,
        service: &'static str,
        recorder: &Recorder,
        crashes: channel::Sender<usize>,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let link = Link::open(listener.local_addr()?).await?;
        let entry = ServerEntry {
            address: link.address(),
            service: service.into(),
            domain: domain.into(),
            slots: SLOTS,
            draining: false,
            cold_left: Duration::ZERO,
            started_ms: 0,
            announced: 1,
        };
        let location = Self {
            link,
            index,
            domain,
            recorder: recorder.clone(),
            crashes,
            state: Arc::new(Mutex::new(State {
                instance: 0,
                version: VERSION,
                entry,
                name: String::new(),
                behavior: Behavior::Normal,
                leaving: false,
                rate_limit: None,
                up: false,
                announces: false,
                lapsed: false,
                cold_until: Time::ZERO,
                running: 0,
                waiting: 0,
                slots: Arc::new(Semaphore::new(SLOTS as usize)),
                connections: Vec::new(),
                accepted: 0,
                rng: fastrand::Rng::with_seed(seed),
            })),
        };
        location.start_instance(service, Duration::ZERO);
        let acceptor = location.clone();
        smol::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(ACCEPT_BACKOFF).await;
                    continue;
                };
                let location = acceptor.clone();
                smol::spawn(async move { location.serve_connection(stream).await }).detach();
            }
        })
        .detach();
        Ok(location)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a new server instance of `service`, which is cold for the time `cold`; a
    /// warm one if zero.
    pub fn start_instance(&self, service: &'static str, cold: Duration) {
        let until = self.recorder.now() + cold;
        let version = self.lock().version;
        let mut record = self.recorder.lock();
        let life = record.instances.len();
        let name = format!("i-{life:04}");
        record.instances.push(ServerInstance {
            location: self.index,
            name: name.clone(),
            service,
            version,
            domain: self.domain,
            cold_until: if cold.is_zero() { Time::ZERO } else { until },
            leaving_since: None,
        });
        drop(record);
        let mut state = self.lock();
        state.instance = life;
        state.name = name;
        state.entry.service = service.into();
        state.entry.draining = false;
        state.entry.cold_left = cold;
        state.entry.started_ms = unix_millis();
        state.up = true;
        state.announces = true;
        state.leaving = false;
        state.rate_limit = None;
        state.cold_until = until;
        state.running = 0;
        state.waiting = 0;
        state.slots = Arc::new(Semaphore::new(SLOTS as usize));
    }

    /// Repeats the server's announcement to the store, if the server is up and announces
    /// itself.
    pub fn repeat_announcement(&self, store: &Store) {
        let mut state = self.lock();
        if state.up && state.announces {
            state.entry.announced += 1;
            store.repeat(&state.name, &state.spec());
        }
    }

    /// Writes the server's entry to the store.
    pub fn write_entry(&self, store: &Store) {
        let mut state = self.lock();
        state.lapsed = false;
        state.entry.announced += 1;
        store.put(stand::SERVERS_KIND, &state.name, state.spec());
    }

    /// Deletes the entry of a server that is up, as after an outage of the store in which
    /// the server could not write it.
    pub fn lapse_entry(&self, store: &Store) {
        let mut state = self.lock();
        if state.up {
            state.lapsed = true;
            store.delete(stand::SERVERS_KIND, &state.name);
        }
    }

    /// Writes the server's entry again if it has lapsed and the server is still up.
    pub fn restore_entry(&self, store: &Store) {
        let state = self.lock();
        let is_due = state.lapsed && state.up;
        drop(state);
        if is_due {
            self.write_entry(store);
        }
    }

    /// Makes all responses of the server say that it leaves. It still serves calls.
    pub fn start_leaving(&self) {
        self.lock().leaving = true;
    }

    /// Announces in the store that the server drains. It still serves calls.
    pub fn start_draining(&self, store: &Store) {
        self.start_leaving();
        self.lock().entry.draining = true;
        self.write_entry(store);
        let instance = self.lock().instance;
        self.record_leaving(instance);
    }

    /// Deletes the server's entry from the store.
    pub fn remove_entry(&self, store: &Store) {
        let (name, instance) = {
            let mut state = self.lock();
            state.lapsed = false;
            state.announces = false;
            (state.name.clone(), state.instance)
        };
        store.delete(stand::SERVERS_KIND, &name);
        self.record_leaving(instance);
    }

    /// Records that the store acknowledged, now or before, that the instance leaves.
    fn record_leaving(&self, instance: InstanceIndex) {
        let now = self.recorder.now();
        if let Some(instance) = self.recorder.lock().instances.get_mut(instance) {
            instance.leaving_since.get_or_insert(now);
        }
    }

    /// Stops the server instance at once, as a crash of its process does. Its address
    /// refuses connections until [`Location::accept_again`].
    pub async fn crash(&self) {
        self.link.set_listening(false).await;
        self.shut_down();
    }

    /// Accepts connections again after a crash.
    pub async fn accept_again(&self) {
        self.link.set_listening(true).await;
    }

    /// Stops the server instance at once and closes all its connections.
    pub fn shut_down(&self) {
        let mut state = self.lock();
        state.up = false;
        for (_, stream) in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sets the version of the server that runs and of later ones, before the entry is
    /// written.
    pub fn set_version(&self, version: &'static str) {
        let mut state = self.lock();
        state.version = version;
        let instance = state.instance;
        drop(state);
        self.recorder.lock().instances[instance].version = version;
    }

    /// Sets how the server handles calls from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.lock().behavior = behavior;
    }

    /// Sets the calls a second that all responses of the server name as a limit.
    pub fn set_rate_limit(&self, per_second: Option<u64>) {
        self.lock().rate_limit = per_second;
    }

    /// Serves a connection and keeps it registered meanwhile, so that `shut_down` can
    /// close it.
    async fn serve_connection(&self, stream: TcpStream) {
        let (instance, connection_id) = {
            let mut state = self.lock();
            if !state.up {
                return;
            }
            state.accepted += 1;
            let connection_id = state.accepted;
            state.connections.push((connection_id, stream.clone()));
            (state.instance, connection_id)
        };
        self.serve_requests(instance, stream).await;
        self.lock()
            .connections
            .retain(|(id, _)| *id != connection_id);
    }

    /// Serves the requests of a connection one after another. A request is abandoned
    /// when its caller closes the connection.
    async fn serve_requests(&self, instance: InstanceIndex, mut stream: TcpStream) {
        let mut reader = MessageReader::new(stream.clone());
        while let Ok(Some(request)) = reader.read_request().await {
            if self.lock().behavior == Behavior::Unresponsive {
                reader.wait_closed().await;
                return;
            }
            let response = self.respond(instance, &request);
            let closed = async {
                reader.wait_closed().await;
                None
            };
            let Some(text) = futures_lite::future::or(response, closed).await else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if stream.write_all(&text).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether `instance` is the one that runs at the location.
    fn is_current(&self, instance: InstanceIndex) -> bool {
        let state = self.lock();
        state.up && state.instance == instance
    }

    /// Records a request that names another team than that of its route, or has a key.
    /// Whether the team of a key that moves is the right one is checked after the run.
    fn check_team(&self, call: CallId, request: &Message) {
        let route = request.path.split('/').nth(1).unwrap_or_default();
        let named = request.field(fields::TEAM);
        let has_key = request.field(fields::KEY).is_some();
        let record = self.recorder.lock();
        let sent = record.requests.get(call as usize);
        let expected = match sent.map(|sent| sent.key) {
            Some(Key::Moving) => named,
            Some(Key::Limited(index)) => Some(LIMITED[index].name),
            _ => team_of(route),
        };
        drop(record);
        if named != expected || has_key {
            let text = format!("a server got team {named:?}, not {expected:?}; key: {has_key}");
            let at = self.recorder.now();
            let misnamed = Misnamed { call, at, text };
            self.recorder.lock().misnamed.push(misnamed);
        }
    }

    /// Executes a request and returns the bytes of the response, or `None` if the
    /// connection is to be closed without one.
    async fn respond(&self, instance: InstanceIndex, request: &Message) -> Option<Vec<u8>> {
        if request.path == "/health" {
            return Some(self.health_response());
        }
        let text = request
            .field(fields::CALL_ID)
            .unwrap_or_default()
            .to_owned();
        let call = text.parse().unwrap_or_default();
        let named = request.field(fields::TEAM);
        let team = TEAMS.into_iter().find(|team| named == Some(team));
        let arrival = self.recorder.record_arrival(call, instance, team);
        self.check_team(call, request);
        let name = self.lock().name.clone();
        if request
            .field(fields::EXPECTED_INSTANCE)
            .is_some_and(|target| target != name)
        {
            return Some(self.refusal(421, &text, None));
        }
        let mut guard = {
            let mut state = self.lock();
            if let Behavior::Resting(secs) = state.behavior {
                drop(state);
                let notice = ServerNotice::Rest(Duration::from_secs(secs));
                self.recorder.record_notice(call, instance, notice);
                return Some(self.refusal(503, &text, Some(secs)));
            }
            if state.waiting >= QUEUE_MAX {
                drop(state);
                return Some(self.refusal(503, &text, None));
            }
            state.waiting += 1;
            AdmissionGuard {
                location: self,
                instance,
                running: false,
            }
        };
        let slots = self.lock().slots.clone();
        let _slot = slots.acquire_arc().await;
        let (time, behavior, faulty) = {
            let mut state = self.lock();
            state.waiting = state.waiting.saturating_sub(1);
            state.running += 1;
            guard.running = true;
            let factor = match state.behavior {
                Behavior::Slow(factor) => factor,
                _ => 1.0,
            };
            let cold = if self.recorder.now() < state.cold_until {
                COLD_SLOWDOWN
            } else {
                1.0
            };
            let draw = -(1.0 - state.rng.f64()).ln() * factor * cold;
            (
                SERVICE_TIME_MEAN.mul_f64(draw),
                state.behavior,
                match state.behavior {
                    Behavior::BadVersion => state.rng.f64() < BAD_VERSION_SHARE,
                    _ => state.rng.f64() < FAULT_SHARE,
                },
            )
        };
        self.recorder.mark_executed(arrival);
        Timer::after(time).await;
        drop(guard);
        if request.path.contains(POISON_MARK) {
            // Only the first of several such requests that run at once.
            if self.is_current(instance) {
                self.crash().await;
                let _ = self.crashes.send(self.index).await;
            }
            return None;
        }
        let (leaving, rate_limit) = {
            let state = self.lock();
            (state.leaving, state.rate_limit)
        };
        let notices = [
            leaving.then_some(ServerNotice::Leaving),
            rate_limit.map(ServerNotice::RateLimit),
        ];
        for notice in notices.into_iter().flatten() {
            self.recorder.record_notice(call, instance, notice);
        }
        match behavior {
            Behavior::IntermittentErrors if faulty => Some(self.signed_response(500, &text)),
            Behavior::BadVersion if faulty => {
                let at = self.recorder.now();
                self.recorder.lock().bad_responses.push((at, instance));
                Some(self.signed_response(500, &text))
            }
            Behavior::CorruptResponses if faulty => Some(self.corrupt_response(&text)),
            Behavior::LostResponses if faulty => None,
            _ => Some(self.signed_response(200, &text)),
        }
    }

    fn response_head(&self, status: u16, length: usize) -> String {
        let state = self.lock();
        let (running, waiting) = (state.running, state.waiting);
        let leaving = if state.leaving {
            format!("{}: 1\r\n", fields::LEAVING)
        } else {
            String::new()
        };
        let rate_limit = state.rate_limit.map_or(String::new(), |per_second| {
            format!("{}: {per_second}\r\n", fields::RATE_LIMIT)
        });
        format!(
            "HTTP/1.1 {status} X\r\n{}: {}\r\n{}: {running},{waiting},{SLOTS},100\r\n\
             {leaving}{rate_limit}content-length: {length}\r\n",
            fields::INSTANCE_ID,
            state.name,
            fields::LOAD,
        )
    }

    /// Returns the response to a health check: status 503 while the server drains, and
    /// the remaining cold time as long as it is cold.
    fn health_response(&self) -> Vec<u8> {
        let status = if self.lock().entry.draining { 503 } else { 200 };
        let cold = self.lock().cold_until.saturating_sub(self.recorder.now());
        let cold = if cold.is_zero() {
            String::new()
        } else {
            format!(
                "{}: {:.3}\r\n",
                fields::REMAINING_COLD_SECS,
                cold.as_secs_f64()
            )
        };
        (self.response_head(status, 0) + &cold + "\r\n").into_bytes()
    }

    /// Returns a response that says that the call did not run, and for how many seconds
    /// the server wants no others.
    fn refusal(&self, status: u16, id: &str, rest_secs: Option<u64>) -> Vec<u8> {
        let head = self.response_head(status, 0);
        let rest = match rest_secs {
            Some(secs) => format!("{}: {secs}\r\n", fields::RETRY_AFTER),
            None => String::new(),
        };
        let text = format!(
            "{head}{rest}{}: 1\r\n{}: {id}\r\n\r\n",
            fields::NOT_RUN,
            fields::CALL_ID
        );
        text.into_bytes()
    }

    /// Returns a response with a body of a random size and its signature.
    fn signed_response(&self, status: u16, id: &str) -> Vec<u8> {
        let size = 1 + self.lock().rng.usize(..BODY_MAX_BYTES / id.len().max(1));
        let body = id.repeat(size);
        let head = self.response_head(status, body.len());
        let hash = base::hash::of(&[&body]);
        let signature = format!("{}: {status}.{hash}\r\n", fields::SIGNATURE);
        format!("{head}{signature}{}: {id}\r\n\r\n{body}", fields::CALL_ID).into_bytes()
    }

    /// Returns a response with a fault of a random kind: not HTTP, the body and id of
    /// another request, a second response that nobody requested, or a truncated body.
    fn corrupt_response(&self, id: &str) -> Vec<u8> {
        let mut response = self.signed_response(200, id);
        let kind = self.lock().rng.u8(..4);
        match kind {
            0 => b"nothing that was asked for\r\n\r\n".to_vec(),
            1 => self.signed_response(200, "999999999"),
            2 => {
                response.extend_from_slice(&self.unsolicited_response());
                response
            }
            _ => {
                // The body is one byte shorter than its content-length, and the
                // connection stays open.
                response.truncate(response.len() - 1);
                response
            }
        }
    }

    fn unsolicited_response(&self) -> Vec<u8> {
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno".to_vec()
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
