//! A numbered change ticket, as an operator writes it.

use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::server::Server;
use crate::service::Service;
use crate::validation::check_name;
use crate::validation::check_unique;
use crate::validation::ValidationErrors;

/// A failure domain as a ticket describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// The name, unique in the deployment.
    pub name: String,
    /// The region that it stands in.
    #[serde(default)]
    pub region: String,
    /// The ticket that wrote this domain; operators leave it out.
    #[serde(default, skip_serializing_if = "crate::server::is_zero")]
    pub ticket: TicketNo,
}

/// A backend server that a ticket changes without touching its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChange {
    /// The service that the server belongs to.
    pub service: String,
    /// The whole new state of the server.
    #[serde(flatten)]
    pub server: Server,
}

/// A ticket: the whole new state of everything it touches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The number; a ticket never changes once it has one.
    #[serde(rename = "ticket")]
    pub number: TicketNo,
    /// Who wrote it.
    pub by: String,
    /// What it is for.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
    /// Failure domains that it adds or changes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub domains: Vec<Domain>,
    /// Services that it adds or replaces, with all their servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// Backend servers that it adds or replaces in services it leaves alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerChange>,
    /// Services that it removes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<String>,
}

impl Ticket {
    /// Makes a ticket that touches nothing yet.
    pub fn new(number: TicketNo, by: &str) -> Self {
        Self {
            number,
            by: by.into(),
            note: String::new(),
            domains: Vec::new(),
            services: Vec::new(),
            servers: Vec::new(),
            remove: Vec::new(),
        }
    }

    /// Checks the ticket on its own, without the state it will meet.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        let mut faults = ValidationErrors::new();
        let touched =
            self.domains.len() + self.services.len() + self.servers.len() + self.remove.len();
        faults.require(self.number > 0, "ticket", "the number must be at least 1");
        faults.require(!self.by.is_empty(), "by", "empty; write who asks for this");
        faults.require(touched > 0, "(document)", "the ticket touches nothing");
        for (i, domain) in self.domains.iter().enumerate() {
            check_name(&mut faults, &format!("domains[{i}].name"), &domain.name);
        }
        for (i, service) in self.services.iter().enumerate() {
            service.check(&mut faults, &format!("services[{i}]"));
        }
        for (i, change) in self.servers.iter().enumerate() {
            change.server.check(&mut faults, &format!("servers[{i}]"));
        }
        self.check_twice(&mut faults);
        faults.into_result(())
    }

    fn check_twice(&self, faults: &mut ValidationErrors) {
        let domains = self.domains.iter().map(|domain| domain.name.as_str());
        check_unique(faults, "domains", domains);
        let services = self.services.iter().map(|service| service.name.as_str());
        let removed = self.remove.iter().map(String::as_str);
        check_unique(faults, "services", services.clone().chain(removed.clone()));
        let full: Vec<_> = services.chain(removed).collect();
        for (i, change) in self.servers.iter().enumerate() {
            faults.require(
                !full.contains(&change.service.as_str()),
                format!("servers[{i}].service"),
                format!(
                    "\"{}\" is also under services or remove; write the server there",
                    change.service
                ),
            );
        }
        let keys: Vec<_> = self
            .servers
            .iter()
            .map(|change| format!("{}/{}", change.service, change.server.name))
            .collect();
        check_unique(faults, "servers", keys.iter().map(String::as_str));
    }

    /// Returns the digest that tells two tickets with one number apart.
    pub fn digest(&self) -> String {
        let text = serde_json::to_vec(self).unwrap_or_default();
        blake3::hash(&text).to_hex().to_string()
    }

    /// Returns the names of the services that it touches, sorted.
    pub fn touched_services(&self) -> Vec<&str> {
        let mut names: Vec<_> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .chain(self.servers.iter().map(|change| change.service.as_str()))
            .chain(self.remove.iter().map(String::as_str))
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
