//! A VM's copy of an outside system of record, which never goes back.
//!
//! The catalog takes the layout, the servers that announce themselves, and the
//! failure domains that are out, from the system of record or from a peer.
//! Each entry carries the revision of its last change, and only a higher one
//! replaces it, so that a lagging read or a slow peer is harmless. Entries
//! that are gone are kept as such for a while, so that peers learn of it.
//! See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::revisions::RegistryRevisions;
use base::Revision;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::domains::DomainOrder;
use crate::domains::DomainOrders;
use crate::layout::Layout;
use crate::server::Mode;
use crate::server::Server;
use crate::service::Service;
use crate::state::State;

/// How long an entry that is gone is kept, so that a peer that was cut off
/// hears of it. A VM that was silent for longer reads everything anew.
const TOMBSTONE: Duration = Duration::from_secs(300);

/// A server as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The service that it belongs to.
    pub service: String,
    /// Where to send calls.
    pub address: SocketAddr,
    /// The failure domain that it stands in.
    pub domain: String,
    /// How many calls it runs at once.
    pub slots: u32,
    /// Whether it finishes what it has and wants nothing new.
    pub draining: bool,
    /// For how much longer it bears little, as of when it said so.
    pub cold: Duration,
    /// When it started, which tells two lives under one name apart.
    pub born: u64,
}

/// That a failure domain is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOut {}

/// What the catalog holds under one name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogEntry<T> {
    /// The name.
    pub name: String,
    /// The revision of the last change that matters.
    pub revision: Revision,
    /// The value; none if the entry is gone or cannot be read.
    pub value: Option<T>,
    /// When this VM learned of it.
    #[serde(skip)]
    pub since: Time,
}

/// What one VM tells another that knows less.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The layout, with its revision.
    pub layout: Option<(Revision, Arc<Layout>)>,
    /// Servers that changed.
    pub servers: Vec<CatalogEntry<Instance>>,
    /// Failure domains that went out or came back.
    pub outs: Vec<CatalogEntry<DomainOut>>,
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    layout: Option<(Revision, Arc<Layout>)>,
    servers: Vec<CatalogEntry<Instance>>,
    outs: Vec<CatalogEntry<DomainOut>>,
    changes: u64,
}

impl Instance {
    /// Returns whether going from `self` to `next` makes a difference to
    /// anybody; a mere sign of life does not.
    fn differs(&self, next: &Self) -> bool {
        let cold_again = next.cold > self.cold || next.cold.is_zero() != self.cold.is_zero();
        let same = Self {
            cold: self.cold,
            ..next.clone()
        };
        cold_again || *self != same
    }
}

impl Catalog {
    /// Makes an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how often anything that matters has changed.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns whether a layout is known.
    pub fn has_layout(&self) -> bool {
        self.layout.is_some()
    }

    /// Returns whether a layout and servers are known.
    pub fn is_populated(&self) -> bool {
        self.has_layout() && !self.servers.is_empty()
    }

    /// Returns the layout in force.
    pub fn layout(&self) -> Option<&Arc<Layout>> {
        self.layout.as_ref().map(|(_, layout)| layout)
    }

    /// Returns the servers, gone ones included, sorted by name.
    pub fn servers(&self) -> &[CatalogEntry<Instance>] {
        &self.servers
    }

    /// Returns up to where this VM knows the parts.
    pub fn revisions(&self) -> RegistryRevisions {
        RegistryRevisions {
            layout: self.layout.as_ref().map_or(0, |(revision, _)| *revision),
            servers: newest(&self.servers),
            outs: newest(&self.outs),
        }
    }

    /// Takes a layout; returns whether it is newer.
    ///
    /// Both the ticket and the revision have to be: a ticket that is written
    /// again under a lower number never takes effect.
    pub fn set_layout(&mut self, revision: Revision, layout: Arc<Layout>) -> bool {
        if let Some((known, old)) = &self.layout {
            if revision <= *known || layout.ticket <= old.ticket {
                return false;
            }
        }
        self.layout = Some((revision, layout));
        self.changes += 1;
        true
    }

    /// Takes what is said of the server `name`; returns whether it matters.
    pub fn set_server(
        &mut self,
        name: &str,
        revision: Revision,
        value: Option<Instance>,
        now: Time,
    ) -> bool {
        let differs = |old: &Option<Instance>, new: &Option<Instance>| match (old, new) {
            (Some(old), Some(new)) => old.differs(new),
            (None, None) => false,
            _ => true,
        };
        let changed = set(&mut self.servers, name, revision, value, now, differs);
        self.changes += u64::from(changed);
        changed
    }

    /// Takes that the domain `name` is out or back; returns whether it is news.
    pub fn set_domain_out(&mut self, name: &str, revision: Revision, out: bool, now: Time) -> bool {
        let value = out.then_some(DomainOut {});
        let changed = set(&mut self.outs, name, revision, value, now, |a, b| a != b);
        self.changes += u64::from(changed);
        changed
    }

    /// Returns the names of servers that are there as of a revision below
    /// `revision` and are not in the sorted `listed`.
    pub fn missing_servers(&self, listed: &[String], revision: Revision) -> Vec<String> {
        missing(&self.servers, listed, revision)
    }

    /// Returns the names of domains that are out as of a revision below
    /// `revision` and are not in the sorted `listed`.
    pub fn missing_domains_out(&self, listed: &[String], revision: Revision) -> Vec<String> {
        missing(&self.outs, listed, revision)
    }

    /// Returns what changed after `marks`.
    pub fn changes_since(&self, marks: &RegistryRevisions, now: Time) -> Update {
        let newer = |(revision, _): &&(Revision, Arc<Layout>)| *revision > marks.layout;
        let mut servers = after(&self.servers, marks.servers);
        for listed in &mut servers {
            if let Some(instance) = &mut listed.value {
                let age = now.saturating_sub(listed.since);
                instance.cold = instance.cold.saturating_sub(age);
            }
        }
        Update {
            layout: self.layout.as_ref().filter(newer).cloned(),
            servers,
            outs: after(&self.outs, marks.outs),
        }
    }

    /// Takes what a peer knows; returns whether any of it matters.
    pub fn merge(&mut self, update: Update, now: Time) -> bool {
        let mut changed = false;
        if let Some((revision, layout)) = update.layout {
            changed |= self.set_layout(revision, layout);
        }
        for listed in update.servers {
            changed |= self.set_server(&listed.name, listed.revision, listed.value, now);
        }
        for listed in update.outs {
            let out = listed.value.is_some();
            changed |= self.set_domain_out(&listed.name, listed.revision, out, now);
        }
        changed
    }

    /// Forgets entries that have been gone for long.
    pub fn remove_tombstones(&mut self, now: Time) {
        // The newest entry stays: the marks are taken from it.
        let newest = newest(&self.servers);
        self.servers.retain(|listed| {
            let young = now < listed.since + TOMBSTONE;
            listed.value.is_some() || young || listed.revision == newest
        });
    }

    /// Makes the state that is in force now on a VM of `region`.
    pub fn state(&self, region: &str, now: Time) -> Arc<State> {
        let Some((revision, layout)) = &self.layout else {
            return Arc::default();
        };
        let services = layout
            .services
            .iter()
            .map(|service| Arc::new(self.with_servers(service, now)));
        let orders = self.outs.iter().map(|listed| DomainOrder {
            domain: listed.name.clone(),
            out: listed.value.is_some(),
            by: String::new(),
            at: 0,
        });
        let domains = DomainOrders {
            revision: newest(&self.outs),
            orders: orders.collect(),
        };
        let state = State::from_layout(*revision, layout, services.collect(), domains, region);
        Arc::new(state)
    }

    fn with_servers(&self, service: &Service, now: Time) -> Service {
        let mut servers = Vec::new();
        for listed in &self.servers {
            let known = listed.value.as_ref();
            let Some(instance) = known.filter(|i| i.service == service.name) else {
                continue;
            };
            let age = now.saturating_sub(listed.since);
            servers.push(Server {
                // A new life under an old name is another server.
                name: if instance.born == 0 {
                    listed.name.clone()
                } else {
                    format!("{}@{}", listed.name, instance.born)
                },
                instance: listed.name.clone(),
                address: instance.address,
                domain: instance.domain.clone(),
                slots: instance.slots.max(1),
                connections: service.connections.max(1),
                mode: if instance.draining {
                    Mode::Drain
                } else {
                    Mode::Active
                },
                cold: if instance.cold > age {
                    listed.revision
                } else {
                    0
                },
                watched: true,
                ticket: 0,
            });
        }
        service.clone().with_servers(servers)
    }
}

fn newest<T>(all: &[CatalogEntry<T>]) -> Revision {
    all.iter().map(|listed| listed.revision).max().unwrap_or(0)
}

fn after<T: Clone>(all: &[CatalogEntry<T>], revision: Revision) -> Vec<CatalogEntry<T>> {
    let newer = all.iter().filter(|listed| listed.revision > revision);
    newer.cloned().collect()
}

fn missing<T>(all: &[CatalogEntry<T>], listed: &[String], revision: Revision) -> Vec<String> {
    all.iter()
        .filter(|known| known.value.is_some() && known.revision <= revision)
        .filter(|known| listed.binary_search(&known.name).is_err())
        .map(|known| known.name.clone())
        .collect()
}

/// Sets the value under `name` unless it is older or makes no difference.
fn set<T>(
    all: &mut Vec<CatalogEntry<T>>,
    name: &str,
    revision: Revision,
    value: Option<T>,
    now: Time,
    differs: impl Fn(&Option<T>, &Option<T>) -> bool,
) -> bool {
    let next = |value| CatalogEntry {
        name: name.into(),
        revision,
        value,
        since: now,
    };
    match all.binary_search_by(|listed| listed.name.as_str().cmp(name)) {
        Ok(at) => {
            let old = &all[at];
            // The end of an entry may bear the revision of its last change.
            let ends = revision == old.revision && old.value.is_some() && value.is_none();
            let newer = revision > old.revision || ends;
            if !newer || !differs(&old.value, &value) {
                return false;
            }
            all[at] = next(value);
            true
        }
        Err(_) if value.is_none() => false,
        Err(at) => {
            all.insert(at, next(value));
            true
        }
    }
}
