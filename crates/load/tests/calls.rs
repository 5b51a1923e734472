//! Calls over real sockets: what callers receive when servers, bodies or the
//! callers themselves misbehave.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_rustls::rustls;
use harness::respond_whole;
use harness::Harness;
use harness::Scripted;

fn close_connection(stream: &mut TcpStream, _head: &str) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Closes the connection after a part of the body.
fn cut_body(stream: &mut TcpStream, _head: &str) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhal");
    let _ = stream.shutdown(Shutdown::Both);
}

fn refuse_call(stream: &mut TcpStream, _head: &str) {
    let _ = stream
        .write_all(b"HTTP/1.1 503 Busy\r\nsnipepaddle-not-run: 1\r\ncontent-length: 0\r\n\r\n");
}

/// Sends no response for 3 s, which is longer than the deadline of `/slow`.
fn respond_never(_stream: &mut TcpStream, _head: &str) {
    std::thread::sleep(Duration::from_secs(3));
}

/// Responds with the request, and with a header field for one connection only.
fn echo_request(stream: &mut TcpStream, head: &str) {
    let answer = format!(
        "HTTP/1.1 200 OK\r\nconnection: x-hop\r\nx-hop: 1\r\ncontent-length: {}\r\n\r\n{head}",
        head.len()
    );
    let _ = stream.write_all(answer.as_bytes());
}

/// Responds with the length of the request's body.
fn echo_length(stream: &mut TcpStream, message: &str) {
    let (_, body) = message.split_once("\r\n\r\n").unwrap_or_default();
    respond_length(stream, body.len());
}

/// Responds with the length of the request's body, which may come in chunks.
fn echo_chunks(stream: &mut TcpStream, message: &str) {
    if contains(message, "content-length") {
        return echo_length(stream, message);
    }
    let mut body = Vec::new();
    let mut byte = [0];
    while !body.ends_with(b"0\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        body.push(byte[0]);
    }
    respond_length(stream, body.iter().filter(|byte| **byte == b'x').count());
}

fn respond_length(stream: &mut TcpStream, length: usize) {
    let text = length.to_string();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
    let _ = stream.write_all((head + &text).as_bytes());
}

fn send_trailers(stream: &mut TcpStream, _head: &str) {
    let _ = stream.write_all(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
          5\r\nwhole\r\n0\r\nx-sum: 7\r\n\r\n",
    );
}

/// Returns whether `response` contains `text`, ignoring the case of `response`;
/// `text` has to be in lower case.
fn contains(response: &str, text: &str) -> bool {
    response.to_ascii_lowercase().contains(text)
}

#[test]
fn call_response_names_the_server() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    let answer = harness.call("GET", "/", "", "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("whole"));
    for field in [
        "snipepaddle-vm: vm-1",
        "snipepaddle-domain: north",
        "snipepaddle-server: s-0",
        "snipepaddle-outcome: served",
    ] {
        assert!(contains(&answer, field), "{field} is not in {answer}");
    }
}

#[test]
fn call_forwards_end_to_end_header_fields_only() {
    let server = Scripted::new(echo_request);
    let harness = Harness::new(&[server.address]);
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let fields = format!(
        "traceparent: {parent}\r\nx-mine: 1\r\nx-once: 2\r\nconnection: x-once\r\n\
         snipepaddle-outcome: forged\r\n"
    );
    let answer = harness.call("POST", "/a?b=c", &fields, "body");
    let (head, seen) = answer.split_once("\r\n\r\n").unwrap();
    assert!(!contains(head, "x-hop"), "{head}");
    assert!(seen.starts_with("POST /a?b=c HTTP/1.1"), "{seen}");
    assert!(
        contains(seen, "x-mine: 1") && seen.ends_with("body"),
        "{seen}"
    );
    assert!(
        !contains(seen, "x-once") && !contains(seen, "forged"),
        "{seen}"
    );
    assert!(contains(seen, "0af7651916cd43dd8448eb211c80319c"), "{seen}");
    assert!(
        !contains(seen, "b7ad6b7169203331"),
        "the span has to be a new one: {seen}"
    );
    assert!(contains(seen, "snipepaddle-deadline-ms: "), "{seen}");
    assert!(contains(seen, "x-forwarded-for: 127.0.0.1"), "{seen}");
}

#[test]
fn call_non_idempotent_is_not_retried_after_a_broken_connection() {
    let first = Scripted::new(close_connection);
    let second = Scripted::new(close_connection);
    let harness = Harness::new(&[first.address, second.address]);
    let answer = harness.call("POST", "/", "", "activate");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(
        contains(&answer, "snipepaddle-outcome: unknown"),
        "{answer}"
    );
    assert_eq!(first.count() + second.count(), 1);
}

#[test]
fn call_idempotent_is_retried_elsewhere_after_a_broken_connection() {
    let bad = Scripted::new(close_connection);
    let good = Scripted::new(respond_whole);
    let harness = Harness::new(&[bad.address, good.address]);
    for _ in 0..4 {
        let answer = harness.call("GET", "/", "", "");
        assert!(answer.ends_with("whole"), "{answer}");
    }
    assert!(
        bad.count() <= 1,
        "the server that closes connections got {} calls",
        bad.count()
    );
}

#[test]
fn call_refused_by_the_server_is_retried_even_if_not_idempotent() {
    let busy = Scripted::new(refuse_call);
    let good = Scripted::new(respond_whole);
    let harness = Harness::new(&[busy.address, good.address]);
    for _ in 0..4 {
        let answer = harness.call("POST", "/", "", "activate");
        assert!(answer.ends_with("whole"), "{answer}");
    }
    assert_eq!(good.count(), 4);
}

#[test]
fn call_refused_by_all_servers_is_not_run() {
    let busy = Scripted::new(refuse_call);
    let harness = Harness::new(&[busy.address]);
    let answer = harness.call("POST", "/", "", "activate");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        contains(&answer, "snipepaddle-outcome: not-run"),
        "{answer}"
    );
    assert!(contains(&answer, "retry-after: "), "{answer}");
}

#[test]
fn call_to_a_server_that_is_down_is_not_run() {
    // Nothing listens on the discard port.
    let down = ([127, 0, 0, 9], 9).into();
    let harness = Harness::new(&[down]);
    let answer = harness.call("POST", "/", "snipepaddle-deadline-ms: 400\r\n", "activate");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        contains(&answer, "snipepaddle-outcome: not-run"),
        "{answer}"
    );
}

#[test]
fn call_body_cut_by_the_server_is_reported_unknown() {
    // Repeated, since the head and the end of the connection may reach the VM
    // together or one after the other.
    for _ in 0..16 {
        let server = Scripted::new(cut_body);
        let harness = Harness::new(&[server.address]);
        let answer = harness.call("GET", "/", "", "");
        // The VM reads a small response completely before it forwards the head,
        // so that the caller gets an error instead of a part of the body.
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(
            contains(&answer, "snipepaddle-outcome: unknown"),
            "{answer}"
        );
    }
}

#[test]
fn call_large_body_cut_by_the_server_stays_incomplete_for_the_caller() {
    for _ in 0..16 {
        let server = Scripted::new(|stream, _| {
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&[b'x'; 100_000]);
            let _ = stream.shutdown(Shutdown::Both);
        });
        let harness = Harness::new(&[server.address]);
        let answer = harness.call("GET", "/", "", "");
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
        assert!(contains(head, "content-length: 200000"), "{head}");
        assert!(body.len() < 200_000, "{}", body.len());
    }
}

/// Breaks off a large response to `/cut` midway, and responds to other requests at once.
fn cut_large_on_path(stream: &mut TcpStream, head: &str) {
    if !head.starts_with("GET /cut") {
        return respond_whole(stream, head);
    }
    // The calls behind this one get their permits while no server is down.
    std::thread::sleep(Duration::from_millis(200));
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 150000\r\n\r\n");
    let _ = stream.write_all(&[b'x'; 80_000]);
    let _ = stream.shutdown(Shutdown::Both);
}

// Guards against pipelined calls that servers have run and whose caller gets no response,
// because a response before theirs broke off.
#[test]
fn call_behind_a_large_body_cut_by_the_server_is_answered() {
    let servers = [
        Scripted::new(cut_large_on_path),
        Scripted::new(cut_large_on_path),
    ];
    // The first response of a connection, and one that was started before its turn.
    for (paths, cut) in [(["/cut", "/b", "/c"], 0), (["/a", "/cut", "/c"], 1)] {
        let harness = Harness::new(&servers.each_ref().map(|server| server.address));
        let mut stream = TcpStream::connect(harness.callers).unwrap();
        let request = |path| format!("GET {path} HTTP/1.1\r\nhost: s\r\n");
        let [first, second, third] = paths.map(request);
        let text = format!("{first}\r\n{second}\r\n{third}connection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).unwrap();
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        let statuses: Vec<&str> = text
            .match_indices("HTTP/1.1 ")
            .map(|(at, _)| &text[at + 9..at + 12])
            .collect();
        let mut expected = ["200"; 3];
        expected[cut] = "502";
        assert_eq!(statuses, expected, "{paths:?}");
    }
}

/// Responds with as many bytes as the path says, in chunks if the path ends with `c`.
fn respond_bytes(stream: &mut TcpStream, head: &str) {
    let path = head.split([' ', '/']).nth(2).unwrap();
    let count: usize = path.trim_end_matches('c').parse().unwrap();
    let body = "~".repeat(count);
    let text = if path.ends_with('c') {
        format!("transfer-encoding: chunked\r\n\r\n{count:x}\r\n{body}\r\n0\r\n\r\n")
    } else {
        format!("content-length: {count}\r\n\r\n{body}")
    };
    let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{text}").as_bytes());
}

// The second call is started before its turn; its body is read whole first or streamed.
#[test]
fn call_large_bodies_of_pipelined_calls_arrive_whole() {
    for path in ["200000", "200000c", "700000", "700000c"] {
        let servers = [Scripted::new(respond_bytes), Scripted::new(respond_bytes)];
        let harness = Harness::new(&servers.each_ref().map(|server| server.address));
        let request = format!("GET /{path} HTTP/1.1\r\nhost: s\r\n");
        let text =
            harness.raw(format!("{request}\r\n{request}connection: close\r\n\r\n").as_bytes());
        assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{path}");
        let count: usize = path.trim_end_matches('c').parse().unwrap();
        assert_eq!(text.matches('~').count(), 2 * count, "{path}");
    }
}

#[test]
fn call_without_response_ends_at_its_deadline() {
    let server = Scripted::new(respond_never);
    let harness = Harness::new(&[server.address]);
    let answer = harness.call("POST", "/slow", "", "activate");
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(
        contains(&answer, "snipepaddle-outcome: unknown"),
        "{answer}"
    );
    assert_eq!(server.count(), 1);
}

#[test]
fn call_after_a_cut_response_gets_its_own_response() {
    let server = Scripted::new(|stream, head| {
        if head.contains("/cut") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nfor-");
            std::thread::sleep(Duration::from_millis(400));
            let _ = stream.write_all(b"other");
        } else {
            respond_whole(stream, head);
        }
    });
    let harness = Harness::with_service(&[server.address], |service| {
        service.routes[0].prefix = "/cut".into();
        service.routes[0].deadline = Some(Duration::from_millis(150));
    });
    let first = harness.call("GET", "/cut", "", "");
    assert!(!first.ends_with("for-other"), "{first}");
    for _ in 0..3 {
        let answer = harness.call("GET", "/", "", "");
        assert!(answer.ends_with("\r\n\r\nwhole"), "{answer}");
    }
}

#[test]
fn call_trailers_reach_the_caller() {
    let server = Scripted::new(send_trailers);
    let harness = Harness::new(&[server.address]);
    let answer =
        harness.raw(b"GET / HTTP/1.1\r\nhost: s\r\nte: trailers\r\nconnection: te, close\r\n\r\n");
    assert!(contains(&answer, "x-sum: 7"), "{answer}");
}

#[test]
fn call_half_closed_caller_gets_its_response() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    let mut stream = harness.open();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: s\r\n\r\n")
        .unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("whole"), "{answer}");
}

#[test]
fn call_expect_continue_gets_100_before_the_body() {
    let server = Scripted::new(echo_request);
    let harness = Harness::new(&[server.address]);
    let mut stream = harness.open();
    let head = "POST / HTTP/1.1\r\nhost: s\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let interim = harness::read_message(&mut stream).unwrap();
    assert!(interim.starts_with("HTTP/1.1 100"), "{interim}");
    stream.write_all(b"body").unwrap();
    let answer = harness::read_message(&mut stream).unwrap();
    assert!(answer.ends_with("body"), "{answer}");
}

#[test]
fn call_malformed_and_smuggling_requests_reach_no_server() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    let bad: [&[u8]; 7] = [
        b"GET / HTTP/1.1\r\nhost: s\r\nbad field\r\n\r\n",
        b"NONSENSE\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: s\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        b"POST / HTTP/1.1\r\nhost: s\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\nabc\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: s\r\ntransfer-encoding: gzip\r\n\r\nabc",
        b"POST / HTTP/1.1\r\nhost: s\r\ncontent-length: -1\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: s\r\nx: a\0b\r\n\r\n",
    ];
    for request in bad {
        let answer = harness.raw(request);
        let served = answer.starts_with("HTTP/1.1 200");
        assert!(!served, "{} got {answer}", String::from_utf8_lossy(request));
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn call_both_lengths_do_not_hide_a_second_request() {
    // RFC 9112, section 6.3: chunked encoding overrides the content length, which
    // is dropped.
    let server = Scripted::new(|stream, head| {
        let both = head.contains("chunked") && head.contains("content-length");
        let reached = head.contains("/hidden") || both;
        let answer = if reached { "leaks" } else { "whole" };
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
        let _ = stream.write_all(format!("{head}{answer}").as_bytes());
    });
    let harness = Harness::new(&[server.address]);
    for lengths in [
        "content-length: 4\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 4",
    ] {
        let answer = harness.raw(
            format!(
                "POST / HTTP/1.1\r\nhost: s\r\n{lengths}\r\nconnection: close\r\n\r\n\
                 0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: s\r\n\r\n"
            )
            .as_bytes(),
        );
        assert!(answer.matches("HTTP/1.1").count() <= 1, "{answer}");
        assert!(!answer.contains("leaks"), "{answer}");
    }
}

#[test]
fn call_oversized_heads_and_bodies_are_refused() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    let field = format!("x-big: {}\r\n", "x".repeat(20_000));
    let answer = harness.call("GET", "/", &field, "");
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let answer = harness.call("POST", "/", "", &"x".repeat(300_000));
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(
        contains(&answer, "snipepaddle-outcome: not-run"),
        "{answer}"
    );
    assert_eq!(server.count(), 0);
}

#[test]
fn call_with_an_incomplete_head_is_closed() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    let answer = harness.raw(b"GET / HTTP/1.1\r\nhost:");
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(server.count(), 0);
}

#[test]
fn call_large_bodies_are_streamed_completely() {
    let server = Scripted::new(echo_request);
    let harness = Harness::new(&[server.address]);
    let body = "0123456789".repeat(20_000);
    let answer = harness.call("POST", "/", "", &body);
    assert!(answer.ends_with(&body), "{} bytes came back", answer.len());
}

#[test]
fn call_upload_refused_by_one_server_is_sent_whole_to_another() {
    static REFUSED: AtomicBool = AtomicBool::new(false);
    let refuse_first = |stream: &mut TcpStream, message: &str| {
        if REFUSED.swap(true, Ordering::SeqCst) {
            echo_length(stream, message);
        } else {
            refuse_call(stream, message);
        }
    };
    let servers = [Scripted::new(refuse_first), Scripted::new(refuse_first)];
    let addresses = servers.each_ref().map(|server| server.address);
    let harness = Harness::new(&addresses);
    let body = "x".repeat(200_000);
    let answer = harness.call("POST", "/upload", "", &body);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n200000"), "{answer}");
    assert_eq!(servers.each_ref().map(Scripted::count), [1, 1]);
}

#[test]
fn call_upload_over_the_budget_is_streamed() {
    let server = Scripted::new(echo_length);
    let harness = Harness::with_settings(&[server.address], |settings| {
        settings.callers.buffer = 1000;
    });
    let body = "x".repeat(200_000);
    let answer = harness.call("POST", "/upload", "", &body);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n200000"), "{answer}");
}

#[test]
fn call_upload_in_chunks_arrives_whole() {
    let server = Scripted::new(echo_chunks);
    for buffer in [16 << 20, 1000] {
        let harness = Harness::with_settings(&[server.address], |settings| {
            settings.callers.buffer = buffer;
        });
        let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000)).repeat(100);
        let request = format!(
            "POST /upload HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\
             transfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n"
        );
        let answer = harness.raw(request.as_bytes());
        assert!(answer.ends_with("\r\n\r\n100000"), "{answer}");
    }
}

#[test]
fn call_unknown_service_is_not_found() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::with_service(&[server.address], |service| {
        service.matches[0].prefix = "/only".into();
    });
    let answer = harness.call("GET", "/other", "", "");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert!(
        contains(&answer, "snipepaddle-outcome: not-run"),
        "{answer}"
    );
}

#[test]
fn call_with_a_repeated_key_is_not_run() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    harness.node.shared().assume_keys_complete();
    let field = "idempotency-key: booking-17\r\n";
    let first = harness.call("POST", "/", field, "book");
    assert!(first.ends_with("whole"), "{first}");
    let second = harness.call("POST", "/", field, "book");
    assert!(second.starts_with("HTTP/1.1 409"), "{second}");
    assert!(
        contains(&second, "snipepaddle-outcome: duplicate"),
        "{second}"
    );
    assert_eq!(server.count(), 1);
}

#[test]
fn call_with_a_key_is_refused_while_keys_are_incomplete() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    let answer = harness.call("POST", "/", "idempotency-key: booking-17\r\n", "book");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        contains(&answer, "snipepaddle-outcome: not-run"),
        "{answer}"
    );
    assert_eq!(server.count(), 0);
}

#[test]
fn stop_lets_calls_in_flight_end() {
    let server = Scripted::new(|stream, head| {
        std::thread::sleep(Duration::from_millis(1200));
        respond_whole(stream, head);
    });
    let harness = Harness::new(&[server.address]);
    let mut stream = harness.open();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: s\r\n\r\n")
        .unwrap();
    while server.count() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let Harness { node, callers, .. } = harness;
    assert!(smol::block_on(node.stop()));
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("whole"), "{answer}");
    assert!(TcpStream::connect(callers).is_err());
}

/// Sends one request over HTTP/2. Returns the status, and the outcome and the
/// body in the form `outcome: body`.
fn call_http2(harness: &Harness, method: &str) -> (u16, String) {
    let handle = harness.node.pool().handle();
    smol::block_on(async {
        let mut sender = net::client::connect(&handle, harness.callers, true)
            .await
            .unwrap();
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}/plans", harness.callers))
            .body(net::body::full("body"))
            .unwrap();
        let answer = sender
            .send(request)
            .await
            .map_err(|failed| failed.error)
            .unwrap();
        let status = answer.status().as_u16();
        let outcome = answer.headers()["snipepaddle-outcome"].clone();
        let bytes = net::body::collect(answer.into_body(), 1 << 20)
            .await
            .unwrap();
        let text = String::from_utf8_lossy(&bytes);
        (status, format!("{}: {text}", outcome.to_str().unwrap()))
    })
}

#[test]
fn call_http2_caller_is_served_by_an_http1_server() {
    let server = Scripted::new(respond_whole);
    let harness = Harness::new(&[server.address]);
    for method in ["GET", "POST"] {
        assert_eq!(call_http2(&harness, method), (200, "served: whole".into()));
    }
}

#[test]
fn call_http1_caller_is_served_by_an_http2_server() {
    let pool = net::ThreadPool::new("backend", 1);
    let backend = standin::Backend::start(
        std::net::Ipv4Addr::LOCALHOST.into(),
        standin::Model::default(),
        base::Clock::new(),
        pool.handle(),
    );
    let backend = smol::block_on(backend).unwrap();
    let harness = Harness::with_service(&[backend.address()], |service| service.http2 = true);
    for _ in 0..3 {
        let answer = harness.call("POST", "/", "x-call-id: 5\r\n", "body");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(backend.record().begun, 3);
}

/// Sends so many bytes at a time.
struct SplitStream(TcpStream, usize);

impl Read for SplitStream {
    fn read(&mut self, out: &mut [u8]) -> std::io::Result<usize> {
        self.0.read(out)
    }
}

impl Write for SplitStream {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(1));
        self.0.write(&bytes[..bytes.len().min(self.1)])
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// Sends a response one byte at a time.
fn respond_in_pieces(stream: &mut TcpStream, _head: &str) {
    let _ = stream.set_nodelay(true);
    for byte in b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole" {
        let _ = stream.write_all(&[*byte]);
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn call_response_in_pieces_reaches_the_caller() {
    let server = Scripted::new(respond_in_pieces);
    let harness = Harness::new(&[server.address]);
    for method in ["GET", "POST"] {
        let answer = harness.call(method, "/", "x-call-id: 5\r\n", "");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("whole"), "{answer}");
    }
}

#[test]
fn call_tls_caller_negotiates_its_http_version() {
    let certified = rcgen::generate_simple_self_signed(vec!["entry".into()]).unwrap();
    let directory = std::env::temp_dir().join(format!("snipepaddle-tls-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let tls = conf::settings::Tls {
        certificate: directory.join("certificate.pem"),
        key: directory.join("key.pem"),
    };
    std::fs::write(&tls.certificate, certified.cert.pem()).unwrap();
    std::fs::write(&tls.key, certified.signing_key.serialize_pem()).unwrap();
    let server = Scripted::new(respond_whole);
    let harness = Harness::with_settings(&[server.address], |settings| {
        settings.callers.tls = Some(tls);
    });
    let _ = std::fs::remove_dir_all(&directory);
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certified.cert.der().clone()).unwrap();
    let mut config = rustls::ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    let config = std::sync::Arc::new(config);
    for length in [usize::MAX, 1] {
        let name = rustls::pki_types::ServerName::try_from("entry").unwrap();
        let mut client = rustls::ClientConnection::new(config.clone(), name).unwrap();
        let stream = harness.open();
        stream.set_nodelay(true).unwrap();
        let mut stream = SplitStream(stream, length);
        let mut tls = rustls::Stream::new(&mut client, &mut stream);
        tls.write_all(b"GET / HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n")
            .unwrap();
        let mut answer = Vec::new();
        let _ = tls.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.ends_with("whole"), "{answer}");
        assert_eq!(client.alpn_protocol(), Some(b"http/1.1".as_slice()));
    }
}

/// Responds at once, except to the paths `/stall` (500 ms) and `/warm` (2 ms).
fn stall_on_path(stream: &mut TcpStream, head: &str) {
    if head.contains("/stall") {
        std::thread::sleep(Duration::from_millis(500));
    }
    if head.contains("/warm") {
        std::thread::sleep(Duration::from_millis(2));
    }
    respond_whole(stream, head);
}

/// Like [`stall_on_path`], but the first request to `/hang`, over all servers, gets
/// no response for 4 s.
fn hang_once(stream: &mut TcpStream, head: &str) {
    static HUNG: AtomicBool = AtomicBool::new(false);
    if head.contains("/hang") && !HUNG.swap(true, Ordering::SeqCst) {
        std::thread::sleep(Duration::from_secs(4));
    }
    stall_on_path(stream, head);
}

#[test]
fn call_idempotent_is_sent_elsewhere_when_a_server_does_not_respond() {
    let servers = [Scripted::new(hang_once), Scripted::new(hang_once)];
    let addresses = [servers[0].address, servers[1].address];
    let harness = Harness::with_service(&addresses, |service| service.cold.grow = 1);
    warm_up(&harness);
    let before = [servers[0].count(), servers[1].count()];
    let answer = harness.call("GET", "/hang", "", "");
    assert!(answer.ends_with("whole"), "{answer}");
    let after = [servers[0].count(), servers[1].count()];
    assert_eq!([after[0] - before[0], after[1] - before[1]], [1, 1]);
}

/// Starts a VM that may hedge every call.
fn hedging_harness(servers: &[Scripted]) -> Harness {
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    Harness::with_service(&addresses, |service| {
        service.hedges = 100;
        service.cold.grow = 1;
    })
}

/// Sends calls until all servers are warm. The calls are `POST`s, which are never
/// hedged, and two are in flight at a time, so that the slower server gets some
/// too.
fn warm_up(harness: &Harness) {
    let calls = || {
        for _ in 0..5_000 {
            if harness.is_warm() {
                return;
            }
            let answer = harness.call("POST", "/warm", "", "");
            assert!(answer.ends_with("whole"), "{answer}");
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(calls);
        scope.spawn(calls);
    });
    assert!(harness.is_warm(), "the servers did not become warm");
}

#[test]
fn call_hedge_goes_to_another_server() {
    let servers = [Scripted::new(stall_on_path), Scripted::new(stall_on_path)];
    let harness = hedging_harness(&servers);
    warm_up(&harness);
    let before = [servers[0].count(), servers[1].count()];
    let answer = harness.call("GET", "/stall", "", "");
    assert!(answer.ends_with("whole"), "{answer}");
    let after = [servers[0].count(), servers[1].count()];
    assert_eq!([after[0] - before[0], after[1] - before[1]], [1, 1]);
}

#[test]
fn call_hedge_does_not_go_to_the_same_server() {
    let servers = [Scripted::new(stall_on_path)];
    let harness = hedging_harness(&servers);
    warm_up(&harness);
    let before = servers[0].count();
    let answer = harness.call("GET", "/stall", "", "");
    assert!(answer.ends_with("whole"), "{answer}");
    assert_eq!(servers[0].count() - before, 1);
}
