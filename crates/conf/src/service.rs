//! The configuration of a service: its calls, how they are treated, and its servers.

use std::time::Duration;

use base::units::Span;
use base::Class;
use base::Rank;
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

/// The maximum number of servers that a call may be sent to where no mapping sets
/// one.
const DEFAULT_ATTEMPTS: u32 = 3;
/// The maximum deadline of a service or route.
const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// Selects the calls that belong to a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Match {
    /// The host name in the request; `None` matches any host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The prefix of the request path, such as `/plans`.
    pub prefix: String,
}

/// Overrides how some calls of a service are treated.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The prefix of the paths to which the route applies.
    pub prefix: String,
    /// The HTTP methods to which the route applies; all methods if the list is empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The priority class; `None` for that of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// The time limit from the request to the end of the response; `None` for that of
    /// the service.
    #[serde_as(as = "Option<Span>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// Whether a call may be run more than once; `None` if its method decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
}

/// How the concurrency limit of a server that has just started grows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStart {
    /// The concurrency limit of a server that has just started, in calls in flight.
    #[serde(default = "one")]
    pub limit: u32,
    /// The number of healthy responses after which the limit grows by one.
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

/// How health checks probe servers whose health is not known from calls.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The path of the probe request.
    #[serde(default = "probe_path")]
    pub path: String,
    /// The time for which one probe occupies a slot of the server.
    #[serde_as(as = "Span")]
    #[serde(default = "probe_cost")]
    pub cost: Duration,
    /// The maximum share of a server's slot time that probes take, in hundredths of a
    /// percent; 0 for no probes.
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

/// The configuration of a service and all its backend servers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name, unique in the deployment.
    pub name: String,
    /// Which calls belong to the service; a call has to match one of these.
    #[serde(rename = "match")]
    pub matches: Vec<Match>,
    /// The priority class of calls for which no route sets one.
    #[serde(default)]
    pub class: Class,
    /// The time limit from the caller's request to the end of the response, for calls
    /// for which no route sets one.
    #[serde_as(as = "Span")]
    pub deadline: Duration,
    /// Overrides for some paths and methods; the first one that matches a call
    /// applies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Whether servers queue the calls that exceed their slots; otherwise they refuse
    /// such calls.
    #[serde(default = "yes")]
    pub queues: bool,
    /// Whether calls are sent to the servers over HTTP/2 instead of HTTP/1.1.
    #[serde(default)]
    pub http2: bool,
    /// The maximum number of retries per hundred first attempts, for all entry VMs
    /// together.
    #[serde(default = "retry_percent")]
    pub retries: u32,
    /// The maximum number of hedges per hundred first attempts, for all entry VMs
    /// together.
    #[serde(default)]
    pub hedges: u32,
    /// How the concurrency limit of a server that has just started grows.
    #[serde(default)]
    pub cold: SlowStart,
    /// How health checks probe the servers.
    #[serde(default)]
    pub probe: Probe,
    /// The maximum rate of calls to a cold server in calls per second; 0 for no limit.
    #[serde(default, skip_serializing_if = "is_none")]
    pub cold_rate: f64,
    /// How long a server is cold after its start.
    #[serde_as(as = "Span")]
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub cold_span: Duration,
    /// The limit on connections to each server from all entry VMs together, for
    /// servers that announce themselves; 0 for servers listed in tickets, which have
    /// a limit each.
    #[serde(default, skip_serializing_if = "is_unset")]
    pub connections: u32,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The number of the ticket that last wrote the whole service. Operators leave it
    /// out; it is set when the ticket is applied.
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
    /// Creates a service without servers for all calls whose paths start with
    /// `prefix`.
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

    /// Returns the service with `servers` instead of its own.
    pub fn with_servers(mut self, servers: Vec<Server>) -> Self {
        self.servers = servers;
        self
    }

    /// Returns the longest deadline of the service and its routes.
    pub fn max_deadline(&self) -> Duration {
        let routes = self.routes.iter().filter_map(|route| route.deadline);
        routes.max().unwrap_or_default().max(self.deadline)
    }

    /// Returns the id, the hash of the name.
    pub fn id(&self) -> ServiceId {
        base::id::service(&self.name)
    }

    /// Checks the service's fields without regard to other objects and adds the errors
    /// to `errors`. `field` is the path of the service in the document.
    pub fn check(&self, errors: &mut ValidationErrors, field: &str) {
        check_name(errors, &format!("{field}.name"), &self.name);
        self.check_matches(errors, field);
        self.check_times(errors, field);
        errors.require(
            self.cold.limit >= 1 && self.cold.grow >= 1,
            format!("{field}.cold"),
            "limit and grow must be at least 1, or the server never gets calls",
        );
        errors.require(
            self.probe.share <= 1000,
            format!("{field}.probe.share"),
            "out of range; write 0 to 1000, which is 10% of the slot time",
        );
        errors.require(
            self.retries <= 100 && self.hedges <= 100,
            format!("{field}.retries"),
            "retries and hedges are percentages; write 0 to 100",
        );
        for (i, server) in self.servers.iter().enumerate() {
            server.check(errors, &format!("{field}.servers[{i}]"));
        }
        let names = self.servers.iter().map(|server| server.name.as_str());
        check_unique(errors, &format!("{field}.servers"), names);
    }

    fn check_matches(&self, errors: &mut ValidationErrors, field: &str) {
        errors.require(
            !self.matches.is_empty(),
            format!("{field}.match"),
            "empty, so no call reaches the service; write at least one {\"prefix\": \"/...\"}",
        );
        for (i, rule) in self.matches.iter().enumerate() {
            check_prefix(errors, &format!("{field}.match[{i}].prefix"), &rule.prefix);
        }
        for (i, route) in self.routes.iter().enumerate() {
            let path = format!("{field}.routes[{i}]");
            check_prefix(errors, &format!("{path}.prefix"), &route.prefix);
            for method in &route.methods {
                errors.require(
                    !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase()),
                    format!("{path}.methods"),
                    format!("\"{method}\" is not a method; write it in capital letters, such as \"POST\""),
                );
            }
        }
    }

    fn check_times(&self, errors: &mut ValidationErrors, field: &str) {
        let routes = self.routes.iter().enumerate().filter_map(|(i, route)| {
            let deadline = route.deadline?;
            Some((format!("{field}.routes[{i}].deadline"), deadline))
        });
        let own = (format!("{field}.deadline"), self.deadline);
        for (path, deadline) in std::iter::once(own).chain(routes) {
            errors.require(
                !deadline.is_zero() && deadline <= DEADLINE_MAX,
                path,
                "out of range; write more than 0s and at most 600s",
            );
        }
    }

    /// Returns how a call with `method` and `path` is treated.
    ///
    /// Where no route decides, a call is idempotent if RFC 9110 defines its method
    /// as such.
    pub fn rule(&self, method: &str, path: &str) -> CallRule {
        let route = self.routes.iter().find(|route| {
            path.starts_with(&route.prefix)
                && (route.methods.is_empty() || route.methods.iter().any(|m| m == method))
        });
        let idempotent_method = matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        );
        let class = route.and_then(|r| r.class).unwrap_or(self.class);
        let deadline = route.and_then(|r| r.deadline).unwrap_or(self.deadline);
        CallRule {
            class,
            rank: class.rank() as Rank,
            deadline,
            target: deadline,
            attempts: DEFAULT_ATTEMPTS,
            idempotent: route
                .and_then(|r| r.idempotent)
                .unwrap_or(idempotent_method),
        }
    }
}

fn check_prefix(errors: &mut ValidationErrors, field: &str, prefix: &str) {
    errors.require(
        prefix.starts_with('/'),
        field,
        format!("\"{prefix}\" does not start with \"/\"; write a path prefix"),
    );
}

/// How a call is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// The priority class.
    pub class: Class,
    /// The priority as the configuration numbers it, or the rank of the class.
    pub rank: Rank,
    /// The time limit from the request to the end of the response.
    pub deadline: Duration,
    /// Whether the call may be run more than once.
    pub idempotent: bool,
    /// The target latency: a response within this time is worth most to the caller.
    /// Equal to the deadline where no mapping sets it.
    pub target: Duration,
    /// The maximum number of servers that the call may be sent to.
    pub attempts: u32,
}
