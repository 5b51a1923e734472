//! How fast the hosts of the servers are at this moment.
//!
//! Servers share their hosts with others, so the same work takes several times
//! as long on some of them for a fraction of a second. Answers and probes tell
//! how long work takes now; that is worth little soon after. Before a call goes
//! to a server of which nothing fresh is known, the home asks the best few for
//! their pace, for as long as a small part of the call's time. See
//! `docs/design/limits.md`, "Pace".

use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;

use super::servers::Server;
use super::Action;
use super::Ledger;
use crate::choose::Candidate;
use crate::msg::Load;
use crate::msg::PACE;
use crate::queue::Waiter;

/// The age at which a report of the pace says nothing any more. Hosts of the
/// measured deployments change theirs every 150 ms; see
/// `docs/measure/platform.md`.
const REPORT_LIFETIME_SECS: f64 = 0.15;
/// Weight of one report in the average pace.
const MEAN_SLOWDOWN_WEIGHT: f64 = 0.02;
/// The average pace from which asking before a call is worth its cost.
const PROBE_SLOWDOWN_MIN: f64 = 1.15;
/// Usual service times that one call counts as when crowding is learned.
const CONTENTION_OUTLIER: f64 = 3.0;
/// Weight of one call in what is learned of crowding.
const CONTENTION_WEIGHT: f64 = 0.02;
/// The least crowding that is assumed: spreading calls costs nothing.
const CONTENTION_MIN: f64 = 0.4;
/// The most crowding that is believed.
const CONTENTION_MAX: f64 = 2.0;
/// The part of what the best known server costs that another has to cost, if its
/// host is fast, to be worth asking.
const PROBE_COST_RATIO_MAX: f64 = 0.9;
/// The longest time that a call waits for reports.
const PROBE_WAIT_MAX: Duration = Duration::from_millis(15);
/// Servers that are asked for one call.
const PROBES_PER_CALL: usize = 2;
/// The shortest time between two questions to one server, which bounds what
/// measuring costs it.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// The time after its last call for which a VM is taken to be connected to a
/// server; servers close connections that have been idle for ten seconds.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(8);
/// The time after which an unused server is tried again although a connection
/// has to be opened for it.
const UNUSED_MAX: Duration = Duration::from_secs(2);

impl Ledger {
    /// Notes what a server said of its load.
    pub(super) fn record_load(&mut self, server: ServerId, load: Option<Load>, now: Time) {
        let (Some(index), Some(load)) = (self.find(server), load) else {
            return;
        };
        let slowdown = f64::from(load.pace) / f64::from(PACE);
        self.mean_slowdown += (slowdown - self.mean_slowdown) * MEAN_SLOWDOWN_WEIGHT;
        let server = &mut self.servers[index];
        server.load = Some(load);
        server.slowdown = Some((slowdown, now));
    }

    /// Returns how much longer work at `server` takes now than usual, as far as
    /// that is known.
    pub(super) fn slowdown_of(&self, server: &Server, now: Time) -> f64 {
        let Some((slowdown, since)) = server.slowdown else {
            return self.mean_slowdown;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let weight = (1.0 - age / REPORT_LIFETIME_SECS).max(0.0);
        self.mean_slowdown + (slowdown - self.mean_slowdown) * weight
    }

    /// Returns whether `waiter`, for which the server at place `best` is the
    /// best known, should rather wait for reports; asks for them if so.
    pub(super) fn probe_first(&mut self, waiter: &mut Waiter, best: usize, now: Time) -> bool {
        if self.mean_slowdown < PROBE_SLOWDOWN_MIN {
            return false;
        }
        let known = self.candidate(best, &self.servers[best], waiter, now);
        let Some(known) = known.map(|candidate| candidate.cost()) else {
            return false;
        };
        waiter.asked = self.probe_candidates(waiter, known, now);
        if waiter.asked.is_empty() {
            return false;
        }
        waiter.hold = now + PROBE_WAIT_MAX;
        true
    }

    /// Returns whether `waiter` should wait for reports rather than go to the
    /// server at place `best`.
    pub(super) fn awaits_probes(&self, waiter: &Waiter, now: Time) -> bool {
        let probing = |id: ServerId| {
            self.find(id)
                .is_some_and(|index| self.servers[index].probing)
        };
        now < waiter.hold && waiter.asked.iter().any(|id| probing(*id))
    }

    /// Asks on behalf of the first call that waits although servers are free.
    pub(super) fn probe_for_waiting(&mut self, now: Time) {
        if self.mean_slowdown < PROBE_SLOWDOWN_MIN {
            return;
        }
        if let Some(waiter) = self.queue.list().first().cloned() {
            self.probe_candidates(&waiter, f64::INFINITY, now);
        }
    }

    /// Notes how long a call took that found `busy` others at its server.
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

    /// Returns how much longer a call takes at a full server than at an empty
    /// one, as a share.
    pub(super) fn contention(&self) -> f64 {
        if self.uncontended <= 0.0 || self.contended <= 0.0 {
            return CONTENTION_MIN;
        }
        (self.contended / self.uncontended - 1.0).clamp(CONTENTION_MIN, CONTENTION_MAX)
    }

    /// Asks the servers that would be best for `waiter` if they were fast, and
    /// better than one that costs `known`; returns which.
    fn probe_candidates(&mut self, waiter: &Waiter, known: f64, now: Time) -> Vec<ServerId> {
        let mut candidates: Vec<(f64, Time, usize)> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| !server.probing && now >= server.last_probe + PROBE_INTERVAL_MIN)
            .filter(|(_, server)| self.is_slowdown_stale(server, now))
            .filter_map(|(index, server)| self.candidate(index, server, waiter, now))
            .filter(|candidate| candidate.free)
            .map(|c| {
                let fast = Candidate { pace: 1.0, ..c };
                (fast.cost(), c.used, c.at)
            })
            .filter(|(cost, ..)| *cost < known * PROBE_COST_RATIO_MAX)
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

    /// Returns whether the pace of `server` is not known.
    fn is_slowdown_stale(&self, server: &Server, now: Time) -> bool {
        let fresh =
            |since: Time| now.saturating_sub(since).as_secs_f64() < REPORT_LIFETIME_SECS / 2.0;
        !server.slowdown.is_some_and(|(_, since)| fresh(since))
    }
}

impl Server {
    /// Notes that a VM was given a call.
    pub(super) fn record_connection(&mut self, vm: VmId, now: Time) {
        self.connections
            .retain(|(_, used)| now < *used + CONNECTION_LIFETIME);
        match self.connections.iter_mut().find(|(known, _)| *known == vm) {
            Some(connection) => connection.1 = now,
            None => self.connections.push((vm, now)),
        }
    }

    /// Returns whether `vm` most likely has a connection, or should open one all
    /// the same because nobody has used the server for a while.
    pub(super) fn likely_connected(&self, vm: VmId, now: Time) -> bool {
        if now >= self.last_grant + UNUSED_MAX {
            return true;
        }
        let mut connections = self.connections.iter();
        connections.any(|(known, used)| *known == vm && now < *used + CONNECTION_LIFETIME)
    }
}
