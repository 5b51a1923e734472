//! What callers of a server get when a body breaks.

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
use net::server::Server;
use net::Body;
use net::BoxFuture;
use net::Stop;
use net::ThreadPool;
use smol::net::TcpListener;

/// Answers with a body that breaks after its frames, all of it ready at once.
struct Breaks(&'static [&'static str]);

impl Handler for Breaks {
    fn call(
        self: Arc<Self>,
        _request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let frames = self.0.iter();
        let frames = frames.map(|text| Ok(Frame::data(Bytes::from_static(text.as_bytes()))));
        let broken: body::BoxError = "the server went away".into();
        let all: Vec<Result<Frame<Bytes>, body::BoxError>> =
            frames.chain(std::iter::once(Err(broken))).collect();
        let stream = StreamBody::new(futures_lite::stream::iter(all));
        let mut response = Response::new(body::boxed(stream));
        let length = http::HeaderValue::from_static("10");
        response.headers_mut().insert("content-length", length);
        Box::pin(async move { response })
    }
}

/// Returns all that one caller gets.
fn answer(handler: Breaks) -> String {
    let pool = ThreadPool::new("test", 1);
    let listener = smol::block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::new(Arc::new(handler), pool.handle(), Stop::new());
    let task = pool.spawn(server.run(listener));
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: s\r\n\r\n")
        .unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    smol::block_on(task.cancel());
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn run_body_that_breaks_at_once_is_cut_after_its_head() {
    let answer = answer(Breaks(&[]));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("content-length: 10"), "{answer:?}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer:?}");
}

#[test]
fn run_body_that_breaks_midway_is_cut_after_what_came() {
    let answer = answer(Breaks(&["ha", "l"]));
    assert!(answer.contains("content-length: 10"), "{answer:?}");
    assert!(answer.ends_with("\r\n\r\nhal"), "{answer:?}");
}
