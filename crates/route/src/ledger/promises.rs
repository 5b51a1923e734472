//! Who follows this home's epoch, and what its followers have.
//!
//! See `docs/design/homes.md` for epochs, promises and handover.

use base::rendezvous;
use base::Time;
use base::VmId;

use super::servers::Source;
use super::Action;
use super::Ledger;
use crate::epoch::Epoch;
use crate::handover::Handover;
use crate::handover::Snapshot;
use crate::msg;
use crate::msg::AttemptId;
use crate::msg::Body;
use crate::msg::FollowerReport;
use crate::quorum::Quorum;

impl Ledger {
    pub(super) fn join(&mut self, from: VmId, seen: Epoch, nonce: u32, now: Time) {
        if seen > self.epoch {
            self.restart(seen, now);
        }
        let epoch = self.epoch;
        self.send(from, Body::Lead { epoch, nonce });
    }

    /// Begins a new epoch after `seen`, keeping what is known of the servers.
    pub(super) fn restart(&mut self, seen: Epoch, now: Time) {
        self.prior = seen;
        self.epoch = Epoch::after(seen, self.me);
        let vms = self.roster.vms();
        let alive = self.roster.alive();
        let strangers = self.roster.undiscovered();
        self.roster = Quorum::new(&vms, &alive, now).with_undiscovered(strangers);
        self.complete = false;
        self.review(now);
        self.ask_promises(now);
    }

    pub(super) fn overtaken(&mut self, seen: Epoch) {
        if seen > self.epoch {
            self.actions.push(Action::StepDown(seen));
        }
    }

    /// Returns whether a message is of this epoch; helps its sender if not.
    pub(super) fn is_current(&mut self, from: VmId, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            let epoch = self.epoch;
            self.send(from, Body::Lead { epoch, nonce: 0 });
        }
        self.overtaken(epoch);
        epoch == self.epoch
    }

    pub(super) fn attach(
        &mut self,
        from: VmId,
        holding: &FollowerReport,
        snapshot: &Snapshot,
        now: Time,
    ) {
        self.reconcile(from, holding, now);
        if snapshot.source < self.epoch {
            self.handover.merge(snapshot, now);
        }
        if self.roster.acknowledge(from) {
            self.review(now);
        }
        self.pump(now);
    }

    /// Takes over what the last home knew, but for what this one knows better.
    pub(super) fn inherit(&mut self, now: Time) {
        for line in self.handover.servers(now) {
            let found = self.servers.binary_search_by_key(&line.server, |s| s.id);
            let Ok(at) = found else {
                continue;
            };
            let server = &mut self.servers[at];
            if server.source != Source::Seen {
                server.source = Source::Inherited;
                server.limit.adopt(&line, now);
                self.changed = true;
            }
        }
        if self.complete {
            self.handover = Handover::default();
        }
    }

    /// Brings the ledger in line with all that `from` has.
    pub(super) fn reconcile(&mut self, from: VmId, holding: &FollowerReport, now: Time) {
        let life = msg::boot_id(holding.last_issued);
        let active = self.active(from, now);
        if active.life == life && holding.number <= active.report {
            return;
        }
        active.life = life;
        active.report = holding.number;
        for held in &holding.held {
            self.count_held(from, held, now);
        }
        let is_over = |call: AttemptId| {
            let old = msg::boot_id(call) != life || call <= holding.last_issued;
            let held = holding.held.iter().any(|held| held.call == call);
            old && !held && holding.waiting.binary_search(&call).is_err()
        };
        for permit in self.permits.held_by(from).to_vec() {
            if !permit.lingers && is_over(permit.call) {
                if msg::boot_id(permit.call) == life {
                    self.free(from, permit.call);
                } else {
                    self.linger(from, permit.call, now);
                }
            }
        }
        drop(self.queue.extract_if(|w| w.vm == from && is_over(w.call)));
    }

    pub(super) fn count_held(&mut self, from: VmId, held: &msg::HeldPermit, now: Time) {
        let known = self.permits.get(from, held.call).copied();
        if known.is_some_and(|permit| permit.server == held.server) {
            return;
        }
        if known.is_some() {
            self.free(from, held.call);
        }
        drop(
            self.queue
                .extract_if(|w| w.vm == from && w.call == held.call),
        );
        self.give(from, held.call, held.server, held.left, now);
    }

    /// Works out again whether the epoch is complete and what is reserved.
    pub(super) fn review(&mut self, now: Time) {
        self.complete = self.roster.is_complete(self.departure_timeout(), now);
        // Before the last home or most VMs have spoken, nobody may have told
        // of a server that has just restarted.
        let heard =
            self.roster.has_acknowledged(self.prior.home) || self.roster.majority_acknowledged();
        self.trusted = self.complete || heard;
        for server in &mut self.servers {
            server.reserved = 0;
        }
        if self.trusted {
            self.inherit(now);
        }
        if self.complete {
            return;
        }
        let silent: Vec<VmId> = self.roster.alive_unacknowledged().collect();
        for unit in &self.units {
            let found = self.servers.binary_search_by_key(&unit.key, |s| s.id);
            if let (Ok(at), Ok(_)) = (found, silent.binary_search(&unit.owner)) {
                self.servers[at].reserved += 1;
            }
        }
    }

    /// Works out again which VM owns which slot, and which may connect where.
    pub(super) fn divide(&mut self) {
        let vms = self.roster.vms();
        let keys: Vec<(u64, u32)> = self.spec.servers.iter().map(|s| (s.id, s.slots)).collect();
        self.units = rendezvous::partition(&keys, &vms);
        for server in &mut self.servers {
            let known = self.spec.server(server.id);
            server.admitted = known.map_or(Vec::new(), |known| known.admitted_vms(&vms));
        }
    }

    pub(super) fn ask_promises(&mut self, now: Time) {
        let epoch = self.epoch;
        for vm in self.roster.take_due(now) {
            self.send(vm, Body::Lead { epoch, nonce: 0 });
        }
    }
}
