//! Serves HTTP/1.1 and HTTP/2 on a listener, within limits, until told to stop.
//!
//! A plain connection that begins with the HTTP/2 preface is served as HTTP/2,
//! any other as HTTP/1.1; over TLS the negotiated protocol decides. On stop
//! the listener closes, idle connections close, and busy ones finish what they
//! have begun.

use std::future::poll_fn;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

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

use crate::deferred::DeferredErrorBody;
use crate::exec::Handle;
use crate::stop::Stop;
use crate::timeout;
use crate::Body;
use crate::BoxFuture;

/// How long an accept loop rests after the system refused a socket.
const ACCEPT_REST: Duration = Duration::from_millis(10);
/// The first bytes of an HTTP/2 connection without TLS.
const PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// An answer as hyper takes it.
type Answered = Result<Response<DeferredErrorBody>, std::convert::Infallible>;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request that came from `peer`.
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;
}

/// What a server allows its callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; more are closed at once.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Header fields of a request.
    pub header_fields: usize,
    /// Time to send the whole head.
    pub head_timeout: Duration,
    /// Streams at once on one HTTP/2 connection.
    pub http2_streams: u32,
    /// Whether a caller that closes its sending side still gets its answer;
    /// without it, closing that side gives the call up.
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

/// A listener with all that its connections need.
#[derive(Clone)]
pub struct Server {
    handler: Arc<dyn Handler>,
    limits: Limits,
    handle: Handle,
    stop: Stop,
    tls: Option<TlsAcceptor>,
    kill: Option<Stop>,
    open: Arc<AtomicUsize>,
}

impl Server {
    /// Makes a server that answers with `handler` until `stop` is given.
    pub fn new(handler: Arc<dyn Handler>, handle: Handle, stop: Stop) -> Self {
        Self {
            handler,
            limits: Limits::default(),
            handle,
            stop,
            tls: None,
            kill: None,
            open: Arc::default(),
        }
    }

    /// Returns the same server with `limits`.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the same server behind TLS.
    pub fn with_tls(mut self, tls: TlsAcceptor) -> Self {
        self.tls = Some(tls);
        self
    }

    /// Returns the same server, whose connections break when `kill` is given.
    pub fn with_kill(mut self, kill: Stop) -> Self {
        self.kill = Some(kill);
        self
    }

    /// Accepts connections until stop; those accepted then finish by themselves.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let accepted =
                futures_lite::future::or(async { Some(listener.accept().await) }, async {
                    self.stop.wait().await;
                    None
                })
                .await;
            match accepted {
                None => return,
                Some(Ok((stream, peer))) => self.admit(stream, peer),
                Some(Err(error)) => {
                    log::warn!("net: accept failed: {error}");
                    smol::Timer::after(ACCEPT_REST).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        if self.open.fetch_add(1, Ordering::SeqCst) >= self.limits.connections {
            self.open.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let server = self.clone();
        let busy = self.stop.register_task();
        self.handle.spawn_detached(async move {
            match server.kill.clone() {
                Some(kill) => {
                    futures_lite::future::or(server.connection(stream, peer), kill.wait()).await;
                }
                None => server.connection(stream, peer).await,
            }
            server.open.fetch_sub(1, Ordering::SeqCst);
            drop(busy);
        });
    }

    async fn connection(&self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Some(tls) = &self.tls else {
            let first = timeout(self.limits.head_timeout, self.is_http2(&stream)).await;
            match first {
                Some(true) => self.http2(stream, peer).await,
                Some(false) => self.http1(stream, peer).await,
                None => {}
            }
            return;
        };
        let Some(Ok(stream)) = timeout(self.limits.head_timeout, tls.accept(stream)).await else {
            return;
        };
        if stream.get_ref().1.alpn_protocol() == Some(b"h2") {
            self.http2(stream, peer).await;
        } else {
            self.http1(stream, peer).await;
        }
    }

    /// Looks at the first bytes without taking them; false once stop is given.
    async fn is_http2(&self, stream: &TcpStream) -> bool {
        let mut bytes = [0; PREFACE.len()];
        let looked = futures_lite::future::or(
            async { stream.peek(&mut bytes).await.unwrap_or(0) },
            async {
                self.stop.wait().await;
                0
            },
        )
        .await;
        looked > 0 && PREFACE.starts_with(&bytes[..looked])
    }

    /// Returns what answers the requests of one connection.
    fn answers(
        &self,
        peer: SocketAddr,
    ) -> impl Fn(Request<Incoming>) -> BoxFuture<'static, Answered> + 'static {
        let handler = self.handler.clone();
        move |request| {
            let answer = handler.clone().call(request, peer);
            Box::pin(async move { Ok(answer.await.map(DeferredErrorBody::new)) })
        }
    }

    async fn http1<S>(&self, stream: S, peer: SocketAddr)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let service = service_fn(self.answers(peer));
        let connection = conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.head_bytes.max(8 << 10))
            .max_headers(self.limits.header_fields)
            .half_close(self.limits.half_close)
            .serve_connection(FuturesIo::new(stream), service);
        let end = |connection: Pin<&mut conn::http1::Connection<_, _>>| {
            connection.graceful_shutdown();
        };
        drive(&self.stop, connection, end).await;
    }

    async fn http2<S>(&self, stream: S, peer: SocketAddr)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let service = service_fn(self.answers(peer));
        let connection = conn::http2::Builder::new(self.handle.clone())
            .timer(SmolTimer::new())
            .max_header_list_size(u32::try_from(self.limits.head_bytes).unwrap_or(u32::MAX))
            .max_concurrent_streams(self.limits.http2_streams)
            .serve_connection(FuturesIo::new(stream), service);
        let end = |connection: Pin<&mut conn::http2::Connection<_, _, _>>| {
            connection.graceful_shutdown();
        };
        drive(&self.stop, connection, end).await;
    }
}

/// Polls `connection` to its end and calls `end` once when stop is given.
async fn drive<C: Future>(stop: &Stop, connection: C, end: impl Fn(Pin<&mut C>)) {
    let mut connection = pin!(connection);
    let mut stopped = pin!(stop.wait());
    let mut ending = false;
    poll_fn(|cx| {
        if !ending && stopped.as_mut().poll(cx).is_ready() {
            ending = true;
            end(connection.as_mut());
        }
        match connection.as_mut().poll(cx) {
            Poll::Ready(_) => Poll::Ready(()),
            Poll::Pending => Poll::Pending,
        }
    })
    .await;
}
