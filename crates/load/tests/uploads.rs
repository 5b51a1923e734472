//! Uploads whose server responds early or stops reading, or whose caller stops sending:
//! the caller learns the truth in time, and the slot of the server is free again.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use harness::read_head;
use harness::Harness;

/// The size of the uploads, more than the buffers of all connections on the way hold.
const UPLOAD_BYTES: usize = 24 << 20;
/// The deadline of calls whose server or caller stalls, and what may be added on a busy
/// machine.
const STALLED_TIME_MAX: Duration = Duration::from_millis(300 + 3000);

/// Handles a connection to a server once a head has been read from it.
type Script = fn(&mut TcpStream);

/// Starts a server that reads heads only, and passes each with its connection to `script`.
/// It responds to health checks itself.
fn start_server(script: Script) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream, script));
        }
    });
    address
}

fn serve(mut stream: TcpStream, script: Script) {
    while let Some(head) = read_head(&mut stream) {
        if head.starts_with("GET") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
            continue;
        }
        script(&mut stream);
    }
}

const EARLY_RESPONSE: &[u8] = b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nlarge";

/// Responds before the body is in, and goes on reading it.
fn respond_early(stream: &mut TcpStream) {
    let _ = stream.write_all(EARLY_RESPONSE);
    read_body(stream);
}

/// Responds before the body is in, and reads nothing more.
fn respond_early_and_stop(stream: &mut TcpStream) {
    let _ = stream.write_all(EARLY_RESPONSE);
    std::thread::sleep(Duration::from_secs(10));
}

/// Reads nothing more and does not respond.
fn stop_reading(_stream: &mut TcpStream) {
    std::thread::sleep(Duration::from_secs(10));
}

/// Reads the body and does not respond.
fn read_body(stream: &mut TcpStream) {
    let mut body = stream.take(UPLOAD_BYTES as u64);
    let _ = std::io::copy(&mut body, &mut std::io::sink());
}

/// Starts a VM that streams all uploads to a server with `script`.
fn start(script: Script) -> Harness {
    Harness::with_settings(&[start_server(script)], |settings| {
        settings.callers.body = 2 * UPLOAD_BYTES;
        settings.callers.buffer = 0;
    })
}

/// Sends `sent` of the [`UPLOAD_BYTES`] of an upload to `path`, with `time` until its
/// deadline; returns what the VM sends until it closes the connection, and how long that
/// took.
fn upload(harness: &Harness, sent: usize, time: Duration) -> (String, Duration) {
    let began = Instant::now();
    let mut stream = harness.open();
    let head = format!(
        "POST /upload HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\
         snipepaddle-deadline-ms: {}\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n",
        time.as_millis()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || {
        let block = vec![b'x'; 64 << 10];
        let mut left = sent;
        while left > 0 && writer.write_all(&block[..left.min(block.len())]).is_ok() {
            left = left.saturating_sub(block.len());
        }
    });
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let took = began.elapsed();
    let _ = stream.shutdown(std::net::Shutdown::Both);
    sending.join().unwrap();
    (String::from_utf8_lossy(&response).into_owned(), took)
}

/// Checks that the VM serves calls again.
fn check_served(harness: &Harness) {
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        let whole = harness.call("GET", "/", "", "");
        if whole.starts_with("HTTP/1.1 200") && whole.ends_with("whole") {
            return;
        }
        // A server that has just failed gets no calls until a probe succeeds.
        assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
        assert!(Instant::now() < deadline, "no calls any more");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn upload_early_response_reaches_the_caller() {
    let harness = start(respond_early);
    let (response, _) = upload(&harness, UPLOAD_BYTES, Duration::from_secs(4));
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.ends_with("large"), "{response}");
    check_served(&harness);
}

#[test]
fn upload_early_response_of_a_server_that_stops_reading_reaches_the_caller() {
    let harness = start(respond_early_and_stop);
    let (response, took) = upload(&harness, UPLOAD_BYTES, Duration::from_secs(4));
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.ends_with("large"), "{response}");
    assert!(took < Duration::from_secs(5), "{took:?}");
    check_served(&harness);
}

#[test]
fn upload_to_a_server_that_stops_reading_ends_at_its_deadline() {
    let harness = start(stop_reading);
    let (response, took) = upload(&harness, UPLOAD_BYTES, Duration::from_millis(300));
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(
        response.contains("snipepaddle-outcome: unknown"),
        "{response}"
    );
    assert!(took < STALLED_TIME_MAX, "{took:?}");
    check_served(&harness);
}

#[test]
fn upload_of_a_caller_that_stops_sending_ends_at_its_deadline() {
    let harness = start(read_body);
    let (response, took) = upload(&harness, UPLOAD_BYTES / 2, Duration::from_millis(300));
    assert!(!response.starts_with("HTTP/1.1 2"), "{response}");
    assert!(took < STALLED_TIME_MAX, "{took:?}");
    check_served(&harness);
}
