//! A VM's local copy of the service registry, whose revisions never decrease.
//!
//! The catalog holds the layout, the servers that announce themselves and the
//! failure domains that are out. It is updated from the registry or by a peer.
//! Each entry carries the revision of its last change and is replaced only by
//! an entry of a higher revision, so that a stale read or a slow peer does no
//! harm. The layout is ordered by its ticket number instead, since the registry may be
//! restored from a copy with an earlier layout. Such a copy also revives no server that
//! had left. Deleted entries are kept as tombstones for a while, so that peers learn
//! of the deletion. See `docs/design/platform.md`.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::revisions;
use base::revisions::RegistryRevisions;
use base::Revision;
use base::TicketNo;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::domains::DomainOrder;
use crate::domains::DomainOrders;
use crate::layout::Layout;
use crate::rollout::Rollout;
use crate::server::Mode;
use crate::server::Server;
use crate::server::MAX_SLOTS;
use crate::service::Service;
use crate::state::State;

/// How long the tombstone of a deleted entry is kept, so that a peer that was
/// disconnected learns of the deletion. A VM that was disconnected for longer
/// reads the whole registry again.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(300);
/// How long a [`Doubt`] is kept. A server that is alive announces itself within a few
/// seconds after the registry was restored.
const DOUBT_LIFETIME: Duration = Duration::from_secs(10);

/// What a server announces about itself in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the service that the server belongs to.
    pub service: String,
    /// The IP address and port that accept calls.
    pub address: SocketAddr,
    /// The name of the server's failure domain.
    pub domain: String,
    /// The number of calls that the server runs at the same time.
    pub slots: u32,
    /// Whether the server only finishes its calls in flight and accepts no new ones.
    pub draining: bool,
    /// How much longer the server is cold, counted from the announcement; 0 if it
    /// is not cold.
    pub cold: Duration,
    /// When the server started, which distinguishes a restarted server from its
    /// predecessor of the same name; 0 if the server does not announce it.
    pub born: u64,
    /// The number of the announcement, which rises with each one since the start, also
    /// with those that change nothing else and get no revision; 0 if the server does not
    /// number them.
    #[serde(default)]
    pub announced: u64,
    /// The version of the server's software; empty if the server does not announce it.
    #[serde(default)]
    pub version: String,
}

/// The value of the entry of a failure domain that is out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOut {}

/// The last known change of one named entry of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogEntry<T> {
    /// The name of the server or of the failure domain.
    pub name: String,
    /// The registry revision of the last change that is not a mere heartbeat.
    pub revision: Revision,
    /// The value; `None` if the entry was deleted or cannot be read.
    pub value: Option<T>,
    /// When this VM learned of the change.
    #[serde(skip)]
    pub since: Time,
    /// The latest revision at which this VM has read the entry, heartbeats included; a
    /// deletion of an earlier revision has been undone since.
    #[serde(skip)]
    pub confirmed: Revision,
    /// When the server of a deleted entry started, see [`Instance::born`]; 0 if that is
    /// not known, and for other entries.
    #[serde(skip)]
    pub left_born: u64,
    /// The entry that a restored copy of the registry has for a server that left or
    /// drains; none if there is no such entry.
    #[serde(skip)]
    pub doubt: Option<Doubt>,
    /// A deletion that has not taken effect yet; none if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub removal: Option<HeldRemoval>,
}

/// The deletion of an entry around an outage of the registry.
///
/// The entry may have lapsed because of the outage, or be missing from the copy from
/// which the registry was restored, so it has time to come back. Peers learn of the
/// deletion at its own revision meanwhile, and hold it back too; an earlier build ignores
/// it until it takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRemoval {
    /// The revision of the deletion.
    pub revision: Revision,
    /// How long after `since` the deletion takes effect.
    wait: Duration,
    /// When this VM learned of the deletion.
    #[serde(skip)]
    since: Time,
}

impl HeldRemoval {
    /// Creates the deletion at `revision` that takes effect `wait` after `now`.
    pub fn new(revision: Revision, wait: Duration, now: Time) -> Self {
        Self {
            revision,
            wait,
            since: now,
        }
    }

    /// Returns when the deletion takes effect, if the entry has not come back by then.
    pub fn due(&self) -> Time {
        self.since + self.wait
    }

    /// Returns the deletion as a peer learns of it at `now`.
    fn at(&self, now: Time) -> Self {
        Self::new(self.revision, self.due().saturating_sub(now), now)
    }
}

/// An entry that a restored registry has for a server that was taken for gone.
///
/// Either the server left after the copy was made, or its entry had only lapsed and the
/// server is alive. A later announcement shows the latter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// The revision of the entry.
    pub revision: Revision,
    announced: u64,
    since: Time,
}

/// Whether an entry that was read replaces what is known of its server.
enum Judgment {
    /// It does.
    Current,
    /// It does not; the entry is older than what is known.
    Outdated,
    /// That depends on the server's next announcement.
    Doubtful,
}

/// The changes that a VM sends to a peer whose catalog is older.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// How long ago the sender's catalog was up to date; `None` if that is not known.
    #[serde(default)]
    pub age: Option<Duration>,
    /// The layout with its registry revision; `None` if the peer has it.
    pub layout: Option<(Revision, Arc<Layout>)>,
    /// Servers that were added, changed or deleted.
    pub servers: Vec<CatalogEntry<Instance>>,
    /// Failure domains that were taken out of service or put back in.
    pub outs: Vec<CatalogEntry<DomainOut>>,
    /// See [`Catalog::note_list`]; 0 if the sender knows of no list.
    #[serde(default)]
    pub listed: Revision,
    /// All roll-outs, whatever the peer knows: the revisions that peers exchange do not
    /// cover them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<CatalogEntry<Rollout>>,
}

/// A VM's local copy of the service registry.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    layout: Option<(Revision, Arc<Layout>)>,
    servers: Vec<CatalogEntry<Instance>>,
    outs: Vec<CatalogEntry<DomainOut>>,
    rollouts: Vec<CatalogEntry<Rollout>>,
    /// The revision of the first list of the latest era that is known to a VM.
    listed: Revision,
    changes: u64,
    /// Whether the deployment has teams, see [`Self::with_needs_teams`].
    needs_teams: bool,
    /// The number of the latest layout that a peer passed on without teams and that was not
    /// taken over; 0 if there was none.
    refused: TicketNo,
}

impl Instance {
    /// Returns whether `next` changes how calls are served.
    ///
    /// A heartbeat, which repeats the announcement with less cold time left, does
    /// not.
    fn differs_from(&self, next: &Self) -> bool {
        let cold_changed = next.cold > self.cold || next.cold.is_zero() != self.cold.is_zero();
        let comparable = Self {
            cold: self.cold,
            announced: self.announced,
            ..next.clone()
        };
        cold_changed || *self != comparable
    }
}

impl Catalog {
    /// Creates an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the deployment has teams. A layout without any is then not taken over
    /// from peers: a VM of an earlier build may have dropped them. See
    /// `docs/design/teams.md`.
    pub fn with_needs_teams(mut self, needs_teams: bool) -> Self {
        self.needs_teams = needs_teams;
        self
    }

    /// Returns whether a peer has a newer layout that was not taken over from it, so that
    /// this VM has to read the registry.
    pub fn awaits_layout(&self) -> bool {
        self.refused > self.layout().map_or(0, |layout| layout.ticket)
    }

    /// Returns the number of changes since the catalog was created; heartbeats are
    /// not counted.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns whether the catalog has a layout.
    pub fn has_layout(&self) -> bool {
        self.layout.is_some()
    }

    /// Returns whether the catalog has a layout and at least one server, deleted
    /// ones included.
    pub fn is_populated(&self) -> bool {
        self.has_layout() && !self.servers.is_empty()
    }

    /// Returns the layout in force, `None` before one was read.
    pub fn layout(&self) -> Option<&Arc<Layout>> {
        self.layout.as_ref().map(|(_, layout)| layout)
    }

    /// Returns the entries of the servers sorted by name, tombstones included.
    pub fn servers(&self) -> &[CatalogEntry<Instance>] {
        &self.servers
    }

    /// Returns the newest known revision of the layout, the servers and the failure
    /// domains that are out; 0 where nothing is known.
    pub fn revisions(&self) -> RegistryRevisions {
        RegistryRevisions {
            layout: self.layout().map_or(0, |layout| layout.ticket),
            servers: self.servers_revision(),
            outs: newest_revision(&self.outs),
        }
    }

    /// Returns the revision up to which the entries of servers are known. It ends before
    /// an entry in doubt, so that peers offer what they find out about it.
    fn servers_revision(&self) -> Revision {
        let doubts = self.servers.iter().filter_map(|entry| entry.doubt);
        let undoubted = doubts.map(|doubt| doubt.revision - 1).min();
        newest_revision(&self.servers).min(undoubted.unwrap_or(Revision::MAX))
    }

    /// Returns whether the registry has entries of which it is not known whether they
    /// hold; see [`Doubt`].
    pub fn has_doubts(&self) -> bool {
        self.servers.iter().any(|entry| entry.doubt.is_some())
    }

    /// Returns whether the entry of the server `name` is in doubt.
    pub fn is_doubtful(&self, name: &str) -> bool {
        let found = self.servers.binary_search_by(|e| e.name.as_str().cmp(name));
        found.is_ok_and(|index| self.servers[index].doubt.is_some())
    }

    /// Records that a VM has listed the registry at `revision`. What is written later in
    /// the era does not come from the copy with which the era began.
    pub fn note_list(&mut self, revision: Revision) {
        let (era, known) = (revisions::era(revision), revisions::era(self.listed));
        if revision > 0 && (era > known || (era == known && revision < self.listed)) {
            self.listed = revision;
        }
    }

    /// Replaces the layout by a newer one and returns whether it was replaced.
    ///
    /// The ticket number must be higher than before: a ticket that is written later
    /// under a lower number never takes effect, and neither does one that a restored
    /// copy of the registry brings back. Only the teams that the layout in force lacks are
    /// added to it under the same number.
    pub fn set_layout(&mut self, revision: Revision, layout: Arc<Layout>) -> bool {
        let is_newer = |old: &Arc<Layout>| match layout.ticket.cmp(&old.ticket) {
            Ordering::Greater => true,
            Ordering::Equal => old.teams.is_none() && layout.teams.is_some(),
            Ordering::Less => false,
        };
        if !self.layout().is_none_or(is_newer) {
            return false;
        }
        self.layout = Some((revision, layout));
        self.changes += 1;
        true
    }

    /// Updates the server `name`, or deletes it if `value` is `None`.
    ///
    /// Returns whether the entry changed; it does not if `revision` is not newer,
    /// `value` is a heartbeat, or it would revive a server that has left or drains. A
    /// deletion that this VM knows to have been undone changes only the revision, so
    /// that peers fetch the entry.
    pub fn set_server(
        &mut self,
        name: &str,
        revision: Revision,
        value: Option<Instance>,
        now: Time,
    ) -> bool {
        let known = self.servers.binary_search_by(|e| e.name.as_str().cmp(name));
        let mut last_born = 0;
        if let Ok(index) = known {
            let entry = &mut self.servers[index];
            last_born = entry
                .value
                .as_ref()
                .map_or(entry.left_born, |value| value.born);
            let judgment = value
                .as_ref()
                .map(|next| entry.judge(next, revision, self.listed, now));
            match judgment {
                Some(Judgment::Outdated) => {
                    // What is known holds at that revision too. Peers would offer it
                    // again and again otherwise.
                    entry.doubt = None;
                    entry.revision = entry.revision.max(revision);
                    return false;
                }
                Some(Judgment::Doubtful) => return false,
                Some(Judgment::Current) => {}
                None => {
                    let settled = entry.doubt.take_if(|doubt| revision > doubt.revision);
                    if settled.is_some() && entry.value.is_none() {
                        entry.revision = entry.revision.max(revision);
                        self.changes += 1;
                        return true;
                    }
                }
            }
            if value.is_some() {
                entry.confirmed = entry.confirmed.max(revision);
            } else if entry.value.is_some() && revision < entry.confirmed {
                return self.note_return(name);
            }
        }
        let differs = |old: &Option<Instance>, new: &Option<Instance>| match (old, new) {
            (Some(old), Some(new)) => old.differs_from(new),
            (None, None) => false,
            _ => true,
        };
        let removed = value.is_none();
        let changed = set_entry(&mut self.servers, name, revision, value, now, differs);
        if let (true, Ok(index)) = (changed && removed, known) {
            self.servers[index].left_born = last_born;
        }
        self.changes += u64::from(changed);
        changed
    }

    /// Holds back the deletion `removal` of the server `name`. Returns whether the catalog
    /// changed, as [`Self::set_server`] does.
    pub fn hold_server(&mut self, name: &str, removal: HeldRemoval) -> bool {
        let found = self.servers.binary_search_by(|e| e.name.as_str().cmp(name));
        let Ok(index) = found else {
            return false;
        };
        let entry = &self.servers[index];
        if entry.value.is_none() {
            return self.set_server(name, removal.revision, None, removal.since);
        }
        if removal.revision < entry.confirmed {
            return self.note_return(name);
        }
        let changed = hold_entry(&mut self.servers[index], removal);
        self.changes += u64::from(changed);
        changed
    }

    /// Holds back the deletion `removal` of the order that the failure domain `name` is out
    /// of service. Returns whether the catalog changed.
    pub fn hold_domain_out(&mut self, name: &str, removal: HeldRemoval) -> bool {
        let found = self.outs.binary_search_by(|e| e.name.as_str().cmp(name));
        let changed = found.is_ok_and(|index| hold_entry(&mut self.outs[index], removal));
        self.changes += u64::from(changed);
        changed
    }

    /// Returns when the next deletion of a server that is held back takes effect; none if
    /// none is held back.
    pub fn next_server_removal(&self) -> Option<Time> {
        next_removal(&self.servers)
    }

    /// Returns when the next order is dropped that is missing from a restored copy; none
    /// if there is no such order.
    pub fn next_domain_removal(&self) -> Option<Time> {
        next_removal(&self.outs)
    }

    /// Returns the number of deletions that are held back.
    pub fn held_count(&self) -> usize {
        let servers = self.servers.iter().filter(|e| e.removal.is_some()).count();
        servers + self.outs.iter().filter(|e| e.removal.is_some()).count()
    }

    /// Deletes the servers whose deletions were held back until `known` or before, the time
    /// up to which this VM knows the entries of servers. Returns their names and the
    /// revisions of the deletions.
    pub fn remove_due_servers(&mut self, known: Time, now: Time) -> Vec<(String, Revision)> {
        let due = due_removals(&self.servers, known);
        for (name, revision) in &due {
            self.set_server(name, *revision, None, now);
        }
        due
    }

    /// Does the same for the orders that domains are out of service.
    pub fn remove_due_domains_out(&mut self, known: Time, now: Time) -> Vec<(String, Revision)> {
        let due = due_removals(&self.outs, known);
        for (name, revision) in &due {
            self.set_domain_out(name, *revision, false, now);
        }
        due
    }

    /// Records that the server `name` was deleted and has returned, although its entry
    /// here never changed: gives the entry the revision at which it was last read, so
    /// that peers that applied the deletion fetch it. Returns whether that raised the
    /// revision.
    pub fn note_return(&mut self, name: &str) -> bool {
        let found = self.servers.binary_search_by(|e| e.name.as_str().cmp(name));
        let Ok(index) = found else {
            return false;
        };
        let entry = &mut self.servers[index];
        let raised = entry.value.is_some() && entry.confirmed > entry.revision;
        if raised {
            entry.revision = entry.confirmed;
            self.changes += 1;
        }
        raised
    }

    /// Gives the server `name`, which a peer has with the same value, the peer's higher
    /// `revision`. Others that know of a deletion in between fetch it then from this VM too.
    /// Returns whether that raised the revision.
    fn raise_server(&mut self, name: &str, revision: Revision) -> bool {
        let found = self.servers.binary_search_by(|e| e.name.as_str().cmp(name));
        let Ok(index) = found else {
            return false;
        };
        let entry = &mut self.servers[index];
        let accepted = entry.value.is_some() && entry.confirmed >= revision;
        let raised = accepted && entry.revision < revision;
        if raised {
            entry.revision = revision;
            self.changes += 1;
        }
        raised
    }

    /// Marks the failure domain `name` as out of service or as back in, and returns
    /// whether the entry changed.
    pub fn set_domain_out(&mut self, name: &str, revision: Revision, out: bool, now: Time) -> bool {
        let value = out.then_some(DomainOut {});
        let changed = set_entry(&mut self.outs, name, revision, value, now, |a, b| a != b);
        self.changes += u64::from(changed);
        changed
    }

    /// Returns the entries of the roll-outs, sorted by name, tombstones included.
    pub fn rollouts(&self) -> &[CatalogEntry<Rollout>] {
        &self.rollouts
    }

    /// Updates the roll-out `name`, or deletes it if `value` is `None`; returns whether the
    /// entry changed.
    pub fn set_rollout(
        &mut self,
        name: &str,
        revision: Revision,
        value: Option<Rollout>,
        now: Time,
    ) -> bool {
        // The status is written under the entry's revision, so a change of the revision
        // alone is news too.
        let differs = |old: &Option<Rollout>, new: &Option<Rollout>| old.is_some() || new.is_some();
        let changed = set_entry(&mut self.rollouts, name, revision, value, now, differs);
        self.changes += u64::from(changed);
        changed
    }

    /// Applies the entry of a roll-out that a peer sent; returns whether anything changed.
    pub fn merge_rollout(&mut self, entry: CatalogEntry<Rollout>, now: Time) -> bool {
        let mut changed = self.set_rollout(&entry.name, entry.revision, entry.value, now);
        if let Some(HeldRemoval { revision, wait, .. }) = entry.removal {
            changed |= self.hold_rollout(&entry.name, HeldRemoval::new(revision, wait, now));
        }
        changed
    }

    /// Holds back the deletion `removal` of the roll-out `name`; returns whether the catalog
    /// changed.
    pub fn hold_rollout(&mut self, name: &str, removal: HeldRemoval) -> bool {
        let found = self
            .rollouts
            .binary_search_by(|e| e.name.as_str().cmp(name));
        let changed = found.is_ok_and(|index| hold_entry(&mut self.rollouts[index], removal));
        self.changes += u64::from(changed);
        changed
    }

    /// Returns when the next roll-out is dropped that is missing from a restored copy.
    pub fn next_rollout_removal(&self) -> Option<Time> {
        next_removal(&self.rollouts)
    }

    /// Deletes the roll-outs whose deletions were held back until `known` or before; returns
    /// their names and the revisions of the deletions.
    pub fn remove_due_rollouts(&mut self, known: Time, now: Time) -> Vec<(String, Revision)> {
        let due = due_removals(&self.rollouts, known);
        for (name, revision) in &due {
            self.set_rollout(name, *revision, None, now);
        }
        due
    }

    /// Returns the names of the roll-outs that are missing from `listed`, a sorted list of
    /// all roll-outs read at `revision`, and have not changed after it.
    pub fn missing_rollouts(&self, listed: &[String], revision: Revision) -> Vec<String> {
        missing_names(&self.rollouts, listed, revision)
    }

    /// Returns the names of the servers that are missing from `listed`, a sorted
    /// list of all servers read at `revision`, and have not changed after it.
    pub fn missing_servers(&self, listed: &[String], revision: Revision) -> Vec<String> {
        let mut missing = missing_names(&self.servers, listed, revision);
        let in_doubt = self
            .servers
            .iter()
            .filter(|entry| entry.value.is_none() && entry.doubt.is_some())
            .filter(|entry| listed.binary_search(&entry.name).is_err());
        missing.extend(in_doubt.map(|entry| entry.name.clone()));
        missing
    }

    /// Returns the names of the failure domains that are out, are missing from
    /// `listed`, a sorted list of all such domains read at `revision`, and have not
    /// changed after it.
    pub fn missing_domains_out(&self, listed: &[String], revision: Revision) -> Vec<String> {
        missing_names(&self.outs, listed, revision)
    }

    /// Returns the changes after the revisions `known`, with the cold time that the
    /// servers have left at `now`.
    pub fn changes_since(&self, known: &RegistryRevisions, now: Time) -> Update {
        let newer = |(_, layout): &&(Revision, Arc<Layout>)| layout.ticket > known.layout;
        let mut servers = entries_after(&self.servers, known.servers, now);
        for entry in &mut servers {
            if let Some(instance) = &mut entry.value {
                let age = now.saturating_sub(entry.since);
                instance.cold = instance.cold.saturating_sub(age);
            }
        }
        Update {
            age: None,
            layout: self.layout.as_ref().filter(newer).cloned(),
            servers,
            outs: entries_after(&self.outs, known.outs, now),
            listed: self.listed,
            rollouts: entries_after(&self.rollouts, 0, now),
        }
    }

    /// Applies the changes that a peer sent and returns whether any entry changed.
    pub fn merge(&mut self, update: Update, now: Time) -> bool {
        let mut changed = false;
        self.note_list(update.listed);
        if let Some((revision, layout)) = update.layout {
            if self.needs_teams && layout.teams.is_none() {
                self.refused = self.refused.max(layout.ticket);
            } else {
                changed |= self.set_layout(revision, layout);
            }
        }
        for entry in update.servers {
            changed |= self.set_server(&entry.name, entry.revision, entry.value, now);
            changed |= self.raise_server(&entry.name, entry.revision);
            if let Some(HeldRemoval { revision, wait, .. }) = entry.removal {
                let removal = HeldRemoval::new(revision, wait, now);
                changed |= self.hold_server(&entry.name, removal);
            }
        }
        for entry in update.outs {
            let out = entry.value.is_some();
            changed |= self.set_domain_out(&entry.name, entry.revision, out, now);
            if let Some(HeldRemoval { revision, wait, .. }) = entry.removal {
                let removal = HeldRemoval::new(revision, wait, now);
                changed |= self.hold_domain_out(&entry.name, removal);
            }
        }
        for entry in update.rollouts {
            changed |= self.merge_rollout(entry, now);
        }
        changed
    }

    /// Removes the tombstones of servers whose deletion became known to this VM more
    /// than five minutes before `now`.
    pub fn remove_tombstones(&mut self, now: Time) {
        // `revisions` is computed from the newest entry, so that entry stays.
        let newest = newest_revision(&self.servers);
        self.servers.retain(|entry| {
            let recent = now < entry.since + TOMBSTONE_LIFETIME;
            entry.value.is_some() || recent || entry.revision == newest
        });
    }

    /// Builds the state that is in force at `now` on a VM of `region`; an empty state
    /// if there is no layout.
    pub fn state(&self, region: &str, now: Time) -> Arc<State> {
        let Some((revision, layout)) = &self.layout else {
            return Arc::default();
        };
        let services = layout
            .services
            .iter()
            .map(|service| Arc::new(self.add_servers(service, now)));
        let orders = self.outs.iter().map(|entry| DomainOrder {
            domain: entry.name.clone(),
            out: entry.value.is_some(),
            by: String::new(),
            at: 0,
        });
        let rollouts = self.rollouts.iter().filter_map(|entry| entry.value.clone());
        let domain_orders = DomainOrders {
            revision: newest_revision(&self.outs),
            orders: orders.collect(),
        };
        let state =
            State::from_layout(*revision, layout, services.collect(), domain_orders, region)
                .with_needs_teams(self.needs_teams)
                .with_rollouts(rollouts.collect());
        Arc::new(state)
    }

    /// Returns `service` with the servers that announce themselves for it, as of
    /// `now`.
    fn add_servers(&self, service: &Service, now: Time) -> Service {
        let mut servers = Vec::new();
        for entry in &self.servers {
            let value = entry.value.as_ref();
            let Some(instance) = value.filter(|i| i.service == service.name) else {
                continue;
            };
            let age = now.saturating_sub(entry.since);
            servers.push(Server {
                // A restarted server gets a new id, so that nothing that is known
                // of its predecessor is applied to it.
                name: if instance.born == 0 {
                    entry.name.clone()
                } else {
                    format!("{}@{}", entry.name, instance.born)
                },
                instance: entry.name.clone(),
                address: instance.address,
                domain: instance.domain.clone(),
                // An earlier build may pass an entry on that is out of range.
                slots: instance.slots.clamp(1, MAX_SLOTS),
                connections: service.connections.max(1),
                mode: if instance.draining {
                    Mode::Drain
                } else {
                    Mode::Active
                },
                cold: if instance.cold > age {
                    entry.revision
                } else {
                    0
                },
                watched: true,
                version: instance.version.clone(),
                ticket: 0,
            });
        }
        service.clone().with_servers(servers)
    }
}

impl CatalogEntry<Instance> {
    /// Judges `next`, the server's entry at `revision`, which may be out of date
    /// although its revision is newer. `listed` is described at [`Catalog::note_list`].
    ///
    /// It is out of date if it belongs to an earlier start of the server. It also may be
    /// if the server has left or drains, and the entry comes from a copy from which the
    /// registry was restored: its counter is then below that of the departure, and not
    /// above `listed`. A server whose entry had only lapsed goes on announcing itself, so
    /// such an entry is in doubt until the next announcement.
    fn judge(
        &mut self,
        next: &Instance,
        revision: Revision,
        listed: Revision,
        now: Time,
    ) -> Judgment {
        let born = self
            .value
            .as_ref()
            .map_or(self.left_born, |value| value.born);
        if next.born < born {
            return Judgment::Outdated;
        }
        let leaves = self.value.as_ref().is_none_or(|value| value.draining);
        let restored = revisions::era(revision) > revisions::era(self.revision);
        let before = revisions::counter(revision) <= revisions::counter(self.revision);
        let same_start = born == 0 || next.born == born;
        let era = revisions::era(revision);
        let from_copy = revisions::era(listed) != era || revision <= listed;
        if !(leaves && !next.draining && restored && before && same_start && from_copy) {
            self.doubt = None;
            return Judgment::Current;
        }
        let known = self
            .doubt
            .filter(|doubt| revisions::era(doubt.revision) == era);
        let doubt = known.unwrap_or(Doubt {
            revision,
            announced: next.announced,
            since: now,
        });
        self.doubt = Some(doubt);
        if revision > doubt.revision || next.announced > doubt.announced {
            self.doubt = None;
            Judgment::Current
        } else if now >= doubt.since + DOUBT_LIFETIME {
            Judgment::Outdated
        } else {
            Judgment::Doubtful
        }
    }
}

impl<T> CatalogEntry<T> {
    /// Returns the revision of the last change, deletions that are held back included.
    fn newest(&self) -> Revision {
        self.revision.max(self.removal.map_or(0, |r| r.revision))
    }
}

/// Returns the highest revision of `entries`, 0 if there are none.
fn newest_revision<T>(entries: &[CatalogEntry<T>]) -> Revision {
    entries.iter().map(CatalogEntry::newest).max().unwrap_or(0)
}

/// Returns the entries that changed after `revision`, as a peer learns of them at `now`.
fn entries_after<T: Clone>(
    entries: &[CatalogEntry<T>],
    revision: Revision,
    now: Time,
) -> Vec<CatalogEntry<T>> {
    let newer = entries.iter().filter(|entry| entry.newest() > revision);
    let mut newer: Vec<_> = newer.cloned().collect();
    for entry in &mut newer {
        entry.removal = entry.removal.map(|removal| removal.at(now));
    }
    newer
}

/// Holds back the deletion `removal` of `entry`; returns whether that is news. The entry
/// has no more time to come back if it is found to be missing once more.
fn hold_entry<T>(entry: &mut CatalogEntry<T>, removal: HeldRemoval) -> bool {
    if entry.value.is_none() || removal.revision < entry.newest() {
        return false;
    }
    match &mut entry.removal {
        Some(held) if held.revision == removal.revision => return false,
        Some(held) => held.revision = removal.revision,
        None => entry.removal = Some(removal),
    }
    true
}

fn next_removal<T>(entries: &[CatalogEntry<T>]) -> Option<Time> {
    let removals = entries.iter().filter_map(|entry| entry.removal);
    removals.map(|removal| removal.due()).min()
}

/// Returns the names of the entries whose deletion is due at `known`, and the revision
/// that it has, which is not below that of the entry.
fn due_removals<T>(entries: &[CatalogEntry<T>], known: Time) -> Vec<(String, Revision)> {
    let held = entries
        .iter()
        .filter_map(|e| e.removal.map(|removal| (e, removal)));
    let due = held.filter(|(_, removal)| removal.due() <= known);
    due.map(|(entry, _)| (entry.name.clone(), entry.newest()))
        .collect()
}

/// Returns the names of the entries that have a value, are not in the sorted
/// `listed` and have not changed after `revision`.
fn missing_names<T>(
    entries: &[CatalogEntry<T>],
    listed: &[String],
    revision: Revision,
) -> Vec<String> {
    entries
        .iter()
        .filter(|entry| entry.value.is_some() && entry.revision <= revision)
        .filter(|entry| listed.binary_search(&entry.name).is_err())
        .map(|entry| entry.name.clone())
        .collect()
}

/// Sets the value of the entry `name`, unless `revision` is not newer or `differs`
/// returns false for the old and the new value. Returns whether it was set.
fn set_entry<T>(
    entries: &mut Vec<CatalogEntry<T>>,
    name: &str,
    revision: Revision,
    value: Option<T>,
    now: Time,
    differs: impl Fn(&Option<T>, &Option<T>) -> bool,
) -> bool {
    let new_entry = |value| CatalogEntry {
        name: name.into(),
        revision,
        value,
        since: now,
        confirmed: revision,
        left_born: 0,
        doubt: None,
        removal: None,
    };
    match entries.binary_search_by(|entry| entry.name.as_str().cmp(name)) {
        Ok(index) => {
            let old = &entries[index];
            // A deletion may have the same revision as the entry's last change.
            let deleted = revision == old.revision && old.value.is_some() && value.is_none();
            let newer = revision > old.revision || deleted;
            // An entry that came back may be the same as before its deletion.
            let returned = value.is_some() && old.removal.is_some_and(|r| revision > r.revision);
            if !newer || !(returned || differs(&old.value, &value)) {
                return false;
            }
            let known = old.newest();
            let removal = old.removal.filter(|_| value.is_some() && !returned);
            let entry = new_entry(value);
            entries[index] = CatalogEntry {
                // Peers that know of a later deletion fetch nothing older.
                revision: match entry.value {
                    None => known.max(revision),
                    Some(_) => revision,
                },
                removal,
                ..entry
            };
            true
        }
        Err(_) if value.is_none() => false,
        Err(index) => {
            entries.insert(index, new_entry(value));
            true
        }
    }
}
