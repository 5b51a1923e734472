//! The parts that a home holds, and what flows out of them.

use std::time::Duration;

use base::Time;
use base::VmId;

use crate::quota::without_margin;
use crate::quota::Delegation;
use crate::quota::HOLD;
use crate::quota::LANES;
use crate::quota::LEASE;

/// How long after its stamp the home uses a part: tokens that it grants then can be used for
/// as long as the rest of the lease.
const USABLE: Duration = LEASE.saturating_sub(HOLD);
/// When a part is asked for again after it was delegated.
const RENEW_DELAY: Duration = Duration::from_millis(600);
/// The share of all VMs that must have restarted for the others to be taken for restarted
/// too: some may be down for good.
const RESTARTED_SHARE: f64 = 0.9;
/// The share that shows that all VMs have restarted, with a margin for the sum of fractions.
const WHOLE_SHARE: f64 = 0.999;
/// How long it matters that a part was used: longer than parts of a new process wait.
const USED_TIME: Duration = LEASE.saturating_mul(2);
/// When a part is asked for again that was not delegated.
const COLLECT_AGAIN: Duration = Duration::from_millis(250);

/// The part of one VM.
#[derive(Clone, Debug)]
struct Part {
    vm: VmId,
    /// The stamp that the last answer named.
    stamp: Time,
    /// When to ask next.
    due: Time,
    share: f64,
    /// Whether an earlier process of the VM may have delegated the part to another home.
    waits: bool,
    /// The latest time at which the process of the VM can have started.
    started: Time,
    /// Until when this home or another one may have used the part.
    used_until: Time,
    /// When the lease ends for the home.
    until: Time,
}

/// The parts of all VMs at the home.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parts {
    /// Sorted by VM.
    parts: Vec<Part>,
    /// The sum of the shares.
    share: f64,
    /// Shares times seconds since the home's start, up to `at`.
    flow: f64,
    at: Time,
    /// When the first lease ends.
    first_end: Option<Time>,
    /// Whether parts that wait are used; see [`Self::resume`].
    resumed: bool,
    /// What would have flowed before [`Self::resume`], until all parts are there.
    missed: f64,
    /// Until when earlier terms of this home used parts.
    earlier_until: Time,
}

impl Parts {
    /// Returns the sum of the shares, at most that of a lane even if VMs differ on their
    /// number.
    pub(crate) fn share(&self) -> f64 {
        self.share.min(1.0 / LANES as f64)
    }

    /// Returns shares times seconds since the home's start.
    pub(crate) fn flow(&self) -> f64 {
        self.flow
    }

    /// Returns the end of the first lease that has ended by `now`.
    pub(crate) fn ended(&self, now: Time) -> Option<Time> {
        self.first_end.filter(|end| *end <= now)
    }

    /// Lets the parts flow until `now`, which no lease ends before.
    pub(crate) fn advance(&mut self, now: Time) {
        self.flow += self.share() * now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Removes the shares whose leases have ended by `now`.
    pub(crate) fn remove_ended(&mut self, now: Time) {
        let resumed = self.resumed;
        for part in &mut self.parts {
            if part.until <= now {
                part.end_use(resumed, part.until);
                part.share = 0.0;
            }
        }
        self.recount();
    }

    /// Returns which of the sorted `alive` VMs to ask now, and counts them as asked.
    pub(crate) fn take_due(&mut self, alive: &[VmId], now: Time) -> Vec<VmId> {
        let is_used = |part: &Part| part.share > 0.0 || now < part.used_until + USED_TIME;
        self.parts
            .retain(|part| is_used(part) || alive.binary_search(&part.vm).is_ok());
        let mut due = Vec::new();
        for &vm in alive {
            let index = self.find(vm).unwrap_or_else(|index| {
                self.parts.insert(index, Part::new(vm, now));
                index
            });
            let part = &mut self.parts[index];
            if part.due <= now {
                part.due = now + COLLECT_AGAIN;
                due.push(vm);
            }
        }
        due
    }

    /// Returns whether to ask `vm` now, which can delegate its part from now on.
    pub(crate) fn take_offer(&mut self, vm: VmId, now: Time) -> bool {
        let Ok(index) = self.find(vm) else {
            return false;
        };
        let part = &mut self.parts[index];
        if part.share > 0.0 {
            return false;
        }
        part.due = now + COLLECT_AGAIN;
        true
    }

    /// Records that `vm` delegated `share` in answer to `stamp`. Returns whether the answer
    /// counts: a repeated or outdated one does not.
    pub(crate) fn delegate(
        &mut self,
        vm: VmId,
        stamp: Time,
        delegation: &Delegation,
        now: Time,
    ) -> bool {
        let share = delegation.share;
        let Ok(index) = self.find(vm) else {
            return false;
        };
        let part = &mut self.parts[index];
        if stamp <= part.stamp || now < stamp {
            return false;
        }
        part.stamp = stamp;
        let until = stamp + USABLE;
        if share > 0.0 && now < until {
            part.end_use(self.resumed, now);
            let unused = without_margin(delegation.unused);
            part.used_until = part.used_until.max(now.saturating_sub(unused));
            part.started = now.saturating_sub(without_margin(delegation.age));
            part.share = share;
            part.waits = delegation.waits;
            part.until = until;
            part.due = stamp + RENEW_DELAY;
        }
        self.recount();
        true
    }

    /// Uses parts that wait if nearly all VMs have just restarted: then hardly any home from
    /// before is left that could use them too.
    ///
    /// Once all VMs are known to have restarted there is none, so nothing has used the parts
    /// since the last VM started. What would have flowed out of them until they were resumed
    /// then does so.
    pub(crate) fn resume(&mut self, now: Time) {
        let share = self.waiting_share();
        if !self.resumed && share >= RESTARTED_SHARE / LANES as f64 {
            self.missed = self.missed_flow(now);
            self.resumed = true;
            self.recount();
        }
        if self.resumed && share >= WHOLE_SHARE / LANES as f64 {
            self.flow += std::mem::take(&mut self.missed);
        }
    }

    /// Returns up to when this home used parts, or may have; `None` if it never did.
    pub(crate) fn last_use(&self, now: Time) -> Option<Time> {
        if self.share > 0.0 {
            return Some(now);
        }
        let ends = self.parts.iter().map(|part| part.used_until);
        let last = ends.fold(self.earlier_until, Time::max);
        (last > Time::ZERO).then_some(last)
    }

    fn waiting(&self) -> impl Iterator<Item = &Part> {
        let held = self.parts.iter().filter(|part| part.share > 0.0);
        held.filter(|part| part.waits)
    }

    fn waiting_share(&self) -> f64 {
        self.waiting().map(|part| part.share).sum()
    }

    /// Returns what would have flowed out of the parts that wait since the last of their VMs
    /// started, as far as no home used them.
    fn missed_flow(&self, now: Time) -> f64 {
        let started = self.waiting().map(|part| part.started).max();
        let started = started.map_or(now, |started| started.max(self.earlier_until));
        let missed = self.waiting().map(|part| {
            let since = started.max(part.used_until);
            part.share * now.saturating_sub(since).as_secs_f64()
        });
        let share = self.waiting_share().max(f64::MIN_POSITIVE);
        missed.sum::<f64>() * (1.0 / (LANES as f64 * share)).min(1.0)
    }

    /// Gives up all parts.
    pub(crate) fn clear(&mut self, now: Time) {
        let resumed = self.resumed;
        for part in &mut self.parts {
            part.end_use(resumed, now);
        }
        let last = self.parts.iter().map(|part| part.used_until).max();
        *self = Self {
            earlier_until: self.earlier_until.max(last.unwrap_or(Time::ZERO)),
            ..Self::default()
        };
    }

    /// Returns the VMs whose parts the home holds.
    pub(crate) fn delegators(&self) -> impl Iterator<Item = VmId> + '_ {
        let held = self.parts.iter().filter(|part| part.share > 0.0);
        held.map(|part| part.vm)
    }

    fn find(&self, vm: VmId) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&vm, |part| part.vm)
    }

    fn recount(&mut self) {
        let held = self.parts.iter().filter(|part| part.share > 0.0);
        self.first_end = held.clone().map(|part| part.until).min();
        // A VM that restarts later by itself waits again.
        self.resumed &= held.clone().any(|part| part.waits);
        let used = held.filter(|part| self.resumed || !part.waits);
        self.share = used.map(|part| part.share).sum();
    }
}

impl Part {
    /// Creates a part that has not been delegated. Answers to stamps before `now` are to
    /// another home or an earlier term of this one.
    fn new(vm: VmId, now: Time) -> Self {
        Self {
            vm,
            stamp: now.saturating_sub(Duration::from_nanos(1)),
            due: now,
            share: 0.0,
            waits: false,
            started: now,
            used_until: Time::ZERO,
            until: Time::ZERO,
        }
    }

    /// Records that the home used the part, if it did, until `now`.
    fn end_use(&mut self, resumed: bool, now: Time) {
        if self.share > 0.0 && (resumed || !self.waits) {
            self.used_until = self.used_until.max(now);
        }
    }
}
