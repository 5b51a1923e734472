//! What the home knows about its servers, learns about them, and tells.
//!
//! See `docs/design/limits.md`.

use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::Time;
use base::VmId;

use super::Action;
use super::Ledger;
use crate::limit::Limit;
use crate::msg::Body;
use crate::msg::Line;
use crate::msg::Load;
use crate::msg::Release;
use crate::msg::Report;
use crate::msg::Warmth;
use crate::permits::Permit;
use crate::spec::ServerSpec;
use crate::spec::Spec;
use crate::spec::Start;

/// Weight of one permit in the average time that a slot stands idle.
const IDLE_GAP_WEIGHT: f64 = 0.05;
/// Weight of one answer in the average time of all calls.
const MEAN_TIME_WEIGHT: f64 = 0.05;
/// The span in which the calls of a server that is not warm are counted; longer
/// than the second that the bound is for, as calls arrive early and late.
const RATE_WINDOW: Duration = Duration::from_millis(1100);
/// The time after its last request for which a follower is sent snapshots.
const FOLLOWER_ACTIVE: Duration = Duration::from_secs(5);
/// The bytes that a server takes in a snapshot, about.
const SUMMARY_BYTES: usize = 25;
/// The bytes a second that a home sends as snapshots on average.
const SNAPSHOT_BYTES_PER_SEC: f64 = 20e3;
/// The shortest time between two snapshots to a follower when nothing changes.
const SNAPSHOT_PERIOD_MIN: Duration = Duration::from_secs(1);

/// Where the ledger has what it knows about a server from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Nothing but good answers, which say nothing about what it bore before.
    None,
    /// The last home, by way of its followers.
    Inherited,
    /// What this home has seen itself since, which counts for more.
    Observed,
}

/// What the ledger knows about one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) limit: Limit,
    pub(crate) busy: u32,
    pub(crate) reserved: u32,
    pub(super) open: bool,
    pub(super) allowed_vms: Vec<VmId>,
    pub(super) last_grant: Time,
    pub(super) source: Source,
    pub(super) last_probe: Time,
    pub(super) probing: bool,
    pub(super) load: Option<Load>,
    pub(super) start: Start,
    /// When it was last given calls while it was not warm.
    pub(super) recent_grants: Vec<Time>,
    /// How long work takes on its host, and when it said so.
    pub(super) slowdown: Option<(f64, Time)>,
    /// The announcement that it is cold which a health answer has overtaken.
    pub(super) superseded_start: Option<Start>,
    /// When VMs were last given calls at it.
    pub(super) connections: Vec<(VmId, Time)>,
}

impl Ledger {
    /// Describes the servers as they are `now`, sorted by id.
    pub fn server_summaries(&self, now: Time) -> Vec<Line> {
        let line = |server: &Server| Line {
            server: server.id,
            limit: server.limit.current(),
            warmth: server.limit.warmth(&self.spec),
            usual: Duration::from_secs_f64(server.limit.usual()),
            age: server.limit.age(now),
        };
        self.servers.iter().map(line).collect()
    }

    /// Returns the calls in flight at `server`, as far as the home knows.
    pub fn busy(&self, server: ServerId) -> u32 {
        self.find(server)
            .map_or(0, |index| self.servers[index].busy)
    }

    /// Returns what `server` last said about its load.
    pub fn load(&self, server: ServerId) -> Option<Load> {
        self.find(server).and_then(|index| self.servers[index].load)
    }

    /// Notes the result of a probe.
    pub fn record_probe(&mut self, server: ServerId, report: Report, now: Time) {
        self.record_load(server, report.load, now);
        let spec = self.spec.clone();
        if report.ok {
            let reported = self.reports_warmth.unwrap_or(false);
            self.reports_warmth = Some(reported || report.warm.is_some());
        }
        if let Some(index) = self.find(server) {
            let server = &mut self.servers[index];
            server.probing = false;
            let before = server.limit.warmth(&spec);
            if server.limit.wants_probe(now) {
                server.limit.probed(report.ok, &spec, now);
            }
            match report.warm.filter(|_| report.ok) {
                Some(true) => server.accept_warm(),
                Some(false) => server.accept_cold(&spec, now),
                None => {}
            }
            self.summaries_changed |= server.limit.warmth(&spec) != before;
        }
        self.serve_queue(now);
    }

    pub(super) fn record_release(&mut self, permit: &Permit, release: &Release, now: Time) {
        let spec = self.spec.clone();
        // Slow hosts are usual where they are many, and must not keep a server
        // from warming up.
        let typical = self.typical_time.max(self.mean_time);
        let took = release.took.as_secs_f64();
        if release.outcome == Outcome::Done {
            let held = now.saturating_sub(permit.since).as_secs_f64();
            let gap = (held - took).max(0.0);
            self.idle_gap += (gap - self.idle_gap) * IDLE_GAP_WEIGHT;
            if self.typical_time == 0.0 {
                self.typical_time = took;
                self.mean_time = took;
            }
            self.mean_time += (took - self.mean_time) * MEAN_TIME_WEIGHT;
            let slots = self.spec.server(release.server).map_or(1, |s| s.slots);
            self.record_contention(took, permit.beside, slots);
        }
        self.record_load(release.server, release.load, now);
        let Some(index) = self.find(release.server) else {
            return;
        };
        let server = &mut self.servers[index];
        if release.outcome != Outcome::Done || server.source == Source::Inherited {
            server.source = Source::Observed;
        }
        let before = server.limit.warmth(&spec);
        let slots = spec.server(release.server).map_or(0, |s| s.slots);
        let idle = release.load.is_some_and(|load| load.busy < slots);
        let outcome = match release.outcome {
            // It fails rather than that it is full, so its limit stays.
            Outcome::Shed if idle => Outcome::Failed,
            other => other,
        };
        server.limit.note(outcome, took, typical, &spec, now);
        if server.limit.warmth(&spec) != before {
            self.summaries_changed = true;
            self.send_snapshots(now);
        }
    }

    /// Notes that a server closed a connection that it had just been used on:
    /// it has restarted, or is about to.
    pub(super) fn connection_lost(&mut self, server: ServerId, now: Time) {
        let spec = self.spec.clone();
        let Some(index) = self.find(server) else {
            return;
        };
        let server = &mut self.servers[index];
        if server.start == Start::Warm {
            // It will announce its restart, if that is what it was.
            server.limit.suspect(now);
            return;
        }
        server.source = Source::Observed;
        let before = server.limit.warmth(&spec);
        server.limit.chill(&spec);
        if server.limit.warmth(&spec) != before {
            self.summaries_changed = true;
            self.send_snapshots(now);
        }
    }

    /// Forgets how warm servers were that have not answered for long.
    pub(super) fn forget_stale(&mut self, now: Time) {
        let spec = self.spec.clone();
        for server in &mut self.servers {
            self.summaries_changed |= server.forget_stale(&spec, now);
        }
    }

    pub(super) fn update_typical_time(&mut self) {
        let mut times: Vec<f64> = self
            .servers
            .iter()
            .map(|server| server.limit.usual())
            .filter(|usual| *usual > 0.0)
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        // Of two servers the faster one says what is usual; the slower one would
        // be its own measure, and never be tried again.
        if let Some(median) = times.get(times.len().saturating_sub(1) / 2) {
            self.typical_time = *median;
        }
    }

    pub(super) fn send_snapshots(&mut self, now: Time) {
        let period = self.snapshot_period();
        // A change is told at once, but not each of many.
        let delay = period.saturating_sub(SNAPSHOT_PERIOD_MIN) / 4;
        let due_now = self.summaries_changed && now >= self.last_broadcast + delay;
        if due_now {
            self.summaries_changed = false;
            self.last_broadcast = now;
        }
        let changed = due_now;
        let due: Vec<VmId> = self
            .followers
            .iter_mut()
            .filter(|follower| now < follower.last_request + FOLLOWER_ACTIVE)
            .filter(|follower| changed || now >= follower.last_snapshot + period)
            .map(|follower| {
                follower.last_snapshot = now;
                follower.vm
            })
            .collect();
        if due.is_empty() {
            return;
        }
        let lines = self.server_summaries(now);
        let epoch = self.epoch;
        for vm in due {
            let lines = lines.clone();
            self.send(vm, Body::Snapshot { epoch, lines });
        }
    }

    /// Returns the time between two snapshots to a follower when nothing changes: the
    /// more VMs and servers there are, the longer, so that what a home sends does
    /// not grow with them.
    fn snapshot_period(&self) -> Duration {
        let bytes = self.quorum.len() * self.servers.len() * SUMMARY_BYTES;
        let needed = Duration::from_secs_f64(bytes as f64 / SNAPSHOT_BYTES_PER_SEC);
        needed.max(SNAPSHOT_PERIOD_MIN)
    }

    pub(super) fn start_probes(&mut self, now: Time) {
        let spec = self.spec.clone();
        if spec.probe_share == 0 {
            return;
        }
        // Until a first health answer nobody knows whether it tells.
        let may_report = self.reports_warmth.unwrap_or(true);
        for server in &mut self.servers {
            let Some(known) = spec.server(server.id).filter(|s| s.open) else {
                continue;
            };
            let share = f64::from(spec.probe_share) / 10_000.0 * f64::from(known.slots);
            let period = spec.probe_cost.div_f64(share);
            let due = server.last_probe.is_zero() || now >= server.last_probe + period;
            let cold = may_report && server.is_cold(&spec, now);
            if due && !server.probing && (cold || server.limit.wants_probe(now)) {
                server.last_probe = now;
                server.probing = true;
                self.counts.probes += 1;
                self.actions.push(Action::Probe(server.id));
            }
        }
    }

    /// Makes the list of servers that of the specification.
    pub(super) fn sync_servers(&mut self) {
        let spec = self.spec.clone();
        let old = std::mem::take(&mut self.servers);
        for known in &spec.servers {
            let kept = old.iter().find(|server| server.id == known.id);
            let mut server = kept.cloned().unwrap_or_else(|| Server::new(known, &spec));
            server.limit.set_slots(known.slots);
            if known.open && !server.open {
                // It may have been restarted while it got no work.
                server.limit.chill(&spec);
            }
            server.open = known.open;
            if known.start != server.start {
                match known.start {
                    Start::Cold(_) => server.limit.chill(&spec),
                    Start::Warm => server.limit.warm(),
                    Start::Unknown => {}
                }
                server.start = known.start;
            }
            self.servers.push(server);
        }
        for index in 0..self.servers.len() {
            let id = self.servers[index].id;
            let permits = self.permits.list().iter();
            self.servers[index].busy = permits.filter(|p| p.server == id).count() as u32;
        }
    }

    pub(super) fn find(&self, server: ServerId) -> Option<usize> {
        let found = self.servers.binary_search_by_key(&server, |s| s.id);
        found.ok()
    }
}

impl Server {
    /// Returns whether it may bear less than its slots.
    pub(super) fn is_cold(&self, spec: &Spec, now: Time) -> bool {
        let announced_cold =
            matches!(self.start, Start::Cold(_)) && self.superseded_start != Some(self.start);
        announced_cold
            || self.limit.warmth(spec) < Warmth::Lowered
            || self.limit.may_be_cold(spec, now)
    }

    /// Takes the word of its health answer that it is warm, which is newer than
    /// what it announced.
    fn accept_warm(&mut self) {
        self.superseded_start = Some(self.start);
        self.limit.warm();
    }

    /// The same that it is cold.
    fn accept_cold(&mut self, spec: &Spec, now: Time) {
        self.superseded_start = None;
        self.limit.chill(spec);
        self.limit.suspect(now);
    }

    /// Notes a call that it is given.
    pub(super) fn record_grant(&mut self, now: Time) {
        self.recent_grants
            .retain(|granted| now < *granted + RATE_WINDOW);
        self.recent_grants.push(now);
    }

    /// Returns whether it got as many calls as a cold server bears.
    pub(super) fn at_cold_rate(&self, spec: &Spec, now: Time) -> bool {
        let recent = self
            .recent_grants
            .iter()
            .filter(|granted| now < **granted + RATE_WINDOW);
        spec.cold_rate > 0.0 && recent.count() as f64 >= spec.cold_rate.floor().max(1.0)
    }

    /// Sets the server's limit back if nothing has been heard of it for long;
    /// returns whether that is so.
    pub(super) fn forget_stale(&mut self, spec: &Spec, now: Time) -> bool {
        // One that announces itself would say that it has restarted.
        let unannounced = self.start == Start::Unknown;
        let stale = unannounced && self.busy == 0 && self.limit.is_stale(spec, now);
        if stale {
            self.limit.lower(spec);
        }
        stale
    }

    pub(super) fn new(known: &ServerSpec, spec: &Spec) -> Self {
        Self {
            id: known.id,
            limit: Limit::new(known, spec),
            busy: 0,
            reserved: 0,
            open: known.open,
            allowed_vms: Vec::new(),
            last_grant: Time::ZERO,
            source: Source::None,
            last_probe: Time::ZERO,
            probing: false,
            load: None,
            start: known.start,
            recent_grants: Vec::new(),
            slowdown: None,
            superseded_start: None,
            connections: Vec::new(),
        }
    }
}
