//! Panics in the tasks of a thread pool.

use std::future;
use std::io;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use net::exec;
use net::exec::StartError;
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
fn spawn_task_that_panics_does_not_stop_the_others() {
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
fn spawn_task_that_panics_when_dropped_does_not_abort() {
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

/// Starts a pool of three threads, of which those in `failing` cannot be started.
fn start_with_failures(failing: &[usize]) -> Result<ThreadPool, StartError> {
    let mut calls = 0;
    ThreadPool::with_starter("test", 3, |name, run| {
        calls += 1;
        if failing.contains(&(calls - 1)) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        thread::Builder::new().name(name).spawn(run).map(drop)
    })
}

#[test]
fn with_starter_lacks_threads() {
    let pool = start_with_failures(&[0, 2]).unwrap();
    assert!(runs_tasks(&pool));
    let error = start_with_failures(&[0, 1, 2]).err().unwrap();
    assert!(error.to_string().contains("raise the limit"), "{error}");
}
