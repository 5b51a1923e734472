//! Measures the cost of control: what daemons that carry no calls consume.

use std::time::Duration;

use conf::settings::Policy;

use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::plan::Plan;
use crate::run::cpu_secs;

/// Time from the start of the fleet to the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Additional time for each VM, until the gossip about its start has ended.
const SETTLE_TIME_PER_VM: Duration = Duration::from_millis(350);

/// Cost of control of one daemon, on average over the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// CPU time in percent of one core.
    pub core_percent: f64,
    /// Bytes sent to peers per second.
    pub byte_rate: f64,
    /// Datagrams sent to peers per second.
    pub datagram_rate: f64,
    /// Resident memory in MB, including its share of the stand-ins.
    pub memory_mb: f64,
    /// Calls of the whole fleet to the platform per second.
    pub platform_rate: f64,
}

/// Returns the resident memory of this process in MB, from `/proc/self/status`;
/// 0 on systems other than Linux.
fn resident_mb() -> f64 {
    const KIB_PER_MB: f64 = 1e6 / 1024.0;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.unwrap_or(0.0) / KIB_PER_MB
}

/// Returns a plan with `vms` entry VMs and `services` services of two servers
/// each.
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

/// Starts a fleet of `vms` daemons with `services` services and measures its cost
/// without calls over `time`.
pub async fn measure(vms: usize, services: usize, time: Duration) -> anyhow::Result<Cost> {
    let plan = plan(vms, services)?;
    let options = FleetOptions {
        policy: Policy::Home,
        vms,
        unbatched: false,
    };
    let memory_before = resident_mb();
    let fleet = Fleet::start(&plan, &options).await?;
    smol::Timer::after(SETTLE_TIME + SETTLE_TIME_PER_VM * vms as u32).await;
    let sent = crate::run::sent_counts(&fleet);
    let cpu = cpu_secs();
    let calls = fleet.platform.store().request_count();
    smol::Timer::after(time).await;
    let now = crate::run::sent_counts(&fleet);
    let vm_secs = vms as f64 * time.as_secs_f64();
    let cost = Cost {
        core_percent: (cpu_secs() - cpu) * 100.0 / vm_secs,
        byte_rate: (now.bytes - sent.bytes) as f64 / vm_secs,
        datagram_rate: (now.datagrams - sent.datagrams) as f64 / vm_secs,
        memory_mb: (resident_mb() - memory_before).max(0.0) / vms as f64,
        platform_rate: (fleet.platform.store().request_count() - calls) as f64 / time.as_secs_f64(),
    };
    fleet.stop().await;
    Ok(cost)
}
