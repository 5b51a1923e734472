//! One backend server as a ticket describes it.

use std::net::SocketAddr;

use base::ServerId;
use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::validation::check_name;
use crate::validation::ValidationErrors;

/// The most slots one server may have; beyond it a service should be split.
const SLOTS_MAX: u32 = 1024;
/// Connections that one server bears unless the ticket says otherwise.
const CONNECTIONS: u32 = 220;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It takes work.
    #[default]
    Active,
    /// It finishes what it has and gets nothing new.
    Drain,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The name, unique within its service.
    pub name: String,
    /// The IP address and port to send calls to.
    pub address: SocketAddr,
    /// The failure domain that it stands in.
    pub domain: String,
    /// How many calls it runs at once.
    pub slots: u32,
    /// How many connections it bears from the whole fleet.
    #[serde(default = "connections")]
    pub connections: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub mode: Mode,
    /// The name that the server itself goes by; its [`Server::name`] if empty.
    #[serde(skip)]
    pub instance: String,
    /// A number that changes whenever the server says that it is cold; 0 if it
    /// is not.
    #[serde(skip)]
    pub cold: u64,
    /// Whether the server announces itself, and so would say if it was cold.
    #[serde(skip)]
    pub watched: bool,
    /// The ticket that wrote this server; operators leave it out.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ticket: TicketNo,
}

fn connections() -> u32 {
    CONNECTIONS
}

pub(crate) fn is_zero(ticket: &TicketNo) -> bool {
    *ticket == 0
}

impl Server {
    /// Makes an active server with the usual number of connections.
    pub fn new(name: &str, address: SocketAddr, domain: &str, slots: u32) -> Self {
        Self {
            name: name.into(),
            address,
            domain: domain.into(),
            slots,
            connections: CONNECTIONS,
            mode: Mode::Active,
            instance: String::new(),
            cold: 0,
            watched: false,
            ticket: 0,
        }
    }

    /// Returns the name that the server itself goes by.
    pub fn instance(&self) -> &str {
        if self.instance.is_empty() {
            &self.name
        } else {
            &self.instance
        }
    }

    /// Returns the id of this server of `service`.
    pub fn id(&self, service: &str) -> ServerId {
        base::id::server(service, &self.name)
    }

    /// Checks the server on its own; `field` is its path.
    pub fn check(&self, faults: &mut ValidationErrors, field: &str) {
        check_name(faults, &format!("{field}.name"), &self.name);
        faults.require(
            (1..=SLOTS_MAX).contains(&self.slots),
            format!("{field}.slots"),
            format!("{} is out of range; write 1 to {SLOTS_MAX}", self.slots),
        );
        faults.require(
            self.connections >= self.slots,
            format!("{field}.connections"),
            format!(
                "{} is less than the {} slots; write at least as many",
                self.connections, self.slots
            ),
        );
        faults.require(
            self.address.port() != 0,
            format!("{field}.address"),
            "port 0 cannot be called; write the port the server listens on",
        );
    }
}
