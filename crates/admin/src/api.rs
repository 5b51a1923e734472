//! Routing and execution of API requests.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use conf::accept;
use conf::accept::ApplyContext;
use conf::domains::DomainOrder;
use conf::settings::Role;
use conf::Ticket;
use entry::Ports;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use net::body;
use net::server::Handler;
use net::server::Server;
use net::Body;
use net::BoxFuture;
use net::Stop;
use node::Node;
use node::Shared;

use crate::auth::Authenticator;
use crate::auth::Principal;
use crate::monitoring;
use crate::response;

const TICKET_MAX_BYTES: usize = 8 << 20;
/// The number of calls that `/v1/calls` returns if the query has no valid `most`.
const CALLS_DEFAULT_COUNT: usize = 100;

struct Api {
    shared: Arc<Shared>,
    ready: Arc<AtomicBool>,
    authenticator: Authenticator,
}

/// Serves the API of `node` on the address `admin.listen` of the settings until `stop`
/// is triggered. Returns the address that is listened on, which differs from the setting
/// if the setting has port 0; none without a section `admin`, and if the address is not
/// free, in which case it is listened on once it is.
///
/// Fails if the address can never be bound.
pub async fn serve(node: &Node, stop: Stop) -> anyhow::Result<Option<SocketAddr>> {
    let shared = node.shared().clone();
    let Some(settings) = &shared.settings.admin else {
        return Ok(None);
    };
    let listener = shared
        .listeners
        .tcp("admin.listen", settings.listen)
        .await?;
    let address = listener.local_address();
    let api = Arc::new(Api {
        authenticator: Authenticator::new(settings),
        ready: node.ready(),
        shared: shared.clone(),
    });
    let handle = node.pool().handle();
    handle.spawn_detached(Server::new(api, handle.clone(), stop).run_when_bound(listener));
    if let Some(address) = address {
        log::info!("admin: listening on {address}");
    }
    Ok(address)
}

impl Handler for Api {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(request).await })
    }
}

/// The parts of a request by which it is routed.
struct ApiRequest<'a> {
    method: &'a Method,
    /// The segments of the path.
    segments: Vec<&'a str>,
    /// The query without the question mark; empty if there is none.
    query: &'a str,
}

impl ApiRequest<'_> {
    /// Returns the first value of the query parameter `name`, without percent-decoding
    /// it.
    fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the query has `force=1`, which makes a change even if it stops calls
    /// from being served.
    fn force(&self) -> bool {
        self.param("force") == Some("1")
    }
}

impl Api {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let path = parts.uri.path().trim_matches('/').to_owned();
        match path.as_str() {
            "healthz" => return response::text(StatusCode::OK, "ok\n"),
            "readyz" => return monitoring::readiness(&self.ready, &self.shared),
            _ => {}
        }
        let Some(principal) = self.authenticator.authenticate(&parts.headers) else {
            return response::problem(
                StatusCode::UNAUTHORIZED,
                "the access token is missing or unknown; send \"Authorization: Bearer TOKEN\"",
            );
        };
        if parts.method != Method::GET && principal.role < Role::Write {
            return response::problem(
                StatusCode::FORBIDDEN,
                "the access token allows only GET requests; use a token with the role \"write\"",
            );
        }
        let api_request = ApiRequest {
            method: &parts.method,
            segments: path.split('/').collect(),
            query: parts.uri.query().unwrap_or_default(),
        };
        if *api_request.method == Method::POST {
            self.post(&api_request, incoming, &principal).await
        } else {
            self.get(&api_request).await
        }
    }

    /// Responds to a request that changes nothing. Every method other than POST is
    /// treated as GET.
    async fn get(&self, request: &ApiRequest<'_>) -> Response<Body> {
        let shared = &self.shared;
        match request.segments.as_slice() {
            ["metrics"] => match shared.metrics.prometheus_text() {
                Ok(text) => response::text(StatusCode::OK, text),
                Err(error) => {
                    response::problem(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
                }
            },
            ["v1", "status"] => response::json(StatusCode::OK, &shared.status()),
            ["v1", "services"] => response::json(StatusCode::OK, &shared.state().services),
            ["v1", "tickets"] => response::json(StatusCode::OK, &shared.recent_tickets()),
            ["v1", "tickets", number] => self.ticket(number).await,
            ["v1", "domains"] => response::json(StatusCode::OK, &shared.state().domain_orders),
            ["v1", "calls"] => self.calls(request),
            ["v1", "traces", id] => response::json(StatusCode::OK, &shared.spans.trace_spans(id)),
            _ => unknown_request(),
        }
    }

    async fn ticket(&self, number: &str) -> Response<Body> {
        let Ok(number) = number.parse() else {
            return response::problem(
                StatusCode::BAD_REQUEST,
                "the ticket number is not an unsigned integer",
            );
        };
        match accept::read_ticket(&*self.shared.store, number).await {
            Ok(Some(ticket)) => response::json(StatusCode::OK, &ticket),
            Ok(None) => {
                response::problem(StatusCode::NOT_FOUND, "there is no ticket with this number")
            }
            Err(error) => error_response(&error),
        }
    }

    fn calls(&self, request: &ApiRequest<'_>) -> Response<Body> {
        let limit = request.param("most").and_then(|text| text.parse().ok());
        let calls = self
            .shared
            .calls
            .find(limit.unwrap_or(CALLS_DEFAULT_COUNT), |call| {
                request.param("service").is_none_or(|s| s == call.service)
                    && request.param("trace").is_none_or(|t| t == call.trace)
            });
        response::json(StatusCode::OK, &calls)
    }

    /// Responds to a request that makes a change.
    async fn post(
        &self,
        request: &ApiRequest<'_>,
        incoming: Incoming,
        principal: &Principal,
    ) -> Response<Body> {
        match request.segments.as_slice() {
            ["v1", "tickets"] => self.apply_ticket(request, incoming, principal).await,
            ["v1", "domains", name, "out"] => {
                self.order_domain(request, name, true, principal).await
            }
            ["v1", "domains", name, "in"] => {
                self.order_domain(request, name, false, principal).await
            }
            _ => unknown_request(),
        }
    }

    async fn apply_ticket(
        &self,
        request: &ApiRequest<'_>,
        incoming: Incoming,
        principal: &Principal,
    ) -> Response<Body> {
        let Ok(bytes) = body::collect(incoming, TICKET_MAX_BYTES).await else {
            return response::problem(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the ticket is larger than 8 MiB or was truncated; split it or send all of it",
            );
        };
        let text = String::from_utf8_lossy(&bytes);
        let ticket: Ticket = match conf::document::parse(&text) {
            Ok(ticket) => ticket,
            Err(errors) => return error_response(&accept::Error::Invalid(errors)),
        };
        let context = ApplyContext {
            name: principal.name.clone(),
            region: self.shared.settings.region.clone(),
            at: unix_secs(),
            force: request.force(),
        };
        match self.shared.apply_ticket(&ticket, &context).await {
            Ok(accepted) => response::json(StatusCode::OK, &accepted),
            Err(error) => error_response(&error),
        }
    }

    /// Takes the failure domain `name` out of service if `out` is true, otherwise puts it
    /// back in.
    async fn order_domain(
        &self,
        request: &ApiRequest<'_>,
        name: &str,
        out: bool,
        principal: &Principal,
    ) -> Response<Body> {
        if !self.shared.has_domain(name) {
            return response::problem(
                StatusCode::NOT_FOUND,
                format!("there is no failure domain \"{name}\"; see the tickets for the names"),
            );
        }
        let order = DomainOrder {
            domain: name.to_owned(),
            out,
            by: principal.name.clone(),
            at: unix_secs(),
        };
        match self.shared.apply_domain_order(order, request.force()).await {
            Ok(domains) => response::json(StatusCode::OK, &domains),
            Err(error) => error_response(&error),
        }
    }
}

/// Returns the time since the Unix epoch in seconds; 0 if the clock is before it.
fn unix_secs() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}

fn unknown_request() -> Response<Body> {
    response::problem(
        StatusCode::NOT_FOUND,
        "there is no API request with this method and path; see docs/operate/api.md",
    )
}

/// Returns the response for a ticket or a domain order that was not accepted, or for a
/// ticket that could not be read.
fn error_response(error: &accept::Error) -> Response<Body> {
    let status = match error {
        accept::Error::Invalid(_) => StatusCode::BAD_REQUEST,
        accept::Error::Platform(_) | accept::Error::OutcomeUnknown => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        accept::Error::Unreadable(_) => StatusCode::INTERNAL_SERVER_ERROR,
        accept::Error::NumberTaken(_)
        | accept::Error::Superseded { .. }
        | accept::Error::ConcurrentChange { .. }
        | accept::Error::NeedsForce(_) => StatusCode::CONFLICT,
    };
    response::problem(status, error.to_string())
}
