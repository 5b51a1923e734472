//! One attempt of a call at one server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::ServiceId;
use base::Time;
use bytes::Bytes;
use bytes::BytesMut;
use conf::Server;
use http::response::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use net::body;
use net::budget::MemoryBudget;
use net::budget::Reservation;
use net::client::SendError;
use net::linger::Lingering;
use net::lookahead::Place;
use net::timeout;
use net::Body;
use route::attempts::Failure;
use route::crashes::Fingerprint;
use route::msg::Load;
use route::notices::Notice;
use route::spec;

use crate::dialect::Dialect;
use crate::dialect::ResponseKind;
use crate::guard::PermitGuard;
use crate::heard::Heard;
use crate::heard::Wish;
use crate::pool::Conn;
use crate::pool::Pools;
use crate::ports::Permit;
use crate::ports::Ports;
use crate::ports::ServerReport;
use crate::tracked_body::Completion;

/// The largest response that is read completely before its head is forwarded, so that
/// the call can be retried if the response is truncated.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 64 << 10;
/// The largest response that is read completely, if the VM's budget allows it, while
/// requests behind it on the caller's connection have been started. They would get no
/// response if the connection had to close because this one is truncated.
const PIPELINED_RESPONSE_MAX_BYTES: usize = 512 << 10;
/// The size of responses that are buffered without a reservation.
const FREE_RESPONSE_BYTES: usize = 4 << 10;
/// How long the response to an abandoned attempt is still read. A refusal that is under
/// way may ask for no more calls.
const ABANDONED_READ_TIMEOUT: Duration = Duration::from_millis(10);
/// The time limit for the body of a refusal, which servers send together with its head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// An attempt that is about to be made.
pub struct Attempt {
    /// The interface to the VM, through which the permit is released.
    pub ports: Arc<dyn Ports>,
    /// The connection pools.
    pub pools: Arc<Pools>,
    /// The conventions for the header fields of servers.
    pub dialect: Arc<dyn Dialect>,
    /// The caller's id of the call, against which the response is checked.
    pub call_id: Option<HeaderValue>,
    /// Identifies the request over all calls that repeat it.
    pub fingerprint: Fingerprint,
    /// The service of the call.
    pub service: ServiceId,
    /// The server to which the request is sent.
    pub server: Server,
    /// Whether the server is called over HTTP/2 rather than HTTP/1.1.
    pub http2: bool,
    /// The permit to send this attempt to the server.
    pub permit: Permit,
    /// The call's deadline.
    pub deadline: Time,
    /// The place of the request on the caller's connection.
    pub place: Place,
    /// What servers have asked for in their responses to the call.
    pub heard: Heard,
    /// The memory for what is buffered of the response.
    pub memory: MemoryBudget,
}

/// A request that was sent, and the server to which it was.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// Identifies the request over all calls that repeat it.
    pub fingerprint: Fingerprint,
    /// The server.
    pub server: ServerId,
    /// The address of the server.
    pub address: SocketAddr,
}

impl SentRequest {
    /// Records that the connection ended before the response did, so that the server may
    /// have crashed.
    pub fn record_lost(&self, ports: &dyn Ports) {
        ports.record_lost(self.fingerprint, self.server, self.address);
    }
}

/// The body of a server's response.
pub enum ResponseBody {
    /// The complete body and its trailers.
    Buffered(Bytes, Option<HeaderMap>),
    /// A body that is still being received.
    Stream {
        /// The bytes received so far.
        prefix: Bytes,
        /// The rest of the body.
        rest: Incoming,
        /// What is released when the body ends.
        completion: Box<Completion>,
    },
}

/// A server's response to an attempt.
pub struct ServerResponse {
    /// The head of the response.
    pub parts: Parts,
    /// The body of the response.
    pub body: ResponseBody,
    /// The time from sending the request to receiving the head.
    pub took: Duration,
    /// The load that the server reported, if any.
    pub load: Option<Load>,
}

/// An attempt that failed.
pub struct FailedAttempt {
    /// The kind of failure.
    pub failure: Failure,
    /// The request, if none of it was sent.
    pub unsent: Option<Box<Request<Body>>>,
    /// A description of the failure, for the span, the log and the caller.
    pub detail: String,
}

impl FailedAttempt {
    fn new(failure: Failure, unsent: Option<Request<Body>>, detail: impl Into<String>) -> Self {
        Self {
            failure,
            unsent: unsent.map(Box::new),
            detail: detail.into(),
        }
    }
}

impl Attempt {
    /// Sends `request` to the server and waits for the response.
    ///
    /// The permit is released on every failure, also if the future is dropped. On
    /// success it is released when the body ends: before this returns if the body is
    /// buffered, otherwise by the [`Completion`] in the response.
    pub async fn run(self, request: Request<Body>) -> Result<ServerResponse, FailedAttempt> {
        let mut guard = PermitGuard::new(self.ports.clone(), self.permit);
        let share = spec::connections_per_vm(self.server.connections, self.ports.fleet_size());
        let connecting = self.pools.get_for_call(
            self.permit.server,
            &self.server,
            self.http2,
            share,
            self.call_id.as_ref(),
        );
        let connecting = async { Some(connecting.await) };
        let stopped = async {
            self.ports.stopped_before(self.deadline).await;
            None
        };
        let connecting = smol::future::or(connecting, stopped);
        let mut conn = match timeout(self.time_left(), connecting).await {
            Some(Some(Ok(conn))) => conn,
            Some(None) => {
                guard.end(Outcome::Unused);
                let detail = "the VM stops";
                return Err(FailedAttempt::new(Failure::Unsent, Some(request), detail));
            }
            Some(Some(Err(error))) => {
                self.ports.check_path(self.server.address).await;
                guard.end(Outcome::Unreachable);
                return Err(FailedAttempt::new(
                    Failure::Unsent,
                    Some(request),
                    error.to_string(),
                ));
            }
            None => {
                guard.end(Outcome::Unused);
                let detail = "no connection before the deadline";
                return Err(FailedAttempt::new(Failure::Unsent, Some(request), detail));
            }
        };
        if let Some(detail) = self.withdrawn() {
            guard.end(Outcome::Unused);
            self.pools.keep(conn, self.ports.now());
            return Err(FailedAttempt::new(Failure::Unsent, Some(request), detail));
        }
        if conn.sender().is_none() {
            guard.end(Outcome::Unreachable);
            return Err(FailedAttempt::new(
                Failure::Unsent,
                Some(request),
                "the connection closed before the request was sent",
            ));
        }
        guard.start();
        match timeout(self.time_left(), self.exchange(conn, request)).await {
            None => {
                // The caller's time is up, so its response does not wait for the check.
                self.ports.suspect_path(self.server.address);
                guard.end(Outcome::Late);
                Err(FailedAttempt::new(Failure::Late, None, "no answer in time"))
            }
            Some((_, Err(failed))) => {
                let (outcome, failure) = match failed.unsent {
                    Some(_) => (Outcome::Unused, Failure::Unsent),
                    None => (Outcome::Broken, Failure::Broken),
                };
                if outcome == Outcome::Broken {
                    self.ports.check_path(self.server.address).await;
                }
                guard.end(outcome);
                if failure == Failure::Broken {
                    self.sent_request().record_lost(&*self.ports);
                }
                Err(FailedAttempt::new(failure, failed.unsent, failed.detail))
            }
            Some((conn, Ok(response))) => self.check_response(response, guard, conn).await,
        }
    }

    /// Returns why the request may no longer be sent, if that has changed since the permit was
    /// granted: the wait for a connection may have been long.
    fn withdrawn(&self) -> Option<&'static str> {
        let state = self.ports.state();
        let server = state.server(self.service, self.permit.server);
        if !server.is_some_and(|server| state.accepts_calls(server)) {
            return Some("the server was removed, drains or is in a domain out of service");
        }
        let server = self.permit.server;
        if !self.ports.allows_server(server) || self.heard.denied().contains(&server) {
            return Some("the server leaves or asked for no calls");
        }
        (!self.ports.may_send_until(self.deadline)).then_some("the VM stops")
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.ports.now())
    }

    fn sent_request(&self) -> SentRequest {
        SentRequest {
            fingerprint: self.fingerprint,
            server: self.permit.server,
            address: self.server.address,
        }
    }

    /// Sends `request`, and records what the server asks for in the head of its response,
    /// also if the attempt is abandoned just before it arrives.
    fn exchange(&self, mut conn: Conn, request: Request<Body>) -> Lingering<Exchanged> {
        // The rest of a body belongs to the caller's connection, which is about to end.
        let limit = if request.body().is_end_stream() {
            ABANDONED_READ_TIMEOUT
        } else {
            Duration::ZERO
        };
        let (ports, dialect) = (self.ports.clone(), self.dialect.clone());
        let heard = self.heard.clone();
        let server = self.permit.server;
        let exchange = async move {
            let result = match conn.sender() {
                Some(sender) => sender.send(request).await.map_err(ExchangeError::from),
                None => Err(ExchangeError {
                    unsent: Some(request),
                    detail: "the connection closed before the request was sent".into(),
                }),
            };
            let result = result.map(|response| {
                let (parts, body) = response.into_parts();
                note_server(&*ports, &*dialect, &heard, server, &parts);
                Response::from_parts(parts, body)
            });
            (conn, result)
        };
        Lingering::new(exchange, self.pools.handle().clone(), limit)
    }

    /// Classifies the response and, if it is valid, reads its body.
    async fn check_response(
        &self,
        response: Response<Incoming>,
        mut guard: PermitGuard,
        conn: Conn,
    ) -> Result<ServerResponse, FailedAttempt> {
        let (parts, incoming) = response.into_parts();
        let load = self.dialect.load(&parts.headers);
        guard.set_report(ServerReport {
            load,
            interval: self.dialect.call_interval(&parts.headers),
        });
        let kind = self.dialect.classify(self.call_id.as_ref(), &parts);
        match self.check_refusal(kind, &parts, &conn) {
            ResponseKind::Valid => {}
            ResponseKind::Refused => {
                guard.end(Outcome::Shed);
                self.reuse_connection(incoming, conn).await;
                return Err(FailedAttempt::new(
                    Failure::Shed,
                    None,
                    "the server refused the call",
                ));
            }
            ResponseKind::Misdirected => {
                guard.end(Outcome::Unreachable);
                let detail = "the address belongs to another server";
                return Err(FailedAttempt::new(Failure::Misdirected, None, detail));
            }
            ResponseKind::Invalid(detail) => {
                guard.end(Outcome::Broken);
                return Err(FailedAttempt::new(Failure::Broken, None, detail));
            }
        }
        let took = guard.took();
        let body = self.read_body(&parts, incoming, guard, conn).await?;
        Ok(ServerResponse {
            parts,
            body,
            took,
            load,
        })
    }

    /// Returns `kind`, or that the response is invalid if it may be an earlier refusal that
    /// the server has sent once more: one that names no call, on a connection on which the
    /// server has refused something. The server may be running this call.
    fn check_refusal(&self, kind: ResponseKind, parts: &Parts, conn: &Conn) -> ResponseKind {
        let refuses = matches!(kind, ResponseKind::Refused | ResponseKind::Misdirected);
        let named = self.dialect.call_id(&parts.headers) == self.call_id;
        if refuses && !named && conn.had_refusals() {
            return ResponseKind::Invalid("it may be an earlier refusal");
        }
        kind
    }

    /// Returns the connection of a refusal to the pool if the body arrives within
    /// [`REFUSAL_BODY_TIMEOUT`]; otherwise closes the connection, so that the call does
    /// not wait for the body.
    async fn reuse_connection(&self, incoming: Incoming, mut conn: Conn) {
        conn.note_refusal(self.call_id.clone());
        let read = timeout(
            REFUSAL_BODY_TIMEOUT,
            body::collect(incoming, BUFFERED_RESPONSE_MAX_BYTES),
        );
        if matches!(read.await, Some(Ok(_))) {
            self.pools.keep(conn, self.ports.now());
        }
    }

    /// Reads `incoming` into `buffered`. Returns false if it is to be streamed.
    async fn read_whole(
        &self,
        incoming: &mut Incoming,
        buffered: &mut PartialBody,
    ) -> hyper::Result<bool> {
        if read_up_to(incoming, buffered, BUFFERED_RESPONSE_MAX_BYTES).await? {
            return Ok(true);
        }
        if self.place.try_stream() {
            return Ok(false);
        }
        if buffered.reserve()
            && read_up_to(incoming, buffered, PIPELINED_RESPONSE_MAX_BYTES).await?
        {
            return Ok(true);
        }
        self.place.stream_anyway();
        Ok(false)
    }

    /// Reads the body completely if it is small, or if requests behind it have been
    /// started and there is room for it; otherwise returns a stream of it.
    async fn read_body(
        &self,
        parts: &Parts,
        mut incoming: Incoming,
        mut guard: PermitGuard,
        conn: Conn,
    ) -> Result<ResponseBody, FailedAttempt> {
        let mut buffered = PartialBody::new(&self.memory);
        let left = self.time_left();
        let reading = self.read_whole(&mut incoming, &mut buffered);
        match timeout(left, reading).await {
            Some(Ok(true)) => {
                let outcome = outcome_of(parts.status);
                guard.end(outcome);
                if outcome == Outcome::Done {
                    self.ports.record_response(self.fingerprint);
                }
                self.pools.keep(conn, self.ports.now());
                let trailers = buffered.trailers.take();
                Ok(ResponseBody::Buffered(buffered.freeze(), trailers))
            }
            Some(Ok(false)) => {
                let completion = Completion {
                    guard,
                    conn,
                    pools: self.pools.clone(),
                    ports: self.ports.clone(),
                    sent: self.sent_request(),
                };
                Ok(ResponseBody::Stream {
                    prefix: buffered.freeze(),
                    rest: incoming,
                    completion: Box::new(completion),
                })
            }
            Some(Err(error)) => {
                guard.end(Outcome::Broken);
                self.sent_request().record_lost(&*self.ports);
                let detail = format!("the answer broke off: {error}");
                Err(FailedAttempt::new(Failure::Broken, None, detail))
            }
            None => {
                guard.end(Outcome::Late);
                Err(FailedAttempt::new(
                    Failure::Late,
                    None,
                    "the body of the response did not arrive in time",
                ))
            }
        }
    }
}

/// Reads `incoming` into `buffered`. Returns false if it is larger than `max` bytes, or
/// than the budget of `buffered` allows.
async fn read_up_to(
    incoming: &mut Incoming,
    buffered: &mut PartialBody,
    max: usize,
) -> hyper::Result<bool> {
    let hint = incoming.size_hint();
    if hint.lower() > max.saturating_sub(buffered.bytes.len()) as u64 {
        return Ok(false);
    }
    while let Some(frame) = incoming.frame().await {
        match frame?.into_data() {
            Ok(data) => buffered.bytes.extend_from_slice(&data),
            Err(frame) => buffered.trailers = frame.into_trailers().ok(),
        }
        if buffered.bytes.len() > max || !buffered.reserve() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// The connection of an exchange and the head of the response, with the body to be read.
type Exchanged = (Conn, Result<Response<Incoming>, ExchangeError>);

/// Why an exchange with a server gave no response.
struct ExchangeError {
    /// The request, if none of it was sent.
    unsent: Option<Request<Body>>,
    detail: String,
}

impl From<SendError> for ExchangeError {
    fn from(failed: SendError) -> Self {
        Self {
            unsent: failed.unsent,
            detail: failed.error.to_string(),
        }
    }
}

/// Records what `server` asks for in the head of its response, also for the VM that relayed
/// the call. The rate limit is recorded here when the permit is released.
fn note_server(
    ports: &dyn Ports,
    dialect: &dyn Dialect,
    heard: &Heard,
    server: ServerId,
    parts: &Parts,
) {
    let now = ports.now();
    let leaving = dialect.leaving(&parts.headers).then_some(Notice::Leaving);
    let rest = dialect.rest(parts).map(Notice::Rest);
    for notice in [leaving, rest].into_iter().flatten() {
        ports.note_server(server, notice);
        heard.add(server, Wish::Notice(notice), now);
    }
    if let Some(interval) = dialect.call_interval(&parts.headers) {
        heard.add(server, Wish::Interval(interval), now);
    }
}

/// The part of a body that has been received.
struct PartialBody {
    bytes: BytesMut,
    trailers: Option<HeaderMap>,
    /// The memory of the bytes beyond [`FREE_RESPONSE_BYTES`].
    memory: Reservation,
    reserved: usize,
}

impl PartialBody {
    fn new(memory: &MemoryBudget) -> Self {
        Self {
            bytes: BytesMut::new(),
            trailers: None,
            memory: memory.empty(),
            reserved: FREE_RESPONSE_BYTES,
        }
    }

    /// Reserves the memory of what has been received. Returns false if the budget does
    /// not suffice.
    fn reserve(&mut self) -> bool {
        let more = self.bytes.len().saturating_sub(self.reserved);
        let has_room = self.memory.grow(more);
        if has_room {
            self.reserved += more;
        }
        has_room
    }

    fn freeze(self) -> Bytes {
        self.memory.attach(self.bytes.freeze())
    }
}

fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Done
    }
}
