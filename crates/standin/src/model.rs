//! How a backend server behaves: its numbers, and what can be changed while it
//! runs.

use std::time::Duration;

/// How a server answers what is beyond its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excess {
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
    pub connections: usize,
    /// The mean of the exponential service time.
    pub mean: Duration,
    /// Slot time that a new connection costs.
    pub connect: Duration,
    /// Slot time that a probe costs.
    pub probe: Duration,
    /// What happens to calls beyond the slots.
    pub excess: Excess,
    /// Calls in flight that it bears while it is cold.
    pub bears: usize,
    /// Calls that it has to finish before it is warm.
    pub warm_after: usize,
    /// How much slower it is while it is cold.
    pub cold_factor: f64,
    /// How long it is away after it fell over.
    pub fall: Duration,
    /// One-way latency of the network before it.
    pub latency: Duration,
    /// By how much its load report lags.
    pub lag: Duration,
    /// Whether its load report says that it is idle, whatever it does.
    pub misleads: bool,
    /// The size of its answers in bytes.
    pub answer: usize,
    /// The seed of its service times.
    pub seed: u64,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 220,
            mean: Duration::from_millis(10),
            connect: Duration::from_millis(1),
            probe: Duration::from_millis(6),
            excess: Excess::Queue,
            bears: 1,
            warm_after: 16,
            cold_factor: 2.0,
            fall: Duration::from_secs(1),
            latency: Duration::ZERO,
            lag: Duration::from_millis(10),
            misleads: false,
            answer: 64,
            seed: 1,
        }
    }
}
