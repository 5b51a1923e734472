//! Calls that wait at the home, by class, then by deadline; those that are late
//! for their target after the others of their class.

use base::Class;
use base::ServerId;
use base::Time;
use base::VmId;

use crate::msg::AttemptId;
use crate::msg::PermitRequest;

/// The most calls of each class that wait at one home, by rank.
const LENGTHS: [usize; 3] = [4096, 2048, 8192];
/// The share of its time left that a call of each class may wait, by rank.
const PATIENCE: [f64; 3] = [0.7, 0.3, 0.9];

/// A call that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The VM that asks.
    pub vm: VmId,
    /// The attempt.
    pub call: AttemptId,
    /// What is asked.
    pub request: PermitRequest,
    /// When the call has to have its whole answer.
    pub deadline: Time,
    /// Until when it may wait for a permit.
    pub expires: Time,
    /// Servers that were asked for their pace on its behalf.
    pub probed: Vec<ServerId>,
    /// When it asked.
    pub queued_at: Time,
    /// Until when it waits for a server that answers within its target rather
    /// than go to a slow one.
    pub in_time_until: Time,
    /// Whether its answer will come later than it is worth most.
    pub late: bool,
    /// Until when it waits for news of a server that is not slow now.
    pub probe_until: Time,
}

impl Waiter {
    /// Makes a waiter out of what `vm` asked at `now`.
    pub fn new(vm: VmId, call: AttemptId, ask: PermitRequest, now: Time) -> Self {
        let due = now + ask.left;
        let until = now + ask.left.mul_f64(PATIENCE[ask.class.rank()]);
        Self {
            vm,
            call,
            request: ask,
            deadline: due,
            expires: until,
            probed: Vec::new(),
            queued_at: now,
            in_time_until: Time::ZERO,
            late: false,
            probe_until: Time::ZERO,
        }
    }

    fn order(&self) -> (Class, bool, Time, VmId, AttemptId) {
        (
            self.request.class,
            self.late,
            self.deadline,
            self.vm,
            self.call,
        )
    }
}

/// The calls that wait, the next one first.
#[derive(Clone, Debug, Default)]
pub struct Queue(Vec<Waiter>);

impl Queue {
    /// Returns the calls in the order in which they are served.
    pub fn list(&self) -> &[Waiter] {
        &self.0
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns how many wait that are served before `waiter`.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        self.0
            .partition_point(|other| other.order() < waiter.order())
    }

    /// Returns whether there is room for one more of `class`.
    pub fn has_room(&self, class: Class) -> bool {
        let from = self
            .0
            .partition_point(|waiter| waiter.request.class < class);
        let to = self
            .0
            .partition_point(|waiter| waiter.request.class <= class);
        to - from < LENGTHS[class.rank()]
    }

    /// Returns whether an attempt waits.
    pub fn contains(&self, vm: VmId, call: AttemptId) -> bool {
        self.0.iter().any(|w| w.vm == vm && w.call == call)
    }

    /// Adds a call.
    pub fn add(&mut self, waiter: Waiter) {
        let at = self.ahead_of(&waiter);
        self.0.insert(at, waiter);
    }

    /// Removes and returns the call at place `at`.
    pub fn remove(&mut self, at: usize) -> Waiter {
        self.0.remove(at)
    }

    /// Removes and returns the calls for which `ended` holds.
    pub fn extract_if(&mut self, ended: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let all = std::mem::take(&mut self.0);
        let (out, kept) = all.into_iter().partition(ended);
        self.0 = kept;
        out
    }
}
