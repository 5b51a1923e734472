//! What a backend server remembers, so that promises can be checked.

use std::time::Duration;

/// The number that a caller gives a call, in the header `x-call-id`.
pub type CallId = u64;

/// How often a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The call.
    pub call: CallId,
    /// How often it was begun.
    pub starts: u32,
}

/// The record of one server.
#[derive(Clone, Debug, Default)]
pub struct Record {
    runs: Vec<Run>,
    /// When it last began a call, on the clock of the stand-ins.
    pub last_begun: Duration,
    /// Calls begun.
    pub begun: u64,
    /// Calls finished.
    pub finished: u64,
    /// Calls refused as not run.
    pub shed: u64,
    /// Calls given up by their callers before the end.
    pub cancelled: u64,
    /// Probes answered.
    pub probes: u64,
    /// Slot time that probes took.
    pub probe_time: Duration,
    /// Connections accepted.
    pub connections: u64,
    /// The most calls in flight at once while it was cold.
    pub cold_peak: usize,
    /// The most calls in flight at once.
    pub peak: usize,
    /// How often it fell over.
    pub crashes: u64,
}

impl Record {
    /// Notes that `call` begins at `now`.
    pub fn begin(&mut self, call: Option<CallId>, now: Duration) {
        self.begun += 1;
        self.last_begun = now;
        let Some(call) = call else {
            return;
        };
        match self.runs.binary_search_by_key(&call, |run| run.call) {
            Ok(at) => self.runs[at].starts += 1,
            Err(at) => self.runs.insert(at, Run { call, starts: 1 }),
        }
    }

    /// Returns the calls that ran, sorted by number.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }
}
