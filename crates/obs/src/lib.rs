//! What operators see: logs, metrics, spans, and where recent calls were served.
//!
//! Metrics and spans go through OpenTelemetry; see `docs/operate/observe.md`.

pub mod calls;
pub mod logs;
pub mod metrics;
pub mod spans;

pub use calls::CallRecord;
pub use calls::RecentCalls;
pub use metrics::Metrics;
pub use spans::Spans;

pub use opentelemetry::trace::SpanKind;
pub use opentelemetry::Context;
