//! Routes and services as an outside system of record holds them.
//!
//! A [`Layout`] is the whole of what operators want served: which calls go to
//! which services, and how. It comes with the number of the ticket that made
//! it. Unlike a ticket of our own it names no servers; those announce
//! themselves, see [`crate::catalog`]. See `docs/design/platform.md`.

use std::time::Duration;

use base::Class;
use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::service::CallRule;
use crate::service::Service;

/// A service among which the calls of a route are shared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its part of the calls, in proportion to the other weights.
    pub weight: u32,
}

/// One route: the calls to a host below a prefix, and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mapping {
    /// The name, for logs.
    pub name: String,
    /// The host that the call names.
    pub host: String,
    /// The start of the path.
    pub prefix: String,
    /// The services among which its calls are shared.
    pub shares: Vec<WeightedService>,
    /// Whether its calls may run twice.
    pub idempotent: bool,
    /// The longest time from the request to the whole answer.
    pub timeout: Duration,
    /// The time within which an answer is worth most to its caller.
    pub target: Duration,
    /// The most servers that one call may be sent to.
    pub attempts: u32,
    /// How urgent its calls are.
    pub class: Class,
}

/// What callers may send, and for how long they may be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head: usize,
    /// The largest body of a request, in bytes.
    pub body: usize,
    /// The longest time in which a caller has to send a head.
    pub patience: Duration,
    /// The time after which an idle connection is closed.
    pub idle: Duration,
}

/// The routes and services in force under one ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// The ticket that made it.
    pub ticket: TicketNo,
    /// The routes.
    pub mappings: Vec<Mapping>,
    /// The services, without servers.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Option<CallerLimits>,
}

impl Mapping {
    /// Returns how its calls are treated.
    pub fn rule(&self) -> CallRule {
        CallRule {
            class: self.class,
            deadline: self.timeout,
            idempotent: self.idempotent,
            target: self.target,
            attempts: self.attempts.max(1),
        }
    }

    /// Returns the service for a call, with `draw` from 0 to 1.
    ///
    /// A share of which there is no room is not moved to another service: the
    /// weights are the operator's word on how much each part may get.
    pub fn pick(&self, draw: f64) -> Option<&str> {
        let all: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(all);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| share.service.as_str())
    }
}
