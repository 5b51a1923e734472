//! The layout: mappings and services as the service registry holds them.
//!
//! A [`Layout`] says which calls go to which services, and how they are treated.
//! Operators replace it as a whole by a numbered ticket in the registry. Unlike
//! the load balancer's own [`Ticket`](crate::Ticket), a layout lists no servers:
//! they announce themselves, see [`crate::catalog`]. See
//! `docs/design/platform.md`.

use std::time::Duration;

use base::Class;
use base::Rank;
use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::service::CallRule;
use crate::service::Service;
use crate::team::Team;

/// One of the services among which the calls of a mapping are split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The service's share of the calls, relative to the sum of all weights.
    pub weight: u32,
}

/// Maps the calls to a host whose paths start with a prefix to services, and says
/// how these calls are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mapping {
    /// The name, which is used in logs.
    pub name: String,
    /// The host name in the request.
    pub host: String,
    /// The prefix of the request path.
    pub prefix: String,
    /// The services among which the calls are split.
    pub shares: Vec<WeightedService>,
    /// Whether a call may be run more than once.
    pub idempotent: bool,
    /// The time limit from the request to the end of the response.
    pub timeout: Duration,
    /// The target latency: a response within this time is worth most to the caller.
    pub target: Duration,
    /// The maximum number of servers that one call may be sent to.
    pub attempts: u32,
    /// The priority class of the calls.
    pub class: Class,
    /// The priority of the calls as the configuration numbers it.
    #[serde(default)]
    pub rank: Rank,
    /// Whether calls need no key of a team.
    #[serde(default)]
    pub public: bool,
}

/// Limits on the requests and the connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    pub head: usize,
    /// The maximum size of a request body in bytes.
    pub body: usize,
    /// The time limit for a caller to send a request head.
    pub patience: Duration,
    /// The time after which an idle connection is closed.
    pub idle: Duration,
}

/// The mappings and services that one ticket puts in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// The number of the ticket that set the layout.
    pub ticket: TicketNo,
    /// The mappings from calls to services.
    pub mappings: Vec<Mapping>,
    /// The services, without servers.
    pub services: Vec<Service>,
    /// Limits for callers, in addition to those in the settings of each VM; `None` if
    /// the ticket sets none.
    pub limits: Option<CallerLimits>,
    /// The teams that may call; `None` if calls need no keys. Builds from before this field
    /// pass a layout on without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub teams: Option<Vec<Team>>,
}

impl Layout {
    /// Returns whether calls are weighed against others by more than their class: there are
    /// teams, or a class holds calls of different ranks, which it would treat alike.
    pub fn weighs_calls(&self) -> bool {
        let mut ranks: Vec<(Class, Rank)> = self
            .mappings
            .iter()
            .filter(|mapping| !mapping.shares.is_empty())
            .map(|mapping| (mapping.class, mapping.rank))
            .collect();
        ranks.sort_unstable();
        ranks.dedup();
        let folded = ranks.windows(2).any(|pair| pair[0].0 == pair[1].0);
        self.teams.is_some() || folded
    }
}

impl Mapping {
    /// Creates the mapping of calls that cannot be served, because the configuration
    /// does not say how in a way that this version can read.
    pub fn unusable(name: &str, host: &str, prefix: &str) -> Self {
        Self {
            name: name.into(),
            host: host.into(),
            prefix: prefix.into(),
            shares: Vec::new(),
            idempotent: false,
            timeout: Duration::ZERO,
            target: Duration::ZERO,
            attempts: 0,
            class: Class::Deferrable,
            rank: Rank::MAX,
            public: false,
        }
    }

    /// Returns how the mapping's calls are treated.
    pub fn rule(&self) -> CallRule {
        CallRule {
            class: self.class,
            rank: self.rank,
            deadline: self.timeout,
            idempotent: self.idempotent,
            target: self.target,
            attempts: self.attempts.max(1),
        }
    }

    /// Returns the service for a call, chosen by weight with the random number
    /// `draw` from 0 to 1; `None` if the mapping has no services.
    ///
    /// Calls for which a service has no capacity are not sent to another service of
    /// the mapping, because the weights are the operator's decision on how much
    /// each service may get.
    pub fn pick(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = draw * f64::from(total);
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| share.service.as_str())
    }
}
