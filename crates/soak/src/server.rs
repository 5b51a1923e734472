//! Servers of a run. A place keeps its address; what lives there changes.

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
use smol::io::AsyncWriteExt;
use smol::lock::Semaphore;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::Timer;
use stand::fields;
use stand::ServerEntry;
use stand::Store;

use crate::http::Message;
use crate::http::Reader;
use crate::link::Link;
use crate::record::Book;
use crate::record::Life;
use crate::record::LifeAt;

/// The rest after a connection could not be accepted.
const ACCEPT_REST: Duration = Duration::from_millis(50);
/// Calls that a server runs at once.
pub const SLOTS: u32 = 3;
/// Calls that may wait in a server.
const QUEUE: u32 = 6;
/// The mean time of a call.
const MEAN: Duration = Duration::from_millis(30);
/// How much slower a cold server is.
const COLD: f64 = 2.0;
/// The longest body of an answer.
const BODY_MAX: usize = 6000;
/// How often a server that fails does so.
const FAULTY: f64 = 0.3;

/// How a server treats calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// As it should.
    Sound,
    /// It takes some times as long.
    Slow(f64),
    /// It fails some calls.
    Grey,
    /// It sends wrong bytes for some.
    Garbles,
    /// It runs some and closes the connection in place of an answer.
    Loses,
    /// It reads calls and does nothing.
    Hangs,
}

struct State {
    life: LifeAt,
    entry: ServerEntry,
    name: String,
    manner: Manner,
    up: bool,
    cold: Time,
    running: u32,
    waiting: u32,
    slots: Arc<Semaphore>,
    /// Open connections, by the number that each got.
    connections: Vec<(u64, TcpStream)>,
    accepted: u64,
    rng: fastrand::Rng,
}

/// A place of a server.
#[derive(Clone)]
pub struct Place {
    /// The way to it, by which it is announced.
    pub link: Link,
    at: usize,
    domain: &'static str,
    book: Book,
    state: Arc<Mutex<State>>,
}

/// A place in line or a slot, until it is dropped.
struct Turn<'a> {
    place: &'a Place,
    life: LifeAt,
    runs: bool,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut state = self.place.lock();
        if state.life == self.life {
            if self.runs {
                state.running -= 1;
            } else {
                state.waiting -= 1;
            }
        }
    }
}

impl Place {
    /// Opens place `at` on `address`, in which a warm server lives.
    pub async fn open(
        at: usize,
        address: SocketAddr,
        domain: &'static str,
        service: &'static str,
        book: &Book,
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
        };
        let place = Self {
            link,
            at,
            domain,
            book: book.clone(),
            state: Arc::new(Mutex::new(State {
                life: 0,
                entry,
                name: String::new(),
                manner: Manner::Sound,
                up: false,
                cold: Time::ZERO,
                running: 0,
                waiting: 0,
                slots: Arc::new(Semaphore::new(SLOTS as usize)),
                connections: Vec::new(),
                accepted: 0,
                rng: fastrand::Rng::with_seed(seed),
            })),
        };
        place.begin(service, Duration::ZERO);
        let accepts = place.clone();
        smol::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(ACCEPT_REST).await;
                    continue;
                };
                let place = accepts.clone();
                smol::spawn(async move { place.serve(stream).await }).detach();
            }
        })
        .detach();
        Ok(place)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a new life, cold for `cold`.
    pub fn begin(&self, service: &'static str, cold: Duration) {
        let until = self.book.now() + cold;
        let mut record = self.book.lock();
        let life = record.servers.len();
        let name = format!("i-{life:04}");
        record.servers.push(Life {
            place: self.at,
            name: name.clone(),
            service,
            domain: self.domain,
            cold: if cold.is_zero() { Time::ZERO } else { until },
            leaves: None,
        });
        drop(record);
        let mut state = self.lock();
        state.life = life;
        state.name = name;
        state.entry.service = service.into();
        state.entry.draining = false;
        state.entry.cold_left = cold;
        state.entry.started_ms = born();
        state.up = true;
        state.cold = until;
        state.running = 0;
        state.waiting = 0;
        state.slots = Arc::new(Semaphore::new(SLOTS as usize));
    }

    /// Writes what the server says of itself into the store.
    pub fn announce(&self, store: &Store) {
        let state = self.lock();
        store.put(stand::SERVERS_KIND, &state.name, state.entry.to_json());
    }

    /// Has the server say that it leaves.
    pub fn drain(&self, store: &Store) {
        self.lock().entry.draining = true;
        self.announce(store);
        let life = self.lock().life;
        self.note_leaving(life);
    }

    /// Removes the server's entry.
    pub fn lapse(&self, store: &Store) {
        let (name, life) = {
            let state = self.lock();
            (state.name.clone(), state.life)
        };
        store.delete(stand::SERVERS_KIND, &name);
        self.note_leaving(life);
    }

    fn note_leaving(&self, life: LifeAt) {
        let now = self.book.now();
        if let Some(life) = self.book.lock().servers.get_mut(life) {
            life.leaves.get_or_insert(now);
        }
    }

    /// Ends the life at once, with all connections.
    pub fn end(&self) {
        let mut state = self.lock();
        state.up = false;
        for (_, stream) in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sets how the server treats calls.
    pub fn set_manner(&self, manner: Manner) {
        self.lock().manner = manner;
    }

    async fn serve(&self, stream: TcpStream) {
        let (life, number) = {
            let mut state = self.lock();
            if !state.up {
                return;
            }
            state.accepted += 1;
            let number = state.accepted;
            state.connections.push((number, stream.clone()));
            (state.life, number)
        };
        self.answer_all(life, stream).await;
        self.lock().connections.retain(|(at, _)| *at != number);
    }

    async fn answer_all(&self, life: LifeAt, mut stream: TcpStream) {
        let mut reader = Reader::new(stream.clone());
        while let Ok(Some(request)) = reader.request().await {
            if self.lock().manner == Manner::Hangs {
                reader.closed().await;
                return;
            }
            let answer = self.answer(life, &request);
            let left = async {
                reader.closed().await;
                None
            };
            let Some(text) = futures_lite::future::or(answer, left).await else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if stream.write_all(&text).await.is_err() {
                return;
            }
        }
    }

    /// Returns the bytes of the answer; none if the connection is to be closed.
    async fn answer(&self, life: LifeAt, request: &Message) -> Option<Vec<u8>> {
        if request.path == "/health" {
            return Some(self.health());
        }
        let text = request
            .field(fields::CALL_ID)
            .unwrap_or_default()
            .to_owned();
        let call = text.parse().unwrap_or_default();
        let arrival = self.book.arrive(call, life);
        let name = self.lock().name.clone();
        if request
            .field(fields::EXPECTED_INSTANCE)
            .is_some_and(|meant| meant != name)
        {
            return Some(self.refusal(421, &text));
        }
        let mut turn = {
            let mut state = self.lock();
            if state.waiting >= QUEUE {
                drop(state);
                return Some(self.refusal(503, &text));
            }
            state.waiting += 1;
            Turn {
                place: self,
                life,
                runs: false,
            }
        };
        let slots = self.lock().slots.clone();
        let _slot = slots.acquire_arc().await;
        let (time, manner, luck) = {
            let mut state = self.lock();
            state.waiting = state.waiting.saturating_sub(1);
            state.running += 1;
            turn.runs = true;
            let factor = match state.manner {
                Manner::Slow(factor) => factor,
                _ => 1.0,
            };
            let cold = if self.book.now() < state.cold {
                COLD
            } else {
                1.0
            };
            let draw = -(1.0 - state.rng.f64()).ln() * factor * cold;
            (MEAN.mul_f64(draw), state.manner, state.rng.f64() < FAULTY)
        };
        self.book.ran(arrival);
        Timer::after(time).await;
        drop(turn);
        match manner {
            Manner::Grey if luck => Some(self.whole(500, &text)),
            Manner::Garbles if luck => Some(self.garbled(&text)),
            Manner::Loses if luck => None,
            _ => Some(self.whole(200, &text)),
        }
    }

    fn head(&self, status: u16, length: usize) -> String {
        let state = self.lock();
        let (running, waiting) = (state.running, state.waiting);
        format!(
            "HTTP/1.1 {status} X\r\n{}: {}\r\n{}: {running},{waiting},{SLOTS},100\r\n\
             content-length: {length}\r\n",
            fields::INSTANCE_ID,
            state.name,
            fields::LOAD,
        )
    }

    fn health(&self) -> Vec<u8> {
        let status = if self.lock().entry.draining { 503 } else { 200 };
        let cold = self.lock().cold.saturating_sub(self.book.now());
        let cold = if cold.is_zero() {
            String::new()
        } else {
            format!("{}: {:.3}\r\n", fields::COLD_LEFT_SECS, cold.as_secs_f64())
        };
        (self.head(status, 0) + &cold + "\r\n").into_bytes()
    }

    fn refusal(&self, status: u16, id: &str) -> Vec<u8> {
        let head = self.head(status, 0);
        let text = format!(
            "{head}{}: 1\r\n{}: {id}\r\n\r\n",
            fields::NOT_RUN,
            fields::CALL_ID
        );
        text.into_bytes()
    }

    fn whole(&self, status: u16, id: &str) -> Vec<u8> {
        let size = 1 + self.lock().rng.usize(..BODY_MAX / id.len().max(1));
        let body = id.repeat(size);
        let head = self.head(status, body.len());
        let hash = base::hash::of(&[&body]);
        let seal = format!("{}: {status}.{hash}\r\n", fields::SIGNATURE);
        format!("{head}{seal}{}: {id}\r\n\r\n{body}", fields::CALL_ID).into_bytes()
    }

    /// Returns an answer with something wrong in it.
    fn garbled(&self, id: &str) -> Vec<u8> {
        let mut answer = self.whole(200, id);
        let kind = self.lock().rng.u8(..4);
        match kind {
            0 => b"nothing that was asked for\r\n\r\n".to_vec(),
            1 => self.whole(200, "999999999"),
            2 => {
                answer.extend_from_slice(&self.whole_of_nobody());
                answer
            }
            _ => {
                // Says less than was promised, and stays open.
                answer.truncate(answer.len() - 1);
                answer
            }
        }
    }

    fn whole_of_nobody(&self) -> Vec<u8> {
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno".to_vec()
    }
}

fn born() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
