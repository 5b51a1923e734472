//! The home's state of its servers: how results of attempts and probes change
//! it, and how it is sent to followers.
//!
//! See `docs/design/limits.md`.

use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::Time;
use base::VmId;

use super::Action;
use super::Decision;
use super::Ledger;
use crate::cold_rate::ColdGrant;
use crate::cold_rate::RATE_WINDOW;
use crate::limit::Limit;
use crate::msg::AttemptId;
use crate::msg::Body;
use crate::msg::Load;
use crate::msg::ProbeResult;
use crate::msg::RateNote;
use crate::msg::Release;
use crate::msg::ServerSummary;
use crate::msg::Warmth;
use crate::permits::Permit;
use crate::rate_limit::RateLimit;
use crate::rollout::VersionGroup;
use crate::spec::Announcement;
use crate::spec::ServerSpec;
use crate::spec::ShardSpec;

/// Weight of one call in the moving average of the time that a slot is idle.
const IDLE_GAP_WEIGHT: f64 = 0.05;
/// Weight of one call in the moving average of the service times of all calls.
const MEAN_TIME_WEIGHT: f64 = 0.05;
/// The time after its last permit request for which a follower is sent
/// snapshots.
const FOLLOWER_ACTIVE: Duration = Duration::from_secs(5);
/// The approximate size of one server's summary in a snapshot.
const SUMMARY_BYTES: usize = 25;
/// The average rate at which a home sends snapshots to its followers.
const SNAPSHOT_BYTES_PER_SEC: f64 = 20e3;
/// The shortest time between two snapshots to a follower when nothing changes.
const SNAPSHOT_PERIOD_MIN: Duration = Duration::from_secs(1);

/// A grant that counts towards the call rate of a cold server.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentGrant {
    attempt: (VmId, AttemptId),
    at: Time,
}

/// The origin of the ledger's state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Neither a handover nor an observation that takes precedence over one.
    /// Successful responses are no such observation, since they do not show the
    /// limit that the server had under the previous home.
    None,
    /// The previous home, by way of its followers.
    Inherited,
    /// Observations of this home, which take precedence over a handover.
    Observed,
}

/// The ledger's state of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) limit: Limit,
    /// Calls in flight, counted by permits; lingering ones are included.
    pub(crate) busy: u32,
    /// Slots left to VMs that have not acknowledged the epoch.
    pub(crate) reserved: u32,
    /// Whether the last specification allowed new calls at the server.
    pub(super) open: bool,
    /// The versions of the service to which the server belongs.
    pub(super) version: VersionGroup,
    /// The VMs that may connect to the server, sorted.
    pub(super) allowed_vms: Vec<VmId>,
    pub(super) last_grant: Time,
    pub(super) source: Source,
    /// When the last probe was started; zero before the first one.
    pub(super) last_probe: Time,
    /// Whether a probe is in flight.
    pub(super) probing: bool,
    /// The load that the server last reported.
    pub(super) load: Option<Load>,
    /// What the server announces about its start.
    pub(super) announced: Announcement,
    /// The grants within the last [`RATE_WINDOW`], those of the previous home included.
    pub(super) recent_grants: Vec<RecentGrant>,
    /// The rate limit that the server names; none if it names none.
    pub(super) rate_limit: Option<RateLimit>,
    /// The last reported slowdown of the server's host, with the time of the
    /// report.
    pub(super) slowdown: Option<(f64, Time)>,
    /// The announcement of a cold start that is out of date, because a later
    /// health check reported the server as warm.
    pub(super) superseded_start: Option<Announcement>,
    /// The VMs that probably have a connection to the server, with the time of
    /// the last grant to each.
    pub(super) connections: Vec<(VmId, Time)>,
}

impl Ledger {
    /// Returns the summaries of all servers as of `now`, sorted by id.
    pub fn server_summaries(&self, now: Time) -> Vec<ServerSummary> {
        let summary = |server: &Server| ServerSummary {
            server: server.id,
            limit: server.limit.current(),
            warmth: server.limit.warmth(&self.spec),
            usual: Duration::from_secs_f64(server.limit.usual_time()),
            age: server.limit.age(now),
        };
        self.servers.iter().map(summary).collect()
    }

    /// Returns the number of calls in flight at `server`, counted by permits; 0
    /// for an unknown server.
    pub fn busy(&self, server: ServerId) -> u32 {
        self.find(server)
            .map_or(0, |index| self.servers[index].busy)
    }

    /// Returns the number of servers that limit the rate of their calls.
    pub fn rate_limited(&self) -> usize {
        let servers = self.servers.iter();
        servers.filter(|server| server.rate_limit.is_some()).count()
    }

    /// Returns the load that `server` last reported, if any.
    pub fn load(&self, server: ServerId) -> Option<Load> {
        self.find(server).and_then(|index| self.servers[index].load)
    }

    /// Records the result of a probe of `server`.
    pub fn record_probe(&mut self, server: ServerId, result: ProbeResult, now: Time) {
        self.record_load(server, result.load, now);
        let spec = self.spec.clone();
        if result.ok {
            let reported = self.reports_warmth.unwrap_or(false);
            self.reports_warmth = Some(reported || result.warm.is_some());
        }
        if let Some(index) = self.find(server) {
            let server = &mut self.servers[index];
            server.probing = false;
            let before = server.limit.warmth(&spec);
            if server.limit.wants_probe(now) {
                server.limit.record_probe(result.ok, &spec, now);
            }
            match result.warm.filter(|_| result.ok) {
                Some(true) => server.accept_warm(),
                Some(false) => server.accept_cold(&spec, now),
                None => {}
            }
            self.summaries_changed |= server.limit.warmth(&spec) != before;
        }
        self.serve_queue(now);
    }

    /// Updates the averages and the limit of the server from the result of an
    /// attempt.
    pub(super) fn record_release(&mut self, permit: &Permit, release: &Release, now: Time) {
        let spec = self.spec.clone();
        // Where many hosts are slow, slow responses are usual and must not keep
        // a server from warming up.
        let typical = self.typical_time.max(self.mean_time);
        let took = release.took.as_secs_f64();
        if release.outcome == Outcome::Done {
            let held = now.saturating_sub(permit.granted_at).as_secs_f64();
            let gap = (held - took).max(0.0);
            self.idle_gap += (gap - self.idle_gap) * IDLE_GAP_WEIGHT;
            if self.typical_time == 0.0 {
                self.typical_time = took;
                self.mean_time = took;
            }
            self.mean_time += (took - self.mean_time) * MEAN_TIME_WEIGHT;
            let slots = self.spec.server(release.server).map_or(1, |s| s.slots);
            self.record_contention(took, permit.concurrent, slots);
            self.record_work(permit, took, slots);
        }
        self.record_load(release.server, release.load, now);
        self.lift_rate_limit(permit, release);
        let Some(index) = self.find(release.server) else {
            return;
        };
        let server = &mut self.servers[index];
        if release.outcome != Outcome::Done || server.source == Source::Inherited {
            server.source = Source::Observed;
        }
        let before = server.limit.warmth(&spec);
        let slots = spec.server(release.server).map_or(0, |s| s.slots);
        let has_free_slots = release.load.is_some_and(|load| load.busy < slots);
        let was_to_wait = permit.concurrent >= slots && server.limit.allows_queueing(&spec);
        let outcome = match release.outcome {
            // A server that refuses calls while it has free slots is failing,
            // not full, so its limit stays.
            Outcome::Shed if has_free_slots => Outcome::Failed,
            // The call was to wait in the server, which closes the connections of
            // such calls instead of refusing them: it is full, not down. If it were
            // down, calls within its slots would end so too.
            Outcome::Broken if was_to_wait => Outcome::Shed,
            other => other,
        };
        server.limit.record(outcome, took, typical, &spec, now);
        if server.limit.warmth(&spec) != before {
            self.summaries_changed = true;
            self.send_snapshots(now);
        }
    }

    /// Applies rate limits that a follower reports.
    pub(super) fn set_rate_limits(&mut self, limits: &[RateNote], now: Time) {
        for note in limits {
            let Some(index) = self.find(note.server) else {
                continue;
            };
            let named_at = now.saturating_sub(note.age);
            let server = &mut self.servers[index];
            match &mut server.rate_limit {
                Some(limit) => limit.renew(note.interval, named_at, now),
                None => {
                    let limit = RateLimit::new(note.interval, named_at, now);
                    server.rate_limit = Some(limit);
                    self.decisions.push(Decision::RateLimited {
                        server: note.server,
                        per_second: Some(limit.per_second()),
                    });
                }
            }
        }
    }

    /// Counts the grants of the previous home that a follower reports.
    pub(super) fn count_cold_grants(&mut self, from: VmId, grants: &[ColdGrant], now: Time) {
        for grant in grants {
            if let Some(index) = self.find(grant.server) {
                let granted = now.saturating_sub(grant.age);
                self.servers[index].record_grant((from, grant.call), granted);
            }
        }
    }

    /// Lifts the rate limit of a server that has responded without naming one to a call
    /// that was granted after it had named the limit. A limit that the response of the
    /// call names is reported before the release.
    fn lift_rate_limit(&mut self, permit: &Permit, release: &Release) {
        let Some(index) = self.find(release.server) else {
            return;
        };
        let limit = &mut self.servers[index].rate_limit;
        let is_older = limit.is_some_and(|limit| limit.named_at() < permit.granted_at);
        if release.outcome.is_response() && is_older {
            *limit = None;
            self.decisions.push(Decision::RateLimited {
                server: release.server,
                per_second: None,
            });
        }
    }

    /// Records that `server` closed a connection that had just been in use: the
    /// server has restarted, or is about to.
    pub(super) fn connection_lost(&mut self, server: ServerId, now: Time) {
        let spec = self.spec.clone();
        let Some(index) = self.find(server) else {
            return;
        };
        let server = &mut self.servers[index];
        if server.announced == Announcement::Warm {
            // A server that announces its starts will announce a restart too.
            server.limit.suspect_restart(now);
            return;
        }
        server.source = Source::Observed;
        let before = server.limit.warmth(&spec);
        server.limit.reset_to_cold(&spec);
        if server.limit.warmth(&spec) != before {
            self.summaries_changed = true;
            self.send_snapshots(now);
        }
    }

    /// Lowers the limits of servers that have not responded for a long time.
    pub(super) fn forget_stale(&mut self, now: Time) {
        let spec = self.spec.clone();
        for server in &mut self.servers {
            self.summaries_changed |= server.forget_stale(&spec, now);
        }
    }

    /// Sets the typical time to the median of the servers' usual service times.
    pub(super) fn update_typical_time(&mut self) {
        let mut times: Vec<f64> = self
            .servers
            .iter()
            .map(|server| server.limit.usual_time())
            .filter(|usual| *usual > 0.0)
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        // The lower median, so that the faster one of two servers sets the
        // typical time. If the slower one did, it would be measured against
        // itself and never be tried again.
        if let Some(median) = times.get(times.len().saturating_sub(1) / 2) {
            self.typical_time = *median;
        }
    }

    /// Sends snapshots to the active followers for which one is due.
    pub(super) fn send_snapshots(&mut self, now: Time) {
        let period = self.snapshot_period();
        // A single change is sent at once; frequent changes are sent together.
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
        let summaries = self.server_summaries(now);
        let epoch = self.epoch;
        for vm in due {
            let lines = summaries.clone();
            self.send(vm, Body::Snapshot { epoch, lines });
        }
    }

    /// Returns the time between two snapshots to a follower when nothing
    /// changes. It grows with the number of VMs and servers, so that the rate
    /// at which the home sends does not.
    fn snapshot_period(&self) -> Duration {
        let bytes = self.quorum.len() * self.servers.len() * SUMMARY_BYTES;
        let needed = Duration::from_secs_f64(bytes as f64 / SNAPSHOT_BYTES_PER_SEC);
        needed.max(SNAPSHOT_PERIOD_MIN)
    }

    /// Starts the health checks that are due of servers that are down or cold,
    /// within the share of slot time that the service allows for probes.
    pub(super) fn start_probes(&mut self, now: Time) {
        let spec = self.spec.clone();
        if spec.probe_share == 0 {
            return;
        }
        // Until the first successful health check it is unknown whether health
        // checks report warmth; they are assumed to.
        let may_report = self.reports_warmth.unwrap_or(true);
        for server in &mut self.servers {
            let Some(server_spec) = spec.server(server.id).filter(|s| s.open) else {
                continue;
            };
            let share = f64::from(spec.probe_share) / 10_000.0 * f64::from(server_spec.slots);
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

    /// Brings the list of servers in line with the specification.
    pub(super) fn sync_servers(&mut self) {
        let spec = self.spec.clone();
        let old = std::mem::take(&mut self.servers);
        for server_spec in &spec.servers {
            let kept = old.binary_search_by_key(&server_spec.id, |server| server.id);
            let mut server = match kept {
                Ok(index) => old[index].clone(),
                Err(_) => Server::new(server_spec, &spec),
            };
            server.limit.set_slots(server_spec.slots);
            if server_spec.open && !server.open {
                // The server may have been restarted while it got no calls.
                server.limit.reset_to_cold(&spec);
            }
            server.open = server_spec.open;
            server.version = server_spec.version;
            if server_spec.announced != server.announced {
                match server_spec.announced {
                    Announcement::Cold(_) => server.limit.reset_to_cold(&spec),
                    Announcement::Warm => server.limit.mark_warm(),
                    Announcement::Unknown => {}
                }
                server.announced = server_spec.announced;
            }
            self.servers.push(server);
        }
        for server in &mut self.servers {
            server.busy = 0;
        }
        for permit in self.permits.list() {
            let found = self.servers.binary_search_by_key(&permit.server, |s| s.id);
            if let Ok(index) = found {
                self.servers[index].busy += 1;
            }
        }
    }

    pub(super) fn find(&self, server: ServerId) -> Option<usize> {
        let found = self.servers.binary_search_by_key(&server, |s| s.id);
        found.ok()
    }
}

impl Server {
    /// Returns whether the server may sustain fewer calls than it has slots.
    pub(super) fn is_cold(&self, spec: &ShardSpec, now: Time) -> bool {
        self.is_announced_cold()
            || self.limit.warmth(spec) < Warmth::Lowered
            || self.limit.may_be_cold(spec, now)
    }

    /// Returns whether the server announced that it is cold, and has not been found to be
    /// warm since.
    pub(super) fn is_announced_cold(&self) -> bool {
        matches!(self.announced, Announcement::Cold(_))
            && self.superseded_start != Some(self.announced)
    }

    /// Applies a health check that reports the server as warm, which is newer
    /// than what the server announced.
    fn accept_warm(&mut self) {
        self.superseded_start = Some(self.announced);
        self.limit.mark_warm();
    }

    /// Applies a health check that reports the server as cold.
    fn accept_cold(&mut self, spec: &ShardSpec, now: Time) {
        self.superseded_start = None;
        self.limit.reset_to_cold(spec);
        self.limit.suspect_restart(now);
    }

    /// Records a grant at `granted` for the call rate of a cold server, once for each
    /// `attempt`.
    pub(super) fn record_grant(&mut self, attempt: (VmId, AttemptId), granted: Time) {
        self.recent_grants
            .retain(|grant| granted < grant.at + RATE_WINDOW);
        let counted = self.recent_grants.iter().any(|g| g.attempt == attempt);
        if !counted {
            let at = granted;
            self.recent_grants.push(RecentGrant { attempt, at });
        }
    }

    /// Counts a grant at `now` towards the rate that the server names.
    pub(super) fn spend_rate(&mut self, now: Time) {
        if let Some(limit) = &mut self.rate_limit {
            limit.spend(now);
        }
    }

    /// Returns whether the server has got as many calls as it takes from all VMs.
    pub(super) fn at_rate_limit(&self, now: Time) -> bool {
        !self.rate_delay(now).is_zero()
    }

    /// Returns the time until the rate that the server names allows a call.
    pub(super) fn rate_delay(&self, now: Time) -> Duration {
        self.rate_limit
            .map_or(Duration::ZERO, |limit| limit.delay(now))
    }

    /// Returns how many calls the server can run at once, each for the time `call_secs`, as
    /// far as its limits go.
    pub(super) fn capacity(&self, call_secs: f64) -> f64 {
        let slots = f64::from(self.limit.current());
        self.rate_limit
            .map_or(slots, |limit| slots.min(limit.per_second() * call_secs))
    }

    /// Returns whether the server got as many calls within [`RATE_WINDOW`] as a
    /// cold server sustains in a second.
    pub(super) fn at_cold_rate(&self, spec: &ShardSpec, now: Time) -> bool {
        let recent = self
            .recent_grants
            .iter()
            .filter(|grant| now < grant.at + RATE_WINDOW);
        spec.cold_rate > 0.0 && recent.count() as f64 >= spec.cold_rate.floor().max(1.0)
    }

    /// Lowers the limit if the server has not responded for a long time, in
    /// which it may have restarted; returns whether that is the case.
    pub(super) fn forget_stale(&mut self, spec: &ShardSpec, now: Time) -> bool {
        // A server that announces its starts would have announced a restart.
        let unannounced = self.announced == Announcement::Unknown;
        let stale = unannounced && self.busy == 0 && self.limit.is_stale(spec, now);
        if stale {
            self.limit.lower(spec);
        }
        stale
    }

    /// Creates the state of a server of which only the specification is known.
    pub(super) fn new(server_spec: &ServerSpec, spec: &ShardSpec) -> Self {
        Self {
            id: server_spec.id,
            limit: Limit::new(server_spec, spec),
            busy: 0,
            reserved: 0,
            open: server_spec.open,
            version: server_spec.version,
            allowed_vms: Vec::new(),
            last_grant: Time::ZERO,
            source: Source::None,
            last_probe: Time::ZERO,
            probing: false,
            load: None,
            announced: server_spec.announced,
            recent_grants: Vec::new(),
            rate_limit: None,
            slowdown: None,
            superseded_start: None,
            connections: Vec::new(),
        }
    }
}
