//! An entry VM of a run: a daemon as a process of its own.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use base::Time;
use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::json;
use stand::Endpoint;
use stand::Store;

use crate::link::Link;
use crate::record::Book;
use crate::record::Process;
use crate::record::Span;
use crate::record::VmAt;

/// The ports of a VM; each has an address of its own.
const CALLERS: u16 = 8381;
const READY: u16 = 8388;
const PEERS: u16 = 8382;
const METRICS: u16 = 7200;
const ADMIN: u16 = 7201;
/// VMs that others join by.
const SEEDS: usize = 3;
/// The key of peers; it protects nothing here.
const KEY: &str = "5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d";
/// The path of readiness.
pub const READY_PATH: &str = "/ready";
/// Second attempts of the fleet at a service: share of its requests.
pub const SHARE: f64 = 0.2;
/// The same: how many more in ten seconds.
pub const SLACK: usize = 20;

/// Returns the address of VM `at` in network `net`.
fn ip(net: u8, at: VmAt) -> Ipv4Addr {
    Ipv4Addr::new(127, net, (at / 250) as u8, 1 + (at % 250) as u8)
}

/// What all VMs of a run have in common.
pub struct Fleet<'a> {
    /// How many they are.
    pub count: usize,
    /// The second number of their addresses.
    pub net: u8,
    /// The store.
    pub store: &'a Store,
    /// The record.
    pub book: &'a Book,
    /// The daemon's program.
    pub program: &'a Path,
    /// Where settings and logs lie.
    pub directory: &'a Path,
}

/// An entry VM.
pub struct Vm {
    /// The way of callers to it.
    pub callers: Link,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// The store as it treats this VM.
    pub endpoint: Endpoint,
    /// The way to that endpoint.
    pub store_link: Link,
    at: VmAt,
    program: PathBuf,
    settings: PathBuf,
    logs: PathBuf,
    book: Book,
    child: Option<Child>,
    started: Time,
    asked: Option<Time>,
    ended: Time,
}

impl Vm {
    /// Prepares VM `at` of `fleet`.
    pub async fn new(at: VmAt, domain: &str, fleet: &Fleet<'_>) -> anyhow::Result<Self> {
        let ip = ip(fleet.net, at);
        let endpoint = fleet.store.open_endpoint();
        let store_link = Link::open(endpoint.address).await?;
        let seeds = (0..fleet.count.min(SEEDS)).map(|seed| self::ip(fleet.net, seed));
        let seeds = seeds.map(|ip| SocketAddr::from((ip, PEERS)));
        let settings = json!({
            "vm": format!("vm-{at}"), "domain": domain, "region": "r",
            "callers": { "listen": [SocketAddr::from((ip, CALLERS))], "half_close": false },
            "peers": {
                "listen": SocketAddr::from((ip, PEERS)),
                "seeds": seeds.collect::<Vec<_>>(), "keys": [KEY]
            },
            "admin": { "listen": SocketAddr::from((ip, ADMIN)) },
            "watch": {
                "ready": SocketAddr::from((ip, READY)), "path": READY_PATH,
                "metrics": SocketAddr::from((ip, METRICS))
            },
            "platform": { "address": store_link.address(), "interface": "registry" },
            "second_attempts": { "share": SHARE, "slack": SLACK },
            "threads": 1, "notice": "800ms", "drain": "3500ms", "forget": "30s",
            "logs": { "level": "info", "json": true }, "traces": { "share": 0.0 }
        });
        let path = fleet.directory.join(format!("vm-{at}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(Self {
            callers: Link::open(SocketAddr::from((ip, CALLERS))).await?,
            ready: SocketAddr::from((ip, READY)),
            endpoint,
            store_link,
            at,
            program: fleet.program.into(),
            settings: path,
            logs: fleet.directory.join(format!("vm-{at}.log")),
            book: fleet.book.clone(),
            child: None,
            started: Time::ZERO,
            asked: None,
            ended: Time::ZERO,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let logs = File::options().create(true).append(true).open(&self.logs)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(logs.try_clone()?)
            .stderr(logs)
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        self.started = self.book.now();
        self.asked = None;
        Ok(())
    }

    /// Sends the process a signal, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if signal == Signal::TERM {
            self.asked.get_or_insert(self.book.now());
        }
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // A process that has ended meanwhile needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process was asked to stop and still runs.
    pub fn is_stopping(&mut self) -> bool {
        self.runs() && self.asked.is_some()
    }

    /// Returns whether the process ended `rest` ago and may be started again.
    pub fn is_due(&mut self, rest: Duration) -> bool {
        !self.runs() && self.book.now() >= self.ended + rest
    }

    /// Returns whether the process runs; takes note of its end.
    fn runs(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return true;
        };
        self.child = None;
        let now = self.book.now();
        self.ended = now;
        self.book.lock().processes.push(Process {
            vm: self.at,
            span: Span {
                from: self.started,
                to: now,
            },
            asked: self.asked,
            code: status.code(),
        });
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
