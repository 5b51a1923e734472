//! What a daemon costs that carries no calls: the cost of control.

use std::time::Duration;

use conf::settings::Policy;

use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::plan::Plan;
use crate::run::cpu_secs;

/// The time after the start before anything counts.
const SETTLE: Duration = Duration::from_secs(3);
/// What each VM adds to it: news of its start has to have been told on.
const SETTLE_EACH: Duration = Duration::from_millis(350);

/// The cost of control of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processor time, in percent of a core.
    pub core: f64,
    /// Bytes sent to peers a second.
    pub bytes: f64,
    /// Datagrams sent to peers a second.
    pub datagrams: f64,
    /// Resident memory in MB, stand-ins and all.
    pub memory: f64,
    /// Calls to the platform a second of the whole fleet.
    pub platform: f64,
}

/// Returns the resident memory of this process in MB, from Linux's `/proc`.
fn resident() -> f64 {
    const KIB_PER_MB: f64 = 1e6 / 1024.0;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    number.unwrap_or(0.0) / KIB_PER_MB
}

/// Returns a deployment of `vms` entry VMs and `services` of two servers each.
fn plan(vms: usize, services: usize) -> anyhow::Result<Plan> {
    let service = |n: usize| {
        format!(
            r#"{{ "name": "s-{n}", "servers": 2, "slots": 2, "mean": "10ms", "deadline": "1s" }}"#
        )
    };
    let services: Vec<String> = (0..services).map(service).collect();
    let text = format!(
        r#"{{ "name": "idle", "domains": ["a", "b"], "vms": {vms},
             "latency": {{ "peers": "0s", "callers": "0s", "servers": "0s" }},
             "services": [{}], "load": 0.1, "warmup": "0s", "time": "1s" }}"#,
        services.join(", ")
    );
    Ok(Plan::parse(&text)?)
}

/// Measures `vms` daemons with `services` in force for `time`.
pub async fn measure(vms: usize, services: usize, time: Duration) -> anyhow::Result<Cost> {
    let plan = plan(vms, services)?;
    let options = FleetOptions {
        policy: Policy::Home,
        vms,
        unbatched: false,
    };
    let before = resident();
    let fleet = Fleet::start(&plan, &options).await?;
    smol::Timer::after(SETTLE + SETTLE_EACH * vms as u32).await;
    let sent = crate::run::sent_counts(&fleet);
    let cpu = cpu_secs();
    let calls = fleet.platform.objects().calls();
    smol::Timer::after(time).await;
    let now = crate::run::sent_counts(&fleet);
    let each = vms as f64 * time.as_secs_f64();
    let cost = Cost {
        core: (cpu_secs() - cpu) * 100.0 / each,
        bytes: (now.bytes - sent.bytes) as f64 / each,
        datagrams: (now.datagrams - sent.datagrams) as f64 / each,
        memory: (resident() - before).max(0.0) / vms as f64,
        platform: (fleet.platform.objects().calls() - calls) as f64 / time.as_secs_f64(),
    };
    fleet.stop().await;
    Ok(cost)
}
