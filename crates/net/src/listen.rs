//! Listen addresses that another program still uses, or that do not exist yet.
//!
//! An address is bound at once if it is free. If the error may pass, the address is tried
//! again until it can be bound, and the process goes on meanwhile.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rustix::io::Errno;
use smol::net::TcpListener;

use crate::BoxFuture;

/// The time between two tries to bind an address.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two log lines about an address that cannot be bound.
const WARN_INTERVAL: Duration = Duration::from_secs(10);

/// Why an address cannot be bound, now or later.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address} ({field}); free the port or choose another")]
pub struct Error {
    /// The field of the settings that has the address.
    pub field: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: io::Error,
}

/// The addresses of a process that are to be listened on and cannot be bound yet.
///
/// All clones share one list.
#[derive(Clone, Debug, Default)]
pub struct Listeners(Arc<Mutex<Vec<(&'static str, SocketAddr)>>>);

/// A socket that is bound, or will be.
pub enum Listener<T> {
    /// The socket.
    Bound(T),
    /// Tries until the address can be bound.
    Waiting(BoxFuture<'static, T>),
}

/// An address in the list of a [`Listeners`], until it is dropped.
struct Entry {
    listeners: Listeners,
    field: &'static str,
    address: SocketAddr,
}

impl Listeners {
    /// Returns the number of addresses that cannot be bound yet.
    pub fn waiting_count(&self) -> usize {
        self.list().len()
    }

    /// Returns an address of `field` that cannot be bound yet.
    pub fn waiting_address(&self, field: &str) -> Option<SocketAddr> {
        let list = self.list();
        let entry = list.iter().find(|(known, _)| *known == field);
        entry.map(|(_, address)| *address)
    }

    /// Listens for TCP connections on `address`. `field` is the field of the settings that
    /// has it. Returns an error that cannot pass.
    pub async fn tcp(
        &self,
        field: &'static str,
        address: SocketAddr,
    ) -> Result<Listener<TcpListener>, Error> {
        self.bind(field, address, |to| Box::pin(TcpListener::bind(to)))
            .await
    }

    /// Binds `address` with `bind`. `field` is the field of the settings that has it.
    /// Returns an error that cannot pass.
    pub async fn bind<T: Send + 'static>(
        &self,
        field: &'static str,
        address: SocketAddr,
        bind: impl Fn(SocketAddr) -> BoxFuture<'static, io::Result<T>> + Send + 'static,
    ) -> Result<Listener<T>, Error> {
        match bind(address).await {
            Ok(socket) => Ok(Listener::Bound(socket)),
            Err(error) if may_pass(&error) => {
                warn(field, address, &error);
                let entry = self.add(field, address);
                Ok(Listener::Waiting(Box::pin(retry(entry, bind))))
            }
            Err(source) => Err(Error {
                field,
                address,
                source,
            }),
        }
    }

    fn add(&self, field: &'static str, address: SocketAddr) -> Entry {
        let mut list = self.list();
        let index = list.partition_point(|known| *known < (field, address));
        list.insert(index, (field, address));
        Entry {
            listeners: self.clone(),
            field,
            address,
        }
    }

    fn list(&self) -> MutexGuard<'_, Vec<(&'static str, SocketAddr)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> Listener<T> {
    /// Waits until the address is bound and returns the socket.
    pub async fn bound(self) -> T {
        match self {
            Self::Bound(socket) => socket,
            Self::Waiting(socket) => socket.await,
        }
    }
}

impl Listener<TcpListener> {
    /// Returns the address that is listened on; none if it cannot be bound yet.
    pub fn local_address(&self) -> Option<SocketAddr> {
        match self {
            Self::Bound(socket) => socket.local_addr().ok(),
            Self::Waiting(_) => None,
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut list = self.listeners.list();
        if let Ok(index) = list.binary_search(&(self.field, self.address)) {
            list.remove(index);
        }
    }
}

async fn retry<T>(
    entry: Entry,
    bind: impl Fn(SocketAddr) -> BoxFuture<'static, io::Result<T>>,
) -> T {
    let (field, address) = (entry.field, entry.address);
    let mut warned = Instant::now();
    loop {
        smol::Timer::after(RETRY_INTERVAL).await;
        match bind(address).await {
            Ok(socket) => {
                log::info!("net: listening on {address} ({field})");
                return socket;
            }
            Err(error) if warned.elapsed() >= WARN_INTERVAL => {
                warn(field, address, &error);
                warned = Instant::now();
            }
            Err(_) => {}
        }
    }
}

fn warn(field: &str, address: SocketAddr, error: &io::Error) {
    let remedy = match error.kind() {
        ErrorKind::AddrInUse => "free the port or choose another",
        ErrorKind::AddrNotAvailable => "give the host this address or choose another",
        _ => "raise the limits of descriptors and memory",
    };
    log::warn!("net: cannot listen on {address} ({field}) and will try again: {error}; {remedy}");
}

/// Returns whether an address that cannot be bound now may be bound later.
fn may_pass(error: &io::Error) -> bool {
    let passing = [
        Errno::ADDRINUSE,
        Errno::ADDRNOTAVAIL,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    Errno::from_io_error(error).is_some_and(|errno| passing.contains(&errno))
}
