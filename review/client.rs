//! A requester: one request on a connection, and what became of it.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::now;
use crate::record;
use crate::store::field;

/// What a requester got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub id: String,
    pub sent: f64,
    pub ended: f64,
    pub status: Option<u16>,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the answer was complete.
    pub complete: bool,
    /// Why there was no complete answer.
    pub error: String,
}

pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("a{:06x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Returns the head and body of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline: {deadline_ms}\r\n{length}\r\n"
    )
    .into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends a request on a new connection and waits for its answer.
pub fn call(to: SocketAddr, method: &str, path: &str, deadline_ms: u64, body: &[u8]) -> Outcome {
    let id = new_id();
    let bytes = request(method, path, &id, deadline_ms, body);
    record(&format!("requester: {id} {method} {path} to {to}"));
    let mut outcome = exchange(to, &bytes, deadline_ms as f64 / 1e3 + 3.0);
    outcome.id = id;
    record(&format!(
        "requester: {} got {:?} complete {} {} after {:.3} s",
        outcome.id,
        outcome.status,
        outcome.complete,
        outcome.error,
        outcome.ended - outcome.sent
    ));
    outcome
}

/// Writes `bytes` on a new connection and reads one answer, for `limit` seconds at most.
pub fn exchange(to: SocketAddr, bytes: &[u8], limit: f64) -> Outcome {
    let mut outcome = Outcome {
        sent: now(),
        ..Outcome::default()
    };
    let result = TcpStream::connect_timeout(&to, Duration::from_secs(1)).and_then(|mut stream| {
        stream.set_nodelay(true)?;
        stream.write_all(bytes)?;
        read_answer(&mut stream, limit, &mut outcome)
    });
    outcome.ended = now();
    if let Err(error) = result {
        outcome.error = error.to_string();
    }
    outcome
}

/// Reads one answer into `outcome`.
pub fn read_answer(
    stream: &mut TcpStream,
    limit: f64,
    outcome: &mut Outcome,
) -> std::io::Result<()> {
    let end = Instant::now() + Duration::from_secs_f64(limit);
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(done) = parse(&bytes, false, outcome) {
            if done {
                return Ok(());
            }
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            parse(&bytes, true, outcome);
            if !outcome.complete {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            return Ok(());
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
}

/// Parses what was received; returns whether the answer is complete, none without a head.
fn parse(bytes: &[u8], closed: bool, outcome: &mut Outcome) -> Option<bool> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    outcome.status = head
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    let rest = &bytes[end..];
    if field(&head, "transfer-encoding").is_some() {
        let (body, complete) = unchunk(rest);
        outcome.body = body;
        outcome.complete = complete;
    } else if let Some(length) =
        field(&head, "content-length").and_then(|v| v.parse::<usize>().ok())
    {
        outcome.body = rest[..rest.len().min(length)].to_vec();
        outcome.complete = rest.len() >= length;
    } else {
        outcome.body = rest.to_vec();
        outcome.complete = closed;
    }
    outcome.head = head;
    Some(outcome.complete)
}

fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return (body, false);
        };
        rest = &rest[end + 2..];
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
        if size == 0 {
            return (body, true);
        }
    }
}

/// Reads one answer with a length from `stream`, and no byte beyond it.
pub fn read_one(stream: &mut TcpStream, limit: f64, outcome: &mut Outcome) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs_f64(limit)))?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    outcome.status = head
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    let length = field(&head, "content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    outcome.head = head;
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    outcome.body = body;
    outcome.complete = true;
    Ok(())
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const SockAddr, length: u32) -> i32;
    fn connect(socket: i32, address: *const SockAddr, length: u32) -> i32;
}

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Opens a connection from the loopback address `ip`.
fn connect_from(ip: [u8; 4], to: SocketAddr) -> std::io::Result<TcpStream> {
    let address = |ip, port: u16| SockAddr {
        family: 2,
        port: port.to_be_bytes(),
        ip,
        zero: [0; 8],
    };
    let length = std::mem::size_of::<SockAddr>() as u32;
    // SAFETY: the addresses are complete, and the descriptor is owned by the stream alone.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if bind(descriptor, &address(ip, 0), length) != 0
            || connect(descriptor, &address([127, 0, 0, 1], to.port()), length) != 0
        {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends a POST request from the address `ip` on a new connection and waits for its answer.
pub fn post_from(
    ip: [u8; 4],
    to: SocketAddr,
    path: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Outcome {
    let mut outcome = Outcome {
        id: new_id(),
        sent: now(),
        ..Outcome::default()
    };
    record(&format!(
        "requester {ip:?}: {} POST {path} to {to}",
        outcome.id
    ));
    let bytes = request("POST", path, &outcome.id, deadline_ms, body);
    let result = connect_from(ip, to).and_then(|mut stream| {
        stream.write_all(&bytes)?;
        read_answer(&mut stream, deadline_ms as f64 / 1e3 + 3.0, &mut outcome)
    });
    outcome.ended = now();
    record(&format!(
        "requester {ip:?}: {} got {:?} {:?}",
        outcome.id,
        outcome.status,
        result.err()
    ));
    outcome
}
