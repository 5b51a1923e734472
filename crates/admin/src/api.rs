//! The requests of the API.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Context;
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
use smol::net::TcpListener;

use crate::access::Access;
use crate::access::Caller;
use crate::reply;
use crate::watch;

/// The largest ticket, in bytes.
const TICKET_MAX: usize = 8 << 20;
/// Calls that are shown if the request does not say how many.
const CALLS: usize = 100;

struct Api {
    shared: Arc<Shared>,
    ready: Arc<AtomicBool>,
    access: Access,
}

/// Serves the API of `node` until `stop`; returns its address.
pub async fn serve(node: &Node, stop: Stop) -> anyhow::Result<SocketAddr> {
    let shared = node.shared().clone();
    let address = shared.settings.admin.listen;
    let listener = TcpListener::bind(address).await.with_context(|| {
        format!("cannot listen on {address} (admin.listen); free the port or choose another")
    })?;
    let address = listener.local_addr()?;
    let api = Arc::new(Api {
        access: Access::new(&shared.settings.admin),
        ready: node.ready(),
        shared,
    });
    let handle = node.pool().handle();
    handle.spawn_detached(Server::new(api, handle.clone(), stop).run(listener));
    log::info!("admin: listening on {address}");
    Ok(address)
}

impl Handler for Api {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// A request taken apart.
struct Asked<'a> {
    method: &'a Method,
    parts: Vec<&'a str>,
    query: &'a str,
}

impl Asked<'_> {
    /// Returns the value of `name` in the query.
    fn value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    fn force(&self) -> bool {
        self.value("force") == Some("1")
    }
}

impl Api {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let path = parts.uri.path().trim_matches('/').to_owned();
        match path.as_str() {
            "healthz" => return reply::text(StatusCode::OK, "ok\n"),
            "readyz" => return watch::readiness(&self.ready, &self.shared),
            _ => {}
        }
        let Some(caller) = self.access.caller(&parts.headers) else {
            return reply::problem(
                StatusCode::UNAUTHORIZED,
                "no known token; send \"Authorization: Bearer TOKEN\"",
            );
        };
        if parts.method != Method::GET && caller.role < Role::Write {
            return reply::problem(
                StatusCode::FORBIDDEN,
                "the token only allows to look; use one with the role write",
            );
        }
        let asked = Asked {
            method: &parts.method,
            parts: path.split('/').collect(),
            query: parts.uri.query().unwrap_or_default(),
        };
        if *asked.method == Method::POST {
            self.change(&asked, incoming, &caller).await
        } else {
            self.look(&asked).await
        }
    }

    async fn look(&self, asked: &Asked<'_>) -> Response<Body> {
        let shared = &self.shared;
        match asked.parts.as_slice() {
            ["metrics"] => match shared.metrics.prometheus_text() {
                Ok(text) => reply::text(StatusCode::OK, text),
                Err(error) => reply::problem(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            },
            ["v1", "status"] => reply::json(StatusCode::OK, &shared.status()),
            ["v1", "services"] => reply::json(StatusCode::OK, &shared.state().services),
            ["v1", "tickets"] => reply::json(StatusCode::OK, &shared.recent_tickets()),
            ["v1", "tickets", number] => self.ticket(number).await,
            ["v1", "domains"] => reply::json(StatusCode::OK, &shared.state().domain_orders),
            ["v1", "calls"] => self.calls(asked),
            ["v1", "traces", id] => reply::json(StatusCode::OK, &shared.spans.trace_spans(id)),
            _ => no_such(),
        }
    }

    async fn ticket(&self, number: &str) -> Response<Body> {
        let Ok(number) = number.parse() else {
            return reply::problem(StatusCode::BAD_REQUEST, "a ticket has a number");
        };
        match accept::read_ticket(&*self.shared.store, number).await {
            Ok(Some(ticket)) => reply::json(StatusCode::OK, &ticket),
            Ok(None) => reply::problem(StatusCode::NOT_FOUND, "there is no ticket of this number"),
            Err(error) => refuse(&error),
        }
    }

    fn calls(&self, asked: &Asked<'_>) -> Response<Body> {
        let most = asked.value("most").and_then(|text| text.parse().ok());
        let calls = self.shared.calls.find(most.unwrap_or(CALLS), |call| {
            asked.value("service").is_none_or(|s| s == call.service)
                && asked.value("trace").is_none_or(|t| t == call.trace)
        });
        reply::json(StatusCode::OK, &calls)
    }

    async fn change(
        &self,
        asked: &Asked<'_>,
        incoming: Incoming,
        caller: &Caller,
    ) -> Response<Body> {
        match asked.parts.as_slice() {
            ["v1", "tickets"] => self.apply(asked, incoming, caller).await,
            ["v1", "domains", name, "out"] => self.order(asked, name, true, caller).await,
            ["v1", "domains", name, "in"] => self.order(asked, name, false, caller).await,
            _ => no_such(),
        }
    }

    async fn apply(
        &self,
        asked: &Asked<'_>,
        incoming: Incoming,
        caller: &Caller,
    ) -> Response<Body> {
        let Ok(bytes) = body::collect(incoming, TICKET_MAX).await else {
            return reply::problem(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the ticket is larger than 8 MiB or was cut; split it or send it whole",
            );
        };
        let text = String::from_utf8_lossy(&bytes);
        let ticket: Ticket = match conf::document::parse(&text) {
            Ok(ticket) => ticket,
            Err(faults) => return refuse(&accept::Error::Invalid(faults)),
        };
        let who = ApplyContext {
            name: caller.name.clone(),
            region: self.shared.settings.region.clone(),
            at: seconds(),
            force: asked.force(),
        };
        match self.shared.apply_ticket(&ticket, &who).await {
            Ok(accepted) => reply::json(StatusCode::OK, &accepted),
            Err(error) => refuse(&error),
        }
    }

    async fn order(
        &self,
        asked: &Asked<'_>,
        name: &str,
        out: bool,
        caller: &Caller,
    ) -> Response<Body> {
        if !self.shared.has_domain(name) {
            return reply::problem(
                StatusCode::NOT_FOUND,
                format!("there is no failure domain \"{name}\"; see the tickets for their names"),
            );
        }
        let order = DomainOrder {
            domain: name.to_owned(),
            out,
            by: caller.name.clone(),
            at: seconds(),
        };
        match self.shared.apply_domain_order(order, asked.force()).await {
            Ok(domains) => reply::json(StatusCode::OK, &domains),
            Err(error) => refuse(&error),
        }
    }
}

fn seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}

fn no_such() -> Response<Body> {
    reply::problem(
        StatusCode::NOT_FOUND,
        "there is no such request; see docs/operate/api.md",
    )
}

fn refuse(error: &accept::Error) -> Response<Body> {
    let status = match error {
        accept::Error::Invalid(_) => StatusCode::BAD_REQUEST,
        accept::Error::Platform(_) | accept::Error::OutcomeUnknown => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        accept::Error::Unreadable(_) => StatusCode::INTERNAL_SERVER_ERROR,
        accept::Error::NumberTaken(_)
        | accept::Error::Superseded { .. }
        | accept::Error::Raced { .. }
        | accept::Error::NeedsForce(_) => StatusCode::CONFLICT,
    };
    reply::problem(status, error.to_string())
}
