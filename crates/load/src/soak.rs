//! The command `load soak`: runs the soak test with one or more seeds. See
//! `docs/measure/soak.md`.

use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use pico_args::Arguments;
use serde::Deserialize;
use soak::Outcome;
use soak::Size;

/// File of seeds that failed in the past, with their causes.
const SEEDS_FILE: &str = "soak/seeds.json";
/// File name of the daemon's program, which by default is looked for in the
/// directory of this program.
const DAEMON_FILE: &str = "snipepaddled";
/// Default number of concurrent runs; more compete for the processors.
const DEFAULT_JOBS: usize = 4;
/// Second octets of the loopback addresses that concurrent runs use in turn.
const NETS: Range<u8> = 100..200;
/// Number of servers of each service per entry VM.
const SERVERS_PER_VM: f64 = 0.8;
const CALLERS_PER_VM: usize = 5;
/// Largest number of findings printed for each rule, and of calls whose steps
/// are printed.
const PRINTED_MAX: usize = 3;

/// An entry of [`SEEDS_FILE`].
#[derive(Clone, Debug, Deserialize)]
struct FailedSeed {
    seed: u64,
    vms: usize,
    /// Why the run failed; information for readers of the file.
    #[allow(dead_code)]
    cause: String,
}

/// Result of a run in a child process.
struct RunResult {
    seed: u64,
    text: String,
    passed: bool,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
struct Job {
    seed: u64,
    size: Size,
}

/// Returns the size of a run with `vms` entry VMs. Servers and callers grow with
/// the number of VMs; `time` overrides the default time.
fn size(vms: usize, time: Option<Duration>) -> Size {
    let default = Size::default();
    Size {
        vms,
        servers: ((vms as f64 * SERVERS_PER_VM) as usize).max(default.servers),
        callers: vms * CALLERS_PER_VM,
        time: time.unwrap_or(default.time),
    }
}

fn parse_seeds(text: &str) -> anyhow::Result<Range<u64>> {
    let (from, to) = text.split_once("..").context("write --seeds FROM..TO")?;
    Ok(from.parse()?..to.parse()?)
}

/// Runs the soak test as `args` say. Returns whether all runs met all guarantees.
pub fn command(mut args: Arguments) -> anyhow::Result<bool> {
    let regress = args.contains("--regress");
    let except: Vec<u64> = args.values_from_str("--except")?;
    let range = args.opt_value_from_fn("--seeds", parse_seeds)?;
    let vms = args.opt_value_from_str("--size")?;
    let time = args.opt_value_from_fn("--time", humantime::parse_duration)?;
    let jobs = args.opt_value_from_str("--jobs")?.unwrap_or(DEFAULT_JOBS);
    let daemon: Option<PathBuf> = args.opt_value_from_str("--daemon")?;
    let keep: Option<PathBuf> = args.opt_value_from_str("--keep")?;
    let net: Option<u8> = args.opt_value_from_str("--net")?;
    let rest = args.finish();
    anyhow::ensure!(
        rest.is_empty(),
        "unknown argument {:?}; see --help",
        rest[0]
    );
    let daemon = match daemon {
        Some(daemon) => daemon,
        None => std::env::current_exe()?.with_file_name(DAEMON_FILE),
    };
    anyhow::ensure!(
        daemon.exists(),
        "the daemon's program {} is missing; build it",
        daemon.display()
    );
    let mut list: Vec<Job> = Vec::new();
    if regress {
        let text = std::fs::read_to_string(SEEDS_FILE).context(SEEDS_FILE)?;
        let cases: Vec<FailedSeed> = serde_json::from_str(&text).context(SEEDS_FILE)?;
        list.extend(cases.into_iter().map(|case| Job {
            seed: case.seed,
            size: size(case.vms, None),
        }));
    }
    let fresh = fastrand::u64(..1 << 32);
    let range = match range {
        Some(range) => range,
        None if regress => 0..0,
        None => fresh..fresh + 1,
    };
    let size = size(vms.unwrap_or(Size::default().vms), time);
    list.extend(range.map(|seed| Job { seed, size }));
    list.retain(|job| !except.contains(&job.seed));
    let directory =
        keep.unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
    if let (Some(net), [job]) = (net, list.as_slice()) {
        return smol::block_on(run_in_process(*job, net, &daemon, &directory));
    }
    smol::block_on(run_all(list, jobs, &daemon, &directory))
}

/// Runs one seed in this process. Removes the logs unless a rule was violated,
/// since only then are they needed.
async fn run_in_process(
    job: Job,
    net: u8,
    daemon: &Path,
    directory: &Path,
) -> anyhow::Result<bool> {
    let outcome = soak::run(job.seed, &job.size, net, daemon, directory).await?;
    print(&outcome, directory);
    let passed = outcome.findings.is_empty();
    if passed {
        let _ = std::fs::remove_dir_all(directory);
    }
    Ok(passed)
}

/// Runs one seed in a child process, so that everything the run opened is closed
/// when the child exits.
async fn run_in_child(
    job: Job,
    net: u8,
    daemon: &Path,
    directory: &Path,
) -> anyhow::Result<RunResult> {
    let (seed, size) = (job.seed, job.size);
    let output = smol::process::Command::new(std::env::current_exe()?)
        .arg("soak")
        .args(["--seeds", &format!("{seed}..{}", seed + 1)])
        .args(["--size", &size.vms.to_string()])
        .args(["--time", &humantime::format_duration(size.time).to_string()])
        .args(["--net", &net.to_string()])
        .arg("--daemon")
        .arg(daemon)
        .arg("--keep")
        .arg(directory)
        .output()
        .await?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text += &String::from_utf8_lossy(&output.stderr);
    Ok(RunResult {
        seed,
        text,
        passed: output.status.success(),
    })
}

/// Runs all of `list`, `jobs` at a time. Returns whether all runs passed.
async fn run_all(
    list: Vec<Job>,
    jobs: usize,
    daemon: &Path,
    directory: &Path,
) -> anyhow::Result<bool> {
    let count = list.len();
    let started = Arc::new(AtomicUsize::new(0));
    let queue = Arc::new(std::sync::Mutex::new(list.into_iter()));
    let tasks = (0..jobs.max(1)).map(|_| {
        let (started, queue) = (started.clone(), queue.clone());
        let (daemon, directory) = (daemon.to_owned(), directory.to_owned());
        smol::spawn(async move {
            let mut failed = Vec::new();
            loop {
                let next = queue.lock().map_or(None, |mut queue| queue.next());
                let Some(job) = next else {
                    return anyhow::Ok(failed);
                };
                let started = started.fetch_add(1, Ordering::SeqCst);
                let net = NETS.start + (started % NETS.len()) as u8;
                let directory = directory.join(job.seed.to_string());
                let result = run_in_child(job, net, &daemon, &directory).await?;
                print!("{}", result.text);
                if !result.passed {
                    failed.push(result.seed);
                }
            }
        })
    });
    let mut failed = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        failed.extend(task.await?);
    }
    failed.sort_unstable();
    println!("{} of {count} runs kept all promises", count - failed.len());
    if !failed.is_empty() {
        println!("broken: {failed:?}; logs in {}", directory.display());
    }
    Ok(failed.is_empty())
}

fn print(outcome: &Outcome, directory: &Path) {
    let record = &outcome.record;
    println!(
        "seed {}: {} events, {} requests, {} arrivals, {} stalls, {} broken",
        outcome.seed,
        outcome.events.len(),
        record.requests.len(),
        record.arrivals.len(),
        record.stalls.len(),
        outcome.findings.len()
    );
    let mut rules: Vec<&str> = outcome.findings.iter().map(|f| f.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    for rule in rules {
        let violations = outcome.findings.iter().filter(|f| f.rule == rule);
        println!("  {rule}: {} times", violations.clone().count());
        for finding in violations.take(PRINTED_MAX) {
            println!("  {finding}");
        }
    }
    let calls = outcome.findings.iter().filter_map(|finding| finding.call);
    for call in calls.take(PRINTED_MAX) {
        for step in soak::verify::timeline(record, call) {
            println!("    {step}");
        }
    }
    if !outcome.findings.is_empty() {
        println!("  logs in {}", directory.display());
    }
}
