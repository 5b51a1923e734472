//! A transport that adds latency and loses datagrams, around a real one.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use net::exec::Handle;
use wire::transport::IoFuture;
use wire::transport::Udp;
use wire::Transport;

/// Parts of a million, in which the share of lost datagrams is kept.
const MILLION: f64 = 1e6;

/// What all transports of a fleet share.
#[derive(Debug, Default)]
pub struct NetworkConditions {
    lost: AtomicU32,
}

impl NetworkConditions {
    /// Sets the share of datagrams that are lost.
    pub fn set_loss(&self, share: f64) {
        self.lost.store((share * MILLION) as u32, Ordering::Relaxed);
    }

    fn loses(&self) -> bool {
        let lost = self.lost.load(Ordering::Relaxed);
        lost > 0 && fastrand::u32(..MILLION as u32) < lost
    }
}

/// A transport with latency.
pub struct DelayedTransport {
    inner: Arc<Udp>,
    latency: Duration,
    network: Arc<NetworkConditions>,
    handle: Handle,
}

impl DelayedTransport {
    /// Opens a socket at `address` whose datagrams take `latency`.
    pub async fn bind(
        address: SocketAddr,
        latency: Duration,
        network: Arc<NetworkConditions>,
        handle: Handle,
    ) -> std::io::Result<Self> {
        Ok(Self {
            inner: Arc::new(Udp::bind(address).await?),
            latency,
            network,
            handle,
        })
    }
}

impl Transport for DelayedTransport {
    fn send<'a>(&'a self, to: SocketAddr, bytes: &'a [u8]) -> IoFuture<'a, ()> {
        Box::pin(async move {
            if self.network.loses() {
                return Ok(());
            }
            if self.latency.is_zero() {
                return self.inner.send(to, bytes).await;
            }
            let inner = self.inner.clone();
            let bytes = bytes.to_vec();
            let latency = self.latency;
            self.handle.spawn_detached(async move {
                standin::sleep(latency).await;
                let _ = inner.send(to, &bytes).await;
            });
            Ok(())
        })
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> IoFuture<'a, (usize, SocketAddr)> {
        self.inner.receive(buffer)
    }
}
