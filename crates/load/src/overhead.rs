//! Measures the overhead of one daemon: compares calls through the daemon with
//! calls sent directly to the servers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use conf::settings::Policy;
use http::header;
use http::Request;
use net::body;
use net::client;
use net::exec::Handle;
use net::ThreadPool;

use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::plan::Plan;
use crate::run::cpu_secs;
use crate::tally::Percentiles;

/// Experiment with one service whose servers respond at once.
const PLAN: &str = r#"{
  "name": "overhead",
  "domains": ["one"],
  "vms": 1,
  "latency": { "peers": "0s", "callers": "0s", "servers": "0s" },
  "services": [{ "name": "fast", "servers": 8, "slots": 64, "mean": "1us", "deadline": "5s" }],
  "load": 0.5, "warmup": "0s", "time": "1s", "threads": 4
}"#;

/// Figures of calls on one path, direct or through the daemon.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Calls per second of all callers together.
    pub call_rate: f64,
    /// Latency percentiles of the calls.
    pub latency: Percentiles,
    /// CPU time of the whole process per call, in milliseconds.
    pub cpu_ms: f64,
}

/// Measures closed-loop calls of `callers` concurrent callers for `time` on each
/// path: first directly to the servers, then through one daemon.
///
/// Returns the figures of the direct calls and of the calls through the daemon.
pub async fn measure(callers: usize, time: Duration) -> anyhow::Result<(Measurement, Measurement)> {
    let plan = Plan::parse(PLAN)?;
    let options = FleetOptions {
        policy: Policy::Home,
        vms: 1,
        unbatched: false,
    };
    let fleet = Fleet::start(&plan, &options).await?;
    let servers: Vec<_> = fleet.servers.iter().map(|m| m.backend.address()).collect();
    let pool = ThreadPool::new("callers", 2);
    let through = vec![fleet.vms[0].callers];
    // Warms the servers up before the measurement.
    run_callers(&pool, &through, callers, Duration::from_secs(1)).await;
    let direct = run_callers(&pool, &servers, callers, time).await;
    let through = run_callers(&pool, &through, callers, time).await;
    fleet.stop().await;
    Ok((direct, through))
}

async fn run_callers(
    pool: &ThreadPool,
    to: &[std::net::SocketAddr],
    callers: usize,
    time: Duration,
) -> Measurement {
    let times: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let started = Instant::now();
    let cpu = cpu_secs();
    let tasks: Vec<_> = (0..callers)
        .map(|n| {
            let times = times.clone();
            let address = to[n % to.len()];
            let handle = pool.handle();
            pool.spawn(async move {
                let own_times = call_until(address, &handle, started + time).await;
                if let Ok(mut times) = times.lock() {
                    times.extend(own_times);
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let times = times.lock().map(|times| times.clone()).unwrap_or_default();
    let count = times.len().max(1) as f64;
    Measurement {
        call_rate: times.len() as f64 / elapsed,
        latency: Percentiles::new(times.into_iter()),
        cpu_ms: (cpu_secs() - cpu) * 1e3 / count,
    }
}

async fn call_until(to: std::net::SocketAddr, handle: &Handle, end: Instant) -> Vec<Duration> {
    let mut times = Vec::new();
    let Ok(mut sender) = client::connect(handle, to, false).await else {
        return times;
    };
    while Instant::now() < end {
        let mut request = Request::new(body::empty());
        *request.uri_mut() = http::Uri::from_static("/fast");
        let host = header::HeaderValue::from_static("load");
        request.headers_mut().insert(header::HOST, host);
        let started = Instant::now();
        if sender.ready().await.is_err() {
            break;
        }
        let Ok(response) = sender.send(request).await else {
            break;
        };
        if body::collect(response.into_body(), 1 << 20).await.is_err() {
            break;
        }
        times.push(started.elapsed());
    }
    times
}
