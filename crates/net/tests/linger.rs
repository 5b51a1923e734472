//! Futures that run on for a moment after they were dropped.

use std::sync::mpsc;
use std::time::Duration;

use net::linger::Lingering;
use net::ThreadPool;

const LONG: Duration = Duration::from_secs(60);

/// Sends a value when dropped.
struct NotifyOnDrop(mpsc::Sender<&'static str>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.send("dropped");
    }
}

#[test]
fn drop_refusal_under_way_is_still_read() {
    let pool = ThreadPool::new("linger", 1);
    let (read, results) = mpsc::channel();
    let (respond, response) = async_channel::bounded::<&str>(1);
    let reading = async move {
        let _ = read.send(response.recv().await.unwrap_or("closed"));
    };
    drop(Lingering::new(reading, pool.handle(), LONG));
    respond.send_blocking("refused").unwrap();
    assert_eq!(results.recv_timeout(LONG), Ok("refused"));
}

#[test]
fn drop_ends_after_the_limit() {
    let pool = ThreadPool::new("linger", 1);
    let (notify, results) = mpsc::channel();
    let held = NotifyOnDrop(notify);
    let waiting = async move {
        let _held = held;
        std::future::pending::<()>().await;
    };
    drop(Lingering::new(
        waiting,
        pool.handle(),
        Duration::from_millis(1),
    ));
    assert_eq!(results.recv_timeout(LONG), Ok("dropped"));
}
