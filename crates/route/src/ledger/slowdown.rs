//! Estimates how much the hosts of the servers are slowed down at present.
//!
//! Servers share their hosts with other workloads, so on some hosts the same
//! work takes several times as long for a fraction of a second. The slowdown is
//! the factor on the usual time. Responses and probes report it, and a report
//! is out of date soon after. Before a call goes to a server without a fresh
//! report, the home probes the few best servers, which delays the call by a
//! small part of its time at most. The same reports show how much calls at one
//! server slow each other down (contention). See `docs/design/limits.md`,
//! "Slowdown".

use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;

use super::servers::Server;
use super::Action;
use super::Ledger;
use crate::choose::Candidate;
use crate::msg::Load;
use crate::msg::USUAL_SLOWDOWN_PERCENT;
use crate::queue::Waiter;

/// The age at which a reported slowdown has no weight any more. On the measured
/// deployments, the slowdown of a host changes every 150 ms; see
/// `docs/measure/platform.md`.
const REPORT_LIFETIME_SECS: f64 = 0.15;
/// Weight of one report in the moving average of the slowdown of all hosts.
const MEAN_SLOWDOWN_WEIGHT: f64 = 0.02;
/// The mean slowdown from which a probe before a call is worth its cost.
const PROBE_SLOWDOWN_MIN: f64 = 1.15;
/// Cap on the time that one call contributes to the contention averages, in
/// typical service times.
const CONTENTION_OUTLIER: f64 = 3.0;
/// Weight of one call in the moving averages that contention is derived from.
const CONTENTION_WEIGHT: f64 = 0.02;
/// Lower bound of the contention that is assumed. Assuming too much only
/// spreads the calls over more servers, which costs nothing.
const CONTENTION_MIN: f64 = 0.4;
/// How much longer than usual a call is expected to take at a full server before one has
/// shown it.
pub(super) const FULL_PACE_START: f64 = 1.0 + CONTENTION_MIN;
/// Upper bound of the contention that is assumed.
const CONTENTION_MAX: f64 = 2.0;
/// A server is worth a probe only if its cost at the usual speed of its host is
/// below this fraction of the cost of the best server known so far.
const PROBE_COST_RATIO_MAX: f64 = 0.9;
/// The longest time for which a call waits for the results of probes.
const PROBE_WAIT_MAX: Duration = Duration::from_millis(15);
/// The most servers that are probed on behalf of one call.
const PROBES_PER_CALL: usize = 2;
/// The shortest time between two probes of a server for its slowdown, which
/// bounds the load that these probes put on the server.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// The time after its last call at a server for which a VM is assumed to be
/// connected to the server. Servers close connections that have been idle for
/// ten seconds.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(8);
/// The time without grants after which a server is tried again although the VM
/// may have to open a connection.
const UNUSED_MAX: Duration = Duration::from_secs(2);

impl Ledger {
    /// Records the load that `server` reported, if any.
    pub(super) fn record_load(&mut self, server: ServerId, load: Option<Load>, now: Time) {
        let (Some(index), Some(load)) = (self.find(server), load) else {
            return;
        };
        let slowdown = f64::from(load.slowdown_percent) / f64::from(USUAL_SLOWDOWN_PERCENT);
        self.mean_slowdown += (slowdown - self.mean_slowdown) * MEAN_SLOWDOWN_WEIGHT;
        let server = &mut self.servers[index];
        server.load = Some(load);
        server.slowdown = Some((slowdown, now));
    }

    /// Returns the estimated slowdown of the host of `server`.
    ///
    /// With the age of the last report, the estimate moves from the reported
    /// value to the mean of all hosts.
    pub(super) fn slowdown_of(&self, server: &Server, now: Time) -> f64 {
        let Some((slowdown, since)) = server.slowdown else {
            return self.mean_slowdown;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let weight = (1.0 - age / REPORT_LIFETIME_SECS).max(0.0);
        self.mean_slowdown + (slowdown - self.mean_slowdown) * weight
    }

    /// Probes servers that may be better for `waiter` than the one with the
    /// index `best`; returns whether any are probed, so that `waiter` has to
    /// wait for the results.
    pub(super) fn probe_first(&mut self, waiter: &mut Waiter, best: usize, now: Time) -> bool {
        if self.mean_slowdown < PROBE_SLOWDOWN_MIN {
            return false;
        }
        let best_cost = self.candidate(best, &self.servers[best], waiter, now);
        let Some(best_cost) = best_cost.map(|candidate| candidate.cost()) else {
            return false;
        };
        waiter.probed = self.probe_candidates(waiter, best_cost, now);
        if waiter.probed.is_empty() {
            return false;
        }
        waiter.probe_until = now + PROBE_WAIT_MAX;
        true
    }

    /// Returns whether probes on behalf of `waiter` are in flight and `waiter`
    /// may still wait for them.
    pub(super) fn awaits_probes(&self, waiter: &Waiter, now: Time) -> bool {
        let probing = |id: ServerId| {
            self.find(id)
                .is_some_and(|index| self.servers[index].probing)
        };
        now < waiter.probe_until && waiter.probed.iter().any(|id| probing(*id))
    }

    /// Probes servers on behalf of the first request in the queue, which may be
    /// waiting for a faster server although some are free.
    pub(super) fn probe_for_waiting(&mut self, now: Time) {
        if self.mean_slowdown < PROBE_SLOWDOWN_MIN {
            return;
        }
        if let Some(waiter) = self.queue.list().first().cloned() {
            self.probe_candidates(&waiter, f64::INFINITY, now);
        }
    }

    /// Records the service time `took`, in seconds, of a call that found `busy`
    /// other calls at its server.
    pub(super) fn record_contention(&mut self, took: f64, busy: u32, slots: u32) {
        if self.typical_time <= 0.0 || slots < 2 {
            return;
        }
        let took = took.min(self.typical_time * CONTENTION_OUTLIER);
        let average = if busy == 0 {
            &mut self.uncontended
        } else {
            &mut self.contended
        };
        if *average == 0.0 {
            *average = took;
        }
        *average += (took - *average) * CONTENTION_WEIGHT;
    }

    /// Returns the contention: the share by which a call takes longer at a full
    /// server than at an empty one.
    pub(super) fn contention(&self) -> f64 {
        if self.uncontended <= 0.0 || self.contended <= 0.0 {
            return CONTENTION_MIN;
        }
        (self.contended / self.uncontended - 1.0).clamp(CONTENTION_MIN, CONTENTION_MAX)
    }

    /// Probes the servers that would suit `waiter` best if their hosts ran at
    /// the usual speed, if they beat a server of the cost `best_cost`; returns
    /// the ids of the probed servers.
    fn probe_candidates(&mut self, waiter: &Waiter, best_cost: f64, now: Time) -> Vec<ServerId> {
        let mut candidates: Vec<(f64, Time, usize)> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| !server.probing && now >= server.last_probe + PROBE_INTERVAL_MIN)
            .filter(|(_, server)| self.is_slowdown_stale(server, now))
            .filter_map(|(index, server)| self.candidate(index, server, waiter, now))
            .filter(|candidate| candidate.has_slot)
            .map(|c| {
                let fast = Candidate { slowdown: 1.0, ..c };
                (fast.cost(), c.last_used, c.index)
            })
            .filter(|(cost, ..)| *cost < best_cost * PROBE_COST_RATIO_MAX)
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        candidates.truncate(PROBES_PER_CALL);
        let mut probed = Vec::new();
        for (.., index) in candidates {
            let server = &mut self.servers[index];
            server.probing = true;
            server.last_probe = now;
            self.counts.probes += 1;
            self.actions.push(Action::Probe(server.id));
            probed.push(server.id);
        }
        probed
    }

    /// Returns whether there is no report of the slowdown of `server` that is
    /// fresh enough to do without a probe.
    fn is_slowdown_stale(&self, server: &Server, now: Time) -> bool {
        let fresh =
            |since: Time| now.saturating_sub(since).as_secs_f64() < REPORT_LIFETIME_SECS / 2.0;
        !server.slowdown.is_some_and(|(_, since)| fresh(since))
    }
}

impl Server {
    /// Records that `vm` was granted a permit at this server and so is, or will
    /// be, connected to it.
    pub(super) fn record_connection(&mut self, vm: VmId, now: Time) {
        self.connections
            .retain(|(_, used)| now < *used + CONNECTION_LIFETIME);
        match self.connections.iter_mut().find(|(other, _)| *other == vm) {
            Some(connection) => connection.1 = now,
            None => self.connections.push((vm, now)),
        }
    }

    /// Returns whether `vm` most likely has a connection to this server, or
    /// should open one all the same because no VM has used the server for a
    /// while.
    pub(super) fn likely_connected(&self, vm: VmId, now: Time) -> bool {
        if now >= self.last_grant + UNUSED_MAX {
            return true;
        }
        let mut connections = self.connections.iter();
        connections.any(|(other, used)| *other == vm && now < *used + CONNECTION_LIFETIME)
    }
}
