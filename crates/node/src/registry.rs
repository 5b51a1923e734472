//! Keeps this VM's catalog as new as the users' system of record.
//!
//! A few VMs read it ([`crate::readers`]); the others hear of changes from their
//! peers' pings and fetch them there. Every ping also tells how long ago its
//! sender's knowledge was found to be the newest. See `docs/design/platform.md`.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use base::revisions::RegistryRevisions;
use base::Revision;
use base::Time;
use conf::catalog::Update;
use conf::registry::EntryValue;
use conf::registry::Page;
use conf::registry::RegistryEntry;
use conf::registry::Topic;
use conf::Registry;

use crate::readers::STALE;
use crate::shared::lock;
use crate::shared::Shared;
use crate::sync;

/// The longest wait of one watch. A connection may fall silent for good, so a
/// watch ends long before a change would be late.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// How long an answer may take beyond the wait; many times what is usual.
const ANSWER_LIMIT: Duration = Duration::from_millis(1200);
/// The rest after changes of servers, which come with every sign of life.
const SERVERS_REST: Duration = Duration::from_millis(800);
/// The rest after other answers.
const REST: Duration = Duration::from_millis(50);
/// The first wait after a failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The longest wait after failures, short of [`STALE`].
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// VMs that wait no longer than that while nobody can read. In a larger fleet all
/// wait longer then, as one that succeeds tells the others.
const TRYING: u32 = 12;
/// Failures from which on a topic waits until the servers can be read again.
const FAILURES_MAX: u32 = 2;
/// The age of knowledge from which on the system of record answers nobody.
const DOWN_FOR_ALL_AGE: Duration = Duration::from_secs(4);
/// The time after an outage within which servers that are alive are listed
/// again; the platform's operators promise two seconds.
const RETURN: Duration = Duration::from_millis(2200);
/// Entries up to which each change of one answer has a line in the log; of more,
/// such as a whole list, their number is enough.
const LOGGED_MAX: usize = 40;
/// The time between two looks for entry VMs that no peer has told of.
const VMS_PERIOD: Duration = Duration::from_secs(20);
/// The time between two looks whether this VM knows no other, or should be
/// listed.
const LONELY: Duration = Duration::from_millis(1500);

/// The end of a server's entry that counts only once it is certain that it is
/// not a consequence of an outage.
struct Ending {
    name: String,
    revision: Revision,
    due: Time,
}

/// What one task knows while it follows a topic.
struct Reading {
    topic: Topic,
    revision: Option<Revision>,
    failures: u32,
    endings: Vec<Ending>,
}

impl Shared {
    /// Takes note that a peer knows the same, and how old that is.
    pub(crate) fn note_same(&self, marks: &member::Revisions) {
        if self.registry.is_some() && marks.registry.layout > 0 {
            self.confirm(Duration::from_millis(u64::from(marks.age)));
        }
    }

    /// Returns what is newer here than `marks`, encoded.
    pub(crate) fn newer_registry(&self, marks: &RegistryRevisions) -> Option<Vec<u8>> {
        let catalog = lock(&self.catalog);
        let newer = catalog.revisions().exceeds(marks);
        newer.then(|| sync::encode(&catalog.changes_since(marks, self.clock.now())))
    }

    /// Takes what a peer knows.
    pub(crate) fn take_update(&self, update: Update) {
        let now = self.clock.now();
        let changed = lock(&self.catalog).merge(update, now);
        if changed {
            // The sender would have read for itself if it knew less.
            self.confirm(STALE / 2);
            self.put_in_force();
        }
    }

    /// Puts the catalog's configuration in force on this VM.
    pub(crate) fn put_catalog_in_force(&self) {
        let refresh_guard = lock(&self.refresh_lock);
        let now = self.clock.now();
        let catalog = lock(&self.catalog);
        let changes = catalog.change_count();
        if self.applied_changes.swap(changes, Ordering::SeqCst) == changes {
            return;
        }
        let marks = catalog.revisions();
        let state = catalog.state(&self.settings.region, now);
        drop(catalog);
        let pending = self.refresh(state);
        drop(refresh_guard);
        self.run_all_effects(pending);
        self.with_members(|members| {
            members.set_revisions(member::Revisions {
                registry: marks,
                ..members.revisions()
            });
            self.set_registry_age(members);
            members.announce();
        });
    }

    /// Follows `topic` for as long as it is polled.
    pub(crate) async fn follow(self: Arc<Self>, registry: Arc<dyn Registry>, topic: Topic) {
        let mut reading = Reading {
            topic,
            revision: None,
            failures: 0,
            endings: Vec::new(),
        };
        loop {
            self.end_due(&mut reading);
            let waits = reading.topic != Topic::Servers
                && reading.failures >= FAILURES_MAX
                && self.is_registry_down();
            if waits || !self.should_read() {
                smol::Timer::after(self.next_read_check()).await;
                continue;
            }
            let result = self.read(&*registry, &mut reading).await;
            let rest = match result {
                Ok(()) => self.note_success(&mut reading),
                Err(error) => self.note_failure(&mut reading, &error),
            };
            self.wait_out(rest).await;
        }
    }

    /// Waits for `rest`; after [`BACKOFF_MAX`] no longer than until a peer has read,
    /// as peers read only now and then, and this VM may be one that should.
    async fn wait_out(&self, rest: Duration) {
        let mut left = rest;
        while !left.is_zero() {
            let part = left.min(BACKOFF_MAX);
            smol::Timer::after(part).await;
            left -= part;
            if !self.is_registry_down_for_all() {
                return;
            }
        }
    }

    fn is_registry_down_for_all(&self) -> bool {
        u128::from(self.registry_age()) >= DOWN_FOR_ALL_AGE.as_millis()
    }

    fn note_success(&self, reading: &mut Reading) -> Duration {
        if reading.failures > 0 {
            log::info!(
                "registry: {} can be read again after {} failures",
                reading.topic.name(),
                reading.failures
            );
        }
        reading.failures = 0;
        let now = self.clock.now().as_millis() as u64;
        self.registry_read_ms.fetch_max(now, Ordering::Relaxed);
        if reading.topic != Topic::Servers {
            return REST;
        }
        self.confirm(Duration::ZERO);
        self.with_members(|members| self.set_registry_age(members));
        SERVERS_REST
    }

    fn note_failure(&self, reading: &mut Reading, error: &plat::Error) -> Duration {
        if let plat::Error::Compacted = error {
            log::info!(
                "registry: changes of {} after revision {} are not kept; listing",
                reading.topic.name(),
                reading.revision.unwrap_or(0)
            );
            reading.revision = None;
            return REST;
        }
        if reading.failures == 0 {
            log::warn!("registry: cannot read {}: {error}", reading.topic.name());
        }
        let now = self.clock.now().as_millis() as u64;
        self.registry_failed_ms.fetch_max(now, Ordering::Relaxed);
        let crowd = if self.is_registry_down_for_all() {
            (self.fleet_size() / TRYING).max(1)
        } else {
            1
        };
        let doubled = BACKOFF_MIN * crowd * 2_u32.saturating_pow(reading.failures.min(8));
        reading.failures += 1;
        let longest = BACKOFF_MAX * crowd;
        doubled.min(longest).mul_f64(0.75 + 0.5 * fastrand::f64())
    }

    async fn read(&self, registry: &dyn Registry, reading: &mut Reading) -> plat::Result<()> {
        match reading.revision {
            None => {
                let (items, revision) = list(registry, reading.topic).await?;
                self.note_return(reading);
                self.take_list(reading, items, revision);
            }
            Some(after) => {
                let page = registry
                    .watch(reading.topic, after, WATCH_WAIT, ANSWER_LIMIT)
                    .await?;
                self.note_return(reading);
                self.take_changes(reading, page);
            }
        }
        Ok(())
    }

    /// Takes note that an outage for all has ended, at the latest now: from now on
    /// servers whose entries lapsed in it come back. After any other, the last
    /// failure says well enough when it ended.
    fn note_return(&self, reading: &Reading) {
        if reading.failures > 0 && self.is_registry_down_for_all() {
            let now = self.clock.now().as_millis() as u64;
            self.registry_failed_ms.fetch_max(now, Ordering::Relaxed);
        }
    }

    fn take_list(&self, reading: &mut Reading, items: Vec<RegistryEntry>, revision: Revision) {
        let mut names: Vec<String> = items.iter().map(|item| item.name.clone()).collect();
        names.sort_unstable();
        let catalog = lock(&self.catalog);
        let gone = match reading.topic {
            Topic::Servers => catalog.missing_servers(&names, revision),
            Topic::DomainsOut => catalog.missing_domains_out(&names, revision),
            Topic::Layout | Topic::Vms => Vec::new(),
        };
        drop(catalog);
        let gone = gone.into_iter().map(|name| RegistryEntry {
            name,
            revision,
            value: None,
        });
        let items: Vec<RegistryEntry> = items.into_iter().chain(gone).collect();
        let count = items.len();
        let changed = self.take_items(reading, items);
        log::info!(
            revision, entries = count, changed;
            "registry: {} listed",
            reading.topic.name()
        );
        reading.revision = Some(revision);
    }

    fn take_changes(&self, reading: &mut Reading, page: Page) {
        self.take_items(reading, page.items);
        reading.revision = reading.revision.max(Some(page.revision));
    }

    /// Takes entries; returns how many changed what this VM knows.
    fn take_items(&self, reading: &mut Reading, items: Vec<RegistryEntry>) -> usize {
        let level = if items.len() > LOGGED_MAX {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        let now = self.clock.now();
        let away = Duration::from_millis(self.registry_failed_ms.load(Ordering::Relaxed));
        let returned = !away.is_zero() && now < away + RETURN;
        let mut changed = 0;
        for item in items {
            let ends = item.value.is_none() && reading.topic == Topic::Servers;
            if ends && returned {
                log::info!(
                    "registry: server {} vanished around an outage; waiting for its return",
                    item.name
                );
                reading.endings.push(Ending {
                    name: item.name,
                    revision: item.revision,
                    due: away + RETURN,
                });
                continue;
            }
            if !ends {
                reading.endings.retain(|ending| ending.name != item.name);
            }
            changed += usize::from(self.take_item(reading.topic, item, now, level));
        }
        if changed > 0 {
            self.put_in_force();
        }
        changed
    }

    /// Takes the ends of entries that did not come back after an outage.
    ///
    /// They bear the revision up to which this VM has read since: peers that know
    /// as much as when the entry ended would not ask for it otherwise.
    fn end_due(&self, reading: &mut Reading) {
        let now = self.clock.now();
        let read = reading.revision.unwrap_or(0);
        if reading.endings.is_empty() || read <= lock(&self.catalog).revisions().servers {
            return;
        }
        let endings = std::mem::take(&mut reading.endings);
        let (due, kept): (Vec<_>, Vec<_>) = endings.into_iter().partition(|e| now >= e.due);
        reading.endings = kept;
        let mut changed = false;
        for ending in due {
            let item = RegistryEntry {
                name: ending.name,
                revision: read.max(ending.revision),
                value: None,
            };
            changed |= self.take_item(Topic::Servers, item, now, log::Level::Info);
        }
        if changed {
            self.put_in_force();
        }
    }

    /// Takes an entry; returns whether it changed what this VM knows, and logs it at
    /// `level` if so.
    fn take_item(&self, topic: Topic, item: RegistryEntry, now: Time, level: log::Level) -> bool {
        let RegistryEntry {
            name,
            revision,
            value,
        } = item;
        let mut catalog = lock(&self.catalog);
        let changed = match (topic, value) {
            (_, Some(EntryValue::Unreadable(reason))) => {
                log::warn!(
                    "registry: {} {name} at revision {revision} cannot be read: {reason}",
                    topic.name()
                );
                match topic {
                    Topic::Servers => catalog.set_server(&name, revision, None, now),
                    Topic::Layout | Topic::DomainsOut | Topic::Vms => false,
                }
            }
            (Topic::Layout, Some(EntryValue::Layout(layout))) => {
                catalog.set_layout(revision, Arc::from(layout))
            }
            (Topic::Servers, Some(EntryValue::Server(instance))) => {
                catalog.set_server(&name, revision, Some(instance), now)
            }
            (Topic::Servers, None) => catalog.set_server(&name, revision, None, now),
            (Topic::DomainsOut, value) => {
                catalog.set_domain_out(&name, revision, value.is_some(), now)
            }
            // The layout is never deleted, and other kinds do not come here.
            _ => false,
        };
        if changed {
            log::log!(
                level,
                "registry: {} {name} changed at revision {revision}",
                topic.name()
            );
        }
        changed
    }

    /// Writes where peers reach this VM while it is a reader, and looks for VMs
    /// that no peer has told of, for as long as it is polled.
    ///
    /// Only readers are listed: whoever finds one of them finds all.
    pub(crate) async fn keep_enlisted(self: Arc<Self>, registry: Arc<dyn Registry>) {
        let address = self.settings.peers.listen;
        let mut enlisted = false;
        let mut searched = Time::ZERO;
        loop {
            let rest = LONELY.mul_f64(0.8 + 0.4 * fastrand::f64());
            smol::Timer::after(rest).await;
            let now = self.clock.now();
            lock(&self.catalog).remove_tombstones(now);
            let alone = self.view().alive.len() < 2;
            let first = self.readers().first() == Some(&self.self_id);
            if alone || (first && now >= searched + VMS_PERIOD) {
                searched = now;
                self.invite_listed(&*registry).await;
            }
            if !enlisted && self.readers().contains(&self.self_id) {
                let result = registry.register_vm(&self.settings.vm, address, ANSWER_LIMIT);
                match result.await {
                    Ok(()) => enlisted = true,
                    Err(error) => log::debug!("registry: cannot enlist: {error}"),
                }
            }
        }
    }

    async fn invite_listed(&self, registry: &dyn Registry) {
        match list(registry, Topic::Vms).await {
            Ok((items, _)) => self.with_members(|members| {
                for item in items {
                    if let Some(EntryValue::Vm(address)) = item.value {
                        members.discover(address);
                    }
                }
            }),
            Err(error) => log::debug!("registry: cannot list VMs: {error}"),
        }
    }
}

/// Reads all pages of a list; the revision is that of the first page, as what
/// was deleted later may stand on it.
async fn list(
    registry: &dyn Registry,
    topic: Topic,
) -> plat::Result<(Vec<RegistryEntry>, Revision)> {
    let mut page = registry.list(topic, None, ANSWER_LIMIT).await?;
    let revision = page.revision;
    let mut items = std::mem::take(&mut page.items);
    while page.has_more {
        let Some(last) = items.last().map(|item| item.name.clone()) else {
            break;
        };
        page = registry.list(topic, Some(&last), ANSWER_LIMIT).await?;
        items.append(&mut page.items);
    }
    Ok((items, revision))
}
