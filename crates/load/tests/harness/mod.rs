//! Runs one entry VM, over real sockets, in front of servers whose responses the
//! test scripts.

#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use conf::service::Route;
use conf::settings::Settings;
use conf::ticket::Domain;
use conf::Server;
use conf::Service;
use conf::Ticket;
use entry::Ports;
use net::ThreadPool;
use node::Node;
use node::Options;
use standin::Platform;

/// Read timeout of the connections to the VM.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Called with each request of a connection: writes the response, if any.
pub(crate) type Script = fn(&mut TcpStream, &str);

/// A server that runs a script for each request and counts the requests, health
/// checks excluded.
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<AtomicUsize>,
}

impl Scripted {
    pub(crate) fn new(script: Script) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = counter.clone();
                std::thread::spawn(move || serve(stream, script, &counter));
            }
        });
        Self { address, requests }
    }

    pub(crate) fn count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, script: Script, counter: &AtomicUsize) {
    while let Some(head) = read_message(&mut stream) {
        if !head.starts_with("GET /health") {
            counter.fetch_add(1, Ordering::SeqCst);
        }
        script(&mut stream, &head);
    }
}

/// Reads a head and the body whose length the head states; returns both. Returns
/// `None` if the connection ends first.
pub(crate) fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut text = read_head(stream)?;
    let length = text
        .to_ascii_lowercase()
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    text.push_str(&String::from_utf8_lossy(&body));
    Some(text)
}

/// Reads a head, without the body. Returns `None` if the connection ends first.
pub(crate) fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// An entry VM with one service, `s`, at `/`, and one failure domain, `north`. Further VMs
/// may be added.
pub(crate) struct Harness {
    pub(crate) node: Node,
    pub(crate) platform: Platform,
    pub(crate) callers: SocketAddr,
    more: Vec<Node>,
    _pool: ThreadPool,
}

impl Harness {
    pub(crate) fn new(servers: &[SocketAddr]) -> Self {
        Self::with_service(servers, |_| {})
    }

    pub(crate) fn with_service(servers: &[SocketAddr], change: impl FnOnce(&mut Service)) -> Self {
        let servers = servers
            .iter()
            .enumerate()
            .map(|(n, address)| Server::new(&format!("s-{n}"), *address, "north", 2));
        let mut service =
            Service::new("s", "/", Duration::from_secs(5)).with_servers(servers.collect());
        service.routes = vec![Route {
            prefix: "/slow".into(),
            methods: Vec::new(),
            class: None,
            deadline: Some(Duration::from_millis(300)),
            idempotent: None,
        }];
        change(&mut service);
        Self::with_ticket(service, |_| {})
    }

    pub(crate) fn with_settings(
        servers: &[SocketAddr],
        change: impl FnOnce(&mut Settings),
    ) -> Self {
        let server = Server::new("s-0", servers[0], "north", 2);
        let service = Service::new("s", "/", Duration::from_secs(5)).with_servers(vec![server]);
        Self::with_ticket(service, change)
    }

    fn with_ticket(service: Service, change: impl FnOnce(&mut Settings)) -> Self {
        let mut ticket = Ticket::new(1, "test");
        ticket.domains = vec![Domain {
            name: "north".into(),
            region: String::new(),
            ticket: 0,
        }];
        ticket.services = vec![service];
        smol::block_on(Self::start(&ticket, change))
    }

    async fn start(ticket: &Ticket, change: impl FnOnce(&mut Settings)) -> Self {
        let pool = ThreadPool::new("lab", 2);
        let local = Ipv4Addr::LOCALHOST.into();
        let platform = Platform::start(local, 1, pool.handle()).await.unwrap();
        let mut settings = settings("vm-1", &platform);
        change(&mut settings);
        let node = Node::start(settings, Options::default()).await.unwrap();
        let context = conf::accept::ApplyContext {
            name: "test".into(),
            region: String::new(),
            at: 0,
            force: false,
        };
        node.shared().apply_ticket(ticket, &context).await.unwrap();
        assert_eq!(node.shared().state().revision, 1);
        Self {
            callers: node.caller_addresses()[0],
            node,
            platform,
            more: Vec::new(),
            _pool: pool,
        }
    }

    /// Starts another entry VM, and waits until it has the configuration and both know each
    /// other.
    pub(crate) fn add_vm(&mut self, name: &str) {
        self.add_vm_with(name, Options::default());
    }

    /// Starts another entry VM with `options`, as [`Self::add_vm`] does.
    pub(crate) fn add_vm_with(&mut self, name: &str, options: Options) {
        let mut settings = settings(name, &self.platform);
        settings.peers.seeds = vec![self.node.shared().settings.peers.listen];
        let node = smol::block_on(Node::start(settings, options)).unwrap();
        let first = self.node.shared();
        let joined = || {
            let alive = |shared: &node::Shared| shared.view().alive.len();
            node.shared().state().revision == first.state().revision
                && alive(node.shared()) == alive(first)
                && alive(first) == self.more.len() + 2
        };
        for _ in 0..500 {
            if joined() {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(joined(), "{name} has not joined");
        self.more.push(node);
    }

    /// Returns the addresses at which the VMs accept callers.
    pub(crate) fn all_callers(&self) -> Vec<SocketAddr> {
        let nodes = std::iter::once(&self.node).chain(&self.more);
        nodes.map(|node| node.caller_addresses()[0]).collect()
    }

    /// Sends `bytes` on a new connection and returns what is received until the
    /// connection ends.
    pub(crate) fn raw(&self, bytes: &[u8]) -> String {
        exchange(self.open(), bytes)
    }

    /// Returns whether the home considers all servers warm.
    pub(crate) fn is_warm(&self) -> bool {
        let table = self.node.shared().table();
        table.shards().iter().all(|shard| {
            shard.with_coordinator(|coordinator| {
                let now = self.node.shared().clock.now();
                let summaries = coordinator
                    .ledger()
                    .map_or(Vec::new(), |ledger| ledger.server_summaries(now));
                let warm = |summary: &route::msg::ServerSummary| {
                    summary.warmth == route::msg::Warmth::Warm
                };
                !summaries.is_empty() && summaries.iter().all(warm)
            })
        })
    }

    pub(crate) fn open(&self) -> TcpStream {
        open_at(self.callers)
    }

    /// Sends one request on a new connection and returns the response. `fields` are
    /// header lines, each ended by CRLF.
    pub(crate) fn call(&self, method: &str, path: &str, fields: &str, body: &str) -> String {
        self.call_at(self.callers, method, path, fields, body)
    }

    /// Sends one request to the VM that accepts callers at `vm`, as [`Self::call`] does.
    pub(crate) fn call_at(
        &self,
        vm: SocketAddr,
        method: &str,
        path: &str,
        fields: &str,
        body: &str,
    ) -> String {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\
             content-length: {length}\r\n{fields}\r\n{body}"
        );
        exchange(open_at(vm), request.as_bytes())
    }
}

fn open_at(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Sends `bytes` and returns what is received until the connection ends.
fn exchange(mut stream: TcpStream, bytes: &[u8]) -> String {
    stream.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the settings of the VM `name`.
fn settings(name: &str, platform: &Platform) -> Settings {
    let text = format!(
        r#"{{ "vm": "{name}", "domain": "north", "threads": 2, "drain": "5s",
            "callers": {{ "listen": ["127.0.0.2:0"], "head": "8KiB", "body": "256KiB",
                         "patience": "500ms" }},
            "peers": {{ "listen": "{}", "keys": ["{}"] }},
            "admin": {{ "listen": "127.0.0.1:0" }},
            "traces": {{ "share": 1.0 }},
            "platform": {{ "address": "{}" }} }}"#,
        load::fleet::free_port().unwrap(),
        "5e0f6a7d".repeat(8),
        platform.address()
    );
    Settings::parse(&text).unwrap()
}

/// Responds 200 with the body `whole`.
pub(crate) fn respond_whole(stream: &mut TcpStream, _head: &str) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
}
