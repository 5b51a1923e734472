//! Which of the servers with room gets the next call.
//!
//! A server with a free slot goes before one where the call would wait. Among
//! those, the one with the least expected time wins: its usual service time,
//! stretched by what it already runs and by a call that has been in it
//! suspiciously long, plus the way to another failure domain. Of those that are
//! about as good the least recently used one wins, so that a server which was
//! slow once is tried again. See `docs/design/homes.md`.

use base::Time;

/// Usual service times after which a call in flight counts as stuck.
const STUCK: f64 = 4.0;
/// What a call to another failure domain costs in seconds, both ways.
const DISTANCE: f64 = 0.001;
/// The share by which a server in the caller's failure domain may be slower and
/// still be chosen: links between domains are dear, and go down with them.
const REMOTE: f64 = 0.25;
/// The share by which a server that the VM is connected to may be slower and
/// still be chosen: a new connection costs the server time.
const UNLINKED: f64 = 0.15;
/// Expected times that a call which its server fails costs its caller.
const FAILED: f64 = 10.0;
/// The share by which expected times differ that count as the same.
const ALIKE: f64 = 0.02;

/// A server with room for a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its place among the servers of the shard.
    pub index: usize,
    /// Whether it has a free slot; otherwise the call waits in it.
    pub has_slot: bool,
    /// Whether it bears its full limit.
    pub warm: bool,
    /// Calls in flight at it.
    pub in_flight: u32,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Its expected service time in seconds.
    pub service_time: f64,
    /// How long its oldest call has been in flight, in seconds.
    pub oldest_age: f64,
    /// How much longer work takes on its host now than it usually does.
    pub slowdown: f64,
    /// How much longer a call takes at a full server than at an empty one, as a
    /// share.
    pub contention: f64,
    /// Whether it stands in the caller's failure domain.
    pub local: bool,
    /// Whether the caller's VM has most likely a connection to it.
    pub connected: bool,
    /// The share of its last answers that say that it failed.
    pub errors: f64,
    /// When it was last given a call.
    pub last_used: Time,
}

impl Candidate {
    /// Returns the expected time of a call at this server, as a grade that times
    /// which are alike share: what was learned fades, but never quite ends.
    fn grade(&self) -> f64 {
        (self.cost().ln() / ALIKE).floor()
    }

    /// Returns how long a call is expected to take at this server, in seconds,
    /// whatever else it costs.
    pub fn predicted_time(&self) -> f64 {
        self.service_time * self.slowdown * (1.0 + self.contention * self.crowd())
    }

    /// Returns how full the server is, from 0 to 1: at 1 it runs one call less than
    /// it has slots.
    fn crowd(&self) -> f64 {
        let others = f64::from(self.slots.max(2) - 1);
        (f64::from(self.in_flight) / others).min(1.0)
    }

    /// Returns the expected time of a call at this server, in seconds, with all
    /// else that it costs.
    pub fn cost(&self) -> f64 {
        let rounds = if self.has_slot {
            1.0
        } else {
            1.0 + self.crowd()
        };
        let mut time = self.predicted_time() * rounds;
        if self.oldest_age > STUCK * self.service_time {
            time = time.max(self.oldest_age);
        }
        if !self.local {
            time = time * (1.0 + REMOTE) + DISTANCE;
        }
        if !self.connected {
            time *= 1.0 + UNLINKED;
        }
        time * (1.0 + FAILED * self.errors)
    }
}

/// Returns the place of the best candidate; `wary` calls go to a server that
/// is not warm only if there is no other.
pub fn best(candidates: impl Iterator<Item = Candidate>, wary: bool) -> Option<usize> {
    let rank = |c: &Candidate| (!c.has_slot, wary && !c.warm, c.grade(), c.last_used);
    let better = |a: &Candidate, b: &Candidate| {
        let (a, b) = (rank(a), rank(b));
        (a.0, a.1)
            .cmp(&(b.0, b.1))
            .then(a.2.total_cmp(&b.2))
            .then(a.3.cmp(&b.3))
    };
    candidates.min_by(better).map(|candidate| candidate.index)
}
