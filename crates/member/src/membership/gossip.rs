//! Sends and applies gossip updates, and recovers from lost ones.
//!
//! See `docs/design/membership.md`.

use super::Action;
use super::Membership;
use super::DIGEST_MISMATCHES_MAX;
use super::MEMBER_LIST_UPDATES;
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
    /// Pings one dead peer and requests the member list of undiscovered seeds.
    ///
    /// Each seed is asked in one of four calls on average, or in every call while no
    /// peer is alive.
    pub(super) fn reconnect(&mut self) {
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
        let seeds: Vec<SocketAddr> = self.undiscovered_seeds().collect();
        let isolated = self.alive.len() == 1;
        for to in seeds {
            if isolated || self.rng.u8(0..4) == 0 {
                self.request_member_list(to);
            }
        }
    }

    pub(super) fn send_member_list(&mut self, to: SocketAddr) {
        let mut all = vec![self.own_update(Health::Alive)];
        all.extend(self.peers.iter().map(|peer| Update {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: peer.health,
        }));
        for part in all.chunks(MEMBER_LIST_UPDATES) {
            let updates = part.to_vec();
            let msg = Msg::MemberList { news: updates };
            self.actions.push(Action::Send { to, msg });
        }
    }

    /// Returns the updates for a message to `vm`.
    ///
    /// If `vm` is not believed to be alive, the update about `vm` itself comes first, so
    /// that `vm` can refute it.
    pub(super) fn updates_for(&mut self, vm: VmId) -> Vec<Update> {
        let mut picked = self.gossip_queue.pick(self.alive.len());
        if self.peer(vm).is_none_or(|p| p.health != Health::Alive) && !picked.contains(&vm) {
            picked.insert(0, vm);
        }
        picked
            .into_iter()
            .filter_map(|vm| self.update_about(vm))
            .collect()
    }

    pub(super) fn update_about(&self, vm: VmId) -> Option<Update> {
        if vm == self.profile.vm {
            return Some(self.own_update(Health::Alive));
        }
        let peer = self.peer(vm)?;
        Some(Update {
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            health: peer.health,
        })
    }

    pub(super) fn own_update(&self, health: Health) -> Update {
        Update {
            profile: self.profile.clone(),
            incarnation: self.incarnation,
            health: if self.leaving { Health::Left } else { health },
        }
    }

    /// Compares the revisions of the peer `vm` with the own ones, and adds an action if
    /// the peer has newer ones or the same ones of the registry.
    pub(super) fn compare_revisions(&mut self, vm: VmId, revisions: Revisions) {
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

    /// Compares the digest of the peer at `address` with the own digest, and requests
    /// the peer's member list after [`DIGEST_MISMATCHES_MAX`] mismatches.
    ///
    /// Every transmission of an update may have been lost, so gossip alone does not
    /// guarantee that two VMs agree.
    pub(super) fn compare_digest(&mut self, address: SocketAddr, digest: Digest) {
        if digest == self.digest {
            self.record_agreement();
            return;
        }
        self.digest_mismatches += 1;
        if self.digest_mismatches >= DIGEST_MISMATCHES_MAX {
            self.digest_mismatches = 0;
            self.request_member_list(address);
        }
    }

    /// Counts updates as sent to a peer whose digest is the same. After a start of a whole
    /// fleet, there are updates about all VMs, and sending each one often enough would
    /// fill all messages for minutes.
    ///
    /// The digest covers VMs that are alive; it does not tell a suspected VM from an alive
    /// one, or one that has left from a dead one.
    fn record_agreement(&mut self) {
        let own = self.profile.vm;
        let peers = &self.peers;
        let is_alive = |vm| match peers.binary_search_by_key(&vm, |peer| peer.profile.vm) {
            Ok(i) => peers[i].health == Health::Alive,
            Err(_) => vm == own,
        };
        self.gossip_queue.record_known(self.alive.len(), is_alive);
    }

    pub(super) fn request_member_list(&mut self, to: SocketAddr) {
        let updates = vec![self.own_update(Health::Alive)];
        let msg = Msg::Join { news: updates };
        self.actions.push(Action::Send { to, msg });
    }

    pub(super) fn apply_all(&mut self, now: Time, updates: Vec<Update>) {
        for update in updates {
            let vm = update.profile.vm;
            let is_slow_start =
                update.health == Health::Suspect && !self.patience(vm, now).is_zero();
            // Otherwise, one VM that is slow itself could make all others drop a home.
            if !is_slow_start {
                self.apply(now, update);
            }
        }
    }

    /// Applies an update if it supersedes what is known of its VM, and passes it on.
    ///
    /// An update that an unknown VM is dead or has left is ignored.
    pub(super) fn apply(&mut self, now: Time, update: Update) {
        if update.profile.vm == self.profile.vm {
            self.refute(&update);
            return;
        }
        let vm = update.profile.vm;
        let peer = Peer {
            profile: update.profile,
            incarnation: update.incarnation,
            health: update.health,
            since: now,
        };
        let index = self.find(vm);
        match index {
            Ok(i) if !self.peers[i].is_superseded_by(update.incarnation, update.health) => return,
            Err(_) if update.health >= Health::Dead => return,
            _ => self.put_peer(index, peer),
        }
        self.gossip_queue.add(vm);
    }

    /// Refutes an update about this VM that reports it as not alive or has a higher
    /// incarnation than this VM.
    ///
    /// Raises the own incarnation above that of the update where needed, so that the
    /// own update supersedes it.
    pub(super) fn refute(&mut self, update: &Update) {
        if self.leaving {
            return;
        }
        let wrong = update.health != Health::Alive;
        if update.incarnation > self.incarnation
            || (wrong && update.incarnation == self.incarnation)
        {
            self.incarnation = update.incarnation + 1;
            self.recompute();
        }
        if wrong {
            // The reply to the sender of a wrong update carries the own update, even if
            // the wrong update had an older incarnation.
            self.gossip_queue.add(self.profile.vm);
        }
    }

    /// Marks a suspected peer as alive, because it responded to this VM after all.
    ///
    /// This ends the suspicion at this VM only. Other VMs drop theirs when the peer
    /// refutes it, which it does as soon as it receives an update that it is suspected.
    pub(super) fn clear_suspicion(&mut self, now: Time, vm: VmId) {
        if let Ok(i) = self.find(vm) {
            let peer = Peer {
                health: Health::Alive,
                since: now,
                ..self.peers[i].clone()
            };
            self.put_peer(Ok(i), peer);
        }
    }
}
