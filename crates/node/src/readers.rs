//! Who reads the users' system of record, and when.
//!
//! A few VMs do, chosen by rendezvous hash among those that can carry most. Any
//! other begins once its knowledge is old, each after a time of its own, so that
//! readers which fail are replaced without anybody noticing that they are gone.
//! See `docs/design/platform.md`, "Who reads".

use std::sync::atomic::Ordering;
use std::time::Duration;

use base::rendezvous;
use base::VmId;
use member::Membership;

use crate::shared::lock;
use crate::shared::Shared;

/// VMs that read while nothing is wrong. Two may fail at the same moment
/// without anybody having to notice.
const READERS: usize = 3;
/// The key by which the readers are chosen.
const READ_KEY: u64 = 0x7265_6164_6572_7321;
/// The age at which any VM begins to read. A change has to be in force two
/// seconds after it was accepted, and reading it takes milliseconds.
pub(crate) const STALE: Duration = Duration::from_millis(1400);
/// How much later the last VM begins than the first, for each VM of the fleet, so
/// that those that begin late find that others have read meanwhile.
const STALE_EACH: Duration = Duration::from_millis(20);
/// The shortest span over which VMs that are started again together begin to read.
const START_SPREAD: Duration = Duration::from_millis(300);
/// The same for each VM that is known: most hear from a peer before their turn.
const START_EACH: Duration = Duration::from_millis(8);
/// The time at the first start of a deployment, long before callers come, in which
/// VMs only look for each other, so that three of them read and not all.
const FIRST_REST: Duration = Duration::from_secs(1);
/// The shortest wait of a VM that does not read before it looks whether it should.
const IDLE: Duration = Duration::from_millis(50);
/// The longest such wait: a reader that is new to its part begins that late.
const IDLE_MAX: Duration = Duration::from_millis(500);

impl Shared {
    /// Returns how long ago this VM's knowledge was found to be the newest, in
    /// milliseconds.
    pub(crate) fn registry_age(&self) -> u32 {
        let now = self.clock.now().as_millis() as u64;
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        u32::try_from(now.saturating_sub(confirmed_ms)).unwrap_or(u32::MAX)
    }

    /// Notes that this VM's knowledge was the newest `age` ago.
    pub(crate) fn confirm(&self, age: Duration) {
        let at = self.clock.now().saturating_sub(age).as_millis() as u64;
        self.confirmed_ms.fetch_max(at, Ordering::Relaxed);
    }

    /// Returns the VMs that read for all.
    pub(crate) fn readers(&self) -> Vec<VmId> {
        rendezvous::top(READ_KEY, &self.view().eligible, READERS)
    }

    /// Returns this VM's place among all, from 0 to 1, by which it waits longer
    /// or shorter than others.
    fn part(&self) -> f64 {
        (self.self_id % 1000) as f64 / 1000.0
    }

    /// Returns how many VMs answer, this one included.
    pub(crate) fn fleet_size(&self) -> u32 {
        self.view().alive.len() as u32
    }

    /// Returns whether the last thing that was heard of the system of record is
    /// that it does not answer.
    pub(crate) fn is_registry_down(&self) -> bool {
        self.registry_failed_ms.load(Ordering::Relaxed)
            > self.registry_read_ms.load(Ordering::Relaxed)
    }

    /// Returns the age of this VM's knowledge at which it reads for itself.
    fn read_age(&self) -> Duration {
        STALE + (STALE_EACH * self.fleet_size()).mul_f64(self.part())
    }

    /// Returns when to look again whether this VM should read.
    pub(crate) fn next_read_check(&self) -> Duration {
        if !lock(&self.catalog).is_populated() {
            return IDLE;
        }
        let age = Duration::from_millis(u64::from(self.registry_age()));
        self.read_age().saturating_sub(age).clamp(IDLE, IDLE_MAX)
    }

    /// Returns whether this VM should read now.
    pub(crate) fn should_read(&self) -> bool {
        let now = self.clock.now();
        if self.settings.first && now < FIRST_REST {
            return false;
        }
        let spread = START_SPREAD.max(START_EACH * self.fleet_size());
        if now < spread {
            // Until then the membership is not known well enough to choose.
            let begins = spread.mul_f64(self.part());
            return now >= begins && !lock(&self.catalog).is_populated();
        }
        if self.readers().contains(&self.self_id) {
            return true;
        }
        u128::from(self.registry_age()) > self.read_age().as_millis()
    }

    /// Has peers told, with the next pings, how old this VM's knowledge is.
    pub(crate) fn set_registry_age(&self, members: &mut Membership) {
        if self.registry.is_some() {
            members.set_revisions(member::Revisions {
                age: self.registry_age(),
                ..members.revisions()
            });
        }
    }
}
