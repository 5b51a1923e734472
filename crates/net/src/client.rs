//! Single HTTP client connections. The `entry` crate pools them.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use http::Request;
use http::Response;
use http_body_util::LengthLimitError;
use hyper::body::Incoming;
use hyper::client::conn;
use smol::net::TcpStream;
use smol::Task;
use smol_hyper::rt::FuturesIo;

use crate::body;
use crate::exec::Handle;
use crate::fair::Fair;
use crate::Body;
use crate::BoxFuture;

/// The most interim responses (1xx) to a request. A peer that sends more is taken for
/// faulty: they have no use here, and cost time.
pub const INTERIM_MAX: usize = 64;

/// The statuses of final responses. No request asks for another protocol, so a peer that
/// switches (101) speaks one that nobody here knows.
const STATUSES: RangeInclusive<u16> = 200..=599;

/// The maximum size of each of the two buffers of an HTTP/1.1 connection, and so of the head
/// of a response.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, so nothing was sent.
    #[error("cannot connect to {0}: {1}; check that a server listens there")]
    Connect(SocketAddr, std::io::Error),
    /// The connection failed after it had been established.
    #[error("the HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The body of the response was truncated.
    #[error("the response body is truncated: {0}")]
    Body(body::BoxError),
    /// The body of the response was longer than this number of bytes.
    #[error("the response body is longer than {0} bytes; ask for less at once")]
    TooLong(usize),
    /// The peer sent more interim responses than [`INTERIM_MAX`].
    #[error("the peer sent over {INTERIM_MAX} interim responses; check the server")]
    Interim,
    /// The status of the response is none that RFC 9110 (section 15) knows, or switches to a
    /// protocol that nobody asked for.
    #[error("the peer responded with status {0}, which is no response; check the server")]
    Status(u16),
    /// The response was not complete within the time limit.
    #[error("no complete response within {0:?}")]
    Timeout(Duration),
}

/// An HTTP/1.1 or HTTP/2 connection, on which requests are sent.
///
/// Dropping it closes the connection at once, also while a request body waits for a peer
/// that does not read it.
pub struct Sender {
    requests: Requests,
    /// Drives the connection. Dropping the task cancels it.
    _driver: Task<()>,
    /// Ends the other tasks of an HTTP/2 connection when it is dropped.
    _close: async_channel::Sender<Infallible>,
}

/// Runs the tasks into which hyper divides an HTTP/2 connection.
///
/// They end with the [`Sender`] of the connection. By themselves they would wait until what
/// they have written is sent, which a peer that does not read prevents.
#[derive(Clone)]
struct ConnTasks {
    handle: Handle,
    /// Shared, because hyper requires executors that are `Unpin`.
    closed: Arc<Receiver<Infallible>>,
}

impl<F> hyper::rt::Executor<F> for ConnTasks
where
    F: Future + Send + 'static,
{
    fn execute(&self, future: F) {
        let closed = self.closed.clone();
        let task = async move {
            future.await;
        };
        let cancelled = async move {
            let _ = closed.recv().await;
        };
        self.handle
            .spawn_detached(futures_lite::future::or(task, cancelled));
    }
}

enum Requests {
    /// Allows one exchange at a time.
    Http1(conn::http1::SendRequest<Body>),
    /// Allows concurrent exchanges.
    Http2(conn::http2::SendRequest<Body>),
}

/// The failure to send a request or to receive the head of its response.
pub struct SendError {
    /// What failed.
    pub error: Error,
    /// The request, if no byte of it was written, so that it can be sent elsewhere.
    pub unsent: Option<Request<Body>>,
}

impl Sender {
    /// Waits until the connection accepts a request. Fails if the connection has
    /// closed.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        match &mut self.requests {
            Requests::Http1(sender) => sender.ready().await,
            Requests::Http2(sender) => sender.ready().await,
        }
    }

    /// Returns whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        match &self.requests {
            Requests::Http1(sender) => sender.is_closed(),
            Requests::Http2(sender) => sender.is_closed(),
        }
    }

    /// Returns whether the connection accepts a request now.
    pub fn is_ready(&self) -> bool {
        match &self.requests {
            Requests::Http1(sender) => sender.is_ready(),
            Requests::Http2(sender) => sender.is_ready(),
        }
    }

    /// Sends `request` and waits for the head of the response.
    ///
    /// Fails if the peer sends too many interim responses, or a response whose status is out
    /// of range. The connection must not be used again then.
    pub async fn send(
        &mut self,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        let exceeded = limit_interim(&mut request);
        let sent = async {
            let result = match &mut self.requests {
                Requests::Http1(sender) => sender.try_send_request(request).await,
                Requests::Http2(sender) => sender.try_send_request(request).await,
            };
            let response = result.map_err(|mut failed| SendError {
                unsent: failed.take_message(),
                error: failed.into_error().into(),
            })?;
            check_status(&response).map_err(|error| SendError {
                error,
                unsent: None,
            })?;
            Ok(response)
        };
        futures_lite::future::or(sent, async {
            if exceeded.recv().await.is_err() {
                // The request was sent or dropped, so `sent` ends.
                std::future::pending::<()>().await;
            }
            Err(SendError {
                error: Error::Interim,
                unsent: None,
            })
        })
        .await
    }
}

/// Fails if the status of `response` makes it no response. The request may have been run.
fn check_status(response: &Response<Incoming>) -> Result<(), Error> {
    let status = response.status().as_u16();
    let is_valid = STATUSES.contains(&status);
    is_valid.then_some(()).ok_or(Error::Status(status))
}

/// Has the interim responses to `request` counted; the channel returned says when there
/// are more than [`INTERIM_MAX`].
fn limit_interim(request: &mut Request<Body>) -> Receiver<()> {
    let (exceed, exceeded) = async_channel::bounded(1);
    let count = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= INTERIM_MAX {
            let _ = exceed.try_send(());
        }
    });
    exceeded
}

/// Opens TCP connections.
pub trait Connector: Send + Sync {
    /// Opens a connection to `address`.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, std::io::Result<TcpStream>>;
}

/// Opens connections by the operating system's own means.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

impl Connector for Direct {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, std::io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }
}

/// Opens a connection to `address`, without TLS. The task that drives the connection
/// runs on `handle`.
pub async fn connect(handle: &Handle, address: SocketAddr, http2: bool) -> Result<Sender, Error> {
    connect_with_on_close(handle, &Direct, address, http2, || {}).await
}

/// Opens a connection as [`connect`] does, by `connector`, and calls `on_close` once the peer has closed
/// the connection or it has failed.
pub async fn connect_with_on_close(
    handle: &Handle,
    connector: &dyn Connector,
    address: SocketAddr,
    http2: bool,
    on_close: impl FnOnce() + Send + 'static,
) -> Result<Sender, Error> {
    let stream = connector
        .connect(address)
        .await
        .map_err(|error| Error::Connect(address, error))?;
    let _ = stream.set_nodelay(true);
    let io = FuturesIo::new(Fair::new(stream));
    let (close, closed) = async_channel::bounded(1);
    if http2 {
        let tasks = ConnTasks {
            handle: handle.clone(),
            closed: Arc::new(closed),
        };
        let (sender, driver) = conn::http2::Builder::new(tasks)
            .timer(smol_hyper::rt::SmolTimer::new())
            .handshake(io)
            .await?;
        return Ok(Sender {
            requests: Requests::Http2(sender),
            _driver: handle.spawn(async move {
                let _ = driver.await;
                on_close();
            }),
            _close: close,
        });
    }
    let (sender, driver) = conn::http1::Builder::new()
        .max_buf_size(BUFFER_MAX_BYTES)
        .handshake(io)
        .await?;
    Ok(Sender {
        requests: Requests::Http1(sender),
        _driver: handle.spawn(async move {
            let _ = driver.await;
            on_close();
        }),
        _close: close,
    })
}

/// Sends `request` on a new HTTP/1.1 connection and reads the complete response.
///
/// Fails if the exchange, including the time to connect, takes longer than `max_wait`,
/// or if the body of the response is longer than `max_bytes`.
pub async fn fetch(
    handle: &Handle,
    address: SocketAddr,
    request: Request<Body>,
    max_wait: Duration,
    max_bytes: usize,
) -> Result<Response<bytes::Bytes>, Error> {
    let exchange = async {
        let mut sender = connect(handle, address, false).await?;
        let response = sender.send(request).await.map_err(|failed| failed.error)?;
        let (parts, incoming) = response.into_parts();
        let bytes = body::collect(incoming, max_bytes)
            .await
            .map_err(|error| match error.is::<LengthLimitError>() {
                true => Error::TooLong(max_bytes),
                false => Error::Body(error),
            })?;
        Ok(Response::from_parts(parts, bytes))
    };
    crate::timeout(max_wait, exchange)
        .await
        .unwrap_or(Err(Error::Timeout(max_wait)))
}
