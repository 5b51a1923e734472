//! Baselines: ways to choose a server without asking anybody.
//!
//! They exist to be compared with the home and are selectable in the settings.
//! Each sees only what its own VM has in flight, except for the probe pool,
//! which asks servers for their load (Prequal, NSDI 2024). See
//! `docs/design/baselines.md`.

use std::time::Duration;

use base::ServerId;
use base::Time;

use crate::msg::Load;
use crate::spec::ShardSpec;

/// Weight of one answer in the average service time.
const WEIGHT: f64 = 0.2;
/// Probes kept in the pool.
const POOL_MAX: usize = 16;
/// The age after which a probe is dropped.
const PROBE_AGE: Duration = Duration::from_millis(1000);
/// The share of the pool whose calls in flight count as many.
const HOT_SHARE: f64 = 0.75;
/// Choices for which one probe serves.
const PROBE_USES: u32 = 2;

/// One server as one VM sees it.
#[derive(Clone, Copy, Debug)]
pub struct ServerView {
    /// The server.
    pub id: ServerId,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Calls that this VM has in flight at it.
    pub busy: u32,
    /// Its average service time in seconds, 0 if unknown.
    pub usual: f64,
}

/// Chooses one of some servers.
pub trait Picker: Send {
    /// Returns the place of the chosen server in `views`, which is not empty.
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, now: Time) -> usize;

    /// Returns whether a server should be probed for the next choices.
    fn wants_probe(&self) -> bool {
        false
    }

    /// Notes what a probed server said.
    fn record_probe(&mut self, _server: ServerId, _load: Load, _now: Time) {}
}

/// Any server, by chance.
#[derive(Debug, Default)]
pub struct Random;

impl Picker for Random {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, _now: Time) -> usize {
        rng.usize(..views.len())
    }
}

/// Each server in turn.
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

/// The server with the fewest calls in flight from this VM.
#[derive(Debug, Default)]
pub struct LeastRequest;

impl Picker for LeastRequest {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, _now: Time) -> usize {
        let from = rng.usize(..views.len());
        let places = (0..views.len()).map(|i| (from + i) % views.len());
        places.min_by_key(|&at| views[at].busy).unwrap_or(from)
    }
}

/// The better of two servers taken by chance.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Picker for TwoChoices {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, _now: Time) -> usize {
        let a = rng.usize(..views.len());
        let b = rng.usize(..views.len());
        if views[b].busy < views[a].busy {
            b
        } else {
            a
        }
    }
}

/// A probe's answer.
#[derive(Clone, Copy, Debug)]
struct Sample {
    server: ServerId,
    busy: u32,
    at: Time,
    uses: u32,
}

/// The best of a pool of recent probes: among those with few calls in flight
/// the fastest, or else the one with the fewest.
#[derive(Debug, Default)]
pub struct ProbePool {
    pool: Vec<Sample>,
}

impl Picker for ProbePool {
    fn pick(&mut self, views: &[ServerView], rng: &mut fastrand::Rng, now: Time) -> usize {
        self.pool
            .retain(|s| now < s.at + PROBE_AGE && s.uses < PROBE_USES);
        let place = |server: ServerId| views.iter().position(|view| view.id == server);
        let known: Vec<(usize, usize)> = self
            .pool
            .iter()
            .enumerate()
            .filter_map(|(i, sample)| Some((i, place(sample.server)?)))
            .collect();
        if known.len() < 2 {
            return TwoChoices.pick(views, rng, now);
        }
        let mut counts: Vec<u32> = known.iter().map(|(i, _)| self.pool[*i].busy).collect();
        counts.sort_unstable();
        let hot = counts[((counts.len() - 1) as f64 * HOT_SHARE) as usize];
        let cost = |&&(i, at): &&(usize, usize)| {
            let busy = self.pool[i].busy;
            if busy <= hot {
                (0, views[at].usual)
            } else {
                (busy, 0.0)
            }
        };
        let best = known.iter().min_by(|a, b| {
            let (a, b) = (cost(a), cost(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        let Some(&(i, at)) = best else {
            return rng.usize(..views.len());
        };
        self.pool[i].uses += 1;
        self.pool[i].busy += 1;
        at
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
            busy: load.busy + load.waiting,
            at: now,
            uses: 0,
        });
    }
}

/// One VM's side of a shard under a baseline.
pub struct LocalPolicy {
    views: Vec<ServerView>,
    picker: Box<dyn Picker>,
    rng: fastrand::Rng,
}

impl LocalPolicy {
    /// Makes the side of a VM that knows nothing yet.
    pub fn new(picker: Box<dyn Picker>, seed: u64) -> Self {
        Self {
            views: Vec::new(),
            picker,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Follows a change of the configuration.
    pub fn set_spec(&mut self, spec: &ShardSpec) {
        let old = std::mem::take(&mut self.views);
        for server in &spec.servers {
            let kept = old.iter().find(|view| view.id == server.id);
            self.views.push(ServerView {
                id: server.id,
                slots: if server.open { server.slots } else { 0 },
                busy: kept.map_or(0, |view| view.busy),
                usual: kept.map_or(0.0, |view| view.usual),
            });
        }
    }

    /// Chooses a server that is not in `avoid`, unless there is no other.
    pub fn pick(&mut self, avoid: &[ServerId], now: Time) -> Option<ServerId> {
        let open: Vec<ServerView> = self.views.iter().filter(|v| v.slots > 0).copied().collect();
        let mut fresh = open.clone();
        fresh.retain(|view| !avoid.contains(&view.id));
        let views = if fresh.is_empty() { open } else { fresh };
        if views.is_empty() {
            return None;
        }
        let at = self.picker.pick(&views, &mut self.rng, now);
        let id = views[at].id;
        if let Some(view) = self.view(id) {
            view.busy += 1;
        }
        Some(id)
    }

    /// Notes the end of an attempt; `took` is none if it gives no service time.
    pub fn release(&mut self, server: ServerId, took: Option<Duration>) {
        let Some(view) = self.view(server) else {
            return;
        };
        view.busy = view.busy.saturating_sub(1);
        if let Some(took) = took {
            view.usual += (took.as_secs_f64() - view.usual) * WEIGHT;
        }
    }

    /// Returns a server to probe, if the policy lives by probes.
    pub fn server_to_probe(&mut self) -> Option<ServerId> {
        if !self.picker.wants_probe() || self.views.is_empty() {
            return None;
        }
        Some(self.views[self.rng.usize(..self.views.len())].id)
    }

    /// Notes what a probed server said.
    pub fn record_probe(&mut self, server: ServerId, load: Load, now: Time) {
        self.picker.record_probe(server, load, now);
    }

    fn view(&mut self, id: ServerId) -> Option<&mut ServerView> {
        let at = self.views.binary_search_by_key(&id, |view| view.id).ok()?;
        Some(&mut self.views[at])
    }
}
