//! Peers that send without end: memory stays bounded, the thread goes on with other work, and
//! the connection ends with the sender. Most of them use HTTP/2; `crates/load/tests/endless.rs`
//! has those that use HTTP/1.1.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use net::client;
use net::ThreadPool;

/// How long a response is awaited, and then left unread.
const WAIT: Duration = Duration::from_millis(700);
/// The most memory that one exchange may take.
const MEMORY_MAX_BYTES: usize = 32 << 20;
/// The longest response that is fetched.
const FETCH_MAX_BYTES: usize = 4 << 20;
/// The longest time for which the only thread may do nothing else.
const STALL_MAX: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(10);
/// What an HTTP/2 client sends first.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const FRAME_HEAD_BYTES: usize = 9;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const PRIORITY: u8 = 2;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;
const UNKNOWN: u8 = 0x42;
const END_HEADERS: u8 = 4;
const PADDED: u8 = 8;
/// A literal field without indexing, whose name is entry 8 of the static table.
const STATUS_200: &[u8] = b"\x08\x03200";
const STATUS_103: &[u8] = b"\x08\x03103";
const FIELD: &[u8] = b"\x00\x04name\x05value";

/// Held by one test at a time, since the memory of the whole process is measured.
static MEASURED: Mutex<()> = Mutex::new(());

fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    let mut bytes = length[1..].to_vec();
    bytes.extend_from_slice(&[kind, flags, 0, 0, 0, stream]);
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads frames until one with the head of a request has arrived. Returns `None` if the
/// connection ends first.
fn read_request(stream: &mut TcpStream) -> Option<()> {
    stream.read_exact(&mut vec![0; PREFACE.len()]).ok()?;
    loop {
        let mut head = [0; FRAME_HEAD_BYTES];
        stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        stream.read_exact(&mut vec![0; length as usize]).ok()?;
        if head[3] == HEADERS {
            return Some(());
        }
    }
}

/// Starts a server that responds to the first request with `start`, and with `part` again and
/// again until the connection is closed. Counts the connections on which it sends.
fn start_server(start: Vec<u8>, part: Vec<u8>, sending: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.write_all(&frame(SETTINGS, 0, 0, &[]));
        if read_request(&mut stream).is_none() {
            return;
        }
        sending.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(&start);
        let block = part.repeat((16 << 10) / part.len() + 1);
        while stream.write_all(&block).is_ok() {}
        sending.fetch_sub(1, Ordering::SeqCst);
    });
    address
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * 4096
}

/// Sends a request to a server that responds with `start` and then `part` without end; leaves
/// the body unread, and checks memory and other work on the same thread meanwhile.
fn check(start: Vec<u8>, part: Vec<u8>) {
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    let sending = Arc::new(AtomicUsize::new(0));
    let address = start_server(start, part, sending.clone());
    let pool = ThreadPool::new("client", 1);
    let handle = pool.handle();
    let before = resident_bytes();
    let exchange = handle.clone().spawn(async move {
        let mut sender = client::connect(&handle, address, true).await.unwrap();
        let request = Request::get(format!("http://{address}/"))
            .body(net::body::empty())
            .unwrap();
        let response = net::timeout(WAIT, sender.send(request)).await;
        smol::Timer::after(WAIT).await;
        drop(response);
    });
    let watch = pool.handle().spawn(async {
        let mut longest = Duration::ZERO;
        let end = Instant::now() + 2 * WAIT;
        while Instant::now() < end {
            let last = Instant::now();
            smol::Timer::after(Duration::from_millis(10)).await;
            longest = longest.max(last.elapsed());
        }
        longest
    });
    let end = Instant::now() + 2 * WAIT;
    while Instant::now() < end {
        let added = resident_bytes().saturating_sub(before);
        assert!(added < MEMORY_MAX_BYTES, "{added} bytes more");
        std::thread::sleep(Duration::from_millis(5));
    }
    let longest = smol::block_on(net::timeout(TIMEOUT, watch)).expect("the thread hangs");
    assert!(longest < STALL_MAX, "the thread hung for {longest:?}");
    smol::block_on(net::timeout(TIMEOUT, exchange)).expect("the exchange does not end");
    let end = Instant::now() + TIMEOUT;
    while sending.load(Ordering::SeqCst) > 0 {
        assert!(Instant::now() < end, "the connection stays open");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn head() -> Vec<u8> {
    frame(HEADERS, END_HEADERS, 1, STATUS_200)
}

#[test]
fn http2_body_without_end_is_bounded() {
    check(head(), frame(DATA, 0, 1, &[b'x'; 16 << 10]));
}

// Guards against a buffer that is limited by the bytes of the frames alone.
#[test]
fn http2_small_data_without_end_is_bounded() {
    check(head(), frame(DATA, 0, 1, b"x"));
}

#[test]
fn http2_padding_without_end_is_bounded() {
    check(
        head(),
        frame(DATA, PADDED, 1, &[[254].as_slice(), &[0; 255]].concat()),
    );
}

#[test]
fn http2_empty_data_without_end_is_bounded() {
    check(head(), frame(DATA, 0, 1, &[]));
}

#[test]
fn http2_head_without_end_is_bounded() {
    let start = frame(HEADERS, 0, 1, STATUS_200);
    check(start, frame(CONTINUATION, 0, 1, &FIELD.repeat(500)));
}

#[test]
fn http2_empty_continuations_without_end_are_bounded() {
    let start = frame(HEADERS, 0, 1, STATUS_200);
    check(start, frame(CONTINUATION, 0, 1, &[]));
}

#[test]
fn http2_interim_heads_without_end_are_bounded() {
    check(Vec::new(), frame(HEADERS, END_HEADERS, 1, STATUS_103));
}

#[test]
fn http2_trailers_without_end_are_bounded() {
    let start = [head(), frame(HEADERS, 0, 1, FIELD)].concat();
    check(start, frame(CONTINUATION, 0, 1, &FIELD.repeat(500)));
}

#[test]
fn http2_pings_without_end_are_bounded() {
    check(Vec::new(), frame(PING, 0, 0, &[0; 8]));
}

#[test]
fn http2_settings_without_end_are_bounded() {
    check(Vec::new(), frame(SETTINGS, 0, 0, &[]));
}

#[test]
fn http2_window_updates_without_end_are_bounded() {
    check(Vec::new(), frame(WINDOW_UPDATE, 0, 0, &[0, 0, 0, 1]));
}

#[test]
fn http2_priorities_without_end_are_bounded() {
    check(Vec::new(), frame(PRIORITY, 0, 3, &[0, 0, 0, 0, 1]));
}

#[test]
fn http2_unknown_frames_without_end_are_bounded() {
    check(Vec::new(), frame(UNKNOWN, 0, 0, &[0; 1000]));
}

#[test]
fn http2_bytes_that_are_no_frames_are_bounded() {
    check(Vec::new(), b"x".to_vec());
}

// Guards against a buffer that keeps each chunk apart: the object of a chunk is larger than
// most of these.
#[test]
fn fetch_small_chunks_without_end_is_bounded() {
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1 << 10]);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let block = b"1\r\nx\r\n".repeat(2000);
        while stream.write_all(&block).is_ok() {}
    });
    let pool = ThreadPool::new("client", 1);
    let handle = pool.handle();
    let before = resident_bytes();
    let fetch = pool.handle().spawn(async move {
        let request = Request::get(format!("http://{address}/"))
            .body(net::body::empty())
            .unwrap();
        client::fetch(&handle, address, request, TIMEOUT, FETCH_MAX_BYTES).await
    });
    while !fetch.is_finished() {
        let added = resident_bytes().saturating_sub(before);
        assert!(added < MEMORY_MAX_BYTES, "{added} bytes more");
        std::thread::sleep(Duration::from_millis(5));
    }
    let failed = smol::block_on(fetch).expect_err("the response ended");
    assert!(matches!(failed, client::Error::TooLong(_)), "{failed}");
}
