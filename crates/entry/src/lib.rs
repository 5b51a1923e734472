//! The path of a call through one entry VM, from its caller to a backend
//! server and back.
//!
//! [`Proxy`] answers callers. It asks for permits and claims through
//! [`Ports`], keeps connections in [`Pools`], and leaves every decision about
//! attempts to `route`. See `docs/design/call-path.md`.

pub mod answer;
pub mod attempt;
mod beside;
mod call;
pub mod dialect;
pub mod guard;
pub mod headers;
pub mod pool;
pub mod ports;
pub mod proxy;
pub mod record;
pub mod request;
mod spent;
pub mod tracked;

pub use dialect::Dialect;
pub use pool::Pools;
pub use ports::Permit;
pub use ports::Ports;
pub use ports::Refused;
pub use proxy::Proxy;
