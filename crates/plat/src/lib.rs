//! The platform as this system sees it: objects, watches and the VM list.
//!
//! [`Store`] is the border: the daemon uses [`http::Client`], tests use fakes.
//! Every error says whether the write may have taken effect, because that is
//! what the caller has to know. See `docs/design/configuration.md`.

pub mod budget;
pub mod http;

use std::time::Duration;

use net::BoxFuture;
use serde::Deserialize;
use serde::Serialize;

/// The platform's version of an object; it changes with each write.
pub type Version = u64;

/// The largest value that the platform holds, in bytes.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version of this value.
    pub version: Version,
    /// The value.
    pub value: Vec<u8>,
}

/// When a write may take place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Only if there is no such object.
    Absent,
    /// Only if the object still has this version.
    Version(Version),
}

/// One VM of the platform's list, which lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: String,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition of a write did not hold; nothing was written.
    #[error("the object has changed meanwhile; read it again")]
    Conflict,
    /// No answer came; a write may have taken effect, now or later.
    #[error("no answer from the platform ({0}); read back before trying again")]
    OutcomeUnknown(String),
    /// The platform refused because of its rate; nothing was done.
    #[error("the platform is busy; wait {0:?} and try again")]
    RateLimited(Duration),
    /// The platform could not be reached; nothing was done.
    #[error("the platform cannot be reached ({0}); try again when it is back")]
    Unavailable(String),
    /// The changes asked for are not kept any more; nothing was done.
    #[error("the platform has forgotten those changes; read everything again")]
    Compacted,
    /// The value is larger than the platform holds; nothing was written.
    #[error("the value has {0} bytes and the platform holds 1048576; split the service")]
    TooLarge(usize),
    /// The platform's answer makes no sense.
    #[error("the platform's answer cannot be read ({0}); check its address in the settings")]
    Malformed(String),
}

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// The platform's object API.
pub trait Store: Send + Sync {
    /// Reads the object at `key`.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>>;

    /// Writes the object at `key` if `condition` holds; returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        condition: Condition,
    ) -> BoxFuture<'a, Result<Version>>;

    /// Deletes the object at `key`, if there is one.
    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>>;

    /// Waits until `key` has a version other than `after`, or for `wait`; none
    /// if it did not change.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>>>;

    /// Reads the list of VMs.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<ListedVm>>>;
}
