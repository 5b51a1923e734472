//! The home role of this VM for one shard, and its ledger while it holds that role.
//!
//! A coordinator creates a ledger when another VM asks it to be home and this VM
//! also considers itself home. It drops the ledger when a higher epoch shows that
//! another home has been accepted. It then waits for a backoff, which grows each
//! time, before it takes the role again. Without the backoff, two VMs with
//! different views of the membership could take the shard from each other
//! forever.

use std::sync::Arc;
use std::time::Duration;

use base::OrderId;
use base::ServerId;
use base::Time;
use base::VmId;

use crate::epoch::Epoch;
use crate::epoch::HomeId;
use crate::ledger::Action;
use crate::ledger::Decision;
use crate::ledger::Fleet;
use crate::ledger::Ledger;
use crate::msg::Body;
use crate::msg::Envelope;
use crate::msg::Msg;
use crate::msg::ProbeResult;
use crate::msg::ServerSummary;
use crate::rollout::Phase;
use crate::spec::ShardSpec;

/// The backoff after the first time that another home was accepted.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// The time as home after which the next backoff starts at [`BACKOFF_MIN`] again.
const STABLE_AFTER: Duration = Duration::from_secs(10);

/// The home role of this VM for one shard, whether it currently holds it or not.
#[derive(Clone, Debug)]
pub struct Coordinator {
    home: HomeId,
    spec: Arc<ShardSpec>,
    ledger: Option<Ledger>,
    /// The highest epoch seen so far; the next ledger's epoch is above it.
    highest: Epoch,
    /// When the current ledger was created.
    started: Time,
    /// The length of the next backoff.
    backoff: Duration,
    /// No ledger is created before this time.
    backoff_until: Time,
    actions: Vec<Action>,
}

/// The servers of a shard as the ledger saw them when its epoch ended, for use by
/// the next home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalState {
    /// The epoch that has ended.
    pub epoch: Epoch,
    /// The servers, sorted by id.
    pub servers: Vec<ServerSummary>,
}

impl Coordinator {
    /// Creates a coordinator without a ledger for the shard of `spec`; `home` is
    /// this VM as home of it.
    pub fn new(home: HomeId, spec: Arc<ShardSpec>) -> Self {
        Self {
            home,
            spec,
            ledger: None,
            highest: Epoch::default(),
            started: Time::ZERO,
            backoff: BACKOFF_MIN,
            backoff_until: Time::ZERO,
            actions: Vec::new(),
        }
    }

    /// Returns the ledger, or none while this VM is not home.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Returns whether the ledger has granted permits or queued requests, or still
    /// lacks acknowledgements of its epoch.
    pub fn is_busy(&self) -> bool {
        let idle = |ledger: &Ledger| {
            ledger.permits().is_empty() && ledger.waiting() == 0 && ledger.is_complete()
        };
        !self.ledger.as_ref().is_none_or(idle)
    }

    /// Returns the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(ledger) = &mut self.ledger {
            actions.extend(ledger.take_actions());
        }
        actions
    }

    /// Returns the ledger's decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.ledger
            .as_mut()
            .map_or(Vec::new(), Ledger::take_decisions)
    }

    /// Applies a change of the configuration.
    pub fn set_spec(&mut self, spec: Arc<ShardSpec>, now: Time) {
        self.spec = spec.clone();
        if let Some(ledger) = &mut self.ledger {
            ledger.set_spec(spec, now);
        }
    }

    /// Applies a change of the membership.
    pub fn set_fleet(&mut self, fleet: Fleet<'_>, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.set_fleet(fleet, now);
        }
    }

    /// Processes a message from `from`; `is_home` is whether this VM is home
    /// according to its own view of the membership.
    ///
    /// Without a ledger, a [`Body::Join`] creates one if `is_home` is set and the
    /// backoff has passed, and otherwise gets [`Body::NotHome`] as reply. So do permit
    /// requests, reports and releases for an earlier epoch of this VM. Other messages
    /// are ignored.
    pub fn receive(&mut self, from: VmId, body: Body, fleet: Fleet<'_>, is_home: bool, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.receive(from, body, now);
            return;
        }
        match body {
            Body::Join { seen, nonce } => {
                self.highest = self.highest.max(seen);
                if is_home && now >= self.backoff_until {
                    self.create_ledger(fleet, now);
                    if let Some(ledger) = &mut self.ledger {
                        ledger.receive(from, body, now);
                    }
                } else {
                    self.send_not_home(from, nonce);
                }
            }
            Body::Acquire { epoch, .. }
            | Body::AcquireRanked { epoch, .. }
            | Body::Refresh { epoch, .. }
            | Body::Release { epoch, .. }
                if epoch.home == self.home.vm =>
            {
                self.highest = self.highest.max(epoch);
                self.send_not_home(from, 0);
            }
            _ => {}
        }
    }

    fn create_ledger(&mut self, fleet: Fleet<'_>, now: Time) {
        let ledger = Ledger::new(self.home, self.highest, self.spec.clone(), fleet, now);
        self.highest = ledger.epoch();
        self.started = now;
        self.ledger = Some(ledger);
    }

    fn send_not_home(&mut self, to: VmId, nonce: u32) {
        let msg = Msg {
            shard: self.spec.shard,
            body: Body::NotHome { nonce },
        };
        self.actions.push(Action::Send(Envelope { to, msg }));
    }

    /// Drops the ledger if `epoch` is higher than the ledger's own, starts the
    /// backoff, and returns the ledger's final state.
    ///
    /// This has to be called before this VM acknowledges `epoch`: an
    /// acknowledgement implies that this VM grants nothing more under a lower
    /// epoch.
    pub fn step_down(&mut self, epoch: Epoch, now: Time) -> Option<FinalState> {
        self.highest = self.highest.max(epoch);
        if self.ledger.as_ref()?.epoch() >= epoch {
            return None;
        }
        let ledger = self.ledger.take()?;
        if now >= self.started + STABLE_AFTER {
            self.backoff = BACKOFF_MIN;
        }
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        Some(FinalState {
            epoch: ledger.epoch(),
            servers: ledger.server_summaries(now),
        })
    }

    /// Drops the ledger after this VM was paused, because another VM may have
    /// become home in the meantime.
    pub fn resume_after_pause(&mut self) {
        if let Some(ledger) = self.ledger.take() {
            self.highest = self.highest.max(ledger.epoch());
        }
    }

    /// Passes the phase of a roll-out, which its decider told, to the ledger.
    pub fn hear_phase(&mut self, order: OrderId, phase: Phase, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.hear_phase(order, phase, now);
        }
    }

    /// Runs the ledger's periodic work.
    pub fn tick(&mut self, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.tick(now);
        }
    }

    /// Passes the result of a health check of `server` to the ledger.
    pub fn record_probe(&mut self, server: ServerId, result: ProbeResult, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.record_probe(server, result, now);
        }
    }
}
