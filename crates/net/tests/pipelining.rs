//! Requests that a caller sends before it has the response to an earlier one: they are
//! served side by side where that is allowed, and the responses come in order.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use net::body;
use net::budget::MemoryBudget;
use net::lookahead::Place;
use net::lookahead::EARLY_MAX;
use net::server::Handler;
use net::server::Limits;
use net::server::Server;
use net::Body;
use net::BoxFuture;
use net::Stop;
use net::ThreadPool;
use smol::net::TcpListener;
use smol::Task;

/// The time limit for any condition or response in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);
const BODY_MAX_BYTES: usize = 1 << 20;

/// Responds with the path and the body of a request. Requests to `/wait` respond only
/// once [`Echo::open`] has been called. Requests with `stream` in the path ask whether
/// their response may be streamed.
#[derive(Default)]
struct Echo {
    state: Mutex<EchoState>,
    changed: Event,
    /// Whether each response that was to be streamed may be.
    streamed: Mutex<Vec<bool>>,
}

#[derive(Default)]
struct EchoState {
    /// The paths of the requests that were started.
    started: Vec<String>,
    /// The number of requests that were cancelled.
    cancelled: usize,
    open: bool,
}

/// Counts a request as cancelled if its future is dropped before its end.
struct CancelGuard {
    echo: Arc<Echo>,
    ended: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.echo.state.lock().unwrap().cancelled += 1;
        }
    }
}

impl Echo {
    fn open(&self) {
        self.state.lock().unwrap().open = true;
        self.changed.notify(usize::MAX);
    }

    /// Returns the paths of the requests that were started, sorted, because requests
    /// that are served side by side start in any order.
    fn started(&self) -> Vec<String> {
        let mut started = self.state.lock().unwrap().started.clone();
        started.sort_unstable();
        started
    }

    fn cancelled(&self) -> usize {
        self.state.lock().unwrap().cancelled
    }

    fn ask_to_stream<B>(&self, request: &Request<B>) {
        if request.uri().path().contains("stream") {
            let place: &Place = request.extensions().get().unwrap();
            self.streamed.lock().unwrap().push(place.try_stream());
        }
    }

    async fn respond(self: Arc<Self>, path: String, body: bytes::Bytes) -> Response<Body> {
        let mut guard = CancelGuard {
            echo: self.clone(),
            ended: false,
        };
        self.state.lock().unwrap().started.push(path.clone());
        while path.starts_with("/wait") {
            let changed = self.changed.listen();
            if self.state.lock().unwrap().open {
                break;
            }
            changed.await;
        }
        guard.ended = true;
        let text = format!("{path}={}", String::from_utf8_lossy(&body));
        Response::new(body::full(text))
    }
}

impl Handler for Echo {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            self.ask_to_stream(&request);
            let path = request.uri().path().to_owned();
            let body = body::collect(request.into_body(), BODY_MAX_BYTES).await;
            self.respond(path, body.unwrap_or_default()).await
        })
    }

    fn call_early(
        self: Arc<Self>,
        request: Request<()>,
        _peer: SocketAddr,
    ) -> Option<BoxFuture<'static, Response<Body>>> {
        assert_eq!(request.method(), Method::GET);
        self.ask_to_stream(&request);
        let path = request.uri().path().to_owned();
        let once = path.contains("once");
        (!once)
            .then(|| -> BoxFuture<'static, _> { Box::pin(self.respond(path, bytes::Bytes::new())) })
    }
}

/// A server with an [`Echo`] handler.
struct EchoServer {
    echo: Arc<Echo>,
    address: SocketAddr,
    stop: Stop,
    _task: Task<()>,
    _pool: ThreadPool,
}

impl EchoServer {
    fn new() -> Self {
        Self::with_memory(
            MemoryBudget::new(usize::MAX),
            Limits::default().head_timeout,
        )
    }

    fn with_memory(memory: MemoryBudget, head_timeout: Duration) -> Self {
        let pool = ThreadPool::new("test", 2);
        let listener = smol::block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let echo = Arc::new(Echo::default());
        let stop = Stop::new();
        let limits = Limits {
            half_close: false,
            head_timeout,
            ..Limits::default()
        };
        let server = Server::new(echo.clone(), pool.handle(), stop.clone())
            .with_limits(limits)
            .with_memory(memory);
        Self {
            echo,
            address,
            stop,
            _task: pool.spawn(server.run(listener)),
            _pool: pool,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    fn wait_started(&self, count: usize) {
        wait_until(|| self.echo.started().len() == count);
    }
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not met within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: s\r\n\r\n")
}

/// Reads the next response and returns its body.
fn read_body(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        // A connection that closes with unread bytes is reset.
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    stream.read_exact(&mut body).unwrap();
    Some(String::from_utf8(body).unwrap())
}

#[test]
fn serve_requests_sent_at_once_side_by_side() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let requests = [get("/wait/1"), get("/wait/2"), get("/3")].concat();
    stream.write_all(requests.as_bytes()).unwrap();
    server.wait_started(3);
    server.echo.open();
    for path in ["/wait/1=", "/wait/2=", "/3="] {
        assert_eq!(read_body(&mut stream).unwrap(), path);
    }
}

#[test]
fn serve_requests_that_come_later_side_by_side() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    for count in 1..=4 {
        let request = get(&format!("/wait/{count}"));
        stream.write_all(request.as_bytes()).unwrap();
        server.wait_started(count);
    }
    server.echo.open();
    for count in 1..=4 {
        assert_eq!(read_body(&mut stream).unwrap(), format!("/wait/{count}="));
    }
    // The connection is usable afterwards.
    stream.write_all(get("/5").as_bytes()).unwrap();
    assert_eq!(read_body(&mut stream).unwrap(), "/5=");
}

#[test]
fn serve_more_requests_than_the_limit_in_turn() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let count = EARLY_MAX + 5;
    let requests: String = (0..count).map(|n| get(&format!("/wait/{n}"))).collect();
    stream.write_all(requests.as_bytes()).unwrap();
    // One more than the limit: the first one is not started early.
    server.wait_started(EARLY_MAX + 1);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(server.echo.started().len(), EARLY_MAX + 1);
    server.echo.open();
    for n in 0..count {
        assert_eq!(read_body(&mut stream).unwrap(), format!("/wait/{n}="));
    }
}

#[test]
fn serve_request_that_must_not_repeat_in_turn() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let requests = [get("/wait/1"), get("/once/2"), get("/3")].concat();
    stream.write_all(requests.as_bytes()).unwrap();
    server.wait_started(1);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(server.echo.started(), ["/wait/1"]);
    server.echo.open();
    for path in ["/wait/1=", "/once/2=", "/3="] {
        assert_eq!(read_body(&mut stream).unwrap(), path);
    }
}

// Guards against requests that are started behind a response that may break off, which
// closes the connection.
#[test]
fn serve_requests_behind_a_streamed_response_in_turn() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    stream.write_all(get("/wait-stream").as_bytes()).unwrap();
    server.wait_started(1);
    stream
        .write_all((get("/a") + &get("/b")).as_bytes())
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(server.echo.started(), ["/wait-stream"]);
    server.echo.open();
    for body in ["/wait-stream=", "/a=", "/b="] {
        assert_eq!(read_body(&mut stream).as_deref(), Some(body));
    }
    assert_eq!(*server.echo.streamed.lock().unwrap(), [true]);
}

#[test]
fn serve_response_is_not_streamed_before_requests_that_were_started() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let paths = ["/stream", "/stream", "/wait"];
    let requests: String = paths.map(get).concat();
    stream.write_all(requests.as_bytes()).unwrap();
    server.wait_started(paths.len());
    assert_eq!(*server.echo.streamed.lock().unwrap(), [false, false]);
    server.echo.open();
    for path in paths {
        assert_eq!(read_body(&mut stream), Some(format!("{path}=")));
    }
}

#[test]
fn serve_caller_leaves_and_all_its_requests_are_cancelled() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let requests = [get("/wait/1"), get("/wait/2"), get("/wait/3")].concat();
    stream.write_all(requests.as_bytes()).unwrap();
    server.wait_started(3);
    drop(stream);
    wait_until(|| server.echo.cancelled() == 3);
}

#[test]
fn serve_stop_ends_after_the_requests_that_were_started() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let requests = [get("/wait/1"), get("/wait/2")].concat();
    stream.write_all(requests.as_bytes()).unwrap();
    server.wait_started(2);
    server.stop.trigger();
    std::thread::sleep(Duration::from_millis(50));
    stream.write_all(get("/late").as_bytes()).unwrap();
    server.echo.open();
    assert_eq!(read_body(&mut stream).unwrap(), "/wait/1=");
    assert_eq!(read_body(&mut stream).unwrap(), "/wait/2=");
    // The request that came after the signal is served whole or not at all.
    let late = read_body(&mut stream);
    smol::block_on(server.stop.wait_finished());
    let started = server.echo.started();
    assert_eq!(started.len(), 2 + late.iter().count(), "{started:?}");
    assert_eq!(server.echo.cancelled(), 0);
}

/// Requests of all forms, with the bodies of their responses.
fn mixed() -> (Vec<u8>, Vec<&'static str>) {
    let requests = [
        &get("/1"),
        "POST /2 HTTP/1.1\r\nhost: s\r\ncontent-length: 5\r\n\r\nGET /",
        &get("/3"),
        &get("/4"),
        "POST /5 HTTP/1.1\r\nhost: s\r\ncontent-length: 0\r\n\r\n",
        &get("/6"),
        "POST /7 HTTP/1.1\r\nhost: s\r\ntransfer-encoding: chunked\r\n\r\n\
         2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
        &get("/8"),
    ];
    let bodies = vec![
        "/1=", "/2=GET /", "/3=", "/4=", "/5=", "/6=", "/7=abc", "/8=",
    ];
    (requests.concat().into_bytes(), bodies)
}

#[test]
fn serve_requests_split_anywhere_in_order() {
    let server = EchoServer::new();
    let (bytes, bodies) = mixed();
    for split in 1..bytes.len() {
        let mut stream = server.connect();
        stream.write_all(&bytes[..split]).unwrap();
        std::thread::sleep(Duration::from_micros(300));
        stream.write_all(&bytes[split..]).unwrap();
        for body in &bodies {
            assert_eq!(read_body(&mut stream).unwrap(), *body, "split at {split}");
        }
    }
}

#[test]
fn serve_caller_that_asks_to_close_gets_one_response() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let first = "GET /1 HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n";
    stream
        .write_all([first, &get("/2")].concat().as_bytes())
        .unwrap();
    assert_eq!(read_body(&mut stream).unwrap(), "/1=");
    let _ = stream.shutdown(Shutdown::Write);
    assert_eq!(server.echo.started(), ["/1"]);
}

#[test]
fn serve_head_over_the_limit_is_refused() {
    let server = EchoServer::new();
    let mut stream = server.connect();
    let long = "x".repeat(40 << 10);
    let request = format!("GET /1 HTTP/1.1\r\nhost: s\r\nlong: {long}\r\n\r\n");
    let _ = stream.write_all(request.as_bytes());
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 431");
    assert!(server.echo.started().is_empty());
}

/// A request whose head is larger than what each connection may buffer by itself.
fn get_large(path: &str) -> String {
    let long = "x".repeat(12 << 10);
    format!("GET {path} HTTP/1.1\r\nhost: s\r\nlong: {long}\r\n\r\n")
}

#[test]
fn serve_large_head_once_memory_returns() {
    let memory = MemoryBudget::new(64 << 10);
    let server = EchoServer::with_memory(memory.clone(), TIMEOUT);
    let held = memory.reserve(64 << 10).unwrap();
    let mut streams = [server.connect(), server.connect()];
    for stream in &mut streams {
        stream.write_all(get_large("/1").as_bytes()).unwrap();
    }
    wait_until(|| memory.waits() == 2);
    assert!(server.echo.started().is_empty());
    drop(held);
    for stream in &mut streams {
        assert_eq!(read_body(stream).unwrap(), "/1=");
    }
    wait_until(|| memory.used() == 0);
}

#[test]
fn serve_large_heads_that_exceed_the_memory_one_after_another() {
    let memory = MemoryBudget::new(16 << 10);
    let server = EchoServer::with_memory(memory.clone(), TIMEOUT);
    let mut streams: Vec<_> = (0..16).map(|_| server.connect()).collect();
    for stream in &mut streams {
        stream.write_all(get_large("/1").as_bytes()).unwrap();
    }
    for stream in &mut streams {
        assert_eq!(read_body(stream).unwrap(), "/1=");
    }
    wait_until(|| memory.used() == 0);
}

#[test]
fn serve_head_that_waits_for_memory_closes_in_time() {
    let memory = MemoryBudget::new(0);
    let server = EchoServer::with_memory(memory, Duration::from_millis(100));
    let mut stream = server.connect();
    stream.write_all(get_large("/1").as_bytes()).unwrap();
    assert!(read_body(&mut stream).is_none());
    assert!(server.echo.started().is_empty());
}

#[test]
fn serve_requests_without_memory_in_turn() {
    let memory = MemoryBudget::new(0);
    let server = EchoServer::with_memory(memory.clone(), TIMEOUT);
    let mut stream = server.connect();
    let requests = [get("/wait/1"), get("/2"), get("/3")].concat();
    stream.write_all(requests.as_bytes()).unwrap();
    wait_until(|| memory.waits() > 0);
    assert_eq!(server.echo.started(), ["/wait/1"]);
    server.echo.open();
    for path in ["/wait/1=", "/2=", "/3="] {
        assert_eq!(read_body(&mut stream).unwrap(), path);
    }
}

#[test]
fn serve_stops_while_the_caller_does_not_read() {
    const COUNT: usize = 3000;
    let server = EchoServer::new();
    let mut stream = server.connect();
    let mut writer = stream.try_clone().unwrap();
    let path = |n: usize| format!("/{n}/{}", "x".repeat(6 << 10));
    let sent = std::thread::spawn(move || {
        for n in 0..COUNT {
            writer.write_all(get(&path(n)).as_bytes()).unwrap();
        }
    });
    let mut last = (0, Instant::now());
    wait_until(|| {
        let count = server.echo.started().len();
        if count != last.0 {
            last = (count, Instant::now());
        }
        last.1.elapsed() > Duration::from_millis(300)
    });
    assert!(last.0 < COUNT, "all requests were served");
    for n in 0..COUNT {
        assert_eq!(read_body(&mut stream).unwrap(), path(n) + "=");
    }
    sent.join().unwrap();
}
