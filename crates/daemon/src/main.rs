//! `snipepaddled`: the daemon of an entry VM.
//!
//! The daemon validates all of its settings before it starts anything, and serves
//! until SIGTERM or SIGINT. It then waits for the calls in flight, up to the drain time
//! in the settings. It reads the settings again on SIGHUP or when the file changes.
//! Addresses that are not free do not end it; see `net::listen`.

use std::future::Future;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_signal::Signal;
use async_signal::Signals;
use conf::bounds::Bounds;
use conf::settings::Interface;
use conf::Settings;
use conf::ValidationErrors;
use futures_lite::StreamExt;
use net::client::Connector;
use net::cut::CutConnector;
use net::Stop;
use net::ThreadPool;
use node::Node;
use node::Options;

const HELP: &str = "\
snipepaddled: the daemon of an entry VM of the load balancer

Usage: snipepaddled --settings FILE

  --settings FILE   settings, JSON with comments (see docs/operate/settings.md)
  --grace SECONDS   time after SIGTERM at which the process is killed; overrides
                    grace in the settings
  --bounds LIST     bounds of the deployment, which override the settings:
                    teams=REVOKE,quotas=WINDOW:EXCESS:SLACK,
                    rollouts=SHARE:SLACK:ROLLBACK; a bound without figures
                    counts as not stated
  --check           check the settings and exit
  --help            show this text
  --version         show the version

Exit codes: 0 stopped after all calls had ended, 1 failed, 2 invalid arguments
or settings, 3 stopped while calls were still in flight, 101 panicked.
";

/// The exit code for an error while the daemon runs.
const EXIT_FAILED: u8 = 1;
/// The exit code for a panic of the main thread.
const EXIT_PANICKED: u8 = 101;
/// The exit code for invalid arguments or settings.
const EXIT_INVALID: u8 = 2;
/// The exit code for a stop that ended while calls were in flight.
const EXIT_CALLS_CUT: u8 = 3;

/// The interval at which the settings file is checked for changes, since it may change
/// without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How long the daemon waits at its start for settings that are missing or incomplete.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which such settings are read again.
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How the process ends.
struct End {
    /// The exit code.
    code: u8,
    /// The signal or the error.
    reason: String,
}

/// The parsed command line.
struct Args {
    /// The path of the settings file.
    settings: PathBuf,
    /// Whether to check the settings and exit.
    check: bool,
    /// The time after SIGTERM at which the process is killed.
    grace: Option<Duration>,
    /// The bounds of the deployment.
    bounds: Bounds,
}

impl Args {
    /// Returns `settings` with what the command line overrides.
    fn apply(&self, mut settings: Settings) -> Result<Settings, ValidationErrors> {
        settings.grace = self.grace.or(settings.grace);
        settings = self.bounds.apply(settings);
        settings.check()?;
        Ok(settings)
    }
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return report_invalid(&error),
    };
    if args.check {
        return match Settings::load(&args.settings) {
            Ok(_) => {
                println!("{}: no faults", args.settings.display());
                ExitCode::SUCCESS
            }
            Err(error) => report_invalid(&error.into()),
        };
    }
    obs::panics::install_hook();
    let mut logs = None;
    let running = || smol::block_on(run(&args, &mut logs));
    let end = match panic::catch_unwind(AssertUnwindSafe(running)) {
        Ok(Ok(end)) => end,
        Ok(Err(error)) => End::error(EXIT_FAILED, &error),
        Err(_) => End::new(EXIT_PANICKED, "panic of the main thread"),
    };
    // Writes the queued lines when it is dropped.
    let _logs = logs.or_else(start_default_logs);
    end.report()
}

impl End {
    fn new(code: u8, reason: &str) -> Self {
        let reason = reason.to_owned();
        Self { code, reason }
    }

    /// Creates the end by `error`, and prints it.
    fn error(code: u8, error: &anyhow::Error) -> Self {
        eprintln!("snipepaddled: {error:#}");
        Self::new(code, &format!("{error:#}"))
    }

    /// Logs the end of the process and returns its exit code.
    fn report(self) -> ExitCode {
        let level = match self.code {
            0 => log::Level::Info,
            _ => log::Level::Error,
        };
        log::log!(level, exit_code = self.code, reason = self.reason; "process: ended");
        ExitCode::from(self.code)
    }
}

/// Logs the limits under which the process starts, and the settings that bound its use
/// of resources.
fn log_start(settings: &Settings) {
    let limits = obs::process::limits();
    let callers = &settings.callers;
    log::info!(
        version = env!("CARGO_PKG_VERSION"),
        vm = settings.vm.as_str(),
        pid = std::process::id(),
        descriptors_max = limits.descriptors,
        address_space_max = limits.address_space,
        connections_max = callers.connections,
        buffer_bytes = callers.buffer;
        "process: started"
    );
}

/// Starts logging before the settings are known. If a logger has been started, it stays.
fn start_default_logs() -> Option<obs::logs::Handle> {
    obs::logs::start("info", true).ok()
}

/// Prints an error in the arguments or settings and returns its exit code.
fn report_invalid(error: &anyhow::Error) -> ExitCode {
    eprintln!("snipepaddled: {error:#}");
    ExitCode::from(EXIT_INVALID)
}

/// Parses the command line. Prints the help text or the version and returns `None` if
/// the command line asks for it.
fn parse_args() -> anyhow::Result<Option<Args>> {
    let mut raw_args = pico_args::Arguments::from_env();
    if raw_args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(None);
    }
    if raw_args.contains(["-V", "--version"]) {
        println!("snipepaddled {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let args = Args {
        settings: raw_args
            .value_from_str("--settings")
            .context("the option --settings FILE is required; see --help")?,
        check: raw_args.contains("--check"),
        grace: raw_args
            .opt_value_from_fn("--grace", parse_secs)
            .context("--grace needs a number of seconds, such as 6 or 7.5")?,
        bounds: raw_args
            .opt_value_from_str("--bounds")
            .context("--bounds needs a list such as quotas=5:0.1:20")?
            .unwrap_or_default(),
    };
    let rest = raw_args.finish();
    anyhow::ensure!(
        rest.is_empty(),
        "unknown argument {:?}; see --help",
        rest[0]
    );
    Ok(Some(args))
}

fn parse_secs(text: &str) -> anyhow::Result<Duration> {
    Ok(Duration::try_from_secs_f64(text.parse()?)?)
}

/// Runs the daemon until SIGTERM or SIGINT. Sets `logs` once logging has started.
async fn run(args: &Args, logs: &mut Option<obs::logs::Handle>) -> anyhow::Result<End> {
    let file = args.settings.as_path();
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let settings = match unless_stopped(load(file), &mut signals).await {
        None => return Ok(End::new(0, "stopped before it had its settings")),
        Some(Ok(settings)) => settings,
        Some(Err(error)) => return Ok(End::error(EXIT_INVALID, &error.into())),
    };
    let settings = match args.apply(settings) {
        Ok(settings) => settings,
        Err(errors) => return Ok(End::error(EXIT_INVALID, &errors.into())),
    };
    // Settings that change while the daemon starts are applied after the start.
    let mut last_text = read_settings(file);
    let started = obs::logs::start(&settings.logs.level, settings.logs.json)
        .context("logs.level is not a valid level or filter; write \"info\"")?;
    let logs = logs.insert(started);
    log_start(&settings);
    let pool = Node::new_pool(&settings)?;
    let options = node_options(&settings, &pool);
    let started = Node::start_on(pool, settings, options);
    let Some(node) = unless_stopped(started, &mut signals).await else {
        return Ok(End::new(
            0,
            "stopped before it had all addresses that it needs",
        ));
    };
    let node = node?;
    let stop = Stop::new();
    admin::serve(&node, stop.clone()).await?;
    admin::monitoring::serve(&node, stop.clone()).await?;
    let reason = loop {
        let signal = net::timeout(SETTINGS_POLL_INTERVAL, signals.next()).await;
        let requested = match signal {
            Some(Some(Ok(Signal::Hup))) => true,
            // SIGTERM or SIGINT, or signals can no longer be received. The daemon could
            // then not be asked to stop, so it stops at once.
            Some(Some(Ok(Signal::Term))) => break "SIGTERM",
            Some(Some(Ok(Signal::Int))) => break "SIGINT",
            Some(_) => break "signals can no longer be received",
            None => false,
        };
        let text = read_settings(file);
        if requested || text != last_text {
            reload(&node, logs, args, text.as_deref());
            last_text = text;
        }
    };
    let drained = node.stop().await;
    stop.trigger();
    Ok(if drained {
        End::new(0, reason)
    } else {
        End::new(EXIT_CALLS_CUT, reason)
    })
}

/// Runs `future`. Returns none if SIGTERM or SIGINT arrives first.
async fn unless_stopped<T>(future: impl Future<Output = T>, signals: &mut Signals) -> Option<T> {
    let stopped = async {
        while let Some(Ok(Signal::Hup)) = signals.next().await {}
        None
    };
    futures_lite::future::or(async { Some(future.await) }, stopped).await
}

/// Reads and checks the settings. A file that is missing or incomplete may be being written,
/// so it is read again for [`SETTINGS_TIMEOUT`].
async fn load(file: &Path) -> Result<Settings, conf::settings::Error> {
    let start = Instant::now();
    let mut reported = false;
    loop {
        match Settings::load(file) {
            Err(error) if error.may_pass() && start.elapsed() < SETTINGS_TIMEOUT => {
                if !reported {
                    eprintln!("snipepaddled: {error}; reading it again for {SETTINGS_TIMEOUT:?}");
                }
                reported = true;
                smol::Timer::after(SETTINGS_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Returns the text of the settings file, or `None` if it cannot be read.
fn read_settings(file: &Path) -> Option<String> {
    std::fs::read_to_string(file)
        .map_err(|error| log::warn!("conf: cannot read {}: {error}", file.display()))
        .ok()
}

/// Applies changed settings. Settings that are invalid or cannot be read change nothing.
fn reload(node: &Node, logs: &obs::logs::Handle, args: &Args, text: Option<&str>) {
    let Some(text) = text else {
        return;
    };
    match Settings::parse(text).and_then(|settings| args.apply(settings)) {
        Ok(settings) => {
            if let Err(error) = logs.set_level(&settings.logs.level) {
                log::warn!(
                    "conf: logs.level is invalid, the previous level stays in force: {error}"
                );
            }
            node.shared().reload(&settings);
        }
        Err(errors) => {
            log::error!("conf: the settings are invalid, the previous ones stay in force: {errors}")
        }
    }
}

/// Returns the options of the node for the platform interface that the settings name:
/// the adapter of the deployment platform for a registry, or the defaults for tickets.
fn node_options(settings: &Settings, pool: &ThreadPool) -> Options {
    let options = Options {
        connector: cut_connector(settings, pool),
        ..Options::default()
    };
    match settings.platform.interface {
        Interface::Tickets => options,
        Interface::Registry => {
            let client = platform::Client::new(settings.platform.address, pool.handle());
            Options {
                registry: Some(Arc::new(client)),
                dialect: Some(Arc::new(platform::HeaderFields)),
                ..options
            }
        }
    }
}

/// Returns the connector that injects faults if the settings ask for some.
fn cut_connector(settings: &Settings, pool: &ThreadPool) -> Option<Arc<dyn Connector>> {
    let faults = settings.faults.as_ref()?;
    let connector = Arc::new(CutConnector::new());
    let following = connector.clone().follow_file(faults.cut.clone());
    pool.handle().spawn_detached(following);
    Some(connector)
}
