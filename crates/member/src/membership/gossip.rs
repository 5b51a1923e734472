//! What is told and learned about other VMs, and how lost news is made up for.
//!
//! See `docs/design/membership.md`.

use super::Action;
use super::Membership;
use super::DIFFERING_MAX;
use super::ROSTER_ITEMS;
use crate::msg::Digest;
use crate::msg::Marks;
use crate::msg::Msg;
use crate::news::Item;
use crate::peer::Health;
use crate::peer::Peer;
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
        all.extend(self.peers.iter().map(|peer| Item {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: peer.health,
        }));
        for part in all.chunks(ROSTER_ITEMS) {
            let news = part.to_vec();
            let msg = Msg::Roster { news };
            self.actions.push(Action::Send { to, msg });
        }
    }

    /// Picks news for a message to `vm`; a peer that is not thought alive
    /// hears that first, so that it can refute.
    pub(super) fn news_for(&mut self, vm: VmId) -> Vec<Item> {
        let mut picked = self.rumors.pick(self.alive.len());
        if self.peer(vm).is_none_or(|p| p.health != Health::Alive) && !picked.contains(&vm) {
            picked.insert(0, vm);
        }
        picked.into_iter().filter_map(|vm| self.item(vm)).collect()
    }

    pub(super) fn item(&self, vm: VmId) -> Option<Item> {
        if vm == self.me.vm {
            return Some(self.own(Health::Alive));
        }
        let peer = self.peer(vm)?;
        Some(Item {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: peer.health,
        })
    }

    pub(super) fn own(&self, health: Health) -> Item {
        Item {
            profile: self.me.clone(),
            incarnation: self.incarnation,
            health: if self.leaving { Health::Left } else { health },
        }
    }

    pub(super) fn compare(&mut self, vm: VmId, marks: Marks) {
        let own = &self.marks;
        let newer = marks.head > own.head
            || marks.domains > own.domains
            || marks.registry.exceeds(&own.registry);
        if newer {
            self.actions.push(Action::Newer { vm, marks });
        } else if !own.registry.exceeds(&marks.registry) {
            self.actions.push(Action::Same { marks });
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
        let news = vec![self.own(Health::Alive)];
        let msg = Msg::Join { news };
        self.actions.push(Action::Send { to, msg });
    }

    pub(super) fn learn_all(&mut self, now: Time, news: Vec<Item>) {
        for item in news {
            self.learn(now, item);
        }
    }

    pub(super) fn learn(&mut self, now: Time, item: Item) {
        if item.profile.vm == self.me.vm {
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
            Ok(at) if !self.peers[at].yields_to(item.incarnation, item.health) => return,
            Ok(at) => self.peers[at] = peer,
            Err(_) if item.health >= Health::Dead => return,
            Err(at) => self.peers.insert(at, peer),
        }
        self.rumors.add(vm);
        self.refresh();
    }

    /// Answers a report that this VM is not alive, or is older than it is.
    pub(super) fn refute(&mut self, item: &Item) {
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
            self.rumors.add(self.me.vm);
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
