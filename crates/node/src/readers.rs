//! Decides which VMs read the service registry, and when.
//!
//! A few readers are chosen by rendezvous hash among the VMs with the most capacity.
//! Any other VM begins to read once its catalog is stale, each after a different
//! delay. Readers that fail are thus replaced without waiting for the failure
//! detector. See `docs/design/platform.md`, "Who reads".

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::rendezvous;
use base::Time;
use base::VmId;
use conf::registry::Topic;
use member::Membership;

use crate::shared::lock;
use crate::shared::Shared;

/// The longest wait for a response, beyond the wait of a watch. Responses usually
/// take a small fraction of this time.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);
/// The number of readers in normal operation. Two of them may fail at the same moment
/// and the third goes on reading.
pub const READERS: usize = 3;
/// The rendezvous key by which the readers are chosen.
const READERS_KEY: u64 = 0x7265_6164_6572_7321;
/// The age of the catalog at which any VM begins to read. A change has to be in force
/// two seconds after it was accepted, and reading it takes milliseconds.
pub const STALE_AGE: Duration = Duration::from_millis(1400);
/// The delay between two VMs that begin to read because their catalog is stale. Those
/// that begin late find that others have read meanwhile.
const STALE_STEP: Duration = Duration::from_millis(20);
/// The time in which the number of VMs doubles that read because their catalog is stale,
/// once that is faster than one VM in each [`STALE_STEP`].
const STALE_DOUBLING: Duration = Duration::from_millis(600);
/// The longest wait of a watch of the servers. Only its responses show that the catalog
/// is up to date, so they have to come often enough for all VMs to hear of one within
/// [`STALE_AGE`].
const SERVERS_WATCH_WAIT: Duration = Duration::from_millis(900);
/// The longest wait of a watch of the layout. The registry may stop responding while a
/// watch waits, and the watch is then given up only after its wait and the time limit for
/// a response. A layout has to be in force three seconds after such an outage.
const LAYOUT_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The longest wait of a watch of another topic, whose changes have more time.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The longest wait of a watch of the roll-outs. Most of the time there are none, and what
/// binds at once passes between VMs.
const ROLLOUTS_WATCH_WAIT: Duration = Duration::from_secs(8);
/// The delay after changes of the servers were read, whose entries change with every
/// heartbeat of a server.
const SERVERS_READ_DELAY: Duration = Duration::from_millis(800);
/// The delay after any other read, or after the response that changes are compacted.
const READ_DELAY: Duration = Duration::from_millis(50);
/// How long a VM that has just started and knows no other VM waits for a seed to respond
/// before it may read itself.
const ISOLATED_WAIT: Duration = Duration::from_millis(500);
/// The span over which VMs that know no other VM begin to read after [`ISOLATED_WAIT`].
const ISOLATED_SPREAD: Duration = Duration::from_millis(500);
/// How long a VM that has just started and knows others waits for the catalog from a peer
/// before it may read itself.
const START_WAIT: Duration = Duration::from_millis(600);
/// About how many VMs begin to read at first, where their number then doubles: after
/// [`START_WAIT`] if no VM has the catalog, and at [`STALE_AGE`] in a large fleet.
const FIRST_READERS: f64 = 8.0;
/// The time in which the number of VMs doubles that read because they have no catalog.
const START_DOUBLING: Duration = Duration::from_millis(300);
/// The least size of the fleet that a VM assumes, since it knows few peers at its start.
const START_FLEET_MIN: u32 = 64;
/// The shortest delay after which a VM that does not read checks whether it should.
pub(crate) const CHECK_DELAY_MIN: Duration = Duration::from_millis(50);
/// The time between reads of a layout that peers have and that cannot be taken over from
/// them. It bounds what a large fleet costs the registry, and is short beside the time in
/// which a layout has to be in force.
const AWAITED_READ_INTERVAL: Duration = Duration::from_millis(300);
/// The longest delay after which a VM that does not read checks whether it should. A VM
/// that has become a reader begins to read within this time.
const CHECK_DELAY_MAX: Duration = Duration::from_millis(500);

/// Decides whether a VM without a catalog reads the registry, `up` after its start.
///
/// The load that this answers is a fleet that starts as a whole: read by each VM, the
/// lists of a large fleet would cost thousands of calls. The seeds, which all VMs know,
/// read at once; the others get the catalog through them. A VM that knows only itself, as
/// if `fleet` is 1, gives the seeds time to respond, since all VMs know only themselves at
/// first, and reads within a second. The others begin to read after a fixed time, few at
/// first. `position`, from 0 to 1, says which ones. Neither the wait nor the number of VMs
/// that begin grows with the fleet.
pub fn reads_at_start(is_seed: bool, position: f64, fleet: u32, up: Duration) -> bool {
    if is_seed {
        return true;
    }
    if fleet <= 1 {
        let waited = up.saturating_sub(ISOLATED_WAIT);
        return position < waited.as_secs_f64() / ISOLATED_SPREAD.as_secs_f64();
    }
    let Some(waited) = up.checked_sub(START_WAIT) else {
        return false;
    };
    let doublings = waited.as_secs_f64() / START_DOUBLING.as_secs_f64();
    let share = FIRST_READERS / f64::from(fleet.max(START_FLEET_MIN));
    position < share * doublings.exp2()
}

/// Returns the longest wait of a watch of `topic` that begins `since_last` after the last
/// response. The delay before it counts, as the age of the catalog does not depend on
/// whether the last response had changes.
pub fn watch_wait(topic: Topic, since_last: Duration) -> Duration {
    let longest = match topic {
        Topic::Layout => LAYOUT_WATCH_WAIT,
        Topic::Servers => SERVERS_WATCH_WAIT,
        Topic::DomainsOut | Topic::Vms => WATCH_WAIT,
        Topic::Rollouts => ROLLOUTS_WATCH_WAIT,
    };
    (longest + READ_DELAY).saturating_sub(since_last)
}

/// Returns the delay after a response about `topic` until the next request. `has_changes`
/// says whether the response has any.
pub fn read_delay(topic: Topic, has_changes: bool) -> Duration {
    if topic == Topic::Servers && has_changes {
        SERVERS_READ_DELAY
    } else {
        READ_DELAY
    }
}

/// Returns the age of the catalog at which a VM begins to read although it is not a
/// reader.
///
/// The load that this answers is a fleet whose readers all fail: the registry must not be
/// read by all VMs at once, and the last one must not wait for a time that grows with the
/// fleet. The VMs of a small fleet begin one after another; in a large one their number
/// doubles. `position`, from 0 to 1, is the VM's place in this order.
pub fn stale_age(position: f64, fleet: u32) -> Duration {
    let rank = position * f64::from(fleet);
    let doublings = (1.0 + rank / FIRST_READERS).log2();
    let delay = STALE_STEP
        .mul_f64(rank)
        .min(STALE_DOUBLING.mul_f64(doublings));
    STALE_AGE + delay
}

/// What this VM knows of one topic by its own reads.
#[derive(Debug, Default)]
struct TopicRead {
    /// When the topic was last read, in milliseconds; 0 if it never was.
    at_ms: AtomicU64,
    /// Whether a watch waits for changes.
    is_watched: AtomicBool,
}

impl TopicRead {
    fn at(&self) -> Time {
        Time::from_millis(self.at_ms.load(Ordering::Relaxed))
    }

    /// Returns up to when changes of the topic are known.
    fn known_at(&self, now: Time) -> Time {
        if self.is_watched.load(Ordering::Relaxed) {
            now
        } else {
            self.at()
        }
    }
}

/// When this VM last read each topic of the catalog.
#[derive(Debug, Default)]
pub struct TopicReads {
    layout: TopicRead,
    servers: TopicRead,
    outs: TopicRead,
    rollouts: TopicRead,
}

impl TopicReads {
    /// Records that `topic` was read at `now`.
    pub fn record(&self, topic: Topic, now: Time) {
        if let Some(read) = self.find(topic) {
            read.at_ms
                .fetch_max(now.as_millis() as u64, Ordering::Relaxed);
        }
    }

    /// Records whether a watch of `topic` waits for changes.
    pub fn set_watched(&self, topic: Topic, is_watched: bool) {
        if let Some(read) = self.find(topic) {
            read.is_watched.store(is_watched, Ordering::Relaxed);
        }
    }

    /// Returns when `topic` was last read; zero if it never was.
    pub fn read_at(&self, topic: Topic) -> Time {
        self.find(topic).map_or(Time::ZERO, TopicRead::at)
    }

    /// Returns when any topic was last read; zero if none was.
    pub fn latest(&self) -> Time {
        let others = self.layout.at().max(self.outs.at());
        self.servers.at().max(others)
    }

    /// Returns when all topics were up to date, as far as is known at `now`; zero if one
    /// was never read.
    ///
    /// A watch that waits shows that its topic is up to date, except that of the servers:
    /// its responses have to show that the registry still responds.
    pub fn confirmed_at(&self, now: Time) -> Time {
        let others = self.layout.known_at(now).min(self.outs.known_at(now));
        self.servers.at().min(others)
    }

    fn find(&self, topic: Topic) -> Option<&TopicRead> {
        match topic {
            Topic::Layout => Some(&self.layout),
            Topic::Servers => Some(&self.servers),
            Topic::DomainsOut => Some(&self.outs),
            Topic::Rollouts => Some(&self.rollouts),
            Topic::Vms => None,
        }
    }
}

impl Shared {
    /// Returns how long ago this VM's catalog was last found to be up to date, in
    /// milliseconds; the time since the VM's start if it never was.
    pub(crate) fn registry_age(&self) -> u32 {
        let now = self.clock.now().as_millis() as u64;
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        u32::try_from(now.saturating_sub(confirmed_ms)).unwrap_or(u32::MAX)
    }

    /// Returns whether this VM's catalog, which may be empty, was ever found to be up to
    /// date.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed_ms.load(Ordering::Relaxed) > 0
    }

    /// Records that this VM's catalog was up to date `age` ago.
    pub(crate) fn confirm(&self, age: Duration) {
        self.confirm_at(self.clock.now().saturating_sub(age));
    }

    /// Records that this VM's catalog was up to date `at` this time.
    pub(crate) fn confirm_at(&self, at: Time) {
        self.confirmed_ms
            .fetch_max(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the VMs that should read the registry on behalf of all.
    pub(crate) fn readers(&self) -> Vec<VmId> {
        rendezvous::top(READERS_KEY, &self.view().eligible, READERS)
    }

    /// Returns this VM's position within a span over which VMs spread their actions,
    /// from 0 to 1. The position depends on the VM's id only.
    fn spread_position(&self) -> f64 {
        (self.self_id % 1000) as f64 / 1000.0
    }

    /// Returns the number of VMs of the region that are alive, this VM included.
    pub(crate) fn fleet_size(&self) -> u32 {
        self.view().alive.len() as u32
    }

    /// Returns whether this VM's last attempt to read the registry failed.
    pub(crate) fn is_registry_down(&self) -> bool {
        let failed_ms = self.registry_failed_ms.load(Ordering::Relaxed);
        Time::from_millis(failed_ms) > self.topic_reads.latest()
    }

    /// Returns the age of the catalog at which this VM begins to read although it is
    /// not a reader.
    fn read_age(&self) -> Duration {
        stale_age(self.spread_position(), self.fleet_size())
    }

    /// Returns the delay after which to check again whether this VM should read.
    pub(crate) fn next_read_check(&self) -> Duration {
        let catalog = lock(&self.catalog);
        let is_due = !catalog.is_populated() || catalog.awaits_layout();
        drop(catalog);
        if is_due {
            return CHECK_DELAY_MIN;
        }
        let age = Duration::from_millis(u64::from(self.registry_age()));
        self.read_age()
            .saturating_sub(age)
            .clamp(CHECK_DELAY_MIN, CHECK_DELAY_MAX)
    }

    /// Returns whether this VM is one of those that read on behalf of all.
    pub(crate) fn is_reader(&self) -> bool {
        self.readers().contains(&self.self_id)
    }

    /// Returns whether this VM should read `topic` now.
    pub(crate) fn should_read(&self, topic: Topic) -> bool {
        let now = self.clock.now();
        let awaited_at = self.topic_reads.read_at(topic) + AWAITED_READ_INTERVAL;
        if topic == Topic::Layout && now > awaited_at && lock(&self.catalog).awaits_layout() {
            return true;
        }
        if !lock(&self.catalog).is_populated() {
            // Too little of the membership is known to choose readers.
            let is_seed = self
                .settings
                .peers
                .seeds
                .contains(&self.settings.peers.listen);
            let age = Duration::from_millis(u64::from(self.registry_age()));
            if !is_seed && self.is_confirmed() && age <= self.read_age() {
                // Others read, and the registry has no servers yet.
                return false;
            }
            return reads_at_start(is_seed, self.spread_position(), self.fleet_size(), now);
        }
        if self.is_reader() {
            return true;
        }
        let read_age = self.read_age();
        let stale_since = Time::from_millis(self.confirmed_ms.load(Ordering::Relaxed)) + read_age;
        let read_at = self.topic_reads.read_at(topic);
        now > stale_since && (read_at <= stale_since || now > read_at + read_age)
    }

    /// Sets the age of this VM's catalog that the next pings report to peers.
    pub(crate) fn set_registry_age(&self, members: &mut Membership) {
        if self.registry.is_some() {
            let age = if self.is_confirmed() {
                self.registry_age()
            } else {
                u32::MAX
            };
            members.set_revisions(member::Revisions {
                age,
                ..members.revisions()
            });
        }
    }
}
