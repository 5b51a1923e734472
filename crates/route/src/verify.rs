//! Checks the invariants of a ledger and explains which one is broken.

use std::fmt;

use base::ServerId;
use base::VmId;

use crate::ledger::Ledger;
use crate::msg::AttemptId;
use crate::msg::Warmth;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The count of a server differs from the permits that are out for it.
    Count {
        /// The server.
        server: ServerId,
        /// What the ledger counts.
        counted: u32,
        /// The permits that are out.
        permits: u32,
    },
    /// An attempt waits although it has a permit.
    QueuedAndGranted {
        /// The VM.
        vm: VmId,
        /// The attempt.
        call: AttemptId,
    },
    /// A limit is outside of what the server may bear.
    Limit {
        /// The server.
        server: ServerId,
        /// The limit.
        limit: u32,
        /// The server's slots.
        slots: u32,
    },
    /// The queue is not in its order.
    Order {
        /// The place where the order breaks.
        index: usize,
    },
    /// The servers are not those of the specification.
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
                "server {server:x}: {counted} calls counted, but {permits} permits are out; \
                 a permit was given or ended without its count"
            ),
            Self::QueuedAndGranted { vm, call } => write!(
                f,
                "attempt {call:x} of VM {vm:x} waits although it has a permit; \
                 it would be granted twice"
            ),
            Self::Limit {
                server,
                limit,
                slots,
            } => write!(
                f,
                "server {server:x}: limit {limit} is not within 1 to {slots}"
            ),
            Self::Order { index: at } => write!(f, "the queue is out of order at place {at}"),
            Self::Servers => write!(f, "the servers are not those of the specification"),
        }
    }
}

/// Returns all broken invariants of `ledger`.
pub fn check(ledger: &Ledger) -> Vec<Violation> {
    let mut broken = Vec::new();
    check_servers(ledger, &mut broken);
    check_queue(ledger, &mut broken);
    broken
}

fn check_servers(ledger: &Ledger, broken: &mut Vec<Violation>) {
    let known = ledger.spec.servers.iter().map(|server| server.id);
    if !known.eq(ledger.servers.iter().map(|server| server.id)) {
        broken.push(Violation::Servers);
    }
    for server in &ledger.servers {
        let permits = ledger.permits.list().iter();
        let permits = permits.filter(|p| p.server == server.id).count() as u32;
        if permits != server.busy {
            broken.push(Violation::Count {
                server: server.id,
                counted: server.busy,
                permits,
            });
        }
        let slots = ledger.spec.server(server.id).map_or(0, |s| s.slots);
        let limit = server.limit.current();
        let low = limit == 0 && server.limit.warmth(&ledger.spec) != Warmth::Down;
        if low || limit > slots {
            broken.push(Violation::Limit {
                server: server.id,
                limit,
                slots,
            });
        }
    }
}

fn check_queue(ledger: &Ledger, broken: &mut Vec<Violation>) {
    let waiters = ledger.queue.list();
    for (at, waiter) in waiters.iter().enumerate() {
        if ledger.permits.get(waiter.vm, waiter.call).is_some() {
            broken.push(Violation::QueuedAndGranted {
                vm: waiter.vm,
                call: waiter.call,
            });
        }
        let later = waiters.get(at + 1);
        let key = |w: &crate::queue::Waiter| (w.request.class, w.deadline, w.vm, w.call);
        if later.is_some_and(|next| key(next) < key(waiter)) {
            broken.push(Violation::Order { index: at });
        }
    }
}
