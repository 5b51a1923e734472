//! The home of the quotas: it collects the parts and grants tokens out of them.

use std::collections::VecDeque;
use std::time::Duration;

use base::TeamId;
use base::Time;
use base::VmId;

use crate::quota::bucket::Bucket;
use crate::quota::bucket::Inflow;
use crate::quota::parts::Parts;
use crate::quota::AskId;
use crate::quota::Delegation;
use crate::quota::Limit;
use crate::quota::Terms;
use crate::quota::ASK_LIMIT;
use crate::quota::CREDIT_LIFE;
use crate::quota::GIVE_BACK_LIMIT;
use crate::quota::HOLD;
use crate::quota::LANES;

/// How long a grant is remembered, so that a repeated ask takes no second token.
const RECENT_TIME: Duration = ASK_LIMIT.saturating_add(GIVE_BACK_LIMIT);

/// How long a home finds out who else there is before it judges that all VMs have restarted.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// A token that was granted a moment ago.
#[derive(Clone, Copy, Debug)]
struct Recent {
    vm: VmId,
    ask: AskId,
    team: TeamId,
    extra: u32,
    at: Time,
}

/// The home's side of the quotas.
#[derive(Clone, Debug)]
pub struct Home {
    terms: Terms,
    parts: Parts,
    /// Sorted by team.
    buckets: Vec<Bucket>,
    recent: VecDeque<Recent>,
    /// Teams whose limits were taken away lately, with the time.
    dropped: Vec<(TeamId, Time)>,
    /// The sum of the shares of credits.
    credit: f64,
    /// When this VM became the home; `None` if it is not.
    since: Option<Time>,
    /// When the last tokens that were granted ahead lapse.
    held_until: Time,
}

impl Home {
    /// Creates the state of a VM that is not the home.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            parts: Parts::default(),
            buckets: Vec::new(),
            recent: VecDeque::new(),
            dropped: Vec::new(),
            credit: 0.0,
            since: None,
            held_until: Time::ZERO,
        }
    }

    /// Returns whether this VM is the home.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the share of the quotas that the home holds.
    pub fn share(&self) -> f64 {
        self.parts.share()
    }

    /// Returns up to when this VM used parts as the home, or may have; `None` if it never did.
    pub fn last_use(&self, now: Time) -> Option<Time> {
        self.parts.last_use(now)
    }

    /// Makes this VM the home.
    pub fn start(&mut self, limits: &[Limit], now: Time) {
        self.since = Some(now);
        self.set_limits(limits, now);
    }

    /// Gives up all parts. Returns the VMs that own them, and how long tokens that were
    /// granted ahead can be used.
    pub fn stop(&mut self, now: Time) -> (Vec<VmId>, Duration) {
        let owners = self.parts.delegators().collect();
        self.parts.clear(now);
        *self = Self {
            parts: std::mem::take(&mut self.parts),
            held_until: self.held_until,
            ..Self::new(self.terms)
        };
        (owners, self.held_until.saturating_sub(now))
    }

    /// Puts the sorted `limits` in force.
    ///
    /// The bucket of a team that had no limit begins full. It begins empty if tokens of the
    /// limit may have been granted within the window: by an earlier home of this lane, or by
    /// this one before the limit was taken away for a moment.
    pub fn set_limits(&mut self, limits: &[Limit], now: Time) {
        let Some(since) = self.since else {
            return;
        };
        let span = self.terms.window + CREDIT_LIFE;
        let is_settled = now >= since + span;
        self.advance(now);
        let (terms, inflow) = (self.terms, self.inflow(now));
        let old = std::mem::take(&mut self.buckets);
        let is_limited = |team: TeamId| limits.binary_search_by_key(&team, |l| l.team).is_ok();
        let ended = old.iter().map(|bucket| bucket.limit().team);
        let ended = ended.filter(|team| !is_limited(*team));
        self.dropped.retain(|(_, at)| now < *at + span);
        self.dropped.extend(ended.map(|team| (team, now)));
        let mut known = old.into_iter().peekable();
        for limit in limits {
            while known.next_if(|b| b.limit().team < limit.team).is_some() {}
            let bucket = match known.next_if(|b| b.limit().team == limit.team) {
                Some(mut bucket) => {
                    if bucket.limit() != limit {
                        bucket.set_limit(*limit, &terms, inflow, now);
                    }
                    bucket
                }
                None => {
                    let mut bucket = Bucket::new(*limit, &terms, inflow);
                    let was_dropped = self.dropped.iter().any(|(team, _)| *team == limit.team);
                    if is_settled && !was_dropped {
                        bucket.fill_up(inflow);
                    }
                    bucket
                }
            };
            self.buckets.push(bucket);
        }
    }

    /// Returns the VMs of the sorted `alive` ones that are to be asked for their parts.
    pub fn collect(&mut self, alive: &[VmId], now: Time) -> Vec<VmId> {
        if !self.is_active() {
            return Vec::new();
        }
        self.advance(now);
        self.parts.take_due(alive, now)
    }

    /// Returns whether `vm` is to be asked for its part at once, which it offers.
    pub fn take_offer(&mut self, vm: VmId, now: Time) -> bool {
        self.is_active() && self.parts.take_offer(vm, now)
    }

    /// Records a delegation in answer to `stamp`.
    pub fn delegate(&mut self, vm: VmId, stamp: Time, delegation: Delegation, now: Time) {
        // A share that no VM owns is not one.
        let is_part = |share: f64| (0.0..=1.0).contains(&share);
        let is_valid = is_part(delegation.share) && is_part(delegation.credit);
        let Some(since) = self.since.filter(|_| is_valid) else {
            return;
        };
        self.advance(now);
        let held = self.share();
        let counts = self.parts.delegate(vm, stamp, &delegation, now);
        if counts && now < since + CREDIT_LIFE {
            self.credit += delegation.credit;
        }
        if now >= since + SETTLE_TIME {
            self.parts.resume(now);
        }
        if self.share() < held {
            self.fill_all(now);
        }
    }

    /// Grants a token of `team`, and up to `extra` more ahead; returns how many of these, or
    /// when there will be a token. What this lane lacks of a token comes out of `other`, the
    /// home of the other lane if that is this VM too.
    pub fn take(
        &mut self,
        other: Option<&mut Self>,
        (vm, ask): (VmId, AskId),
        team: TeamId,
        extra: u32,
        now: Time,
    ) -> Result<u32, Duration> {
        self.forget_recent(now);
        let is_same = |recent: &&Recent| recent.vm == vm && recent.ask == ask;
        if let Some(recent) = self.recent.iter().find(is_same) {
            return Ok(recent.extra);
        }
        self.advance(now);
        let inflow = self.inflow(now);
        let Ok(index) = self.find(team) else {
            // The configuration in force here sets no limit.
            return Ok(0);
        };
        let other = other.and_then(|other| other.bucket(team, now));
        let extra = self.buckets[index].take_with(other, extra, inflow, now)?;
        if extra > 0 {
            self.held_until = now + HOLD;
        }
        let at = now;
        self.recent.push_back(Recent {
            vm,
            ask,
            team,
            extra,
            at,
        });
        Ok(extra)
    }

    /// Takes a token back that was granted a moment ago and is not used. What this lane has
    /// no room for goes to `other`, as in [`Self::take`].
    pub fn give_back(&mut self, other: Option<&mut Self>, vm: VmId, ask: AskId, now: Time) {
        self.forget_recent(now);
        let is_same = |recent: &Recent| recent.vm == vm && recent.ask == ask;
        let Some(index) = self.recent.iter().position(is_same) else {
            return;
        };
        let Some(team) = self.recent.remove(index).map(|recent| recent.team) else {
            return;
        };
        let mut left = 1.0;
        for home in [Some(self), other].into_iter().flatten() {
            if let Some((bucket, inflow)) = home.bucket(team, now) {
                left = bucket.put_back(left, inflow, now);
            }
        }
    }

    /// Returns the bucket of `team`, with what has flowed in by `now`.
    fn bucket(&mut self, team: TeamId, now: Time) -> Option<(&mut Bucket, Inflow)> {
        if !self.is_active() {
            return None;
        }
        self.advance(now);
        let inflow = self.inflow(now);
        let index = self.find(team).ok()?;
        Some((&mut self.buckets[index], inflow))
    }

    /// Brings the parts up to `now`. Whenever a lease ended in between, all buckets are
    /// filled up to then, and cut to what is left.
    fn advance(&mut self, now: Time) {
        while let Some(end) = self.parts.ended(now) {
            self.parts.advance(end);
            self.fill_all(end);
            self.parts.remove_ended(end);
            self.fill_all(end);
        }
        self.parts.advance(now);
    }

    fn fill_all(&mut self, now: Time) {
        let inflow = self.inflow(now);
        for bucket in &mut self.buckets {
            bucket.fill(inflow, now);
        }
    }

    fn inflow(&self, now: Time) -> Inflow {
        let has_credit = self.since.is_some_and(|since| now < since + CREDIT_LIFE);
        Inflow {
            share: self.parts.share(),
            flow: self.parts.flow(),
            credit: if has_credit {
                self.credit.min(1.0 / LANES as f64)
            } else {
                0.0
            },
        }
    }

    fn find(&self, team: TeamId) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&team, |bucket| bucket.limit().team)
    }

    fn forget_recent(&mut self, now: Time) {
        let is_old = |recent: &Recent| now >= recent.at + RECENT_TIME;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
    }
}
