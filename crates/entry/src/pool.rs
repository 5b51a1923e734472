//! Connections to backend servers, kept for the next call.
//!
//! A connection carries one call at a time and is kept only after a whole
//! answer, so that nobody gets the rest of somebody else's. Each server bears
//! a number of connections from the whole fleet; a VM keeps to its even share
//! of it, and waits for one of its own when the share is used up.
//!
//! A server that closes an idle connection soon after its last use has most
//! likely restarted. That is told at once, because nothing else tells it of a
//! server without calls; see `docs/design/limits.md`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::Clock;
use base::ServerId;
use base::Time;
use conf::Server;
use event_listener::Event;
use net::client;
use net::client::Sender;
use net::exec::Handle;
use route::limit::IDLE_STATE_TTL;

/// Shards of the table of servers, each under its own lock.
const SHARDS: usize = 16;
/// The longest time to make a connection. A server behind a failed switch never
/// answers, and a call that waits for it could still run elsewhere.
const CONNECT_MAX: Duration = Duration::from_millis(300);
/// The age at which an idle connection is closed.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// An idle connection.
struct Idle {
    sender: Sender,
    since: Time,
}

/// The connections to one server.
struct Pool {
    id: ServerId,
    idle: Mutex<Vec<Idle>>,
    open: Mutex<usize>,
    freed: Event,
    lost: Lost,
}

/// Where servers are told that closed an idle connection.
type Lost = async_channel::Sender<ServerId>;

/// The connections to all servers, in shards sorted by server.
pub struct Pools {
    shards: Vec<Mutex<Vec<Arc<Pool>>>>,
    handle: Handle,
    clock: Clock,
    lost: Lost,
}

/// A connection in use; it is closed when it is dropped without being kept.
pub struct Conn {
    sender: Option<Sender>,
    pool: Arc<Pool>,
    kept: bool,
}

impl Pool {
    fn new(id: ServerId, lost: Lost) -> Self {
        Self {
            id,
            idle: Mutex::default(),
            open: Mutex::default(),
            freed: Event::new(),
            lost,
        }
    }

    /// Takes the most recently used connection that still works.
    fn take_idle(&self) -> Option<Sender> {
        loop {
            let idle = lock(&self.idle).pop()?;
            if idle.sender.is_ready() && !idle.sender.is_closed() {
                return Some(idle.sender);
            }
            self.close();
        }
    }

    /// Removes idle connections for which `ends` holds; returns how long ago
    /// the most recently used of those that the server closed was used.
    fn remove_idle(&self, now: Time, ends: impl Fn(&Idle) -> bool) -> Option<Duration> {
        let mut idle = lock(&self.idle);
        let (out, kept) = std::mem::take(&mut *idle).into_iter().partition(ends);
        *idle = kept;
        drop(idle);
        let out: Vec<Idle> = out;
        out.iter().for_each(|_| self.close());
        let closed = out.iter().filter(|idle| idle.sender.is_closed());
        closed.map(|idle| now.saturating_sub(idle.since)).min()
    }

    /// Takes note that a connection has ended.
    fn ended(&self, now: Time) {
        let unused = self.remove_idle(now, |idle| idle.sender.is_closed());
        if unused.is_some_and(|unused| unused < IDLE_STATE_TTL) {
            // Without a receiver nobody has to know.
            let _ = self.lost.try_send(self.id);
        }
    }

    /// Counts a new connection if the share allows it.
    fn open(&self, share: usize) -> bool {
        let mut open = lock(&self.open);
        let fits = *open < share;
        if fits {
            *open += 1;
        }
        fits
    }

    fn close(&self) {
        *lock(&self.open) -= 1;
        self.freed.notify(1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pools {
    /// Makes pools whose connections run on `handle`; servers that close an
    /// idle connection soon after its last use are sent to `lost`.
    pub fn new(handle: Handle, clock: Clock, lost: Lost) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            handle,
            clock,
            lost,
        }
    }

    /// Returns a connection to `server`, of which this VM may have `share`.
    pub async fn get(
        &self,
        id: ServerId,
        server: &Server,
        http2: bool,
        share: usize,
    ) -> Result<Conn, client::Error> {
        let pool = self.pool(id);
        loop {
            let freed = pool.freed.listen();
            if let Some(sender) = pool.take_idle() {
                return Ok(Conn::new(Some(sender), pool));
            }
            if pool.open(share) {
                break;
            }
            freed.await;
        }
        // The count is taken back if connecting fails or is given up.
        let clock = self.clock;
        let watched = Arc::downgrade(&pool);
        let ended = move || {
            if let Some(pool) = watched.upgrade() {
                pool.ended(clock.now());
            }
        };
        let mut conn = Conn::new(None, pool);
        let address = server.address;
        let connecting = client::connect_watched(&self.handle, address, http2, ended);
        let connected = net::timeout(CONNECT_MAX, connecting).await;
        conn.sender = Some(connected.unwrap_or(Err(client::Error::Late(CONNECT_MAX)))?);
        Ok(conn)
    }

    /// Keeps a connection on which a whole answer has been received.
    pub fn keep(&self, conn: Conn, now: Time) {
        let ready = async move {
            let mut conn = conn;
            if let Some(sender) = &mut conn.sender {
                if sender.ready().await.is_ok() {
                    conn.put_back(now);
                }
            }
        };
        self.handle.detach(ready);
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&self, now: Time) {
        for shard in &self.shards {
            let pools = lock(shard).clone();
            for pool in pools {
                pool.remove_idle(now, |idle| now >= idle.since + IDLE_MAX);
            }
        }
    }

    /// Returns how many connections to `id` are open.
    pub fn open(&self, id: ServerId) -> usize {
        *lock(&self.pool(id).open)
    }

    fn pool(&self, id: ServerId) -> Arc<Pool> {
        let mut shard = lock(&self.shards[(id % SHARDS as u64) as usize]);
        match shard.binary_search_by_key(&id, |pool| pool.id) {
            Ok(at) => shard[at].clone(),
            Err(at) => {
                let pool = Arc::new(Pool::new(id, self.lost.clone()));
                shard.insert(at, pool.clone());
                pool
            }
        }
    }
}

impl Conn {
    fn new(sender: Option<Sender>, pool: Arc<Pool>) -> Self {
        Self {
            sender,
            pool,
            kept: false,
        }
    }

    /// Returns the sending side, unless connecting failed.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    fn put_back(mut self, now: Time) {
        if let Some(sender) = self.sender.take() {
            let idle = Idle { sender, since: now };
            self.kept = true;
            lock(&self.pool.idle).push(idle);
            self.pool.freed.notify(1);
            // One that ended before it was put back was not found there.
            self.pool.ended(now);
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // What is kept stays counted as open.
        if !self.kept {
            self.pool.close();
        }
    }
}
