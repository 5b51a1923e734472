//! What callers saw.

use std::time::Duration;

use hdrhistogram::Histogram;
use standin::record::CallId;

/// The longest time that a histogram holds, in microseconds.
const LONGEST: u64 = 60_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer of a server.
    Served,
    /// The answer that it was not run.
    NotRun,
    /// The answer that it may have run.
    Unknown,
    /// The connection broke, or no answer came at all.
    Cut,
    /// An answer that looked whole and was not.
    Short,
}

impl End {
    /// All ends, in the order of reports.
    pub const ALL: [Self; 5] = [
        Self::Served,
        Self::NotRun,
        Self::Unknown,
        Self::Cut,
        Self::Short,
    ];

    /// Returns the word used in reports.
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

/// One call as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Its number.
    pub call: CallId,
    /// The place of its service in the plan.
    pub service: usize,
    /// Whether it must not run twice.
    pub post: bool,
    /// When it was due to be sent, from the start of the load.
    pub at: Duration,
    /// The time from then to the whole answer.
    pub took: Duration,
    /// The time that the entry VM added.
    pub added: Option<Duration>,
    /// The place of the failure domain that served it in the plan.
    pub domain: Option<usize>,
    /// Attempts after the first one.
    pub retries: u32,
    /// How it ended.
    pub end: End,
}

/// The calls of one run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The calls, in the order in which they ended.
    pub samples: Vec<Sample>,
}

/// Percentiles of a number of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Percentiles {
    /// Times that were counted.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50: f64,
    /// 99 of 100 are at most this, in milliseconds.
    pub p99: f64,
    /// 999 of 1000 are at most this, in milliseconds.
    pub p999: f64,
}

impl Percentiles {
    /// Returns the percentiles of `times`.
    pub fn new(times: impl Iterator<Item = Duration>) -> Self {
        let histogram = Histogram::<u64>::new_with_bounds(1, LONGEST, DIGITS);
        let Ok(mut histogram) = histogram else {
            return Self::default();
        };
        for time in times {
            histogram.saturating_record((time.as_micros() as u64).max(1));
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
        }
    }
}

impl Tally {
    /// Returns the calls that were due in a span of time.
    pub fn between(&self, from: Duration, to: Duration) -> Self {
        let fits = |sample: &&Sample| sample.at >= from && sample.at < to;
        Self {
            samples: self.samples.iter().filter(fits).copied().collect(),
        }
    }

    /// Returns the calls of one service.
    pub fn of_service(&self, service: usize) -> Self {
        let fits = |sample: &&Sample| sample.service == service;
        Self {
            samples: self.samples.iter().filter(fits).copied().collect(),
        }
    }

    /// Returns how many calls ended so.
    pub fn count(&self, end: End) -> usize {
        self.samples
            .iter()
            .filter(|sample| sample.end == end)
            .count()
    }

    /// Returns the percentiles of the served calls.
    pub fn latency(&self) -> Percentiles {
        let served = self.samples.iter().filter(|s| s.end == End::Served);
        Percentiles::new(served.map(|sample| sample.took))
    }

    /// Returns the percentiles of the time that the entry VMs added.
    pub fn added_time(&self) -> Percentiles {
        Percentiles::new(self.samples.iter().filter_map(|sample| sample.added))
    }
}
