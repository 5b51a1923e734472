//! Responses whose status no HTTP response may have.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use http::Request;
use net::client;
use net::ThreadPool;

const TIMEOUT: Duration = Duration::from_secs(10);
/// What an HTTP/2 client sends first.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const FRAME_HEAD_BYTES: usize = 9;
const HEADERS_FRAME: u8 = 1;
const SETTINGS_FRAME: u8 = 4;
const END_OF_STREAM_AND_HEADERS: u8 = 0x1 | 0x4;

/// Starts a server that passes its first connection to `respond`.
fn start_server(respond: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        respond(stream);
    });
    address
}

/// Sends a request to the server at `address`. Returns the status of the response, or why
/// there is none.
fn status_of(address: SocketAddr, http2: bool) -> Result<u16, String> {
    let pool = ThreadPool::new("client", 1);
    let exchange = async {
        let mut sender = client::connect(&pool.handle(), address, http2)
            .await
            .map_err(|error| error.to_string())?;
        let request = Request::get(format!("http://{address}/"))
            .body(net::body::empty())
            .unwrap();
        let response = sender.send(request).await;
        response
            .map(|response| response.status().as_u16())
            .map_err(|failed| failed.error.to_string())
    };
    smol::block_on(net::timeout(TIMEOUT, exchange)).expect("the exchange takes too long")
}

/// Returns what a client makes of `line` as the status line of an HTTP/1.1 response.
fn status_of_line(line: &'static str) -> Result<u16, String> {
    let address = start_server(move |mut stream| {
        let _ = stream.read(&mut [0; 4096]);
        let response = format!("HTTP/1.1 {line}\r\ncontent-length: 0\r\n\r\n");
        let _ = stream.write_all(response.as_bytes());
        let _ = stream.read(&mut [0; 1]);
    });
    status_of(address, false)
}

fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0, 0, payload.len() as u8, kind, flags, 0, 0, 0, stream];
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads frames until one with the head of a request has arrived.
fn read_request_frame(stream: &mut TcpStream) {
    stream.read_exact(&mut vec![0; PREFACE.len()]).unwrap();
    loop {
        let mut head = [0; FRAME_HEAD_BYTES];
        stream.read_exact(&mut head).unwrap();
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        stream.read_exact(&mut vec![0; length as usize]).unwrap();
        if head[3] == HEADERS_FRAME {
            return;
        }
    }
}

/// Returns what a client makes of `status` as the status of an HTTP/2 response.
fn status_of_field(status: &'static str) -> Result<u16, String> {
    let address = start_server(move |mut stream| {
        let _ = stream.write_all(&frame(SETTINGS_FRAME, 0, 0, &[]));
        read_request_frame(&mut stream);
        // A literal field without indexing, whose name is entry 8 of the static table.
        let mut field = vec![0x08, status.len() as u8];
        field.extend_from_slice(status.as_bytes());
        let response = frame(HEADERS_FRAME, END_OF_STREAM_AND_HEADERS, 1, &field);
        let _ = stream.write_all(&response);
        let _ = stream.read_to_end(&mut Vec::new());
    });
    status_of(address, true)
}

#[test]
fn send_http1_status_out_of_range_is_no_response() {
    for line in [
        "000 Trouble",
        "099 Low",
        "600 High",
        "999 High",
        "1000 Long",
        "20 Short",
        "-12 Negative",
    ] {
        let result = status_of_line(line);
        assert!(result.is_err(), "{line}: {result:?}");
    }
}

#[test]
fn send_http1_switch_that_was_not_requested_is_no_response() {
    let result = status_of_line("101 Switching Protocols");
    assert!(result.is_err(), "{result:?}");
}

#[test]
fn send_http1_statuses_at_the_bounds_are_responses() {
    for (line, status) in [("200 OK", 200), ("599 Last", 599), ("299 Own", 299)] {
        assert_eq!(status_of_line(line), Ok(status));
    }
}

#[test]
fn send_http2_status_out_of_range_is_no_response() {
    for status in ["000", "099", "600", "999", "101", "20"] {
        let result = status_of_field(status);
        assert!(result.is_err(), "{status}: {result:?}");
    }
    assert_eq!(status_of_field("200"), Ok(200));
}
