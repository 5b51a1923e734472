//! Distributed tracing, with a span for each hop of a traced call.
//!
//! The trace id comes from the W3C `traceparent` header of the caller's request. Without
//! it, the load balancer draws one. Ended spans are kept in memory for the command
//! `snipepaddle trace`, and are appended to a file of JSON lines if the settings name
//! one.

use std::collections::VecDeque;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use opentelemetry::propagation::Extractor;
use opentelemetry::propagation::Injector;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry::trace::TracerProvider;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanProcessor;
use serde::Deserialize;
use serde::Serialize;

/// The maximum number of ended spans that are kept in memory. The oldest is dropped
/// first.
const RECENT_MAX: usize = 4096;

/// An ended span, as the admin API and the trace file show it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SpanRecord {
    /// The trace id, in hexadecimal digits.
    pub trace: String,
    /// The span id, in hexadecimal digits.
    pub span: String,
    /// The id of the parent span, all zeros if there is none.
    pub parent: String,
    /// The name of the traced step, such as `call`, `permit` or `attempt`.
    pub name: String,
    /// When the span started, in microseconds since the Unix epoch, 1970-01-01 UTC.
    pub start: u64,
    /// The duration in microseconds.
    pub took: u64,
    /// Why the step failed, `None` if it did not fail.
    pub error: Option<String>,
    /// The attributes, sorted by name.
    pub fields: Vec<Attribute>,
}

/// An attribute of a span.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attribute {
    /// The key of the attribute.
    pub name: String,
    /// The value of the attribute, as text.
    pub value: String,
}

/// A span processor that keeps ended spans in memory and appends them to a file.
#[derive(Debug)]
struct SpanCollector {
    recent: Arc<Mutex<VecDeque<SpanRecord>>>,
    file: Option<Mutex<BufWriter<File>>>,
}

fn unix_micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

impl From<SpanData> for SpanRecord {
    fn from(data: SpanData) -> Self {
        let took = data.end_time.duration_since(data.start_time);
        let mut fields: Vec<Attribute> = data
            .attributes
            .iter()
            .map(|attribute| Attribute {
                name: attribute.key.to_string(),
                value: attribute.value.to_string(),
            })
            .collect();
        fields.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            trace: data.span_context.trace_id().to_string(),
            span: data.span_context.span_id().to_string(),
            parent: data.parent_span_id.to_string(),
            name: data.name.into_owned(),
            start: unix_micros(data.start_time),
            took: took.unwrap_or_default().as_micros() as u64,
            error: match data.status {
                Status::Error { description } => Some(description.into_owned()),
                _ => None,
            },
            fields,
        }
    }
}

impl SpanProcessor for SpanCollector {
    fn on_start(&self, _span: &mut opentelemetry_sdk::trace::Span, _cx: &Context) {}

    fn on_end(&self, span: SpanData) {
        let record = SpanRecord::from(span);
        if let Some(file) = &self.file {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let written =
                serde_json::to_writer(&mut *file, &record).is_ok() && file.write_all(b"\n").is_ok();
            if !written {
                log::warn!("obs: cannot write a span to the trace file");
            }
        }
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() >= RECENT_MAX {
            recent.pop_front();
        }
        recent.push_back(record);
    }

    fn force_flush(&self) -> OTelSdkResult {
        if let Some(file) = &self.file {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = file.flush();
        }
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        self.force_flush()
    }
}

/// Gives the OpenTelemetry propagator read access to headers.
struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

/// Gives the OpenTelemetry propagator write access to headers.
struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = key.parse::<HeaderName>();
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

/// Creates the spans of one VM and keeps the ended ones.
#[derive(Debug)]
pub struct Spans {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    recent: Arc<Mutex<VecDeque<SpanRecord>>>,
    vm: String,
}

/// A span that has not ended. Dropping it ends the span.
pub struct ActiveSpan {
    context: Context,
}

impl Spans {
    /// Sets up tracing for the VM named `vm`.
    ///
    /// `share`, from 0 to 1, is the share of calls that are traced if their callers make
    /// no sampling decision. Ended spans are appended to `file`, if there is one. Fails
    /// if the file cannot be opened.
    pub fn new(vm: &str, share: f64, file: Option<&Path>) -> std::io::Result<Self> {
        let open = |path: &Path| OpenOptions::new().create(true).append(true).open(path);
        let file = file.map(open).transpose()?;
        let recent = Arc::new(Mutex::new(VecDeque::new()));
        let processor = SpanCollector {
            recent: recent.clone(),
            file: file.map(|file| Mutex::new(BufWriter::new(file))),
        };
        let ratio_sampler = Sampler::TraceIdRatioBased(share);
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(ratio_sampler)))
            .with_span_processor(processor)
            .build();
        let tracer = provider.tracer("snipepaddle");
        let vm = vm.to_owned();
        Ok(Self {
            provider,
            tracer,
            recent,
            vm,
        })
    }

    /// Returns the trace context from the headers of a caller's request. The context is
    /// empty if the headers contain none.
    pub fn extract(&self, headers: &HeaderMap) -> Context {
        TraceContextPropagator::new()
            .extract_with_context(&Context::new(), &HeaderExtractor(headers))
    }

    /// Starts a span as a child of the span in `parent`, or as a root span if there is
    /// none.
    pub fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> ActiveSpan {
        let span = self
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, parent);
        let context = parent.with_span(span);
        if context.span().is_recording() {
            let vm = KeyValue::new("vm", self.vm.clone());
            context.span().set_attribute(vm);
        }
        ActiveSpan { context }
    }

    /// Returns the spans of the trace with the id `trace` that are kept in memory, sorted
    /// by start.
    pub fn trace_spans(&self, trace: &str) -> Vec<SpanRecord> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let mut spans: Vec<SpanRecord> = recent
            .iter()
            .filter(|s| s.trace == trace)
            .cloned()
            .collect();
        spans.sort_by_key(|span| span.start);
        spans
    }

    /// Writes buffered spans to the trace file.
    pub fn flush(&self) {
        let _ = self.provider.force_flush();
    }
}

impl ActiveSpan {
    /// Returns the context with which child spans are started.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Returns the trace id in hexadecimal digits.
    pub fn trace_id(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }

    /// Returns whether the span is recorded, that is, whether its trace is sampled.
    pub fn is_recording(&self) -> bool {
        self.context.span().is_recording()
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, name: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context
            .span()
            .set_attribute(KeyValue::new(name, value));
    }

    /// Marks the span as failed for `reason`.
    pub fn set_error(&self, reason: impl Into<String>) {
        self.context.span().set_status(Status::error(reason.into()));
    }

    /// Writes the trace context into the headers of a request to the next hop.
    pub fn inject(&self, headers: &mut HeaderMap) {
        TraceContextPropagator::new().inject_context(&self.context, &mut HeaderInjector(headers));
    }
}

impl Drop for ActiveSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
