//! Chooses the server for the next call among those that have room.
//!
//! A server with a free slot is preferred to one where the call would queue.
//! Among servers that are equal in that, the lowest expected cost wins: the
//! usual service time, scaled up by the calls in flight and by a call that has
//! been in flight suspiciously long, plus the latency to another failure domain.
//! Among servers of about equal cost the least recently used one wins, so that a
//! server that was slow once is tried again. See `docs/design/homes.md`.

use base::Time;

/// Usual service times after which a call in flight is considered stuck.
const STUCK_FACTOR: f64 = 4.0;
/// Round-trip time to another failure domain.
const REMOTE_RTT_SECS: f64 = 0.001;
/// The share by which a server in the caller's failure domain may be slower than
/// a remote one and still be preferred. Links between failure domains are
/// expensive and fail together with the domains.
const REMOTE_PENALTY: f64 = 0.25;
/// The share by which a server that the VM has a connection to may be slower and
/// still be preferred. A new connection costs the server time.
const NEW_CONNECTION_PENALTY: f64 = 0.15;
/// Expected service times that a call costs its caller if the server fails it.
const ERROR_PENALTY: f64 = 10.0;
/// The share by which two costs may differ and still count as equal.
const COST_TOLERANCE: f64 = 0.02;

/// A server that has room for a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index among the servers of the shard.
    pub index: usize,
    /// Whether the server has a free slot; otherwise the call queues in the server.
    pub has_slot: bool,
    /// Whether the server is warm, so that its limit equals its slots.
    pub warm: bool,
    /// Calls in flight at the server.
    pub in_flight: u32,
    /// Calls that the server runs in parallel.
    pub slots: u32,
    /// Expected service time in seconds, on a host that is not slowed down.
    pub service_time: f64,
    /// For how many seconds the oldest call has been in flight at the server.
    pub oldest_age: f64,
    /// Current slowdown of the server's host as a factor; 1 is as usual.
    pub slowdown: f64,
    /// How much longer a call takes at a full server than at an empty one, as a
    /// share of the time at the empty one.
    pub contention: f64,
    /// Whether the server is in the caller's failure domain.
    pub local: bool,
    /// Whether the caller's VM most likely has a connection to the server.
    pub connected: bool,
    /// The share of recent responses that report a failure of the server, from
    /// 0 to 1, above the share that is usual.
    pub errors: f64,
    /// When the server was last given a call.
    pub last_used: Time,
}

impl Candidate {
    /// Returns the cost on a logarithmic scale, rounded down so that costs within
    /// [`COST_TOLERANCE`] compare as equal.
    ///
    /// Without rounding, an old slow measurement would exclude a server for ever:
    /// its weight decays, but never reaches zero.
    fn cost_bucket(&self) -> f64 {
        (self.cost().ln() / COST_TOLERANCE).floor()
    }

    /// Returns the predicted processing time of a call at this server in seconds,
    /// without queuing and without the penalties that [`Candidate::cost`] adds.
    pub fn predicted_time(&self) -> f64 {
        self.service_time * self.slowdown * (1.0 + self.contention * self.occupancy())
    }

    /// Returns the occupancy of the server from 0 to 1. It is 1 when all slots but
    /// one are busy, so that the next call fills the server.
    fn occupancy(&self) -> f64 {
        let others = f64::from(self.slots.max(2) - 1);
        (f64::from(self.in_flight) / others).min(1.0)
    }

    /// Returns the cost of a call at this server in seconds: its predicted time,
    /// with queuing, network distance and the risk of failure included.
    pub fn cost(&self) -> f64 {
        let rounds = if self.has_slot {
            1.0
        } else {
            1.0 + self.occupancy()
        };
        let mut time = self.predicted_time() * rounds;
        if self.oldest_age > STUCK_FACTOR * self.service_time {
            time = time.max(self.oldest_age);
        }
        if !self.local {
            time = time * (1.0 + REMOTE_PENALTY) + REMOTE_RTT_SECS;
        }
        if !self.connected {
            time *= 1.0 + NEW_CONNECTION_PENALTY;
        }
        time * (1.0 + ERROR_PENALTY * self.errors)
    }
}

/// Returns the index of the best candidate, or none if there is no candidate.
///
/// With `prefer_warm`, a server that is not warm is chosen only if there is no
/// warm one that is equal in free slots.
pub fn best(candidates: impl Iterator<Item = Candidate>, prefer_warm: bool) -> Option<usize> {
    let rank = |c: &Candidate| {
        (
            !c.has_slot,
            prefer_warm && !c.warm,
            c.cost_bucket(),
            c.last_used,
        )
    };
    let better = |a: &Candidate, b: &Candidate| {
        let (a, b) = (rank(a), rank(b));
        (a.0, a.1)
            .cmp(&(b.0, b.1))
            .then(a.2.total_cmp(&b.2))
            .then(a.3.cmp(&b.3))
    };
    candidates.min_by(better).map(|candidate| candidate.index)
}
