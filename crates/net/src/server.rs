//! An HTTP/1.1 and HTTP/2 server with limits and graceful shutdown.
//!
//! A connection without TLS is served as HTTP/2 if it begins with the HTTP/2 preface,
//! and as HTTP/1.1 otherwise. Over TLS, the protocol negotiated by ALPN decides. On
//! shutdown the listener and the idle connections close, and the other connections
//! close once their requests in progress have ended.

use std::future::pending;
use std::future::poll_fn;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future::poll_once;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_rustls::TlsAcceptor;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::budget::MemoryBudget;
use crate::deferred::DeferredErrorBody;
use crate::exec::supervise;
use crate::exec::Handle;
use crate::fair::Fair;
use crate::fair::Yields;
use crate::listen::Listener;
use crate::lookahead::Lookahead;
use crate::lookahead::Turns;
use crate::opening::Opening;
use crate::stop::Stop;
use crate::timeout;
use crate::Body;
use crate::BoxFuture;

/// The delay after a failed accept, for instance for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The shortest interval between two lines that report failed accepts.
const ACCEPT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The most connections that are accepted after the shutdown signal, which is the usual
/// limit of the queue of a listener.
const QUEUED_MAX: usize = 4096;

/// How much of the bodies of an HTTP/2 connection is received before it is read.
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;
/// How much of a response is buffered for each stream of an HTTP/2 connection.
const HTTP2_SEND_BYTES: usize = 16 << 10;

/// The result that hyper expects of a service.
type ServiceResult = Result<Response<DeferredErrorBody>, std::convert::Infallible>;

/// The number of open connections of a [`Server`]. All clones share one number.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<AtomicUsize>);

impl Connections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    /// Counts a connection until the returned guard is dropped. Returns none if `max`
    /// connections are open.
    fn open(&self, max: usize) -> Option<ConnectionGuard> {
        let guard = ConnectionGuard(self.clone());
        (self.0.fetch_add(1, Ordering::SeqCst) < max).then_some(guard)
    }
}

/// Represents an open connection in its number.
struct ConnectionGuard(Connections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The application behind a [`Server`].
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request that was received from `peer`.
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Starts a request without a body while its caller still waits for the response to
    /// an earlier request on the same connection.
    ///
    /// Returns none, which is the default, unless the request may be run more than once:
    /// the connection may close before its turn, and its caller then sends it again.
    fn call_early(
        self: Arc<Self>,
        _request: Request<()>,
        _peer: SocketAddr,
    ) -> Option<BoxFuture<'static, Response<Body>>> {
        None
    }
}

/// The limits that a server enforces on its callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections. Further connections are closed as soon as
    /// they are accepted.
    pub connections: usize,
    /// The maximum size of the head of a request in bytes. For HTTP/1.1, values below
    /// 8 KiB count as 8 KiB.
    pub head_bytes: usize,
    /// The maximum number of header fields of an HTTP/1.1 request.
    pub header_fields: usize,
    /// The time limit for each of the TLS handshake, the first byte of a connection
    /// without TLS, and the head of an HTTP/1.1 request from its first byte on.
    pub head_timeout: Duration,
    /// The maximum number of concurrent streams of an HTTP/2 connection.
    pub http2_streams: u32,
    /// Whether a caller that closes its sending side still gets its response. If false,
    /// closing the sending side cancels the call.
    pub half_close: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head_bytes: 16 << 10,
            header_fields: 100,
            head_timeout: Duration::from_secs(10),
            http2_streams: 256,
            half_close: true,
        }
    }
}

/// An HTTP server, and the state that its connections share.
#[derive(Clone)]
pub struct Server {
    handler: Arc<dyn Handler>,
    limits: Limits,
    handle: Handle,
    stop: Stop,
    tls: Option<TlsAcceptor>,
    kill: Option<Stop>,
    open_connections: Connections,
    memory: MemoryBudget,
}

impl Server {
    /// Creates a server with default limits and without TLS. It serves requests with
    /// `handler` until `stop` is triggered, and runs its connections on `handle`.
    pub fn new(handler: Arc<dyn Handler>, handle: Handle, stop: Stop) -> Self {
        Self {
            handler,
            limits: Limits::default(),
            handle,
            stop,
            tls: None,
            kill: None,
            open_connections: Connections::default(),
            memory: MemoryBudget::new(usize::MAX),
        }
    }

    /// Returns the server with `limits`.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the server with `memory` for what it reads ahead and starts early; without it,
    /// only each connection is bounded.
    pub fn with_memory(mut self, memory: MemoryBudget) -> Self {
        self.memory = memory;
        self
    }

    /// Returns the server with TLS on all of its connections.
    pub fn with_tls(mut self, tls: TlsAcceptor) -> Self {
        self.tls = Some(tls);
        self
    }

    /// Returns the server with `connections` as the number of its open connections, which
    /// it shares with the clones of `connections`.
    pub fn with_connections(mut self, connections: Connections) -> Self {
        self.open_connections = connections;
        self
    }

    /// Returns the server with a signal that aborts all of its connections, including
    /// those with requests in progress.
    pub fn with_kill(mut self, kill: Stop) -> Self {
        self.kill = Some(kill);
        self
    }

    /// Waits until `listener` is bound, and runs as [`Self::run`] does. Returns at the
    /// shutdown signal.
    pub async fn run_when_bound(self, listener: Listener<TcpListener>) {
        let stopped = async {
            self.stop.wait().await;
            None
        };
        let bound = async { Some(listener.bound().await) };
        if let Some(listener) = futures_lite::future::or(stopped, bound).await {
            self.run(listener).await;
        }
    }

    /// Accepts connections from `listener` until the shutdown signal, and then those that had
    /// been established before it. Returns without waiting for the open connections.
    pub async fn run(self, listener: TcpListener) {
        // A stop is not finished before the connections in the queue are accepted.
        let _task_guard = self.stop.register_task();
        supervise("accept", || self.accept(&listener)).await;
    }

    async fn accept(&self, listener: &TcpListener) {
        let mut accepts = Yields::default();
        let mut failures = AcceptFailures::default();
        loop {
            let accepted =
                futures_lite::future::or(async { Some(listener.accept().await) }, async {
                    self.stop.wait().await;
                    None
                })
                .await;
            match accepted {
                None => break,
                Some(Ok((stream, peer))) => {
                    self.admit(stream, peer);
                    accepts.count_item().await;
                }
                Some(Err(error)) => {
                    failures.report(&error, listener);
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener would reset these.
        for _ in 0..QUEUED_MAX {
            match poll_once(listener.accept()).await {
                Some(Ok((stream, peer))) => self.admit(stream, peer),
                Some(Err(error)) => failures.report(&error, listener),
                None => break,
            }
            accepts.count_item().await;
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let Some(open) = self.open_connections.open(self.limits.connections) else {
            return;
        };
        let server = self.clone();
        let task_guard = self.stop.register_task();
        self.handle.spawn_detached(async move {
            // Dropped at the end and also if the connection panics.
            let _guards = (open, task_guard);
            match server.kill.clone() {
                Some(kill) => {
                    futures_lite::future::or(server.serve_connection(stream, peer), kill.wait())
                        .await;
                }
                None => server.serve_connection(stream, peer).await,
            }
        });
    }

    async fn serve_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Some(tls) = &self.tls else {
            let mut opening = Opening::new(Fair::new(stream));
            match self.is_http2(&mut opening).await {
                Some(true) => self.serve_http2(opening, peer).await,
                Some(false) => {
                    let began = opening.began();
                    self.serve_http1(opening, peer, began).await;
                }
                None => {}
            }
            return;
        };
        let Some(Ok(stream)) =
            timeout(self.limits.head_timeout, tls.accept(Fair::new(stream))).await
        else {
            return;
        };
        if stream.get_ref().1.alpn_protocol() == Some(b"h2") {
            self.serve_http2(stream, peer).await;
        } else {
            self.serve_http1(stream, peer, None).await;
        }
    }

    /// Returns whether a connection begins with the preface of HTTP/2; none if its first
    /// bytes, or those that tell the protocol, take too long. Returns false on shutdown.
    async fn is_http2<S>(&self, opening: &mut Opening<S>) -> Option<bool>
    where
        S: AsyncRead + Unpin,
    {
        let limit = self.limits.head_timeout;
        let is_http2 = async {
            timeout(limit, opening.receive()).await?;
            timeout(limit, opening.is_http2()).await
        };
        let stopped = async {
            self.stop.wait().await;
            Some(false)
        };
        futures_lite::future::or(is_http2, stopped).await
    }

    /// Returns the response to a request over HTTP/1.1: the one that was started early, if
    /// there is one. The request's turn ends with the body of the response.
    async fn respond(
        handler: Arc<dyn Handler>,
        mut request: Request<Incoming>,
        peer: SocketAddr,
        turns: Turns,
    ) -> ServiceResult {
        let mut turn = turns.guard();
        request.extensions_mut().insert(turns.place(false));
        poll_fn(|cx| turn.poll_begin(cx)).await;
        let response = match turns.take_early(&request) {
            Some((response, memory)) => {
                turn.hold(memory);
                response.await
            }
            None => handler.call(request, peer).await,
        };
        Ok(response.map(|body| DeferredErrorBody::new(body).with_turn(turn)))
    }

    /// Serves a connection over HTTP/1.1. The time limit of its first head runs from `began`
    /// on, if some of that head was received before.
    async fn serve_http1<S>(&self, stream: S, peer: SocketAddr, began: Option<Instant>)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let stream = Lookahead::new(stream, self.handler.clone(), self.handle.clone(), peer)
            .with_limits(
                self.limits.head_bytes.max(8 << 10),
                self.limits.header_fields,
            )
            .with_memory(&self.memory);
        let turns = stream.turns();
        let (handler, shared) = (self.handler.clone(), turns.clone());
        let service = service_fn(move |request| {
            Self::respond(handler.clone(), request, peer, shared.clone())
        });
        let connection = pin!(conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.head_bytes.max(8 << 10))
            .max_headers(self.limits.header_fields)
            .half_close(self.limits.half_close)
            .serve_connection(FuturesIo::new(stream), service));
        // Requests that were started early are served before the connection closes.
        let shut_down = |connection: Pin<&mut conn::http1::Connection<_, _>>| {
            let may_close = turns.stop();
            if may_close {
                connection.graceful_shutdown();
            }
            may_close
        };
        let served = run_connection(&self.stop, connection, shut_down);
        let overdue = async {
            match began {
                Some(began) => smol::Timer::at(began + self.limits.head_timeout).await,
                None => pending().await,
            };
            if turns.has_begun() {
                pending::<()>().await;
            }
        };
        futures_lite::future::or(served, overdue).await;
    }

    async fn serve_http2<S>(&self, stream: S, peer: SocketAddr)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let response = handler.clone().call(request, peer);
            async move { ServiceResult::Ok(response.await.map(DeferredErrorBody::new)) }
        });
        let connection = pin!(conn::http2::Builder::new(self.handle.clone())
            .timer(SmolTimer::new())
            .max_header_list_size(u32::try_from(self.limits.head_bytes).unwrap_or(u32::MAX))
            .max_concurrent_streams(self.limits.http2_streams)
            .initial_connection_window_size(HTTP2_WINDOW_BYTES)
            .initial_stream_window_size(HTTP2_WINDOW_BYTES)
            .max_send_buf_size(HTTP2_SEND_BYTES)
            .serve_connection(FuturesIo::new(stream), service));
        let shut_down = |connection: Pin<&mut conn::http2::Connection<_, _, _>>| {
            connection.graceful_shutdown();
            true
        };
        run_connection(&self.stop, connection, shut_down).await;
    }
}

/// The failed accepts of one listener that have not been logged.
#[derive(Debug, Default)]
struct AcceptFailures {
    count: u64,
    reported: Option<Instant>,
}

impl AcceptFailures {
    /// Counts a failed accept, and logs the count if the last line is old enough.
    fn report(&mut self, error: &io::Error, listener: &TcpListener) {
        self.count += 1;
        let now = Instant::now();
        let recent = self
            .reported
            .is_some_and(|at| now.saturating_duration_since(at) < ACCEPT_REPORT_INTERVAL);
        if recent {
            return;
        }
        let address = listener.local_addr().map(|address| address.to_string());
        log::warn!(
            failures = self.count,
            address = address.unwrap_or_default().as_str();
            "net: cannot accept a connection: {error}"
        );
        self.count = 0;
        self.reported = Some(now);
    }
}

/// Polls `connection` to its end. Once `stop` is triggered, calls `shut_down` after each
/// poll until it returns true, so that the connection has read what its peer had sent.
async fn run_connection<C: Future>(
    stop: &Stop,
    mut connection: Pin<&mut C>,
    shut_down: impl Fn(Pin<&mut C>) -> bool,
) {
    let mut stopped = pin!(stop.wait());
    let mut stopping = false;
    let mut shutting_down = false;
    poll_fn(|cx| {
        stopping = stopping || stopped.as_mut().poll(cx).is_ready();
        if connection.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        if !stopping || shutting_down {
            return Poll::Pending;
        }
        shutting_down = shut_down(connection.as_mut());
        connection.as_mut().poll(cx).map(|_| ())
    })
    .await;
}
