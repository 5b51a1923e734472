//! What a stand-in backend server records about its requests, so that tests can
//! check the guarantees of the load balancer.

use std::time::Duration;

/// The id that a caller gives a call in the header `x-call-id`.
pub type CallId = u64;

/// How many times a call was started at this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The id of the call.
    pub call: CallId,
    /// Number of starts; more than 1 if the call was repeated here.
    pub starts: u32,
}

/// Counters of one server since it was made; restarts do not reset them.
#[derive(Clone, Debug, Default)]
pub struct Record {
    runs: Vec<Run>,
    /// When the server last started a call, on the clock it was given.
    pub last_begun: Duration,
    /// Calls started.
    pub begun: u64,
    /// Calls finished.
    pub finished: u64,
    /// Requests refused because the slots were full or the server was draining;
    /// the refusal of a call says that it was not run.
    pub shed: u64,
    /// Requests that ended early, such as when the caller closed the connection.
    pub cancelled: u64,
    /// Probes answered.
    pub probes: u64,
    /// Slot time that the answered probes took.
    pub probe_time: Duration,
    /// Connections that carried at least one request.
    pub connections: u64,
    /// Highest number of requests in flight while the server was cold after a
    /// restart or a crash.
    pub cold_peak: usize,
    /// Highest number of requests in flight.
    pub peak: usize,
    /// Crashes because of too many requests while cold.
    pub crashes: u64,
}

impl Record {
    /// Records that a call starts at `now`; a call without an id is only counted.
    pub fn begin(&mut self, call: Option<CallId>, now: Duration) {
        self.begun += 1;
        self.last_begun = now;
        let Some(call) = call else {
            return;
        };
        match self.runs.binary_search_by_key(&call, |run| run.call) {
            Ok(index) => self.runs[index].starts += 1,
            Err(index) => self.runs.insert(index, Run { call, starts: 1 }),
        }
    }

    /// Returns the calls with an id that were started, sorted by id.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }
}
