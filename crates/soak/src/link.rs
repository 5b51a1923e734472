//! A loopback TCP proxy that injects faults into the connections through it.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol::channel;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::Timer;

/// The size of the copy buffer.
const CHUNK_BYTES: usize = 16 << 10;
/// How often a connection checks whether the fault has changed, and the backoff after
/// a connection could not be accepted.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A fault that a link applies to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    None,
    /// Delays each chunk of bytes by this time, in both directions.
    Delay(Duration),
    /// Closes open connections, and new ones once they are accepted.
    Reset,
    /// Holds back bytes from the target until the fault ends; the other direction
    /// works.
    OneWay,
    /// Forwards nothing. Connections that have bytes to forward or are accepted
    /// during the fault never forward any again.
    Blackhole,
}

/// Asks the task that accepts connections to listen or to stop that, and to drop the sender
/// when it has done so.
type ListenRequest = (bool, channel::Sender<()>);

/// A proxy to one target address. Clones share the fault.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<LinkFault>>,
    listen_requests: channel::Sender<ListenRequest>,
}

impl Link {
    /// Starts a proxy to `target` on a free port of the same IP address.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be bound.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let (listen_requests, receiver) = channel::unbounded();
        let link = Self {
            listen_requests,
            address: listener.local_addr()?,
            target: Arc::new(Mutex::new(target)),
            fault: Arc::new(Mutex::new(LinkFault::None)),
        };
        smol::spawn(link.clone().accept(listener, receiver)).detach();
        Ok(link)
    }

    /// Accepts connections, except while asked not to.
    async fn accept(self, listener: TcpListener, requests: channel::Receiver<ListenRequest>) {
        let mut listener = Some(listener);
        loop {
            let accepted = async {
                match &listener {
                    Some(listener) => Ok(listener.accept().await),
                    None => std::future::pending().await,
                }
            };
            let asked = async { Err(requests.recv().await) };
            match futures_lite::future::or(accepted, asked).await {
                Ok(Ok((stream, _))) => {
                    let link = self.clone();
                    smol::spawn(async move { link.forward(stream).await }).detach();
                }
                Ok(Err(_)) => {
                    Timer::after(POLL_PERIOD).await;
                }
                Err(Ok((false, _done))) => listener = None,
                Err(Ok((true, _done))) => {
                    while listener.is_none() {
                        Timer::after(POLL_PERIOD).await;
                        listener = TcpListener::bind(self.address).await.ok();
                    }
                }
                Err(Err(_)) => return,
            }
        }
    }

    /// Accepts connections from now on, or refuses them as a host without the program does.
    pub async fn set_listening(&self, listening: bool) {
        let (done, wait) = channel::bounded(1);
        if self.listen_requests.send((listening, done)).await.is_ok() {
            let _ = wait.recv().await;
        }
    }

    /// Returns the address on which the proxy accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward(&self, downstream: TcpStream) {
        if self.fault() == LinkFault::Blackhole {
            // Keeps the connection open until the run ends, as a host that does not
            // respond would.
            std::future::pending::<()>().await;
        }
        let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(upstream) = TcpStream::connect(target).await else {
            return;
        };
        let to_target = self.copy(downstream.clone(), upstream.clone(), false);
        let to_client = self.copy(upstream.clone(), downstream.clone(), true);
        futures_lite::future::zip(to_target, to_client).await;
    }

    /// Copies bytes in one direction until either side closes. `from_target` says that
    /// the bytes come from the target.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, from_target: bool) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = async { Some(from.read(&mut chunk).await) };
            let reset = async {
                while self.fault() != LinkFault::Reset {
                    Timer::after(POLL_PERIOD).await;
                }
                None
            };
            let Some(Ok(size)) = futures_lite::future::or(read, reset).await else {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            };
            self.apply_fault(from_target).await;
            if size == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&chunk[..size]).await.is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    async fn apply_fault(&self, from_target: bool) {
        match self.fault() {
            LinkFault::None | LinkFault::Reset => {}
            LinkFault::Delay(time) => {
                Timer::after(time).await;
            }
            LinkFault::OneWay => {
                while from_target && self.fault() == LinkFault::OneWay {
                    Timer::after(POLL_PERIOD).await;
                }
            }
            LinkFault::Blackhole => std::future::pending().await,
        }
    }
}
