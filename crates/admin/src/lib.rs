//! The administration API of an entry VM: HTTP and JSON.
//!
//! | request | role | what it does |
//! |---|---|---|
//! | `GET /healthz`, `GET /readyz` | none | whether the VM runs, whether it takes callers |
//! | `GET /metrics` | read | metrics for Prometheus |
//! | `GET /v1/status` | read | what is in force, the VMs, the shards |
//! | `GET /v1/services` | read | the services in force |
//! | `GET /v1/tickets` | read | the last accepted tickets |
//! | `GET /v1/tickets/NUMBER` | read | one ticket |
//! | `POST /v1/tickets[?force=1]` | write | applies a ticket |
//! | `GET /v1/domains` | read | orders about failure domains |
//! | `POST /v1/domains/NAME/out[?force=1]`, `.../in` | write | takes a domain out or in |
//! | `GET /v1/calls[?service=S&trace=T]` | read | where the last calls were served |
//! | `GET /v1/traces/ID` | read | the spans of a trace kept on this VM |
//!
//! See `docs/operate/api.md`.

pub mod api;
pub mod auth;
pub mod monitoring;
pub mod response;

pub use api::serve;
