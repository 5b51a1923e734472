//! Checks the invariants of a ledger and describes the violations.

use std::fmt;

use base::ServerId;
use base::VmId;

use crate::ledger::Ledger;
use crate::msg::AttemptId;
use crate::msg::Warmth;
use crate::queue::Waiter;

/// A violated invariant of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A server's count of calls in flight differs from the permits for it.
    Count {
        /// Id of the server.
        server: ServerId,
        /// Calls in flight according to the ledger's count.
        counted: u32,
        /// Permits that have not ended.
        permits: u32,
    },
    /// A permit request is queued although its attempt has a permit.
    QueuedAndGranted {
        /// The requesting VM.
        vm: VmId,
        /// Id of the attempt.
        call: AttemptId,
    },
    /// A limit is not between 1 and the server's slots. A server that is down may have
    /// the limit 0.
    Limit {
        /// Id of the server.
        server: ServerId,
        /// The server's limit.
        limit: u32,
        /// The server's slots.
        slots: u32,
    },
    /// The queue is not sorted by precedence, VM and attempt; or two requests without a
    /// ranking are not in the order of their class and deadline.
    Order {
        /// Index of the request that the next one should precede.
        index: usize,
    },
    /// The ledger's servers are not those of the configuration.
    Servers,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Count {
                server,
                counted,
                permits,
            } => write!(
                f,
                "server {server:x}: {counted} calls counted as in flight, but {permits} permits \
                 exist; a permit was granted or ended without an update of the count"
            ),
            Self::QueuedAndGranted { vm, call } => write!(
                f,
                "attempt {call:x} of VM {vm:x} is queued although it has a permit; \
                 it would be granted a second one"
            ),
            Self::Limit {
                server,
                limit,
                slots,
            } => write!(
                f,
                "server {server:x}: limit {limit} is not within 1 to {slots}"
            ),
            Self::Order { index } => write!(f, "the queue is out of order at index {index}"),
            Self::Servers => write!(f, "the ledger's servers are not those of the configuration"),
        }
    }
}

/// Returns all violated invariants of `ledger`; the list is empty if it is consistent.
pub fn check(ledger: &Ledger) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_servers(ledger, &mut violations);
    check_queue(ledger, &mut violations);
    violations
}

fn check_servers(ledger: &Ledger, violations: &mut Vec<Violation>) {
    let configured = ledger.spec.servers.iter().map(|server| server.id);
    if !configured.eq(ledger.servers.iter().map(|server| server.id)) {
        violations.push(Violation::Servers);
    }
    for server in &ledger.servers {
        let permits = ledger.permits.list().iter();
        let permits = permits.filter(|p| p.server == server.id).count() as u32;
        if permits != server.busy {
            violations.push(Violation::Count {
                server: server.id,
                counted: server.busy,
                permits,
            });
        }
        let slots = ledger.spec.server(server.id).map_or(0, |s| s.slots);
        let limit = server.limit.current();
        let too_low = limit == 0 && server.limit.warmth(&ledger.spec) != Warmth::Down;
        if too_low || limit > slots {
            violations.push(Violation::Limit {
                server: server.id,
                limit,
                slots,
            });
        }
    }
}

fn check_queue(ledger: &Ledger, violations: &mut Vec<Violation>) {
    let waiters = ledger.queue.list();
    for (i, waiter) in waiters.iter().enumerate() {
        if ledger.permits.get(waiter.vm, waiter.call).is_some() {
            violations.push(Violation::QueuedAndGranted {
                vm: waiter.vm,
                call: waiter.call,
            });
        }
        let next = waiters.get(i + 1);
        if next.is_some_and(|next| next.order() < waiter.order()) {
            violations.push(Violation::Order { index: i });
        }
    }
    check_classes(waiters, violations);
}

/// Checks the requests without a ranking, whose order must not depend on the others.
fn check_classes(waiters: &[Waiter], violations: &mut Vec<Violation>) {
    let unranked = waiters.iter().enumerate();
    let unranked = unranked.filter(|(_, waiter)| waiter.request.ranking.is_none());
    let key = |w: &Waiter| (w.request.class, w.late, w.deadline, w.vm, w.call);
    let keys: Vec<_> = unranked.map(|(i, waiter)| (i, key(waiter))).collect();
    for pair in keys.windows(2) {
        if pair[1].1 < pair[0].1 {
            violations.push(Violation::Order { index: pair[0].0 });
        }
    }
}
