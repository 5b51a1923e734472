//! Who answers: pings, pings by way of others, suspicion.
//!
//! See `docs/design/membership.md`.

use super::Action;
use super::Errand;
use super::Membership;
use super::Probe;
use super::RELAYS;
use crate::msg::Msg;
use crate::msg::ProbeId;
use crate::msg::Revisions;
use crate::peer::Health;
use crate::update::Update;
use base::Time;
use base::VmId;
use std::net::SocketAddr;

impl Membership {
    /// Probes `vm` at once, directly and through others, because it was silent.
    pub fn report_unresponsive(&mut self, vm: VmId, now: Time) {
        if self.probes.iter().any(|probe| probe.vm == vm) {
            return;
        }
        if self.peer(vm).is_some_and(|p| p.health == Health::Alive) {
            self.probe(vm, now);
        }
    }

    pub(super) fn run_errand(&mut self, now: Time, asker: SocketAddr, about: VmId, asked: ProbeId) {
        let Some(to) = self.address(about) else {
            return;
        };
        let number = self.send_ping(about, to);
        self.errands.push(Errand {
            asker,
            asked,
            number,
            about,
            sent: now,
        });
    }

    pub(super) fn answered(&mut self, now: Time, about: VmId, number: ProbeId) {
        let at = self
            .errands
            .iter()
            .position(|errand| errand.number == number && errand.about == about);
        if let Some(at) = at {
            let errand = self.errands.swap_remove(at);
            let msg = Msg::Ack {
                about,
                probe: errand.asked,
                marks: Revisions::default(),
                digest: 0,
                news: Vec::new(),
            };
            self.actions.push(Action::Send {
                to: errand.asker,
                msg,
            });
        }
        let count = self.probes.len();
        self.probes
            .retain(|probe| probe.vm != about || probe.number != number);
        let mine = self.probes.len() < count;
        if mine
            && self
                .peer(about)
                .is_some_and(|p| p.health == Health::Suspect)
        {
            self.revive(now, about);
        }
    }

    pub(super) fn check_probes(&mut self, now: Time) {
        let patience = self.config.ack_timeout;
        let mut silent = Vec::new();
        let mut relay = Vec::new();
        for probe in &mut self.probes {
            if now >= probe.sent + 2 * patience {
                silent.push(probe.vm);
            } else if !probe.relayed && now >= probe.sent + patience {
                probe.relayed = true;
                relay.push((probe.vm, probe.number));
            }
        }
        self.probes.retain(|probe| !silent.contains(&probe.vm));
        for (vm, number) in relay {
            self.ask_others(vm, number);
        }
        for vm in silent {
            self.suspect(vm, now);
        }
    }

    pub(super) fn ask_others(&mut self, about: VmId, probe: ProbeId) {
        let mut others: Vec<VmId> = self.alive.clone();
        others.retain(|vm| *vm != self.profile.vm && *vm != about);
        self.rng.shuffle(&mut others);
        for vm in others.into_iter().take(RELAYS) {
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
        let item = Update {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: Health::Suspect,
        };
        self.learn(now, item);
    }

    pub(super) fn check_suspects(&mut self, now: Time) {
        let config = self.config;
        let fallen: Vec<Update> = self
            .peers
            .iter()
            .filter(|p| p.health == Health::Suspect && now >= p.since + config.suspicion_timeout)
            .map(|p| Update {
                profile: p.profile.clone(),
                incarnation: p.incarnation,
                health: Health::Dead,
            })
            .collect();
        for item in fallen {
            self.learn(now, item);
        }
        self.keep(|p| p.health < Health::Dead || now < p.since + config.dead_retention);
    }

    pub(super) fn next_target(&mut self) -> Option<VmId> {
        loop {
            if self.round.is_empty() {
                self.round = self
                    .peers
                    .iter()
                    .filter(|peer| peer.health < Health::Dead)
                    .map(|peer| peer.profile.vm)
                    .collect();
                self.rng.shuffle(&mut self.round);
            }
            let vm = self.round.pop()?;
            if self.peer(vm).is_some_and(|p| p.health < Health::Dead) {
                return Some(vm);
            }
        }
    }

    pub(super) fn probe(&mut self, vm: VmId, now: Time) {
        let Some(to) = self.address(vm) else {
            return;
        };
        let number = self.send_ping(vm, to);
        self.probes.push(Probe {
            vm,
            number,
            sent: now,
            relayed: false,
        });
    }

    pub(super) fn next_number(&mut self) -> ProbeId {
        self.next_probe = self.next_probe.wrapping_add(1);
        self.next_probe
    }

    /// Pings a VM; returns the number by which its answer is known.
    pub(super) fn send_ping(&mut self, vm: VmId, to: SocketAddr) -> ProbeId {
        let probe = self.next_number();
        let msg = Msg::Ping {
            to: vm,
            probe,
            marks: self.revisions,
            digest: self.digest,
            news: self.updates_for(vm),
        };
        self.actions.push(Action::Send { to, msg });
        probe
    }
}
