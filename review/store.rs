//! The platform's metadata store, as PROTOCOL.md describes it.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::record;

struct Object {
    kind: String,
    name: String,
    rev: u64,
    /// JSON as its writer sent it.
    spec: Vec<u8>,
}

struct Event {
    rev: u64,
    kind: String,
    name: String,
    spec: Option<Vec<u8>>,
}

#[derive(Default)]
struct Inner {
    rev: u64,
    era: u64,
    objects: Vec<Object>,
    events: Vec<Event>,
    /// Whether watches that wait are cut off.
    cuts_watches: bool,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    pub port: u16,
}

fn object_json(name: &str, rev: u64, spec: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{rev},\"created\":1,\"finalizers\":[],\
         \"deletion_at\":false}},\"spec\":"
    )
    .into_bytes();
    out.extend_from_slice(spec);
    out.extend_from_slice(b",\"status\":null}");
    out
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let inner = Inner {
            rev: 500,
            era: 1,
            ..Inner::default()
        };
        let store = Self {
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
            port,
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.rev += 1;
        let rev = inner.rev;
        inner.objects.retain(|o| o.kind != kind || o.name != name);
        inner.objects.push(Object {
            kind: kind.into(),
            name: name.into(),
            rev,
            spec: spec.to_vec(),
        });
        inner.objects.sort_by(|a, b| a.name.cmp(&b.name));
        inner.events.push(Event {
            rev,
            kind: kind.into(),
            name: name.into(),
            spec: Some(spec.to_vec()),
        });
        record(&format!("store: wrote {kind}/{name} at revision {rev}"));
        drop(inner);
        self.inner.1.notify_all();
    }

    /// Replaces the spec of an object without a change of the revision: a heartbeat.
    pub fn beat(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut inner = self.inner.0.lock().unwrap();
        for object in &mut inner.objects {
            if object.kind == kind && object.name == name {
                object.spec = spec.to_vec();
            }
        }
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.rev += 1;
        let rev = inner.rev;
        inner.objects.retain(|o| o.kind != kind || o.name != name);
        inner.events.push(Event {
            rev,
            kind: kind.into(),
            name: name.into(),
            spec: None,
        });
        record(&format!("store: removed {kind}/{name} at revision {rev}"));
        drop(inner);
        self.inner.1.notify_all();
    }

    /// Sets whether watches that wait are cut off.
    pub fn cut_watches(&self, cut: bool) {
        record(&format!("store: cuts off waiting watches: {cut}"));
        self.inner.0.lock().unwrap().cuts_watches = cut;
        self.inner.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some((head, body)) = read_request(&mut stream) {
            let mut words = head.split_whitespace();
            let method = words.next().unwrap_or("").to_owned();
            let target = words.next().unwrap_or("").to_owned();
            let Some((status, body)) = self.execute(&method, &target, &body) else {
                return;
            };
            let era = self.inner.0.lock().unwrap().era;
            let mut out = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            out.extend_from_slice(&body);
            if stream.write_all(&out).is_err() {
                return;
            }
        }
    }

    fn execute(&self, method: &str, target: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.trim_start_matches("/snipepaddle/objects/");
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        if method == "POST" {
            let text = String::from_utf8_lossy(body).into_owned();
            let name = text
                .split("\"name\":\"")
                .nth(1)?
                .split('"')
                .next()?
                .to_owned();
            let known = {
                let inner = self.inner.0.lock().unwrap();
                inner
                    .objects
                    .iter()
                    .any(|o| o.kind == kind && o.name == name)
            };
            if known {
                return Some((409, b"{}".to_vec()));
            }
            let spec = text.split("\"spec\":").nth(1)?;
            let spec = spec.strip_suffix('}')?.to_owned();
            self.put(kind, &name, spec.as_bytes());
            return Some((200, text.into_bytes()));
        }
        if method != "GET" {
            return Some((404, b"{}".to_vec()));
        }
        match value("watch") {
            None => Some((200, self.list(kind, value("after").unwrap_or("")))),
            Some(after) => {
                let wait = value("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                self.watch(kind, after.parse().ok()?, Duration::from_millis(wait))
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let inner = self.inner.0.lock().unwrap();
        let items: Vec<Vec<u8>> = inner
            .objects
            .iter()
            .filter(|o| o.kind == kind && o.name.as_str() > after)
            .map(|o| object_json(&o.name, o.rev, &o.spec))
            .collect();
        let mut out = b"{\"items\":[".to_vec();
        out.extend(items.join(&b','));
        out.extend(format!("],\"has_more\":false,\"store_revision\":{}}}", inner.rev).bytes());
        out
    }

    /// Returns nothing if the watch is cut off.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(u16, Vec<u8>)> {
        let begin = Instant::now();
        let mut inner = self.inner.0.lock().unwrap();
        loop {
            if after > inner.rev {
                return Some((410, b"{}".to_vec()));
            }
            let events: Vec<Vec<u8>> = inner
                .events
                .iter()
                .filter(|e| e.rev > after && e.kind == kind)
                .map(|e| {
                    let spec = e.spec.clone().unwrap_or_else(|| b"null".to_vec());
                    let mut out =
                        format!("{{\"deleted\":{},\"object\":", e.spec.is_none()).into_bytes();
                    out.extend(object_json(&e.name, e.rev, &spec));
                    out.push(b'}');
                    out
                })
                .collect();
            let left = wait.saturating_sub(begin.elapsed());
            if !events.is_empty() || left.is_zero() {
                let mut out = b"{\"events\":[".to_vec();
                out.extend(events.join(&b','));
                out.extend(format!("],\"store_revision\":{}}}", inner.rev).bytes());
                return Some((200, out));
            }
            if inner.cuts_watches {
                record(&format!("store: cut off a waiting watch of {kind}"));
                return None;
            }
            let pause = left.max(Duration::from_millis(1));
            inner = self.inner.1.wait_timeout(inner, pause).unwrap().0;
        }
    }
}

/// Reads the head of a message and a body of the length or the chunks that it names.
pub fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    if field(&head, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let line = read_line(stream)?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some((head, body));
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = field(&head, "content-length").map_or(0, |v| v.parse().unwrap_or(0));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        line.push(byte[0]);
    }
    String::from_utf8(line).ok()
}

/// Returns the first header field `name` of a message.
pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
