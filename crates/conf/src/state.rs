//! The state in force: services with their servers, and failure domains.

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
    pub services: Vec<Service>,
    /// The orders about failure domains.
    pub domains: Domains,
    regions: Vec<Domain>,
    ids: Vec<ServiceId>,
}

impl State {
    /// Makes the state of `head`, whose parts hold `services`.
    pub fn new(head: &Head, mut services: Vec<Service>, domains: Domains) -> Self {
        services.sort_by_key(Service::id);
        let ids = services.iter().map(Service::id).collect();
        Self {
            revision: head.revision,
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
        let fits = |rule: &crate::service::Match| {
            let host_fits = rule.host.as_deref().is_none_or(|h| h == bare || h == host);
            (host_fits && path.starts_with(&rule.prefix))
                .then_some((rule.host.is_some(), rule.prefix.len()))
        };
        self.services
            .iter()
            .filter_map(|service| {
                let best = service.matches.iter().filter_map(fits).max()?;
                Some((best, service))
            })
            .max_by_key(|(best, _)| *best)
            .map(|(_, service)| service)
    }

    /// Returns whether `server` may get new work.
    pub fn takes_work(&self, server: &Server) -> bool {
        server.mode == Mode::Active && !self.domains.is_out(&server.domain)
    }

    /// Returns whether `server` stands in `region`, or in a domain that names
    /// no region.
    pub fn is_near(&self, server: &Server, region: &str) -> bool {
        let found = self
            .regions
            .binary_search_by(|domain| domain.name.as_str().cmp(&server.domain));
        found.is_ok_and(|at| {
            let named = &self.regions[at].region;
            named.is_empty() || named == region
        })
    }

    /// Returns the server with `id` of `service`.
    pub fn server(&self, service: ServiceId, id: ServerId) -> Option<&Server> {
        let service = self.service(service)?;
        service
            .servers
            .iter()
            .find(|server| server.id(&service.name) == id)
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
