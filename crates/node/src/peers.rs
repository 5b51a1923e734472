//! Receives datagrams and stream requests of other VMs, reports lost connections,
//! and probes backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::ServerId;
use entry::Ports;
use http::Request;
use net::fair::Yields;
use route::msg::Load;
use route::msg::ProbeResult;
use route::notices::Notice;
use route::spec;
use smol::net::TcpListener;
use smol::net::TcpStream;
use wire::datagram;
use wire::stream;

use crate::shard::ShardState;
use crate::shared::lock;
use crate::shared::Shared;
use crate::sync::encode;

/// The longest wait for the response to a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest body of a response to a health probe.
const PROBE_BODY_MAX_BYTES: usize = 16 << 10;
/// The delay before a loop goes on after receiving or accepting has failed.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(10);

impl Shared {
    /// Reports each server that closed an idle connection to the home of its shard. Runs
    /// until the task is cancelled.
    pub(crate) async fn report_lost_connections(
        self: Arc<Self>,
        lost_servers: async_channel::Receiver<ServerId>,
    ) {
        while let Ok(server) = lost_servers.recv().await {
            self.check_pause();
            for shard in self.table().shards() {
                if self.may_have_restarted(shard, server).await {
                    let effects = shard.connection_lost(server, self.clock.now());
                    self.run_effects(shard, effects);
                }
            }
        }
    }

    /// Returns whether `server` is one of `shard` and may have closed a connection because it
    /// restarted, and not because this VM has lost its path to all servers.
    async fn may_have_restarted(&self, shard: &ShardState, server: ServerId) -> bool {
        if shard.spec().server(server).is_none() {
            return false;
        }
        let state = entry::Ports::state(self);
        match state.server(shard.service, server) {
            Some(target) => !self.check_path(target.address).await,
            None => true,
        }
    }

    /// Receives datagrams and dispatches their messages. Runs until the task is
    /// cancelled.
    pub(crate) async fn receive_datagrams(self: Arc<Self>) {
        let mut buffer = vec![0; datagram::RECEIVE_MAX_BYTES];
        let mut yields = Yields::default();
        loop {
            yields.count_item().await;
            let received = self.transport.receive(&mut buffer).await;
            let (length, address) = match received {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("wire: receive failed: {error}");
                    smol::Timer::after(SOCKET_ERROR_DELAY).await;
                    continue;
                }
            };
            self.check_pause();
            match datagram::open(&buffer[..length], &self.keyring) {
                Ok((from, msgs)) => {
                    for msg in msgs {
                        self.receive(from, address, msg);
                    }
                }
                Err(error) => log::debug!("wire: datagram from {address} dropped: {error}"),
            }
        }
    }

    /// Serves other VMs' requests over TCP. Runs until the task is cancelled.
    pub(crate) async fn serve_streams(self: Arc<Self>, listener: TcpListener) {
        let mut yields = Yields::default();
        loop {
            yields.count_item().await;
            match listener.accept().await {
                Ok((stream, address)) => {
                    let shared = self.clone();
                    self.handle
                        .spawn_detached(shared.serve_stream(stream, address));
                }
                Err(error) => {
                    log::warn!("wire: accept failed: {error}");
                    smol::Timer::after(SOCKET_ERROR_DELAY).await;
                }
            }
        }
    }

    async fn serve_stream(self: Arc<Self>, stream: TcpStream, address: SocketAddr) {
        let reply = |request| self.reply_to(request);
        if let Err(error) = stream::serve(stream, &self.keyring, reply).await {
            log::debug!("wire: request from {address} failed: {error}");
        }
    }

    /// Returns what a peer requests: configuration newer than its own, or parts of
    /// the configuration.
    fn reply_to(&self, request: stream::Request) -> stream::Reply {
        let mirror = lock(&self.mirror);
        match request {
            stream::Request::Newer {
                head,
                domains,
                registry,
            } => stream::Reply::Newer {
                registry: self.newer_registry(&registry),
                head: (mirror.revision() > head).then(|| encode(mirror.head())),
                domains: (mirror.domain_orders().revision > domains)
                    .then(|| encode(mirror.domain_orders())),
            },
            stream::Request::Parts(entries) => {
                let parts = entries.iter().take(stream::PARTS_PER_REQUEST);
                let parts = parts.map(|entry| mirror.part(entry).map(<[u8]>::to_vec));
                stream::Reply::Parts(parts.collect())
            }
        }
    }

    /// Starts a health probe of `server` in a task of its own, which reports the
    /// result to the coordinator and to the local policy.
    pub(crate) fn probe(self: &Shared, shard: &Arc<ShardState>, server: base::ServerId) {
        let state = entry::Ports::state(self);
        let Some(service) = state.service(shard.service) else {
            return;
        };
        let Some(target) = state.server(shard.service, server) else {
            return;
        };
        let Some(shared) = self.to_arc() else {
            return;
        };
        let probe = Probe {
            id: server,
            server: target.clone(),
            path: service.probe.path.clone(),
            max_connections: spec::connections_per_vm(target.connections, self.view().alive.len()),
        };
        let shard = shard.clone();
        self.handle.spawn_detached(async move {
            // A probe of a server that wants no calls fails without being sent.
            let allowed = shared.allows_server(server);
            let result = if allowed {
                probe.run(&shared).await
            } else {
                ProbeResult::default()
            };
            let now = shared.clock.now();
            let effects = shard.record_probe(server, result, now);
            shared.run_effects(&shard, effects);
            if let Some(load) = result.load.filter(|_| result.ok) {
                shard.with_local(|local| local.record_probe(server, load, now));
            }
        });
    }
}

/// A health probe of a server, sent on a connection from the pool that calls use.
struct Probe {
    id: ServerId,
    server: conf::Server,
    path: String,
    /// The most connections that this VM may have open to the server.
    max_connections: usize,
}

impl Probe {
    /// Returns the result of the probe, which is a failure if the server sends no
    /// response with a success status within [`PROBE_TIMEOUT`].
    async fn run(self, shared: &Shared) -> ProbeResult {
        let result = net::timeout(PROBE_TIMEOUT, self.request(shared)).await;
        result.flatten().unwrap_or_default()
    }

    /// Sends the request and reads the response; returns none if that fails or the
    /// status of the response is not a success.
    async fn request(self, shared: &Shared) -> Option<ProbeResult> {
        let request = Request::get(&self.path)
            .header(http::header::HOST, self.server.address.to_string())
            .body(net::body::empty())
            .ok()?;
        let pools = &shared.pools;
        let mut conn = pools
            .get(self.id, &self.server, false, self.max_connections)
            .await
            .ok()?;
        let response = conn.sender()?.send(request).await.ok()?;
        let (parts, incoming) = response.into_parts();
        net::body::collect(incoming, PROBE_BODY_MAX_BYTES)
            .await
            .ok()?;
        if shared.dialect.call_id(&parts.headers).is_some() {
            // A late response to a call, behind which that of the probe may follow.
            return None;
        }
        if !parts.status.is_success() {
            conn.note_refusal(None);
        }
        pools.keep(conn, shared.clock.now());
        let idle = Load {
            busy: 0,
            waiting: 0,
            slowdown_percent: route::msg::USUAL_SLOWDOWN_PERCENT,
        };
        if shared.dialect.leaving(&parts.headers) {
            shared.note_server(self.id, Notice::Leaving);
        }
        if let Some(delay) = shared.dialect.rest(&parts) {
            shared.note_server(self.id, Notice::Rest(delay));
        }
        let load = shared.dialect.load(&parts.headers);
        parts.status.is_success().then(|| ProbeResult {
            ok: true,
            load: Some(load.unwrap_or(idle)),
            warm: shared.dialect.warm(&parts.headers),
        })
    }
}
