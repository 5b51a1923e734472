//! A VM whose descriptors are all in use.

mod harness;

use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use harness::wait_until;
use harness::Daemon;
use harness::Deployment;
use harness::DESCRIPTORS;
use harness::SOON;
use rustix::process::Signal;

/// A limit that a few callers reach.
const FEW_DESCRIPTORS: u64 = 64;
/// How long all descriptors stay in use.
const FULL_TIME: Duration = Duration::from_secs(4);
/// The most lines on failed accepts in that time: one a second for each of the six
/// listeners, and the first ones.
const LINES_MAX: usize = 6 * 6;

/// Opens connections that send nothing to the ports of callers and of metrics, `count` to
/// each: the limit of callers' connections alone leaves descriptors free.
fn fill(daemon: &Daemon, count: u64) -> Vec<TcpStream> {
    let metrics = daemon.settings.watch.as_ref().unwrap().metrics;
    let addresses = [daemon.settings.callers.listen[0], metrics];
    let connect = |_| addresses.map(|address| TcpStream::connect(address).ok());
    (0..count).flat_map(connect).flatten().collect()
}

/// Fills the descriptors of a VM that may have `limit`, asks it to read its settings
/// again, and checks that it serves once they are free.
fn check_full(limit: u64) {
    let deployment = Deployment::new();
    deployment.add_server("i-1", Duration::ZERO, 10);
    let settings = deployment.settings(0);
    let mut daemon = deployment.start(&settings);
    daemon.wait_serving();
    daemon.limit_descriptors(limit);
    let callers = fill(&daemon, limit);
    let end = Instant::now() + FULL_TIME;
    while Instant::now() < end {
        daemon.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(100));
        assert!(daemon.is_running(), "{}", daemon.logs());
    }
    let lines = daemon.log_lines("net", "cannot accept").len();
    assert!((1..=LINES_MAX).contains(&lines), "{lines} lines");
    drop(callers);
    assert!(wait_until(SOON, || daemon.readiness() == Some(200)));
    daemon.wait_serving();
    assert!(
        daemon.log_lines("panic", "").is_empty(),
        "{}",
        daemon.logs()
    );
    daemon.signal(Signal::TERM);
    assert!(daemon.wait_ended(SOON));
}

#[test]
fn daemon_with_few_descriptors_all_in_use_serves_again() {
    check_full(FEW_DESCRIPTORS);
}

#[test]
fn daemon_with_the_descriptors_of_a_deployment_all_in_use_serves_again() {
    check_full(DESCRIPTORS);
}
