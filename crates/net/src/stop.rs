//! A signal that a part has to finish, given once and seen by all.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Tells any number of tasks to finish, and counts those that have not yet.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    given: AtomicBool,
    busy: AtomicUsize,
    event: event_listener::Event,
}

/// Counts as one unfinished task until it is dropped.
#[derive(Debug)]
pub struct TaskGuard(Arc<Inner>);

impl Stop {
    /// Makes a signal that has not been given.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the signal.
    pub fn trigger(&self) {
        self.inner.given.store(true, Ordering::SeqCst);
        self.inner.event.notify(usize::MAX);
    }

    /// Returns whether the signal has been given.
    pub fn is_triggered(&self) -> bool {
        self.inner.given.load(Ordering::SeqCst)
    }

    /// Waits until the signal is given.
    pub async fn wait(&self) {
        loop {
            let listener = self.inner.event.listen();
            if self.is_triggered() {
                return;
            }
            listener.await;
        }
    }

    /// Counts the caller as unfinished until it drops the result.
    pub fn register_task(&self) -> TaskGuard {
        self.inner.busy.fetch_add(1, Ordering::SeqCst);
        TaskGuard(self.inner.clone())
    }

    /// Returns how many are unfinished.
    pub fn active_tasks(&self) -> usize {
        self.inner.busy.load(Ordering::SeqCst)
    }

    /// Waits until the signal is given and all have finished.
    pub async fn wait_finished(&self) {
        loop {
            let listener = self.inner.event.listen();
            if self.is_triggered() && self.active_tasks() == 0 {
                return;
            }
            listener.await;
        }
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if self.0.busy.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.event.notify(usize::MAX);
        }
    }
}
