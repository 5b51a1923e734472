//! Cuts the connections of a VM to backend servers on purpose, for tests.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use smol::net::TcpStream;
use smol::Async;

use crate::client::Connector;
use crate::BoxFuture;

/// How often the file that names the cut is read.
const FILE_PERIOD: Duration = Duration::from_millis(20);

/// What happens to the connections of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Nothing is cut.
    #[default]
    None,
    /// Open connections are closed, and new ones refused.
    Refused,
    /// Open connections are closed, and new ones get no response.
    Silent,
    /// New connections are refused; open ones live on.
    NewRefused,
}

impl Cut {
    /// All cuts.
    pub const ALL: [Self; 3] = [Self::Refused, Self::Silent, Self::NewRefused];

    /// Returns the word by which a file names the cut.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::NewRefused => "new-refused",
        }
    }

    fn parse(text: &str) -> Self {
        let mut all = Self::ALL.into_iter();
        all.find(|cut| cut.name() == text.trim())
            .unwrap_or_default()
    }
}

/// Opens connections unless they are cut.
#[derive(Debug, Default)]
pub struct CutConnector {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    cut: Cut,
    open: Vec<Weak<Async<std::net::TcpStream>>>,
}

impl CutConnector {
    /// Returns a connector that cuts nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets what happens to connections from now on.
    pub fn set(&self, cut: Cut) {
        let mut state = self.lock();
        if cut != state.cut {
            log::warn!(
                "net: connections to servers are cut on purpose: {}",
                cut.name()
            );
        }
        state.cut = cut;
        if matches!(cut, Cut::Refused | Cut::Silent) {
            for stream in state.open.drain(..).filter_map(|open| open.upgrade()) {
                let _ = stream.get_ref().shutdown(Shutdown::Both);
            }
        }
    }

    /// Sets what the file at `path` names whenever that changes; nothing is cut while
    /// there is no such file. Runs until it is cancelled.
    pub async fn follow_file(self: Arc<Self>, path: PathBuf) {
        loop {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            let cut = Cut::parse(&text);
            if cut != self.lock().cut {
                self.set(cut);
            }
            smol::Timer::after(FILE_PERIOD).await;
        }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        let state = self.lock();
        let open = state.open.iter();
        open.filter(|stream| stream.strong_count() > 0).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connector for CutConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        Box::pin(async move {
            let cut = self.lock().cut;
            match cut {
                Cut::None => {}
                Cut::Refused | Cut::NewRefused => {
                    return Err(io::ErrorKind::ConnectionRefused.into())
                }
                Cut::Silent => std::future::pending().await,
            }
            let stream = TcpStream::connect(address).await?;
            let shared: Arc<Async<std::net::TcpStream>> = stream.clone().into();
            let mut state = self.lock();
            state.open.retain(|open| open.strong_count() > 0);
            state.open.push(Arc::downgrade(&shared));
            Ok(stream)
        })
    }
}
