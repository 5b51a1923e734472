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
const CHUNK: usize = 16 << 10;
/// How often a connection that is held back looks whether it may go on.
const LOOK: Duration = Duration::from_millis(20);

/// What a link does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// Holds bytes back for a time, in both directions.
    Delay(Duration),
    /// Closes what is open and what is opened.
    Reset,
    /// Holds back what comes from the far end.
    OneWay,
    /// Moves nothing; connections that are open then never move again.
    Silence,
}

/// A way to one address.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    harm: Arc<Mutex<Harm>>,
}

impl Link {
    /// Opens a way to `target` on a free port of its address.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let link = Self {
            address: listener.local_addr()?,
            target: Arc::new(Mutex::new(target)),
            harm: Arc::new(Mutex::new(Harm::None)),
        };
        let accepts = link.clone();
        smol::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(LOOK).await;
                    continue;
                };
                let link = accepts.clone();
                smol::spawn(async move { link.carry(stream).await }).detach();
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
    pub fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner) = harm;
    }

    fn harm(&self) -> Harm {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn carry(&self, near: TcpStream) {
        if self.harm() == Harm::Silence {
            // Held open until the run ends, as a host that does not answer.
            std::future::pending::<()>().await;
        }
        let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let up = self.pump(near.clone(), far.clone(), false);
        let down = self.pump(far.clone(), near.clone(), true);
        futures_lite::future::zip(up, down).await;
    }

    /// Moves bytes until one side ends; `back` says that they come from the far end.
    async fn pump(&self, mut from: TcpStream, mut to: TcpStream, back: bool) {
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = async { Some(from.read(&mut chunk).await) };
            let broken = async {
                while self.harm() != Harm::Reset {
                    Timer::after(LOOK).await;
                }
                None
            };
            let Some(Ok(size)) = futures_lite::future::or(read, broken).await else {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            };
            self.hold_back(back).await;
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

    async fn hold_back(&self, back: bool) {
        match self.harm() {
            Harm::None | Harm::Reset => {}
            Harm::Delay(time) => {
                Timer::after(time).await;
            }
            Harm::OneWay => {
                while back && self.harm() == Harm::OneWay {
                    Timer::after(LOOK).await;
                }
            }
            Harm::Silence => std::future::pending().await,
        }
    }
}
