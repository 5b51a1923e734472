//! Keeps this VM's catalog up to date with the service registry.
//!
//! A few VMs read the registry ([`crate::readers`]). The others learn from their
//! peers' pings that there are changes, and fetch them from those peers. Every ping
//! also reports how long ago its sender's catalog was found to be up to date. See
//! `docs/design/platform.md`.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use base::revisions;
use base::revisions::Era;
use base::revisions::RegistryRevisions;
use base::Revision;
use base::Time;
use conf::catalog::HeldRemoval;
use conf::catalog::Update;
use conf::registry::EntryValue;
use conf::registry::Page;
use conf::registry::RegistryEntry;
use conf::registry::Topic;
use conf::Catalog;
use conf::Registry;
use member::Membership;

use crate::readers::read_delay;
use crate::readers::watch_wait;
use crate::readers::CHECK_DELAY_MIN;
use crate::readers::RESPONSE_TIMEOUT;
use crate::shared::lock;
use crate::shared::Shared;
use crate::sync;

/// The mean delay after the first failed read.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The upper bound of the mean delay after failed reads, shorter than [`crate::readers::STALE_AGE`].
/// Larger fleets wait longer while no VM can read; see [`VMS_PER_BACKOFF`].
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// The number of VMs by which the backoff scales while no VM can read: a fleet of
/// twice this size waits twice as long. The longer wait does no harm, since the first
/// VM that succeeds notifies the others.
const VMS_PER_BACKOFF: u32 = 12;
/// The number of failures after which a topic other than the servers is not read
/// until the servers can be read again.
const TOPIC_FAILURES_MAX: u32 = 2;
/// The age of the catalog from which on the registry counts as down for all VMs.
const DOWN_FOR_ALL_AGE: Duration = Duration::from_secs(4);
/// The time after an outage of the registry for which removals of servers are held
/// back. The platform's operators guarantee that servers that are alive are listed
/// again within two seconds.
const REMOVAL_DELAY: Duration = Duration::from_millis(2200);
/// The time after the registry was restored from a copy for which a failure domain stays
/// out although the copy lacks the order. Operators write lost orders again, and new work
/// in a domain that they are about to stop does more harm than a few seconds without it.
const RESTORED_ORDER_DELAY: Duration = Duration::from_secs(5);
/// The time between lists of the servers while some entries are in doubt, long enough
/// for a server that is alive to announce itself.
const DOUBT_LIST_INTERVAL: Duration = Duration::from_millis(2200);
/// The most entries in one response for which each change is logged at level info.
/// For more entries, such as a whole list, their number is enough.
const LOGGED_ENTRIES_MAX: usize = 40;
/// The delay before the rest of a page that ended early is read. It leaves most of the
/// platform's rate of reads to others, however many such entries there are.
const CUT_PAGE_DELAY: Duration = Duration::from_millis(10);
/// The interval at which the first reader looks in the registry for entry VMs that no
/// peer has reported.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(20);
/// The mean interval at which a VM checks whether it knows no other VM, and whether it
/// should register its address in the registry.
const REGISTER_CHECK_INTERVAL: Duration = Duration::from_millis(1500);

/// The state of the task that reads one topic.
struct TopicReader {
    topic: Topic,
    /// The revision up to which the topic was read; none if it has to be listed.
    revision: Option<Revision>,
    /// When the topic was last read; zero before.
    read_at: Time,
    /// When the topic was last listed; zero before.
    listed_at: Time,
    /// The number of failures since the last success.
    failures: u32,
    /// The servers that were listed or written since an outage ended.
    returned: Vec<String>,
}

impl Shared {
    /// Records that a peer's catalog is the same as this VM's, and so was up to date
    /// `revisions.age` milliseconds ago.
    pub(crate) fn note_same(&self, revisions: &member::Revisions) {
        if self.registry.is_some() {
            self.confirm(Duration::from_millis(u64::from(revisions.age)));
        }
    }

    /// Returns the encoded part of this VM's catalog that is newer than `revisions`; none
    /// if nothing is.
    pub(crate) fn newer_registry(&self, revisions: &RegistryRevisions) -> Option<Vec<u8>> {
        let catalog = lock(&self.catalog);
        let newer = catalog.revisions().exceeds(revisions);
        newer.then(|| {
            let age = self
                .is_confirmed()
                .then(|| Duration::from_millis(u64::from(self.registry_age())));
            sync::encode(&Update {
                age,
                ..catalog.changes_since(revisions, self.clock.now())
            })
        })
    }

    /// Merges an update from a peer into the catalog.
    pub(crate) fn apply_update(&self, update: Update) {
        let now = self.clock.now();
        let age = update.age;
        let mut catalog = lock(&self.catalog);
        let awaited = catalog.awaits_layout();
        let changed = catalog.merge(update, now);
        let awaits = catalog.awaits_layout();
        drop(catalog);
        if awaits && !awaited {
            log::warn!(
                "registry: a peer passed a layout on without its teams; reading it from the \
                 registry"
            );
        }
        // What the peer knows is then not what this VM has in force.
        if let Some(age) = age.filter(|_| !awaits) {
            self.confirm(age);
        }
        if changed {
            self.put_in_force();
        }
    }

    /// Puts the catalog's configuration in force on this VM unless it is already.
    pub(crate) fn put_catalog_in_force(&self) {
        let refresh_guard = lock(&self.refresh_lock);
        let now = self.clock.now();
        let catalog = lock(&self.catalog);
        let changes = catalog.change_count();
        if self.applied_changes.swap(changes, Ordering::SeqCst) == changes {
            return;
        }
        let revisions = catalog.revisions();
        let state = catalog.state(&self.settings.region, now);
        drop(catalog);
        let pending = self.refresh(state);
        drop(refresh_guard);
        self.run_all_effects(pending);
        self.with_members(|members| {
            members.set_revisions(member::Revisions {
                registry: revisions,
                ..members.revisions()
            });
            members.announce();
        });
    }

    /// Reads `topic` whenever this VM should. Runs until the task is cancelled.
    pub(crate) async fn follow_topic(self: Arc<Self>, registry: Arc<dyn Registry>, topic: Topic) {
        let mut reader = TopicReader {
            topic,
            revision: None,
            read_at: Time::ZERO,
            listed_at: Time::ZERO,
            failures: 0,
            returned: Vec::new(),
        };
        loop {
            self.apply_due_removals(topic);
            self.note_returns(&mut reader);
            let must_wait = reader.topic != Topic::Servers
                && reader.failures >= TOPIC_FAILURES_MAX
                && self.is_registry_down();
            if must_wait {
                smol::Timer::after(CHECK_DELAY_MIN).await;
                continue;
            }
            self.list_if_in_doubt(&mut reader);
            if !self.should_read(topic) {
                if reader.topic == Topic::Servers && !self.is_confirmed() {
                    self.with_members(Membership::exchange_revisions);
                }
                smol::Timer::after(self.next_read_check()).await;
                continue;
            }
            let result = self.read(&*registry, &mut reader).await;
            let delay = match result {
                Ok(has_changes) => self.note_success(&mut reader, has_changes),
                Err(error) => self.note_failure(&mut reader, &error),
            };
            self.wait_for_next_read(delay).await;
        }
    }

    /// Makes the reader of the servers list them again while a restored copy has entries
    /// of servers that may have left: announcements that change nothing are not watched.
    fn list_if_in_doubt(&self, reader: &mut TopicReader) {
        let due = self.clock.now() >= reader.listed_at + DOUBT_LIST_INTERVAL;
        if reader.topic == Topic::Servers && due && lock(&self.catalog).has_doubts() {
            reader.revision = None;
        }
    }

    /// Waits for `delay` in steps of at most [`BACKOFF_MAX`], and stops after a step
    /// if the registry is not down for all VMs: a peer has read it meanwhile, and this
    /// VM may be a reader that should read again.
    async fn wait_for_next_read(&self, delay: Duration) {
        let mut left = delay;
        while !left.is_zero() {
            let step = left.min(BACKOFF_MAX);
            smol::Timer::after(step).await;
            left -= step;
            if !self.is_registry_down_for_all() {
                return;
            }
        }
    }

    /// Returns whether no VM seems to have read the registry for a while.
    fn is_registry_down_for_all(&self) -> bool {
        u128::from(self.registry_age()) >= DOWN_FOR_ALL_AGE.as_millis()
    }

    /// Records a successful read; returns the delay until the next one. `has_changes` says
    /// whether the response has any.
    fn note_success(&self, reader: &mut TopicReader, has_changes: bool) -> Duration {
        if reader.failures > 0 {
            log::info!(
                "registry: {} can be read again after {} failures",
                reader.topic.name(),
                reader.failures
            );
        }
        reader.failures = 0;
        reader.read_at = self.clock.now();
        self.topic_reads.record(reader.topic, reader.read_at);
        self.confirm_at(self.topic_reads.confirmed_at(reader.read_at));
        read_delay(reader.topic, has_changes)
    }

    /// Records a failed read; returns the delay until the next one.
    fn note_failure(&self, reader: &mut TopicReader, error: &plat::Error) -> Duration {
        if matches!(error, plat::Error::Compacted | plat::Error::Indistinct) {
            log::info!(
                "registry: cannot read the changes of {} after revision {}; listing: {error}",
                reader.topic.name(),
                reader.revision.unwrap_or(0)
            );
            reader.revision = None;
            return read_delay(reader.topic, false);
        }
        if reader.failures == 0 {
            log::warn!("registry: cannot read {}: {error}", reader.topic.name());
        }
        if fails_again(error) {
            // A list has the entries in pages, and only as they are now.
            reader.revision = None;
        }
        let now = self.clock.now().as_millis() as u64;
        self.registry_failed_ms.fetch_max(now, Ordering::Relaxed);
        if shows_outage(error) {
            self.outage_ms.fetch_max(now, Ordering::Relaxed);
        }
        let scale = if self.is_registry_down_for_all() {
            (self.fleet_size() / VMS_PER_BACKOFF).max(1)
        } else {
            1
        };
        let doubled = BACKOFF_MIN * scale * 2_u32.saturating_pow(reader.failures.min(8));
        reader.failures += 1;
        let longest = BACKOFF_MAX * scale;
        doubled.min(longest).mul_f64(0.75 + 0.5 * fastrand::f64())
    }

    /// Lists the topic, or waits for changes of it if it has been listed before. Returns
    /// whether the response has any entries.
    async fn read(&self, registry: &dyn Registry, reader: &mut TopicReader) -> plat::Result<bool> {
        let has_changes = match reader.revision {
            None => {
                let (items, revision) = self.list(registry, reader.topic).await?;
                self.note_outage_end(reader);
                self.apply_list(reader, items, revision);
                true
            }
            Some(after) => {
                let page = self.watch_topic(registry, reader, after).await?;
                self.note_outage_end(reader);
                let has_changes = !page.items.is_empty();
                self.apply_changes(reader, page);
                has_changes
            }
        };
        Ok(has_changes)
    }

    /// Reads the changes of the topic after the revision `after`, and waits for some if
    /// this VM reads on behalf of all.
    ///
    /// A watch after a failure does not wait, so that a registry that is still
    /// unresponsive holds it only for the time limit of a response, and its return is soon
    /// noticed.
    async fn watch_topic(
        &self,
        registry: &dyn Registry,
        reader: &TopicReader,
        after: Revision,
    ) -> plat::Result<Page> {
        let waits = reader.failures == 0 && self.is_reader();
        let wait = if waits {
            let now = self.clock.now();
            let wait = watch_wait(reader.topic, now.saturating_sub(reader.read_at));
            let catalog = lock(&self.catalog);
            // Only a later read shows whether an entry has come back.
            let removal = next_removal(&catalog, reader.topic);
            let until_due = removal.map_or(wait, |due| due.saturating_sub(now));
            if reader.topic == Topic::Servers && catalog.has_doubts() {
                wait.min(until_due).min(DOUBT_LIST_INTERVAL)
            } else {
                wait.min(until_due)
            }
        } else {
            Duration::ZERO
        };
        self.topic_reads.set_watched(reader.topic, waits);
        let result = registry
            .watch(reader.topic, after, wait, RESPONSE_TIMEOUT)
            .await;
        self.topic_reads.set_watched(reader.topic, false);
        result
    }

    /// Records that an outage of the registry for all VMs has ended by now. Servers
    /// whose entries lapsed in the outage come back from now on. If only this VM could
    /// not read the registry, the time of its last failure is a good enough estimate of
    /// the end.
    fn note_outage_end(&self, reader: &TopicReader) {
        if reader.failures > 0 && self.is_registry_down_for_all() {
            let now = self.clock.now().as_millis() as u64;
            self.outage_ms.fetch_max(now, Ordering::Relaxed);
        }
    }

    /// Applies a complete list of the topic: its entries, and the removal of entries
    /// that the catalog has and the list does not.
    fn apply_list(&self, reader: &mut TopicReader, items: Vec<RegistryEntry>, revision: Revision) {
        let mut names: Vec<String> = items.iter().map(|item| item.name.clone()).collect();
        names.sort_unstable();
        let catalog = lock(&self.catalog);
        let removed = match reader.topic {
            Topic::Servers => catalog.missing_servers(&names, revision),
            Topic::DomainsOut => catalog.missing_domains_out(&names, revision),
            Topic::Rollouts => catalog.missing_rollouts(&names, revision),
            Topic::Layout | Topic::Vms => Vec::new(),
        };
        drop(catalog);
        self.note_era(revision);
        lock(&self.catalog).note_list(revision);
        let removed = removed.into_iter().map(|name| RegistryEntry {
            name,
            revision,
            value: None,
        });
        let mut items: Vec<RegistryEntry> = items.into_iter().chain(removed).collect();
        let count = items.len();
        if matches!(reader.topic, Topic::DomainsOut | Topic::Rollouts) {
            let topic = reader.topic;
            items.retain(|item| item.value.is_some() || !self.hold_order(topic, item));
        }
        let changed = self.apply_items(reader, items);
        log::info!(
            revision, entries = count, changed;
            "registry: {} listed",
            reader.topic.name()
        );
        reader.revision = Some(revision);
        reader.listed_at = self.clock.now();
    }

    /// Records the era of `revision`. A later era than before means that the registry was
    /// restored from a copy, so entries may be missing as after an outage.
    fn note_era(&self, revision: Revision) {
        let now = self.clock.now();
        let era = revisions::era(revision);
        if !self.restores.record_era(era, self.era_of_catalog(), now) {
            return;
        }
        log::warn!(
            era, revision = revisions::counter(revision);
            "registry: restored from an earlier copy; entries that it lacks have time to \
             return"
        );
        self.outage_ms
            .fetch_max(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the latest era in the catalog, which peers may have delivered; none if the
    /// catalog is empty.
    fn era_of_catalog(&self) -> Option<Era> {
        let catalog = lock(&self.catalog);
        let known = catalog.revisions();
        let latest = revisions::era(known.servers.max(known.outs));
        catalog.is_populated().then_some(latest)
    }

    /// Holds back `removal`, by which a list of `topic` lacks an order of the operators, if
    /// the registry has just been restored. Returns whether it did.
    fn hold_order(&self, topic: Topic, removal: &RegistryEntry) -> bool {
        let Some(noticed) = self.restores.last_noticed() else {
            return false;
        };
        let (now, due) = (self.clock.now(), noticed + RESTORED_ORDER_DELAY);
        if now >= due {
            return false;
        }
        log::info!(
            "registry: the restored copy lacks the order {} of {}; it still holds",
            removal.name,
            topic.name()
        );
        let held = HeldRemoval::new(removal.revision, due.saturating_sub(now), now);
        let mut catalog = lock(&self.catalog);
        let changed = match topic {
            Topic::Rollouts => catalog.hold_rollout(&removal.name, held),
            _ => catalog.hold_domain_out(&removal.name, held),
        };
        drop(catalog);
        if changed {
            self.put_in_force();
        }
        true
    }

    fn apply_changes(&self, reader: &mut TopicReader, page: Page) {
        self.apply_items(reader, page.items);
        reader.revision = reader.revision.max(Some(page.revision));
    }

    /// Applies entries to the catalog; returns how many changed it. Removals of
    /// servers around an outage are held back.
    fn apply_items(&self, reader: &mut TopicReader, items: Vec<RegistryEntry>) -> usize {
        let level = if items.len() > LOGGED_ENTRIES_MAX {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        let now = self.clock.now();
        let failed = Duration::from_millis(self.outage_ms.load(Ordering::Relaxed));
        let after_outage = !failed.is_zero() && now < failed + REMOVAL_DELAY;
        let mut changed = 0;
        for item in items {
            let is_removal = item.value.is_none() && reader.topic == Topic::Servers;
            if is_removal && after_outage {
                let failed_ago = now.saturating_sub(failed).as_millis() as u64;
                log::info!(
                    revision = item.revision, failed_ago_ms = failed_ago;
                    "registry: server {} was removed around an outage; waiting for its return",
                    item.name
                );
                let wait = (failed + REMOVAL_DELAY).saturating_sub(now);
                let removal = HeldRemoval::new(item.revision, wait, now);
                changed += usize::from(lock(&self.catalog).hold_server(&item.name, removal));
                continue;
            }
            if !is_removal && after_outage && reader.topic == Topic::Servers {
                reader.returned.push(item.name.clone());
            }
            changed += usize::from(self.apply_item(reader.topic, item, now, level));
        }
        if changed > 0 {
            self.put_in_force();
        }
        changed
    }

    /// Applies the removals of `topic` that were held back and are due, if this VM has
    /// learned since that their entries have not come back: by a read of its own, or from a
    /// peer.
    fn apply_due_removals(&self, topic: Topic) {
        let confirmed = Time::from_millis(self.confirmed_ms.load(Ordering::Relaxed));
        let known = confirmed.max(self.topic_reads.read_at(topic));
        let now = self.clock.now();
        let mut catalog = lock(&self.catalog);
        let removed = match topic {
            Topic::Servers => catalog.remove_due_servers(known, now),
            Topic::DomainsOut => catalog.remove_due_domains_out(known, now),
            Topic::Rollouts => catalog.remove_due_rollouts(known, now),
            Topic::Layout | Topic::Vms => return,
        };
        drop(catalog);
        for (name, revision) in &removed {
            log::info!(
                "registry: {} {name} has not come back since its removal at revision {revision}",
                topic.name()
            );
        }
        if !removed.is_empty() {
            self.put_in_force();
        }
    }

    /// Offers peers the servers that have returned since an outage, as one may have
    /// applied a removal that this VM never saw.
    fn note_returns(&self, reader: &mut TopicReader) {
        let failed = Duration::from_millis(self.outage_ms.load(Ordering::Relaxed));
        let is_over = self.clock.now() >= failed + REMOVAL_DELAY;
        if reader.returned.is_empty() || !is_over {
            return;
        }
        let returned = std::mem::take(&mut reader.returned);
        let mut catalog = lock(&self.catalog);
        let raised = returned.iter().filter(|name| catalog.note_return(name));
        let changed = raised.count() > 0;
        drop(catalog);
        if changed {
            self.put_in_force();
        }
    }

    /// Applies an entry to the catalog; returns whether it changed the catalog, and
    /// logs the change at `level`.
    fn apply_item(&self, topic: Topic, item: RegistryEntry, now: Time, level: log::Level) -> bool {
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
                    Topic::Layout | Topic::DomainsOut | Topic::Vms | Topic::Rollouts => false,
                }
            }
            (Topic::Layout, Some(EntryValue::Layout(layout))) => {
                catalog.set_layout(revision, Arc::from(layout))
            }
            (Topic::Servers, Some(EntryValue::Server(instance))) => {
                let was_doubtful = catalog.is_doubtful(&name);
                let changed = catalog.set_server(&name, revision, Some(instance), now);
                if !was_doubtful && catalog.is_doubtful(&name) {
                    log::info!(
                        "registry: server {name} of the restored copy may have left; waiting for \
                         its next announcement"
                    );
                }
                changed
            }
            (Topic::Servers, None) => catalog.set_server(&name, revision, None, now),
            (Topic::DomainsOut, value) => {
                catalog.set_domain_out(&name, revision, value.is_some(), now)
            }
            (Topic::Rollouts, Some(EntryValue::Rollout(rollout))) => {
                catalog.set_rollout(&name, revision, Some(rollout), now)
            }
            (Topic::Rollouts, None) => catalog.set_rollout(&name, revision, None, now),
            // The layout is never deleted, and entries of VMs are not applied.
            _ => false,
        };
        drop(catalog);
        if changed && topic == Topic::Rollouts {
            self.share_rollout(&name);
        }
        if changed {
            log::log!(
                level,
                "registry: {} {name} changed at revision {revision}",
                topic.name()
            );
        }
        changed
    }

    /// Registers this VM's address for peers in the registry once it is a reader, and
    /// looks there for VMs that no peer has reported. Runs until the task is
    /// cancelled.
    ///
    /// Only readers register: a VM that finds one reader learns of all VMs from it.
    pub(crate) async fn keep_registered(self: Arc<Self>, registry: Arc<dyn Registry>) {
        let address = self.settings.peers.listen;
        let mut registered = None;
        let mut searched = Time::ZERO;
        loop {
            let delay = REGISTER_CHECK_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64());
            smol::Timer::after(delay).await;
            let now = self.clock.now();
            lock(&self.catalog).remove_tombstones(now);
            let has_no_peer = self.view().alive.len() < 2;
            let is_first = self.readers().first() == Some(&self.self_id);
            if has_no_peer || (is_first && now >= searched + VM_LIST_INTERVAL) {
                searched = now;
                self.discover_listed(&*registry).await;
            }
            // A registration of an earlier era may have been lost in a restore.
            let era = registry.era();
            if registered != Some(era) && self.is_reader() {
                let result = registry.register_vm(&self.settings.vm, address, RESPONSE_TIMEOUT);
                match result.await {
                    Ok(()) => registered = Some(era),
                    Err(error) => log::debug!("registry: cannot register this VM: {error}"),
                }
            }
        }
    }

    /// Reads all pages of a list. Returns the revision of the first page, since entries
    /// that were deleted after it may still be in the list.
    ///
    /// Fails if a page ends where an earlier one did: the registry does not continue the list,
    /// and would send the same entries without end.
    async fn list(
        &self,
        registry: &dyn Registry,
        topic: Topic,
    ) -> plat::Result<(Vec<RegistryEntry>, Revision)> {
        let mut page = registry.list(topic, None, RESPONSE_TIMEOUT).await?;
        let revision = page.revision;
        let mut items = std::mem::take(&mut page.items);
        let mut ends: Vec<String> = Vec::new();
        let mut cuts = 0;
        while let Some(after) = page.next.take() {
            let Err(index) = ends.binary_search(&after) else {
                let reason = format!("the list of {} repeats after {after:?}", topic.name());
                return Err(plat::Error::Malformed(reason));
            };
            if page.is_cut {
                cuts += 1;
                self.cut_pages.fetch_add(1, Ordering::Relaxed);
                smol::Timer::after(CUT_PAGE_DELAY).await;
            }
            page = registry.list(topic, Some(&after), RESPONSE_TIMEOUT).await?;
            ends.insert(index, after);
            if revisions::era(page.revision) != revisions::era(revision) {
                // The registry was restored between two pages, which do not fit together.
                return Err(plat::Error::Compacted);
            }
            items.append(&mut page.items);
        }
        if cuts > 0 {
            log::warn!(
                cuts;
                "registry: pages of {} end early, at entries whose bytes do not balance",
                topic.name()
            );
        }
        Ok((items, revision))
    }

    /// Has the membership contact those VMs listed in the registry that it does not
    /// know.
    async fn discover_listed(&self, registry: &dyn Registry) {
        match self.list(registry, Topic::Vms).await {
            Ok((items, _)) => self.with_members(|members| {
                for item in items {
                    if let Some(EntryValue::Vm(address)) = item.value {
                        members.discover(address);
                    }
                }
            }),
            Err(error) => log::debug!("registry: cannot list entry VMs: {error}"),
        }
    }
}

/// Returns whether a watch that failed with `error` would fail in the same way from the same
/// revision: because of what the changes hold, or of how many there are.
fn fails_again(error: &plat::Error) -> bool {
    matches!(error, plat::Error::Malformed(_) | plat::Error::TooLong(_))
}

/// Returns whether a read that failed with `error` may have met an outage, in which entries
/// of servers lapse. A registry that cuts off a watch or limits the rate of reads works;
/// after a watch that was cut off, the next read, which does not wait, tells.
fn shows_outage(error: &plat::Error) -> bool {
    !matches!(
        error,
        plat::Error::WatchCut(_) | plat::Error::RateLimited(_) | plat::Error::TooLong(_)
    )
}

/// Returns when the next removal of `topic` that is held back takes effect; none if there
/// is none.
fn next_removal(catalog: &Catalog, topic: Topic) -> Option<Time> {
    match topic {
        Topic::Servers => catalog.next_server_removal(),
        Topic::DomainsOut => catalog.next_domain_removal(),
        Topic::Rollouts => catalog.next_rollout_removal(),
        Topic::Layout | Topic::Vms => None,
    }
}
