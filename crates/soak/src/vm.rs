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
use crate::record::Process;
use crate::record::Recorder;
use crate::record::Span;
use crate::record::VmIndex;

/// The ports of a VM; each has an address of its own.
const CALLER_PORT: u16 = 8381;
const READY_PORT: u16 = 8388;
const PEER_PORT: u16 = 8382;
const METRICS_PORT: u16 = 7200;
const ADMIN_PORT: u16 = 7201;
/// VMs that others join by.
const SEED_VMS: usize = 3;
/// The key of peers; it protects nothing here.
const PEER_KEY: &str = "5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d";
/// The path of readiness.
pub const READY_PATH: &str = "/ready";
/// Second attempts of the fleet at a service: share of its requests.
pub const SECOND_ATTEMPT_SHARE: f64 = 0.2;
/// The same: how many more in ten seconds.
pub const SECOND_ATTEMPT_SLACK: usize = 20;

/// Returns the address of VM `at` in network `net`.
fn vm_ip(subnet: u8, at: VmIndex) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet, (at / 250) as u8, 1 + (at % 250) as u8)
}

/// What all VMs of a run have in common.
pub struct Fleet<'a> {
    /// How many they are.
    pub count: usize,
    /// The second number of their addresses.
    pub subnet: u8,
    /// The store.
    pub store: &'a Store,
    /// The record.
    pub recorder: &'a Recorder,
    /// The daemon's program.
    pub program: &'a Path,
    /// Where settings and logs lie.
    pub directory: &'a Path,
}

/// An entry VM.
pub struct Vm {
    /// The way of callers to it.
    pub caller_link: Link,
    /// Where it says whether it is ready.
    pub ready_address: SocketAddr,
    /// The store as it treats this VM.
    pub store_endpoint: Endpoint,
    /// The way to that endpoint.
    pub store_link: Link,
    index: VmIndex,
    program: PathBuf,
    settings: PathBuf,
    logs: PathBuf,
    recorder: Recorder,
    child: Option<Child>,
    started: Time,
    stop_requested: Option<Time>,
    ended: Time,
}

impl Vm {
    /// Prepares VM `at` of `fleet`.
    pub async fn new(at: VmIndex, domain: &str, fleet: &Fleet<'_>) -> anyhow::Result<Self> {
        let ip = vm_ip(fleet.subnet, at);
        let store_endpoint = fleet.store.open_endpoint();
        let store_link = Link::open(store_endpoint.address).await?;
        let seeds = (0..fleet.count.min(SEED_VMS)).map(|seed| self::vm_ip(fleet.subnet, seed));
        let seeds = seeds.map(|ip| SocketAddr::from((ip, PEER_PORT)));
        let settings = json!({
            "vm": format!("vm-{at}"), "domain": domain, "region": "r",
            "callers": { "listen": [SocketAddr::from((ip, CALLER_PORT))], "half_close": false },
            "peers": {
                "listen": SocketAddr::from((ip, PEER_PORT)),
                "seeds": seeds.collect::<Vec<_>>(), "keys": [PEER_KEY]
            },
            "admin": { "listen": SocketAddr::from((ip, ADMIN_PORT)) },
            "watch": {
                "ready": SocketAddr::from((ip, READY_PORT)), "path": READY_PATH,
                "metrics": SocketAddr::from((ip, METRICS_PORT))
            },
            "platform": { "address": store_link.address(), "interface": "registry" },
            "second_attempts": { "share": SECOND_ATTEMPT_SHARE, "slack": SECOND_ATTEMPT_SLACK },
            "threads": 1, "notice": "800ms", "drain": "3500ms", "forget": "30s",
            "logs": { "level": "info", "json": true }, "traces": { "share": 0.0 }
        });
        let path = fleet.directory.join(format!("vm-{at}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(Self {
            caller_link: Link::open(SocketAddr::from((ip, CALLER_PORT))).await?,
            ready_address: SocketAddr::from((ip, READY_PORT)),
            store_endpoint,
            store_link,
            index: at,
            program: fleet.program.into(),
            settings: path,
            logs: fleet.directory.join(format!("vm-{at}.log")),
            recorder: fleet.recorder.clone(),
            child: None,
            started: Time::ZERO,
            stop_requested: None,
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
        self.started = self.recorder.now();
        self.stop_requested = None;
        Ok(())
    }

    /// Sends the process a signal, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if signal == Signal::TERM {
            self.stop_requested.get_or_insert(self.recorder.now());
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
        self.is_running() && self.stop_requested.is_some()
    }

    /// Returns whether the process ended `rest` ago and may be started again.
    pub fn is_restart_due(&mut self, delay: Duration) -> bool {
        !self.is_running() && self.recorder.now() >= self.ended + delay
    }

    /// Returns whether the process runs; takes note of its end.
    fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return true;
        };
        self.child = None;
        let now = self.recorder.now();
        self.ended = now;
        self.recorder.lock().processes.push(Process {
            vm: self.index,
            span: Span {
                from: self.started,
                to: now,
            },
            stop_requested: self.stop_requested,
            exit_code: status.code(),
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
