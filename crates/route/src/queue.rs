//! Permit requests that are queued at the home.
//!
//! They are ordered by their [`Precedence`]. Of requests without a ranking that is the
//! priority class; within a class, requests that can still meet their target latency come
//! before those that cannot, and each of the two groups is ordered by deadline.

use base::Class;
use base::Rank;
use base::ServerId;
use base::Time;
use base::VmId;

use crate::msg::AttemptId;
use crate::msg::PermitRequest;
use crate::msg::Ranking;
use crate::precedence;
use crate::precedence::Precedence;
use crate::shares::Standing;

/// The most requests of each class that are queued at one home, by class rank.
const QUEUE_MAX: [usize; 3] = [4096, 2048, 8192];
/// The share of its remaining time that a request of each class may be queued, by
/// class rank.
const WAIT_SHARE_MAX: [f64; 3] = [0.7, 0.3, 0.9];

/// A queued permit request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The VM that requests the permit.
    pub vm: VmId,
    /// The attempt that the permit is for.
    pub call: AttemptId,
    /// The request.
    pub request: PermitRequest,
    /// The deadline for the complete response to the call.
    pub deadline: Time,
    /// When the request is refused if it has not been granted.
    pub expires: Time,
    /// Servers that were probed for their current slowdown for this request.
    pub probed: Vec<ServerId>,
    /// When the home received the request.
    pub queued_at: Time,
    /// Until this time the request waits for a server that can respond within the
    /// target latency. After it, a slower server is chosen too.
    pub in_time_until: Time,
    /// Whether the response is expected to miss the target latency.
    pub late: bool,
    /// Until this time the request waits for the results of the probes of `probed`.
    pub probe_until: Time,
    /// How well calls of the same kind and team have been served, if the request has a
    /// ranking.
    pub standing: Standing,
}

impl Waiter {
    /// Creates the queue entry of a request that was received from `vm` at `now`.
    pub fn new(vm: VmId, call: AttemptId, request: PermitRequest, now: Time) -> Self {
        let deadline = now + request.left;
        let expires = now + request.left.mul_f64(WAIT_SHARE_MAX[request.class.rank()]);
        Self {
            vm,
            call,
            request,
            deadline,
            expires,
            probed: Vec::new(),
            queued_at: now,
            in_time_until: Time::ZERO,
            late: false,
            probe_until: Time::ZERO,
            standing: Standing::default(),
        }
    }

    /// Returns the place of the request among those that wait.
    pub fn precedence(&self) -> Precedence {
        match &self.request.ranking {
            Some(ranking) => Precedence::by_rank(ranking, self.standing, self.late, self.deadline),
            None => Precedence::by_class(self.request.class, self.late, self.deadline),
        }
    }

    /// Returns what the request is weighed by; without a ranking, the rank that follows from
    /// its class.
    pub fn ranking(&self) -> Ranking {
        self.request.ranking.unwrap_or_else(|| Ranking {
            rank: self.rank(),
            ..Ranking::default()
        })
    }

    /// Returns the priority of the request.
    pub fn rank(&self) -> Rank {
        let ranking = &self.request.ranking;
        ranking.map_or_else(|| precedence::rank_of(self.request.class), |r| r.rank)
    }

    pub(crate) fn order(&self) -> (Precedence, VmId, AttemptId) {
        (self.precedence(), self.vm, self.call)
    }
}

/// The queued permit requests, the next one to be served first.
#[derive(Clone, Debug, Default)]
pub struct Queue(Vec<Waiter>);

impl Queue {
    /// Returns the requests in the order in which they are served.
    pub fn list(&self) -> &[Waiter] {
        &self.0
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of queued requests that are served before `waiter`.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        self.0
            .partition_point(|other| other.order() < waiter.order())
    }

    /// Returns whether one more request of `class` may be queued.
    pub fn has_room(&self, class: Class) -> bool {
        let same = self.0.iter().filter(|w| w.request.class == class);
        same.count() < QUEUE_MAX[class.rank()]
    }

    /// Returns whether a request with a ranking is queued.
    pub fn is_ranked(&self) -> bool {
        self.0.iter().any(|w| w.request.ranking.is_some())
    }

    /// Sets the standing of each request with a ranking to what `standing` returns, and
    /// sorts the queue by it.
    pub fn reorder(&mut self, standing: impl Fn(&Ranking) -> Standing) {
        for waiter in &mut self.0 {
            if let Some(ranking) = &waiter.request.ranking {
                waiter.standing = standing(ranking);
            }
        }
        self.0.sort_by_key(Waiter::order);
    }

    /// Returns whether a request of `vm` for this attempt is queued.
    pub fn contains(&self, vm: VmId, call: AttemptId) -> bool {
        self.0.iter().any(|w| w.vm == vm && w.call == call)
    }

    /// Inserts a request at its place in the order.
    pub fn add(&mut self, waiter: Waiter) {
        let i = self.ahead_of(&waiter);
        self.0.insert(i, waiter);
    }

    /// Removes and returns the request at `index`.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of bounds.
    pub fn remove(&mut self, index: usize) -> Waiter {
        self.0.remove(index)
    }

    /// Removes and returns all requests that satisfy `predicate`.
    pub fn extract_if(&mut self, predicate: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let all = std::mem::take(&mut self.0);
        let (out, kept) = all.into_iter().partition(predicate);
        self.0 = kept;
        out
    }
}
