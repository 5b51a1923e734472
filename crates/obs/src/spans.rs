//! Spans: one for each hop of a traced call.
//!
//! Trace ids come from the caller by the W3C headers, or are made here. Ended
//! spans are kept in memory for `snipepaddle trace` and appended to a file of
//! JSON lines if the settings name one.

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

/// Spans that are kept in memory.
const KEPT: usize = 4096;

/// An ended span as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SpanRecord {
    /// The trace.
    pub trace: String,
    /// The span.
    pub span: String,
    /// The span that caused it; zeros for none.
    pub parent: String,
    /// What it is about.
    pub name: String,
    /// When it began, in microseconds since 1970.
    pub start: u64,
    /// How long it took, in microseconds.
    pub took: u64,
    /// Whether it failed, and why.
    pub error: Option<String>,
    /// What else is known, sorted by name.
    pub fields: Vec<Attribute>,
}

/// Something known about a span.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attribute {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

/// Keeps ended spans.
#[derive(Debug)]
struct Keeper {
    kept: Arc<Mutex<VecDeque<SpanRecord>>>,
    file: Option<Mutex<BufWriter<File>>>,
}

fn micros(time: SystemTime) -> u64 {
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
            start: micros(data.start_time),
            took: took.unwrap_or_default().as_micros() as u64,
            error: match data.status {
                Status::Error { description } => Some(description.into_owned()),
                _ => None,
            },
            fields,
        }
    }
}

impl SpanProcessor for Keeper {
    fn on_start(&self, _span: &mut opentelemetry_sdk::trace::Span, _cx: &Context) {}

    fn on_end(&self, span: SpanData) {
        let ended = SpanRecord::from(span);
        if let Some(file) = &self.file {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let written =
                serde_json::to_writer(&mut *file, &ended).is_ok() && file.write_all(b"\n").is_ok();
            if !written {
                log::warn!("obs: a span could not be written");
            }
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() >= KEPT {
            kept.pop_front();
        }
        kept.push_back(ended);
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

/// Headers as the trace library reads them.
struct Reader<'a>(&'a HeaderMap);

impl Extractor for Reader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

/// Headers as the trace library writes them.
struct Writer<'a>(&'a mut HeaderMap);

impl Injector for Writer<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = key.parse::<HeaderName>();
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

/// Makes and keeps the spans of one VM.
#[derive(Debug)]
pub struct Spans {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    kept: Arc<Mutex<VecDeque<SpanRecord>>>,
    vm: String,
}

/// A span that has not ended; it ends when it is dropped.
pub struct ActiveSpan {
    context: Context,
}

impl Spans {
    /// Makes spans for `share` of the calls whose caller says nothing.
    pub fn new(vm: &str, share: f64, file: Option<&Path>) -> std::io::Result<Self> {
        let open = |path: &Path| OpenOptions::new().create(true).append(true).open(path);
        let file = file.map(open).transpose()?;
        let kept = Arc::new(Mutex::new(VecDeque::new()));
        let keeper = Keeper {
            kept: kept.clone(),
            file: file.map(|file| Mutex::new(BufWriter::new(file))),
        };
        let by_share = Sampler::TraceIdRatioBased(share);
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(by_share)))
            .with_span_processor(keeper)
            .build();
        let tracer = provider.tracer("snipepaddle");
        let vm = vm.to_owned();
        Ok(Self {
            provider,
            tracer,
            kept,
            vm,
        })
    }

    /// Reads the caller's trace from the headers of its request.
    pub fn extract(&self, headers: &HeaderMap) -> Context {
        TraceContextPropagator::new().extract_with_context(&Context::new(), &Reader(headers))
    }

    /// Begins a span that `parent` causes.
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

    /// Returns the spans of `trace` that are kept, in the order they began.
    pub fn trace_spans(&self, trace: &str) -> Vec<SpanRecord> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mut spans: Vec<SpanRecord> =
            kept.iter().filter(|s| s.trace == trace).cloned().collect();
        spans.sort_by_key(|span| span.start);
        spans
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        let _ = self.provider.force_flush();
    }
}

impl ActiveSpan {
    /// Returns what causes further spans.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Returns the id of the trace.
    pub fn trace_id(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }

    /// Returns whether the trace is kept.
    pub fn is_recording(&self) -> bool {
        self.context.span().is_recording()
    }

    /// Notes something about the span.
    pub fn set_attribute(&self, name: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context
            .span()
            .set_attribute(KeyValue::new(name, value));
    }

    /// Notes that what the span is about failed.
    pub fn set_error(&self, reason: impl Into<String>) {
        self.context.span().set_status(Status::error(reason.into()));
    }

    /// Writes the trace into the headers of a request to the next hop.
    pub fn inject(&self, headers: &mut HeaderMap) {
        TraceContextPropagator::new().inject_context(&self.context, &mut Writer(headers));
    }
}

impl Drop for ActiveSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
