//! What callers receive if the body of a response fails.
//!
//! hyper drops buffered data when a body fails, so a body that fails in the same poll
//! as the head is ready would leave the caller without any response.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use net::body;
use net::server::Handler;
use net::server::Limits;
use net::server::Server;
use net::Body;
use net::BoxFuture;
use net::Stop;
use net::ThreadPool;
use smol::net::TcpListener;

/// Responds with a body that fails after the given frames. Head, frames and error are
/// ready in the same poll.
struct FailingBody(&'static [&'static str]);

impl Handler for FailingBody {
    fn call(
        self: Arc<Self>,
        _request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let frames = self.0.iter();
        let frames = frames.map(|text| Ok(Frame::data(Bytes::from_static(text.as_bytes()))));
        let error: body::BoxError = "the server closed the connection".into();
        let all: Vec<Result<Frame<Bytes>, body::BoxError>> =
            frames.chain(std::iter::once(Err(error))).collect();
        let stream = StreamBody::new(futures_lite::stream::iter(all));
        let mut response = Response::new(body::boxed(stream));
        let length = http::HeaderValue::from_static("10");
        response.headers_mut().insert("content-length", length);
        Box::pin(async move { response })
    }
}

/// Returns all bytes that a caller receives from a server with `handler`.
fn receive_all(handler: FailingBody) -> String {
    let pool = ThreadPool::new("test", 1);
    let listener = smol::block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::new(Arc::new(handler), pool.handle(), Stop::new());
    let task = pool.spawn(server.run(listener));
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: s\r\n\r\n")
        .unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    smol::block_on(task.cancel());
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn run_body_fails_before_any_frame() {
    let answer = receive_all(FailingBody(&[]));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("content-length: 10"), "{answer:?}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer:?}");
}

#[test]
fn run_body_fails_after_some_frames() {
    let answer = receive_all(FailingBody(&["ha", "l"]));
    assert!(answer.contains("content-length: 10"), "{answer:?}");
    assert!(answer.ends_with("\r\n\r\nhal"), "{answer:?}");
}

/// Panics on requests of `/panic`, and responds to others.
struct Panics;

impl Handler for Panics {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            assert_ne!(request.uri().path(), "/panic", "for the test");
            Response::new(body::full("fine"))
        })
    }
}

#[test]
fn run_connection_that_panics_is_no_longer_counted() {
    let pool = ThreadPool::new("test", 1);
    let listener = smol::block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let server = Server::new(Arc::new(Panics), pool.handle(), Stop::new()).with_limits(limits);
    let task = pool.spawn(server.run(listener));
    let get = |path: &str| {
        let mut stream = TcpStream::connect(address).unwrap();
        let head = format!("GET {path} HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        String::from_utf8_lossy(&received).into_owned()
    };
    assert_eq!(get("/panic"), "");
    // The caller may see the end of its connection before the server has counted it.
    let served = (0..100).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        get("/").starts_with("HTTP/1.1 200")
    });
    assert!(served, "the connection that panicked still counts");
    smol::block_on(task.cancel());
}
