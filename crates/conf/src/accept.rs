//! Writes a ticket or a domain order to the store, where VMs read it.
//!
//! A ticket is applied in three steps:
//!
//! 1. The ticket object is written under its number, which reserves the number.
//! 2. The part objects of the services that the ticket changes are written.
//! 3. One conditional update of the head object accepts the ticket.
//!
//! When the reply to a write is lost, the object is read back to learn the
//! outcome. When another ticket updates the head at the same time, the update
//! is retried only if the other ticket touched other items. Any VM may apply a
//! ticket; when two VMs apply the same ticket, it is accepted once. See
//! `docs/design/configuration.md`.

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

/// How often an operation is tried before an error is returned. A try fails if
/// another write came first or if the reply of the store was lost.
const MAX_TRIES: usize = 8;
/// The delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a ticket or a domain order was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The ticket is invalid by itself, or refers to something that does not exist.
    #[error("the ticket is invalid; correct these errors and apply it again:\n{0}")]
    Invalid(ValidationErrors),
    /// The number is taken by a ticket with other content.
    #[error("ticket {0} already exists with other content; use another number")]
    NumberTaken(TicketNo),
    /// A ticket with a higher number has changed an item that this ticket touches.
    #[error(
        "ticket {number} is superseded: ticket {by} has already changed {item}; \
         check that change and apply a ticket with a higher number"
    )]
    Superseded {
        /// The refused ticket.
        number: TicketNo,
        /// The ticket with the higher number.
        by: TicketNo,
        /// The item that both tickets touch, such as "service a".
        item: String,
    },
    /// Another ticket changed the same item while this ticket was being applied.
    #[error(
        "ticket {by} changed {item} while ticket {number} was being applied; \
         check that change and apply this ticket again if it is still wanted"
    )]
    ConcurrentChange {
        /// The refused ticket.
        number: TicketNo,
        /// The ticket that was accepted first.
        by: TicketNo,
        /// The item that both tickets touch, such as "service a".
        item: String,
    },
    /// The change stops calls from being served, which may be intended.
    #[error("{0}; apply it with --force if that is intended")]
    NeedsForce(String),
    /// A stored object is missing or cannot be decoded. The field is the object's key.
    #[error("the stored object {0} cannot be read; apply a ticket that replaces it")]
    Unreadable(String),
    /// A request to the store failed; the ticket may have been accepted all the same.
    #[error("{0}; then apply the same ticket again, which is safe")]
    Platform(plat::Error),
    /// Each try failed because of a concurrent write or a lost reply; the ticket may
    /// have been accepted.
    #[error("the outcome is unknown after {MAX_TRIES} tries; apply the same ticket again")]
    OutcomeUnknown,
}

impl From<plat::Error> for Error {
    fn from(error: plat::Error) -> Self {
        Self::Platform(error)
    }
}

/// The result of applying a ticket or a domain order.
pub type Result<T> = std::result::Result<T, Error>;

/// Who applies a ticket, when and how.
#[derive(Clone, Debug)]
pub struct ApplyContext {
    /// The name of the access token, which goes into the audit record.
    pub name: String,
    /// The region of the VM that applies the ticket. New failure domains that
    /// name no region get this region, since the servers of a domain without a
    /// region would be handled by every region.
    pub region: String,
    /// The time of the request in seconds since the Unix epoch, for the audit record.
    pub at: u64,
    /// Whether changes that leave calls unserved are accepted, see
    /// [`Error::NeedsForce`].
    pub force: bool,
}

/// The head that a ticket results in, and the parts to write before it, each
/// with its key.
struct Plan {
    head: Head,
    parts: Vec<(String, Vec<u8>)>,
}

/// Applies `ticket` and returns the record of its acceptance.
///
/// A ticket that has been accepted already is not applied again; its record is
/// returned.
pub async fn apply_ticket(
    store: &dyn Store,
    ticket: &Ticket,
    context: &ApplyContext,
) -> Result<AcceptedTicket> {
    ticket.check().map_err(Error::Invalid)?;
    reserve_number(store, ticket).await?;
    let mut first: Option<Head> = None;
    for _ in 0..MAX_TRIES {
        let (version, old) = match read_head(store).await {
            Ok(read) => read,
            Err(Error::Platform(plat::Error::OutcomeUnknown(_))) => {
                smol::Timer::after(RETRY_DELAY).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        if let Some(accepted) = find_accepted(&old, ticket) {
            return Ok(accepted);
        }
        let services = read_touched(store, ticket, &old).await?;
        check_not_superseded(ticket, &old, &services)?;
        if let Some(first) = &first {
            check_no_concurrent_change(ticket, first, &old, &services)?;
        }
        let plan = plan(ticket, &old, services, context)?;
        write_parts(store, &plan.parts).await?;
        match write_head(store, &plan.head, version).await {
            Ok(_) => {
                delete_retired_parts(store, &old, &plan.head).await;
                return find_accepted(&plan.head, ticket).ok_or(Error::OutcomeUnknown);
            }
            Err(plat::Error::Conflict | plat::Error::OutcomeUnknown(_)) => {
                first.get_or_insert(old);
                smol::Timer::after(RETRY_DELAY).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(Error::OutcomeUnknown)
}

/// Reads the head object with its version; returns an empty head and no version
/// if the object does not exist.
pub async fn read_head(store: &dyn Store) -> Result<(Option<Version>, Head)> {
    read(store, head::HEAD_KEY).await
}

/// Reads the domain orders with their version; returns an empty list and no
/// version if the object does not exist.
pub async fn read_domain_orders(store: &dyn Store) -> Result<(Option<Version>, DomainOrders)> {
    read(store, head::DOMAINS_KEY).await
}

/// Reads ticket `number`, whether the ticket was accepted or only its number was
/// reserved.
pub async fn read_ticket(store: &dyn Store, number: TicketNo) -> Result<Option<Ticket>> {
    let key = head::ticket_key(number);
    let object = store.get(&key).await?;
    object.map(|object| decode(&key, &object)).transpose()
}

/// Applies `order` and returns all domain orders after it.
///
/// Domain orders do not conflict: each holds the whole state of its domain, the
/// last one accepted is in force, and its record names who gave it.
pub async fn apply_order(store: &dyn Store, order: DomainOrder) -> Result<DomainOrders> {
    for _ in 0..MAX_TRIES {
        let (version, mut domain_orders) = match read_domain_orders(store).await {
            Err(Error::Platform(plat::Error::OutcomeUnknown(_))) => {
                smol::Timer::after(RETRY_DELAY).await;
                continue;
            }
            other => other?,
        };
        if !domain_orders.set(order.clone()) {
            return Ok(domain_orders);
        }
        match write(store, head::DOMAINS_KEY, &domain_orders, version).await {
            Ok(_) => return Ok(domain_orders),
            Err(plat::Error::Conflict | plat::Error::OutcomeUnknown(_)) => {
                smol::Timer::after(RETRY_DELAY).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(Error::OutcomeUnknown)
}

/// Writes the ticket under its number unless it is stored there already.
async fn reserve_number(store: &dyn Store, ticket: &Ticket) -> Result<()> {
    let key = head::ticket_key(ticket.number);
    let bytes = encode(ticket);
    for _ in 0..MAX_TRIES {
        match store.put(&key, bytes.clone(), Condition::Absent).await {
            Ok(_) => return Ok(()),
            Err(plat::Error::Conflict | plat::Error::OutcomeUnknown(_)) => {}
            Err(error) => return Err(error.into()),
        }
        match store.get(&key).await {
            Ok(Some(object)) => {
                let stored: Ticket = decode(&key, &object)?;
                if stored.digest() == ticket.digest() {
                    return Ok(());
                }
                return Err(Error::NumberTaken(ticket.number));
            }
            Ok(None) | Err(plat::Error::OutcomeUnknown(_)) => smol::Timer::after(RETRY_DELAY).await,
            Err(error) => return Err(error.into()),
        };
    }
    Err(Error::OutcomeUnknown)
}

fn find_accepted(head: &Head, ticket: &Ticket) -> Option<AcceptedTicket> {
    let digest = ticket.digest();
    head.recent
        .iter()
        .find(|accepted| accepted.ticket == ticket.number && accepted.digest == digest)
        .cloned()
}

/// Reads the services that `ticket` touches and that `head` has.
async fn read_touched(store: &dyn Store, ticket: &Ticket, head: &Head) -> Result<Vec<Service>> {
    let mut services = Vec::new();
    for name in ticket.touched_services() {
        let Some(part_ref) = head.part_ref(name) else {
            continue;
        };
        let key = part_ref.key();
        let object = store.get(&key).await?;
        let object = object.ok_or_else(|| Error::Unreadable(key.clone()))?;
        services.push(decode(&key, &object)?);
    }
    Ok(services)
}

/// A failure domain, service or server that a ticket touches, with the number of
/// the ticket that changed it last.
struct TouchedItem {
    name: String,
    ticket: TicketNo,
}

/// Lists the items of `head` and `services` that `ticket` touches.
///
/// A ticket that holds or removes a service touches the service and all its
/// servers; a change of one server touches only that server.
fn touched_items(ticket: &Ticket, head: &Head, services: &[Service]) -> Vec<TouchedItem> {
    let mut items = Vec::new();
    for domain in &ticket.domains {
        if let Some(old) = head.domain(&domain.name) {
            items.push(TouchedItem {
                name: format!("failure domain {}", old.name),
                ticket: old.ticket,
            });
        }
    }
    for service in services {
        let replaced = !ticket.servers.iter().any(|c| c.service == service.name);
        if replaced {
            items.push(TouchedItem {
                name: format!("service {}", service.name),
                ticket: service.ticket,
            });
        }
        let touched = service.servers.iter().filter(|server| {
            replaced
                || ticket
                    .servers
                    .iter()
                    .any(|c| c.service == service.name && c.server.name == server.name)
        });
        items.extend(touched.map(|server| TouchedItem {
            name: format!("server {}/{}", service.name, server.name),
            ticket: server.ticket,
        }));
    }
    items
}

/// Refuses a ticket if a ticket with a higher number has changed one of its items.
fn check_not_superseded(ticket: &Ticket, head: &Head, services: &[Service]) -> Result<()> {
    let later = touched_items(ticket, head, services)
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

/// Refuses a ticket if one of its items was changed after `first` was read.
fn check_no_concurrent_change(
    ticket: &Ticket,
    first: &Head,
    now: &Head,
    services: &[Service],
) -> Result<()> {
    let since = now
        .recent
        .iter()
        .filter(|accepted| accepted.revision > first.revision);
    let newer: Vec<TicketNo> = since.map(|accepted| accepted.ticket).collect();
    let conflicting = touched_items(ticket, now, services)
        .into_iter()
        .find(|item| newer.contains(&item.ticket));
    conflicting.map_or(Ok(()), |item| {
        Err(Error::ConcurrentChange {
            number: ticket.number,
            by: item.ticket,
            item: item.name,
        })
    })
}

/// Computes the head and the parts that `ticket` results in.
fn plan(
    ticket: &Ticket,
    old: &Head,
    services: Vec<Service>,
    context: &ApplyContext,
) -> Result<Plan> {
    let mut head = old.clone();
    head.revision += 1;
    for domain in &ticket.domains {
        let mut domain = domain.clone();
        domain.ticket = ticket.number;
        if domain.region.is_empty() {
            let old = head.domain(&domain.name).map(|old| &old.region);
            domain.region = old.unwrap_or(&context.region).clone();
        }
        head.set_domain(domain);
    }
    let mut parts = Vec::new();
    for service in updated_services(ticket, services)? {
        check_references(&head, &service, context)?;
        let bytes = encode(&service);
        let part_ref = PartRef {
            service: service.name,
            ticket: ticket.number,
            digest: mirror::part_digest(&bytes),
        };
        parts.push((part_ref.key(), bytes));
        head.set_part(part_ref);
    }
    for name in &ticket.remove {
        if head.part_ref(name).is_some() && !context.force {
            let what = format!("removing service {name} refuses all its calls");
            return Err(Error::NeedsForce(what));
        }
        head.remove_part(name);
    }
    head.recent.push(AcceptedTicket {
        ticket: ticket.number,
        digest: ticket.digest(),
        by: ticket.by.clone(),
        applied: context.name.clone(),
        at: context.at,
        revision: head.revision,
    });
    let excess = head.recent.len().saturating_sub(head::RECENT_MAX);
    head.recent.drain(..excess);
    let excess = head.retired.len().saturating_sub(head::RECENT_MAX);
    head.retired.drain(..excess);
    Ok(Plan { head, parts })
}

/// Returns the services that `ticket` adds, replaces or changes servers of, with
/// these changes made. `old` holds the touched services before the ticket.
fn updated_services(ticket: &Ticket, old: Vec<Service>) -> Result<Vec<Service>> {
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
            replace_server(&mut service, change, ticket.number);
        }
        services.push(service);
    }
    let mut errors = ValidationErrors::new();
    for (i, change) in ticket.servers.iter().enumerate() {
        errors.require(
            services.iter().any(|s| s.name == change.service),
            format!("servers[{i}].service"),
            format!("there is no service \"{}\"; add it first", change.service),
        );
    }
    errors.into_result(services).map_err(Error::Invalid)
}

fn replace_server(service: &mut Service, change: &ServerChange, number: TicketNo) {
    let mut server = change.server.clone();
    server.ticket = number;
    let old = service.servers.iter_mut().find(|s| s.name == server.name);
    match old {
        Some(old) => *old = server,
        None => service.servers.push(server),
    }
}

/// Checks that the failure domains of the servers exist and that at least one
/// server is active.
fn check_references(head: &Head, service: &Service, context: &ApplyContext) -> Result<()> {
    let mut errors = ValidationErrors::new();
    for server in &service.servers {
        errors.require(
            head.domain(&server.domain).is_some(),
            format!("{}/{}.domain", service.name, server.name),
            format!(
                "there is no failure domain \"{}\"; add it under domains",
                server.domain
            ),
        );
    }
    errors.into_result(()).map_err(Error::Invalid)?;
    let has_active = service
        .servers
        .iter()
        .any(|server| server.mode == crate::server::Mode::Active);
    if !has_active && !context.force {
        let what = format!("service {} would have no active server", service.name);
        return Err(Error::NeedsForce(what));
    }
    Ok(())
}

async fn write_parts(store: &dyn Store, parts: &[(String, Vec<u8>)]) -> Result<()> {
    for (key, bytes) in parts {
        match store.put(key, bytes.clone(), Condition::Absent).await {
            Ok(_) => {}
            Err(plat::Error::Conflict | plat::Error::OutcomeUnknown(_)) => {
                ensure_part(store, key, bytes).await?;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

/// Makes the part object at `key` hold exactly `bytes`.
///
/// An earlier try of the same ticket may have left a part that was computed from
/// an older state of the service. No head refers to that part, so it may be
/// replaced.
async fn ensure_part(store: &dyn Store, key: &str, bytes: &[u8]) -> Result<()> {
    for _ in 0..MAX_TRIES {
        let condition = match store.get(key).await {
            Ok(Some(object)) if object.value == bytes => return Ok(()),
            Ok(Some(object)) => Condition::Version(object.version),
            Ok(None) => Condition::Absent,
            Err(plat::Error::OutcomeUnknown(_)) => {
                smol::Timer::after(RETRY_DELAY).await;
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        match store.put(key, bytes.to_vec(), condition).await {
            Ok(_) | Err(plat::Error::Conflict | plat::Error::OutcomeUnknown(_)) => {}
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

/// Deletes the parts that have been dropped from the head's list of retired parts.
///
/// Errors are ignored: an object that nothing refers to only takes up space.
async fn delete_retired_parts(store: &dyn Store, old: &Head, new: &Head) {
    for key in &old.retired {
        if !new.retired.contains(key) {
            let _ = store.delete(key).await;
        }
    }
}

/// Reads and decodes the object at `key`; returns the default value and no
/// version if the object does not exist.
async fn read<T>(store: &dyn Store, key: &str) -> Result<(Option<Version>, T)>
where
    T: serde::de::DeserializeOwned + Default,
{
    let Some(object) = store.get(key).await? else {
        return Ok((None, T::default()));
    };
    Ok((Some(object.version), decode(key, &object)?))
}

/// Writes `value` at `key` if the stored object still has `version`, or does not
/// exist if `version` is `None`.
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
