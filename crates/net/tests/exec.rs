//! Panics in the tasks of a thread pool.

use std::future;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use net::exec;
use net::ThreadPool;

const SOON: Duration = Duration::from_secs(10);

/// Panics when it is dropped.
struct PanicOnDrop;

impl Drop for PanicOnDrop {
    fn drop(&mut self) {
        panic!("for the test");
    }
}

/// Returns whether `pool` runs a new task.
fn runs_tasks(pool: &ThreadPool) -> bool {
    let task = pool.spawn(async { true });
    smol::block_on(net::timeout(SOON, task)).unwrap_or(false)
}

#[test]
fn spawn_panics() {
    let pool = ThreadPool::new("test", 1);
    for _ in 0..3 {
        pool.handle()
            .spawn_detached(async { panic!("for the test") });
    }
    assert!(runs_tasks(&pool));
}

/// A task that is cancelled, for instance because its caller has left, drops what it
/// holds.
#[test]
fn spawn_panics_at_drop() {
    let pool = ThreadPool::new("test", 1);
    let task = pool.spawn(async {
        let _guard = PanicOnDrop;
        future::pending::<()>().await;
    });
    assert!(runs_tasks(&pool));
    drop(task);
    assert!(runs_tasks(&pool));
}

#[test]
fn supervise_starts_again() {
    let starts = AtomicUsize::new(0);
    let supervised = exec::supervise("test", || async {
        // The third one ends.
        assert!(starts.fetch_add(1, Ordering::SeqCst) >= 2, "for the test");
    });
    assert!(smol::block_on(net::timeout(SOON, supervised)).is_some());
    assert_eq!(starts.load(Ordering::SeqCst), 3);
}
