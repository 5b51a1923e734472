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
use crate::msg::USUAL_SLOWDOWN_PERCENT;
use crate::queue::Waiter;

/// The age at which a report of the pace says nothing any more. Hosts of the
/// measured deployments change theirs every 150 ms; see
/// `docs/measure/platform.md`.
const PACE_LIFE: f64 = 0.15;
/// Weight of one report in the average pace.
const PACE_WEIGHT: f64 = 0.02;
/// The average pace from which asking before a call is worth its cost.
const NOISY: f64 = 1.15;
/// Usual service times that one call counts as when crowding is learned.
const CROWD_OUTLIER: f64 = 3.0;
/// Weight of one call in what is learned of crowding.
const CROWD_WEIGHT: f64 = 0.02;
/// The least crowding that is assumed: spreading calls costs nothing.
const CROWDING_MIN: f64 = 0.4;
/// The most crowding that is believed.
const CROWDING_MAX: f64 = 2.0;
/// The part of what the best known server costs that another has to cost, if its
/// host is fast, to be worth asking.
const WORTH_ASKING: f64 = 0.9;
/// The longest time that a call waits for reports.
const HOLD: Duration = Duration::from_millis(15);
/// Servers that are asked for one call.
const ASKED: usize = 2;
/// The shortest time between two questions to one server, which bounds what
/// measuring costs it.
const ASK_PERIOD: Duration = Duration::from_millis(50);
/// The time after its last call for which a VM is taken to be connected to a
/// server; servers close connections that have been idle for ten seconds.
const LINK_LIFE: Duration = Duration::from_secs(8);
/// The time after which an unused server is tried again although a connection
/// has to be opened for it.
const UNTRIED: Duration = Duration::from_secs(2);

impl Ledger {
    /// Notes what a server said of its load.
    pub(super) fn note_load(&mut self, server: ServerId, load: Option<Load>, now: Time) {
        let (Some(at), Some(load)) = (self.find(server), load) else {
            return;
        };
        let pace = f64::from(load.slowdown_percent) / f64::from(USUAL_SLOWDOWN_PERCENT);
        self.slowness += (pace - self.slowness) * PACE_WEIGHT;
        let server = &mut self.servers[at];
        server.load = Some(load);
        server.pace = Some((pace, now));
    }

    /// Returns how much longer work at `server` takes now than usual, as far as
    /// that is known.
    pub(super) fn pace_of(&self, server: &Server, now: Time) -> f64 {
        let Some((pace, since)) = server.pace else {
            return self.slowness;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let weight = (1.0 - age / PACE_LIFE).max(0.0);
        self.slowness + (pace - self.slowness) * weight
    }

    /// Returns whether `waiter`, for which the server at place `best` is the
    /// best known, should rather wait for reports; asks for them if so.
    pub(super) fn asks_first(&mut self, waiter: &mut Waiter, best: usize, now: Time) -> bool {
        if self.slowness < NOISY {
            return false;
        }
        let known = self.candidate(best, &self.servers[best], waiter, now);
        let Some(known) = known.map(|candidate| candidate.cost()) else {
            return false;
        };
        waiter.probed = self.ask_pace(waiter, known, now);
        if waiter.probed.is_empty() {
            return false;
        }
        waiter.probe_until = now + HOLD;
        true
    }

    /// Returns whether `waiter` should wait for reports rather than go to the
    /// server at place `best`.
    pub(super) fn awaits_reports(&self, waiter: &Waiter, now: Time) -> bool {
        let asked = |id: ServerId| self.find(id).is_some_and(|at| self.servers[at].probing);
        now < waiter.probe_until && waiter.probed.iter().any(|id| asked(*id))
    }

    /// Asks on behalf of the first call that waits although servers are free.
    pub(super) fn ask_for_waiting(&mut self, now: Time) {
        if self.slowness < NOISY {
            return;
        }
        if let Some(waiter) = self.queue.list().first().cloned() {
            self.ask_pace(&waiter, f64::INFINITY, now);
        }
    }

    /// Notes how long a call took that found `busy` others at its server.
    pub(super) fn note_crowding(&mut self, took: f64, busy: u32, slots: u32) {
        if self.typical <= 0.0 || slots < 2 {
            return;
        }
        let took = took.min(self.typical * CROWD_OUTLIER);
        let average = if busy == 0 {
            &mut self.alone
        } else {
            &mut self.crowded
        };
        if *average == 0.0 {
            *average = took;
        }
        *average += (took - *average) * CROWD_WEIGHT;
    }

    /// Returns how much longer a call takes at a full server than at an empty
    /// one, as a share.
    pub(super) fn crowding(&self) -> f64 {
        if self.alone <= 0.0 || self.crowded <= 0.0 {
            return CROWDING_MIN;
        }
        (self.crowded / self.alone - 1.0).clamp(CROWDING_MIN, CROWDING_MAX)
    }

    /// Asks the servers that would be best for `waiter` if they were fast, and
    /// better than one that costs `known`; returns which.
    fn ask_pace(&mut self, waiter: &Waiter, known: f64, now: Time) -> Vec<ServerId> {
        let mut candidates: Vec<(f64, Time, usize)> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| !server.probing && now >= server.probed + ASK_PERIOD)
            .filter(|(_, server)| self.is_unsure(server, now))
            .filter_map(|(at, server)| self.candidate(at, server, waiter, now))
            .filter(|candidate| candidate.has_slot)
            .map(|c| {
                let fast = Candidate { slowdown: 1.0, ..c };
                (fast.cost(), c.last_used, c.index)
            })
            .filter(|(cost, ..)| *cost < known * WORTH_ASKING)
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        candidates.truncate(ASKED);
        let mut asked = Vec::new();
        for (.., at) in candidates {
            let server = &mut self.servers[at];
            server.probing = true;
            server.probed = now;
            self.counts.probes += 1;
            self.actions.push(Action::Probe(server.id));
            asked.push(server.id);
        }
        asked
    }

    /// Returns whether the pace of `server` is not known.
    fn is_unsure(&self, server: &Server, now: Time) -> bool {
        let fresh = |since: Time| now.saturating_sub(since).as_secs_f64() < PACE_LIFE / 2.0;
        !server.pace.is_some_and(|(_, since)| fresh(since))
    }
}

impl Server {
    /// Notes that a VM was given a call.
    pub(super) fn note_link(&mut self, vm: VmId, now: Time) {
        self.links.retain(|(_, at)| now < *at + LINK_LIFE);
        match self.links.iter_mut().find(|(known, _)| *known == vm) {
            Some(link) => link.1 = now,
            None => self.links.push((vm, now)),
        }
    }

    /// Returns whether `vm` most likely has a connection, or should open one all
    /// the same because nobody has used the server for a while.
    pub(super) fn is_linked(&self, vm: VmId, now: Time) -> bool {
        if now >= self.used + UNTRIED {
            return true;
        }
        let mut links = self.links.iter();
        links.any(|(known, at)| *known == vm && now < *at + LINK_LIFE)
    }
}
