//! An in-memory object store that can inject the platform's faults.
//!
//! Tests can use it directly as a [`Store`]; [`crate::Platform`] serves it over
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

/// The faults that the store injects; the default is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether the store is unreachable: every request fails.
    pub down: bool,
    /// Time that is added to every request.
    pub delay: Duration,
    /// Share of writes whose response is lost, from 0 to 1. On average, half
    /// of these writes take effect.
    pub lost_writes: f64,
    /// Share of reads, from 0 to 1, that return the value before the last write.
    pub stale_reads: f64,
    /// Requests per second that are accepted; 0 means no limit.
    pub rate_limit: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    key: String,
    current: Object,
    previous: Option<Object>,
}

#[derive(Debug)]
struct State {
    entries: Vec<Entry>,
    next_version: Version,
    faults: Faults,
    vms: Vec<ListedVm>,
    rng: fastrand::Rng,
    requests: u64,
    /// The second that `second_requests` counts, on the clock of the store.
    second: u64,
    second_requests: u32,
}

/// The in-memory object store.
#[derive(Debug)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Event,
    clock: base::Clock,
}

impl MemoryStore {
    /// Makes an empty store; `seed` determines which requests the faults hit.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                entries: Vec::new(),
                next_version: 1,
                faults: Faults::default(),
                vms: Vec::new(),
                rng: fastrand::Rng::with_seed(seed),
                requests: 0,
                second: 0,
                second_requests: 0,
            }),
            changed: Event::new(),
            clock: base::Clock::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults, and wakes watches so that they see an outage.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify(usize::MAX);
    }

    /// Replaces the list of VMs that the platform reports.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.lock().vms = vms;
    }

    /// Returns the number of requests so far, watches and failed ones included.
    pub fn request_count(&self) -> u64 {
        self.lock().requests
    }

    /// Counts a request and applies the faults that can hit any request.
    async fn begin_request(&self) -> Result<()> {
        // Serves concurrent requests in an order that the seed determines.
        let yields = self.lock().rng.u8(..4);
        for _ in 0..yields {
            futures_lite::future::yield_now().await;
        }
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let now = self.clock.now().as_secs();
        let mut state = self.lock();
        state.requests += 1;
        if state.faults.down {
            return Err(Error::Unavailable("the store is down".into()));
        }
        if state.second != now {
            state.second = now;
            state.second_requests = 0;
        }
        state.second_requests += 1;
        let rate_limit = state.faults.rate_limit;
        if rate_limit > 0 && state.second_requests > rate_limit {
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
        let index = self.find(key).ok()?;
        let stale = self.faults.stale_reads > 0.0 && self.rng.f64() < self.faults.stale_reads;
        let entry = &self.entries[index];
        if stale {
            if let Some(previous) = &entry.previous {
                return Some(previous.clone());
            }
        }
        Some(entry.current.clone())
    }

    fn put(&mut self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        let found = self.find(key);
        let condition_holds = match (condition, found) {
            (Condition::Absent, Err(_)) => true,
            (Condition::Version(version), Ok(index)) => {
                self.entries[index].current.version == version
            }
            _ => false,
        };
        if !condition_holds {
            return Err(Error::Conflict);
        }
        let version = self.next_version;
        self.next_version += 1;
        let object = Object { version, value };
        match found {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.previous = Some(std::mem::replace(&mut entry.current, object));
            }
            Err(index) => {
                let entry = Entry {
                    key: key.into(),
                    current: object,
                    previous: None,
                };
                self.entries.insert(index, entry);
            }
        }
        Ok(version)
    }

    /// Draws whether the response to a write is lost. Returns `None` if it is
    /// not, and otherwise whether the write takes effect.
    fn sample_loss(&mut self) -> Option<bool> {
        let lost = self.faults.lost_writes > 0.0 && self.rng.f64() < self.faults.lost_writes;
        lost.then(|| self.rng.bool())
    }
}

fn response_lost() -> Error {
    Error::OutcomeUnknown("the response was lost".into())
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            self.begin_request().await?;
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
            self.begin_request().await?;
            let result = {
                let mut state = self.lock();
                match state.sample_loss() {
                    Some(false) => return Err(response_lost()),
                    Some(true) => state.put(key, value, condition).and(Err(response_lost())),
                    None => state.put(key, value, condition),
                }
            };
            self.changed.notify(usize::MAX);
            result
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            self.begin_request().await?;
            let mut state = self.lock();
            if let Ok(index) = state.find(key) {
                state.entries.remove(index);
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
            self.begin_request().await?;
            let changed = async {
                loop {
                    let listener = self.changed.listen();
                    {
                        let mut state = self.lock();
                        if state.faults.down {
                            return Err(Error::OutcomeUnknown(
                                "the store went down during the watch".into(),
                            ));
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
            self.begin_request().await?;
            Ok(self.lock().vms.clone())
        })
    }
}
