//! The head object, the root of the accepted configuration.
//!
//! The head refers to the part object of each service, which is immutable and
//! holds the service. A ticket is accepted by one conditional update of the head,
//! so a ticket that touches many services is accepted whole or not at all. The
//! key of a part contains the number of the ticket that wrote the part, so no
//! key that a head refers to is ever written with two contents.

use base::Revision;
use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::ticket::Domain;

/// The key of the head object.
pub const HEAD_KEY: &str = "snipepaddle/head";
/// The key of the object that holds the domain orders.
pub const DOMAINS_KEY: &str = "snipepaddle/domains";
/// How many accepted tickets, and how many retired parts, the head lists.
pub const RECENT_MAX: usize = 256;

/// Returns the store key of ticket `number`.
pub fn ticket_key(number: TicketNo) -> String {
    format!("snipepaddle/ticket/{number}")
}

/// Returns the store key of the part that ticket `number` wrote for `service`.
pub fn part_key(service: &str, number: TicketNo) -> String {
    format!("snipepaddle/part/{service}/{number}")
}

/// A reference to the part object of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    /// The name of the service.
    pub service: String,
    /// The number of the ticket that wrote the part.
    pub ticket: TicketNo,
    /// The BLAKE3 digest of the part's bytes in hexadecimal digits.
    pub digest: String,
}

impl PartRef {
    /// Returns the store key of the part.
    pub fn key(&self) -> String {
        part_key(&self.service, self.ticket)
    }
}

/// The audit record of an accepted ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedTicket {
    /// The ticket's number.
    pub ticket: TicketNo,
    /// The digest of the ticket, see [`Ticket::digest`](crate::Ticket::digest).
    pub digest: String,
    /// Who wrote the ticket, as the ticket says.
    pub by: String,
    /// The name of the access token with which the ticket was applied.
    pub applied: String,
    /// When the ticket was applied, in seconds since the Unix epoch by the clock of
    /// the VM that applied it.
    pub at: u64,
    /// The revision of the head that accepted the ticket.
    pub revision: Revision,
}

/// The content of the head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The number of accepted tickets; increases by one with each.
    pub revision: Revision,
    /// References to the parts, sorted by service name.
    pub entries: Vec<PartRef>,
    /// The failure domains, sorted by name.
    pub domains: Vec<Domain>,
    /// The last [`RECENT_MAX`] accepted tickets, the newest last.
    pub recent: Vec<AcceptedTicket>,
    /// The store keys of the last [`RECENT_MAX`] replaced or removed parts, the newest
    /// last. A part is deleted when its key is dropped from this list.
    pub retired: Vec<String>,
}

impl Head {
    /// Returns the reference to the part of `service`, `None` if there is no such
    /// service.
    pub fn part_ref(&self, service: &str) -> Option<&PartRef> {
        let index = self.find(service).ok()?;
        Some(&self.entries[index])
    }

    /// Returns whether the ticket with `number` and `digest` is among the recently
    /// accepted ones.
    pub fn has_accepted(&self, number: TicketNo, digest: &str) -> bool {
        self.recent
            .iter()
            .any(|accepted| accepted.ticket == number && accepted.digest == digest)
    }

    /// Adds the part of a service, or replaces and retires the previous one.
    pub fn set_part(&mut self, part_ref: PartRef) {
        match self.find(&part_ref.service) {
            Ok(index) => {
                let old = std::mem::replace(&mut self.entries[index], part_ref);
                self.retired.push(old.key());
            }
            Err(index) => self.entries.insert(index, part_ref),
        }
    }

    /// Removes `service` and retires its part.
    pub fn remove_part(&mut self, service: &str) {
        if let Ok(index) = self.find(service) {
            let old = self.entries.remove(index);
            self.retired.push(old.key());
        }
    }

    /// Adds a failure domain, or replaces the one of the same name.
    pub fn set_domain(&mut self, domain: Domain) {
        let index = self
            .domains
            .binary_search_by(|old| old.name.cmp(&domain.name));
        match index {
            Ok(index) => self.domains[index] = domain,
            Err(index) => self.domains.insert(index, domain),
        }
    }

    /// Returns the failure domain `name`.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        let index = self
            .domains
            .binary_search_by(|domain| domain.name.as_str().cmp(name));
        index.ok().map(|index| &self.domains[index])
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|part_ref| part_ref.service.as_str().cmp(service))
    }
}
