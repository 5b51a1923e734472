//! An upstream: `slots` requests at a time, a short queue, health checks, and an entry in
//! the store.

use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::free_port;
use crate::now;
use crate::record;
use crate::store::field;
use crate::store::read_request;
use crate::store::Store;

/// The number of requests that wait for a slot.
const QUEUE: usize = 6;
/// The interval of the upstream's writes to the store (`heartbeat_s`).
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub server: String,
    pub id: String,
    /// Whether it got a slot, so that it has run.
    pub ran: bool,
    /// When its work ended; none if it has not, or was dropped.
    pub ended: Option<f64>,
    /// When it was dropped because its connection closed.
    pub dropped: Option<f64>,
    /// Whether it crashed the upstream.
    pub crashed: bool,
    /// Whether the upstream broke off its answer.
    pub broken: bool,
}

/// What all upstreams have seen, in order.
#[derive(Clone, Default)]
pub struct Log(pub Arc<Mutex<Vec<Arrival>>>);

impl Log {
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }
}

/// How an upstream behaves; changed while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Normal,
    /// Answers with interim heads without end, until the caller closes.
    Interim,
    /// Answers with bodies of this many bytes, and breaks off each `every`-th answer midway;
    /// none if `every` is 0.
    Large {
        bytes: usize,
        every: u64,
    },
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub port: u16,
    pub born: u64,
    work: Duration,
    pub mode: Mutex<Mode>,
    pub leaving: AtomicBool,
    /// Ends as soon as it begins to run a request of the caller with this address.
    pub poison: Mutex<Option<String>>,
    announces: AtomicBool,
    alive: AtomicBool,
    /// Whether new connections are refused.
    closed: AtomicBool,
    ended: Mutex<f64>,
    seq: AtomicU64,
    answers: AtomicU64,
    slots_used: (Mutex<(usize, usize)>, Condvar),
    connections: Mutex<Vec<TcpStream>>,
    log: Log,
    store: Store,
}

impl Server {
    pub fn start(
        store: &Store,
        log: &Log,
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        work: Duration,
    ) -> Arc<Self> {
        Self::start_at(store, log, id, service, zone, slots, work, free_port())
    }

    #[allow(clippy::too_many_arguments)]
    pub fn start_at(
        store: &Store,
        log: &Log,
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        work: Duration,
        port: u16,
    ) -> Arc<Self> {
        let mut bound = TcpListener::bind(("127.0.0.1", port));
        for _ in 0..50 {
            if bound.is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
            bound = TcpListener::bind(("127.0.0.1", port));
        }
        let listener = bound.expect("an address of an upstream");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let server = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            slots,
            port: listener.local_addr().unwrap().port(),
            born,
            work,
            mode: Mutex::new(Mode::Normal),
            leaving: AtomicBool::new(false),
            poison: Mutex::new(None),
            announces: AtomicBool::new(true),
            alive: AtomicBool::new(true),
            closed: AtomicBool::new(false),
            ended: Mutex::default(),
            seq: AtomicU64::new(1),
            answers: AtomicU64::new(0),
            slots_used: (Mutex::new((0, 0)), Condvar::new()),
            connections: Mutex::default(),
            log: log.clone(),
            store: store.clone(),
        });
        store.put("servers", id, server.entry("ready").as_bytes());
        let beating = server.clone();
        std::thread::spawn(move || {
            while beating.alive.load(Ordering::SeqCst) {
                std::thread::sleep(HEARTBEAT);
                beating.seq.fetch_add(1, Ordering::SeqCst);
                if beating.announces.load(Ordering::SeqCst) {
                    let state = if beating.leaving.load(Ordering::SeqCst) {
                        "draining"
                    } else {
                        "ready"
                    };
                    beating
                        .store
                        .beat("servers", &beating.id, beating.entry(state).as_bytes());
                }
            }
        });
        let serving = server.clone();
        listener.set_nonblocking(true).unwrap();
        std::thread::spawn(move || {
            while serving.alive.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let server = serving.clone();
                        server
                            .connections
                            .lock()
                            .unwrap()
                            .push(stream.try_clone().unwrap());
                        std::thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            serving.closed.store(true, Ordering::SeqCst);
        });
        server
    }

    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"address\":\"127.0.0.1:{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":{},\
             \"cold_left_s\":0}},\"born\":{}}}",
            self.port,
            self.service,
            self.zone,
            self.slots,
            self.seq.load(Ordering::SeqCst),
            self.born
        )
    }

    /// Reports `draining` in the store; goes on serving. Returns the time of the ack.
    pub fn drain(&self) -> f64 {
        self.leaving.store(true, Ordering::SeqCst);
        self.store
            .put("servers", &self.id, self.entry("draining").as_bytes());
        now()
    }

    /// Removes the entry from the store; goes on serving. Returns the time of the ack.
    pub fn leave(&self) -> f64 {
        self.leaving.store(true, Ordering::SeqCst);
        self.announces.store(false, Ordering::SeqCst);
        self.store.delete("servers", &self.id);
        now()
    }

    /// Ends the upstream: new connections are refused, and open ones close.
    pub fn end(&self) {
        self.announces.store(false, Ordering::SeqCst);
        *self.ended.lock().unwrap() = now();
        self.alive.store(false, Ordering::SeqCst);
        record(&format!("server {}: ended", self.id));
        while !self.closed.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.slots_used.1.notify_all();
    }

    /// Returns when the upstream ended.
    pub fn ended_at(&self) -> f64 {
        *self.ended.lock().unwrap()
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn load(&self) -> String {
        let used = self.slots_used.0.lock().unwrap();
        format!("{},{},{},100", used.0, used.1, self.slots)
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some((head, _body)) = read_request(&mut stream) {
            if !self.is_alive() || !self.respond(&mut stream, &head) {
                return;
            }
        }
    }

    /// Returns whether the connection stays open.
    fn respond(&self, stream: &mut TcpStream, head: &str) -> bool {
        let mut words = head.split_whitespace();
        let method = words.next().unwrap_or("").to_owned();
        let path = words.next().unwrap_or("").to_owned();
        let id = field(head, "x-attempt-id").unwrap_or_default();
        let leaving = if self.leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let common = format!("X-Server-Load: {}\r\n{leaving}", self.load());
        if path == "/health" {
            let status = if leaving.is_empty() { 200 } else { 503 };
            let out = format!(
                "HTTP/1.1 {status} X\r\nX-Instance-Id: {}\r\n{common}Content-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(out.as_bytes()).is_ok();
        }
        let expected = field(head, "x-expect-instance").unwrap_or_default();
        if !expected.is_empty() && expected != self.id {
            let out = format!(
                "HTTP/1.1 421 X\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(out.as_bytes()).is_ok();
        }
        let index = {
            let mut log = self.log.0.lock().unwrap();
            log.push(Arrival {
                at: now(),
                server: self.id.clone(),
                id: id.clone(),
                ran: false,
                ended: None,
                dropped: None,
                broken: false,
                crashed: false,
            });
            log.len() - 1
        };
        record(&format!(
            "server {}: request {id} {method} {path} arrived",
            self.id
        ));
        if !self.take_slot() {
            let out = format!(
                "HTTP/1.1 503 X\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n{common}Content-Length: 0\r\n\r\n"
            );
            record(&format!("server {}: request {id} rejected, full", self.id));
            return stream.write_all(out.as_bytes()).is_ok();
        }
        self.log.0.lock().unwrap()[index].ran = true;
        let poison = self.poison.lock().unwrap().clone();
        let caller = field(head, "x-forwarded-for").unwrap_or_default();
        if poison.is_some_and(|poison| caller == poison) {
            record(&format!(
                "server {}: request {id} crashes the server",
                self.id
            ));
            self.log.0.lock().unwrap()[index].crashed = true;
            self.end();
            return false;
        }
        let mode = *self.mode.lock().unwrap();
        let until = match mode {
            Mode::Interim => Instant::now(),
            _ => Instant::now() + self.work,
        };
        let done = self.work_until(stream, until);
        self.free_slot();
        if !done {
            record(&format!(
                "server {}: request {id} dropped, its connection closed",
                self.id
            ));
            self.log.0.lock().unwrap()[index].dropped = Some(now());
            return false;
        }
        self.log.0.lock().unwrap()[index].ended = Some(now());
        if mode == Mode::Interim {
            record(&format!(
                "server {}: interim heads without end to {id}",
                self.id
            ));
            let block = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2500);
            while stream.write_all(&block).is_ok() {}
            record(&format!(
                "server {}: connection of {id} closed by the caller",
                self.id
            ));
            return false;
        }
        let mut body = format!("{id} by {}", self.id);
        let mut breaks = false;
        if let Mode::Large { bytes, every } = mode {
            body = body.repeat(bytes / body.len());
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            breaks = every > 0 && number % every == every - 1;
        }
        let out = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-{id}-{}\r\n{common}\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        if breaks {
            record(&format!(
                "server {}: answer to {id} broken off midway",
                self.id
            ));
            self.log.0.lock().unwrap()[index].broken = true;
            let _ = stream.write_all(&out.as_bytes()[..out.len() / 2]);
            let _ = stream.shutdown(Shutdown::Both);
            return false;
        }
        record(&format!("server {}: request {id} answered", self.id));
        stream.write_all(out.as_bytes()).is_ok()
    }

    fn take_slot(&self) -> bool {
        let mut used = self.slots_used.0.lock().unwrap();
        if used.0 < self.slots {
            used.0 += 1;
            return true;
        }
        if used.1 >= QUEUE {
            return false;
        }
        used.1 += 1;
        while used.0 >= self.slots && self.is_alive() {
            used = self.slots_used.1.wait(used).unwrap();
        }
        used.1 -= 1;
        used.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.slots_used.0.lock().unwrap().0 -= 1;
        self.slots_used.1.notify_one();
    }

    /// Works until `until`; returns false if the connection closes before.
    fn work_until(&self, stream: &TcpStream, until: Instant) -> bool {
        let _ = stream.set_nonblocking(true);
        let mut open = true;
        while Instant::now() < until && open {
            let mut byte = [0];
            open = match stream.peek(&mut byte) {
                Ok(length) => length > 0,
                Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            };
            let left = until.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(Duration::from_millis(5)));
        }
        let _ = stream.set_nonblocking(false);
        open && self.is_alive()
    }
}
