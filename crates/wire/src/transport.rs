//! The interface to the network for datagrams.
//!
//! The daemon uses [`Udp`]. Tests and the load tool substitute transports that
//! drop or delay datagrams or partition the network.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use futures_lite::Future;
use smol::net::UdpSocket;

/// The boxed future that the methods of a [`Transport`] return.
pub type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'a>>;

/// An unreliable datagram service.
pub trait Transport: Send + Sync {
    /// Sends one datagram. A datagram may be lost even if the result is `Ok`.
    fn send<'a>(&'a self, to: SocketAddr, bytes: &'a [u8]) -> IoFuture<'a, ()>;

    /// Receives one datagram into `buffer`, and returns its length and the address of
    /// its sender.
    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> IoFuture<'a, (usize, SocketAddr)>;
}

/// A [`Transport`] over a UDP socket.
#[derive(Debug)]
pub struct Udp(UdpSocket);

impl Udp {
    /// Binds a socket to `address`.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self(UdpSocket::bind(address).await?))
    }
}

impl Transport for Udp {
    fn send<'a>(&'a self, to: SocketAddr, bytes: &'a [u8]) -> IoFuture<'a, ()> {
        Box::pin(async move { self.0.send_to(bytes, to).await.map(|_| ()) })
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> IoFuture<'a, (usize, SocketAddr)> {
        Box::pin(self.0.recv_from(buffer))
    }
}
