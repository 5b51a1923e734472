//! Baseline policies, which choose a server without a home.
//!
//! They serve as a comparison with the home and can be selected in the settings.
//! Each policy uses only the calls in flight from its own VM, except for the probe
//! pool, which probes servers for their load (Prequal, NSDI 2024). See
//! `docs/design/baselines.md`.

use std::time::Duration;

use base::ServerId;
use base::Time;

use crate::msg::Load;
use crate::spec::ShardSpec;

/// Weight of one response in the average service time.
const SERVICE_TIME_WEIGHT: f64 = 0.2;
/// The most probes that are kept in the pool.
const POOL_MAX: usize = 16;
/// The age at which a probe is dropped.
const PROBE_AGE_MAX: Duration = Duration::from_millis(1000);
/// The quantile of the calls in flight in the pool above which a server counts as
/// hot.
const HOT_QUANTILE: f64 = 0.75;
/// The number of choices after which a probe is dropped.
const PROBE_USES_MAX: u32 = 2;

/// The state of one server as known to one VM.
#[derive(Clone, Copy, Debug)]
pub struct ServerView {
    /// Id of the server.
    pub id: ServerId,
    /// Calls that the server runs at once, 0 if it gets no new calls.
    pub slots: u32,
    /// Calls that this VM has in flight at the server.
    pub in_flight: u32,
    /// The server's average service time in seconds, 0 if unknown.
    pub service_time: f64,
}

/// A policy that chooses one of several servers.
pub trait Picker: Send {
    /// Returns the index of the chosen server in `views`, which must not be empty.
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, now: Time) -> usize;

    /// Returns whether the policy needs probes of servers.
    fn wants_probe(&self) -> bool {
        false
    }

    /// Records the load that a probed server reported.
    fn record_probe(&mut self, _server: ServerId, _load: Load, _now: Time) {}
}

/// Chooses uniformly at random.
#[derive(Debug, Default)]
pub struct Random;

impl Picker for Random {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, _now: Time) -> usize {
        rng.usize(..views.len())
    }
}

/// Chooses each server in turn, starting at a random one.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Picker for RoundRobin {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, _now: Time) -> usize {
        if self.next == 0 {
            self.next = rng.usize(..views.len()) + 1;
        }
        self.next += 1;
        self.next % views.len()
    }
}

/// Chooses the server with the fewest calls in flight from this VM, and among equal
/// ones the first after a random start.
#[derive(Debug, Default)]
pub struct LeastRequest;

impl Picker for LeastRequest {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, _now: Time) -> usize {
        let start = rng.usize(..views.len());
        let indexes = (0..views.len()).map(|i| (start + i) % views.len());
        indexes.min_by_key(|&i| views[i].in_flight).unwrap_or(start)
    }
}

/// Of two random servers, chooses the one with fewer calls in flight from this VM (power
/// of two choices).
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Picker for TwoChoices {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, _now: Time) -> usize {
        let a = rng.usize(..views.len());
        let b = rng.usize(..views.len());
        if views[b].in_flight < views[a].in_flight {
            b
        } else {
            a
        }
    }
}

/// The result of a probe.
#[derive(Clone, Copy, Debug)]
struct Sample {
    server: ServerId,
    /// Calls running or queued in the server, including those that were sent to it
    /// because of this sample.
    in_flight: u32,
    received_at: Time,
    uses: u32,
}

/// Chooses by a pool of recent probes: the fastest server among those that are not
/// hot, or the one with the fewest calls in flight if all are hot. With fewer than
/// two probed servers it falls back to [`TwoChoices`].
#[derive(Debug, Default)]
pub struct ProbePool {
    pool: Vec<Sample>,
}

impl Picker for ProbePool {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, now: Time) -> usize {
        self.pool
            .retain(|s| now < s.received_at + PROBE_AGE_MAX && s.uses < PROBE_USES_MAX);
        let index = |server: ServerId| views.iter().position(|view| view.id == server);
        let known: Vec<(usize, usize)> = self
            .pool
            .iter()
            .enumerate()
            .filter_map(|(i, sample)| Some((i, index(sample.server)?)))
            .collect();
        if known.len() < 2 {
            return TwoChoices.pick(views, rng, now);
        }
        let mut counts: Vec<u32> = known.iter().map(|(i, _)| self.pool[*i].in_flight).collect();
        counts.sort_unstable();
        let hot = counts[((counts.len() - 1) as f64 * HOT_QUANTILE) as usize];
        let cost = |&&(sample, view): &&(usize, usize)| {
            let in_flight = self.pool[sample].in_flight;
            if in_flight <= hot {
                (0, views[view].service_time)
            } else {
                (in_flight, 0.0)
            }
        };
        let best = known.iter().min_by(|a, b| {
            let (a, b) = (cost(a), cost(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        let Some(&(sample, view)) = best else {
            return rng.usize(..views.len());
        };
        self.pool[sample].uses += 1;
        self.pool[sample].in_flight += 1;
        view
    }

    fn wants_probe(&self) -> bool {
        true
    }

    fn record_probe(&mut self, server: ServerId, load: Load, now: Time) {
        self.pool.retain(|sample| sample.server != server);
        if self.pool.len() >= POOL_MAX {
            self.pool.remove(0);
        }
        self.pool.push(Sample {
            server,
            in_flight: load.busy + load.waiting,
            received_at: now,
            uses: 0,
        });
    }
}

/// The state of one shard on one VM that uses a baseline policy.
pub struct LocalPolicy {
    views: Vec<ServerView>,
    picker: Box<dyn Picker>,
    rng: fastrand::Rng,
}

impl LocalPolicy {
    /// Creates a state without servers, which [`LocalPolicy::set_spec`] adds. `seed`
    /// determines the random choices.
    pub fn new(picker: Box<dyn Picker>, seed: u64) -> Self {
        Self {
            views: Vec::new(),
            picker,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies a change of the configuration. Servers that stay keep their counts.
    pub fn set_spec(&mut self, spec: &ShardSpec) {
        let old = std::mem::take(&mut self.views);
        for server in &spec.servers {
            let kept = old.iter().find(|view| view.id == server.id);
            self.views.push(ServerView {
                id: server.id,
                slots: if server.open { server.slots } else { 0 },
                in_flight: kept.map_or(0, |view| view.in_flight),
                service_time: kept.map_or(0.0, |view| view.service_time),
            });
        }
    }

    /// Chooses a server and counts a call in flight at it. Returns none if no server
    /// gets new calls.
    ///
    /// A server in `avoid` is chosen only if there is no other.
    pub fn pick(&mut self, avoid: &[ServerId], now: Time) -> Option<ServerId> {
        let open: Vec<ServerView> = self.views.iter().filter(|v| v.slots > 0).copied().collect();
        let mut preferred = open.clone();
        preferred.retain(|view| !avoid.contains(&view.id));
        let views = if preferred.is_empty() {
            open
        } else {
            preferred
        };
        if views.is_empty() {
            return None;
        }
        let i = self.picker.pick(&views, &mut self.rng, now);
        let id = views[i].id;
        if let Some(view) = self.view(id) {
            view.in_flight += 1;
        }
        Some(id)
    }

    /// Records the end of an attempt at `server`. `took` is none if the attempt gives
    /// no valid service time.
    pub fn release(&mut self, server: ServerId, took: Option<Duration>) {
        let Some(view) = self.view(server) else {
            return;
        };
        view.in_flight = view.in_flight.saturating_sub(1);
        if let Some(took) = took {
            view.service_time += (took.as_secs_f64() - view.service_time) * SERVICE_TIME_WEIGHT;
        }
    }

    /// Returns a random server to probe, or none if the policy does not use probes.
    pub fn server_to_probe(&mut self) -> Option<ServerId> {
        if !self.picker.wants_probe() || self.views.is_empty() {
            return None;
        }
        Some(self.views[self.rng.usize(..self.views.len())].id)
    }

    /// Records the load that a probed server reported.
    pub fn record_probe(&mut self, server: ServerId, load: Load, now: Time) {
        self.picker.record_probe(server, load, now);
    }

    fn view(&mut self, id: ServerId) -> Option<&mut ServerView> {
        let i = self.views.binary_search_by_key(&id, |view| view.id).ok()?;
        Some(&mut self.views[i])
    }
}
