//! OpenTelemetry metrics, exported in the text format of Prometheus.

use std::time::Duration;

use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::Instrument;
use opentelemetry_sdk::metrics::InstrumentKind;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Stream;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bucket bounds of the histograms of times.
const BUCKET_BOUNDS_SECS: [f64; 14] = [
    0.0005, 0.001, 0.0019, 0.003, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0,
];

/// Why metrics cannot be set up or exported.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The Prometheus exporter cannot be set up.
    #[error("cannot set up the metrics exporter: {0}; this is a bug, please report it")]
    Exporter(String),
    /// The metrics cannot be encoded in the text format of Prometheus.
    #[error("cannot encode the metrics: {0}")]
    Encode(#[from] prometheus::Error),
}

/// The metrics of the calls that one VM receives.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    calls: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    team_calls: Counter<u64>,
    call_time: Histogram<f64>,
    added_time: Histogram<f64>,
    permit_time: Histogram<f64>,
}

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .with_namespace("snipepaddle")
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(limit_gauges)
            .build();
        let meter = provider.meter("snipepaddle");
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(BUCKET_BOUNDS_SECS.to_vec())
                .build()
        };
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Ok(Self {
            calls: counter("calls", "Calls by service, outcome and failure domain"),
            attempts: counter("attempts", "Attempts by service and end"),
            refusals: counter("refusals", "Calls refused by service and reason"),
            team_calls: counter("team_calls", "Calls by team and outcome"),
            call_time: histogram("call_time", "Time to the head of the answer"),
            added_time: histogram("added_time", "Time to the head less that of the server"),
            permit_time: histogram("permit_time", "Time to get a permit"),
            registry,
            provider,
        })
    }

    /// Returns the meter, with which other crates register their own metrics. Their gauges
    /// have no labels.
    pub fn meter(&self) -> Meter {
        self.provider.meter("snipepaddle")
    }

    /// Counts a call that has ended, and records the time `took` to the head of its
    /// response. `domain` is empty if no server served the call.
    pub fn record_call(&self, service: &str, outcome: &'static str, domain: &str, took: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let labels = [
            service.clone(),
            KeyValue::new("outcome", outcome),
            KeyValue::new("domain", domain.to_owned()),
        ];
        self.calls.add(1, &labels);
        self.call_time.record(took.as_secs_f64(), &[service]);
    }

    /// Counts a call of `service` that ended without a response: its caller left, or the VM
    /// stopped.
    pub fn record_abandoned(&self, service: &str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", "abandoned"),
            KeyValue::new("domain", ""),
        ];
        self.calls.add(1, &labels);
    }

    /// Records the time that a served call spent in the load balancer and not at the
    /// server.
    pub fn record_added_time(&self, service: &str, added: Duration) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.added_time.record(added.as_secs_f64(), &labels);
    }

    /// Records the time that a call waited for its permit.
    pub fn record_permit_time(&self, service: &str, took: Duration) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.permit_time.record(took.as_secs_f64(), &labels);
    }

    /// Counts an attempt. `end` says how the attempt ended.
    pub fn record_attempt(&self, service: &str, end: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("end", end),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts a call that was not served. `reason` says why.
    pub fn record_refusal(&self, service: &str, reason: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts a call that has ended. `team` is the name of a team of the configuration, so
    /// that callers cannot add series.
    pub fn record_team_call(&self, team: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("team", team.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.team_calls.add(1, &labels);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn prometheus_text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Returns the stream of a gauge. The exporter allocates a table of as many labels as a
/// stream may have, 2000 unless it is told otherwise, and gauges have none.
fn limit_gauges(instrument: &Instrument) -> Option<Stream> {
    if instrument.kind() != InstrumentKind::ObservableGauge {
        return None;
    }
    Stream::builder().with_cardinality_limit(1).build().ok()
}
