//! Limits the memory that all connections and calls of one VM hold together.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use event_listener::Event;
use event_listener::EventListener;
use event_listener::IntoNotification;

/// The number of freed bytes for which one waiting task is woken.
const WAKE_BYTES: usize = 4 << 10;

/// The memory for what is buffered for callers, which all connections and calls of a VM
/// share.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<State>);

#[derive(Debug)]
struct State {
    used: AtomicUsize,
    max_bytes: usize,
    waits: AtomicU64,
    freed: Event,
}

/// A part of the budget, returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

/// Waits until memory has been returned to a budget.
pub(crate) struct Freed(Pin<Box<EventListener>>);

/// Bytes that hold a reservation.
struct Reserved {
    bytes: Bytes,
    _memory: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self(Arc::new(State {
            used: AtomicUsize::new(0),
            max_bytes,
            waits: AtomicU64::new(0),
            freed: Event::new(),
        }))
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns the size of the budget in bytes.
    pub fn max_bytes(&self) -> usize {
        self.0.max_bytes
    }

    /// Returns how many reads and early starts had to wait for lack of memory.
    pub fn waits(&self) -> u64 {
        self.0.waits.load(Ordering::Relaxed)
    }

    /// Counts a read or an early start that has to wait.
    pub(crate) fn count_wait(&self) {
        self.0.waits.fetch_add(1, Ordering::Relaxed);
    }

    /// Wakes another task that waits for memory: more may be left than the caller took.
    pub(crate) fn wake_next(&self) {
        self.0.freed.notify(1.additional());
    }

    /// Returns a future that ends when memory has been returned since this call.
    pub(crate) fn freed(&self) -> Freed {
        Freed(Box::pin(self.0.freed.listen()))
    }

    /// Returns a reservation of no bytes, which can grow.
    pub fn empty(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns a reservation of `bytes`, or none if the budget does not suffice.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.empty();
        reservation.grow(bytes).then_some(reservation)
    }
}

impl Reservation {
    /// Adds `bytes`. Returns false, without a change, if the budget does not suffice.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let max_bytes = self.budget.0.max_bytes;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= max_bytes);
        let used = &self.budget.0.used;
        // Ordered with the listeners of `freed`, which try again after they listen.
        let added = bytes == 0
            || used
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, add)
                .is_ok();
        if added {
            self.bytes += bytes;
        }
        added
    }

    /// Returns the memory beyond `bytes` to the budget.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        if freed > 0 {
            self.bytes = bytes;
            self.budget.0.used.fetch_sub(freed, Ordering::SeqCst);
            let count = freed.div_ceil(WAKE_BYTES);
            self.budget.0.freed.notify(count.additional());
        }
    }

    /// Grows or shrinks to `bytes`. Returns false, without a change, if the budget does not
    /// suffice.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let grown = self.grow(bytes.saturating_sub(self.bytes));
        if grown {
            self.shrink_to(bytes);
        }
        grown
    }

    /// Returns `bytes` with this reservation, which lasts as long as any part of them.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Reserved {
            bytes,
            _memory: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

impl Freed {
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.0.as_mut().poll(cx));
        Poll::Ready(())
    }
}
