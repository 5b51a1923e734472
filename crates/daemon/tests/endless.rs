//! A planned stop beside a server whose responses have no end.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use harness::request;
use harness::Deployment;
use harness::Response;
use harness::MEMORY_MAX_BYTES;
use rustix::process::Signal;
use stand::fields;
use stand::store::header_field;
use stand::store::read_request;

/// The callers whose responses have no end.
const CALLERS: usize = 16;
/// How long the sound server works on a call, which begins before the stop.
const WORK: Duration = Duration::from_secs(3);
/// The platform's grace period, and what may be added on a busy machine.
const STOP_MAX: Duration = Duration::from_secs(6 + 2);

/// Responds to calls with `start`, and then `part` until the connection is closed. Health
/// checks get a whole response.
fn respond_endlessly(mut stream: TcpStream, start: &str, part: &str) {
    while let Some(request) = read_request(&mut stream) {
        let id = header_field(&request, fields::CALL_ID).unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: i-1\r\n{}: s\r\n{}: 0,0,64,100\r\n",
            fields::CALL_ID,
            fields::INSTANCE_ID,
            fields::SIGNATURE,
            fields::LOAD,
        );
        if request.starts_with("GET /health") {
            let _ = write!(stream, "{head}content-length: 0\r\n\r\n");
            continue;
        }
        let _ = write!(stream, "{head}{start}");
        let block = part.repeat((64 << 10) / part.len());
        while stream.write_all(block.as_bytes()).is_ok() {}
        return;
    }
}

fn start_endless(start: &'static str, part: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond_endlessly(stream, start, part));
        }
    });
    address
}

/// Stops a VM while callers read responses of `start` and then `part` without end. A call of
/// another service gets its whole response, and the VM ends in time and within its memory.
fn check_stop(start: &'static str, part: &'static str) {
    let deployment = Deployment::new();
    deployment.write_entry("s", "i-1", start_endless(start, part), 64);
    let sound = deployment.add_server_of("other", "i-2", WORK, 1000);
    let mut daemon = deployment.start(&deployment.settings(0));
    assert!(harness::wait_until(harness::SOON, || daemon.readiness() == Some(200)));
    let mut whole = daemon.connect().unwrap();
    whole
        .write_all(request("POST", "/other/x", b"body").as_bytes())
        .unwrap();
    assert!(harness::wait_until(harness::SOON, || sound.count() == 1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let mut stream = daemon.connect().unwrap();
            stream
                .write_all(request("GET", "/read/x", b"").as_bytes())
                .unwrap();
            thread::spawn(move || {
                let mut buffer = vec![0; 64 << 10];
                while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    daemon.signal(Signal::TERM);
    let response = Response::read(&mut whole).expect("a whole response");
    assert_eq!(response.status, 200, "{}", response.head);
    let peak = daemon.peak_memory();
    assert!(peak < MEMORY_MAX_BYTES, "{peak} bytes");
    assert!(daemon.wait_ended(STOP_MAX), "{}", daemon.logs());
    for caller in callers {
        caller.join().unwrap();
    }
}

#[test]
fn stop_beside_chunks_without_end_cuts_no_other_call() {
    check_stop("transfer-encoding: chunked\r\n\r\n", "4\r\nabcd\r\n");
}

#[test]
fn stop_beside_a_body_to_the_end_of_the_connection_cuts_no_other_call() {
    check_stop("\r\n", "x");
}

#[test]
fn stop_beside_fields_without_end_cuts_no_other_call() {
    check_stop("", "name: value\r\n");
}
