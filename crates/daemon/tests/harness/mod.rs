//! Runs the daemon as a process of its own, with the settings of the deployment, beside
//! stand-ins for the platform's store and for servers.

#![allow(dead_code)]

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use conf::Settings;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value as Json;
use stand::fields;
use stand::store::header_field;
use stand::store::read_request;
use stand::Endpoint;
use stand::Route;
use stand::ServerEntry;
use stand::Service;
use stand::Store;

const TEMPLATE: &str = include_str!("../../../../deploy/settings.json");
/// The host of all routes.
pub(crate) const HOST: &str = "calls.example";
/// The time limit of all routes.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Read timeout of callers' connections.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test waits for what should happen at once.
pub(crate) const SOON: Duration = Duration::from_secs(15);
/// The smallest memory limit of the deployments' VMs.
pub(crate) const MEMORY_MAX_BYTES: usize = 160 << 20;
/// The descriptors that the deployments' smallest VMs have.
pub(crate) const DESCRIPTORS: u64 = 4100;

/// A server that sleeps for a while on each request, and counts the requests that reach
/// it, health checks excluded.
pub(crate) struct Server {
    pub(crate) requests: Arc<AtomicUsize>,
}

/// The store, the servers, and the addresses of the VMs of one test.
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) endpoint: Endpoint,
    /// The first three octets of the VMs' addresses. Tests that run at the same time have
    /// different ones.
    network: (u8, u8, u8),
    /// The time after SIGTERM at which the platform kills a process, in seconds.
    grace_s: u32,
    directory: PathBuf,
    /// The configuration in the store.
    config: Json,
    /// The entries of the servers and their names.
    entries: Mutex<Vec<(String, ServerEntry)>>,
}

static NETWORKS: AtomicU8 = AtomicU8::new(0);

impl Deployment {
    /// Starts a store with the routes `/read/`, which may run more than once, and
    /// `/write/`, which may not, both of one service, and `/other/` of another service.
    pub(crate) fn new() -> Self {
        let process = std::process::id();
        let index = NETWORKS.fetch_add(1, Ordering::SeqCst);
        // The soak uses 127.100 to 127.199.
        let network = (127, 200 + (process % 50) as u8, index);
        let directory = std::env::temp_dir().join(format!("snipepaddled-{process}-{index}"));
        std::fs::create_dir_all(&directory).unwrap();
        let store = Store::default();
        let endpoint = store.open_endpoint();
        let route = |name: &str, service: &str, idempotent| Route {
            name: name.into(),
            service: service.into(),
            idempotent,
            timeout: CALL_TIMEOUT,
            target: Duration::from_secs(1),
        };
        let service = |name: &str| Service {
            name: name.into(),
            cold_duration: Duration::ZERO,
            cold_rate: 1000.0,
        };
        let routes = [
            route("read", "s", true),
            route("write", "s", false),
            route("other", "other", true),
        ];
        let config = stand::config_spec(1, HOST, &[service("s"), service("other")], &routes);
        store.put(stand::CONFIG_KIND, stand::CONFIG_NAME, config.clone());
        Self {
            store,
            endpoint,
            network,
            grace_s: 6,
            directory,
            config,
            entries: Mutex::default(),
        }
    }

    /// Sets the time after SIGTERM at which the platform kills a process.
    pub(crate) fn with_grace(mut self, grace_s: u32) -> Self {
        self.grace_s = grace_s;
        self
    }

    /// Sets how many connections a server takes from all VMs.
    pub(crate) fn with_connections(mut self, count: u32) -> Self {
        self.config["version"] = 2.into();
        for service in self.config["services"].as_array_mut().unwrap() {
            service["max_conns"] = count.into();
        }
        let config = self.config.clone();
        self.store
            .put(stand::CONFIG_KIND, stand::CONFIG_NAME, config);
        self
    }

    /// Writes that the server `name` drains.
    pub(crate) fn drain_server(&self, name: &str) {
        let mut entries = self.entries.lock().unwrap();
        let (_, entry) = entries.iter_mut().find(|(n, _)| n == name).unwrap();
        entry.draining = true;
        entry.announced += 1;
        self.store.put(stand::SERVERS_KIND, name, entry.to_json());
    }

    /// Adds a server whose responses take `work` and have a body of `body_bytes`.
    pub(crate) fn add_server(&self, name: &str, work: Duration, body_bytes: usize) -> Server {
        self.add_server_with_slots("s", name, 64, work, body_bytes)
    }

    /// Adds a server of `service` as [`Self::add_server`] does.
    pub(crate) fn add_server_of(
        &self,
        service: &str,
        name: &str,
        work: Duration,
        body_bytes: usize,
    ) -> Server {
        self.add_server_with_slots(service, name, 64, work, body_bytes)
    }

    /// Adds a server as [`Self::add_server_of`] does, which takes `slots` calls at once.
    pub(crate) fn add_server_with_slots(
        &self,
        service: &str,
        name: &str,
        slots: u32,
        work: Duration,
        body_bytes: usize,
    ) -> Server {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        self.write_entry(service, name, listener.local_addr().unwrap(), slots);
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = requests.clone();
        let names = (service.to_owned(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (counter, names) = (counter.clone(), names.clone());
                thread::spawn(move || serve(stream, &names, work, body_bytes, &counter));
            }
        });
        Server { requests }
    }

    /// Writes the entry of a server of `service` at `address`, which takes `slots` calls at
    /// once.
    pub(crate) fn write_entry(&self, service: &str, name: &str, address: SocketAddr, slots: u32) {
        let entry = ServerEntry {
            address,
            service: service.into(),
            domain: "north".into(),
            slots,
            draining: false,
            cold_left: Duration::ZERO,
            started_ms: unix_time().as_millis() as u64,
            announced: 1,
        };
        self.store.put(stand::SERVERS_KIND, name, entry.to_json());
        self.entries.lock().unwrap().push((name.to_owned(), entry));
    }

    /// Returns the address of VM `index`, of which there may be 250.
    pub(crate) fn ip(&self, index: u8) -> Ipv4Addr {
        let (a, b, c) = self.network;
        Ipv4Addr::new(a, b, c, index + 1)
    }

    /// Returns the settings that the platform makes of the deployment's template for VM
    /// `index`. VM 0 is the seed of the others.
    pub(crate) fn settings(&self, index: u8) -> Settings {
        let ip = self.ip(index);
        let seeds = format!("[\"{}:8382\"]", self.ip(0));
        let values = [
            ("node|json", format!("\"vm-{index}\"")),
            ("zone|json", "\"north\"".into()),
            ("region|json", "\"island\"".into()),
            ("limits.cpu_share", "0.2".into()),
            ("limits.link_mbps", "1000.0".into()),
            ("listen.front|json", format!("\"{ip}:8381\"")),
            ("listen.control|json", format!("\"{ip}:8382\"")),
            ("listen.ready|json", format!("\"{ip}:8388\"")),
            ("seeds|json", seeds),
            (
                "platform.address|json",
                format!("\"{}\"", self.endpoint.address),
            ),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.retry_slack", "56".into()),
            ("internal_port_range.0", "7200".into()),
            ("internal_port_range.1", "7215".into()),
            ("ip", ip.to_string()),
        ];
        let mut text = TEMPLATE.to_owned();
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        Settings::parse(&text).unwrap()
    }

    /// Writes `settings` to a file and returns its path.
    pub(crate) fn write_settings(&self, settings: &Settings) -> PathBuf {
        let path = self.directory.join(format!("{}.json", settings.vm));
        std::fs::write(&path, serde_json::to_string(settings).unwrap()).unwrap();
        path
    }

    /// Starts a daemon with `settings`.
    pub(crate) fn start(&self, settings: &Settings) -> Daemon {
        let path = self.write_settings(settings);
        self.start_with_file(settings, path)
    }

    /// Starts a daemon that reads the file at `path`, which is to have `settings` in the
    /// end.
    pub(crate) fn start_with_file(&self, settings: &Settings, path: PathBuf) -> Daemon {
        Daemon::start(settings, path, self)
    }
}

impl Server {
    /// Returns the number of requests that have reached the server.
    pub(crate) fn count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

fn serve(
    mut stream: TcpStream,
    (service, name): &(String, String),
    work: Duration,
    body_bytes: usize,
    count: &AtomicUsize,
) {
    while let Some(request) = read_request(&mut stream) {
        let id = header_field(&request, fields::CALL_ID).unwrap_or_default();
        let health = request.starts_with("GET /health");
        let body = if health { 0 } else { body_bytes };
        if !health {
            count.fetch_add(1, Ordering::SeqCst);
            thread::sleep(work);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {name}\r\n{}: {service}\r\n{}: 0,0,64,100\r\n\
             content-length: {body}\r\n\r\n",
            fields::CALL_ID,
            fields::INSTANCE_ID,
            fields::SIGNATURE,
            fields::LOAD,
        );
        // The body begins with the id of the request, as far as it fits.
        let mut bytes = head.into_bytes();
        let end = bytes.len() + body;
        bytes.extend_from_slice(id.as_bytes());
        bytes.resize(end, b'x');
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// A daemon in a process of its own, which is killed when this is dropped.
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    child: Child,
    logs: PathBuf,
}

impl Daemon {
    fn start(settings: &Settings, path: PathBuf, deployment: &Deployment) -> Self {
        static STARTS: AtomicUsize = AtomicUsize::new(0);
        let start = STARTS.fetch_add(1, Ordering::SeqCst);
        let logs = deployment
            .directory
            .join(format!("{}-{start}.log", settings.vm));
        let output = File::create(&logs).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_snipepaddled"))
            .arg("--settings")
            .arg(path)
            .arg("--grace")
            .arg(deployment.grace_s.to_string())
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        Self {
            settings: settings.clone(),
            child,
            logs,
        }
    }

    /// Returns whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    /// Sends `signal` to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        rustix::process::kill_process(self.pid(), signal).unwrap();
    }

    /// Waits until the process has ended, for at most `limit`; returns whether it has.
    pub(crate) fn wait_ended(&mut self, limit: Duration) -> bool {
        wait_until(limit, || !self.is_running())
    }

    /// Waits until the process has ended, for at most `limit`, and returns its exit code:
    /// none if it runs, or was ended by a signal.
    pub(crate) fn wait_exit_code(&mut self, limit: Duration) -> Option<i32> {
        self.wait_ended(limit);
        self.child.try_wait().unwrap()?.code()
    }

    /// Asserts that the process runs for `duration` and is not ready.
    pub(crate) fn assert_waiting(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            assert!(self.is_running(), "the daemon ended:\n{}", self.logs());
            assert_ne!(self.readiness(), Some(200), "{}", self.logs());
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the value of the metric `name`, or none without a response.
    pub(crate) fn metric(&self, name: &str) -> Option<f64> {
        let watch = self.settings.watch.as_ref().unwrap();
        let mut stream = TcpStream::connect(watch.metrics).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        write!(stream, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").ok()?;
        let text = String::from_utf8(Response::read(&mut stream)?.body).ok()?;
        let prefix = format!("snipepaddle_{name}");
        let line = text.lines().find(|line| line.starts_with(&prefix))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Returns the most memory that the process has had, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<usize>().ok());
        kib.expect("the process has ended") << 10
    }

    /// Sets the most descriptors that the process may have open.
    pub(crate) fn limit_descriptors(&self, count: u64) {
        let limit = rustix::process::Rlimit {
            current: Some(count),
            maximum: Some(count),
        };
        let resource = rustix::process::Resource::Nofile;
        rustix::process::prlimit(Some(self.pid()), resource, limit).unwrap();
    }

    /// Returns the lines that the process has written, of which those on standard output
    /// are JSON.
    pub(crate) fn logs(&self) -> String {
        std::fs::read_to_string(&self.logs).unwrap_or_default()
    }

    /// Returns the log lines of `part` whose text contains `text`.
    pub(crate) fn log_lines(&self, part: &str, text: &str) -> Vec<Json> {
        let logs = self.logs();
        let lines = logs
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let wanted = |line: &Json| {
            line["part"] == part
                && line["text"]
                    .as_str()
                    .is_some_and(|full| full.contains(text))
        };
        lines.filter(wanted).collect()
    }

    /// Returns the status of the readiness endpoint, or none without a response.
    pub(crate) fn readiness(&self) -> Option<u16> {
        let watch = self.settings.watch.as_ref().unwrap();
        let mut stream = TcpStream::connect(watch.ready).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        write!(stream, "GET {} HTTP/1.1\r\nhost: x\r\n\r\n", watch.path).ok()?;
        Response::read(&mut stream).map(|response| response.status)
    }

    /// Waits until the VM is ready and serves calls.
    pub(crate) fn wait_serving(&mut self) {
        let ready = wait_until(SOON, || {
            assert!(self.is_running(), "the daemon ended:\n{}", self.logs());
            self.readiness() == Some(200) && self.get("/read/x") == Some(200)
        });
        assert!(ready, "not serving:\n{}", self.logs());
    }

    /// Opens a connection as a caller.
    pub(crate) fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.settings.callers.listen[0]).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(stream)
    }

    /// Returns the status of a GET of `path` on a new connection, or none without a
    /// response.
    pub(crate) fn get(&self, path: &str) -> Option<u16> {
        let mut stream = self.connect()?;
        stream
            .write_all(request("GET", path, b"").as_bytes())
            .ok()?;
        Response::read(&mut stream).map(|response| response.status)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the text of a request with `body`, with an id of its own.
pub(crate) fn request(method: &str, path: &str, body: &[u8]) -> String {
    request_head(method, path, body.len()) + &String::from_utf8_lossy(body)
}

/// Returns the head of a request whose body has `length` bytes.
pub(crate) fn request_head(method: &str, path: &str, length: usize) -> String {
    static IDS: AtomicUsize = AtomicUsize::new(1);
    let id = IDS.fetch_add(1, Ordering::SeqCst);
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: {id:016x}\r\ncontent-length: {length}\r\n\r\n",
        fields::CALL_ID
    )
}

/// A response as its caller got it.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Reads a response whose length its head states. Returns none if the connection ends
    /// before the response does.
    pub(crate) fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).ok()? == 0 {
                return None;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = header_field(&head, "content-length")?.parse().ok()?;
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Self { status, head, body })
    }
}

/// Calls `done` until it returns true, for at most `limit`; returns whether it has.
pub(crate) fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if done() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
