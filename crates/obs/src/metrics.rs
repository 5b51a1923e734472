//! Metrics by OpenTelemetry, readable by Prometheus.

use std::time::Duration;

use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bounds of the buckets of times, in seconds.
const BOUNDS: [f64; 14] = [
    0.0005, 0.001, 0.0019, 0.003, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0,
];

/// Why metrics cannot be kept.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter cannot be set up.
    #[error("the metrics exporter failed: {0}; report this, it is a fault of the program")]
    Exporter(String),
    /// The metrics cannot be written out.
    #[error("the metrics cannot be written: {0}")]
    Encode(#[from] prometheus::Error),
}

/// The metrics of one VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    calls: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    took: Histogram<f64>,
    added: Histogram<f64>,
    permit: Histogram<f64>,
}

impl Metrics {
    /// Makes metrics that start at zero.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .with_namespace("snipepaddle")
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("snipepaddle");
        let time = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text)
                .with_boundaries(BOUNDS.to_vec())
                .build()
        };
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Ok(Self {
            calls: count("calls", "Calls by service, outcome and failure domain"),
            attempts: count("attempts", "Attempts by service and end"),
            refusals: count("refusals", "Calls refused by service and reason"),
            took: time("call_time", "Time to the head of the answer"),
            added: time("added_time", "Time to the head less that of the server"),
            permit: time("permit_time", "Time to get a permit"),
            registry,
            provider,
        })
    }

    /// Returns the meter, for gauges whose values others know.
    pub fn meter(&self) -> Meter {
        self.provider.meter("snipepaddle")
    }

    /// Counts a call.
    pub fn record_call(&self, service: &str, outcome: &'static str, domain: &str, took: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let labels = [
            service.clone(),
            KeyValue::new("outcome", outcome),
            KeyValue::new("domain", domain.to_owned()),
        ];
        self.calls.add(1, &labels);
        self.took.record(took.as_secs_f64(), &[service]);
    }

    /// Notes the time that a served call spent here rather than at the server.
    pub fn record_added_time(&self, service: &str, added: Duration) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.added.record(added.as_secs_f64(), &labels);
    }

    /// Notes the time that it took to get a permit.
    pub fn record_permit_time(&self, service: &str, took: Duration) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.permit.record(took.as_secs_f64(), &labels);
    }

    /// Counts an attempt.
    pub fn record_attempt(&self, service: &str, end: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("end", end),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, service: &str, reason: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason),
        ];
        self.refusals.add(1, &labels);
    }

    /// Writes all metrics in the text format of Prometheus.
    pub fn prometheus_text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
