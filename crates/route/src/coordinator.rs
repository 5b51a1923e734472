//! Whether this VM is the home of a shard, and the ledger while it is.
//!
//! A coordinator takes a ledger up when a VM that thinks this one is home asks, and
//! gives it up when a higher epoch shows that another home has been accepted.
//! After that it rests before it leads again, longer each time, so that two
//! VMs with different views do not take the shard from each other forever.

use std::sync::Arc;
use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;

use crate::epoch::Epoch;
use crate::ledger::Action;
use crate::ledger::Decision;
use crate::ledger::Fleet;
use crate::ledger::Ledger;
use crate::msg::Body;
use crate::msg::Envelope;
use crate::msg::Msg;
use crate::msg::ProbeResult;
use crate::msg::ServerSummary;
use crate::spec::ShardSpec;

/// The first rest after another home was accepted.
const REST_MIN: Duration = Duration::from_millis(200);
/// The longest rest.
const REST_MAX: Duration = Duration::from_secs(5);
/// The time in office after which the next rest is short again.
const SETTLED: Duration = Duration::from_secs(10);

/// The place of a home, filled or not.
#[derive(Clone, Debug)]
pub struct Coordinator {
    me: VmId,
    spec: Arc<ShardSpec>,
    ledger: Option<Ledger>,
    highest: Epoch,
    since: Time,
    rest: Duration,
    until: Time,
    actions: Vec<Action>,
}

/// What a coordinator whose ledger has ended leaves to the next home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalState {
    /// The epoch that has ended.
    pub epoch: Epoch,
    /// The servers as they were then.
    pub servers: Vec<ServerSummary>,
}

impl Coordinator {
    /// Makes a coordinator without a ledger.
    pub fn new(me: VmId, spec: Arc<ShardSpec>) -> Self {
        Self {
            me,
            spec,
            ledger: None,
            highest: Epoch::default(),
            since: Time::ZERO,
            rest: REST_MIN,
            until: Time::ZERO,
            actions: Vec::new(),
        }
    }

    /// Returns the ledger while this VM is home.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Returns whether the ledger has permits out, requests that wait, or VMs
    /// whose promise it lacks.
    pub fn is_busy(&self) -> bool {
        let idle = |ledger: &Ledger| {
            ledger.permits().is_empty() && ledger.waiting() == 0 && ledger.is_complete()
        };
        !self.ledger.as_ref().is_none_or(idle)
    }

    /// Takes the actions that have come up since the last time.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(ledger) = &mut self.ledger {
            actions.extend(ledger.take_actions());
        }
        actions
    }

    /// Takes the decisions made since the last time.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.ledger
            .as_mut()
            .map_or(Vec::new(), Ledger::take_decisions)
    }

    /// Follows a change of the configuration.
    pub fn set_spec(&mut self, spec: Arc<ShardSpec>, now: Time) {
        self.spec = spec.clone();
        if let Some(ledger) = &mut self.ledger {
            ledger.set_spec(spec, now);
        }
    }

    /// Follows a change of the membership.
    pub fn set_fleet(&mut self, fleet: Fleet<'_>, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.set_fleet(fleet, now);
        }
    }

    /// Takes a message from `from`; `chosen` says whether this VM is home by
    /// its own view.
    pub fn receive(&mut self, from: VmId, body: Body, fleet: Fleet<'_>, chosen: bool, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.receive(from, body, now);
            return;
        }
        match body {
            Body::Join { seen, nonce } => {
                self.highest = self.highest.max(seen);
                if chosen && now >= self.until {
                    self.take_up(fleet, now);
                    if let Some(ledger) = &mut self.ledger {
                        ledger.receive(from, body, now);
                    }
                } else {
                    self.decline(from, nonce);
                }
            }
            Body::Acquire { epoch, .. }
            | Body::Refresh { epoch, .. }
            | Body::Release { epoch, .. }
                if epoch.home == self.me =>
            {
                self.highest = self.highest.max(epoch);
                self.decline(from, 0);
            }
            _ => {}
        }
    }

    fn take_up(&mut self, fleet: Fleet<'_>, now: Time) {
        let ledger = Ledger::new(self.me, self.highest, self.spec.clone(), fleet, now);
        self.highest = ledger.epoch();
        self.since = now;
        self.ledger = Some(ledger);
    }

    fn decline(&mut self, to: VmId, nonce: u32) {
        let msg = Msg {
            shard: self.spec.shard,
            body: Body::NotHome { nonce },
        };
        self.actions.push(Action::Send(Envelope { to, msg }));
    }

    /// Gives the ledger up if `epoch` is higher than its own.
    ///
    /// It has to be called before this VM promises to follow `epoch`: the
    /// promise says that no grant of a lower epoch comes from here any more.
    pub fn step_down(&mut self, epoch: Epoch, now: Time) -> Option<FinalState> {
        self.highest = self.highest.max(epoch);
        if self.ledger.as_ref()?.epoch() >= epoch {
            return None;
        }
        let ledger = self.ledger.take()?;
        if now >= self.since + SETTLED {
            self.rest = REST_MIN;
        }
        self.until = now + self.rest;
        self.rest = (self.rest * 2).min(REST_MAX);
        Some(FinalState {
            epoch: ledger.epoch(),
            servers: ledger.server_summaries(now),
        })
    }

    /// Gives the ledger up after this VM was paused: others may lead by now.
    pub fn reset_after_pause(&mut self) {
        if let Some(ledger) = self.ledger.take() {
            self.highest = self.highest.max(ledger.epoch());
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.tick(now);
        }
    }

    /// Notes the result of a probe.
    pub fn probed(&mut self, server: ServerId, report: ProbeResult, now: Time) {
        if let Some(ledger) = &mut self.ledger {
            ledger.record_probe(server, report, now);
        }
    }
}
