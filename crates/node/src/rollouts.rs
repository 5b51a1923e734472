//! Carries out the roll-outs of versions: the reports of this VM's homes, the decisions
//! where this VM is the decider, the messages about them, and the status in the registry.
//!
//! See `docs/design/rollouts.md`.

use std::sync::Arc;
use std::time::Duration;

use base::OrderId;
use base::ServerId;
use base::VmId;
use conf::catalog::CatalogEntry;
use conf::registry::EntryValue;
use conf::registry::RegistryEntry;
use conf::settings::Policy;
use conf::Registry;
use conf::Rollout;
use conf::RolloutState;
use conf::State;
use route::rollout::decider::Findings;
use route::rollout::Phase;
use route::rollout::Report;
use route::rollout::RolloutMsg;
use route::rollout::Terms;
use wire::Msg;

use crate::readers::RESPONSE_TIMEOUT;
use crate::rollout_table::first_choice;
use crate::rollout_table::DueWrite;
use crate::rollout_table::Entry;
use crate::rollout_table::Outcome;
use crate::shared::lock;
use crate::shared::read;
use crate::shared::Shared;
use crate::specs;
use crate::specs::RolloutRules;
use crate::sync;
use crate::view::View;

/// The time between two checks while there are roll-outs under way.
const TICK: Duration = Duration::from_millis(100);
/// The time between two checks while there are none.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// The longest time for which the word of the decider holds.
const LEASE_MAX: Duration = Duration::from_secs(3);
/// The part of the time to roll back that the lease takes.
const LEASE_PART: f64 = 0.6;
/// The reports of a home in each lease.
const REPORTS_PER_LEASE: u32 = 3;

/// What this VM's homes have counted in the roll-outs under way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RolloutCounts {
    /// First attempts.
    pub(crate) firsts: u64,
    /// Attempts that went to versions on trial.
    pub(crate) exposed: u64,
    /// Bad responses of the other versions.
    pub(crate) old_bad: u64,
    /// Bad responses of versions on trial.
    pub(crate) target_bad: u64,
}

impl Shared {
    /// Returns what decides which versions may serve.
    pub(crate) fn rollout_rules(&self) -> RolloutRules {
        let terms = self.settings.rollouts.map(|rollouts| Terms {
            order: 0,
            share: rollouts.share,
            lease: rollouts.rollback.mul_f64(LEASE_PART).min(LEASE_MAX),
        });
        RolloutRules {
            terms,
            has_homes: self.settings.policy == Policy::Home,
            ended: lock(&self.rollouts).ended(),
        }
    }

    /// Keeps the servers of versions that were rolled back from being sent anything, also
    /// with a permit of a home that has not heard of it.
    pub(crate) fn close_ended_rollouts(&self, state: &State, rules: &RolloutRules) {
        let closed = specs::closed_servers(state, rules);
        lock(&self.rollouts).set_closed(closed);
    }

    /// Returns whether `server` may be sent nothing because its version was rolled back.
    pub(crate) fn is_closed_by_rollout(&self, server: ServerId) -> bool {
        let table = lock(&self.rollouts);
        table.closed().binary_search(&server).is_ok()
    }

    /// Adds the servers of versions that were rolled back to `denied`, which is sorted.
    pub(crate) fn add_closed_by_rollouts(&self, denied: &mut Vec<ServerId>) {
        let table = lock(&self.rollouts);
        if !table.closed().is_empty() {
            denied.extend_from_slice(table.closed());
            denied.sort_unstable();
        }
    }

    /// Returns the number of roll-outs that have not ended.
    pub(crate) fn running_rollouts(&self) -> usize {
        lock(&self.rollouts).running()
    }

    /// Returns what this VM's homes have counted in the roll-outs under way.
    pub(crate) fn rollout_counts(&self) -> RolloutCounts {
        let mut sum = RolloutCounts::default();
        for shard in self.table().shards() {
            shard.with_coordinator(|coordinator| {
                let exposure = coordinator.ledger().and_then(|ledger| ledger.exposure());
                let Some(exposure) = exposure else {
                    return;
                };
                let (firsts, exposed) = exposure.counts();
                sum.firsts += firsts;
                sum.exposed += exposed;
                for kind in exposure.report_kinds() {
                    sum.old_bad += u64::from(kind.old.bad());
                    sum.target_bad += u64::from(kind.target.bad());
                }
            });
        }
        sum
    }

    /// Takes part in roll-outs until the task is cancelled.
    pub(crate) async fn run_rollouts(self: Arc<Self>, registry: Arc<dyn Registry>) {
        let ticks = self.clone().tick_rollouts();
        smol::future::zip(ticks, self.write_rollouts(registry)).await;
    }

    async fn tick_rollouts(self: Arc<Self>) {
        loop {
            let busy = self.sync_rollouts();
            if busy {
                self.advance_rollouts();
            }
            smol::Timer::after(if busy { TICK } else { IDLE_TICK }).await;
        }
    }

    /// Takes over the orders in the catalog; returns whether there is anything to do.
    fn sync_rollouts(&self) -> bool {
        let catalog = lock(&self.catalog);
        let entries = catalog.rollouts().iter().filter_map(|entry| {
            Some(Entry {
                name: entry.name.clone(),
                revision: entry.revision,
                rollout: entry.value.clone()?,
            })
        });
        let entries: Vec<Entry> = entries.collect();
        drop(catalog);
        if entries.is_empty() && lock(&self.rollouts).is_empty() {
            return false;
        }
        let (new, ended) = lock(&self.rollouts).sync(entries, self.clock.now());
        for rollout in new {
            log::info!(
                service = rollout.service,
                version = rollout.target,
                order = format!("{:x}", rollout.order),
                duration_ms = rollout.duration.as_millis() as u64,
                state = rollout.state.map_or("none", RolloutState::name);
                "rollout: order seen"
            );
        }
        if ended {
            self.refresh_rollouts();
        }
        !lock(&self.rollouts).is_settled()
    }

    /// Applies an end of a roll-out to all shards.
    fn refresh_rollouts(&self) {
        let refresh_guard = lock(&self.refresh_lock);
        let pending = self.refresh(read(&self.state));
        drop(refresh_guard);
        self.run_all_effects(pending);
    }

    /// Sends the reports that are due, and decides where this VM is the decider.
    fn advance_rollouts(&self) {
        let view = self.view();
        let orders = lock(&self.rollouts).orders();
        for (order, service) in orders {
            let service = base::id::service(&service);
            let decider = first_choice(service, &view.eligible);
            if let Some(decider) = decider {
                self.report_rollout(order, service, decider);
            }
            self.decide_rollout(order, decider == Some(self.self_id), &view);
        }
    }

    /// Reports what this VM's homes of the service have counted to `decider`.
    fn report_rollout(&self, order: OrderId, service: base::ServiceId, decider: VmId) {
        let Some(terms) = self.rollout_rules().terms else {
            return;
        };
        let now = self.clock.now();
        let period = terms.lease / REPORTS_PER_LEASE;
        for (_, shard) in self.table().of_service(service) {
            let elapsed = lock(&self.rollouts).elapsed(order, now);
            let found = shard.with_coordinator(|coordinator| {
                let exposure = coordinator.ledger()?.exposure()?;
                let report = Report::new(service, shard.id, elapsed);
                let current = exposure.terms().order == order;
                current.then(|| (exposure.report(report), exposure.bad_responses()))
            });
            let Some((report, bad)) = found else {
                continue;
            };
            let key = (order, shard.id);
            if lock(&self.rollouts).take_report_due(key, bad, period, now) {
                self.send_rollout(decider, RolloutMsg::Report(report));
            }
        }
    }

    /// Decides about `order` if this VM is to do so, and carries the decision out.
    fn decide_rollout(&self, order: OrderId, is_first: bool, view: &View) {
        let now = self.clock.now();
        let Some(rollout) = lock(&self.rollouts).rollout(order).cloned() else {
            return;
        };
        let state = read(&self.state);
        let supply = specs::supply(&state, &rollout);
        let decision =
            lock(&self.rollouts).decide(order, is_first, view.is_isolated(), supply, now);
        let Some((outcome, findings)) = decision else {
            return;
        };
        match outcome {
            Outcome::NoServers => log::warn!(
                service = rollout.service,
                version = rollout.target,
                known = state.service(base::id::service(&rollout.service)).is_some();
                "rollout: the service has no open server of the version; waiting for one"
            ),
            Outcome::TellRollback => self.tell_rollback(&rollout, view),
            Outcome::Completes => log_step(&rollout, "completes", findings),
            Outcome::Entered(Phase::RolledBack, _) => {
                log_step(&rollout, Phase::RolledBack.name(), findings);
                self.end_rollout(order, RolloutState::RolledBack);
            }
            Outcome::Entered(phase, homes) => {
                log_step(&rollout, phase.name(), findings);
                for vm in homes {
                    self.send_phase(vm, &rollout, phase);
                }
            }
        }
    }

    /// Records that `order` ended; it binds on this VM when the method returns.
    fn end_rollout(&self, order: OrderId, state: RolloutState) {
        if lock(&self.rollouts).end(order, state, false) {
            log::info!(
                order = format!("{order:x}"),
                state = state.name();
                "rollout: ended on this VM"
            );
            self.refresh_rollouts();
        }
    }

    fn tell_rollback(&self, rollout: &Rollout, view: &View) {
        for &vm in view.alive.iter().filter(|vm| **vm != self.self_id) {
            self.send_phase(vm, rollout, Phase::RolledBack);
        }
    }

    fn send_phase(&self, vm: VmId, rollout: &Rollout, phase: Phase) {
        let elapsed = lock(&self.rollouts).elapsed(rollout.order, self.clock.now());
        let msg = RolloutMsg::Phase {
            service: base::id::service(&rollout.service),
            order: rollout.order,
            phase,
            elapsed,
        };
        self.send_rollout(vm, msg);
    }

    fn send_rollout(&self, vm: VmId, msg: RolloutMsg) {
        if vm == self.self_id {
            self.receive_rollout(vm, msg);
        } else if let Some(to) = self.view().address(vm) {
            self.outbox.put(to, Msg::Rollout(msg));
        }
    }

    /// Dispatches a message about roll-outs.
    pub(crate) fn receive_rollout(&self, from: VmId, msg: RolloutMsg) {
        if self.settings.rollouts.is_none() {
            return;
        }
        let now = self.clock.now();
        match msg {
            RolloutMsg::Report(report) => {
                let (service, order) = (report.service, report.order);
                let reply = lock(&self.rollouts).record(from, report, now);
                if let Some((phase, elapsed)) = reply {
                    let msg = RolloutMsg::Phase {
                        service,
                        order,
                        phase,
                        elapsed,
                    };
                    self.send_rollout(from, msg);
                }
            }
            RolloutMsg::Phase {
                order,
                phase: Phase::RolledBack,
                ..
            } => self.end_rollout(order, RolloutState::RolledBack),
            RolloutMsg::Phase {
                service,
                order,
                phase,
                elapsed,
            } => {
                lock(&self.rollouts).note_elapsed(order, elapsed, now);
                for (_, shard) in self.table().of_service(service) {
                    let effects = shard.hear_phase(order, phase, now);
                    self.run_effects(shard, effects);
                }
            }
            RolloutMsg::Entry(bytes) => {
                let entry = serde_json::from_slice::<CatalogEntry<Rollout>>(&bytes);
                let merged = entry.is_ok_and(|entry| lock(&self.catalog).merge_rollout(entry, now));
                if merged {
                    self.put_in_force();
                }
            }
        }
    }

    /// Sends the entry `name`, which this VM has just read, to all VMs.
    pub(crate) fn share_rollout(&self, name: &str) {
        let catalog = lock(&self.catalog);
        let entry = catalog.rollouts().iter().find(|entry| entry.name == name);
        let Some(bytes) = entry.map(sync::encode) else {
            return;
        };
        drop(catalog);
        for &vm in self.view().alive.iter().filter(|vm| **vm != self.self_id) {
            self.send_rollout(vm, RolloutMsg::Entry(bytes.clone()));
        }
    }

    /// Tells VMs that are alive in `new` and were not in `old` which versions were rolled
    /// back, where this VM is the decider.
    pub(crate) fn send_rollouts_to_joined(&self, old: &View, new: &View) {
        let orders = lock(&self.rollouts).orders();
        for (order, service) in orders {
            let service = base::id::service(&service);
            let is_decider = first_choice(service, &new.eligible) == Some(self.self_id);
            let table = lock(&self.rollouts);
            let rolled_back = table.end_of(order) == Some(RolloutState::RolledBack);
            let rollout = table.rollout(order).cloned();
            drop(table);
            if let Some(rollout) = rollout.filter(|_| is_decider && rolled_back) {
                let joined = |vm: &&VmId| old.alive.binary_search(vm).is_err();
                for &vm in new.alive.iter().filter(joined) {
                    self.send_phase(vm, &rollout, Phase::RolledBack);
                }
            }
        }
    }

    /// Writes the states of roll-outs that this VM decides about.
    async fn write_rollouts(self: Arc<Self>, registry: Arc<dyn Registry>) {
        loop {
            let due = lock(&self.rollouts).take_write(self.clock.now());
            let Some(write) = due else {
                let idle = lock(&self.rollouts).is_settled();
                smol::Timer::after(if idle { IDLE_TICK } else { TICK }).await;
                continue;
            };
            let DueWrite {
                name,
                revision,
                state,
                target,
            } = &write;
            let result = registry
                .write_rollout(name, *revision, *state, target, RESPONSE_TIMEOUT)
                .await;
            match result {
                Ok(None) => log::info!(
                    rollout = name.as_str(), version = target.as_str(), state = state.name();
                    "rollout: status written"
                ),
                Ok(Some(entry)) => self.note_changed_rollout(entry),
                Err(error) => log::warn!(
                    rollout = name.as_str(), state = state.name();
                    "rollout: cannot write the status: {error}"
                ),
            }
        }
    }

    /// Takes over an entry that has changed before a write.
    fn note_changed_rollout(&self, entry: RegistryEntry) {
        let Some(EntryValue::Rollout(rollout)) = entry.value else {
            return;
        };
        log::info!(
            rollout = entry.name.as_str(),
            state = rollout.state.map_or("none", RolloutState::name);
            "rollout: the entry has changed; its state is taken over"
        );
        let now = self.clock.now();
        let changed =
            lock(&self.catalog).set_rollout(&entry.name, entry.revision, Some(rollout), now);
        if changed {
            self.share_rollout(&entry.name);
            self.put_in_force();
        }
    }
}

fn log_step(rollout: &Rollout, step: &str, findings: Option<Findings>) {
    let Some(findings) = findings else {
        return;
    };
    let (old, target) = (findings.counts.old, findings.counts.target);
    log::info!(
        service = rollout.service,
        version = rollout.target,
        order = format!("{:x}", rollout.order),
        step = step,
        old_responses = old.total,
        old_failed = old.failed,
        old_slow = old.slow,
        responses = target.total,
        failed = target.failed,
        slow = target.slow,
        score = findings.score,
        firsts = findings.firsts,
        exposed = findings.exposed,
        homes = findings.homes as u64,
        age_ms = findings.age.as_millis() as u64;
        "rollout: step"
    );
}
