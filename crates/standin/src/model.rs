//! How a backend server behaves: its numbers, and what can be changed while it
//! runs.

use std::time::Duration;

/// How a server answers what is beyond its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// It waits in the server.
    Queue,
    /// The server refuses it and says that it did not run it.
    Shed,
}

/// The numbers of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Calls that it runs at once.
    pub slots: usize,
    /// Connections that it accepts.
    pub max_connections: usize,
    /// The mean of the exponential service time.
    pub service_time: Duration,
    /// Slot time that a new connection costs.
    pub connect_cost: Duration,
    /// Slot time that a probe costs.
    pub probe_cost: Duration,
    /// What happens to calls beyond the slots.
    pub overload: OverloadPolicy,
    /// Calls in flight that it bears while it is cold.
    pub cold_limit: usize,
    /// Calls that it has to finish before it is warm.
    pub warm_after: usize,
    /// How much slower it is while it is cold.
    pub cold_slowdown: f64,
    /// How long it is away after it fell over.
    pub crash_downtime: Duration,
    /// One-way latency of the network before it.
    pub latency: Duration,
    /// By how much its load report lags.
    pub report_lag: Duration,
    /// Whether its load report says that it is idle, whatever it does.
    pub reports_idle: bool,
    /// The size of its answers in bytes.
    pub response_bytes: usize,
    /// The seed of its service times.
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
