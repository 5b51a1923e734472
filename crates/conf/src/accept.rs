//! Puts a ticket, or an order about a failure domain, into force.
//!
//! 1. The ticket is written under its number, which reserves the number.
//! 2. The parts of the services that it touches are written.
//! 3. One conditional update of the head accepts the ticket.
//!
//! A lost answer is settled by reading back. A race is tried again only if the
//! other ticket touched something else. Any VM may run this; two VMs that run
//! it for the same ticket accept it once. See `docs/design/configuration.md`.

use std::time::Duration;

use base::TicketNo;
use plat::Condition;
use plat::Object;
use plat::Store;
use plat::Version;

use crate::domains::DomainOrder;
use crate::domains::DomainOrders;
use crate::head;
use crate::head::AcceptedTicket;
use crate::head::Head;
use crate::head::PartRef;
use crate::mirror;
use crate::service::Service;
use crate::ticket::ServerChange;
use crate::ticket::Ticket;
use crate::validation::ValidationErrors;

/// How often a race or a lost answer is tried again before it is reported.
const TRIES: usize = 8;
/// The rest between two tries.
const REST: Duration = Duration::from_millis(20);

/// Why a ticket or an order is not in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The ticket itself is wrong.
    #[error("the ticket has faults; correct them and apply it again:\n{0}")]
    Invalid(ValidationErrors),
    /// The number belongs to another ticket.
    #[error("ticket {0} exists with other content; give yours a number of its own")]
    NumberTaken(TicketNo),
    /// Something it touches has been changed by a later ticket.
    #[error(
        "ticket {number} is superseded: ticket {by} has changed {item} since; \
         look at it and apply a ticket with a higher number"
    )]
    Superseded {
        /// The refused ticket.
        number: TicketNo,
        /// The later ticket.
        by: TicketNo,
        /// What both touch.
        item: String,
    },
    /// Another ticket changed the same thing at the same moment.
    #[error(
        "ticket {by} changed {item} while ticket {number} was being applied; \
         look at what it did and apply yours again if it still holds"
    )]
    Raced {
        /// The refused ticket.
        number: TicketNo,
        /// The ticket that came first.
        by: TicketNo,
        /// What both touch.
        item: String,
    },
    /// The ticket would do harm that may be meant.
    #[error("{0}; apply it with --force if that is meant")]
    NeedsForce(String),
    /// What is stored cannot be read.
    #[error("the stored object {0} cannot be read; apply a ticket that replaces it")]
    Unreadable(String),
    /// The platform did not do its part; the ticket may still come into force.
    #[error("{0}; then apply the same ticket again, which is safe")]
    Platform(plat::Error),
    /// Too many races or lost answers in a row; the ticket may be in force.
    #[error("the outcome is unknown after {TRIES} tries; apply the same ticket again")]
    OutcomeUnknown,
}

impl From<plat::Error> for Error {
    fn from(error: plat::Error) -> Self {
        Self::Platform(error)
    }
}

/// The result of putting something into force.
pub type Result<T> = std::result::Result<T, Error>;

/// Who applies a ticket and when, for the audit record.
#[derive(Clone, Debug)]
pub struct ApplyContext {
    /// The name of the access token.
    pub name: String,
    /// The region of the VM that takes the ticket, which is that of new failure
    /// domains that name none: servers of a domain without a region would be
    /// looked after by every region.
    pub region: String,
    /// Seconds since 1970.
    pub at: u64,
    /// Whether warnings are overridden.
    pub force: bool,
}

/// What a ticket makes of the head: the new head and the parts to write first.
struct Plan {
    head: Head,
    parts: Vec<(String, Vec<u8>)>,
}

/// Accepts `ticket`; returns the record of its acceptance, also if it had been
/// accepted before.
pub async fn apply_ticket(
    store: &dyn Store,
    ticket: &Ticket,
    who: &ApplyContext,
) -> Result<AcceptedTicket> {
    ticket.check().map_err(Error::Invalid)?;
    reserve(store, ticket).await?;
    let mut first: Option<Head> = None;
    for _ in 0..TRIES {
        let (version, old) = match read_head(store).await {
            Ok(read) => read,
            Err(Error::Platform(plat::Error::Unknown(_))) => {
                smol::Timer::after(REST).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        if let Some(done) = find(&old, ticket) {
            return Ok(done);
        }
        let services = load(store, ticket, &old).await?;
        check_order(ticket, &old, &services)?;
        if let Some(first) = &first {
            check_race(ticket, first, &old, &services)?;
        }
        let plan = plan(ticket, &old, services, who)?;
        write_parts(store, &plan.parts).await?;
        match write_head(store, &plan.head, version).await {
            Ok(_) => {
                sweep(store, &old, &plan.head).await;
                return find(&plan.head, ticket).ok_or(Error::OutcomeUnknown);
            }
            Err(plat::Error::Conflict | plat::Error::Unknown(_)) => {
                first.get_or_insert(old);
                smol::Timer::after(REST).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(Error::OutcomeUnknown)
}

/// Reads the head; an empty one if there is none yet.
pub async fn read_head(store: &dyn Store) -> Result<(Option<Version>, Head)> {
    read(store, head::HEAD_KEY).await
}

/// Reads the orders about failure domains; none if there are none yet.
pub async fn read_domain_orders(store: &dyn Store) -> Result<(Option<Version>, DomainOrders)> {
    read(store, head::DOMAINS_KEY).await
}

/// Reads ticket `number`, whether it was accepted or only reserved.
pub async fn read_ticket(store: &dyn Store, number: TicketNo) -> Result<Option<Ticket>> {
    let key = head::ticket_key(number);
    let object = store.get(&key).await?;
    object.map(|object| decode(&key, &object)).transpose()
}

/// Puts `order` into force; returns the orders as they are then.
///
/// Orders do not conflict: each says the whole state of its domain, the last
/// accepted one counts, and the record says who gave it.
pub async fn apply_order(store: &dyn Store, order: DomainOrder) -> Result<DomainOrders> {
    for _ in 0..TRIES {
        let (version, mut domains) = match read_domain_orders(store).await {
            Err(Error::Platform(plat::Error::Unknown(_))) => {
                smol::Timer::after(REST).await;
                continue;
            }
            other => other?,
        };
        if !domains.set(order.clone()) {
            return Ok(domains);
        }
        match write(store, head::DOMAINS_KEY, &domains, version).await {
            Ok(_) => return Ok(domains),
            Err(plat::Error::Conflict | plat::Error::Unknown(_)) => {
                smol::Timer::after(REST).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(Error::OutcomeUnknown)
}

/// Writes the ticket under its number, or finds that it is there already.
async fn reserve(store: &dyn Store, ticket: &Ticket) -> Result<()> {
    let key = head::ticket_key(ticket.number);
    let bytes = encode(ticket);
    for _ in 0..TRIES {
        match store.put(&key, bytes.clone(), Condition::Absent).await {
            Ok(_) => return Ok(()),
            Err(plat::Error::Conflict | plat::Error::Unknown(_)) => {}
            Err(error) => return Err(error.into()),
        }
        match store.get(&key).await {
            Ok(Some(object)) => {
                let kept: Ticket = decode(&key, &object)?;
                if kept.digest() == ticket.digest() {
                    return Ok(());
                }
                return Err(Error::NumberTaken(ticket.number));
            }
            Ok(None) | Err(plat::Error::Unknown(_)) => smol::Timer::after(REST).await,
            Err(error) => return Err(error.into()),
        };
    }
    Err(Error::OutcomeUnknown)
}

fn find(head: &Head, ticket: &Ticket) -> Option<AcceptedTicket> {
    let digest = ticket.digest();
    head.recent
        .iter()
        .find(|accepted| accepted.ticket == ticket.number && accepted.digest == digest)
        .cloned()
}

/// Reads the services that the ticket touches, as they are before it.
async fn load(store: &dyn Store, ticket: &Ticket, head: &Head) -> Result<Vec<Service>> {
    let mut services = Vec::new();
    for name in ticket.touched_services() {
        let Some(entry) = head.part_ref(name) else {
            continue;
        };
        let key = entry.key();
        let object = store.get(&key).await?;
        let object = object.ok_or_else(|| Error::Unreadable(key.clone()))?;
        services.push(decode(&key, &object)?);
    }
    Ok(services)
}

/// An item that a ticket touches, with the ticket that changed it last.
struct Item {
    name: String,
    ticket: TicketNo,
}

/// Lists what `ticket` touches of `head`, whose touched parts are `services`.
fn items(ticket: &Ticket, head: &Head, services: &[Service]) -> Vec<Item> {
    let mut items = Vec::new();
    for domain in &ticket.domains {
        if let Some(old) = head.domain(&domain.name) {
            items.push(Item {
                name: format!("failure domain {}", old.name),
                ticket: old.ticket,
            });
        }
    }
    for service in services {
        let whole = !ticket.servers.iter().any(|c| c.service == service.name);
        if whole {
            items.push(Item {
                name: format!("service {}", service.name),
                ticket: service.ticket,
            });
        }
        let touched = service.servers.iter().filter(|server| {
            whole
                || ticket
                    .servers
                    .iter()
                    .any(|c| c.service == service.name && c.server.name == server.name)
        });
        items.extend(touched.map(|server| Item {
            name: format!("server {}/{}", service.name, server.name),
            ticket: server.ticket,
        }));
    }
    items
}

/// Refuses a ticket that comes after a later one on the same item.
fn check_order(ticket: &Ticket, head: &Head, services: &[Service]) -> Result<()> {
    let later = items(ticket, head, services)
        .into_iter()
        .find(|item| item.ticket > ticket.number);
    later.map_or(Ok(()), |item| {
        Err(Error::Superseded {
            number: ticket.number,
            by: item.ticket,
            item: item.name,
        })
    })
}

/// Refuses a ticket whose items were changed since `first` was read.
fn check_race(ticket: &Ticket, first: &Head, now: &Head, services: &[Service]) -> Result<()> {
    let since = now
        .recent
        .iter()
        .filter(|accepted| accepted.revision > first.revision);
    let newer: Vec<TicketNo> = since.map(|accepted| accepted.ticket).collect();
    let raced = items(ticket, now, services)
        .into_iter()
        .find(|item| newer.contains(&item.ticket));
    raced.map_or(Ok(()), |item| {
        Err(Error::Raced {
            number: ticket.number,
            by: item.ticket,
            item: item.name,
        })
    })
}

/// Works out the new head and parts.
fn plan(ticket: &Ticket, old: &Head, services: Vec<Service>, who: &ApplyContext) -> Result<Plan> {
    let mut head = old.clone();
    head.revision += 1;
    for domain in &ticket.domains {
        let mut domain = domain.clone();
        domain.ticket = ticket.number;
        if domain.region.is_empty() {
            let old = head.domain(&domain.name).map(|old| &old.region);
            domain.region = old.unwrap_or(&who.region).clone();
        }
        head.set_domain(domain);
    }
    let mut parts = Vec::new();
    for service in changed(ticket, services)? {
        check_references(&head, &service, who)?;
        let bytes = encode(&service);
        let entry = PartRef {
            service: service.name,
            ticket: ticket.number,
            digest: mirror::part_digest(&bytes),
        };
        parts.push((entry.key(), bytes));
        head.set_part(entry);
    }
    for name in &ticket.remove {
        if head.part_ref(name).is_some() && !who.force {
            let what = format!("removing service {name} refuses all its calls");
            return Err(Error::NeedsForce(what));
        }
        head.remove_part(name);
    }
    head.recent.push(AcceptedTicket {
        ticket: ticket.number,
        digest: ticket.digest(),
        by: ticket.by.clone(),
        applied: who.name.clone(),
        at: who.at,
        revision: head.revision,
    });
    let excess = head.recent.len().saturating_sub(head::RECENT_MAX);
    head.recent.drain(..excess);
    let excess = head.retired.len().saturating_sub(head::RECENT_MAX);
    head.retired.drain(..excess);
    Ok(Plan { head, parts })
}

/// Returns the services as the ticket leaves them.
fn changed(ticket: &Ticket, old: Vec<Service>) -> Result<Vec<Service>> {
    let mut services = Vec::new();
    for service in &ticket.services {
        let mut service = service.clone();
        service.ticket = ticket.number;
        for server in &mut service.servers {
            server.ticket = ticket.number;
        }
        services.push(service);
    }
    for mut service in old {
        let changes: Vec<_> = ticket
            .servers
            .iter()
            .filter(|change| change.service == service.name)
            .collect();
        if changes.is_empty() {
            continue;
        }
        for change in changes {
            replace(&mut service, change, ticket.number);
        }
        services.push(service);
    }
    let mut faults = ValidationErrors::new();
    for (i, change) in ticket.servers.iter().enumerate() {
        faults.require(
            services.iter().any(|s| s.name == change.service),
            format!("servers[{i}].service"),
            format!("there is no service \"{}\"; add it first", change.service),
        );
    }
    faults.into_result(services).map_err(Error::Invalid)
}

fn replace(service: &mut Service, change: &ServerChange, number: TicketNo) {
    let mut server = change.server.clone();
    server.ticket = number;
    let old = service.servers.iter_mut().find(|s| s.name == server.name);
    match old {
        Some(old) => *old = server,
        None => service.servers.push(server),
    }
}

/// Checks what a service refers to, and that it has a server that works.
fn check_references(head: &Head, service: &Service, who: &ApplyContext) -> Result<()> {
    let mut faults = ValidationErrors::new();
    for server in &service.servers {
        faults.require(
            head.domain(&server.domain).is_some(),
            format!("{}/{}.domain", service.name, server.name),
            format!(
                "there is no failure domain \"{}\"; add it under domains",
                server.domain
            ),
        );
    }
    faults.into_result(()).map_err(Error::Invalid)?;
    let serves = service
        .servers
        .iter()
        .any(|server| server.mode == crate::server::Mode::Active);
    if !serves && !who.force {
        let what = format!("service {} would have no active server", service.name);
        return Err(Error::NeedsForce(what));
    }
    Ok(())
}

async fn write_parts(store: &dyn Store, parts: &[(String, Vec<u8>)]) -> Result<()> {
    for (key, bytes) in parts {
        match store.put(key, bytes.clone(), Condition::Absent).await {
            Ok(_) => {}
            Err(plat::Error::Conflict | plat::Error::Unknown(_)) => {
                confirm_part(store, key, bytes).await?;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

/// Makes sure that the part at `key` has exactly `bytes`.
///
/// An earlier try of the same ticket may have left a part that was made from
/// an older state of the service; it is not in force, so it may be replaced.
async fn confirm_part(store: &dyn Store, key: &str, bytes: &[u8]) -> Result<()> {
    for _ in 0..TRIES {
        let condition = match store.get(key).await {
            Ok(Some(object)) if object.value == bytes => return Ok(()),
            Ok(Some(object)) => Condition::Version(object.version),
            Ok(None) => Condition::Absent,
            Err(plat::Error::Unknown(_)) => {
                smol::Timer::after(REST).await;
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        match store.put(key, bytes.to_vec(), condition).await {
            Ok(_) | Err(plat::Error::Conflict | plat::Error::Unknown(_)) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(Error::OutcomeUnknown)
}

async fn write_head(
    store: &dyn Store,
    head: &Head,
    version: Option<Version>,
) -> plat::Result<Version> {
    write(store, head::HEAD_KEY, head, version).await
}

/// Deletes parts that have dropped out of the list of retired ones.
///
/// A failure leaves an object that nothing refers to; it is only space.
async fn sweep(store: &dyn Store, old: &Head, new: &Head) {
    for key in &old.retired {
        if !new.retired.contains(key) {
            let _ = store.delete(key).await;
        }
    }
}

async fn read<T>(store: &dyn Store, key: &str) -> Result<(Option<Version>, T)>
where
    T: serde::de::DeserializeOwned + Default,
{
    let Some(object) = store.get(key).await? else {
        return Ok((None, T::default()));
    };
    Ok((Some(object.version), decode(key, &object)?))
}

async fn write<T: serde::Serialize>(
    store: &dyn Store,
    key: &str,
    value: &T,
    version: Option<Version>,
) -> plat::Result<Version> {
    let condition = version.map_or(Condition::Absent, Condition::Version);
    store.put(key, encode(value), condition).await
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("configuration types have no keys that JSON cannot hold")
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, object: &Object) -> Result<T> {
    serde_json::from_slice(&object.value).map_err(|_| Error::Unreadable(key.into()))
}
