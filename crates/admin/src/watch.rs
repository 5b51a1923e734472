//! Readiness and metrics, asked for without a token.
//!
//! The balancer in front and the collector of metrics have no tokens, and what
//! they are told is no secret. Each has an address of its own.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use anyhow::Context;
use entry::Ports;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use net::server::Handler;
use net::server::Server;
use net::Body;
use net::BoxFuture;
use net::Stop;
use node::Node;
use node::Shared;
use smol::net::TcpListener;

use crate::reply;

/// The path of the metrics.
const METRICS: &str = "/metrics";

struct Watch {
    shared: Arc<Shared>,
    ready: Arc<AtomicBool>,
    path: String,
}

/// Serves readiness and metrics where the settings say so, until `stop`.
pub async fn serve(node: &Node, stop: Stop) -> anyhow::Result<()> {
    let shared = node.shared().clone();
    let Some(watch) = shared.settings.watch.clone() else {
        return Ok(());
    };
    let handler = Arc::new(Watch {
        ready: node.ready(),
        path: watch.path,
        shared,
    });
    let handle = node.pool().handle();
    for (address, field) in [(watch.ready, "ready"), (watch.metrics, "metrics")] {
        let listener = TcpListener::bind(address).await.with_context(|| {
            format!("cannot listen on {address} (watch.{field}); free the port or choose another")
        })?;
        let server = Server::new(handler.clone(), handle.clone(), stop.clone());
        handle.spawn_detached(server.run(listener));
    }
    Ok(())
}

impl Watch {
    fn answer(&self, path: &str) -> Response<Body> {
        if path == METRICS {
            return match self.shared.metrics.prometheus_text() {
                Ok(text) => reply::text(StatusCode::OK, text),
                Err(error) => reply::problem(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            };
        }
        if path != self.path {
            return reply::problem(StatusCode::NOT_FOUND, "nothing is here");
        }
        readiness(&self.ready, &self.shared)
    }
}

/// Answers the question whether callers should be sent here.
pub(crate) fn readiness(ready: &AtomicBool, shared: &Shared) -> Response<Body> {
    let ready = ready.load(Ordering::SeqCst);
    if ready && shared.state().is_configured() {
        return reply::text(StatusCode::OK, "ready\n");
    }
    let text = if ready {
        "no configuration is in force yet\n"
    } else {
        "stopping\n"
    };
    reply::text(StatusCode::SERVICE_UNAVAILABLE, text)
}

impl Handler for Watch {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: std::net::SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request.uri().path()) })
    }
}
