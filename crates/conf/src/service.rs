//! One service: which calls belong to it, how they are treated, who serves them.

use std::time::Duration;

use base::units::Span;
use base::Class;
use base::ServiceId;
use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::server::is_zero;
use crate::server::Server;
use crate::validation::check_name;
use crate::validation::check_unique;
use crate::validation::ValidationErrors;

/// Servers that a call may be sent to where no route says otherwise.
const ATTEMPTS_MAX: u32 = 3;
/// The longest deadline that a service may have.
const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// Which calls a rule is for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Match {
    /// The host that the call names; any host if it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The start of the path, such as `/plans`.
    pub prefix: String,
}

/// What differs from the service's rule for some of its calls.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The start of the path that this route is for.
    pub prefix: String,
    /// The methods that this route is for; all of them if it is empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The class in place of the service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// The longest time to the whole answer, in place of the service's.
    #[serde_as(as = "Option<Span>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// Whether such a call may run twice, in place of what its method says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
}

/// How a server that has just started is brought to full load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Calls in flight that a server bears when it has just started.
    #[serde(default = "one")]
    pub limit: u32,
    /// Healthy answers after which the limit grows by one.
    #[serde(default = "grow_after")]
    pub grow: u32,
}

fn one() -> u32 {
    1
}

fn grow_after() -> u32 {
    16
}

impl Default for SlowStart {
    fn default() -> Self {
        Self {
            limit: one(),
            grow: grow_after(),
        }
    }
}

/// How servers are asked for their health when no call tells it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The path to ask for.
    #[serde(default = "probe_path")]
    pub path: String,
    /// The slot time that one probe costs the server.
    #[serde_as(as = "Span")]
    #[serde(default = "probe_cost")]
    pub cost: Duration,
    /// The most slot time that probes may take, in hundredths of a percent.
    #[serde(default = "probe_share")]
    pub share: u32,
}

fn probe_path() -> String {
    "/health".into()
}

fn probe_cost() -> Duration {
    Duration::from_millis(6)
}

fn probe_share() -> u32 {
    100
}

impl Default for Probe {
    fn default() -> Self {
        Self {
            path: probe_path(),
            cost: probe_cost(),
            share: probe_share(),
        }
    }
}

/// One service and all its backend servers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name, unique in the deployment.
    pub name: String,
    /// Which calls are for this service; a call needs one of them.
    #[serde(rename = "match")]
    pub matches: Vec<Match>,
    /// The class of a call that no route says more about.
    #[serde(default)]
    pub class: Class,
    /// The longest time from the caller's request to the whole answer.
    #[serde_as(as = "Span")]
    pub deadline: Duration,
    /// Exceptions for some paths and methods; the first that fits counts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Whether servers queue what is beyond their slots, or refuse it.
    #[serde(default = "yes")]
    pub queues: bool,
    /// Whether calls go to the servers as HTTP/2.
    #[serde(default)]
    pub http2: bool,
    /// The most second attempts per hundred first ones, for the whole fleet.
    #[serde(default = "retry_percent")]
    pub retries: u32,
    /// The most hedged attempts per hundred first ones, for the whole fleet.
    #[serde(default)]
    pub hedges: u32,
    /// How a server that has just started is brought to full load.
    #[serde(default)]
    pub cold: SlowStart,
    /// How servers are asked for their health.
    #[serde(default)]
    pub probe: Probe,
    /// Calls a second that a cold server bears; 0 for no such bound.
    #[serde(default, skip_serializing_if = "is_none")]
    pub cold_rate: f64,
    /// For how long a server that has started is cold.
    #[serde_as(as = "Span")]
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub cold_span: Duration,
    /// Connections that each server bears from the whole fleet, where servers
    /// announce themselves; 0 if tickets name it for each server.
    #[serde(default, skip_serializing_if = "is_unset")]
    pub connections: u32,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The ticket that wrote this service; operators leave it out.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ticket: TicketNo,
}

fn yes() -> bool {
    true
}

fn is_none(rate: &f64) -> bool {
    *rate == 0.0
}

fn is_unset(connections: &u32) -> bool {
    *connections == 0
}

fn retry_percent() -> u32 {
    10
}

impl Service {
    /// Makes a service that answers calls below `prefix`.
    pub fn new(name: &str, prefix: &str, deadline: Duration) -> Self {
        Self {
            name: name.into(),
            matches: vec![Match {
                host: None,
                prefix: prefix.into(),
            }],
            class: Class::default(),
            deadline,
            routes: Vec::new(),
            queues: true,
            http2: false,
            retries: retry_percent(),
            hedges: 0,
            cold: SlowStart::default(),
            probe: Probe::default(),
            cold_rate: 0.0,
            cold_span: Duration::ZERO,
            connections: 0,
            servers: Vec::new(),
            ticket: 0,
        }
    }

    /// Returns the same service with `servers`.
    pub fn with_servers(mut self, servers: Vec<Server>) -> Self {
        self.servers = servers;
        self
    }

    /// Returns the longest deadline that a call may have.
    pub fn max_deadline(&self) -> Duration {
        let routes = self.routes.iter().filter_map(|route| route.deadline);
        routes.max().unwrap_or_default().max(self.deadline)
    }

    /// Returns the id of the service.
    pub fn id(&self) -> ServiceId {
        base::id::service(&self.name)
    }

    /// Checks the service on its own; `field` is its path.
    pub fn check(&self, faults: &mut ValidationErrors, field: &str) {
        check_name(faults, &format!("{field}.name"), &self.name);
        self.check_matches(faults, field);
        self.check_times(faults, field);
        faults.require(
            self.cold.limit >= 1 && self.cold.grow >= 1,
            format!("{field}.cold"),
            "limit and grow must be at least 1, or the server never gets work",
        );
        faults.require(
            self.probe.share <= 1000,
            format!("{field}.probe.share"),
            "more than 1000 (10%) of slot time for probes; write less",
        );
        faults.require(
            self.retries <= 100 && self.hedges <= 100,
            format!("{field}.retries"),
            "retries and hedges are percentages; write 0 to 100",
        );
        for (i, server) in self.servers.iter().enumerate() {
            server.check(faults, &format!("{field}.servers[{i}]"));
        }
        let names = self.servers.iter().map(|server| server.name.as_str());
        check_unique(faults, &format!("{field}.servers"), names);
    }

    fn check_matches(&self, faults: &mut ValidationErrors, field: &str) {
        faults.require(
            !self.matches.is_empty(),
            format!("{field}.match"),
            "no call reaches the service; write at least one {\"prefix\": \"/...\"}",
        );
        for (i, rule) in self.matches.iter().enumerate() {
            check_prefix(faults, &format!("{field}.match[{i}].prefix"), &rule.prefix);
        }
        for (i, route) in self.routes.iter().enumerate() {
            let path = format!("{field}.routes[{i}]");
            check_prefix(faults, &format!("{path}.prefix"), &route.prefix);
            for method in &route.methods {
                faults.require(
                    !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase()),
                    format!("{path}.methods"),
                    format!("\"{method}\" is not a method; write it in capitals, such as \"POST\""),
                );
            }
        }
    }

    fn check_times(&self, faults: &mut ValidationErrors, field: &str) {
        let routes = self.routes.iter().enumerate().filter_map(|(i, route)| {
            let deadline = route.deadline?;
            Some((format!("{field}.routes[{i}].deadline"), deadline))
        });
        let own = (format!("{field}.deadline"), self.deadline);
        for (path, deadline) in std::iter::once(own).chain(routes) {
            faults.require(
                !deadline.is_zero() && deadline <= DEADLINE_MAX,
                path,
                "out of range; write more than 0s and at most 600s",
            );
        }
    }

    /// Returns the rule for a call with `method` and `path`.
    pub fn rule(&self, method: &str, path: &str) -> CallRule {
        let route = self.routes.iter().find(|route| {
            path.starts_with(&route.prefix)
                && (route.methods.is_empty() || route.methods.iter().any(|m| m == method))
        });
        let by_method = matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        );
        let deadline = route.and_then(|r| r.deadline).unwrap_or(self.deadline);
        CallRule {
            class: route.and_then(|r| r.class).unwrap_or(self.class),
            deadline,
            target: deadline,
            attempts: ATTEMPTS_MAX,
            idempotent: route.and_then(|r| r.idempotent).unwrap_or(by_method),
        }
    }
}

fn check_prefix(faults: &mut ValidationErrors, field: &str, prefix: &str) {
    faults.require(
        prefix.starts_with('/'),
        field,
        format!("\"{prefix}\" does not begin with \"/\"; write the start of a path"),
    );
}

/// How one call is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// How urgent it is.
    pub class: Class,
    /// The longest time to the whole answer.
    pub deadline: Duration,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The time within which an answer is worth most to the caller; the
    /// deadline where nobody said less.
    pub target: Duration,
    /// The most servers that it may be sent to.
    pub attempts: u32,
}
