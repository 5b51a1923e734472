//! The command that runs the soak; see `docs/measure/soak.md`.

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

/// Seeds that failed once, with their causes.
const SEEDS: &str = "soak/seeds.json";
/// Where the daemon's program is looked for.
const DAEMON: &str = "snipepaddled";
/// Runs at once; more keep each other from running.
const JOBS: usize = 4;
/// The second numbers of loopback addresses that runs use in turn.
const NETS: Range<u8> = 100..200;
/// Servers of each service for each entry VM, and callers for each.
const SERVERS_EACH: f64 = 0.8;
const CALLERS_EACH: usize = 5;
/// Steps of findings that are printed.
const STEPS: usize = 3;

/// A seed that failed once.
#[derive(Clone, Debug, Deserialize)]
struct Case {
    seed: u64,
    vms: usize,
    /// Why it failed; for readers.
    #[allow(dead_code)]
    cause: String,
}

/// What a run printed and how it ended.
struct Played {
    seed: u64,
    text: String,
    kept: bool,
}

/// One run to play.
#[derive(Clone, Copy, Debug)]
struct Job {
    seed: u64,
    size: Size,
}

fn size(vms: usize, time: Option<Duration>) -> Size {
    let usual = Size::default();
    Size {
        vms,
        servers: ((vms as f64 * SERVERS_EACH) as usize).max(usual.servers),
        callers: vms * CALLERS_EACH,
        time: time.unwrap_or(usual.time),
    }
}

fn seeds(text: &str) -> anyhow::Result<Range<u64>> {
    let (from, to) = text.split_once("..").context("write --seeds FROM..TO")?;
    Ok(from.parse()?..to.parse()?)
}

/// Runs the soak as the command line says.
pub fn command(mut args: Arguments) -> anyhow::Result<bool> {
    let regress = args.contains("--regress");
    let range = args.opt_value_from_fn("--seeds", seeds)?;
    let vms = args.opt_value_from_str("--size")?;
    let time = args.opt_value_from_fn("--time", humantime::parse_duration)?;
    let jobs = args.opt_value_from_str("--jobs")?.unwrap_or(JOBS);
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
        None => std::env::current_exe()?.with_file_name(DAEMON),
    };
    anyhow::ensure!(daemon.exists(), "{} is missing; build it", daemon.display());
    let mut list: Vec<Job> = Vec::new();
    if regress {
        let text = std::fs::read_to_string(SEEDS).context(SEEDS)?;
        let cases: Vec<Case> = serde_json::from_str(&text).context(SEEDS)?;
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
    let directory =
        keep.unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
    if let (Some(net), [job]) = (net, list.as_slice()) {
        return smol::block_on(play_here(*job, net, &daemon, &directory));
    }
    smol::block_on(play_all(list, jobs, &daemon, &directory))
}

/// Plays one run in this process.
async fn play_here(job: Job, net: u8, daemon: &Path, directory: &Path) -> anyhow::Result<bool> {
    let outcome = soak::run(job.seed, &job.size, net, daemon, directory).await?;
    print(&outcome, directory);
    let kept = outcome.findings.is_empty();
    if kept {
        // Logs of runs that kept everything are not looked at.
        let _ = std::fs::remove_dir_all(directory);
    }
    Ok(kept)
}

/// Plays one run in a process of its own, with which all that it opened ends.
async fn play_apart(job: Job, net: u8, daemon: &Path, directory: &Path) -> anyhow::Result<Played> {
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
    Ok(Played {
        seed,
        text,
        kept: output.status.success(),
    })
}

async fn play_all(
    list: Vec<Job>,
    jobs: usize,
    daemon: &Path,
    directory: &Path,
) -> anyhow::Result<bool> {
    let count = list.len();
    let turn = Arc::new(AtomicUsize::new(0));
    let work = Arc::new(std::sync::Mutex::new(list.into_iter()));
    let tasks = (0..jobs.max(1)).map(|_| {
        let (turn, work) = (turn.clone(), work.clone());
        let (daemon, directory) = (daemon.to_owned(), directory.to_owned());
        smol::spawn(async move {
            let mut broken = Vec::new();
            loop {
                let next = work.lock().map_or(None, |mut work| work.next());
                let Some(job) = next else {
                    return anyhow::Ok(broken);
                };
                let turn = turn.fetch_add(1, Ordering::SeqCst);
                let net = NETS.start + (turn % NETS.len()) as u8;
                let directory = directory.join(job.seed.to_string());
                let played = play_apart(job, net, &daemon, &directory).await?;
                print!("{}", played.text);
                if !played.kept {
                    broken.push(played.seed);
                }
            }
        })
    });
    let mut broken = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        broken.extend(task.await?);
    }
    broken.sort_unstable();
    println!("{} of {count} runs kept all promises", count - broken.len());
    if !broken.is_empty() {
        println!("broken: {broken:?}; logs in {}", directory.display());
    }
    Ok(broken.is_empty())
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
    let mut promises: Vec<&str> = outcome.findings.iter().map(|f| f.rule).collect();
    promises.sort_unstable();
    promises.dedup();
    for promise in promises {
        let of_it = outcome.findings.iter().filter(|f| f.rule == promise);
        println!("  {promise}: {} times", of_it.clone().count());
        for finding in of_it.take(STEPS) {
            println!("  {finding}");
        }
    }
    let told = outcome.findings.iter().filter_map(|finding| finding.call);
    for call in told.take(STEPS) {
        for step in soak::verify::timeline(record, call) {
            println!("    {step}");
        }
    }
    if !outcome.findings.is_empty() {
        println!("  logs in {}", directory.display());
    }
}
