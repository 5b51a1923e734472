//! Tickets, the numbered configuration changes that operators write.

use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::server::Server;
use crate::service::Service;
use crate::validation::check_name;
use crate::validation::check_unique;
use crate::validation::ValidationErrors;

/// The configuration of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// The name, unique in the deployment.
    pub name: String,
    /// The name of the region that contains the domain. If it is empty, the domain
    /// keeps its region, or gets that of the VM that applies the ticket.
    #[serde(default)]
    pub region: String,
    /// The number of the ticket that last changed this domain. Operators leave it
    /// out; it is set when the ticket is applied.
    #[serde(default, skip_serializing_if = "crate::server::is_zero")]
    pub ticket: TicketNo,
}

/// A change of one backend server that leaves the rest of its service unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChange {
    /// The name of the service that the server belongs to.
    pub service: String,
    /// The whole new configuration of the server.
    #[serde(flatten)]
    pub server: Server,
}

/// A ticket, which holds the whole new configuration of each item that it touches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The number. A ticket is immutable once it has been stored under its number.
    #[serde(rename = "ticket")]
    pub number: TicketNo,
    /// Who wrote the ticket.
    pub by: String,
    /// What the ticket is for; may be empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
    /// The failure domains that the ticket adds or changes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub domains: Vec<Domain>,
    /// The services that the ticket adds or replaces, with all their servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// The backend servers that the ticket adds or replaces in services that are not
    /// under `services`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerChange>,
    /// The names of the services that the ticket removes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<String>,
}

impl Ticket {
    /// Creates a ticket that changes nothing.
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

    /// Checks the ticket without regard to the stored configuration.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        let mut errors = ValidationErrors::new();
        let item_count =
            self.domains.len() + self.services.len() + self.servers.len() + self.remove.len();
        errors.require(self.number > 0, "ticket", "the number must be at least 1");
        errors.require(
            !self.by.is_empty(),
            "by",
            "empty; write who requests the change",
        );
        errors.require(item_count > 0, "(document)", "the ticket changes nothing");
        for (i, domain) in self.domains.iter().enumerate() {
            check_name(&mut errors, &format!("domains[{i}].name"), &domain.name);
        }
        for (i, service) in self.services.iter().enumerate() {
            service.check(&mut errors, &format!("services[{i}]"));
        }
        for (i, change) in self.servers.iter().enumerate() {
            change.server.check(&mut errors, &format!("servers[{i}]"));
        }
        self.check_duplicates(&mut errors);
        errors.into_result(())
    }

    /// Checks that the ticket changes each item at most once.
    fn check_duplicates(&self, errors: &mut ValidationErrors) {
        let domains = self.domains.iter().map(|domain| domain.name.as_str());
        check_unique(errors, "domains", domains);
        let services = self.services.iter().map(|service| service.name.as_str());
        let removed = self.remove.iter().map(String::as_str);
        check_unique(errors, "services", services.clone().chain(removed.clone()));
        let replaced: Vec<_> = services.chain(removed).collect();
        for (i, change) in self.servers.iter().enumerate() {
            errors.require(
                !replaced.contains(&change.service.as_str()),
                format!("servers[{i}].service"),
                format!(
                    "\"{}\" is also under services or remove; change the server there",
                    change.service
                ),
            );
        }
        let keys: Vec<_> = self
            .servers
            .iter()
            .map(|change| format!("{}/{}", change.service, change.server.name))
            .collect();
        check_unique(errors, "servers", keys.iter().map(String::as_str));
    }

    /// Returns the BLAKE3 digest of the ticket in hexadecimal digits, which distinguishes
    /// tickets of the same number.
    pub fn digest(&self) -> String {
        let text = serde_json::to_vec(self).unwrap_or_default();
        blake3::hash(&text).to_hex().to_string()
    }

    /// Returns the names of the services that the ticket adds, changes or removes,
    /// sorted.
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
