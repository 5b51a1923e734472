//! The interface to the deployment platform: its object store and its VM list.
//!
//! The daemon accesses the platform through [`http::Client`], tests through fakes; both
//! implement [`Store`]. Every error says whether a write may have taken effect, because
//! the code that retries a write depends on it. See `docs/design/configuration.md`.

pub mod budget;
pub mod http;

use std::time::Duration;

use net::BoxFuture;
use serde::Deserialize;
use serde::Serialize;

/// The version that the platform assigns to an object, another one with each write.
pub type Version = u64;

/// The size of the largest value that the platform stores.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// An object that was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version to which the value belongs.
    pub version: Version,
    /// The content, which the platform does not interpret.
    pub value: Vec<u8>,
}

/// The condition under which the platform carries out a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object still has this version.
    Version(Version),
}

/// An entry of the platform's VM list. The list lags behind the actual VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the VM, from which its id is derived.
    pub name: String,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition of a write did not hold. Nothing was written.
    #[error("the object was changed by another write; read it again")]
    Conflict,
    /// No usable response was received. A write may have taken effect, or may still take
    /// effect.
    #[error("no response from the platform ({0}); read the object before retrying")]
    OutcomeUnknown(String),
    /// The connection ended while the platform waited for changes. Platforms cut such
    /// reads off now and then, so that alone shows no outage.
    #[error("the platform cut off a read that waited for changes ({0}); read again")]
    WatchCut(String),
    /// The platform refused the call because of its rate limit. Nothing was done. The
    /// value is the delay that the platform demands before the next call.
    #[error("the platform limits the rate of calls; retry after {0:?}")]
    RateLimited(Duration),
    /// The platform could not be reached. Nothing was done.
    #[error("the platform cannot be reached ({0}); retry when it is available")]
    Unavailable(String),
    /// The requested changes have been compacted and are no longer available. Nothing was
    /// done.
    #[error("the platform no longer has the requested changes; read everything again")]
    Compacted,
    /// The changes cannot be told apart, because of what one of them holds. The entries as
    /// they are now may be readable.
    #[error("the changes cannot be told apart; read everything again")]
    Indistinct,
    /// The response is longer than this number of bytes, and was not read to its end. It
    /// would be as long the next time.
    #[error("the response of the platform is longer than {0} bytes; read everything in pages")]
    TooLong(usize),
    /// The value is larger than [`VALUE_MAX_BYTES`]. Nothing was written.
    #[error("the value has {0} bytes, but the platform stores at most 1048576; split the service")]
    TooLarge(usize),
    /// The response of the platform cannot be parsed or has an unexpected status.
    #[error("the response of the platform is invalid ({0}); check its address in the settings")]
    Malformed(String),
}

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// The platform's object store and VM list.
pub trait Store: Send + Sync {
    /// Reads the object at `key`, `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>>;

    /// Writes the object at `key` if `condition` holds, and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        condition: Condition,
    ) -> BoxFuture<'a, Result<Version>>;

    /// Deletes the object at `key`. Succeeds if there is none.
    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>>;

    /// Waits until the object at `key` has a version other than `after`, and returns the
    /// object. Returns `None` if that does not happen within `wait`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>>>;

    /// Reads the VM list.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<ListedVm>>>;
}
