//! The configuration of one backend server.

use std::net::SocketAddr;

use base::ServerId;
use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::validation::check_name;
use crate::validation::ValidationErrors;

/// The maximum number of slots of a server; a service that needs more per server
/// should be split.
pub const MAX_SLOTS: u32 = 1024;
/// The limit on connections to a server for which the ticket sets none.
const DEFAULT_CONNECTIONS: u32 = 220;

/// Whether a server accepts new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The server accepts new calls.
    #[default]
    Active,
    /// The server finishes its calls in flight and gets no new ones.
    Drain,
}

/// The configuration of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The name, unique within the service.
    pub name: String,
    /// The IP address and port to send calls to.
    pub address: SocketAddr,
    /// The name of the server's failure domain.
    pub domain: String,
    /// The number of calls that the server runs at the same time.
    pub slots: u32,
    /// The limit on connections to the server from all entry VMs together.
    #[serde(default = "connections")]
    pub connections: u32,
    /// Whether the server accepts new calls.
    #[serde(default)]
    pub mode: Mode,
    /// The name that the server uses for itself; empty if it is the same as
    /// [`Server::name`].
    #[serde(skip)]
    pub instance: String,
    /// A number that changes each time the server announces that it is cold; 0 if
    /// the server is not cold.
    #[serde(skip)]
    pub cold: u64,
    /// Whether the server announces itself in the registry, which includes whether
    /// it is cold.
    #[serde(skip)]
    pub watched: bool,
    /// The version of the server's software; empty if it is not known.
    #[serde(skip)]
    pub version: String,
    /// The number of the ticket that last changed this server. Operators leave it
    /// out; it is set when the ticket is applied.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ticket: TicketNo,
}

fn connections() -> u32 {
    DEFAULT_CONNECTIONS
}

pub(crate) fn is_zero(ticket: &TicketNo) -> bool {
    *ticket == 0
}

impl Server {
    /// Creates an active server with the default limit on connections.
    pub fn new(name: &str, address: SocketAddr, domain: &str, slots: u32) -> Self {
        Self {
            name: name.into(),
            address,
            domain: domain.into(),
            slots,
            connections: DEFAULT_CONNECTIONS,
            mode: Mode::Active,
            instance: String::new(),
            cold: 0,
            watched: false,
            version: String::new(),
            ticket: 0,
        }
    }

    /// Returns the name that the server uses for itself.
    pub fn instance(&self) -> &str {
        if self.instance.is_empty() {
            &self.name
        } else {
            &self.instance
        }
    }

    /// Returns the id of the server within the service named `service`.
    pub fn id(&self, service: &str) -> ServerId {
        base::id::server(service, &self.name)
    }

    /// Checks the server's fields without regard to other objects and adds the errors
    /// to `errors`. `field` is the path of the server in the document.
    pub fn check(&self, errors: &mut ValidationErrors, field: &str) {
        check_name(errors, &format!("{field}.name"), &self.name);
        errors.require(
            (1..=MAX_SLOTS).contains(&self.slots),
            format!("{field}.slots"),
            format!("{} is out of range; write 1 to {MAX_SLOTS}", self.slots),
        );
        errors.require(
            self.connections >= self.slots,
            format!("{field}.connections"),
            format!(
                "{} is less than the number of slots, {}; write at least that number",
                self.connections, self.slots
            ),
        );
        errors.require(
            self.address.port() != 0,
            format!("{field}.address"),
            "port 0 is not valid; write the port that the server listens on",
        );
    }
}
