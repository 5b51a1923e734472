//! An entry VM of a run: a daemon in a process of its own, on an IP address of its own.

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
use net::cut::Cut;
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

// All VMs use the same ports, since each VM has a loopback address of its own.
const CALLER_PORT: u16 = 8381;
const READY_PORT: u16 = 8388;
const PEER_PORT: u16 = 8382;
const METRICS_PORT: u16 = 7200;
const ADMIN_PORT: u16 = 7201;
/// The number of VMs that are listed as seeds, by which others join the fleet.
const SEED_VMS: usize = 3;
/// The key for messages between peers. It is for tests only and protects nothing.
const PEER_KEY: &str = "5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d";
/// The path of the readiness check.
pub const READY_PATH: &str = "/ready";
/// The budget for second attempts of the whole fleet at a service, as a share of the
/// requests to that service.
pub const SECOND_ATTEMPT_SHARE: f64 = 0.2;
/// The number of second attempts in 10 s that the budget allows beyond
/// [`SECOND_ATTEMPT_SHARE`].
pub const SECOND_ATTEMPT_SLACK: usize = 20;

/// The time over which the calls of a team with a quota are counted.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// The calls by which teams may exceed their quota, as a share of it.
pub const QUOTA_EXCESS: f64 = 0.1;
/// The number of calls in [`QUOTA_WINDOW`] beyond that.
pub const QUOTA_SLACK: f64 = 20.0;

/// The share of the calls that a version on trial may get. It is twice the default, since
/// the runs are short.
const ROLL_OUT_SHARE: f64 = 0.1;

/// Returns the loopback address of VM `at` in the network `127.subnet`.
fn vm_ip(subnet: u8, at: VmIndex) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet, (at / 250) as u8, 1 + (at % 250) as u8)
}

/// What all VMs of a run share.
pub struct Fleet<'a> {
    /// The number of VMs.
    pub count: usize,
    /// The second octet of their addresses, by which concurrent runs on a machine are
    /// kept apart.
    pub subnet: u8,
    /// The stand-in for the registry store.
    pub store: &'a Store,
    /// The recorder of the run.
    pub recorder: &'a Recorder,
    /// The path of the daemon's executable.
    pub program: &'a Path,
    /// The directory for settings and logs.
    pub directory: &'a Path,
}

/// An entry VM.
pub struct Vm {
    /// The proxy through which callers connect.
    pub caller_link: Link,
    /// The address of the readiness check.
    pub ready_address: SocketAddr,
    /// The endpoint of the store for this VM alone, so that the store can fail for one
    /// VM.
    pub store_endpoint: Endpoint,
    /// The proxy to the store endpoint.
    pub store_link: Link,
    index: VmIndex,
    program: PathBuf,
    settings: PathBuf,
    /// Names how the VM's connections to servers are cut.
    cut_file: PathBuf,
    logs: PathBuf,
    recorder: Recorder,
    child: Option<Child>,
    started: Time,
    stop_requested: Option<Time>,
    ended: Time,
}

impl Vm {
    /// Writes the settings of VM `at` of `fleet` and opens its proxies. It does not start
    /// the process.
    ///
    /// # Errors
    ///
    /// Fails if a proxy cannot be opened or the settings cannot be written.
    pub async fn new(at: VmIndex, domain: &str, fleet: &Fleet<'_>) -> anyhow::Result<Self> {
        let ip = vm_ip(fleet.subnet, at);
        let store_endpoint = fleet.store.open_endpoint();
        let store_link = Link::open(store_endpoint.address).await?;
        let seeds = (0..fleet.count.min(SEED_VMS)).map(|seed| self::vm_ip(fleet.subnet, seed));
        let seeds = seeds.map(|ip| SocketAddr::from((ip, PEER_PORT)));
        let cut_file = fleet.directory.join(format!("vm-{at}.cut"));
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
            "quotas": {
                "window": format!("{}s", QUOTA_WINDOW.as_secs()),
                "excess": QUOTA_EXCESS, "slack": QUOTA_SLACK as u32
            },
            "rollouts": { "share": ROLL_OUT_SHARE }, "teams": true, "threads": 1, "notice": "800ms", "drain": "3500ms", "forget": "30s",
            "logs": { "level": "info", "json": true }, "traces": { "share": 0.0 },
            "faults": { "cut": cut_file }
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
            cut_file,
            logs: fleet.directory.join(format!("vm-{at}.log")),
            recorder: fleet.recorder.clone(),
            child: None,
            started: Time::ZERO,
            stop_requested: None,
            ended: Time::ZERO,
        })
    }

    /// Starts the daemon process, with its output appended to the log file.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be opened or the process cannot be started.
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

    /// Sets how the VM's connections to servers are cut.
    pub fn cut_path(&self, cut: Cut) {
        if let Err(error) = std::fs::write(&self.cut_file, cut.name()) {
            eprintln!("cannot write {}: {error}", self.cut_file.display());
        }
    }

    /// Sends a signal to the process if there is one.
    pub fn signal(&mut self, signal: Signal) {
        if signal == Signal::TERM {
            self.stop_requested.get_or_insert(self.recorder.now());
        }
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // The error is ignored: the process may have exited meanwhile.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process was asked to stop and is still running.
    pub fn is_stopping(&mut self) -> bool {
        self.is_running() && self.stop_requested.is_some()
    }

    /// Returns whether no process runs and the last one ended at least `delay` ago, so
    /// that a new one may be started.
    pub fn is_restart_due(&mut self, delay: Duration) -> bool {
        !self.is_running() && self.recorder.now() >= self.ended + delay
    }

    /// Returns whether the process is running. Records its end when it has exited.
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
