//! The path of a call through one entry VM, from its caller to a backend
//! server and back.
//!
//! [`Proxy`] answers callers. It asks for permits and claims through
//! [`Ports`], keeps connections in [`Pools`], and leaves every decision about
//! attempts to `route`. See `docs/design/call-path.md`.

pub mod attempt;
mod call;
pub mod dialect;
mod elapsed;
pub mod guard;
pub mod headers;
mod hedging;
pub mod local_response;
pub mod pool;
pub mod ports;
pub mod proxy;
pub mod record;
pub mod request;
pub mod tracked_body;

pub use dialect::Dialect;
pub use pool::Pools;
pub use ports::Permit;
pub use ports::Ports;
pub use ports::Refusal;
pub use proxy::Proxy;
