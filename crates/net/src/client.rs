//! Connections to servers, one at a time; pools are the business of `entry`.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::body;
use crate::exec::Handle;
use crate::Body;

/// Why a request got no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made, so nothing was sent.
    #[error("cannot connect to {0}: {1}; check that it listens there")]
    Connect(SocketAddr, std::io::Error),
    /// The connection failed after it was made.
    #[error("the exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The body of the answer was cut or too long.
    #[error("the answer's body failed: {0}")]
    Body(body::BoxError),
    /// The answer did not come in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// The sending side of a connection of either version.
pub enum Sender {
    /// One exchange at a time.
    Http1(conn::http1::SendRequest<Body>),
    /// Many exchanges at a time.
    Http2(conn::http2::SendRequest<Body>),
}

/// A request that failed, and the request itself if nothing of it was sent.
pub struct SendError {
    /// What happened.
    pub error: hyper::Error,
    /// The request, given back only when none of it was written.
    pub unsent: Option<Request<Body>>,
}

impl Sender {
    /// Waits until the connection can take a request.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        match self {
            Self::Http1(sender) => sender.ready().await,
            Self::Http2(sender) => sender.ready().await,
        }
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_closed(),
            Self::Http2(sender) => sender.is_closed(),
        }
    }

    /// Returns whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_ready(),
            Self::Http2(sender) => sender.is_ready(),
        }
    }

    /// Sends `request` and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        let result = match self {
            Self::Http1(sender) => sender.try_send_request(request).await,
            Self::Http2(sender) => sender.try_send_request(request).await,
        };
        result.map_err(|mut failed| SendError {
            unsent: failed.take_message(),
            error: failed.into_error(),
        })
    }
}

/// Opens a connection to `address`; its driver runs on `handle`.
pub async fn connect(handle: &Handle, address: SocketAddr, http2: bool) -> Result<Sender, Error> {
    connect_with_on_close(handle, address, http2, || {}).await
}

/// Opens a connection as [`connect`] does; `ended` is called once it has ended,
/// whichever side ended it.
pub async fn connect_with_on_close(
    handle: &Handle,
    address: SocketAddr,
    http2: bool,
    ended: impl FnOnce() + Send + 'static,
) -> Result<Sender, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| Error::Connect(address, error))?;
    let _ = stream.set_nodelay(true);
    let io = FuturesIo::new(stream);
    if http2 {
        let (sender, driver) = conn::http2::Builder::new(handle.clone())
            .timer(smol_hyper::rt::SmolTimer::new())
            .handshake(io)
            .await?;
        handle.spawn_detached(async move {
            let _ = driver.await;
            ended();
        });
        return Ok(Sender::Http2(sender));
    }
    let (sender, driver) = conn::http1::Builder::new().handshake(io).await?;
    handle.spawn_detached(async move {
        let _ = driver.await;
        ended();
    });
    Ok(Sender::Http1(sender))
}

/// Sends one request on a connection of its own and reads the whole answer.
pub async fn fetch(
    handle: &Handle,
    address: SocketAddr,
    request: Request<Body>,
    wait: Duration,
    limit: usize,
) -> Result<Response<bytes::Bytes>, Error> {
    let exchange = async {
        let mut sender = connect(handle, address, false).await?;
        let answer = sender
            .send(request)
            .await
            .map_err(|failed| Error::Http(failed.error))?;
        let (parts, incoming) = answer.into_parts();
        let bytes = body::collect(incoming, limit).await.map_err(Error::Body)?;
        Ok(Response::from_parts(parts, bytes))
    };
    crate::timeout(wait, exchange)
        .await
        .unwrap_or(Err(Error::Timeout(wait)))
}
