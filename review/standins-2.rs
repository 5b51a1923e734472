//! Stand-ins for the scripts of cases 6 to 10: the platform's store, backend servers and
//! callers, and the entry VMs as processes. Built by `review/build-2.sh` without dependencies.
//!
//! Usage: standins-2 CASE RECORD TROUBLE (run in the repository root).
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
    /// The ids of the requests that servers ran.
    run: Arc<Mutex<Vec<String>>>,
}

impl Record {
    fn new(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| unable(&format!("{path}: {e}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now(), run: Arc::default() }
    }

    fn has_run(&self, id: &str) -> bool {
        self.run.lock().unwrap().iter().any(|run| run == id)
    }

    fn note(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} {text}");
    }
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The time after which a run is given up.
const TIME_LIMIT: Duration = Duration::from_secs(117);

/// The folder for settings and logs.
fn directory() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Ends all processes that were started, and this one with code 2.
fn unable(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    let _ = std::fs::remove_dir_all(directory());
    let started = STARTED.lock().map(|pids| pids.clone()).unwrap_or_default();
    for pid in started {
        let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
    }
    std::process::exit(2);
}

/// Kills a process and waits for its end.
fn end_child(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    if let Ok(mut started) = STARTED.lock() {
        started.retain(|pid| *pid != child.id());
    }
}

// ---------------------------------------------------------------- HTTP

struct Message {
    start: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection, and keeps what was read beyond one.
struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn connect(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn limit(&self, time: Duration) {
        let _ = self.stream.set_read_timeout(Some(time));
    }

    /// Reads more; the error is the end of the connection or of the time.
    fn fill(&mut self) -> Result<(), String> {
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err("closed".into()),
            Ok(length) => {
                self.buffer.extend_from_slice(&bytes[..length]);
                Ok(())
            }
            Err(error) => Err(error.to_string()),
        }
    }

    /// Reads one message. `Err` says what came instead; `None` is a close between messages.
    fn read(&mut self) -> Result<Option<Message>, String> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            match self.fill() {
                Ok(()) => {}
                Err(_) if self.buffer.is_empty() => return Ok(None),
                Err(error) => return Err(format!("{error} after {}", self.seen())),
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
        let mut message = Message { start, fields: fields.collect(), body: Vec::new() };
        if message.field("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| "a chunk without a size".to_owned())?;
                let piece = self.take(size)?;
                message.body.extend_from_slice(&piece);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.field("content-length") {
            let length = length.parse().map_err(|_| "a length that is none".to_owned())?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    fn line(&mut self) -> Result<String, String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>, String> {
        while self.buffer.len() < length {
            if let Err(error) = self.fill() {
                return Err(format!("{error} after {} of {length} bytes of the body", self.buffer.len()));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn seen(&self) -> String {
        let mut text = format!("{} bytes:", self.buffer.len());
        for byte in self.buffer.iter().take(40) {
            let _ = write!(text, " {byte:02x}");
        }
        text
    }
}

fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn serve(listener: TcpListener, handle: impl Fn(Conn) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(&e.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

// ---------------------------------------------------------------- store

/// The platform's store: objects by kind and name, each as JSON text of `spec`.
#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<(u64, String, String)>,
}

#[derive(Clone, Default)]
struct Store(Arc<(Mutex<Objects>, Condvar)>);

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"rev\":{revision},\"created\":1,\"finalizers\":[],\"deletion_at\":false}},\"spec\":{spec},\"status\":null}}",
        quote(name)
    )
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            c if (c as u32) < 32 => drop(write!(quoted, "\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

/// Decodes percent-encoding, as a sound server does with a query or a path.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let value = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], value) {
            (b'%', Some(value)) => {
                decoded.push(value);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

impl Store {
    fn put(&self, kind: &str, name: &str, spec: &str) {
        let (lock, changed) = &*self.0;
        let mut store = lock.lock().unwrap();
        store.revision += 1;
        let revision = store.revision;
        store.objects.insert((kind.into(), name.into()), (revision, spec.into()));
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object_text(name, revision, spec));
        store.events.push((revision, kind.into(), event));
        changed.notify_all();
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let store = self.0 .0.lock().unwrap();
        let mut items: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for ((_, name), (revision, spec)) in store.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after) {
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            let text = object_text(name, *revision, spec);
            bytes += text.len();
            items.push(text);
        }
        format!("{{\"items\":[{}],\"has_more\":{more},\"store_revision\":{}}}", items.join(","), store.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let (lock, changed) = &*self.0;
        let end = Instant::now() + wait;
        let mut store = lock.lock().unwrap();
        loop {
            let events = store.events.iter().filter(|(revision, k, _)| *revision > after && k == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), store.revision);
            }
            store = changed.wait_timeout(store, left).unwrap().0;
        }
    }

    /// Serves the store, and counts the lists of servers in `lists`.
    fn open(&self, lists: Arc<AtomicU64>) -> SocketAddr {
        let (listener, address) = listen();
        let store = self.clone();
        serve(listener, move |mut conn| {
            while let Ok(Some(request)) = conn.read() {
                let mut words = request.start.split(' ');
                let method = words.next().unwrap_or("").to_owned();
                let target = words.next().unwrap_or("").to_owned();
                let (path, query) = target.split_once('?').unwrap_or((&target, ""));
                let query: BTreeMap<String, String> =
                    query.split('&').filter_map(|p| p.split_once('=')).map(|(k, v)| (decode(k), decode(v))).collect();
                let rest = path.strip_prefix("/snipepaddle/objects/").unwrap_or("");
                let mut parts = rest.splitn(2, '/');
                let kind = parts.next().unwrap_or("").to_owned();
                let name = parts.next().map(decode);
                thread::sleep(Duration::from_millis(4));
                let (status, body) = match (method.as_str(), name) {
                    ("GET", None) => match query.get("watch").and_then(|w| w.parse().ok()) {
                        Some(after) => {
                            let wait = query.get("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                            ("200 OK", store.watch(&kind, after, Duration::from_millis(wait)))
                        }
                        None => {
                            if kind == "servers" {
                                lists.fetch_add(1, Ordering::Relaxed);
                            }
                            ("200 OK", store.list(&kind, query.get("after").map_or("", |a| a)))
                        }
                    },
                    ("POST", None) => {
                        let text = String::from_utf8_lossy(&request.body).into_owned();
                        let name = text.split("\"name\":\"").nth(1).and_then(|t| t.split('"').next());
                        let spec = text.split("\"spec\":").nth(1).map(|t| t.trim_end_matches('}').to_owned() + "}");
                        match (name, spec) {
                            (Some(name), Some(spec)) => {
                                let key = (kind.clone(), name.to_owned());
                                let exists = store.0 .0.lock().unwrap().objects.contains_key(&key);
                                if exists {
                                    ("409 Conflict", "{}".to_owned())
                                } else {
                                    store.put(&kind, name, &spec);
                                    ("200 OK", "{}".to_owned())
                                }
                            }
                            _ => ("400 Bad Request", "{}".to_owned()),
                        }
                    }
                    _ => ("404 Not Found", "{}".to_owned()),
                };
                let sent = respond(&mut conn.stream, status, "Content-Type: application/json\r\n", body.as_bytes());
                if sent.is_err() {
                    return;
                }
            }
        });
        address
    }
}

// ---------------------------------------------------------------- servers

/// How a server answers a request.
#[derive(Clone)]
struct Plan {
    delay: Duration,
    length: usize,
    /// The server closes the connection after so many bytes of the body.
    cut: Option<usize>,
    /// Bytes of the body are sent in pieces of 16 KiB with this pause between them.
    pause: Duration,
}

impl Plan {
    fn new(delay_ms: u64, length: usize) -> Self {
        Self { delay: Duration::from_millis(delay_ms), length, cut: None, pause: Duration::ZERO }
    }
}

/// What is wrong with a server, and its host.
#[derive(Clone, Copy, Default)]
struct Traits {
    /// Its liveness check fails although it serves well.
    says_ill: bool,
    /// It sends one in so many answers to liveness checks once more, late; 0 for none.
    extra_every: u64,
    /// Its host is five times slower for a third of the time, 150 ms each.
    noisy: bool,
}

/// Returns how long work takes now on the host `seed`, in percent.
fn slowdown(seed: u64) -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 / 150;
    let mixed = (span ^ (seed << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    if (mixed >> 40) % 100 < 35 { 500 } else { 100 }
}

fn start_server(store: &Store, record: &Record, id: &str, service: &str, zone: &str, traits: Traits, plan: impl Fn(&Message) -> Plan + Send + Sync + 'static) {
    let (listener, address) = listen();
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let spec = format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":3}},\"status\":{{\"state\":\"ready\",\"seq\":1,\"cold_left_s\":0}},\"born\":{born}}}"
    );
    store.put("servers", id, &spec);
    let (id, record) = (id.to_owned(), record.clone());
    let busy = Arc::new(AtomicU64::new(0));
    let checks = AtomicU64::new(0);
    let seed = u64::from(address.port());
    serve(listener, move |mut conn| {
        let mut extra: Option<String> = None;
        while let Ok(Some(request)) = conn.read() {
            let percent = if traits.noisy { slowdown(seed) } else { 100 };
            let load = format!("X-Server-Load: {},0,3,{percent}\r\n", busy.load(Ordering::SeqCst));
            if request.path() == "/health" {
                let fields = format!("X-Instance-Id: {id}\r\n{load}");
                let status = if traits.says_ill { "503 Service Unavailable" } else { "200 OK" };
                let number = checks.fetch_add(1, Ordering::SeqCst) + 1;
                if traits.extra_every > 0 && number % traits.extra_every == 0 {
                    extra = Some(format!("HTTP/1.1 {status}\r\n{fields}Content-Length: 0\r\n\r\n"));
                }
                if respond(&mut conn.stream, status, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            if let Some(extra) = extra.take() {
                record.note(&format!("{id} sends its last answer to a liveness check once more"));
                let _ = conn.stream.write_all(extra.as_bytes());
            }
            let attempt = request.field("x-attempt-id").unwrap_or("").to_owned();
            if request.field("x-expect-instance").is_some_and(|expected| expected != id) {
                let fields = format!("X-Instance-Id: {id}\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\n");
                if respond(&mut conn.stream, "421 Misdirected Request", &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            record.note(&format!("run {attempt} at {id}: {}", request.start));
            record.run.lock().unwrap().push(attempt.clone());
            busy.fetch_add(1, Ordering::SeqCst);
            let plan = plan(&request);
            thread::sleep(plan.delay * percent as u32 / 100);
            busy.fetch_sub(1, Ordering::SeqCst);
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{attempt}\r\n{load}Content-Length: {}\r\n\r\n",
                plan.length
            );
            let end = plan.cut.unwrap_or(plan.length);
            let body = vec![b'x'; end];
            let mut sent = conn.stream.write_all(head.as_bytes());
            for piece in body.chunks(16384) {
                sent = sent.and_then(|()| conn.stream.write_all(piece));
                if !plan.pause.is_zero() {
                    thread::sleep(plan.pause);
                }
            }
            record.note(&format!("answered {attempt} at {id}: {end} of {} bytes", plan.length));
            if sent.is_err() || end < plan.length {
                return;
            }
        }
    });
}

// ---------------------------------------------------------------- entry VMs

struct Vm {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

struct Fleet {
    vms: Vec<Vm>,
    directory: PathBuf,
}

/// Returns a port that is free for TCP and UDP and was not returned before, below those that
/// the system gives to outgoing connections.
fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let begin = u64::from(std::process::id()) * 37;
    for _ in 0..12_000 {
        let port = 20_000 + ((begin + NEXT.fetch_add(1, Ordering::SeqCst)) % 12_000) as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
    unable("no port is free");
}

impl Fleet {
    /// Writes the settings of VMs in the given zones, from the template of the deploy file.
    fn new(zones: &[&str], store: SocketAddr, faults: bool) -> Self {
        let directory = directory();
        let made = std::fs::create_dir_all(&directory);
        made.unwrap_or_else(|e| unable(&e.to_string()));
        let template = std::fs::read_to_string("deploy/settings.json");
        let template = template.unwrap_or_else(|e| unable(&format!("deploy/settings.json: {e}")));
        let ports: Vec<[u16; 5]> = zones.iter().map(|_| [(); 5].map(|()| free_port())).collect();
        let seeds: Vec<String> = ports.iter().take(3).map(|p| format!("\"127.0.0.1:{}\"", p[1])).collect();
        let mut vms = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let [front, control, ready, relay, metrics] = ports[index];
            let name = format!("front-{zone}-{}", index + 1);
            let mut text = template.clone();
            for (key, value) in [
                ("{{node|json}}", quote(&name)),
                ("{{zone|json}}", quote(zone)),
                ("{{region|json}}", quote("tx-central")),
                ("{{limits.cpu_share}}", "0.2".into()),
                ("{{limits.link_mbps}}", "1000.0".into()),
                ("{{listen.front|json}}", format!("\"127.0.0.1:{front}\"")),
                ("{{listen.control|json}}", format!("\"127.0.0.1:{control}\"")),
                ("{{listen.ready|json}}", format!("\"127.0.0.1:{ready}\"")),
                ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
                ("{{ip}}", "127.0.0.1".into()),
                ("{{internal_port_range.0}}", relay.to_string()),
                ("{{internal_port_range.1}}", metrics.to_string()),
                ("{{platform.address|json}}", format!("\"{store}\"")),
                ("{{bounds.retry_budget_ratio}}", "0.2".into()),
                ("{{bounds.retry_slack}}", "56".into()),
            ] {
                text = text.replace(key, &value);
            }
            if faults {
                let cut = directory.join(format!("{name}.cut"));
                let field = format!("\"faults\": {{ \"cut\": {} }},\n  \"threads\"", quote(&cut.display().to_string()));
                text = text.replace("\"threads\"", &field);
            }
            let settings = directory.join(format!("{name}.json"));
            let written = std::fs::write(&settings, text);
            written.unwrap_or_else(|e| unable(&e.to_string()));
            vms.push(Vm {
                front: ([127, 0, 0, 1], front).into(),
                ready: ([127, 0, 0, 1], ready).into(),
                log: directory.join(format!("{name}.log")),
                name,
                settings,
                child: None,
            });
        }
        Self { vms, directory }
    }

    fn start(&mut self, record: &Record) {
        for vm in &mut self.vms {
            let log = File::options().create(true).append(true).open(&vm.log);
            let log = log.unwrap_or_else(|e| unable(&e.to_string()));
            let child = Command::new("target/release/snipepaddled")
                .arg("--settings")
                .arg(&vm.settings)
                .args(["--grace", "6", "--bounds", "teams=,quotas=::,rollouts=::"])
                .env("SNIPEPADDLE_BOOT", &vm.settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone().unwrap_or_else(|e| unable(&e.to_string())))
                .stderr(log)
                .spawn();
            let child = child.unwrap_or_else(|e| unable(&format!("target/release/snipepaddled: {e}")));
            STARTED.lock().unwrap().push(child.id());
            record.note(&format!("started {} as process {}", vm.name, child.id()));
            vm.child = Some(child);
        }
    }

    /// Kills all processes with SIGKILL.
    fn kill(&mut self, record: &Record) {
        for vm in &mut self.vms {
            if let Some(child) = vm.child.take() {
                end_child(child);
                record.note(&format!("killed {}", vm.name));
            }
        }
    }

    /// Cuts the connections of a VM to servers, by the daemon's own means for tests.
    fn cut(&self, index: usize, how: &str) {
        let file = self.directory.join(format!("{}.cut", self.vms[index].name));
        let written = std::fs::write(file, how);
        written.unwrap_or_else(|e| unable(&e.to_string()));
    }

    fn signal(&self, index: usize, name: &str, record: &Record) {
        let vm = &self.vms[index];
        if let Some(child) = &vm.child {
            let sent = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
            record.note(&format!("SIG{name} to {}: {sent:?}", vm.name));
        }
    }

    fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for vm in &mut self.vms {
            if let Some(Ok(Some(status))) = vm.child.as_mut().map(Child::try_wait) {
                ended.push(format!("{}: {status}", vm.name));
            }
        }
        ended
    }

    /// Returns the resident memory of each VM in MB.
    fn memory_mb(&self) -> Vec<u64> {
        let pids = self.vms.iter().filter_map(|vm| vm.child.as_ref().map(Child::id));
        let status = pids.filter_map(|pid| std::fs::read_to_string(format!("/proc/{pid}/status")).ok());
        let field = |text: String| {
            let line = text.lines().find(|line| line.starts_with("VmRSS:"))?.to_owned();
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        status.filter_map(field).map(|kb| kb / 1024).collect()
    }

    /// Waits until each VM is ready and serves `path`.
    fn wait_until_serving(&self, host: &str, path: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut tries = 0;
        for vm in &self.vms {
            loop {
                if Instant::now() > end {
                    return false;
                }
                tries += 1;
                let is_ready = status_of(vm.ready, "platform", "/snipepaddle/ready", "ready", 500);
                if is_ready == Some(200) && status_of(vm.front, host, path, &format!("warm{tries}"), 1000) == Some(200) {
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(child) = vm.child.take() {
                end_child(child);
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

// ---------------------------------------------------------------- callers

fn get(host: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\n\r\n")
}

fn status_of(address: SocketAddr, host: &str, path: &str, id: &str, deadline_ms: u64) -> Option<u16> {
    let mut conn = Conn::connect(address).ok()?;
    conn.limit(Duration::from_millis(deadline_ms));
    conn.stream.write_all(get(host, path, id, deadline_ms).as_bytes()).ok()?;
    conn.read().ok().flatten().map(|response| response.status())
}

fn post(path: &str, id: &str, deadline_ms: u64) -> String {
    let body = "booth=4&hour=9";
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

const HOST: &str = "booths.example";

/// The configuration: the routes of lsbr-booking.
fn config(version: u64) -> String {
    let split = "\"traffic_split\":[{\"service\":\"avail\",\"weight\":33},{\"service\":\"reserve\",\"weight\":34},{\"service\":\"studio-admin\",\"weight\":33}],\"service\":\"reserve\"";
    let text = whole_config(version);
    // Version 9 splits the bookings over all three services.
    if version == 9 { text.replace("\"service\":\"reserve\"", split) } else { text }
}

fn whole_config(version: u64) -> String {
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":220,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":4.6}}");
    let route = |name: &str, kind: &str, timeout: f64, target: f64, priority: u32, service: &str| {
        format!("{{\"name\":\"{name}\",\"path_prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\"timeout_s\":{timeout},\"target_latency_s\":{target},\"priority\":{priority},\"service\":\"{service}\",\"max_attempts\":2}}")
    };
    format!(
        "{{\"version\":{version},\"services\":[{},{},{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{},{},{},{}]}}]}}",
        service("avail"), service("reserve"), service("studio-admin"),
        route("slot-check", "safe", 1.0, 0.3, 2, "avail"),
        route("hold-pay", "unsafe", 1.2, 0.4, 1, "reserve"),
        route("usage-report", "safe", 1.2, 0.8, 2, "studio-admin"),
        route("gear-log", "safe", 2.0, 1.2, 2, "studio-admin"),
    )
}

struct World {
    store: Store,
    record: Record,
    trouble: bool,
    lists: Arc<AtomicU64>,
    address: SocketAddr,
}

const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];

impl World {
    fn new(record: &str, trouble: bool) -> Self {
        let store = Store::default();
        let lists = Arc::new(AtomicU64::new(0));
        let address = store.open(lists.clone());
        let record = Record::new(record);
        record.note(if trouble { "with the disruption" } else { "without the disruption" });
        store.put("config", "main", &config(7));
        Self { store, record, trouble, lists, address }
    }

    fn servers(&self, service: &str, plan: impl Fn(&Message) -> Plan + Send + Sync + Clone + 'static) {
        for (index, zone) in ZONES.iter().enumerate() {
            let id = format!("i-{service}-{index}");
            start_server(&self.store, &self.record, &id, service, zone, Traits::default(), plan.clone());
        }
    }

    /// Sends `count` requests, one after the other, to the VMs in turn; returns the share of
    /// those that a server answered.
    fn share_served(&self, fleet: &Fleet, count: usize, name: &str) -> f64 {
        let mut served = 0;
        for number in 0..count {
            let vm = &fleet.vms[number % fleet.vms.len()];
            let id = format!("{name}{number}");
            let status = status_of(vm.front, HOST, "/slot-check/1", &id, 1000);
            self.record.note(&format!("sent {id} to {}: {status:?}", vm.name));
            served += usize::from(status == Some(200));
            thread::sleep(Duration::from_millis(50));
        }
        served as f64 / count as f64
    }

    fn end(&self, broken: bool, text: &str) -> i32 {
        let verdict = if broken { "BROKEN" } else { "held" };
        self.record.note(&format!("{verdict}: {text}"));
        println!("{verdict}: {text}");
        i32::from(broken)
    }
}

include!("cases-2.rs");

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 4 || !Path::new("target/release/snipepaddled").exists() {
        unable("usage: standins-2 CASE RECORD TROUBLE, in the repository root after the build");
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        unable("the run took too long");
    });
    let world = World::new(&args[2], args[3] != "0");
    let code = run_case(&args[1], &world);
    std::process::exit(code);
}
