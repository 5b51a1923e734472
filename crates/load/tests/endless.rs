//! Servers that send bytes without end: the time and the memory of the VM stay bounded,
//! the connection is closed, the slot is free again, and the caller learns the truth.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use harness::respond_whole;
use harness::Harness;
use harness::Scripted;
use net::cut::Cut;
use net::cut::CutConnector;
use node::Options;

/// The time limit of the route `/slow`, which the calls here use, and what may be added
/// on a busy machine.
const CALL_TIME_MAX: Duration = Duration::from_millis(300 + 2000);
/// The most memory that an attempt may take: buffers of the connections of the VM, the
/// caller and the server, which all belong to this process.
const MEMORY_MAX_BYTES: usize = 32 << 20;

/// The time between calls of which one is to be relayed.
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// How long a caller reads a relayed response.
const RELAY_TIME: Duration = Duration::from_secs(1);
/// The time until calls are relayed, and until they are again after a server has failed.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(10);

/// The number of connections on which a server is still sending.
static SENDING: AtomicUsize = AtomicUsize::new(0);
/// Held by one test at a time, since the memory of the whole process is measured.
static MEASURED: Mutex<()> = Mutex::new(());

/// Sends `part` again and again until the VM closes the connection.
fn send_endlessly(stream: &mut TcpStream, part: &[u8]) {
    SENDING.fetch_add(1, Ordering::SeqCst);
    let block = part.repeat((16 << 10) / part.len());
    while stream.write_all(&block).is_ok() {}
    SENDING.fetch_sub(1, Ordering::SeqCst);
}

/// Responds as the path asks for.
fn respond(stream: &mut TcpStream, head: &str) {
    let path = head.split_whitespace().nth(1).unwrap_or_default();
    let start: &[u8] = match path {
        "/slow/head" => b"HTTP/1.1 200 OK\r\n",
        "/slow/field" => b"HTTP/1.1 200 OK\r\nfield: ",
        "/slow/chunks" => b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "/slow/chunk" => b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n",
        "/slow/to-the-end" => b"HTTP/1.1 200 OK\r\n\r\n",
        "/slow/interim" => b"",
        "/slow/after" => b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
        _ => return respond_whole(stream, head),
    };
    let _ = stream.write_all(start);
    match path {
        "/slow/head" => send_endlessly(stream, b"name: value\r\n"),
        "/slow/chunks" => send_endlessly(stream, b"4\r\nabcd\r\n"),
        "/slow/interim" => send_endlessly(stream, b"HTTP/1.1 100 Continue\r\n\r\n"),
        _ => send_endlessly(stream, b"x"),
    }
}

/// Returns the resident memory of the process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * 4096
}

/// Calls `path` three times with a caller that reads only after the deadline, checks time
/// and memory meanwhile, and returns the responses.
fn call_endless(path: &str) -> Vec<String> {
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    let server = Scripted::new(respond);
    let harness = Harness::new(&[server.address]);
    let whole = harness.call("GET", "/slow/whole", "", "");
    assert!(whole.ends_with("whole"), "{whole}");
    let before = resident_bytes();
    let mut responses = Vec::new();
    for _ in 0..3 {
        let began = Instant::now();
        let mut stream = harness.open();
        let request = format!("POST {path} HTTP/1.1\r\nhost: s\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let deadline = began + Duration::from_millis(400);
        while Instant::now() < deadline {
            let added = resident_bytes().saturating_sub(before);
            assert!(added < MEMORY_MAX_BYTES, "{path}: {added} bytes more");
            std::thread::sleep(Duration::from_millis(5));
        }
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        assert!(began.elapsed() < CALL_TIME_MAX, "{path}");
        responses.push(String::from_utf8_lossy(&response).into_owned());
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    while SENDING.load(Ordering::SeqCst) > 0 {
        assert!(Instant::now() < deadline, "{path}: a connection stays open");
        std::thread::sleep(Duration::from_millis(5));
    }
    // The slots are free, and no byte belongs to another call.
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let whole = harness.call("GET", "/slow/whole", "", "");
        if whole.starts_with("HTTP/1.1 200") && whole.ends_with("\r\n\r\nwhole") {
            return responses;
        }
        // A server that has just failed gets no calls until a probe succeeds.
        assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
        assert!(Instant::now() < deadline, "{path}: no calls any more");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a second VM without a path to the servers, whose calls the first one relays, and
/// calls `path` there with a caller that reads for [`RELAY_TIME`]. Checks the memory
/// meanwhile, and that the connection to the server is closed after the caller has left.
/// Returns the response as far as it came.
fn relay_endless(path: &str) -> String {
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    let servers = [Scripted::new(respond), Scripted::new(respond)];
    let connector = Arc::new(CutConnector::new());
    let mut harness = Harness::new(&servers.each_ref().map(|server| server.address));
    let options = Options {
        connector: Some(connector.clone()),
        ..Options::default()
    };
    harness.add_vm_with("vm-2", options);
    connector.set(Cut::Refused);
    let relaying = harness.all_callers()[1];
    let relayed = || {
        let whole = harness.call_at(relaying, "GET", "/slow/whole", "", "");
        whole.starts_with("HTTP/1.1 200")
    };
    let deadline = Instant::now() + SETTLE_TIME_MAX;
    while !relayed() {
        assert!(Instant::now() < deadline, "no call is relayed");
        std::thread::sleep(CALL_PAUSE);
    }
    let calls = || servers.iter().map(Scripted::count).sum::<usize>();
    let called = calls();
    let before = resident_bytes();
    let mut stream = TcpStream::connect(relaying).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(10)))
        .unwrap();
    let request = format!("POST {path} HTTP/1.1\r\nhost: s\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let end = Instant::now() + RELAY_TIME;
    let mut response = Vec::new();
    let mut buffer = vec![0; 16 << 10];
    while Instant::now() < end {
        let read = stream.read(&mut buffer).unwrap_or(0);
        if response.len() < buffer.len() {
            response.extend_from_slice(&buffer[..read]);
        }
        let added = resident_bytes().saturating_sub(before);
        assert!(added < MEMORY_MAX_BYTES, "{path}: {added} bytes more");
    }
    assert!(calls() > called, "{path}: the call was not relayed");
    drop(stream);
    let deadline = Instant::now() + Duration::from_secs(5);
    while SENDING.load(Ordering::SeqCst) > 0 {
        assert!(Instant::now() < deadline, "{path}: a connection stays open");
        std::thread::sleep(Duration::from_millis(5));
    }
    let deadline = Instant::now() + SETTLE_TIME_MAX;
    while !relayed() {
        assert!(Instant::now() < deadline, "{path}: no calls any more");
        std::thread::sleep(CALL_PAUSE);
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Checks that the first call failed and may have run, and that no later one is reported
/// as served.
fn check_unknown(responses: &[String]) {
    let first = &responses[0];
    assert!(first.starts_with("HTTP/1.1 50"), "{first}");
    assert!(first.contains("snipepaddle-outcome: unknown"), "{first}");
    for response in responses {
        assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Checks that a response that began is not complete.
fn check_incomplete(responses: &[String]) {
    for response in responses {
        assert!(!response.ends_with("0\r\n\r\n"), "the body looks complete");
    }
}

#[test]
fn call_head_of_fields_without_end_may_have_run() {
    check_unknown(&call_endless("/slow/head"));
}

// Guards against a VM that hangs while a server sends interim heads.
#[test]
fn call_interim_heads_without_end_may_have_run() {
    check_unknown(&call_endless("/slow/interim"));
}

#[test]
fn call_field_without_end_may_have_run() {
    check_unknown(&call_endless("/slow/field"));
}

#[test]
fn call_chunks_without_end_are_incomplete() {
    check_incomplete(&call_endless("/slow/chunks"));
}

#[test]
fn call_chunk_without_end_is_incomplete() {
    check_incomplete(&call_endless("/slow/chunk"));
}

#[test]
fn call_body_to_the_end_of_the_connection_is_incomplete() {
    check_incomplete(&call_endless("/slow/to-the-end"));
}

#[test]
fn call_bytes_after_a_whole_response_belong_to_no_call() {
    for response in call_endless("/slow/after") {
        let whole = response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\nwhole");
        assert!(whole || response.starts_with("HTTP/1.1 50"), "{response}");
    }
}

#[test]
fn relayed_head_without_end_is_bounded() {
    for path in ["/slow/head", "/slow/field", "/slow/interim"] {
        let response = relay_endless(path);
        assert!(response.starts_with("HTTP/1.1 50"), "{path}: {response}");
    }
}

#[test]
fn relayed_body_without_end_is_bounded() {
    for path in ["/slow/chunks", "/slow/chunk", "/slow/to-the-end"] {
        let response = relay_endless(path);
        assert!(!response.ends_with("0\r\n\r\n"), "{path}: looks complete");
    }
}

#[test]
fn relayed_bytes_after_a_whole_response_belong_to_no_call() {
    let response = relay_endless("/slow/after");
    let whole = response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\nwhole");
    assert!(whole || response.starts_with("HTTP/1.1 50"), "{response}");
}
