//! The start of a daemon beside other programs on its host, and the faults of the host that
//! must not end it.

mod harness;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::fd::OwnedFd;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use conf::settings::Admin;
use conf::Settings;
use harness::wait_until;
use harness::Daemon;
use harness::Deployment;
use harness::SOON;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
use rustix::process::Signal;

/// For how long a daemon is watched that must not end.
const WATCHED: Duration = Duration::from_secs(1);
/// How long a daemon that waits for an address may take to end.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// The port of the administration API in these tests.
const ADMIN_PORT: u16 = 7216;

fn deployment() -> Deployment {
    let deployment = Deployment::new();
    deployment.add_server("i-1", Duration::ZERO, 10);
    deployment
}

/// Returns the settings of VM 0 with an administration API.
fn settings_with_admin(deployment: &Deployment) -> Settings {
    let mut settings = deployment.settings(0);
    settings.admin = Some(Admin {
        listen: SocketAddr::from((deployment.ip(0), ADMIN_PORT)),
        tokens: Vec::new(),
        file: None,
    });
    settings
}

/// Asserts that the daemon has logged that it cannot listen on `address` of `field`.
fn assert_logged(daemon: &Daemon, field: &str, address: SocketAddr) {
    let text = format!("cannot listen on {address} ({field}) and will try again: ");
    let lines = daemon.log_lines("net", &text);
    assert_eq!(lines.len(), 1, "{text}\n{}", daemon.logs());
}

#[test]
fn daemons_of_one_host_all_start() {
    let deployment = deployment();
    let mut daemons = [0, 1, 2].map(|index| deployment.start(&deployment.settings(index)));
    for daemon in &mut daemons {
        daemon.wait_serving();
    }
}

/// Starts a daemon while another program listens on the address that `address` returns,
/// which the VM does not need to serve callers.
fn start_without(field: &str, address: impl Fn(&Settings) -> SocketAddr) {
    let deployment = deployment();
    let settings = settings_with_admin(&deployment);
    let address = address(&settings);
    let holder = TcpListener::bind(address).unwrap();
    let mut daemon = deployment.start(&settings);
    let serves = wait_until(SOON, || {
        assert!(daemon.is_running(), "the daemon ended:\n{}", daemon.logs());
        daemon.get("/read/x") == Some(200)
    });
    assert!(serves, "not serving:\n{}", daemon.logs());
    assert_logged(&daemon, field, address);
    if field != "watch.metrics" {
        assert_eq!(daemon.metric("listeners_waiting"), Some(1.0));
    }
    drop(holder);
    let listens = wait_until(SOON, || TcpStream::connect(address).is_ok());
    assert!(listens, "not listening on {address}:\n{}", daemon.logs());
    daemon.wait_serving();
    let none_waits = wait_until(SOON, || daemon.metric("listeners_waiting") == Some(0.0));
    assert!(none_waits, "{:?}", daemon.metric("listeners_waiting"));
}

#[test]
fn start_without_the_relay_port_serves() {
    start_without("peers.relay", |settings| settings.peers.relay.unwrap());
}

#[test]
fn start_without_the_tcp_port_of_peers_serves() {
    start_without("peers.listen, TCP", |settings| settings.peers.listen);
}

#[test]
fn start_without_the_administration_port_serves() {
    start_without("admin.listen", |settings| {
        settings.admin.as_ref().unwrap().listen
    });
}

#[test]
fn start_without_the_readiness_port_serves() {
    start_without("watch.ready", |settings| {
        settings.watch.as_ref().unwrap().ready
    });
}

#[test]
fn start_without_the_metrics_port_serves() {
    start_without("watch.metrics", |settings| {
        settings.watch.as_ref().unwrap().metrics
    });
}

/// Starts a daemon while the result of `hold` has the address that `address` returns, which
/// the VM needs to serve callers.
fn start_before_free<T>(
    deployment: &Deployment,
    field: &str,
    address: impl Fn(&Settings) -> SocketAddr,
    hold: impl Fn(SocketAddr) -> T,
) {
    let settings = deployment.settings(0);
    let address = address(&settings);
    let holder = hold(address);
    let mut daemon = deployment.start(&settings);
    daemon.assert_waiting(WATCHED);
    assert_logged(&daemon, field, address);
    drop(holder);
    daemon.wait_serving();
}

#[test]
fn start_before_the_callers_port_is_free_waits() {
    start_before_free(
        &deployment(),
        "callers.listen",
        |settings| settings.callers.listen[0],
        |address| TcpListener::bind(address).unwrap(),
    );
}

#[test]
fn start_before_the_udp_port_of_peers_is_free_waits() {
    start_before_free(
        &deployment(),
        "peers.listen, UDP",
        |settings| settings.peers.listen,
        |address| UdpSocket::bind(address).unwrap(),
    );
}

#[test]
fn start_before_a_connection_has_left_the_callers_port_waits() {
    let deployment = deployment();
    let to = deployment.endpoint.address;
    start_before_free(
        &deployment,
        "callers.listen",
        |settings| settings.callers.listen[0],
        |address| connect_from(address, to),
    );
}

/// Opens a connection to `to` whose own end is `from`, so that it breaks off when it is
/// closed and leaves no wait behind.
fn connect_from(from: SocketAddr, to: SocketAddr) -> OwnedFd {
    let socket = rustix::net::socket_with(
        AddressFamily::INET,
        SocketType::STREAM,
        SocketFlags::CLOEXEC,
        None,
    )
    .unwrap();
    let linger = Some(Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(&socket, linger).unwrap();
    rustix::net::bind(&socket, &from).unwrap();
    rustix::net::connect(&socket, &to).unwrap();
    socket
}

#[test]
fn start_before_the_address_exists_waits() {
    // An address for documentation, which no host has (RFC 5737).
    let missing = SocketAddr::from((Ipv4Addr::new(192, 0, 2, 1), 8381));
    let deployment = deployment();
    let mut settings = deployment.settings(0);
    settings.callers.listen.push(missing);
    let mut daemon = deployment.start(&settings);
    daemon.assert_waiting(WATCHED);
    assert_eq!(daemon.readiness(), Some(503));
    assert_logged(&daemon, "callers.listen", missing);
    let served = daemon.get("/read/x");
    assert_eq!(served, Some(200), "the other address is listened on");
}

#[test]
fn start_while_the_predecessor_drains_takes_over() {
    let deployment = Deployment::new();
    deployment.add_server("i-1", Duration::from_millis(1500), 10);
    let settings = deployment.settings(0);
    let mut old = deployment.start(&settings);
    old.wait_serving();
    old.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(500));
    let mut new = deployment.start(&settings);
    thread::sleep(WATCHED);
    // The predecessor serves while its readiness is off.
    assert_eq!(old.get("/read/x"), Some(200), "{}", old.logs());
    assert!(new.is_running(), "the daemon ended:\n{}", new.logs());
    assert_eq!(old.wait_exit_code(SOON), Some(0), "{}", old.logs());
    new.wait_serving();
}

#[test]
fn start_in_series_after_each_kind_of_end_serves() {
    let deployment = deployment();
    let settings = deployment.settings(0);
    for end in [Signal::KILL, Signal::TERM, Signal::INT, Signal::KILL] {
        let mut daemon = deployment.start(&settings);
        daemon.wait_serving();
        daemon.signal(end);
        // The next one is started at once, as a supervisor may do.
        let mut next = deployment.start(&settings);
        assert!(daemon.wait_ended(SOON), "{}", daemon.logs());
        next.wait_serving();
        next.signal(Signal::KILL);
        assert!(next.wait_ended(SOON));
    }
}

#[test]
fn stop_while_an_address_is_not_free_exits_with_0() {
    let deployment = deployment();
    for (index, signal) in [Signal::TERM, Signal::INT].into_iter().enumerate() {
        let settings = deployment.settings(2 * index as u8);
        let _holder = UdpSocket::bind(settings.peers.listen).unwrap();
        stop_waiting(deployment.start(&settings), signal);
        let settings = deployment.settings(2 * index as u8 + 1);
        let _holder = TcpListener::bind(settings.callers.listen[0]).unwrap();
        stop_waiting(deployment.start(&settings), signal);
    }
}

/// Sends `signal` to a daemon that waits for an address.
fn stop_waiting(mut daemon: Daemon, signal: Signal) {
    let waits = wait_until(SOON, || {
        assert!(daemon.is_running(), "the daemon ended:\n{}", daemon.logs());
        !daemon.log_lines("net", "cannot listen on ").is_empty()
    });
    assert!(waits, "{}", daemon.logs());
    daemon.signal(Signal::HUP);
    thread::sleep(Duration::from_millis(200));
    assert!(daemon.is_running(), "the daemon ended:\n{}", daemon.logs());
    daemon.signal(signal);
    let code = daemon.wait_exit_code(STOP_LIMIT);
    assert_eq!(code, Some(0), "{}", daemon.logs());
}

#[test]
fn start_before_the_settings_are_complete_waits() {
    let deployment = deployment();
    let settings = deployment.settings(0);
    let path = deployment.write_settings(&settings);
    let text = std::fs::read_to_string(&path).unwrap();
    let middle = text.len() / 2;
    for early in [None, Some(""), Some(&text[..middle])] {
        match early {
            Some(early) => std::fs::write(&path, early).unwrap(),
            None => std::fs::remove_file(&path).unwrap(),
        }
        let mut daemon = deployment.start_with_file(&settings, path.clone());
        daemon.assert_waiting(WATCHED);
        std::fs::write(&path, &text).unwrap();
        daemon.wait_serving();
        daemon.signal(Signal::KILL);
        assert!(daemon.wait_ended(SOON));
    }
}

#[test]
fn stop_while_the_settings_are_incomplete_exits_with_0() {
    let deployment = deployment();
    let settings = deployment.settings(0);
    let path = deployment.write_settings(&settings);
    std::fs::write(&path, "{").unwrap();
    let mut daemon = deployment.start_with_file(&settings, path);
    assert!(wait_until(SOON, || daemon
        .logs()
        .contains("reading it again")));
    daemon.signal(Signal::TERM);
    let code = daemon.wait_exit_code(STOP_LIMIT);
    assert_eq!(code, Some(0), "{}", daemon.logs());
}

#[test]
fn start_with_settings_that_stay_incomplete_exits_with_2() {
    let deployment = deployment();
    let settings = deployment.settings(0);
    let path = deployment.write_settings(&settings);
    std::fs::write(&path, "{").unwrap();
    let mut daemon = deployment.start_with_file(&settings, path);
    assert_eq!(daemon.wait_exit_code(Duration::from_secs(20)), Some(2));
    assert!(daemon.logs().contains("ends before its JSON does"));
}

#[test]
fn start_with_complete_settings_that_are_wrong_exits_with_2_at_once() {
    let deployment = deployment();
    let settings = deployment.settings(0);
    let path = deployment.write_settings(&settings);
    std::fs::write(&path, "{}").unwrap();
    let start = Instant::now();
    let mut daemon = deployment.start_with_file(&settings, path);
    assert_eq!(daemon.wait_exit_code(Duration::from_secs(5)), Some(2));
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn check_of_incomplete_settings_does_not_wait() {
    let path = std::env::temp_dir().join(format!("snipepaddled-{}.json", std::process::id()));
    std::fs::write(&path, "").unwrap();
    let start = Instant::now();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_snipepaddled"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    let took = start.elapsed();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(took < Duration::from_secs(5), "{took:?}");
}
