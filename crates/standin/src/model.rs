//! The capacity, timing and overload behavior of a stand-in backend server.

use std::time::Duration;

/// What a server does with requests that find all slots in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// They wait in the server until a slot is free.
    Queue,
    /// The server refuses them and marks the response as not run.
    Shed,
}

/// The parameters of a stand-in backend server, fixed for its lifetime.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Requests (calls and probes) that the server runs at once.
    pub slots: usize,
    /// Connections that the server keeps open at once.
    pub max_connections: usize,
    /// Mean of the exponentially distributed service time of a call.
    pub service_time: Duration,
    /// Slot time that the first request on a connection takes on top of its own.
    pub connect_cost: Duration,
    /// Slot time that a probe takes.
    pub probe_cost: Duration,
    /// What happens to requests that find all slots in use.
    pub overload: OverloadPolicy,
    /// Requests in flight that a cold server sustains; one more crashes it.
    pub cold_limit: usize,
    /// Calls that a cold server has to finish to become warm.
    pub warm_after: usize,
    /// Factor by which service times are longer while the server is cold.
    pub cold_slowdown: f64,
    /// How long the server stays down after a crash.
    pub crash_downtime: Duration,
    /// One-way latency of the network in front of the server.
    pub latency: Duration,
    /// Maximum age of the load that the server reports.
    pub report_lag: Duration,
    /// Whether the server always reports that it is idle.
    pub reports_idle: bool,
    /// Size of the response body of a served call, in bytes.
    pub response_bytes: usize,
    /// Seed of the random service times.
    pub seed: u64,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            slots: 2,
            max_connections: 220,
            service_time: Duration::from_millis(10),
            connect_cost: Duration::from_millis(1),
            probe_cost: Duration::from_millis(6),
            overload: OverloadPolicy::Queue,
            cold_limit: 1,
            warm_after: 16,
            cold_slowdown: 2.0,
            crash_downtime: Duration::from_secs(1),
            latency: Duration::ZERO,
            report_lag: Duration::from_millis(10),
            reports_idle: false,
            response_bytes: 64,
            seed: 1,
        }
    }
}
