//! The rate limit that a server names in its responses: how often all VMs together may
//! call it.
//!
//! The home grants the calls of all VMs, so it keeps the limit. A follower that gets a
//! response with a limit notes it and passes it on, and reports what it has noted to each
//! new home. See `docs/design/limits.md`, "Rates that servers name".

use std::time::Duration;

use base::ServerId;
use base::Time;

use crate::msg::RateNote;

/// The longest time between two calls. A server that takes fewer calls still gets one in
/// this time, since only its responses show that it takes more again.
const INTERVAL_MAX: Duration = Duration::from_secs(4);
/// The time whose calls a server may get at once after it has got none for long.
const BURST_TIME: Duration = Duration::from_secs(1);
/// How long a follower keeps the limit that a server named without hearing from the server
/// again.
const NOTE_LIFETIME: Duration = Duration::from_secs(10);

/// The rate limit of one server: a token bucket that is empty at first, as the server may
/// just have got calls.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// The time between two calls.
    interval: Duration,
    /// When the response was received that named the limit last.
    named_at: Time,
    /// The number of calls that may be granted, as of `filled_at`.
    tokens: f64,
    filled_at: Time,
}

impl RateLimit {
    /// Creates the limit of a server that takes a call every `interval`, as it said at
    /// `named_at`.
    pub fn new(interval: Duration, named_at: Time, now: Time) -> Self {
        Self {
            interval: bounded(interval),
            named_at,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Returns when the server named the limit last.
    pub fn named_at(&self) -> Time {
        self.named_at
    }

    /// Returns the calls that the server takes in a second.
    pub fn per_second(&self) -> f64 {
        1.0 / self.interval.as_secs_f64()
    }

    /// Applies the limit that the server named at `named_at`, unless it named another one
    /// since.
    pub fn renew(&mut self, interval: Duration, named_at: Time, now: Time) {
        if named_at < self.named_at {
            return;
        }
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
        self.interval = bounded(interval);
        self.named_at = named_at;
    }

    /// Returns whether a call may be granted.
    pub fn allows(&self, now: Time) -> bool {
        self.delay(now).is_zero()
    }

    /// Returns the time until a call may be granted.
    pub fn delay(&self, now: Time) -> Duration {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        self.interval.mul_f64(missing)
    }

    /// Counts a call that is granted, also one beyond the limit.
    pub fn spend(&mut self, now: Time) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.filled_at = now;
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at);
        let filled = self.tokens + elapsed.as_secs_f64() * self.per_second();
        let burst = BURST_TIME.as_secs_f64() * self.per_second();
        filled.min(burst.max(1.0))
    }
}

fn bounded(interval: Duration) -> Duration {
    interval.clamp(Duration::from_nanos(1), INTERVAL_MAX)
}

/// The limit of one server as a follower has noted it.
#[derive(Clone, Copy, Debug)]
struct Note {
    server: ServerId,
    interval: Duration,
    named_at: Time,
}

/// The limits that servers named in responses to one VM.
#[derive(Clone, Debug, Default)]
pub struct RateNotes {
    /// Sorted by server.
    notes: Vec<Note>,
}

impl RateNotes {
    /// Records that a response of `server` named a limit of a call every `interval`, or
    /// none.
    pub fn record(&mut self, server: ServerId, interval: Option<Duration>, now: Time) {
        self.notes.retain(|note| !note.is_outdated(now));
        let found = self.notes.binary_search_by_key(&server, |note| note.server);
        let note = interval.map(|interval| Note {
            server,
            interval,
            named_at: now,
        });
        match (found, note) {
            (Ok(index), Some(note)) => self.notes[index] = note,
            (Ok(index), None) => drop(self.notes.remove(index)),
            (Err(index), Some(note)) => self.notes.insert(index, note),
            (Err(_), None) => {}
        }
    }

    /// Returns whether `server` has named a limit.
    pub fn is_limited(&self, server: ServerId, now: Time) -> bool {
        let found = self.notes.binary_search_by_key(&server, |note| note.server);
        found.is_ok_and(|index| !self.notes[index].is_outdated(now))
    }

    /// Returns the notes as they are reported to a home.
    pub fn report(&self, now: Time) -> Vec<RateNote> {
        let current = self.notes.iter().filter(|note| !note.is_outdated(now));
        let report = current.map(|note| RateNote {
            server: note.server,
            interval: note.interval,
            age: now.saturating_sub(note.named_at),
        });
        report.collect()
    }
}

impl Note {
    fn is_outdated(&self, now: Time) -> bool {
        now >= self.named_at + NOTE_LIFETIME
    }
}
