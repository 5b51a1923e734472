//! The head object: the one value whose conditional update accepts a ticket.
//!
//! The head names each service's part, an immutable object that holds the
//! service. A ticket that touches many services is therefore accepted whole or
//! not at all. A part's key holds the number of the ticket that wrote it, so
//! no key is ever written with two contents.

use base::Revision;
use base::TicketNo;
use serde::Deserialize;
use serde::Serialize;

use crate::ticket::Domain;

/// The key of the head object.
pub const HEAD_KEY: &str = "snipepaddle/head";
/// The key of the object that lists the failure domains taken out.
pub const DOMAINS_KEY: &str = "snipepaddle/domains";
/// How many accepted tickets the head remembers.
pub const RECENT_MAX: usize = 256;

/// Returns the key of ticket `number`.
pub fn ticket_key(number: TicketNo) -> String {
    format!("snipepaddle/ticket/{number}")
}

/// Returns the key of the part that ticket `number` wrote for `service`.
pub fn part_key(service: &str, number: TicketNo) -> String {
    format!("snipepaddle/part/{service}/{number}")
}

/// Where one service's part is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    /// The service.
    pub service: String,
    /// The ticket that wrote the part.
    pub ticket: TicketNo,
    /// The digest of the part's bytes.
    pub digest: String,
}

impl PartRef {
    /// Returns the key of the part.
    pub fn key(&self) -> String {
        part_key(&self.service, self.ticket)
    }
}

/// An accepted ticket, as the audit record keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedTicket {
    /// The ticket's number.
    pub ticket: TicketNo,
    /// The digest of the ticket.
    pub digest: String,
    /// Who wrote the ticket.
    pub by: String,
    /// Who applied it: the name of the access token.
    pub applied: String,
    /// When, in seconds since 1970 by the clock of the VM that took it.
    pub at: u64,
    /// The head's revision that it made.
    pub revision: Revision,
}

/// The head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Counts accepted tickets; it only grows.
    pub revision: Revision,
    /// The parts, sorted by service.
    pub entries: Vec<PartRef>,
    /// The failure domains, sorted by name.
    pub domains: Vec<Domain>,
    /// The last accepted tickets, the newest last.
    pub recent: Vec<AcceptedTicket>,
    /// Keys of parts that no longer count, to be deleted, the newest last.
    pub retired: Vec<String>,
}

impl Head {
    /// Returns the entry of `service`.
    pub fn part_ref(&self, service: &str) -> Option<&PartRef> {
        let at = self.find(service).ok()?;
        Some(&self.entries[at])
    }

    /// Returns whether ticket `number` with `digest` has been accepted.
    pub fn has_accepted(&self, number: TicketNo, digest: &str) -> bool {
        self.recent
            .iter()
            .any(|accepted| accepted.ticket == number && accepted.digest == digest)
    }

    /// Puts `entry` in the place of the service's old one.
    pub fn set_part(&mut self, entry: PartRef) {
        match self.find(&entry.service) {
            Ok(at) => {
                let old = std::mem::replace(&mut self.entries[at], entry);
                self.retired.push(old.key());
            }
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Removes the entry of `service`.
    pub fn remove_part(&mut self, service: &str) {
        if let Ok(at) = self.find(service) {
            let old = self.entries.remove(at);
            self.retired.push(old.key());
        }
    }

    /// Puts `domain` in the place of its old state.
    pub fn set_domain(&mut self, domain: Domain) {
        let at = self
            .domains
            .binary_search_by(|old| old.name.cmp(&domain.name));
        match at {
            Ok(at) => self.domains[at] = domain,
            Err(at) => self.domains.insert(at, domain),
        }
    }

    /// Returns the domain called `name`.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        let at = self
            .domains
            .binary_search_by(|domain| domain.name.as_str().cmp(name));
        at.ok().map(|at| &self.domains[at])
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.service.as_str().cmp(service))
    }
}
