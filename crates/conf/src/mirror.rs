//! A VM's local copy of the accepted configuration, whose revision never decreases.
//!
//! The mirror is updated with heads, parts and domain orders, which come from the
//! platform's store or from a peer. It puts a head in force only when it has all
//! parts of that head, so a ticket is never in force in part. Anything older than
//! what the mirror holds is ignored, so a stale read does no harm.

use std::sync::Arc;

use base::Revision;

use crate::domains::DomainOrders;
use crate::head::Head;
use crate::head::PartRef;
use crate::service::Service;
use crate::state::State;

/// A part, both as bytes, which are sent to peers, and decoded.
#[derive(Clone, Debug)]
struct Part {
    part_ref: PartRef,
    bytes: Vec<u8>,
    service: Arc<Service>,
}

/// Why the bytes of a part were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PartError {
    /// The bytes do not have the digest that the head gives.
    #[error(
        "the part does not have the digest given in the head; fetch it from the platform again"
    )]
    Digest,
    /// The bytes cannot be decoded as a service.
    #[error("the part cannot be decoded as a service; apply the service's ticket again under a new number")]
    Malformed,
}

/// A VM's local copy of the accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    head: Head,
    parts: Vec<Part>,
    pending: Option<PendingHead>,
    domain_orders: DomainOrders,
}

/// A head that is newer than the one in force and of which parts are missing.
#[derive(Clone, Debug)]
struct PendingHead {
    head: Head,
    /// The parts fetched for this head, sorted by service name.
    parts: Vec<Part>,
    /// The number of parts that are neither in force nor in `parts`.
    missing: usize,
}

impl Mirror {
    /// Creates an empty mirror.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the head in force, 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the head in force, an empty one if there is none.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the domain orders in force.
    pub fn domain_orders(&self) -> &DomainOrders {
        &self.domain_orders
    }

    /// Returns the bytes of the part that `part_ref` refers to, `None` if the mirror
    /// does not have that part.
    pub fn part(&self, part_ref: &PartRef) -> Option<&[u8]> {
        let pending = self.pending.as_ref();
        let part = find_part(&self.parts, part_ref)
            .or_else(|| pending.and_then(|pending| find_part(&pending.parts, part_ref)));
        part.map(|part| part.bytes.as_slice())
    }

    /// Updates the mirror with `head` and returns references to the parts that have
    /// to be fetched.
    ///
    /// A head that is older than the newest one seen, or that is in force already, is
    /// ignored. A head without missing parts comes into force at once.
    pub fn offer_head(&mut self, head: Head) -> Vec<PartRef> {
        let pending_revision = self
            .pending
            .as_ref()
            .map_or(0, |pending| pending.head.revision);
        if head.revision <= self.head.revision || head.revision < pending_revision {
            return Vec::new();
        }
        if head.revision > pending_revision {
            let fetched = self
                .pending
                .take()
                .map(|pending| pending.parts)
                .unwrap_or_default();
            let parts: Vec<Part> = fetched
                .into_iter()
                .filter(|part| refers_to(&head, &part.part_ref))
                .collect();
            let is_in_force = |part_ref: &&PartRef| find_part(&self.parts, part_ref).is_some();
            let unchanged = head.entries.iter().filter(is_in_force).count();
            let missing = head.entries.len() - unchanged - parts.len();
            self.pending = Some(PendingHead {
                head,
                parts,
                missing,
            });
        }
        self.try_activate();
        self.missing_parts()
    }

    /// Returns references to the missing parts of the newest head.
    pub fn missing_parts(&self) -> Vec<PartRef> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        pending
            .head
            .entries
            .iter()
            .filter(|part_ref| self.part(part_ref).is_none())
            .cloned()
            .collect()
    }

    /// Adds the part that `part_ref` refers to, after a check of its digest. A part
    /// that the newest head does not refer to is ignored.
    pub fn add_part(&mut self, part_ref: &PartRef, bytes: Vec<u8>) -> Result<(), PartError> {
        if part_digest(&bytes) != part_ref.digest {
            return Err(PartError::Digest);
        }
        let service = serde_json::from_slice(&bytes).map_err(|_| PartError::Malformed)?;
        if let Some(pending) = &mut self.pending {
            let wanted = pending.head.part_ref(&part_ref.service) == Some(part_ref);
            let index = part_index(&pending.parts, part_ref);
            if let (true, Err(index)) = (wanted, index) {
                let part = Part {
                    part_ref: part_ref.clone(),
                    bytes,
                    service: Arc::new(service),
                };
                pending.parts.insert(index, part);
                pending.missing -= 1;
            }
        }
        self.try_activate();
        Ok(())
    }

    /// Replaces the domain orders if `domain_orders` is newer, and returns whether it is.
    pub fn offer_domain_orders(&mut self, domain_orders: DomainOrders) -> bool {
        if domain_orders.revision <= self.domain_orders.revision {
            return false;
        }
        self.domain_orders = domain_orders;
        true
    }

    /// Puts the newest head in force if none of its parts is missing.
    fn try_activate(&mut self) {
        let Some(pending) = self.pending.take_if(|pending| pending.missing == 0) else {
            return;
        };
        let old = std::mem::take(&mut self.parts);
        let mut parts: Vec<Part> = old
            .into_iter()
            .chain(pending.parts)
            .filter(|part| refers_to(&pending.head, &part.part_ref))
            .collect();
        parts.sort_by(|a, b| a.part_ref.service.cmp(&b.part_ref.service));
        self.parts = parts;
        self.head = pending.head;
    }

    /// Builds the state that is in force.
    pub fn state(&self) -> Arc<State> {
        let services = self.parts.iter().map(|part| part.service.clone()).collect();
        Arc::new(State::new(&self.head, services, self.domain_orders.clone()))
    }
}

/// Returns the index of the part of `part_ref`'s service in `parts`, which are sorted
/// by service name, or the index at which to insert it.
fn part_index(parts: &[Part], part_ref: &PartRef) -> Result<usize, usize> {
    parts.binary_search_by(|part| part.part_ref.service.cmp(&part_ref.service))
}

fn find_part<'a>(parts: &'a [Part], part_ref: &PartRef) -> Option<&'a Part> {
    let index = part_index(parts, part_ref).ok()?;
    Some(&parts[index]).filter(|part| part.part_ref == *part_ref)
}

/// Returns whether `head` contains exactly this reference.
fn refers_to(head: &Head, part_ref: &PartRef) -> bool {
    head.part_ref(&part_ref.service) == Some(part_ref)
}

/// Returns the BLAKE3 digest of a part's bytes in hexadecimal digits.
pub fn part_digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}
