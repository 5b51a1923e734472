//! Observability: logs, metrics, spans, and a record of recent calls.
//!
//! Metrics and spans use OpenTelemetry. See `docs/operate/observe.md`.

pub mod calls;
pub mod logs;
pub mod metrics;
pub mod panics;
pub mod process;
pub mod spans;

pub use calls::CallRecord;
pub use calls::RecentCalls;
pub use metrics::Metrics;
pub use spans::Spans;

pub use opentelemetry::trace::SpanKind;
pub use opentelemetry::Context;
