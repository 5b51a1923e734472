//! A shutdown signal, with a count of the tasks that have not finished.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// A signal that asks any number of tasks to finish.
///
/// All clones share one signal and one count of unfinished tasks. A triggered signal
/// stays triggered.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    triggered: AtomicBool,
    /// The number of unfinished tasks.
    active: AtomicUsize,
    changed: event_listener::Event,
}

/// Represents an unfinished task in the count of a [`Stop`], until it is dropped.
#[derive(Debug)]
pub struct TaskGuard(Arc<Inner>);

impl Stop {
    /// Creates a signal that is not triggered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Triggers the signal.
    pub fn trigger(&self) {
        self.inner.triggered.store(true, Ordering::SeqCst);
        self.inner.changed.notify(usize::MAX);
    }

    /// Returns whether the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        self.inner.triggered.load(Ordering::SeqCst)
    }

    /// Waits until the signal is triggered.
    pub async fn wait(&self) {
        loop {
            let listener = self.inner.changed.listen();
            if self.is_triggered() {
                return;
            }
            listener.await;
        }
    }

    /// Counts a task as unfinished until the returned guard is dropped.
    pub fn register_task(&self) -> TaskGuard {
        self.inner.active.fetch_add(1, Ordering::SeqCst);
        TaskGuard(self.inner.clone())
    }

    /// Returns the number of unfinished tasks.
    pub fn active_tasks(&self) -> usize {
        self.inner.active.load(Ordering::SeqCst)
    }

    /// Waits until the signal has been triggered and no task is unfinished.
    pub async fn wait_finished(&self) {
        loop {
            let listener = self.inner.changed.listen();
            if self.is_triggered() && self.active_tasks() == 0 {
                return;
            }
            listener.await;
        }
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if self.0.active.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.changed.notify(usize::MAX);
        }
    }
}
