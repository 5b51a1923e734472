//! The state in force: services with their servers, and failure domains.

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
use crate::server::Mode;
use crate::server::Server;
use crate::service::CallRule;
use crate::service::Service;
use crate::ticket::Domain;

/// What one VM works by at one moment; it is replaced whole, never changed.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The revision of the head object.
    pub revision: Revision,
    /// The services, sorted by id.
    pub services: Vec<Arc<Service>>,
    /// The orders about failure domains.
    pub domain_orders: DomainOrders,
    regions: Vec<Domain>,
    ids: Vec<ServiceId>,
    places: Vec<Vec<Place>>,
    rules: Vec<Prefix>,
    layout: Option<Arc<Layout>>,
}

/// Where a call goes and how it is treated there.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The service.
    pub service: &'a Service,
    /// The route, where a layout is in force.
    pub mapping: Option<&'a Mapping>,
    /// How the call is treated.
    pub rule: CallRule,
}

/// Where the server with an id is among those of its service.
#[derive(Clone, Copy, Debug)]
struct Place {
    id: ServerId,
    at: usize,
}

/// One prefix, and where the service or the route that it belongs to is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Prefix {
    host: Option<String>,
    prefix: String,
    at: usize,
}

impl State {
    /// Makes the state of `head`, whose parts hold `services`.
    pub fn new(head: &Head, mut services: Vec<Arc<Service>>, domains: DomainOrders) -> Self {
        services.sort_by_key(|service| service.id());
        let ids = services.iter().map(|service| service.id()).collect();
        Self {
            revision: head.revision,
            rules: rules(&services),
            places: services.iter().map(|service| places(service)).collect(),
            services,
            domain_orders: domains,
            regions: head.domains.clone(),
            ids,
            layout: None,
        }
    }

    /// Makes the state of `layout`, whose servers all stand in `region`.
    pub fn from_layout(
        revision: Revision,
        layout: &Arc<Layout>,
        services: Vec<Arc<Service>>,
        domains: DomainOrders,
        region: &str,
    ) -> Self {
        let servers = services.iter().flat_map(|service| &service.servers);
        let mut names: Vec<&str> = servers.map(|server| server.domain.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let regions = names.into_iter().map(|name| Domain {
            name: name.into(),
            region: region.into(),
            ticket: 0,
        });
        let head = Head {
            revision,
            domains: regions.collect(),
            ..Head::default()
        };
        let mut rules: Vec<Prefix> = layout
            .mappings
            .iter()
            .enumerate()
            .map(|(at, mapping)| Prefix {
                host: Some(mapping.host.clone()),
                prefix: mapping.prefix.clone(),
                at,
            })
            .collect();
        rules.sort_unstable();
        Self {
            rules,
            layout: Some(layout.clone()),
            ..Self::new(&head, services, domains)
        }
    }

    /// Returns whether any configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.revision > 0
    }

    /// Returns the ticket of the layout in force, 0 where there is none.
    pub fn layout_ticket(&self) -> TicketNo {
        self.layout.as_ref().map_or(0, |layout| layout.ticket)
    }

    /// Returns what callers may send, where a layout says so.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.layout.as_ref()?.limits
    }

    /// Returns where a call goes; `draw` from 0 to 1 chooses among the services
    /// of a route.
    pub fn route(&self, host: &str, path: &str, method: &str, draw: f64) -> Option<RouteMatch<'_>> {
        let at = self.locate(host, path)?;
        let Some(layout) = &self.layout else {
            let service = self.services[at].as_ref();
            return Some(RouteMatch {
                service,
                mapping: None,
                rule: service.rule(method, path),
            });
        };
        let mapping = &layout.mappings[at];
        let service = self.service(base::id::service(mapping.pick(draw)?))?;
        Some(RouteMatch {
            service,
            mapping: Some(mapping),
            rule: mapping.rule(),
        })
    }

    /// Returns the service with `id`.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        let at = self.ids.binary_search(&id).ok()?;
        Some(&self.services[at])
    }

    /// Returns the service that a call to `host` and `path` is for, where no
    /// layout is in force.
    pub fn find_service(&self, host: &str, path: &str) -> Option<&Service> {
        self.services.get(self.locate(host, path)?).map(Arc::as_ref)
    }

    /// Returns the place of the service or route that a call to `host` and
    /// `path` is for: the one with the longest prefix, one with a host before
    /// one without.
    fn locate(&self, host: &str, path: &str) -> Option<usize> {
        let bare = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.longest(Some(bare), path)
            .or_else(|| self.longest(Some(host), path))
            .or_else(|| self.longest(None, path))
    }

    /// Returns the service whose rule for `host` has the longest prefix of
    /// `path`.
    ///
    /// The greatest rule that is not above the path either is a prefix of it,
    /// or no longer one than what both begin with can be; so the path is cut
    /// to that and looked up again.
    fn longest(&self, host: Option<&str>, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            let below = self.rules.partition_point(|rule| {
                (rule.host.as_deref(), rule.prefix.as_str()) <= (host, path)
            });
            let rule = self.rules[..below].last()?;
            if rule.host.as_deref() != host {
                return None;
            }
            if path.starts_with(&rule.prefix) {
                return Some(rule.at);
            }
            path = common(&rule.prefix, path);
        }
    }

    /// Returns whether `server` may get new work.
    pub fn accepts_calls(&self, server: &Server) -> bool {
        server.mode == Mode::Active && !self.domain_orders.is_out(&server.domain)
    }

    /// Returns whether `server` stands in `region`.
    pub fn is_in_region(&self, server: &Server, region: &str) -> bool {
        let found = self
            .regions
            .binary_search_by(|domain| domain.name.as_str().cmp(&server.domain));
        found.is_ok_and(|at| self.regions[at].region == region)
    }

    /// Returns the server with `id` of `service`.
    pub fn server(&self, service: ServiceId, id: ServerId) -> Option<&Server> {
        let at = self.ids.binary_search(&service).ok()?;
        let places = &self.places[at];
        let place = places.binary_search_by_key(&id, |place| place.id).ok()?;
        self.services[at].servers.get(places[place].at)
    }

    /// Returns the services that would have no server left if `domain` was out.
    pub fn services_only_in(&self, domain: &str) -> Vec<&str> {
        self.services
            .iter()
            .filter(|service| {
                let mut works = service.servers.iter().filter(|s| self.accepts_calls(s));
                let mut left = works.clone().filter(|s| s.domain != domain);
                works.next().is_some() && left.next().is_none()
            })
            .map(|service| service.name.as_str())
            .collect()
    }
}

/// Returns where the servers of `service` are, sorted by id.
fn places(service: &Service) -> Vec<Place> {
    let servers = service.servers.iter().enumerate();
    let mut places: Vec<Place> = servers
        .map(|(at, server)| Place {
            id: server.id(&service.name),
            at,
        })
        .collect();
    places.sort_unstable_by_key(|place| place.id);
    places
}

fn rules(services: &[Arc<Service>]) -> Vec<Prefix> {
    let mut rules: Vec<Prefix> = services
        .iter()
        .enumerate()
        .flat_map(|(at, service)| {
            service.matches.iter().map(move |known| Prefix {
                host: known.host.clone(),
                prefix: known.prefix.clone(),
                at,
            })
        })
        .collect();
    rules.sort_unstable();
    rules
}

/// Returns the part of `path` with which `prefix` begins too.
fn common<'a>(prefix: &str, path: &'a str) -> &'a str {
    let same = prefix.bytes().zip(path.bytes()).take_while(|(a, b)| a == b);
    let mut length = same.count();
    while !path.is_char_boundary(length) {
        length -= 1;
    }
    &path[..length]
}
