//! Callers of a run: some open a connection for each request, some keep theirs
//! until the VM closes it, some send several requests at once, some leave early.

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
use crate::http::Reader;
use crate::record::Book;
use crate::record::CallId;
use crate::record::End;
use crate::record::Request;
use crate::record::Seal;
use crate::record::VmAt;

/// The time that a request is given.
const LIMIT: Duration = Duration::from_millis(1500);
/// The time beyond it in which an answer is still read.
const PATIENCE: Duration = Duration::from_secs(1);
/// The longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Requests that a caller sends at once, if it does so.
const AT_ONCE: usize = 3;
/// The share of callers who leave before the answer.
const LEAVES: f64 = 0.05;
/// How long those stay.
const STAY: Duration = Duration::from_millis(60);
/// Repeats of a request.
const REPEATS: u32 = 2;

/// A route as callers use it.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The first segment of the path.
    pub name: &'static str,
    /// Whether requests may be repeated.
    pub idempotent: bool,
}

/// The route whose service changes with every configuration.
pub const MOVING: Route = Route {
    name: "turn",
    idempotent: true,
};
/// The routes; the last one is the one that moves.
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
    MOVING,
];
/// The host of all routes.
pub const HOST: &str = "soak.example";

/// The VMs that the balancer in front gives new connections to.
#[derive(Clone, Default)]
pub struct Rotation(Arc<Mutex<Vec<(VmAt, SocketAddr)>>>);

impl Rotation {
    /// Sets who gets new connections.
    pub fn set(&self, vms: Vec<(VmAt, SocketAddr)>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = vms;
    }

    fn pick(&self, rng: &mut fastrand::Rng) -> Option<(VmAt, SocketAddr)> {
        let vms = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (!vms.is_empty()).then(|| vms[rng.usize(..vms.len())])
    }
}

/// An open connection.
struct Connection {
    vm: VmAt,
    stream: TcpStream,
    reader: Reader,
}

/// One caller.
pub struct Caller {
    book: Book,
    rotation: Rotation,
    rng: fastrand::Rng,
    connection: Option<Connection>,
}

impl Caller {
    /// Makes a caller with a seed of its own.
    pub fn new(book: &Book, rotation: &Rotation, seed: u64) -> Self {
        Self {
            book: book.clone(),
            rotation: rotation.clone(),
            rng: fastrand::Rng::with_seed(seed),
            connection: None,
        }
    }

    /// Calls with `pause` between two requests in the mean, for as long as it is
    /// polled.
    pub async fn run(mut self, pause: Duration) {
        loop {
            let wait = pause.mul_f64(-(1.0 - self.rng.f64()).ln());
            Timer::after(wait).await;
            let route = ROUTES[self.rng.usize(..ROUTES.len())];
            if route.name == "list" && self.rng.bool() {
                self.call_at_once(route).await;
            } else {
                self.call(route).await;
            }
        }
    }

    /// Sends a request, and again as long as that is allowed.
    async fn call(&mut self, route: Route) {
        for _ in 0..=REPEATS {
            let keep = self.rng.f64() < 0.7;
            let stays = self.rng.f64() >= LEAVES;
            let Some(mut connection) = self.connect().await else {
                return;
            };
            let id = self.begin(connection.vm, route);
            let text = text(id, route, if keep { "keep-alive" } else { "close" });
            if connection.stream.write_all(text.as_bytes()).await.is_err() {
                self.book.end(id, End::Closed);
                continue;
            }
            self.book.wrote(id);
            if !stays {
                Timer::after(STAY).await;
                self.book.end(id, End::Left);
                return;
            }
            let (end, answer) = read(&mut connection.reader).await;
            self.book.end(id, end.clone());
            let closes = answer.as_ref().is_none_or(Message::closes);
            if keep && !closes && !connection.reader.has_more() {
                self.connection = Some(connection);
            }
            if !may_repeat(&end, route) {
                return;
            }
            Timer::after(retry_after(answer.as_ref())).await;
        }
    }

    /// Sends several requests before the first is answered.
    async fn call_at_once(&mut self, route: Route) {
        let Some(mut connection) = self.connect().await else {
            return;
        };
        let ids: Vec<CallId> = (0..AT_ONCE)
            .map(|_| self.begin(connection.vm, route))
            .collect();
        let all: String = ids
            .iter()
            .map(|id| text(*id, route, "keep-alive"))
            .collect();
        let wrote = connection.stream.write_all(all.as_bytes()).await.is_ok();
        let mut open = wrote;
        for id in ids {
            if !open {
                // What was sent behind an answer that closes was not read.
                self.book.end(id, End::Left);
                continue;
            }
            self.book.wrote(id);
            let (end, answer) = read(&mut connection.reader).await;
            self.book.end(id, end);
            open = answer.is_some_and(|answer| !answer.closes());
        }
    }

    fn begin(&self, vm: VmAt, route: Route) -> CallId {
        self.book.begin(Request {
            id: 0,
            at: self.book.now(),
            vm,
            route: route.name,
            idempotent: route.idempotent,
            limit: LIMIT,
            end: None,
        })
    }

    async fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let (vm, address) = self.rotation.pick(&mut self.rng)?;
        let opened = async { TcpStream::connect(address).await.ok() };
        let stream = net::timeout(CONNECT, opened).await.flatten()?;
        let reader = Reader::new(stream.clone());
        Some(Connection { vm, stream, reader })
    }
}

fn text(id: CallId, route: Route, connection: &str) -> String {
    let method = if route.idempotent { "GET" } else { "POST" };
    let body = if route.idempotent { "" } else { "activate" };
    format!(
        "{method} /{}/{id} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {}\r\n\
         Connection: {connection}\r\ncontent-length: {}\r\n\r\n{body}",
        route.name,
        fields::CALL_ID,
        fields::TIME_LEFT_MS,
        LIMIT.as_millis(),
        body.len()
    )
}

/// Reads an answer; returns what became of the request.
async fn read(reader: &mut Reader) -> (End, Option<Message>) {
    match net::timeout(LIMIT + PATIENCE, reader.answer()).await {
        None => (End::Silence, None),
        Some(Ok(Some(answer))) => (judge(&answer), Some(answer)),
        Some(Ok(None) | Err(_)) => (End::Closed, None),
    }
}

fn judge(answer: &Message) -> End {
    let seal = answer.field(fields::SIGNATURE).and_then(|text| {
        let (status, hash) = text.split_once('.')?;
        Some(Seal {
            status: status.parse().ok()?,
            hash: hash.parse().ok()?,
        })
    });
    let body = String::from_utf8_lossy(&answer.body);
    let whole = seal.is_none_or(|seal| seal.hash == base::hash::of(&[&body]));
    let echo = answer.field(fields::CALL_ID).and_then(|id| id.parse().ok());
    End::Answer {
        status: answer.status,
        seal,
        echo,
        whole,
    }
}

fn may_repeat(end: &End, route: Route) -> bool {
    match end {
        End::Answer { status, .. } => match status {
            200..=299 | 400 | 401 | 404 | 413 | 431 => false,
            408 | 421 | 429 | 503 => true,
            _ => route.idempotent,
        },
        End::Closed | End::Silence => route.idempotent,
        End::Left => false,
    }
}

fn retry_after(answer: Option<&Message>) -> Duration {
    let text = answer.and_then(|answer| answer.field("retry-after"));
    let seconds = text.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    Duration::try_from_secs_f64(seconds)
        .unwrap_or_default()
        .min(LIMIT / 3)
}
