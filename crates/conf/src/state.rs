//! The state in force: services with their servers, and failure domains.

use std::sync::Arc;

use base::Revision;
use base::ServerId;
use base::ServiceId;

use crate::domains::Domains;
use crate::head::Head;
use crate::server::Mode;
use crate::server::Server;
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
    pub domains: Domains,
    regions: Vec<Domain>,
    ids: Vec<ServiceId>,
    places: Vec<Vec<Place>>,
    rules: Vec<Rule>,
}

/// Where the server with an id is among those of its service.
#[derive(Clone, Copy, Debug)]
struct Place {
    id: ServerId,
    at: usize,
}

/// One rule of a service, and where the service is among the services.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rule {
    host: Option<String>,
    prefix: String,
    at: usize,
}

impl State {
    /// Makes the state of `head`, whose parts hold `services`.
    pub fn new(head: &Head, mut services: Vec<Arc<Service>>, domains: Domains) -> Self {
        services.sort_by_key(|service| service.id());
        let ids = services.iter().map(|service| service.id()).collect();
        Self {
            revision: head.revision,
            rules: rules(&services),
            places: services.iter().map(|service| places(service)).collect(),
            services,
            domains,
            regions: head.domains.clone(),
            ids,
        }
    }

    /// Returns the service with `id`.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        let at = self.ids.binary_search(&id).ok()?;
        Some(&self.services[at])
    }

    /// Returns the service that a call to `host` and `path` is for: the one
    /// with the longest prefix, a rule with a host before one without.
    pub fn find(&self, host: &str, path: &str) -> Option<&Service> {
        let bare = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let at = self
            .longest(Some(bare), path)
            .or_else(|| self.longest(Some(host), path))
            .or_else(|| self.longest(None, path))?;
        Some(&self.services[at])
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
    pub fn takes_work(&self, server: &Server) -> bool {
        server.mode == Mode::Active && !self.domains.is_out(&server.domain)
    }

    /// Returns whether `server` stands in `region`.
    pub fn is_near(&self, server: &Server, region: &str) -> bool {
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
    pub fn starved_by(&self, domain: &str) -> Vec<&str> {
        self.services
            .iter()
            .filter(|service| {
                let mut works = service.servers.iter().filter(|s| self.takes_work(s));
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

fn rules(services: &[Arc<Service>]) -> Vec<Rule> {
    let mut rules: Vec<Rule> = services
        .iter()
        .enumerate()
        .flat_map(|(at, service)| {
            service.matches.iter().map(move |known| Rule {
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
