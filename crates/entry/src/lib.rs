//! The path of a call through one entry VM, from the caller to a backend server and
//! back.
//!
//! [`Proxy`] responds to the callers' requests. It requests permits and claims
//! idempotency keys through [`Ports`], and reuses connections from [`Pools`]. The `route`
//! crate decides which server gets an attempt and whether a failed attempt is retried.
//! See `docs/design/call-path.md`.

pub mod attempt;
mod call;
mod clean_body;
pub mod dialect;
mod elapsed;
pub mod guard;
pub mod headers;
pub mod heard;
mod hedging;
pub mod local_response;
pub mod pool;
pub mod ports;
mod progress;
pub mod proxy;
pub mod record;
pub mod relay;
pub mod request;
mod team;
pub mod tracked_body;
mod work;

pub use dialect::Dialect;
pub use pool::Pools;
pub use ports::Permit;
pub use ports::Ports;
pub use ports::QuotaUse;
pub use ports::Refusal;
pub use ports::ServerReport;
pub use proxy::Proxy;
