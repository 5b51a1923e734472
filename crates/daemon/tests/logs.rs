//! What the daemon logs of its own start and end.

mod harness;

use std::time::Duration;

use harness::Deployment;
use harness::SOON;
use rustix::process::Signal;

#[test]
fn start_logs_limits() {
    let deployment = Deployment::new();
    deployment.add_server("i-1", Duration::ZERO, 10);
    let settings = deployment.settings(0);
    let mut daemon = deployment.start(&settings);
    daemon.wait_serving();
    let started = daemon.log_lines("process", "started");
    assert_eq!(started.len(), 1, "{}", daemon.logs());
    assert_eq!(started[0]["vm"], "vm-0");
    assert_eq!(started[0]["connections_max"], 2000);
    assert!(started[0]["descriptors_max"].is_u64(), "{:?}", started[0]);
    daemon.signal(Signal::TERM);
    assert!(daemon.wait_ended(SOON));
    let ended = daemon.log_lines("process", "ended");
    assert_eq!(ended.len(), 1, "{}", daemon.logs());
    assert_eq!(ended[0]["exit_code"], 0);
    assert_eq!(ended[0]["reason"], "SIGTERM");
}

#[test]
fn start_logs_error() {
    let deployment = Deployment::new();
    let mut settings = deployment.settings(0);
    settings.logs.level = "info, node=nonsense".into();
    let mut daemon = deployment.start(&settings);
    assert!(daemon.wait_ended(SOON));
    let ended = daemon.log_lines("process", "ended");
    assert_eq!(ended.len(), 1, "{}", daemon.logs());
    assert_eq!(ended[0]["exit_code"], 1);
    assert!(
        daemon.logs().contains("\nsnipepaddled: logs.level")
            || daemon.logs().starts_with("snipepaddled: logs.level")
    );
}
