//! Probes peers by direct pings and through other peers, and suspects those that do
//! not respond.
//!
//! See `docs/design/membership.md`.

use super::Action;
use super::Membership;
use super::Probe;
use super::Relay;
use super::PING_REQUEST_PEERS;
use super::START_PATIENCE;
use super::START_TIME;
use crate::msg::Msg;
use crate::msg::ProbeId;
use crate::msg::Revisions;
use crate::peer::Health;
use crate::update::Update;
use base::Time;
use base::VmId;
use std::net::SocketAddr;
use std::time::Duration;

impl Membership {
    /// Probes `vm` at once, because it was found unresponsive by other means.
    ///
    /// Does nothing if `vm` is not believed to be alive or is already being probed.
    pub fn report_unresponsive(&mut self, vm: VmId, now: Time) {
        if self.probes.iter().any(|probe| probe.vm == vm) {
            return;
        }
        if self.peer(vm).is_some_and(|p| p.health == Health::Alive) {
            self.probe(vm, now);
        }
    }

    /// Pings `about` on behalf of the VM at the address `requester`.
    pub(super) fn relay_ping(
        &mut self,
        now: Time,
        requester: SocketAddr,
        about: VmId,
        request_id: ProbeId,
    ) {
        let Some(to) = self.address(about) else {
            return;
        };
        let ping_id = self.send_ping(about, to);
        self.relays.push(Relay {
            requester,
            request_id,
            ping_id,
            about,
            sent: now,
        });
    }

    /// Accepts the ack of ping `id` from the VM `about`: forwards it if the ping was sent
    /// on behalf of another VM, and ends the own probe if there is one.
    pub(super) fn receive_ack(&mut self, now: Time, about: VmId, id: ProbeId) {
        let index = self
            .relays
            .iter()
            .position(|relay| relay.ping_id == id && relay.about == about);
        if let Some(i) = index {
            let relay = self.relays.swap_remove(i);
            let msg = Msg::Ack {
                about,
                probe: relay.request_id,
                marks: Revisions::default(),
                digest: 0,
                news: Vec::new(),
            };
            self.actions.push(Action::Send {
                to: relay.requester,
                msg,
            });
        }
        let count = self.probes.len();
        self.probes
            .retain(|probe| probe.vm != about || probe.id != id);
        let probed = self.probes.len() < count;
        if probed
            && self
                .peer(about)
                .is_some_and(|p| p.health == Health::Suspect)
        {
            self.clear_suspicion(now, about);
        }
    }

    pub(super) fn check_probes(&mut self, now: Time) {
        let timeout = self.config.ack_timeout;
        let mut unresponsive = Vec::new();
        let mut relay = Vec::new();
        for probe in &mut self.probes {
            if now >= probe.expiry(2 * timeout) {
                unresponsive.push(probe.vm);
            } else if !probe.relayed && now >= probe.expiry(timeout) {
                probe.relayed = true;
                relay.push((probe.vm, probe.id));
            }
        }
        self.probes
            .retain(|probe| !unresponsive.contains(&probe.vm));
        for (vm, id) in relay {
            self.send_ping_requests(vm, id);
        }
        for vm in unresponsive {
            self.suspect(vm, now);
        }
    }

    pub(super) fn send_ping_requests(&mut self, about: VmId, probe: ProbeId) {
        let mut others: Vec<VmId> = self.alive.clone();
        others.retain(|vm| *vm != self.profile.vm && *vm != about);
        self.rng.shuffle(&mut others);
        for vm in others.into_iter().take(PING_REQUEST_PEERS) {
            if let Some(to) = self.address(vm) {
                let msg = Msg::PingRequest { to: about, probe };
                self.actions.push(Action::Send { to, msg });
            }
        }
    }

    pub(super) fn suspect(&mut self, vm: VmId, now: Time) {
        let Some(peer) = self.peer(vm) else {
            return;
        };
        if peer.health != Health::Alive {
            return;
        }
        let update = Update {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: Health::Suspect,
        };
        self.apply(now, update);
    }

    /// Declares suspected peers dead that did not refute in time, and forgets peers that
    /// have been dead for long enough.
    pub(super) fn check_suspects(&mut self, now: Time) {
        let config = self.config;
        let expired: Vec<Update> = self
            .peers
            .iter()
            .filter(|p| p.health == Health::Suspect && now >= p.since + config.suspicion_timeout)
            .map(|p| Update {
                profile: p.profile.clone(),
                incarnation: p.incarnation,
                health: Health::Dead,
            })
            .collect();
        for update in expired {
            self.apply(now, update);
        }
        self.retain_peers(|p| p.health < Health::Dead || now < p.since + config.dead_retention);
    }

    /// Returns the next peer of the probe round; begins a new round at the end of the
    /// current one. A round probes each peer once, in random order.
    pub(super) fn next_target(&mut self) -> Option<VmId> {
        loop {
            if self.probe_round.is_empty() {
                self.probe_round = self
                    .peers
                    .iter()
                    .filter(|peer| peer.health < Health::Dead)
                    .map(|peer| peer.profile.vm)
                    .collect();
                self.rng.shuffle(&mut self.probe_round);
            }
            let vm = self.probe_round.pop()?;
            if self.peer(vm).is_some_and(|p| p.health < Health::Dead) {
                return Some(vm);
            }
        }
    }

    pub(super) fn probe(&mut self, vm: VmId, now: Time) {
        let Some(to) = self.address(vm) else {
            return;
        };
        let id = self.send_ping(vm, to);
        self.probes.push(Probe {
            vm,
            id,
            sent: now,
            lateness: self.patience(vm, now),
            relayed: false,
        });
    }

    /// Returns how much later than usual `vm` may respond: if it and this VM have both just
    /// started, the whole fleet has, most likely.
    fn patience(&self, vm: VmId, now: Time) -> Duration {
        let is_young = self.started.is_none_or(|at| now < at + START_TIME);
        let is_same_age = self.peer(vm).is_some_and(|peer| {
            let apart = peer.incarnation.abs_diff(self.first_incarnation);
            Duration::from_millis(apart) < START_TIME
        });
        if is_young && is_same_age {
            self.config.ack_timeout * START_PATIENCE
        } else {
            Duration::ZERO
        }
    }

    pub(super) fn next_probe_id(&mut self) -> ProbeId {
        self.last_probe = self.last_probe.wrapping_add(1);
        self.last_probe
    }

    /// Sends a ping to `vm` at the address `to`; returns the id that the ack repeats.
    pub(super) fn send_ping(&mut self, vm: VmId, to: SocketAddr) -> ProbeId {
        let id = self.next_probe_id();
        let msg = Msg::Ping {
            to: vm,
            probe: id,
            marks: self.revisions,
            digest: self.digest,
            news: self.updates_for(vm),
        };
        self.actions.push(Action::Send { to, msg });
        id
    }
}
