//! The border to the network for datagrams.
//!
//! The daemon uses [`Udp`]. Tests and the load tool put their own transport in
//! its place, to lose, delay or cut.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use futures_lite::Future;
use smol::net::UdpSocket;

/// A boxed future of a transport.
pub type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'a>>;

/// Sends and receives datagrams.
pub trait Transport: Send + Sync {
    /// Sends one datagram; it may be lost.
    fn send<'a>(&'a self, to: SocketAddr, bytes: &'a [u8]) -> IoFuture<'a, ()>;

    /// Waits for a datagram; returns its length and sender.
    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> IoFuture<'a, (usize, SocketAddr)>;
}

/// UDP.
#[derive(Debug)]
pub struct Udp(UdpSocket);

impl Udp {
    /// Opens a socket at `address`.
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
