//! Servers that crash, and requests that make them crash.

mod harness;

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use harness::read_message;
use harness::Harness;

/// The time after a crash until the server accepts connections again.
const DOWNTIME: Duration = Duration::from_millis(400);
/// The number of crashes after which the load balancer has to recognize a request.
const CRASHES_MAX: usize = 3;
/// How often a request may reach servers after that.
const RETRIES_MAX: usize = 3;

/// A server that crashes when it gets a request whose path contains `/deadly`, and
/// restarts after [`DOWNTIME`].
struct CrashingServer {
    address: SocketAddr,
    crashes: Arc<AtomicUsize>,
}

impl CrashingServer {
    fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let crashes = Arc::new(AtomicUsize::new(0));
        let counter = crashes.clone();
        std::thread::spawn(move || run_and_restart(listener, &counter));
        Self { address, crashes }
    }

    fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

fn run_and_restart(mut listener: TcpListener, crashes: &Arc<AtomicUsize>) {
    let address = listener.local_addr().unwrap();
    loop {
        let crashed = Arc::new(AtomicBool::new(false));
        let mut streams = Vec::new();
        listener.set_nonblocking(true).unwrap();
        while !crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            streams.push(stream.try_clone().unwrap());
            let (crashed, crashes) = (crashed.clone(), crashes.clone());
            std::thread::spawn(move || serve(stream, &crashed, &crashes));
        }
        drop(listener);
        for stream in streams {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        std::thread::sleep(DOWNTIME);
        listener = TcpListener::bind(address).unwrap();
    }
}

fn serve(mut stream: TcpStream, crashed: &AtomicBool, crashes: &AtomicUsize) {
    while let Some(head) = read_message(&mut stream) {
        if head.contains("/deadly") {
            crashes.fetch_add(1, Ordering::SeqCst);
            crashed.store(true, Ordering::SeqCst);
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
    }
}

fn start_servers(count: usize) -> (Vec<CrashingServer>, Vec<SocketAddr>) {
    let servers: Vec<CrashingServer> = (0..count).map(|_| CrashingServer::new()).collect();
    let addresses = servers.iter().map(|server| server.address).collect();
    (servers, addresses)
}

fn count_crashes(servers: &[CrashingServer]) -> usize {
    servers.iter().map(CrashingServer::crashes).sum()
}

#[test]
fn request_that_crashes_servers_is_sent_on_and_on() {
    let (servers, addresses) = start_servers(8);
    let mut harness = Harness::new(&addresses);
    harness.add_vm("vm-2");
    let callers = harness.all_callers();
    let began = Instant::now();
    let mut repeats = 0;
    while began.elapsed() < Duration::from_secs(4) {
        let vm = callers[repeats % callers.len()];
        let answer = harness.call_at(vm, "GET", "/deadly", "", "");
        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
        repeats += 1;
        std::thread::sleep(Duration::from_millis(60));
    }
    let crashes = count_crashes(&servers);
    assert!(
        crashes <= CRASHES_MAX + RETRIES_MAX,
        "{crashes} servers ended under {repeats} repeats of one request"
    );
    for vm in callers {
        let answer = harness.call_at(vm, "GET", "/harmless", "", "");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

#[test]
fn vm_that_joins_sends_a_request_on_that_others_reject() {
    let (servers, addresses) = start_servers(8);
    let mut harness = Harness::new(&addresses);
    harness.add_vm("vm-2");
    for vm in harness.all_callers().into_iter().cycle().take(8) {
        harness.call_at(vm, "GET", "/deadly", "", "");
        std::thread::sleep(Duration::from_millis(60));
    }
    let before = count_crashes(&servers);
    assert!(before >= CRASHES_MAX, "{before} servers ended");
    harness.add_vm("vm-3");
    let joined = harness.all_callers()[2];
    std::thread::sleep(Duration::from_millis(200));
    let answer = harness.call_at(joined, "GET", "/deadly", "", "");
    assert!(answer.contains("crashes-servers"), "{answer}");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(count_crashes(&servers), before);
}

#[test]
fn request_that_loses_connections_to_live_servers_is_rejected() {
    fn close_connection(stream: &mut TcpStream, _head: &str) {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    let servers = [(); 4].map(|()| harness::Scripted::new(close_connection));
    let harness = Harness::new(&servers.each_ref().map(|server| server.address));
    for _ in 0..6 {
        let answer = harness.call("GET", "/unlucky", "", "");
        assert!(!answer.contains("crashes-servers"), "{answer}");
    }
}
