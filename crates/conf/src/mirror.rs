//! A VM's copy of the accepted configuration, which never goes back.
//!
//! The mirror takes heads, parts and domain orders from whoever has them, the
//! platform or a peer. It puts a head in force only when all its parts are
//! there, so that a ticket is never in force in part. Whatever is older than
//! what it holds is ignored: that is what makes a lagging read harmless.

use std::sync::Arc;

use base::Revision;

use crate::domains::DomainOrders;
use crate::head::Head;
use crate::head::PartRef;
use crate::service::Service;
use crate::state::State;

/// A part that the mirror holds.
#[derive(Clone, Debug)]
struct Part {
    entry: PartRef,
    bytes: Vec<u8>,
    service: Arc<Service>,
}

/// Why a part was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PartError {
    /// The bytes do not have the digest that the head names.
    #[error("the part's digest differs from the head's; fetch it from the platform again")]
    Digest,
    /// The bytes are not a service.
    #[error("the part is not a service; apply the service's ticket again under a new number")]
    Malformed,
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    head: Head,
    parts: Vec<Part>,
    waiting: Option<Waiting>,
    domains: DomainOrders,
}

/// A newer head whose parts are not all there yet.
#[derive(Clone, Debug)]
struct Waiting {
    head: Head,
    parts: Vec<Part>,
    lacks: usize,
}

impl Mirror {
    /// Makes a mirror that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the head in force.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the head in force.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the orders about failure domains in force.
    pub fn domain_orders(&self) -> &DomainOrders {
        &self.domains
    }

    /// Returns the bytes of the part that `entry` names, if it is held.
    pub fn part(&self, entry: &PartRef) -> Option<&[u8]> {
        let waiting = self.waiting.as_ref();
        let part = find(&self.parts, entry)
            .or_else(|| waiting.and_then(|waiting| find(&waiting.parts, entry)));
        part.map(|part| part.bytes.as_slice())
    }

    /// Offers a head; returns the entries whose parts have to be fetched.
    ///
    /// An older head, or the one in force, is ignored. A head without missing
    /// parts is in force at once.
    pub fn offer_head(&mut self, head: Head) -> Vec<PartRef> {
        let known = self.waiting.as_ref().map_or(0, |w| w.head.revision);
        if head.revision <= self.head.revision || head.revision < known {
            return Vec::new();
        }
        if head.revision > known {
            let earlier = self.waiting.take().map(|w| w.parts).unwrap_or_default();
            let parts: Vec<Part> = earlier
                .into_iter()
                .filter(|part| names(&head, &part.entry))
                .collect();
            let held = |entry: &&PartRef| find(&self.parts, entry).is_some();
            let kept = head.entries.iter().filter(held).count();
            let lacks = head.entries.len() - kept - parts.len();
            self.waiting = Some(Waiting { head, parts, lacks });
        }
        self.settle();
        self.missing_parts()
    }

    /// Returns the entries of the newest offered head that are not held yet.
    pub fn missing_parts(&self) -> Vec<PartRef> {
        let Some(waiting) = &self.waiting else {
            return Vec::new();
        };
        waiting
            .head
            .entries
            .iter()
            .filter(|entry| self.part(entry).is_none())
            .cloned()
            .collect()
    }

    /// Takes the bytes of the part that `entry` names.
    pub fn add_part(&mut self, entry: &PartRef, bytes: Vec<u8>) -> Result<(), PartError> {
        if part_digest(&bytes) != entry.digest {
            return Err(PartError::Digest);
        }
        let service = serde_json::from_slice(&bytes).map_err(|_| PartError::Malformed)?;
        if let Some(waiting) = &mut self.waiting {
            let wanted = waiting.head.part_ref(&entry.service) == Some(entry);
            let place = place(&waiting.parts, entry);
            if let (true, Err(at)) = (wanted, place) {
                let part = Part {
                    entry: entry.clone(),
                    bytes,
                    service: Arc::new(service),
                };
                waiting.parts.insert(at, part);
                waiting.lacks -= 1;
            }
        }
        self.settle();
        Ok(())
    }

    /// Offers orders about failure domains; returns whether they are newer.
    pub fn offer_domain_orders(&mut self, domains: DomainOrders) -> bool {
        if domains.revision <= self.domains.revision {
            return false;
        }
        self.domains = domains;
        true
    }

    /// Puts the newest head in force if all its parts are there.
    fn settle(&mut self) {
        let Some(waiting) = self.waiting.take_if(|waiting| waiting.lacks == 0) else {
            return;
        };
        let old = std::mem::take(&mut self.parts);
        let mut parts: Vec<Part> = old
            .into_iter()
            .chain(waiting.parts)
            .filter(|part| names(&waiting.head, &part.entry))
            .collect();
        parts.sort_by(|a, b| a.entry.service.cmp(&b.entry.service));
        self.parts = parts;
        self.head = waiting.head;
    }

    /// Makes the state that is in force now.
    pub fn state(&self) -> Arc<State> {
        let services = self.parts.iter().map(|part| part.service.clone()).collect();
        Arc::new(State::new(&self.head, services, self.domains.clone()))
    }
}

/// Returns the place of the part of the service that `entry` names, among parts
/// sorted by service.
fn place(parts: &[Part], entry: &PartRef) -> Result<usize, usize> {
    parts.binary_search_by(|part| part.entry.service.cmp(&entry.service))
}

fn find<'a>(parts: &'a [Part], entry: &PartRef) -> Option<&'a Part> {
    let at = place(parts, entry).ok()?;
    Some(&parts[at]).filter(|part| part.entry == *entry)
}

/// Returns whether `head` names just this entry.
fn names(head: &Head, entry: &PartRef) -> bool {
    head.part_ref(&entry.service) == Some(entry)
}

/// Returns the digest of a part's bytes.
pub fn part_digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}
