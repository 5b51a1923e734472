//! The platform's objects in memory, with its faults.
//!
//! It is a [`Store`] by itself, for tests; [`crate::Platform`] puts it behind
//! HTTP.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use event_listener::Event;
use net::BoxFuture;
use plat::Condition;
use plat::Error;
use plat::ListedVm;
use plat::Object;
use plat::Result;
use plat::Store;
use plat::Version;
use plat::VALUE_MAX_BYTES;
use smol::Timer;

/// The faults of the platform at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// It cannot be reached.
    pub down: bool,
    /// Each call takes this much longer.
    pub delay: Duration,
    /// The share of writes whose answer is lost, half of them before and half
    /// after they took effect.
    pub lost_writes: f64,
    /// The share of reads that show the value before the last write.
    pub stale_reads: f64,
    /// Calls a second beyond which it refuses; 0 for no limit.
    pub rate_limit: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    key: String,
    now: Object,
    before: Option<Object>,
}

#[derive(Debug)]
struct State {
    entries: Vec<Entry>,
    next: Version,
    faults: Faults,
    vms: Vec<ListedVm>,
    rng: fastrand::Rng,
    calls: u64,
    second: u64,
    in_second: u32,
}

/// The objects.
#[derive(Debug)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Event,
    clock: base::Clock,
}

impl MemoryStore {
    /// Makes an empty store whose faults are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                entries: Vec::new(),
                next: 1,
                faults: Faults::default(),
                vms: Vec::new(),
                rng: fastrand::Rng::with_seed(seed),
                calls: 0,
                second: 0,
                in_second: 0,
            }),
            changed: Event::new(),
            clock: base::Clock::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify(usize::MAX);
    }

    /// Changes the list of VMs.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.lock().vms = vms;
    }

    /// Returns how many calls there were, watches included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    async fn arrive(&self) -> Result<()> {
        // Calls that come together are served in an order that the seed draws.
        let turns = self.lock().rng.u8(..4);
        for _ in 0..turns {
            futures_lite::future::yield_now().await;
        }
        let slow = self.lock().faults.delay;
        if !slow.is_zero() {
            Timer::after(slow).await;
        }
        let now = self.clock.now().as_secs();
        let mut state = self.lock();
        state.calls += 1;
        if state.faults.down {
            return Err(Error::Unavailable("it is down".into()));
        }
        if state.second != now {
            state.second = now;
            state.in_second = 0;
        }
        state.in_second += 1;
        let rate = state.faults.rate_limit;
        if rate > 0 && state.in_second > rate {
            return Err(Error::RateLimited(Duration::from_secs(1)));
        }
        Ok(())
    }
}

impl State {
    fn find(&self, key: &str) -> std::result::Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.key.as_str().cmp(key))
    }

    fn get(&mut self, key: &str) -> Option<Object> {
        let at = self.find(key).ok()?;
        let stale = self.faults.stale_reads > 0.0 && self.rng.f64() < self.faults.stale_reads;
        let entry = &self.entries[at];
        if stale {
            if let Some(before) = &entry.before {
                return Some(before.clone());
            }
        }
        Some(entry.now.clone())
    }

    fn put(&mut self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        let found = self.find(key);
        let fits = match (condition, found) {
            (Condition::Absent, Err(_)) => true,
            (Condition::Version(version), Ok(at)) => self.entries[at].now.version == version,
            _ => false,
        };
        if !fits {
            return Err(Error::Conflict);
        }
        let version = self.next;
        self.next += 1;
        let object = Object { version, value };
        match found {
            Ok(at) => {
                let entry = &mut self.entries[at];
                entry.before = Some(std::mem::replace(&mut entry.now, object));
            }
            Err(at) => {
                let entry = Entry {
                    key: key.into(),
                    now: object,
                    before: None,
                };
                self.entries.insert(at, entry);
            }
        }
        Ok(version)
    }

    /// Draws whether the answer to a write is lost, and if so whether the
    /// write takes effect.
    fn draw_loss(&mut self) -> Option<bool> {
        let lost = self.faults.lost_writes > 0.0 && self.rng.f64() < self.faults.lost_writes;
        lost.then(|| self.rng.bool())
    }
}

fn lost() -> Error {
    Error::OutcomeUnknown("the answer was lost".into())
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            self.arrive().await?;
            Ok(self.lock().get(key))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        condition: Condition,
    ) -> BoxFuture<'a, Result<Version>> {
        Box::pin(async move {
            self.arrive().await?;
            let result = {
                let mut state = self.lock();
                match state.draw_loss() {
                    Some(false) => return Err(lost()),
                    Some(true) => state.put(key, value, condition).and(Err(lost())),
                    None => state.put(key, value, condition),
                }
            };
            self.changed.notify(usize::MAX);
            result
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            self.arrive().await?;
            let mut state = self.lock();
            if let Ok(at) = state.find(key) {
                state.entries.remove(at);
            }
            Ok(())
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            self.arrive().await?;
            let changed = async {
                loop {
                    let listener = self.changed.listen();
                    {
                        let mut state = self.lock();
                        if state.faults.down {
                            return Err(Error::OutcomeUnknown("it went down".into()));
                        }
                        let object = state.get(key);
                        if object.as_ref().is_some_and(|o| o.version != after) {
                            return Ok(object);
                        }
                    }
                    listener.await;
                }
            };
            net::timeout(wait, changed).await.unwrap_or(Ok(None))
        })
    }

    fn vms(&self) -> BoxFuture<'_, Result<Vec<ListedVm>>> {
        Box::pin(async move {
            self.arrive().await?;
            Ok(self.lock().vms.clone())
        })
    }
}
