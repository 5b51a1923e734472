//! The administration API of an entry VM: JSON over HTTP.
//!
//! | request | role | what it does |
//! |---|---|---|
//! | `GET /healthz`, `GET /readyz` | none | liveness; readiness to serve callers |
//! | `GET /metrics` | read | metrics in Prometheus format |
//! | `GET /v1/status` | read | the revisions in force, the VMs and the shards |
//! | `GET /v1/services` | read | the services of the configuration in force |
//! | `GET /v1/tickets` | read | the most recently accepted tickets |
//! | `GET /v1/tickets/NUMBER` | read | one ticket |
//! | `POST /v1/tickets[?force=1]` | write | applies a ticket |
//! | `GET /v1/domains` | read | the domain orders |
//! | `POST /v1/domains/NAME/out[?force=1]`, `.../in` | write | takes a failure domain out of service or back in |
//! | `GET /v1/calls[?most=N&service=S&trace=T]` | read | where the most recent calls were served |
//! | `GET /v1/traces/ID` | read | the spans that this VM keeps of a trace |
//!
//! See `docs/operate/api.md`.

pub mod api;
pub mod auth;
pub mod monitoring;
pub mod response;

pub use api::serve;
