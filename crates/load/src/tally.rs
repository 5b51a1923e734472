//! Results of calls as their callers saw them, and percentiles of their times.

use std::time::Duration;

use hdrhistogram::Histogram;
use standin::record::CallId;

/// Largest value of a histogram; longer times are recorded as this.
const LATENCY_MAX_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The caller received the complete response of a server.
    Served,
    /// The load balancer responded that no server ran the call.
    NotRun,
    /// The load balancer responded that a server may have run the call.
    Unknown,
    /// The connection broke before the response was complete, no VM could be
    /// reached, or the caller timed out.
    Cut,
    /// The response appeared complete but its body had the wrong length.
    Short,
}

impl End {
    /// All variants, in declaration order.
    pub const ALL: [Self; 5] = [
        Self::Served,
        Self::NotRun,
        Self::Unknown,
        Self::Cut,
        Self::Short,
    ];

    /// Returns the name of the variant in kebab case, such as `not-run`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Cut => "cut",
            Self::Short => "short",
        }
    }
}

/// Result of one call as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Id that the caller sent in the header `x-call-id`.
    pub call: CallId,
    /// Index of the called service in the plan.
    pub service: usize,
    /// Whether the call was a POST, which must not run twice.
    pub post: bool,
    /// Time at which the call was due to be sent, from the start of the load.
    pub due: Duration,
    /// Time from `due` until the call ended.
    pub latency: Duration,
    /// Time that the entry VM reports to have added; `None` if the response
    /// does not say.
    pub added: Option<Duration>,
    /// Index in the plan of the failure domain that served the call, if known.
    pub domain: Option<usize>,
    /// Number of attempts after the first one.
    pub retries: u32,
    /// How the call ended.
    pub end: End,
}

/// The calls of one run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Results, in the order in which the calls ended.
    pub samples: Vec<Sample>,
}

/// Percentiles of a set of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Percentiles {
    /// Number of durations.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50: f64,
    /// The 99th percentile, in milliseconds.
    pub p99: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999: f64,
}

impl Percentiles {
    /// Returns the percentiles of `times`, of which each counts as at least 1 µs
    /// and at most 60 s.
    pub fn new(times: impl Iterator<Item = Duration>) -> Self {
        let histogram = Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS);
        let Ok(mut histogram) = histogram else {
            return Self::default();
        };
        for time in times {
            histogram.saturating_record((time.as_micros() as u64).max(1));
        }
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: millis(0.5),
            p99: millis(0.99),
            p999: millis(0.999),
        }
    }
}

impl Tally {
    /// Returns the calls that were due from `from` inclusive to `to` exclusive.
    pub fn between(&self, from: Duration, to: Duration) -> Self {
        let selected = |sample: &&Sample| sample.due >= from && sample.due < to;
        Self {
            samples: self.samples.iter().filter(selected).copied().collect(),
        }
    }

    /// Returns the calls of the service at index `service` of the plan.
    pub fn of_service(&self, service: usize) -> Self {
        let selected = |sample: &&Sample| sample.service == service;
        Self {
            samples: self.samples.iter().filter(selected).copied().collect(),
        }
    }

    /// Returns the number of calls that ended with `end`.
    pub fn count(&self, end: End) -> usize {
        self.samples
            .iter()
            .filter(|sample| sample.end == end)
            .count()
    }

    /// Returns the latency percentiles of the served calls.
    pub fn latency(&self) -> Percentiles {
        let served = self.samples.iter().filter(|s| s.end == End::Served);
        Percentiles::new(served.map(|sample| sample.latency))
    }

    /// Returns the percentiles of the time that the entry VMs added to calls.
    pub fn added_time(&self) -> Percentiles {
        Percentiles::new(self.samples.iter().filter_map(|sample| sample.added))
    }
}
