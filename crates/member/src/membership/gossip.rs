//! What is told and learned about other VMs, and how lost news is made up for.
//!
//! See `docs/design/membership.md`.

use super::Action;
use super::Membership;
use super::DIFFERING_MAX;
use super::ROSTER_ITEMS;
use crate::msg::Digest;
use crate::msg::Msg;
use crate::msg::Revisions;
use crate::peer::Health;
use crate::peer::Peer;
use crate::update::Update;
use base::Time;
use base::VmId;
use std::net::SocketAddr;

impl Membership {
    /// Pings a dead peer or asks a seed for the roster, in turn.
    pub(super) fn heal(&mut self) {
        let dead: Vec<VmId> = self
            .peers
            .iter()
            .filter(|peer| peer.health == Health::Dead)
            .map(|peer| peer.profile.vm)
            .collect();
        if let Some(vm) = self.rng.choice(dead) {
            if let Some(to) = self.address(vm) {
                self.send_ping(vm, to);
            }
        }
        let strangers: Vec<SocketAddr> = self.unknown_seeds().collect();
        let lonely = self.alive.len() == 1;
        for to in strangers {
            if lonely || self.rng.u8(0..4) == 0 {
                self.ask_roster(to);
            }
        }
    }

    pub(super) fn send_roster(&mut self, to: SocketAddr) {
        let mut all = vec![self.own(Health::Alive)];
        all.extend(self.peers.iter().map(|peer| Update {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: peer.health,
        }));
        for part in all.chunks(ROSTER_ITEMS) {
            let updates = part.to_vec();
            let msg = Msg::MemberList { news: updates };
            self.actions.push(Action::Send { to, msg });
        }
    }

    /// Picks news for a message to `vm`; a peer that is not thought alive
    /// hears that first, so that it can refute.
    pub(super) fn updates_for(&mut self, vm: VmId) -> Vec<Update> {
        let mut picked = self.rumors.pick(self.alive.len());
        if self.peer(vm).is_none_or(|p| p.health != Health::Alive) && !picked.contains(&vm) {
            picked.insert(0, vm);
        }
        picked.into_iter().filter_map(|vm| self.item(vm)).collect()
    }

    pub(super) fn item(&self, vm: VmId) -> Option<Update> {
        if vm == self.profile.vm {
            return Some(self.own(Health::Alive));
        }
        let peer = self.peer(vm)?;
        Some(Update {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: peer.health,
        })
    }

    pub(super) fn own(&self, health: Health) -> Update {
        Update {
            profile: self.profile.clone(),
            incarnation: self.incarnation,
            health: if self.leaving { Health::Left } else { health },
        }
    }

    pub(super) fn compare(&mut self, vm: VmId, revisions: Revisions) {
        let own = &self.revisions;
        let newer = revisions.head > own.head
            || revisions.domains > own.domains
            || revisions.registry.exceeds(&own.registry);
        if newer {
            self.actions.push(Action::NewerRevisions { vm, revisions });
        } else if !own.registry.exceeds(&revisions.registry) {
            self.actions.push(Action::SameRegistry { revisions });
        }
    }

    /// Asks for the whole membership of a peer once many have differed: news
    /// that was told often enough may still have been lost every time.
    pub(super) fn compare_digest(&mut self, address: SocketAddr, digest: Digest) {
        if digest == self.digest {
            return;
        }
        self.differing += 1;
        if self.differing >= DIFFERING_MAX {
            self.differing = 0;
            self.ask_roster(address);
        }
    }

    pub(super) fn ask_roster(&mut self, to: SocketAddr) {
        let updates = vec![self.own(Health::Alive)];
        let msg = Msg::Join { news: updates };
        self.actions.push(Action::Send { to, msg });
    }

    pub(super) fn learn_all(&mut self, now: Time, updates: Vec<Update>) {
        for item in updates {
            self.learn(now, item);
        }
    }

    pub(super) fn learn(&mut self, now: Time, item: Update) {
        if item.profile.vm == self.profile.vm {
            self.refute(&item);
            return;
        }
        let vm = item.profile.vm;
        let peer = Peer {
            profile: item.profile,
            incarnation: item.incarnation,
            health: item.health,
            since: now,
        };
        match self.find(vm) {
            Ok(at) if !self.peers[at].is_superseded_by(item.incarnation, item.health) => return,
            Ok(at) => self.peers[at] = peer,
            Err(_) if item.health >= Health::Dead => return,
            Err(at) => self.peers.insert(at, peer),
        }
        self.rumors.add(vm);
        self.refresh();
    }

    /// Answers a report that this VM is not alive, or is older than it is.
    pub(super) fn refute(&mut self, item: &Update) {
        if self.leaving {
            return;
        }
        let wrong = item.health != Health::Alive;
        if item.incarnation > self.incarnation || (wrong && item.incarnation == self.incarnation) {
            self.incarnation = item.incarnation + 1;
            self.refresh();
        }
        if wrong {
            // Who said so hears of it in the answer, even if the report is old.
            self.rumors.add(self.profile.vm);
        }
    }

    /// Takes back this VM's own suspicion of a peer that answered after all.
    ///
    /// Others drop theirs only when the peer refutes; telling it that it is
    /// suspected makes it do so.
    pub(super) fn revive(&mut self, now: Time, vm: VmId) {
        if let Ok(at) = self.find(vm) {
            let peer = &mut self.peers[at];
            peer.health = Health::Alive;
            peer.since = now;
            self.refresh();
        }
    }
}
