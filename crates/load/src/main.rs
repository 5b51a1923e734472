//! `load`: the experiment tool; see `docs/measure/load.md`.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use conf::settings::Policy;
use load::fleet::FleetOptions;
use load::idle;
use load::overhead;
use load::plan::Plan;
use load::plot;
use load::report;
use load::run;
use load::targets;
use load::targets::TargetOptions;
use pico_args::Arguments;

const HELP: &str = "\
load: runs daemons against stand-ins and checks their guarantees

Usage: load COMMAND [OPTIONS]

  run FILE...              runs experiments, each under all its policies
      --load SHARE         overrides the load of the file
      --policy NAME        overrides the policies of the file
      --seed NUMBER        overrides the seed of the file
      --time SPAN          overrides the measured time of the file
      --vms NUMBER         overrides the number of entry VMs of the file
      --scattered          sends each message between VMs in its own datagram
      --report DIRECTORY   writes JSON and SVG reports
  targets                  measures the targets of the design
      --quick              takes less than a minute by measuring less
      --seed NUMBER        the seed of all runs; 1 if absent
  soak                     runs real processes under faults drawn from a seed
      --seeds FROM..TO     the seeds to run; one random seed if absent
      --regress            runs the seeds of soak/seeds.json
      --except NUMBER      leaves a seed out; may be repeated
      --size NUMBER        the number of entry VMs
      --time SPAN          the time during which faults begin
      --jobs NUMBER        the number of concurrent runs
      --daemon FILE        the program of the daemon
      --keep DIRECTORY     the directory for settings and logs
      --net NUMBER         runs one seed in this process, on 127.NUMBER.0.0
  overhead                 compares calls through one daemon with direct calls
  propagation              times a ticket until it is in force, by fleet size
  idle                     measures the cost of idle daemons, by fleet size
                           and number of services

Exit codes: 0 all guarantees and targets met, 1 some not met, 2 usage or other
error.
";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let help = args.contains(["-h", "--help"]);
    let command = args.subcommand().ok().flatten();
    let result = match command.as_deref().filter(|_| !help) {
        Some("run") => run_files(args),
        Some("targets") => measure_targets(args),
        Some("soak") => load::soak::command(args),
        Some("overhead") => measure_overhead(args),
        Some("propagation") => measure_propagation(args),
        Some("idle") => measure_idle(args),
        _ => {
            print!("{HELP}");
            return if help {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(2)
            };
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("load: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Returns an error if arguments are left that no option has consumed.
fn finish(args: Arguments) -> anyhow::Result<()> {
    let rest = args.finish();
    anyhow::ensure!(
        rest.is_empty(),
        "unknown argument {:?}; see --help",
        rest[0]
    );
    Ok(())
}

fn policy(text: &str) -> Result<Policy, String> {
    serde_json::from_value(serde_json::Value::String(text.into()))
        .map_err(|error| error.to_string())
}

/// Overrides of experiment fields, from the command line.
struct Overrides {
    load: Option<f64>,
    policy: Option<Policy>,
    seed: Option<u64>,
    time: Option<Duration>,
    vms: Option<usize>,
}

impl Overrides {
    fn new(args: &mut Arguments) -> anyhow::Result<Self> {
        Ok(Self {
            load: args.opt_value_from_str("--load")?,
            policy: args.opt_value_from_fn("--policy", policy)?,
            seed: args.opt_value_from_str("--seed")?,
            time: args.opt_value_from_fn("--time", humantime::parse_duration)?,
            vms: args.opt_value_from_str("--vms")?,
        })
    }

    fn apply(&self, plan: &mut Plan) {
        plan.load = self.load.unwrap_or(plan.load);
        plan.seed = self.seed.unwrap_or(plan.seed);
        plan.time = self.time.unwrap_or(plan.time);
        plan.vms = self.vms.unwrap_or(plan.vms);
        if let Some(policy) = self.policy {
            plan.policies = vec![policy];
        }
    }
}

fn run_files(mut args: Arguments) -> anyhow::Result<bool> {
    let overrides = Overrides::new(&mut args)?;
    let unbatched = args.contains("--scattered");
    let directory: Option<PathBuf> = args.opt_value_from_str("--report")?;
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    anyhow::ensure!(!files.is_empty(), "no experiment files given; see --help");
    let mut kept = true;
    for file in files {
        let mut plan = Plan::load(&file)?;
        overrides.apply(&mut plan);
        kept &= run_plan(&plan, unbatched, directory.as_deref())?;
    }
    Ok(kept)
}

fn run_plan(plan: &Plan, unbatched: bool, directory: Option<&Path>) -> anyhow::Result<bool> {
    let mut kept = true;
    let mut runs = Vec::new();
    for &policy in &plan.policies {
        let options = FleetOptions {
            policy,
            vms: plan.vms,
            unbatched,
        };
        let (outcome, tally) = smol::block_on(run::run(plan, &options))?;
        println!("{}", report::table(&outcome, &plan.domains));
        kept &= outcome.violations.total() == 0;
        runs.push(plot::Run { outcome, tally });
    }
    if let Some(directory) = directory {
        plot::write(directory, plan, &runs)?;
    }
    Ok(kept)
}

fn measure_targets(mut args: Arguments) -> anyhow::Result<bool> {
    let options = TargetOptions {
        quick: args.contains("--quick"),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
    };
    finish(args)?;
    let started = Instant::now();
    println!("seed {}", options.seed);
    let rows = smol::block_on(targets::measure(options, |row| println!("{}", row.text())))?;
    let met = rows.iter().filter(|row| row.is_met()).count();
    println!("{met} of {} met in {:.0?}", rows.len(), started.elapsed());
    Ok(met == rows.len())
}

fn measure_overhead(args: Arguments) -> anyhow::Result<bool> {
    finish(args)?;
    println!(
        "{:>8} {:>22} {:>22} {:>8}",
        "callers", "direct calls/s, p50 ms", "through calls/s, p50", "cpu ms"
    );
    for callers in [1, 8, 32, 128] {
        let measured = smol::block_on(overhead::measure(callers, Duration::from_secs(3)))?;
        let (direct, through) = measured;
        println!(
            "{callers:>8} {:>13.0} {:>8.3} {:>13.0} {:>8.3} {:>8.3}",
            direct.call_rate,
            direct.latency.p50,
            through.call_rate,
            through.latency.p50,
            through.cpu_ms - direct.cpu_ms
        );
    }
    Ok(true)
}

/// Fleet sizes for which the time until a ticket is in force is measured.
const FLEET_SIZES: [usize; 4] = [3, 13, 50, 100];

fn measure_propagation(args: Arguments) -> anyhow::Result<bool> {
    finish(args)?;
    println!(
        "{:>6} {:>14} {:>16}",
        "VMs", "worst of 5, s", "platform calls"
    );
    for vms in FLEET_SIZES {
        let (worst, calls) = smol::block_on(targets::propagation(vms))?;
        println!("{vms:>6} {:>14.3} {calls:>16}", worst.as_secs_f64());
    }
    Ok(true)
}

/// Fleet sizes and numbers of services for which the cost of idle daemons is
/// measured.
const IDLE_SIZES: [(usize, usize); 6] = [(3, 3), (13, 3), (50, 3), (100, 3), (13, 100), (13, 400)];

fn measure_idle(mut args: Arguments) -> anyhow::Result<bool> {
    let row: Option<usize> = args.opt_value_from_str("--row")?;
    finish(args)?;
    println!(
        "{:>5} {:>9} {:>8} {:>9} {:>11} {:>10} {:>15}",
        "VMs", "services", "% core", "bytes/s", "datagrams/s", "MB a VM", "platform calls/s"
    );
    for (index, (vms, services)) in IDLE_SIZES.into_iter().enumerate() {
        if row.is_some_and(|row| row != index) {
            continue;
        }
        let cost = smol::block_on(idle::measure(vms, services, Duration::from_secs(8)))?;
        println!(
            "{vms:>5} {services:>9} {:>8.3} {:>9.0} {:>11.1} {:>10.2} {:>15.2}",
            cost.core_percent,
            cost.byte_rate,
            cost.datagram_rate,
            cost.memory_mb,
            cost.platform_rate
        );
    }
    Ok(true)
}
