//! Pools of connections to backend servers.
//!
//! A connection carries one call at a time. It is returned to its pool only after a
//! complete response, so that no call receives the rest of another call's response.
//! Each server accepts a limited number of connections from all entry VMs together. A
//! VM uses at most its equal share of that number; when the share is used up, further
//! calls wait for one of the VM's own connections.
//!
//! A server that closes an idle connection soon after its last use has most likely
//! restarted. This is reported at once, because nothing else shows the restart of a
//! server without calls; see `docs/design/limits.md`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::Clock;
use base::ServerId;
use base::Time;
use conf::Server;
use event_listener::Event;
use http::HeaderValue;
use net::client;
use net::client::Connector;
use net::client::Direct;
use net::client::Sender;
use net::exec::Handle;
use route::limit::IDLE_STATE_TTL;

/// The number of lock shards of the table of pools.
const LOCK_SHARDS: usize = 16;
/// The time limit for opening a connection. A server behind a failed switch never
/// responds, and a call that waits for it could still run on another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time limit, after a complete response, for the rest of the request to be sent.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after its last use at which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The most refusals on a connection; after these it is closed.
const REFUSALS_MAX: usize = 16;

struct IdleConn {
    sender: Sender,
    since: Time,
    refused: RefusedCalls,
}

/// The ids of the calls that the server has refused on a connection, `None` for those
/// without one. A faulty server may send one of these refusals once more, in place of the
/// response to a later call.
type RefusedCalls = Vec<Option<HeaderValue>>;

/// The connections to one server.
struct Pool {
    id: ServerId,
    /// The idle connections, the most recently used one last.
    idle: Mutex<Vec<IdleConn>>,
    /// The number of open connections, idle or in use, and of those being opened.
    open: Mutex<usize>,
    /// Notified when a connection is returned or closed.
    freed: Event,
    suspects: RestartSuspects,
}

/// The channel for the ids of servers that closed an idle connection soon after its last
/// use.
type RestartSuspects = async_channel::Sender<ServerId>;

/// The connection pools of all servers.
pub struct Pools {
    /// Each shard is sorted by server id.
    shards: Vec<Mutex<Vec<Arc<Pool>>>>,
    handle: Handle,
    clock: Clock,
    suspects: RestartSuspects,
    connector: Arc<dyn Connector>,
}

/// A connection in use. Dropping it closes the connection; [`Pools::keep`] returns it to
/// its pool instead.
pub struct Conn {
    sender: Option<Sender>,
    pool: Arc<Pool>,
    refused: RefusedCalls,
    /// Whether the connection has been returned to its pool.
    pooled: bool,
}

impl Pool {
    fn new(id: ServerId, suspects: RestartSuspects) -> Self {
        Self {
            id,
            idle: Mutex::default(),
            open: Mutex::default(),
            freed: Event::new(),
            suspects,
        }
    }

    /// Takes the most recently used idle connection that is still usable. Connections that
    /// were used later but are no longer usable are closed.
    fn take_idle(&self) -> Option<IdleConn> {
        loop {
            let idle = lock(&self.idle).pop()?;
            if idle.sender.is_ready() && !idle.sender.is_closed() {
                return Some(idle);
            }
            self.close();
        }
    }

    /// Removes the idle connections for which `is_removed` returns true. Returns the
    /// shortest time since the last use of those that the server had closed.
    fn remove_idle(&self, now: Time, is_removed: impl Fn(&IdleConn) -> bool) -> Option<Duration> {
        let mut idle = lock(&self.idle);
        let (removed, remaining) = std::mem::take(&mut *idle).into_iter().partition(is_removed);
        *idle = remaining;
        drop(idle);
        let removed: Vec<IdleConn> = removed;
        removed.iter().for_each(|_| self.close());
        let closed = removed.iter().filter(|idle| idle.sender.is_closed());
        closed.map(|idle| now.saturating_sub(idle.since)).min()
    }

    /// Removes closed connections, and reports the server if one of them was used less
    /// than [`IDLE_STATE_TTL`] ago.
    fn remove_closed(&self, now: Time) {
        let idle_time = self.remove_idle(now, |idle| idle.sender.is_closed());
        if idle_time.is_some_and(|idle_time| idle_time < IDLE_STATE_TTL) {
            // Fails only if the receiver has been dropped, as on shutdown.
            let _ = self.suspects.try_send(self.id);
        }
    }

    /// Counts a new connection and returns true, unless `share` connections are open.
    fn open(&self, share: usize) -> bool {
        let mut open = lock(&self.open);
        let available = *open < share;
        if available {
            *open += 1;
        }
        available
    }

    /// Subtracts a closed connection from the count and wakes a call that waits for a
    /// connection.
    fn close(&self) {
        *lock(&self.open) -= 1;
        self.freed.notify(1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pools {
    /// Creates empty pools whose connections are driven on `handle`. The ids of servers
    /// that close an idle connection soon after its last use are sent to `suspects`.
    pub fn new(handle: Handle, clock: Clock, suspects: RestartSuspects) -> Self {
        Self {
            shards: (0..LOCK_SHARDS).map(|_| Mutex::default()).collect(),
            handle,
            clock,
            suspects,
            connector: Arc::new(Direct),
        }
    }

    /// Returns the executor that drives the connections.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Sets how connections are opened.
    pub fn with_connector(mut self, connector: Arc<dyn Connector>) -> Self {
        self.connector = connector;
        self
    }

    /// Opens a connection to `address` and closes it again.
    ///
    /// # Errors
    ///
    /// Fails as opening it fails, or if that takes longer than `limit`.
    pub async fn try_connect(&self, address: SocketAddr, limit: Duration) -> io::Result<()> {
        let connected = net::timeout(limit, self.connector.connect(address)).await;
        let connected = connected.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        connected.map(|_| ())
    }

    /// Returns a connection to `server`: an idle one, or a new one over HTTP/2 or
    /// HTTP/1.1. If this VM has `share` connections open to the server, waits until one
    /// of them is returned or closed.
    ///
    /// # Errors
    ///
    /// Fails if a new connection cannot be opened within the connect timeout.
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
            if let Some(idle) = pool.take_idle() {
                let mut conn = Conn::new(Some(idle.sender), pool);
                conn.refused = idle.refused;
                return Ok(conn);
            }
            if pool.open(share) {
                break;
            }
            freed.await;
        }
        // `conn` is created first: its drop subtracts the connection from the count if
        // opening it fails or is cancelled.
        let clock = self.clock;
        let weak_pool = Arc::downgrade(&pool);
        let on_close = move || {
            if let Some(pool) = weak_pool.upgrade() {
                pool.remove_closed(clock.now());
            }
        };
        let mut conn = Conn::new(None, pool);
        let address = server.address;
        let connecting =
            client::connect_with_on_close(&self.handle, &*self.connector, address, http2, on_close);
        let connected = net::timeout(CONNECT_TIMEOUT, connecting).await;
        conn.sender = Some(connected.unwrap_or(Err(client::Error::Timeout(CONNECT_TIMEOUT)))?);
        Ok(conn)
    }

    /// Returns a connection to `server`, as [`Self::get`] does, on which a refusal of the call
    /// `call_id` can only be the server's response to it: one on which the server has not
    /// refused that call before.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::get`] does.
    pub async fn get_for_call(
        &self,
        id: ServerId,
        server: &Server,
        http2: bool,
        share: usize,
        call_id: Option<&HeaderValue>,
    ) -> Result<Conn, client::Error> {
        loop {
            let conn = self.get(id, server, http2, share).await?;
            let ambiguous = call_id.is_some() && conn.refused.iter().any(|r| r.as_ref() == call_id);
            if !ambiguous {
                return Ok(conn);
            }
        }
    }

    /// Returns a connection to its pool after a complete response, as soon as it can
    /// take another request. Closes it if it cannot within [`READY_TIMEOUT`], since a
    /// server that has responded early need not read the rest of the request body.
    pub fn keep(&self, conn: Conn, now: Time) {
        let returned = async move {
            let mut conn = conn;
            if conn.refused.len() >= REFUSALS_MAX {
                return;
            }
            if let Some(sender) = &mut conn.sender {
                if let Some(Ok(())) = net::timeout(READY_TIMEOUT, sender.ready()).await {
                    conn.put_back(now);
                }
            }
        };
        self.handle.spawn_detached(returned);
    }

    /// Closes the connections whose last use is longer ago than the idle timeout.
    pub fn close_idle(&self, now: Time) {
        for shard in &self.shards {
            let pools = lock(shard).clone();
            for pool in pools {
                pool.remove_idle(now, |idle| now >= idle.since + IDLE_TIMEOUT);
            }
        }
    }

    /// Returns the number of open connections to the server `id`, idle or in use.
    pub fn open_count(&self, id: ServerId) -> usize {
        *lock(&self.pool(id).open)
    }

    fn pool(&self, id: ServerId) -> Arc<Pool> {
        let mut shard = lock(&self.shards[(id % LOCK_SHARDS as u64) as usize]);
        match shard.binary_search_by_key(&id, |pool| pool.id) {
            Ok(index) => shard[index].clone(),
            Err(index) => {
                let pool = Arc::new(Pool::new(id, self.suspects.clone()));
                shard.insert(index, pool.clone());
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
            refused: Vec::new(),
            pooled: false,
        }
    }

    /// Returns the sending side of the connection, `None` if the connection has
    /// not been opened.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Returns whether the server has refused calls or health checks on this connection.
    pub fn had_refusals(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Records that the server has refused the call `call_id` on this connection.
    pub fn note_refusal(&mut self, call_id: Option<HeaderValue>) {
        self.refused.push(call_id);
    }

    fn put_back(mut self, now: Time) {
        if let Some(sender) = self.sender.take() {
            let idle = IdleConn {
                sender,
                since: now,
                refused: std::mem::take(&mut self.refused),
            };
            self.pooled = true;
            lock(&self.pool.idle).push(idle);
            self.pool.freed.notify(1);
            // If the connection ended before it was added to the pool, its close
            // callback did not find it there.
            self.pool.remove_closed(now);
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // A pooled connection stays counted as open.
        if !self.pooled {
            self.pool.close();
        }
    }
}
