//! Endpoints for readiness and metrics that need no access token.
//!
//! The load balancer in front of the entry VMs and the metrics collector have no
//! tokens, and neither readiness nor metrics are secret. Each of the two has a listen
//! address of its own.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

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

use crate::response;

const METRICS_PATH: &str = "/metrics";

/// Serves both endpoints, whichever listener a request arrives at.
struct MonitoringHandler {
    shared: Arc<Shared>,
    ready: Arc<AtomicBool>,
    ready_path: String,
}

/// Serves readiness and metrics on the addresses in the `watch` section of the
/// settings until `stop` is triggered. Does nothing if there is no such section.
///
/// An address that is not free is listened on once it is. Fails if an address can never
/// be bound.
pub async fn serve(node: &Node, stop: Stop) -> anyhow::Result<()> {
    let shared = node.shared().clone();
    let Some(monitoring) = shared.settings.watch.clone() else {
        return Ok(());
    };
    let handler = Arc::new(MonitoringHandler {
        ready: node.ready(),
        ready_path: monitoring.path,
        shared,
    });
    let handle = node.pool().handle();
    let addresses = [
        ("watch.ready", monitoring.ready),
        ("watch.metrics", monitoring.metrics),
    ];
    for (field, address) in addresses {
        let listener = node.shared().listeners.tcp(field, address).await?;
        let server = Server::new(handler.clone(), handle.clone(), stop.clone());
        handle.spawn_detached(server.run_when_bound(listener));
    }
    Ok(())
}

impl MonitoringHandler {
    fn respond(&self, path: &str) -> Response<Body> {
        if path == METRICS_PATH {
            return match self.shared.metrics.prometheus_text() {
                Ok(text) => response::text(StatusCode::OK, text),
                Err(error) => {
                    response::problem(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
                }
            };
        }
        if path != self.ready_path {
            return response::problem(
                StatusCode::NOT_FOUND,
                "unknown path; only readiness and /metrics are served here",
            );
        }
        readiness(&self.ready, &self.shared)
    }
}

/// Returns 200 if this VM is to receive calls, and 503 with the reason if not: the VM
/// is stopping, an address for callers is not listened on, or no configuration is in
/// force yet.
pub(crate) fn readiness(ready: &AtomicBool, shared: &Shared) -> Response<Body> {
    let ready = ready.load(Ordering::SeqCst);
    let waiting = shared.waiting_callers();
    if ready && waiting.is_none() && shared.state().is_configured() {
        return response::text(StatusCode::OK, "ready\n");
    }
    let text = match waiting {
        _ if !ready => "stopping\n".to_owned(),
        Some(address) => format!("cannot listen on {address} (callers.listen) yet\n"),
        None => "no configuration is in force yet\n".to_owned(),
    };
    response::text(StatusCode::SERVICE_UNAVAILABLE, text)
}

impl Handler for MonitoringHandler {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: std::net::SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(request.uri().path()) })
    }
}
