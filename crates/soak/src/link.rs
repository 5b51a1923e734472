//! A proxy on loopback that harms the connections through it.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::Timer;

/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;
/// How often a connection that is held back looks whether it may go on.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// What a link does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    None,
    /// Holds bytes back for a time, in both directions.
    Delay(Duration),
    /// Closes what is open and what is opened.
    Reset,
    /// Holds back what comes from the far end.
    OneWay,
    /// Moves nothing; connections that are open then never move again.
    Blackhole,
}

/// A way to one address.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<LinkFault>>,
}

impl Link {
    /// Opens a way to `target` on a free port of its address.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let link = Self {
            address: listener.local_addr()?,
            target: Arc::new(Mutex::new(target)),
            fault: Arc::new(Mutex::new(LinkFault::None)),
        };
        let acceptor = link.clone();
        smol::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(POLL_PERIOD).await;
                    continue;
                };
                let link = acceptor.clone();
                smol::spawn(async move { link.forward(stream).await }).detach();
            }
        })
        .detach();
        Ok(link)
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what it does from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward(&self, downstream: TcpStream) {
        if self.fault() == LinkFault::Blackhole {
            // Held open until the run ends, as a host that does not answer.
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

    /// Moves bytes until one side ends; `back` says that they come from the far end.
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
