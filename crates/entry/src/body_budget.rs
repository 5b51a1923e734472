//! Limits the memory for the request bodies that one VM buffers.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The memory for buffered request bodies, which all calls of a VM share.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    used: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// A part of the budget, returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            used: Arc::default(),
            max_bytes,
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns a reservation of no bytes, which can grow.
    pub fn empty(&self) -> Reservation {
        Reservation {
            used: self.used.clone(),
            bytes: 0,
        }
    }

    /// Adds `bytes` to `reservation`. Returns false, without a change, if the budget does
    /// not suffice.
    pub fn grow(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let add = |used: usize| {
            let sum = used.checked_add(bytes)?;
            (sum <= self.max_bytes).then_some(sum)
        };
        let added = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok();
        if added {
            reservation.bytes += bytes;
        }
        added
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
