//! Which failure domains operators have taken out.
//!
//! The list is an object of its own, so that taking a domain out never waits
//! behind a ticket, however large. See `docs/design/configuration.md`.

use base::Revision;
use serde::Deserialize;
use serde::Serialize;

/// What an operator last said about one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOrder {
    /// The failure domain.
    pub domain: String,
    /// Whether it is out of service.
    pub out: bool,
    /// Who said so.
    pub by: String,
    /// When, in seconds since 1970 by the clock of the VM that took the order.
    pub at: u64,
}

/// The orders in force, one for each domain that ever had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOrders {
    /// Counts the accepted orders.
    pub revision: Revision,
    /// The orders, sorted by domain.
    pub orders: Vec<DomainOrder>,
}

impl DomainOrders {
    /// Returns whether `domain` is out of service.
    pub fn is_out(&self, domain: &str) -> bool {
        self.find(domain).is_ok_and(|at| self.orders[at].out)
    }

    /// Records `order`; returns false if it was in force already.
    pub fn set(&mut self, order: DomainOrder) -> bool {
        match self.find(&order.domain) {
            Ok(at) if self.orders[at].out == order.out => return false,
            Ok(at) => self.orders[at] = order,
            Err(_) if !order.out => return false,
            Err(at) => self.orders.insert(at, order),
        }
        self.revision += 1;
        true
    }

    fn find(&self, domain: &str) -> Result<usize, usize> {
        self.orders
            .binary_search_by(|order| order.domain.as_str().cmp(domain))
    }
}
