//! The configuration in force: services with their servers, and failure domains.

use std::sync::Arc;

use base::Revision;
use base::ServerId;
use base::ServiceId;
use base::TicketNo;

use crate::domains::DomainOrders;
use crate::head::Head;
use crate::layout::CallerLimits;
use crate::layout::Layout;
use crate::layout::Mapping;
use crate::rollout::Rollout;
use crate::server::Mode;
use crate::server::Server;
use crate::service::CallRule;
use crate::service::Service;
use crate::team::KeyDigest;
use crate::team::KeyError;
use crate::team::Team;
use crate::team_table::TeamTable;
use crate::ticket::Domain;

/// The configuration in force on a VM. It is immutable; a change of the configuration
/// replaces the whole state.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The revision of the head object or of the layout; 0 if there is none.
    pub revision: Revision,
    /// The services, sorted by id.
    pub services: Vec<Arc<Service>>,
    /// The domain orders in force.
    pub domain_orders: DomainOrders,
    /// The failure domains, sorted by name.
    failure_domains: Vec<Domain>,
    /// The ids of `services`, in the same order.
    service_ids: Vec<ServiceId>,
    /// For each of `services`, its servers sorted by id.
    server_indexes: Vec<Vec<ServerIndex>>,
    /// The prefixes of all services or mappings, sorted.
    rules: Vec<PrefixRule>,
    layout: Option<Arc<Layout>>,
    /// The keys of the layout's teams.
    team_table: TeamTable,
    /// Whether the deployment has teams, so that a layout without any is incomplete.
    needs_teams: bool,
    /// Whether the layout says that calls are weighed by more than their class.
    weighs_calls: bool,
    /// The roll-outs, sorted by service.
    rollouts: Vec<Rollout>,
}

/// The service that a call belongs to, and how the call is treated.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The service.
    pub service: &'a Service,
    /// The mapping that matched the call; `None` if no layout is in force.
    pub mapping: Option<&'a Mapping>,
    /// How the call is treated.
    pub rule: CallRule,
    /// The team that makes the call; `None` if it needs no key, and before
    /// [`State::authenticate`].
    pub team: Option<&'a Team>,
    /// Whether the call is weighed by more than its class when there is too little room.
    pub weighed: bool,
}

/// The index of the server `id` in the server list of its service.
#[derive(Clone, Copy, Debug)]
struct ServerIndex {
    id: ServerId,
    index: usize,
}

/// A host and path prefix, with the index of the service, or of the layout's mapping,
/// that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PrefixRule {
    host: Option<String>,
    prefix: String,
    index: usize,
}

impl State {
    /// Creates the state of an accepted configuration: `head`, the `services` in its
    /// parts, and the domain orders.
    pub fn new(head: &Head, mut services: Vec<Arc<Service>>, domain_orders: DomainOrders) -> Self {
        services.sort_by_key(|service| service.id());
        let service_ids = services.iter().map(|service| service.id()).collect();
        Self {
            revision: head.revision,
            rules: prefix_rules(&services),
            server_indexes: services
                .iter()
                .map(|service| index_servers(service))
                .collect(),
            services,
            domain_orders,
            failure_domains: head.domains.clone(),
            service_ids,
            layout: None,
            team_table: TeamTable::default(),
            needs_teams: false,
            weighs_calls: false,
            rollouts: Vec::new(),
        }
    }

    /// Adds the roll-outs that are in the registry. If there are several for one service, the
    /// first one counts.
    pub fn with_rollouts(mut self, mut rollouts: Vec<Rollout>) -> Self {
        rollouts.sort_by(|a, b| a.service.cmp(&b.service));
        rollouts.dedup_by(|later, first| later.service == first.service);
        self.rollouts = rollouts;
        self
    }

    /// Returns the roll-outs, sorted by service.
    pub fn rollouts(&self) -> &[Rollout] {
        &self.rollouts
    }

    /// Returns the roll-out of the service named `service`.
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        let found = self
            .rollouts
            .binary_search_by(|r| r.service.as_str().cmp(service));
        found.ok().map(|index| &self.rollouts[index])
    }

    /// Creates the state of a `layout`. All failure domains of the servers in `services`
    /// are taken to be in `region`.
    pub fn from_layout(
        revision: Revision,
        layout: &Arc<Layout>,
        services: Vec<Arc<Service>>,
        domain_orders: DomainOrders,
        region: &str,
    ) -> Self {
        let servers = services.iter().flat_map(|service| &service.servers);
        let mut names: Vec<&str> = servers.map(|server| server.domain.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let failure_domains = names.into_iter().map(|name| Domain {
            name: name.into(),
            region: region.into(),
            ticket: 0,
        });
        let head = Head {
            revision,
            domains: failure_domains.collect(),
            ..Head::default()
        };
        let mut rules: Vec<PrefixRule> = layout
            .mappings
            .iter()
            .enumerate()
            .map(|(index, mapping)| PrefixRule {
                host: Some(mapping.host.clone()),
                prefix: mapping.prefix.clone(),
                index,
            })
            .collect();
        rules.sort_unstable();
        Self {
            rules,
            layout: Some(layout.clone()),
            team_table: TeamTable::new(layout.teams.as_deref().unwrap_or_default()),
            weighs_calls: layout.weighs_calls(),
            ..Self::new(&head, services, domain_orders)
        }
    }

    /// Returns whether any configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.revision > 0
    }

    /// Returns the ticket number of the layout in force, 0 if there is none.
    pub fn layout_ticket(&self) -> TicketNo {
        self.layout.as_ref().map_or(0, |layout| layout.ticket)
    }

    /// Returns the limits for callers, if the layout in force sets them.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.layout.as_ref()?.limits
    }

    /// Returns the teams of the layout in force; none if calls need no keys.
    pub fn teams(&self) -> &[Team] {
        let teams = self
            .layout
            .as_ref()
            .and_then(|layout| layout.teams.as_ref());
        teams.map_or(&[], Vec::as_slice)
    }

    /// Returns the service that a call belongs to and how the call is treated, or
    /// `None` if no service or mapping matches. The random number `draw`, from 0 to 1,
    /// chooses among the services of a mapping.
    pub fn route(&self, host: &str, path: &str, method: &str, draw: f64) -> Option<RouteMatch<'_>> {
        let index = self.find_index(host, path)?;
        let Some(layout) = &self.layout else {
            let service = self.services[index].as_ref();
            return Some(RouteMatch {
                service,
                mapping: None,
                rule: service.rule(method, path),
                team: None,
                weighed: false,
            });
        };
        let mapping = &layout.mappings[index];
        let service = self.service(base::id::service(mapping.pick(draw)?))?;
        Some(RouteMatch {
            service,
            mapping: Some(mapping),
            rule: mapping.rule(),
            team: None,
            weighed: self.weighs_calls,
        })
    }

    /// Sets whether the deployment has teams. Its calls are then not run while the teams
    /// are not known.
    pub fn with_needs_teams(mut self, needs_teams: bool) -> Self {
        self.needs_teams = needs_teams;
        self
    }

    /// Returns `route` with the team that holds the `key` of the call, and with that team's
    /// priority. `key` is asked for only if there are teams.
    ///
    /// A call that is open to all is run without a key too. It is a team's all the same if
    /// it carries that team's key.
    ///
    /// # Errors
    ///
    /// Fails if the call needs a key of a team and has none.
    pub fn authenticate<'a>(
        &'a self,
        route: RouteMatch<'a>,
        key: impl FnOnce() -> Option<KeyDigest>,
    ) -> Result<RouteMatch<'a>, KeyError> {
        let is_public = route.mapping.is_some_and(|mapping| mapping.public);
        let layout = self.layout.as_ref();
        let Some(teams) = layout.and_then(|layout| layout.teams.as_deref()) else {
            let is_open = is_public || !self.needs_teams;
            return is_open.then_some(route).ok_or(KeyError::NoTeams);
        };
        let found = key().and_then(|key| self.team_table.find(&key));
        match found.map(|index| &teams[index]) {
            Some(team) => Ok(RouteMatch {
                rule: team.rule(route.rule),
                team: Some(team),
                ..route
            }),
            None if is_public => Ok(route),
            None => Err(KeyError::Unknown),
        }
    }

    /// Returns whether the configuration has a service or mapping for a call to `host`
    /// and `path`, even if that mapping has no service that could serve the call.
    pub fn is_mapped(&self, host: &str, path: &str) -> bool {
        self.find_index(host, path).is_some()
    }

    /// Returns the service with `id`.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        let index = self.service_ids.binary_search(&id).ok()?;
        Some(&self.services[index])
    }

    /// Returns the service that a call to `host` and `path` belongs to, if no layout
    /// is in force.
    pub fn find_service(&self, host: &str, path: &str) -> Option<&Service> {
        self.services
            .get(self.find_index(host, path)?)
            .map(Arc::as_ref)
    }

    /// Returns the index of the service or mapping that a call to `host` and `path`
    /// belongs to.
    ///
    /// Rules for the host without its port take precedence over rules for the host
    /// with its port, and these over rules for any host. Among the rules for one
    /// host, the one with the longest matching prefix applies.
    fn find_index(&self, host: &str, path: &str) -> Option<usize> {
        let host_name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.longest_prefix(Some(host_name), path)
            .or_else(|| self.longest_prefix(Some(host), path))
            .or_else(|| self.longest_prefix(None, path))
    }

    /// Returns the index of the service or mapping whose rule for `host` has the
    /// longest prefix of `path`.
    ///
    /// The rules are sorted, so each prefix of `path` sorts before `path` or is equal
    /// to it. If the last rule that is not greater than `path` is a prefix of `path`,
    /// it is the longest one. Otherwise no matching prefix is longer than what that
    /// rule and `path` have in common, so `path` is cut to the common part and the
    /// search is repeated.
    fn longest_prefix(&self, host: Option<&str>, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            let end = self.rules.partition_point(|rule| {
                (rule.host.as_deref(), rule.prefix.as_str()) <= (host, path)
            });
            let rule = self.rules[..end].last()?;
            if rule.host.as_deref() != host {
                return None;
            }
            if path.starts_with(&rule.prefix) {
                return Some(rule.index);
            }
            path = common_prefix(&rule.prefix, path);
        }
    }

    /// Returns whether `server` may get new calls: it is not draining and its failure
    /// domain is in service.
    pub fn accepts_calls(&self, server: &Server) -> bool {
        server.mode == Mode::Active && !self.domain_orders.is_out(&server.domain)
    }

    /// Returns whether the failure domain of `server` is in `region`.
    pub fn is_in_region(&self, server: &Server, region: &str) -> bool {
        let found = self
            .failure_domains
            .binary_search_by(|domain| domain.name.as_str().cmp(&server.domain));
        found.is_ok_and(|index| self.failure_domains[index].region == region)
    }

    /// Returns the server `id` of `service`.
    pub fn server(&self, service: ServiceId, id: ServerId) -> Option<&Server> {
        let service_index = self.service_ids.binary_search(&service).ok()?;
        let indexes = &self.server_indexes[service_index];
        let i = indexes.binary_search_by_key(&id, |index| index.id).ok()?;
        self.services[service_index].servers.get(indexes[i].index)
    }

    /// Returns the names of the services whose available servers are all in `domain`,
    /// so that taking the domain out of service would leave them without a server.
    pub fn services_only_in(&self, domain: &str) -> Vec<&str> {
        self.services
            .iter()
            .filter(|service| {
                let mut active = service.servers.iter().filter(|s| self.accepts_calls(s));
                let mut remaining = active.clone().filter(|s| s.domain != domain);
                active.next().is_some() && remaining.next().is_none()
            })
            .map(|service| service.name.as_str())
            .collect()
    }
}

/// Returns the indexes of the servers of `service`, sorted by server id.
fn index_servers(service: &Service) -> Vec<ServerIndex> {
    let servers = service.servers.iter().enumerate();
    let mut indexes: Vec<ServerIndex> = servers
        .map(|(index, server)| ServerIndex {
            id: server.id(&service.name),
            index,
        })
        .collect();
    indexes.sort_unstable_by_key(|index| index.id);
    indexes
}

/// Returns the prefixes of all services, sorted.
fn prefix_rules(services: &[Arc<Service>]) -> Vec<PrefixRule> {
    let mut rules: Vec<PrefixRule> = services
        .iter()
        .enumerate()
        .flat_map(|(index, service)| {
            service.matches.iter().map(move |rule| PrefixRule {
                host: rule.host.clone(),
                prefix: rule.prefix.clone(),
                index,
            })
        })
        .collect();
    rules.sort_unstable();
    rules
}

/// Returns the longest common prefix of `path` and `prefix`, cut at a character
/// boundary of `path`.
fn common_prefix<'a>(prefix: &str, path: &'a str) -> &'a str {
    let same = prefix.bytes().zip(path.bytes()).take_while(|(a, b)| a == b);
    let mut length = same.count();
    while !path.is_char_boundary(length) {
        length -= 1;
    }
    &path[..length]
}
