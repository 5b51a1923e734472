//! The daemons: settings from the deploy template, start, signals.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;

use crate::client;
use crate::free_port;
use crate::now;
use crate::say;
use crate::sleep;

const PROGRAM: &str = "target/release/snipepaddled";
const TEMPLATE: &str = "deploy/settings.json";

/// The processes that were started and not waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons, and removes their settings and logs unless `KEEP` is set.
pub fn kill_all() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        signal_pid(pid, "KILL");
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder());
    }
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

fn signal_pid(pid: u32, signal: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{signal}"))
        .arg(pid.to_string())
        .stderr(Stdio::null())
        .status();
}

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// Creates `count` VMs in the zones in turn, whose platform is at `store`; starts none.
pub fn fleet(count: usize, zones: &[&str], store: u16) -> Vec<Vm> {
    let folder = folder();
    std::fs::create_dir_all(&folder).unwrap();
    let template = std::fs::read_to_string(TEMPLATE).expect("the template of the settings");
    let controls: Vec<u16> = (0..count).map(|_| free_port()).collect();
    let seeds: Vec<String> = controls
        .iter()
        .take(3)
        .map(|p| format!("\"127.0.0.1:{p}\""))
        .collect();
    (0..count)
        .map(|index| {
            let name = format!("front-{}", index + 1);
            let front = free_port();
            let ready = free_port();
            let values = [
                ("{{node|json}}", format!("\"{name}\"")),
                (
                    "{{zone|json}}",
                    format!("\"{}\"", zones[index % zones.len()]),
                ),
                ("{{region|json}}", "\"region\"".into()),
                ("{{limits.cpu_share}}", "0.2".into()),
                ("{{limits.link_mbps}}", "1000.0".into()),
                ("{{listen.front|json}}", format!("\"127.0.0.1:{front}\"")),
                (
                    "{{listen.control|json}}",
                    format!("\"127.0.0.1:{}\"", controls[index]),
                ),
                ("{{listen.ready|json}}", format!("\"127.0.0.1:{ready}\"")),
                ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
                (
                    "{{platform.address|json}}",
                    format!("\"127.0.0.1:{store}\""),
                ),
                ("{{bounds.retry_budget_ratio}}", "0.2".into()),
                ("{{bounds.retry_slack}}", "56".into()),
                (
                    "127.0.0.1:{{internal_port_range.1}}",
                    format!("127.0.0.1:{}", free_port()),
                ),
                ("{{internal_port_range.0}}", free_port().to_string()),
                ("{{internal_port_range.1}}", free_port().to_string()),
                ("{{ip}}", "127.0.0.1".into()),
            ];
            let mut text = template.clone();
            for (placeholder, value) in values {
                text = text.replace(placeholder, &value);
            }
            let settings = folder.join(format!("{name}.json"));
            std::fs::write(&settings, text).unwrap();
            Vm {
                log: folder.join(format!("{name}.log")),
                name,
                front: SocketAddr::from(([127, 0, 0, 1], front)),
                ready: SocketAddr::from(([127, 0, 0, 1], ready)),
                settings,
            }
        })
        .collect()
}

impl Vm {
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the daemon of the deploy build");
        CHILDREN.lock().unwrap().push(child.id());
        say(&format!(
            "{}: started, log {}",
            self.name,
            self.log.display()
        ));
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /snipepaddle/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        client::exchange(self.ready, request.as_bytes(), 1.0).status == Some(200)
    }
}

/// Waits until all VMs are ready; returns whether they are within `limit` seconds.
pub fn wait_ready(vms: &[Vm], limit: f64) -> bool {
    let end = now() + limit;
    while !vms.iter().all(Vm::is_ready) {
        if now() > end {
            for vm in vms {
                let log = std::fs::read_to_string(&vm.log).unwrap_or_default();
                let last = log.lines().last().unwrap_or_default();
                say(&format!("{}: ready: {}, {last}", vm.name, vm.is_ready()));
            }
            return false;
        }
        sleep(0.05);
    }
    say("all VMs are ready");
    true
}
