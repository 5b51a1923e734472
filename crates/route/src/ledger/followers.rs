//! The home's side of epochs: which VMs acknowledge the epoch, what they hand
//! over from the previous home, and which permits they report.
//!
//! See `docs/design/homes.md` for epochs, acknowledgements and handover.

use base::rendezvous;
use base::Time;
use base::VmId;

use super::servers::Source;
use super::Action;
use super::Ledger;
use crate::epoch::Epoch;
use crate::handover::Handover;
use crate::handover::Snapshot;
use crate::instance;
use crate::msg;
use crate::msg::AttemptId;
use crate::msg::Body;
use crate::msg::FollowerReport;
use crate::quorum::Quorum;

impl Ledger {
    /// Asks `from`, which takes this VM for its home, to follow the epoch. If
    /// `from` has followed a higher epoch, a new epoch above that one starts
    /// first.
    pub(super) fn join(&mut self, from: VmId, seen: Epoch, nonce: u32, now: Time) {
        if seen > self.epoch {
            self.start_epoch(seen, now);
        }
        let epoch = self.epoch;
        self.send(from, Body::Lead { epoch, nonce });
    }

    /// Starts a new epoch after `seen`, and keeps the state of the servers.
    pub(super) fn start_epoch(&mut self, seen: Epoch, now: Time) {
        self.prior_epoch = seen;
        self.epoch = Epoch::after(seen, self.home);
        let vms = self.quorum.vms();
        let alive = self.quorum.alive();
        let undiscovered = self.quorum.undiscovered();
        self.quorum = Quorum::new(&vms, &alive, now).with_undiscovered(undiscovered);
        self.complete = false;
        self.update_epoch_state(now);
        self.request_acknowledgements(now);
    }

    /// Requests that the ledger is dropped if `seen`, an epoch that another VM
    /// has followed, is higher than the epoch of this home.
    pub(super) fn check_superseded(&mut self, seen: Epoch) {
        if seen > self.epoch {
            self.actions.push(Action::StepDown(seen));
        }
    }

    /// Returns whether `epoch`, the epoch of a message from `from`, is the
    /// current one.
    ///
    /// The sender of a message of a lower epoch is asked to follow the current
    /// one. If `epoch` is higher, the ledger is to be dropped.
    pub(super) fn is_current(&mut self, from: VmId, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            let epoch = self.epoch;
            self.send(from, Body::Lead { epoch, nonce: 0 });
        }
        self.check_superseded(epoch);
        epoch == self.epoch
    }

    /// Records that `from` acknowledges the epoch, with the permits that it
    /// reports and its snapshot from an earlier home.
    pub(super) fn attach(
        &mut self,
        from: VmId,
        report: &FollowerReport,
        snapshot: &Snapshot,
        now: Time,
    ) {
        self.reconcile(from, report, now);
        if snapshot.source < self.epoch {
            self.handover.merge(snapshot, now);
        }
        if self.quorum.acknowledge(from) {
            self.update_epoch_state(now);
        }
        self.serve_queue(now);
    }

    /// Adopts the state of the servers that followers hand over from the
    /// previous home, except for servers that this home has observed itself.
    pub(super) fn adopt_handover(&mut self, now: Time) {
        for summary in self.handover.servers(now) {
            let found = self.servers.binary_search_by_key(&summary.server, |s| s.id);
            let Ok(index) = found else {
                continue;
            };
            let server = &mut self.servers[index];
            if server.source != Source::Observed {
                server.source = Source::Inherited;
                server.limit.adopt(&summary, now);
                self.summaries_changed = true;
            }
        }
        if self.complete {
            self.handover = Handover::default();
        }
    }

    /// Brings the ledger in line with the permits and requests that `from`
    /// reports.
    ///
    /// Permits are added for reported attempts that have none. Permits and
    /// requests that the report lacks are removed, unless they are newer than
    /// the report. Permits from before a restart of `from` linger instead, as
    /// the servers may still run their calls. A report that arrives after a
    /// newer one is ignored; see [`FollowerState::accept_report`].
    pub(super) fn reconcile(&mut self, from: VmId, report: &FollowerReport, now: Time) {
        let instance = instance::of_attempt(report.last_issued);
        if !self.follower_state(from, now).accept_report(report, now) {
            return;
        }
        for held in &report.held {
            self.record_held(from, held, now);
        }
        let is_over = |call: AttemptId| {
            let old = instance::is_older(instance::of_attempt(call), instance)
                || (instance::of_attempt(call) == instance && call <= report.last_issued);
            let held = report.held.iter().any(|held| held.call == call);
            old && !held && report.waiting.binary_search(&call).is_err()
        };
        for permit in self.permits.held_by(from).to_vec() {
            if !permit.lingers && is_over(permit.call) {
                if instance::of_attempt(permit.call) == instance {
                    self.remove_permit(from, permit.call);
                } else {
                    self.linger(from, permit.call, now);
                }
            }
        }
        drop(self.queue.extract_if(|w| w.vm == from && is_over(w.call)));
    }

    /// Adds a permit for an attempt that `from` has at a server. It replaces a
    /// permit of the attempt for another server, and a queued request.
    pub(super) fn record_held(&mut self, from: VmId, held: &msg::HeldPermit, now: Time) {
        let known = self.permits.get(from, held.call).copied();
        if known.is_some_and(|permit| permit.server == held.server) {
            return;
        }
        if known.is_some() {
            self.remove_permit(from, held.call);
        }
        drop(
            self.queue
                .extract_if(|w| w.vm == from && w.call == held.call),
        );
        self.add_permit(from, held.call, held.server, held.left, now);
    }

    /// Updates whether the epoch is complete, whether the handover can be
    /// trusted, and how many slots of each server are reserved for VMs that
    /// have not acknowledged the epoch.
    pub(super) fn update_epoch_state(&mut self, now: Time) {
        self.complete = self.quorum.is_complete(self.departure_timeout(), now);
        // Until the previous home or a majority has acknowledged the epoch, the
        // restart of a server may be missing from all snapshots received.
        let covered = self.quorum.has_acknowledged(self.prior_epoch.home)
            || self.quorum.majority_acknowledged();
        self.handover_trusted = self.complete || covered;
        for server in &mut self.servers {
            server.reserved = 0;
        }
        if self.handover_trusted {
            self.adopt_handover(now);
        }
        if self.complete {
            return;
        }
        let reserving: Vec<VmId> = self.quorum.alive_unacknowledged().collect();
        for slot in &self.slot_owners {
            let found = self.servers.binary_search_by_key(&slot.key, |s| s.id);
            if let (Ok(index), Ok(_)) = (found, reserving.binary_search(&slot.owner)) {
                self.servers[index].reserved += 1;
            }
        }
    }

    /// Recomputes which VM owns which slot, and which VMs may connect to each
    /// server.
    pub(super) fn assign_slots(&mut self) {
        let vms = self.quorum.vms();
        let keys: Vec<(u64, u32)> = self.spec.servers.iter().map(|s| (s.id, s.slots)).collect();
        self.slot_owners = rendezvous::partition(&keys, &vms);
        for server in &mut self.servers {
            let server_spec = self.spec.server(server.id);
            server.allowed_vms =
                server_spec.map_or(Vec::new(), |server_spec| server_spec.admitted_vms(&vms));
        }
    }

    /// Asks the VMs that have not acknowledged the epoch to follow it, each as
    /// often as is due.
    pub(super) fn request_acknowledgements(&mut self, now: Time) {
        let epoch = self.epoch;
        for vm in self.quorum.take_due(now) {
            self.send(vm, Body::Lead { epoch, nonce: 0 });
        }
    }
}
