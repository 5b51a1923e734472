//! The start of a daemon beside other programs on its host.

mod harness;

use harness::Deployment;
use std::time::Duration;

#[test]
fn daemons_of_one_host_all_start() {
    let deployment = Deployment::new();
    deployment.add_server("i-1", Duration::ZERO, 10);
    let mut daemons = [0, 1, 2].map(|index| deployment.start(&deployment.settings(index)));
    for daemon in &mut daemons {
        daemon.wait_serving();
    }
}
