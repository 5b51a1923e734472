//! To whom a VM delegates its part of the quotas, and for how long.

use std::time::Duration;

use base::Time;
use base::VmId;

use crate::instance;
use crate::instance::InstanceId;
use crate::quota::with_margin;
use crate::quota::CREDIT_LIFE;
use crate::quota::HOLD;
use crate::quota::LANES;
use crate::quota::LEASE;

/// A process of a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lessee {
    pub(crate) vm: VmId,
    pub(crate) instance: InstanceId,
}

/// What a VM delegates, as fractions of each quota and of each credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delegation {
    /// The share of each quota.
    pub share: f64,
    /// Whether an earlier process of this VM may have delegated the part to another home.
    pub waits: bool,
    /// How long this process of the VM has run.
    pub age: Duration,
    /// How long no other home has used the share, as far as this process knows.
    pub unused: Duration,
    /// The share of each credit.
    pub credit: f64,
}

/// The delegator's side of one lane of a VM's part: at any time at most one home may use it.
#[derive(Clone, Debug)]
pub struct Delegator {
    lessee: Option<Lessee>,
    /// The latest stamp of the lessee, by its clock.
    stamp: Time,
    /// When no lease of this process runs any more.
    until: Time,
    /// When this process started.
    start: Time,
    /// When the last lease to another home than the lessee ended.
    unused_since: Time,
    /// When no lease of an earlier process runs any more.
    earlier_until: Time,
    /// The home that got the last credit.
    credited: Option<Lessee>,
    /// When a credit may be given again.
    credit_from: Time,
}

impl Delegator {
    /// Creates the delegator of a process that started at `start`. An earlier process may
    /// have delegated the part just before, so for a lease homes use it only if all VMs
    /// have restarted; see [`Delegation::waits`].
    pub fn new(start: Time, window: Duration) -> Self {
        Self {
            lessee: None,
            stamp: Time::ZERO,
            until: start,
            start,
            unused_since: start,
            earlier_until: start + with_margin(LEASE),
            credited: None,
            credit_from: start + with_margin(window + CREDIT_LIFE),
        }
    }

    /// Delegates to the process `instance` of `vm`, whose clock shows `stamp`, among `fleet`
    /// VMs; `None` for a process that is known to have ended.
    pub fn collect(
        &mut self,
        (vm, instance): (VmId, InstanceId),
        stamp: Time,
        fleet: u32,
        window: Duration,
        now: Time,
    ) -> Option<Delegation> {
        let home = Lessee { vm, instance };
        let runs = |known: &Lessee| known.vm == vm && now < self.until;
        if let Some(known) = self.lessee.filter(runs) {
            if instance::is_older(instance, known.instance) {
                return None;
            }
            if known != home {
                self.end_within(HOLD, now);
            }
        }
        let part = 1.0 / (f64::from(fleet.max(1)) * LANES as f64);
        let is_free = self.lessee == Some(home) || now >= self.until;
        if is_free {
            if self.lessee != Some(home) {
                self.unused_since = self.until;
            }
            self.until = self.until.max(now + with_margin(LEASE));
            let renewed = self.lessee == Some(home);
            self.stamp = if renewed {
                self.stamp.max(stamp)
            } else {
                stamp
            };
            self.lessee = Some(home);
        }
        let is_new = self.credited != Some(home) && now >= self.credit_from;
        if is_new {
            self.credited = Some(home);
            self.credit_from = now + with_margin(window + CREDIT_LIFE);
        }
        Some(Delegation {
            share: if is_free { part } else { 0.0 },
            waits: now < self.earlier_until,
            age: now.saturating_sub(self.start),
            unused: now.saturating_sub(self.unused_since),
            credit: if is_new { part } else { 0.0 },
        })
    }

    /// Records that a home, whose clock showed `stamp`, uses the part no longer, and that its
    /// tokens can be used for `held`. A return from before the current lease is void.
    pub fn take_back(
        &mut self,
        (vm, instance): (VmId, InstanceId),
        stamp: Time,
        held: Duration,
        now: Time,
    ) {
        if self.lessee == Some(Lessee { vm, instance }) && self.stamp <= stamp {
            self.end_within(held, now);
        }
    }

    /// Ends the lease when its tokens are gone. No token is held for longer than [`HOLD`],
    /// whatever a broken home says.
    fn end_within(&mut self, held: Duration, now: Time) {
        self.until = self.until.min(now + with_margin(held.min(HOLD)));
        self.lessee = None;
    }
}
