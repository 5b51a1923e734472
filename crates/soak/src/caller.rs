//! The callers of a run. A caller draws for each request whether it keeps the
//! connection for the next one, pipelines several requests, or abandons the request
//! before the response.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::Timer;
use stand::fields;

use crate::http::Message;
use crate::http::MessageReader;
use crate::record::CallId;
use crate::record::Key;
use crate::record::Recorder;
use crate::record::Request;
use crate::record::RequestEnd;
use crate::record::Signature;
use crate::record::VmIndex;
use crate::server::POISON_MARK;

/// The time limit that a caller sends with a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// How much longer than [`REQUEST_TIMEOUT`] a caller waits for the response, which may
/// arrive a little after the time limit.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of requests that a caller pipelines.
const PIPELINE_DEPTH: usize = 3;
/// One request in so many is sent with its first bytes one by one, at most so many of them.
const PIECES_PERIOD: CallId = 5;
const PIECES_MAX: usize = 8;
/// The time between such bytes.
const PIECE_PAUSE: Duration = Duration::from_millis(4);
/// The share of requests that callers abandon before the response.
const ABANDON_SHARE: f64 = 0.05;
/// How long a caller waits before it abandons a request.
const ABANDON_DELAY: Duration = Duration::from_millis(60);
/// The time between the response to a request that makes servers crash and its repeat.
const POISON_PAUSE: Duration = Duration::from_millis(80);
/// How long a caller keeps a key that configurations change.
const KEY_TIME_MIN: Duration = Duration::from_secs(6);
const KEY_TIME_MAX: Duration = Duration::from_secs(14);
/// The share of requests of a team with a quota before which its callers close their
/// connection, so that they reach all VMs.
const RECONNECT_SHARE: f64 = 0.1;
/// The field that names the reason of a refusal, and the reason of one for a quota.
const REASON: &str = "snipepaddle-reason";
const QUOTA_REASON: &str = "quota";
/// The maximum number of retries of a request by its caller.
const RETRIES_MAX: u32 = 2;

/// A route of the configuration, as callers use it.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The name of the route, which is the first segment of its paths.
    pub name: &'static str,
    /// Whether requests may be executed more than once.
    pub idempotent: bool,
}

/// The route whose service changes with every configuration.
pub const MOVING_ROUTE: Route = Route {
    name: "turn",
    idempotent: true,
};
/// The routes. All but the last lead to the service at the same index in
/// [`SERVICES`](crate::schedule::SERVICES); the last is [`MOVING_ROUTE`].
pub const ROUTES: [Route; 4] = [
    Route {
        name: "read",
        idempotent: true,
    },
    Route {
        name: "write",
        idempotent: false,
    },
    Route {
        name: "list",
        idempotent: true,
    },
    MOVING_ROUTE,
];
/// The teams that make the requests.
pub const TEAMS: [&str; 2] = ["reds", "blues"];
/// A team with a quota, which makes requests on all routes.
#[derive(Clone, Copy, Debug)]
pub struct Limited {
    /// The name of the team.
    pub name: &'static str,
    /// The calls a second that the team may make.
    pub rate: f64,
    /// The number of calls that it may make on top.
    pub burst: f64,
}

/// The teams with quotas. The first one sends far more requests, the second one fewer.
pub const LIMITED: [Limited; 2] = [
    Limited {
        name: "greens",
        rate: 6.0,
        burst: 6.0,
    },
    Limited {
        name: "golds",
        rate: 20.0,
        burst: 20.0,
    },
];
/// The index in [`LIMITED`] of the team that sends more than its quota.
pub const GREEDY: usize = 0;
/// The index in [`LIMITED`] of the team that stays within its quota.
pub const MODEST: usize = 1;
/// The host of all routes.
pub const HOST: &str = "soak.example";

/// Returns the team that makes the requests of the route called `route`.
pub fn team_of(route: &str) -> Option<&'static str> {
    let index = ROUTES.iter().position(|known| known.name == route)?;
    Some(TEAMS[index % TEAMS.len()])
}

/// Returns the key of `team`, which callers send.
pub fn key_of(team: &str) -> String {
    format!("key-of-{team}")
}

/// The key that each configuration gives to another team.
pub const MOVING_KEY: &str = "key-that-moves";

/// Returns the team that has [`MOVING_KEY`] in the configuration at index `number`.
pub fn moving_team(number: usize) -> &'static str {
    TEAMS[number % TEAMS.len()]
}

/// Returns the key of `team` that only the configuration at index `number` has.
pub fn passing_key(team: &str, number: usize) -> String {
    format!("{team}-{number}")
}

/// The VMs that get new connections, as the load balancer in front of the entry VMs
/// would choose them by their readiness.
#[derive(Clone, Default)]
pub struct Rotation(Arc<Mutex<Vec<(VmIndex, SocketAddr)>>>);

impl Rotation {
    /// Sets the VMs that get new connections.
    pub fn set(&self, vms: Vec<(VmIndex, SocketAddr)>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = vms;
    }

    fn pick(&self, rng: &mut fastrand::Rng) -> Option<(VmIndex, SocketAddr)> {
        let vms = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (!vms.is_empty()).then(|| vms[rng.usize(..vms.len())])
    }
}

/// An open connection to a VM.
struct Connection {
    vm: VmIndex,
    stream: TcpStream,
    reader: MessageReader,
}

impl Connection {
    /// Sends the text of the request `id`, and in some cases its first bytes one by one.
    async fn send(&mut self, text: &str, id: CallId) -> io::Result<()> {
        let alone = match id % PIECES_PERIOD {
            0 => 1 + (id / PIECES_PERIOD) as usize % PIECES_MAX,
            _ => 0,
        };
        let (first, rest) = text.as_bytes().split_at(alone.min(text.len()));
        for byte in first.chunks(1) {
            self.stream.write_all(byte).await?;
            Timer::after(PIECE_PAUSE).await;
        }
        self.stream.write_all(rest).await
    }
}

/// A caller, which sends one request after another.
pub struct Caller {
    recorder: Recorder,
    rotation: Rotation,
    rng: fastrand::Rng,
    connection: Option<Connection>,
}

impl Caller {
    /// Returns a caller without a connection. `seed` determines what the caller draws.
    pub fn new(recorder: &Recorder, rotation: &Rotation, seed: u64) -> Self {
        Self {
            recorder: recorder.clone(),
            rotation: rotation.clone(),
            rng: fastrand::Rng::with_seed(seed),
            connection: None,
        }
    }

    /// Sends requests until the task is dropped. The pauses between requests are
    /// exponentially distributed with mean `pause`.
    pub async fn run(mut self, pause: Duration) {
        loop {
            let wait = pause.mul_f64(-(1.0 - self.rng.f64()).ln());
            Timer::after(wait).await;
            let route = ROUTES[self.rng.usize(..ROUTES.len())];
            if route.name == "list" && self.rng.bool() {
                self.pipeline_requests(route).await;
            } else {
                self.call_with_retries(route).await;
            }
        }
    }

    /// Sends a request and retries it as far as its end and [`RETRIES_MAX`] allow.
    async fn call_with_retries(&mut self, route: Route) {
        for _ in 0..=RETRIES_MAX {
            let keep = self.rng.f64() < 0.7;
            let waits = self.rng.f64() >= ABANDON_SHARE;
            let Some(mut connection) = self.connect().await else {
                return;
            };
            let id = self.begin_request(connection.vm, route, Key::Lasting, None);
            let end = if keep { "keep-alive" } else { "close" };
            let text = request_text(id, route, Key::Lasting, &id.to_string(), end);
            if connection.send(&text, id).await.is_err() {
                self.recorder.end_request(id, RequestEnd::ConnectionClosed);
                continue;
            }
            self.recorder.mark_sent(id);
            if !waits {
                Timer::after(ABANDON_DELAY).await;
                self.recorder.end_request(id, RequestEnd::Abandoned);
                return;
            }
            let (end, response) = read_response(&mut connection.reader).await;
            self.recorder.end_request(id, end.clone());
            let closes_connection = response.as_ref().is_none_or(Message::closes_connection);
            if keep && !closes_connection && !connection.reader.has_buffered() {
                self.connection = Some(connection);
            }
            if !may_retry(&end, route) {
                return;
            }
            Timer::after(retry_after(response.as_ref())).await;
        }
    }

    /// Sends [`PIPELINE_DEPTH`] requests on one connection before reading a response.
    async fn pipeline_requests(&mut self, route: Route) {
        let Some(mut connection) = self.connect().await else {
            return;
        };
        let ids: Vec<CallId> = (0..PIPELINE_DEPTH)
            .map(|_| self.begin_request(connection.vm, route, Key::Lasting, None))
            .collect();
        let all: String = ids
            .iter()
            .map(|id| request_text(*id, route, Key::Lasting, &id.to_string(), "keep-alive"))
            .collect();
        let wrote = connection.send(&all, ids[0]).await.is_ok();
        let mut open = wrote;
        for id in ids {
            if !open {
                // After a response that closes the connection, the VM does not read
                // the requests that follow.
                self.recorder.end_request(id, RequestEnd::Abandoned);
                continue;
            }
            self.recorder.mark_sent(id);
            let (end, response) = read_response(&mut connection.reader).await;
            self.recorder.end_request(id, end);
            open = response.is_some_and(|response| !response.closes_connection());
        }
    }

    /// Repeats a request for `duration` that makes each server crash which executes it. Each
    /// repeat is sent to some VM on a connection of its own.
    pub async fn repeat_poison(mut self, index: usize, route: Route, duration: Duration) {
        let end = self.recorder.now() + duration;
        while self.recorder.now() < end {
            Timer::after(POISON_PAUSE).await;
            let Some(mut connection) = self.connect().await else {
                continue;
            };
            let id = self.begin_request(connection.vm, route, Key::Lasting, Some(index));
            let name = format!("{POISON_MARK}-{index}");
            let text = request_text(id, route, Key::Lasting, &name, "close");
            if connection.send(&text, id).await.is_ok() {
                self.recorder.mark_sent(id);
                let (end, _) = read_response(&mut connection.reader).await;
                self.recorder.end_request(id, end);
            }
        }
    }

    /// Sends requests until the task is dropped, each on the connection of the one before
    /// if that is open. For a key of one configuration, `key` only says so: the caller uses
    /// the one of the newest configuration for a while and then again of the newest.
    pub async fn run_with_keys(mut self, key: Key, pause: Duration) {
        loop {
            let newest = self.recorder.lock().tickets.len().saturating_sub(1);
            let key = match key {
                Key::Passing(_) => Key::Passing(newest),
                other => other,
            };
            let time = KEY_TIME_MIN + (KEY_TIME_MAX - KEY_TIME_MIN).mul_f64(self.rng.f64());
            let end = self.recorder.now() + time;
            while self.recorder.now() < end {
                Timer::after(pause).await;
                let route = ROUTES[self.rng.usize(..ROUTES.len())];
                if matches!(key, Key::Limited(_)) && self.rng.f64() < RECONNECT_SHARE {
                    self.connection = None;
                }
                self.call_once(route, key).await;
            }
        }
    }

    /// Sends a request without retries and keeps the connection if the response allows it.
    async fn call_once(&mut self, route: Route, key: Key) {
        let Some(mut connection) = self.connect().await else {
            return;
        };
        let id = self.begin_request(connection.vm, route, key, None);
        let text = request_text(id, route, key, &id.to_string(), "keep-alive");
        if connection.send(&text, id).await.is_err() {
            self.recorder.end_request(id, RequestEnd::ConnectionClosed);
            return;
        }
        self.recorder.mark_sent(id);
        let (end, response) = read_response(&mut connection.reader).await;
        self.recorder.end_request(id, end);
        let is_open = response.is_some_and(|response| !response.closes_connection());
        if is_open && !connection.reader.has_buffered() {
            self.connection = Some(connection);
        }
    }

    fn begin_request(&self, vm: VmIndex, route: Route, key: Key, poison: Option<usize>) -> CallId {
        self.recorder.begin_request(Request {
            id: 0,
            at: self.recorder.now(),
            vm,
            route: route.name,
            idempotent: route.idempotent,
            key,
            timeout: REQUEST_TIMEOUT,
            poison,
            end: None,
        })
    }

    async fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let (vm, address) = self.rotation.pick(&mut self.rng)?;
        let opened = async { TcpStream::connect(address).await.ok() };
        let stream = net::timeout(CONNECT_TIMEOUT, opened).await.flatten()?;
        let _ = stream.set_nodelay(true);
        let reader = MessageReader::new(stream.clone());
        Some(Connection { vm, stream, reader })
    }
}

fn request_text(id: CallId, route: Route, key: Key, name: &str, connection: &str) -> String {
    let method = if route.idempotent { "GET" } else { "POST" };
    let body = if route.idempotent { "" } else { "activate" };
    let team = team_of(route.name).unwrap_or_default();
    let key = match key {
        Key::Lasting => key_of(team),
        Key::Passing(number) => passing_key(team, number),
        Key::Moving => MOVING_KEY.into(),
        Key::Limited(index) => key_of(LIMITED[index].name),
    };
    format!(
        "{method} /{}/{name} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {}\r\n\
         {}: {key}\r\n{}: forged\r\n\
         Connection: {connection}\r\ncontent-length: {}\r\n\r\n{body}",
        route.name,
        fields::CALL_ID,
        fields::TIME_LEFT_MS,
        REQUEST_TIMEOUT.as_millis(),
        fields::KEY,
        fields::TEAM,
        body.len()
    )
}

/// Reads a response; returns the end of its request and the response, if there is one.
async fn read_response(reader: &mut MessageReader) -> (RequestEnd, Option<Message>) {
    match net::timeout(REQUEST_TIMEOUT + RESPONSE_GRACE, reader.read_response()).await {
        None => (RequestEnd::Timeout, None),
        Some(Ok(Some(response))) => (check_response(&response), Some(response)),
        Some(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
            (RequestEnd::Malformed, None)
        }
        Some(Ok(None) | Err(_)) => (RequestEnd::ConnectionClosed, None),
    }
}

/// Compares a response with its signature and returns the end of the request.
fn check_response(response: &Message) -> RequestEnd {
    let signature = response.field(fields::SIGNATURE).and_then(|text| {
        let (status, hash) = text.split_once('.')?;
        Some(Signature {
            status: status.parse().ok()?,
            hash: hash.parse().ok()?,
        })
    });
    let body = String::from_utf8_lossy(&response.body);
    let intact = signature.is_none_or(|signature| signature.hash == base::hash::of(&[&body]));
    let echoed_id = response
        .field(fields::CALL_ID)
        .and_then(|id| id.parse().ok());
    RequestEnd::Response {
        status: response.status,
        signature,
        echoed_id,
        intact,
        over_quota: response.field(REASON) == Some(QUOTA_REASON),
    }
}

/// Returns whether a caller may retry a request that ended so. Requests that are not
/// idempotent are retried only after a status that says that the request did not run.
fn may_retry(end: &RequestEnd, route: Route) -> bool {
    match end {
        RequestEnd::Response { status, .. } => match status {
            200..=299 | 400 | 401 | 404 | 413 | 431 => false,
            408 | 421 | 429 | 503 => true,
            _ => route.idempotent,
        },
        RequestEnd::ConnectionClosed | RequestEnd::Malformed | RequestEnd::Timeout => {
            route.idempotent
        }
        RequestEnd::Abandoned => false,
    }
}

/// Returns the delay before a retry: the `retry-after` field of the response if it has
/// one, and at most a third of [`REQUEST_TIMEOUT`].
fn retry_after(response: Option<&Message>) -> Duration {
    let text = response.and_then(|response| response.field("retry-after"));
    let seconds = text.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    Duration::try_from_secs_f64(seconds)
        .unwrap_or_default()
        .min(REQUEST_TIMEOUT / 3)
}
