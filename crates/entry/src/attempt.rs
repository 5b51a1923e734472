//! One attempt at one server.

use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
use conf::Server;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use net::timeout;
use net::Body;
use route::attempts::Failure;
use route::msg::Load;
use route::spec;

use crate::guard::Guard;
use crate::headers;
use crate::pool::Conn;
use crate::pool::Pools;
use crate::ports::Permit;
use crate::ports::Ports;

/// What an attempt needs.
pub struct Attempt {
    /// The rest of the VM.
    pub ports: Arc<dyn Ports>,
    /// The connections.
    pub pools: Arc<Pools>,
    /// The server.
    pub server: Server,
    /// Whether it is called as HTTP/2.
    pub http2: bool,
    /// Leave to call it.
    pub permit: Permit,
    /// The time left for the call.
    pub left: Duration,
}

/// The head of a server's answer, with all that its body still holds.
pub struct Head {
    /// The answer.
    pub response: Response<Incoming>,
    /// The permit.
    pub guard: Guard,
    /// The connection that the body comes on.
    pub conn: Conn,
    /// The time from sending the request to the head.
    pub took: Duration,
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
        let share = spec::share(self.server.connections, self.ports.fleet());
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
            Some(Ok(response)) => self.check(response, guard, conn),
        }
    }

    /// Tells an answer from a refusal that means the call was not run.
    fn check(
        &self,
        response: Response<Incoming>,
        mut guard: Guard,
        conn: Conn,
    ) -> Result<Head, Failed> {
        guard.set_load(load(response.headers()));
        let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if refused && response.headers().contains_key(headers::NOT_RUN) {
            guard.end(Outcome::Shed);
            return Err(Failed::new(Failure::Shed, None, "the server refused it"));
        }
        let took = guard.took();
        Ok(Head {
            response,
            guard,
            conn,
            took,
        })
    }
}

/// Reads a server's report of its load.
pub fn load(fields: &HeaderMap) -> Option<Load> {
    let text = fields.get(headers::LOAD)?.to_str().ok()?;
    let number = |name: &str| {
        text.split(',')
            .filter_map(|part| part.trim().split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    };
    Some(Load {
        busy: number("busy")?,
        waiting: number("waiting").unwrap_or(0),
    })
}
