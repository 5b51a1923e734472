//! Time limits: what they return, when they drop what they limit, and their size.

use std::future::pending;
use std::future::ready;
use std::mem::size_of_val;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use net::timeout;

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(5);

/// Says that it was dropped.
struct Noted(Arc<AtomicBool>);

impl Drop for Noted {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

#[test]
fn timeout_of_future_that_ends_returns_its_result() {
    assert_eq!(smol::block_on(timeout(LONG, ready(7))), Some(7));
    // A future that is ready needs no time.
    assert_eq!(smol::block_on(timeout(Duration::ZERO, ready(7))), Some(7));
}

#[test]
fn timeout_of_future_that_waits_returns_none_at_the_limit() {
    assert_eq!(smol::block_on(timeout(SHORT, pending::<()>())), None);
}

#[test]
fn timeout_whose_time_is_up_has_dropped_the_future() {
    let dropped = Arc::new(AtomicBool::new(false));
    let noted = Noted(dropped.clone());
    let waiting = async move {
        pending::<()>().await;
        drop(noted);
    };
    let mut limited = timeout(SHORT, waiting);
    assert_eq!(smol::block_on(&mut limited), None);
    assert!(dropped.load(Ordering::SeqCst));
}

#[test]
fn timeout_of_large_future_is_small() {
    let bytes = [1_u8; 8 << 10];
    let waiting = async move {
        pending::<()>().await;
        bytes.len()
    };
    let limited = timeout(LONG, async { timeout(LONG, waiting).await });
    assert!(size_of_val(&limited) < 256, "{}", size_of_val(&limited));
}
