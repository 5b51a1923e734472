//! The memory of the daemon while many callers hold what one connection may hold.

mod harness;

use std::io::ErrorKind;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use harness::request;
use harness::request_head;
use harness::wait_until;
use harness::Daemon;
use harness::Deployment;
use harness::Response;
use harness::DESCRIPTORS;
use harness::MEMORY_MAX_BYTES;
use harness::SOON;

/// The connections of all callers together; the deployment's limit is 2000.
const CALLERS: usize = 1900;
/// The descriptors of this process, which has both ends of the servers' connections.
const TEST_DESCRIPTORS: u64 = 20_000;
/// How long the peak has to stay the same until it counts as reached.
const STABLE: Duration = Duration::from_secs(1);
/// How long callers send, and the peak may grow.
const SEND_LIMIT: Duration = Duration::from_secs(5);

/// Held by a test while it has its connections.
static SERIAL: Mutex<()> = Mutex::new(());

/// A VM with one server, and the callers that load it.
struct Load {
    callers: Vec<TcpStream>,
    daemon: Daemon,
    _deployment: Deployment,
    _serial: MutexGuard<'static, ()>,
}

impl Load {
    /// Starts a VM whose server responds after `work` with a body of `body_bytes`.
    fn new(work: Duration, body_bytes: usize) -> Self {
        let serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = rustix::process::Rlimit {
            current: Some(TEST_DESCRIPTORS),
            maximum: Some(TEST_DESCRIPTORS),
        };
        rustix::process::setrlimit(rustix::process::Resource::Nofile, limit).unwrap();
        let deployment = Deployment::new();
        deployment.add_server("i-1", work, body_bytes);
        deployment.add_server_of("other", "i-2", Duration::ZERO, 100);
        let mut daemon = deployment.start(&deployment.settings(0));
        daemon.limit_descriptors(DESCRIPTORS);
        daemon.wait_serving();
        assert!(wait_until(SOON, || daemon.get("/other/x") == Some(200)));
        Self {
            callers: Vec::new(),
            daemon,
            _deployment: deployment,
            _serial: serial,
        }
    }

    /// Opens a connection for each of `count` callers and sends what `bytes` returns, as far
    /// as the VM takes it within [`SEND_LIMIT`]. Then waits until the peak stays the same.
    fn send(&mut self, count: usize, bytes: impl Fn() -> Vec<u8>) {
        let mut left = Vec::new();
        for _ in 0..count {
            let stream = self.daemon.connect().unwrap();
            stream.set_nonblocking(true).unwrap();
            left.push((stream, bytes(), 0));
        }
        let sent = wait_until(SEND_LIMIT, || {
            let mut done = true;
            for (stream, bytes, sent) in &mut left {
                while *sent < bytes.len() {
                    match stream.write(&bytes[*sent..]) {
                        Ok(length) => *sent += length,
                        Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                        // The VM may close a connection that holds too much.
                        Err(_) => *sent = bytes.len(),
                    }
                }
                done = done && *sent == bytes.len();
            }
            done
        });
        self.callers = left.into_iter().map(|(stream, ..)| stream).collect();
        println!("all sent: {sent}");
        let mut last = (0, Instant::now());
        wait_until(SEND_LIMIT, || {
            let peak = self.daemon.peak_memory();
            if peak != last.0 {
                last = (peak, Instant::now());
            }
            last.1.elapsed() >= STABLE
        });
    }

    /// Checks the peak, and that callers of another service are served meanwhile, and
    /// pipelined requests once the load has ended.
    fn check(&mut self) {
        assert!(self.daemon.is_running(), "{}", self.daemon.logs());
        let served = wait_until(SOON, || self.daemon.get("/other/x") == Some(200));
        let peak = self.daemon.peak_memory();
        println!("peak: {} MB", peak >> 20);
        assert!(served, "another caller is not served");
        assert!(peak < MEMORY_MAX_BYTES, "{} MB", peak >> 20);
        self.callers.clear();
        self.check_pipeline();
    }

    /// Sends pipelined requests until none is refused; checks that the responses are whole
    /// and in order.
    fn check_pipeline(&self) {
        assert!(wait_until(SOON, || self.try_pipeline()), "still refused");
    }

    /// Sends pipelined requests as a new caller; returns whether none was refused.
    fn try_pipeline(&self) -> bool {
        let ids = |text: &str| {
            let field = stand::fields::CALL_ID;
            stand::store::header_field(text, field).unwrap_or_default()
        };
        // Responses name no request, so their bodies do.
        let requests: Vec<String> = (0..32).map(|_| request("GET", "/other/x", b"")).collect();
        let mut served = true;
        let mut stream = self.daemon.connect().unwrap();
        stream.write_all(requests.concat().as_bytes()).unwrap();
        for request in &requests {
            let response = Response::read(&mut stream).expect("a whole response");
            assert!(matches!(response.status, 200 | 503), "{}", response.head);
            if response.status == 503 {
                served = false;
                continue;
            }
            assert!(response.body.starts_with(ids(request).as_bytes()));
        }
        served
    }
}

fn pipeline(count: usize) -> Vec<u8> {
    let requests = (0..count).map(|_| request("GET", "/read/x", b""));
    requests.collect::<String>().into_bytes()
}

#[test]
fn daemon_with_pipelined_calls_of_many_callers_stays_within_its_memory() {
    let mut load = Load::new(Duration::from_millis(20), 100);
    load.send(1500, || pipeline(600));
    load.check();
}

#[test]
fn daemon_with_few_pipelined_calls_of_many_callers_stays_within_its_memory() {
    let mut load = Load::new(Duration::from_millis(20), 100);
    load.send(CALLERS, || pipeline(16));
    load.check();
}

#[test]
fn daemon_with_bodies_that_never_end_stays_within_its_memory() {
    let mut load = Load::new(Duration::ZERO, 100);
    let body = vec![b'x'; 360 << 10];
    load.send(CALLERS, || {
        let mut bytes = request_head("POST", "/write/x", body.len() + 100).into_bytes();
        bytes.extend_from_slice(&body);
        bytes
    });
    load.check();
}

#[test]
fn daemon_with_heads_that_never_end_stays_within_its_memory() {
    let mut load = Load::new(Duration::ZERO, 100);
    let field = format!("long: {}", "x".repeat(60 << 10));
    load.send(CALLERS, || {
        let head = request_head("GET", "/read/x", 0);
        [head.trim_end(), "\r\n", &field].concat().into_bytes()
    });
    load.check();
}

#[test]
fn daemon_with_responses_that_nobody_reads_stays_within_its_memory() {
    let mut load = Load::new(Duration::ZERO, 2 << 20);
    load.send(1000, || request("GET", "/read/x", b"").into_bytes());
    load.check();
}
