//! How the home serves calls with a ranking: what it learns of them, how long they would
//! wait, and which of those in the queue it turns away.
//!
//! Requests without a ranking are served by class as before, and none of this applies to
//! them. See `docs/design/overload.md`.

use std::time::Duration;

use base::Rank;
use base::Time;

use super::Ledger;
use super::RETRY_AFTER_MIN;
use crate::msg::AttemptKind;
use crate::msg::RefusalReason;
use crate::permits::Permit;
use crate::queue::Waiter;

/// The factor by which the estimated wait of a queued call may exceed the time that it
/// has. Being above 1, it keeps calls from being queued and turned away by turns.
const EVICT_MARGIN: f64 = 1.25;
/// The longest time after which a caller is asked to repeat a call for which there was too
/// little room: nobody knows the demand of the time after.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Weight of one call in the moving average of [`Ledger::record_work`].
const PACE_WEIGHT: f64 = 0.03;
/// Cap on what one call contributes to it.
const PACE_OUTLIER: f64 = 5.0;

impl Ledger {
    /// Records a new request in the demand and the shares, and sets its standing.
    pub(super) fn record_ask(&mut self, waiter: &mut Waiter, now: Time) {
        let Some(ranking) = waiter.request.ranking else {
            return;
        };
        self.shares.ask(&ranking, now);
        waiter.standing = self.shares.standing(&ranking);
        if waiter.request.kind == AttemptKind::First {
            let work = self.service_time(waiter);
            let slack = waiter.request.goal.saturating_sub(work);
            self.demand.record(ranking.rank, work, slack, now);
        }
    }

    /// Records that a request was granted or queued.
    pub(super) fn record_serve(&mut self, waiter: &Waiter) {
        if let Some(ranking) = &waiter.request.ranking {
            self.shares.serve(ranking);
        }
    }

    /// Returns the service time to be expected for the call.
    pub(super) fn service_time(&self, waiter: &Waiter) -> Duration {
        self.work_now(waiter).unwrap_or_else(|| self.likely_time())
    }

    /// Returns how long a call takes now of which the request names the usual time.
    ///
    /// That time is an average of one VM over calls at servers of any load. The home sees
    /// the calls of all VMs, and how much longer those at full servers take.
    fn work_now(&self, waiter: &Waiter) -> Option<Duration> {
        let work = waiter.request.ranking.map(|ranking| ranking.work);
        let work = work.filter(|work| !work.is_zero())?;
        Some(work.mul_f64(self.work_pace))
    }

    /// Records the service time `took`, in seconds, of a call at a server of `slots` slots if
    /// it took the last one, as calls that had to wait do.
    pub(super) fn record_work(&mut self, permit: &Permit, took: f64, slots: u32) {
        if permit.work.is_zero() || permit.concurrent + 1 < slots {
            return;
        }
        let pace = (took / permit.work.as_secs_f64()).min(PACE_OUTLIER);
        self.work_pace += (pace - self.work_pace) * PACE_WEIGHT;
    }

    /// Returns the factor on the time of a usual call for this call.
    pub(super) fn work_factor(&self, waiter: &Waiter) -> f64 {
        let work = waiter.request.ranking.map(|ranking| ranking.work);
        match work {
            Some(work) if !work.is_zero() && self.typical_time > 0.0 => {
                work.as_secs_f64() / self.typical_time
            }
            _ => 1.0,
        }
    }

    /// Returns the estimated wait of `waiter` with `ahead` queued requests before it.
    pub(super) fn wait_of(&self, waiter: &Waiter, ahead: usize, now: Time) -> Duration {
        let Some(ranking) = waiter.request.ranking else {
            return self.estimated_wait(ahead + 1, now);
        };
        let before = self.queue.list()[..ahead].iter();
        let load: f64 = before.map(|other| self.slot_secs(other)).sum();
        let load = load + self.slot_secs(waiter);
        let room = self.room(now);
        if waiter.standing.kind_short {
            return room.time_for(load);
        }
        room.time_for(load)
            .div_f64(self.left_to(ranking.rank, &room, now))
    }

    /// Returns the time after which calls of the same rank should have room.
    ///
    /// It is the same for all calls of a rank and never shorter than for a higher one,
    /// whose queued calls go first and whose new ones take their part of the slots.
    pub(super) fn retry_after(&self, waiter: &Waiter, now: Time) -> Duration {
        let rank = waiter.rank();
        let before = self.queue.list().iter();
        let before = before.filter(|other| other.rank() <= rank);
        let load: f64 = before.map(|other| self.slot_secs(other)).sum();
        let room = self.room(now);
        let wait = room.time_for(load).div_f64(self.left_to(rank, &room, now));
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Returns whether the free slots have to be left to calls of higher ranks.
    pub(super) fn is_held_back(&self, waiter: &Waiter, now: Time) -> bool {
        let Some(ranking) = waiter.request.ranking else {
            return false;
        };
        if waiter.standing.kind_short || self.demand.above(ranking.rank, now).calls <= 0.0 {
            return false;
        }
        let slots = self.capacity(now);
        let reserve = self.demand.reserve(ranking.rank, slots, now).floor();
        if reserve < 1.0 {
            return false;
        }
        let permits = self.permits.list().iter();
        let same = permits.filter(|p| p.rank.is_none_or(|rank| rank >= ranking.rank));
        same.count() as f64 + 1.0 > slots - reserve
    }

    /// Brings the queue in line with what was served since the last call, and turns away
    /// the calls for which no room is left.
    pub(super) fn update_queue_order(&mut self, now: Time) {
        if !self.queue.is_ranked() {
            return;
        }
        let standings = self.shares.standings();
        self.queue.reorder(|ranking| standings.of(ranking));
        self.evict(now);
    }

    /// Refuses the queued calls that cannot be served in time any more, now that calls of
    /// higher precedence are queued before them.
    ///
    /// The first in the queue stays: it gets the next slot, whatever the estimate says. A
    /// call that was late from the start keeps its short wait.
    pub(super) fn evict(&mut self, now: Time) {
        let room = self.room(now);
        let mut left = (Rank::MAX, 1.0);
        let mut load = 0.0;
        let mut evicted = Vec::new();
        for waiter in self.queue.list() {
            let with_own = load + self.slot_secs(waiter);
            if left.0 != waiter.rank() {
                left = (waiter.rank(), self.left_to(waiter.rank(), &room, now));
            }
            let wait = room.time_for(with_own).div_f64(left.1);
            if load > 0.0 && is_hopeless(waiter, wait, now) {
                evicted.push((waiter.vm, waiter.call));
            } else {
                load = with_own;
            }
        }
        if evicted.is_empty() {
            return;
        }
        evicted.sort_unstable();
        let gone = |w: &Waiter| evicted.binary_search(&(w.vm, w.call)).is_ok();
        for waiter in self.queue.extract_if(gone) {
            self.counts.evicted += 1;
            self.turn_away(&waiter, RefusalReason::Overload, true, now);
        }
    }

    /// Refuses a request that was queued.
    pub(super) fn turn_away(
        &mut self,
        waiter: &Waiter,
        reason: RefusalReason,
        evicted: bool,
        now: Time,
    ) {
        let after = match &waiter.request.ranking {
            Some(ranking) => {
                self.shares.withdraw(ranking);
                self.retry_after(waiter, now)
            }
            None => self
                .estimated_wait(self.queue.len(), now)
                .max(RETRY_AFTER_MIN),
        };
        self.refuse(waiter, reason, after, evicted);
    }

    /// Returns the time for which the call keeps a slot, in seconds.
    fn slot_secs(&self, waiter: &Waiter) -> f64 {
        let work = self.work_now(waiter);
        work.map_or(self.mean_time, |work| work.as_secs_f64()) + self.idle_gap
    }

    /// Returns the room that the servers have now.
    fn room(&self, now: Time) -> Room {
        Room {
            slots: self.capacity(now),
            next: self.estimated_wait(0, now),
        }
    }

    /// Returns the part of `room` that calls above `rank` leave if they keep coming.
    fn left_to(&self, rank: Rank, room: &Room, now: Time) -> f64 {
        self.demand.left(rank, room.slots, now)
    }
}

/// What the servers can run at a time.
struct Room {
    slots: f64,
    /// The time until the rate limits of the servers allow a call.
    next: Duration,
}

impl Room {
    /// Returns the time in which the servers can spend `load` slot seconds.
    fn time_for(&self, load: f64) -> Duration {
        let slots = if self.slots > 0.0 { self.slots } else { 1.0 };
        Duration::from_secs_f64(load / slots).max(self.next)
    }
}

/// Returns whether a queued call that waits for `wait` more cannot be served in time.
fn is_hopeless(waiter: &Waiter, wait: Duration, now: Time) -> bool {
    let is_judged = waiter.request.ranking.is_some() && !waiter.late;
    let left = waiter.expires.saturating_sub(now);
    is_judged && !waiter.standing.kind_short && wait > left.mul_f64(EVICT_MARGIN)
}
