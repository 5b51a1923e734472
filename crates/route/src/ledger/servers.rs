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
use crate::msg::Load;
use crate::msg::ProbeResult;
use crate::msg::Release;
use crate::msg::ServerSummary;
use crate::msg::Warmth;
use crate::permits::Permit;
use crate::spec::Announcement;
use crate::spec::ServerSpec;
use crate::spec::ShardSpec;

/// Weight of one permit in the average time that a slot stands idle.
const GAP_WEIGHT: f64 = 0.05;
/// Weight of one answer in the average time of all calls.
const AVERAGE_WEIGHT: f64 = 0.05;
/// The span in which the calls of a server that is not warm are counted; longer
/// than the second that the bound is for, as calls arrive early and late.
const RATE_SPAN: Duration = Duration::from_millis(1100);
/// The time after its last request for which a follower is sent snapshots.
const ACTIVE: Duration = Duration::from_secs(5);
/// The bytes that a server takes in a snapshot, about.
const LINE_BYTES: usize = 25;
/// The bytes a second that a home sends as snapshots on average.
const SNAPSHOT_RATE: f64 = 20e3;
/// The shortest time between two snapshots to a follower when nothing changes.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(1);

/// Where the ledger has what it knows about a server from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Nothing but good answers, which say nothing about what it bore before.
    None,
    /// The last home, by way of its followers.
    Inherited,
    /// What this home has seen itself since, which counts for more.
    Seen,
}

/// What the ledger knows about one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) limit: Limit,
    pub(crate) busy: u32,
    pub(crate) reserved: u32,
    pub(super) open: bool,
    pub(super) admitted: Vec<VmId>,
    pub(super) used: Time,
    pub(super) source: Source,
    pub(super) probed: Time,
    pub(super) probing: bool,
    pub(super) load: Option<Load>,
    pub(super) start: Announcement,
    /// When it was last given calls while it was not warm.
    pub(super) grants: Vec<Time>,
    /// How long work takes on its host, and when it said so.
    pub(super) pace: Option<(f64, Time)>,
    /// The announcement that it is cold which a health answer has overtaken.
    pub(super) over: Option<Announcement>,
    /// When VMs were last given calls at it.
    pub(super) links: Vec<(VmId, Time)>,
}

impl Ledger {
    /// Describes the servers as they are `now`, sorted by id.
    pub fn server_summaries(&self, now: Time) -> Vec<ServerSummary> {
        let line = |server: &Server| ServerSummary {
            server: server.id,
            limit: server.limit.current(),
            warmth: server.limit.warmth(&self.spec),
            usual: Duration::from_secs_f64(server.limit.usual_time()),
            age: server.limit.age(now),
        };
        self.servers.iter().map(line).collect()
    }

    /// Returns the calls in flight at `server`, as far as the home knows.
    pub fn busy(&self, server: ServerId) -> u32 {
        self.find(server).map_or(0, |at| self.servers[at].busy)
    }

    /// Returns what `server` last said about its load.
    pub fn load(&self, server: ServerId) -> Option<Load> {
        self.find(server).and_then(|at| self.servers[at].load)
    }

    /// Notes the result of a probe.
    pub fn record_probe(&mut self, server: ServerId, report: ProbeResult, now: Time) {
        self.note_load(server, report.load, now);
        let spec = self.spec.clone();
        if report.ok {
            let told = self.tells_warmth.unwrap_or(false);
            self.tells_warmth = Some(told || report.warm.is_some());
        }
        if let Some(at) = self.find(server) {
            let server = &mut self.servers[at];
            server.probing = false;
            let before = server.limit.warmth(&spec);
            if server.limit.wants_probe(now) {
                server.limit.record_probe(report.ok, &spec, now);
            }
            match report.warm.filter(|_| report.ok) {
                Some(true) => server.note_warm(),
                Some(false) => server.note_cold(&spec, now),
                None => {}
            }
            self.changed |= server.limit.warmth(&spec) != before;
        }
        self.pump(now);
    }

    pub(super) fn learn(&mut self, permit: &Permit, release: &Release, now: Time) {
        let spec = self.spec.clone();
        // Slow hosts are usual where they are many, and must not keep a server
        // from warming up.
        let typical = self.typical.max(self.average);
        let took = release.took.as_secs_f64();
        if release.outcome == Outcome::Done {
            let held = now.saturating_sub(permit.granted_at).as_secs_f64();
            let gap = (held - took).max(0.0);
            self.gap += (gap - self.gap) * GAP_WEIGHT;
            if self.typical == 0.0 {
                self.typical = took;
                self.average = took;
            }
            self.average += (took - self.average) * AVERAGE_WEIGHT;
            let slots = self.spec.server(release.server).map_or(1, |s| s.slots);
            self.note_crowding(took, permit.concurrent, slots);
        }
        self.note_load(release.server, release.load, now);
        let Some(at) = self.find(release.server) else {
            return;
        };
        let server = &mut self.servers[at];
        if release.outcome != Outcome::Done || server.source == Source::Inherited {
            server.source = Source::Seen;
        }
        let before = server.limit.warmth(&spec);
        let slots = spec.server(release.server).map_or(0, |s| s.slots);
        let idle = release.load.is_some_and(|load| load.busy < slots);
        let outcome = match release.outcome {
            // It fails rather than that it is full, so its limit stays.
            Outcome::Shed if idle => Outcome::Failed,
            other => other,
        };
        server.limit.record(outcome, took, typical, &spec, now);
        if server.limit.warmth(&spec) != before {
            self.changed = true;
            self.send_snapshots(now);
        }
    }

    /// Notes that a server closed a connection that it had just been used on:
    /// it has restarted, or is about to.
    pub(super) fn lost(&mut self, server: ServerId, now: Time) {
        let spec = self.spec.clone();
        let Some(at) = self.find(server) else {
            return;
        };
        let server = &mut self.servers[at];
        if server.start == Announcement::Warm {
            // It will announce its restart, if that is what it was.
            server.limit.suspect_restart(now);
            return;
        }
        server.source = Source::Seen;
        let before = server.limit.warmth(&spec);
        server.limit.reset_to_cold(&spec);
        if server.limit.warmth(&spec) != before {
            self.changed = true;
            self.send_snapshots(now);
        }
    }

    /// Forgets how warm servers were that have not answered for long.
    pub(super) fn forget_stale(&mut self, now: Time) {
        let spec = self.spec.clone();
        for server in &mut self.servers {
            self.changed |= server.forget_stale(&spec, now);
        }
    }

    pub(super) fn learn_typical(&mut self) {
        let mut times: Vec<f64> = self
            .servers
            .iter()
            .map(|server| server.limit.usual_time())
            .filter(|usual| *usual > 0.0)
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        // Of two servers the faster one says what is usual; the slower one would
        // be its own measure, and never be tried again.
        if let Some(median) = times.get(times.len().saturating_sub(1) / 2) {
            self.typical = *median;
        }
    }

    pub(super) fn send_snapshots(&mut self, now: Time) {
        let period = self.snapshot_period();
        // A change is told at once, but not each of many.
        let rest = period.saturating_sub(SNAPSHOT_PERIOD) / 4;
        let soon = self.changed && now >= self.sent + rest;
        if soon {
            self.changed = false;
            self.sent = now;
        }
        let changed = soon;
        let due: Vec<VmId> = self
            .active
            .iter_mut()
            .filter(|active| now < active.asked + ACTIVE)
            .filter(|active| changed || now >= active.sent + period)
            .map(|active| {
                active.sent = now;
                active.vm
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
        let bytes = self.roster.len() * self.servers.len() * LINE_BYTES;
        let needed = Duration::from_secs_f64(bytes as f64 / SNAPSHOT_RATE);
        needed.max(SNAPSHOT_PERIOD)
    }

    pub(super) fn start_probes(&mut self, now: Time) {
        let spec = self.spec.clone();
        if spec.probe_share == 0 {
            return;
        }
        // Until a first health answer nobody knows whether it tells.
        let tells = self.tells_warmth.unwrap_or(true);
        for server in &mut self.servers {
            let Some(known) = spec.server(server.id).filter(|s| s.open) else {
                continue;
            };
            let share = f64::from(spec.probe_share) / 10_000.0 * f64::from(known.slots);
            let period = spec.probe_cost.div_f64(share);
            let due = server.probed.is_zero() || now >= server.probed + period;
            let cold = tells && server.is_cold(&spec, now);
            if due && !server.probing && (cold || server.limit.wants_probe(now)) {
                server.probed = now;
                server.probing = true;
                self.counts.probes += 1;
                self.actions.push(Action::Probe(server.id));
            }
        }
    }

    /// Makes the list of servers that of the specification.
    pub(super) fn match_servers(&mut self) {
        let spec = self.spec.clone();
        let old = std::mem::take(&mut self.servers);
        for known in &spec.servers {
            let kept = old.iter().find(|server| server.id == known.id);
            let mut server = kept.cloned().unwrap_or_else(|| Server::new(known, &spec));
            server.limit.set_slots(known.slots);
            if known.open && !server.open {
                // It may have been restarted while it got no work.
                server.limit.reset_to_cold(&spec);
            }
            server.open = known.open;
            if known.announced != server.start {
                match known.announced {
                    Announcement::Cold(_) => server.limit.reset_to_cold(&spec),
                    Announcement::Warm => server.limit.mark_warm(),
                    Announcement::Unknown => {}
                }
                server.start = known.announced;
            }
            self.servers.push(server);
        }
        for at in 0..self.servers.len() {
            let id = self.servers[at].id;
            let permits = self.permits.list().iter();
            self.servers[at].busy = permits.filter(|p| p.server == id).count() as u32;
        }
    }

    pub(super) fn find(&self, server: ServerId) -> Option<usize> {
        let found = self.servers.binary_search_by_key(&server, |s| s.id);
        found.ok()
    }
}

impl Server {
    /// Returns whether it may bear less than its slots.
    pub(super) fn is_cold(&self, spec: &ShardSpec, now: Time) -> bool {
        let said = matches!(self.start, Announcement::Cold(_)) && self.over != Some(self.start);
        said || self.limit.warmth(spec) < Warmth::Lowered || self.limit.may_be_cold(spec, now)
    }

    /// Takes the word of its health answer that it is warm, which is newer than
    /// what it announced.
    fn note_warm(&mut self) {
        self.over = Some(self.start);
        self.limit.mark_warm();
    }

    /// The same that it is cold.
    fn note_cold(&mut self, spec: &ShardSpec, now: Time) {
        self.over = None;
        self.limit.reset_to_cold(spec);
        self.limit.suspect_restart(now);
    }

    /// Notes a call that it is given.
    pub(super) fn note_grant(&mut self, now: Time) {
        self.grants.retain(|at| now < *at + RATE_SPAN);
        self.grants.push(now);
    }

    /// Returns whether it got as many calls as a cold server bears.
    pub(super) fn has_its_rate(&self, spec: &ShardSpec, now: Time) -> bool {
        let recent = self.grants.iter().filter(|at| now < **at + RATE_SPAN);
        spec.cold_rate > 0.0 && recent.count() as f64 >= spec.cold_rate.floor().max(1.0)
    }

    /// Sets the server's limit back if nothing has been heard of it for long;
    /// returns whether that is so.
    pub(super) fn forget_stale(&mut self, spec: &ShardSpec, now: Time) -> bool {
        // One that announces itself would say that it has restarted.
        let silent = self.start == Announcement::Unknown;
        let stale = silent && self.busy == 0 && self.limit.is_stale(spec, now);
        if stale {
            self.limit.lower(spec);
        }
        stale
    }

    pub(super) fn new(known: &ServerSpec, spec: &ShardSpec) -> Self {
        Self {
            id: known.id,
            limit: Limit::new(known, spec),
            busy: 0,
            reserved: 0,
            open: known.open,
            admitted: Vec::new(),
            used: Time::ZERO,
            source: Source::None,
            probed: Time::ZERO,
            probing: false,
            load: None,
            start: known.announced,
            grants: Vec::new(),
            pace: None,
            over: None,
            links: Vec::new(),
        }
    }
}
