//! Connections to backend servers, kept for the next call.
//!
//! A connection carries one call at a time and is kept only after a whole
//! answer, so that nobody gets the rest of somebody else's. Each server bears
//! a number of connections from the whole fleet; a VM keeps to its even share
//! of it, and waits for one of its own when the share is used up.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::ServerId;
use base::Time;
use conf::Server;
use event_listener::Event;
use net::client;
use net::client::Sender;
use net::exec::Handle;

/// Shards of the table of servers, each under its own lock.
const SHARDS: usize = 16;
/// The age at which an idle connection is closed.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// An idle connection.
struct Idle {
    sender: Sender,
    since: Time,
}

/// The connections to one server.
struct Pool {
    idle: Mutex<Vec<Idle>>,
    open: Mutex<usize>,
    freed: Event,
}

/// The connections to one server, with the server.
#[derive(Clone)]
struct Named {
    id: ServerId,
    pool: Arc<Pool>,
}

/// The connections to all servers, in shards sorted by server.
pub struct Pools {
    shards: Vec<Mutex<Vec<Named>>>,
    handle: Handle,
}

/// A connection in use; it is closed when it is dropped without being kept.
pub struct Conn {
    sender: Option<Sender>,
    pool: Arc<Pool>,
    kept: bool,
}

impl Pool {
    fn new() -> Self {
        Self {
            idle: Mutex::default(),
            open: Mutex::default(),
            freed: Event::new(),
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
    /// Makes pools whose connections run on `handle`.
    pub fn new(handle: Handle) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            handle,
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
        let mut conn = Conn::new(None, pool);
        let sender = client::connect(&self.handle, server.address, http2).await?;
        conn.sender = Some(sender);
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
            for Named { pool, .. } in pools {
                let mut idle = lock(&pool.idle);
                let count = idle.len();
                idle.retain(|idle| now < idle.since + IDLE_MAX && !idle.sender.is_closed());
                let closed = count - idle.len();
                drop(idle);
                (0..closed).for_each(|_| pool.close());
            }
        }
    }

    /// Returns how many connections to `id` are open.
    pub fn open(&self, id: ServerId) -> usize {
        *lock(&self.pool(id).open)
    }

    fn pool(&self, id: ServerId) -> Arc<Pool> {
        let mut shard = lock(&self.shards[(id % SHARDS as u64) as usize]);
        match shard.binary_search_by_key(&id, |named| named.id) {
            Ok(at) => shard[at].pool.clone(),
            Err(at) => {
                let pool = Arc::new(Pool::new());
                let named = Named {
                    id,
                    pool: pool.clone(),
                };
                shard.insert(at, named);
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
