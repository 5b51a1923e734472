//! A UDP transport that simulates network latency and loss of datagrams.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use net::exec::Handle;
use wire::transport::IoFuture;
use wire::transport::Udp;
use wire::Transport;

/// Scale of the loss, which is stored as an integer in parts per million.
const PARTS_PER_MILLION: f64 = 1e6;

/// Network conditions, shared by all transports of a fleet.
#[derive(Debug, Default)]
pub struct NetworkConditions {
    loss_ppm: AtomicU32,
}

impl NetworkConditions {
    /// Sets the share of datagrams that are lost, from 0 to 1.
    pub fn set_loss(&self, share: f64) {
        self.loss_ppm
            .store((share * PARTS_PER_MILLION) as u32, Ordering::Relaxed);
    }

    fn drops_datagram(&self) -> bool {
        let loss_ppm = self.loss_ppm.load(Ordering::Relaxed);
        loss_ppm > 0 && fastrand::u32(..PARTS_PER_MILLION as u32) < loss_ppm
    }
}

/// A UDP transport whose sent datagrams are delayed or lost; reception is
/// unchanged.
pub struct DelayedTransport {
    inner: Arc<Udp>,
    latency: Duration,
    network: Arc<NetworkConditions>,
    handle: Handle,
}

impl DelayedTransport {
    /// Binds a socket to `address` that delays each sent datagram by `latency`,
    /// on tasks of `handle`, and loses datagrams as `network` says.
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
            if self.network.drops_datagram() {
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
