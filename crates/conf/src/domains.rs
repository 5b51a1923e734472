//! Domain orders, by which operators take failure domains out of service.
//!
//! The domain orders are stored in an object of their own, so that taking a domain
//! out never waits for a ticket, however large. See
//! `docs/design/configuration.md`.

use base::Revision;
use serde::Deserialize;
use serde::Serialize;

/// The last domain order that an operator gave for one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOrder {
    /// The name of the failure domain.
    pub domain: String,
    /// True if the order takes the domain out of service, false if it puts the domain
    /// back in.
    pub out: bool,
    /// The name of the access token with which the order was given.
    pub by: String,
    /// When the order was given, in seconds since the Unix epoch by the clock of the VM
    /// that accepted the order.
    pub at: u64,
}

/// The domain orders in force, one for each domain that has ever been taken out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOrders {
    /// The number of orders that changed something; increases by one with each.
    pub revision: Revision,
    /// The orders, sorted by domain name.
    pub orders: Vec<DomainOrder>,
}

impl DomainOrders {
    /// Returns whether `domain` is out of service.
    pub fn is_out(&self, domain: &str) -> bool {
        self.find(domain).is_ok_and(|index| self.orders[index].out)
    }

    /// Replaces the order of the same domain by `order`.
    ///
    /// Returns false and keeps the old order if the domain is already in the
    /// ordered state.
    pub fn set(&mut self, order: DomainOrder) -> bool {
        match self.find(&order.domain) {
            Ok(index) if self.orders[index].out == order.out => return false,
            Ok(index) => self.orders[index] = order,
            Err(_) if !order.out => return false,
            Err(index) => self.orders.insert(index, order),
        }
        self.revision += 1;
        true
    }

    fn find(&self, domain: &str) -> Result<usize, usize> {
        self.orders
            .binary_search_by(|order| order.domain.as_str().cmp(domain))
    }
}
