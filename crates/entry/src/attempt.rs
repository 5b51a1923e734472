//! One attempt at one server.

use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
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
use net::timeout;
use net::Body;
use route::attempts::Failure;
use route::msg::Load;
use route::spec;

use crate::dialect::Dialect;
use crate::dialect::Reply;
use crate::guard::Guard;
use crate::pool::Conn;
use crate::pool::Pools;
use crate::ports::Permit;
use crate::ports::Ports;
use crate::request::KEPT_MAX;
use crate::tracked::Settle;

/// The largest answer that is read whole before its head is passed on, in
/// bytes, so that one that breaks can be asked for again. It is the size up to
/// which requests are kept, see [`crate::request`].
const GATHERED_MAX: usize = KEPT_MAX;
/// The longest wait for the body of a refusal, which servers send with its head.
const REFUSAL_WAIT: Duration = Duration::from_millis(20);

/// What an attempt needs.
pub struct Attempt {
    /// The rest of the VM.
    pub ports: Arc<dyn Ports>,
    /// The connections.
    pub pools: Arc<Pools>,
    /// The fields by which servers are spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// The id of the call, which the answer has to bear.
    pub id: Option<HeaderValue>,
    /// The server.
    pub server: Server,
    /// Whether it is called as HTTP/2.
    pub http2: bool,
    /// Leave to call it.
    pub permit: Permit,
    /// The time left for the call.
    pub left: Duration,
}

/// The body of a server's answer.
pub enum Content {
    /// It has come whole, with its trailers.
    Whole(Bytes, Option<HeaderMap>),
    /// It is still coming, after `prefix`.
    Stream {
        /// What has come already.
        prefix: Bytes,
        /// The rest.
        rest: Incoming,
        /// What has to be settled when it ends.
        settle: Box<Settle>,
    },
}

/// The head of a server's answer, with its body.
pub struct Head {
    /// The head.
    pub parts: Parts,
    /// The body.
    pub content: Content,
    /// The time from sending the request to the head.
    pub took: Duration,
    /// What the server said about its load.
    pub load: Option<Load>,
}

/// An attempt that failed.
pub struct Failed {
    /// How.
    pub failure: Failure,
    /// The request, if nothing of it was sent.
    pub unsent: Option<Box<Request<Body>>>,
    /// What happened, for the span.
    pub text: String,
}

impl Failed {
    fn new(failure: Failure, unsent: Option<Request<Body>>, text: impl Into<String>) -> Self {
        Self {
            failure,
            unsent: unsent.map(Box::new),
            text: text.into(),
        }
    }
}

impl Attempt {
    /// Makes the attempt; the permit is released on every way out.
    pub async fn run(self, request: Request<Body>) -> Result<Head, Failed> {
        let mut guard = Guard::new(self.ports.clone(), self.permit);
        let share = spec::connections_per_vm(self.server.connections, self.ports.fleet());
        let connecting = self
            .pools
            .get(self.permit.server, &self.server, self.http2, share);
        let mut conn = match timeout(self.left, connecting).await {
            Some(Ok(conn)) => conn,
            Some(Err(error)) => {
                guard.end(Outcome::Unreachable);
                return Err(Failed::new(
                    Failure::Unsent,
                    Some(request),
                    error.to_string(),
                ));
            }
            None => {
                guard.end(Outcome::Unused);
                let text = "no connection before the deadline";
                return Err(Failed::new(Failure::Unsent, Some(request), text));
            }
        };
        let Some(sender) = conn.sender() else {
            guard.end(Outcome::Unreachable);
            return Err(Failed::new(Failure::Unsent, Some(request), "not connected"));
        };
        guard.start();
        match timeout(self.left, sender.send(request)).await {
            None => {
                guard.end(Outcome::Late);
                Err(Failed::new(Failure::Late, None, "no answer in time"))
            }
            Some(Err(failed)) => {
                let text = failed.error.to_string();
                let (outcome, failure) = match failed.unsent {
                    Some(_) => (Outcome::Unused, Failure::Unsent),
                    None => (Outcome::Broken, Failure::Broken),
                };
                guard.end(outcome);
                Err(Failed::new(failure, failed.unsent, text))
            }
            Some(Ok(response)) => self.check(response, guard, conn).await,
        }
    }

    /// Tells the answer to the call from what else may come, and reads it.
    async fn check(
        &self,
        response: Response<Incoming>,
        mut guard: Guard,
        conn: Conn,
    ) -> Result<Head, Failed> {
        let (parts, incoming) = response.into_parts();
        let load = self.dialect.load(&parts.headers);
        guard.set_load(load);
        match self.dialect.judge(self.id.as_ref(), &parts) {
            Reply::Answer => {}
            Reply::Refused => {
                guard.end(Outcome::Shed);
                self.reuse(incoming, conn).await;
                return Err(Failed::new(Failure::Shed, None, "the server refused it"));
            }
            Reply::Misdirected => {
                guard.end(Outcome::Unreachable);
                let text = "another server has the address";
                return Err(Failed::new(Failure::Misdirected, None, text));
            }
            Reply::Foreign(text) => {
                guard.end(Outcome::Broken);
                return Err(Failed::new(Failure::Broken, None, text));
            }
        }
        let took = guard.took();
        let content = self.gather(&parts, incoming, guard, conn).await?;
        Ok(Head {
            parts,
            content,
            took,
            load,
        })
    }

    /// Keeps the connection of a refusal whose body comes at once; the call must
    /// not wait for it.
    async fn reuse(&self, incoming: Incoming, conn: Conn) {
        let read = timeout(REFUSAL_WAIT, body::collect(incoming, GATHERED_MAX));
        if matches!(read.await, Some(Ok(_))) {
            self.pools.keep(conn, self.ports.now());
        }
    }

    /// Reads the body if it is small.
    async fn gather(
        &self,
        parts: &Parts,
        mut incoming: Incoming,
        mut guard: Guard,
        conn: Conn,
    ) -> Result<Content, Failed> {
        let large = incoming
            .size_hint()
            .upper()
            .is_some_and(|upper| upper > GATHERED_MAX as u64);
        let mut gathered = Gathered::default();
        let left = self.left.saturating_sub(guard.took());
        let whole = if large {
            Some(Ok(false))
        } else {
            timeout(left, read_up_to(&mut incoming, &mut gathered)).await
        };
        match whole {
            Some(Ok(true)) => {
                guard.end(outcome_of(parts.status));
                self.pools.keep(conn, self.ports.now());
                Ok(Content::Whole(gathered.bytes.freeze(), gathered.trailers))
            }
            Some(Ok(false)) => {
                let settle = Settle {
                    guard,
                    conn,
                    pools: self.pools.clone(),
                    ports: self.ports.clone(),
                };
                Ok(Content::Stream {
                    prefix: gathered.bytes.freeze(),
                    rest: incoming,
                    settle: Box::new(settle),
                })
            }
            Some(Err(error)) => {
                guard.end(Outcome::Broken);
                let text = format!("the answer broke off: {error}");
                Err(Failed::new(Failure::Broken, None, text))
            }
            None => {
                guard.end(Outcome::Late);
                Err(Failed::new(
                    Failure::Late,
                    None,
                    "the answer came too slowly",
                ))
            }
        }
    }
}

/// What has come of a body.
#[derive(Default)]
struct Gathered {
    bytes: BytesMut,
    trailers: Option<HeaderMap>,
}

/// Reads `incoming` into `gathered`; false if there is more than may be
/// gathered.
async fn read_up_to(incoming: &mut Incoming, gathered: &mut Gathered) -> hyper::Result<bool> {
    while let Some(frame) = incoming.frame().await {
        match frame?.into_data() {
            Ok(data) => gathered.bytes.extend_from_slice(&data),
            Err(frame) => gathered.trailers = frame.into_trailers().ok(),
        }
        if gathered.bytes.len() > GATHERED_MAX {
            return Ok(false);
        }
    }
    Ok(true)
}

fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Done
    }
}
