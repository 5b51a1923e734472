//! `snipepaddled`: one entry VM as a process.
//!
//! It reads its settings, checks them whole before anything starts, serves
//! until SIGTERM or SIGINT, and then stops without cutting off a call. SIGHUP
//! has it read the settings again.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use async_signal::Signal;
use async_signal::Signals;
use conf::settings::Interface;
use conf::Settings;
use futures_lite::StreamExt;
use net::Stop;
use net::ThreadPool;
use node::Node;
use node::Options;

/// The text of `--help`.
const HELP: &str = "\
snipepaddled: one entry VM of the load balancer

Usage: snipepaddled --settings FILE

  --settings FILE   settings, JSON with comments (see docs/operate/settings.md)
  --check           only check the settings
  --help            show this text
  --version         show the version

Exit codes: 0 stopped with all calls ended, 1 failed, 2 bad use or settings,
3 stopped while calls were still in flight.
";

/// The exit code for bad use and bad settings.
const BAD_USE: u8 = 2;
/// The exit code for a stop that cut calls off.
const CUT: u8 = 3;

/// The time between two looks whether the settings file has changed: it may
/// change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// What the command line asks for.
struct Asked {
    settings: PathBuf,
    check: bool,
}

fn main() -> ExitCode {
    let asked = match parse() {
        Ok(Some(asked)) => asked,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return complain(&error),
    };
    let settings = match Settings::load(&asked.settings) {
        Ok(settings) => settings,
        Err(error) => return complain(&error.into()),
    };
    if asked.check {
        println!("{}: no faults", asked.settings.display());
        return ExitCode::SUCCESS;
    }
    match smol::block_on(run(settings, &asked.settings)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(CUT),
        Err(error) => {
            eprintln!("snipepaddled: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn complain(error: &anyhow::Error) -> ExitCode {
    eprintln!("snipepaddled: {error:#}");
    ExitCode::from(BAD_USE)
}

fn parse() -> anyhow::Result<Option<Asked>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(None);
    }
    if args.contains(["-V", "--version"]) {
        println!("snipepaddled {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let asked = Asked {
        settings: args
            .value_from_str("--settings")
            .context("write --settings FILE; see --help")?,
        check: args.contains("--check"),
    };
    let rest = args.finish();
    anyhow::ensure!(
        rest.is_empty(),
        "unknown argument {:?}; see --help",
        rest[0]
    );
    Ok(Some(asked))
}

async fn run(settings: Settings, file: &Path) -> anyhow::Result<bool> {
    let logs = obs::logs::start(&settings.logs.level, settings.logs.json)
        .context("logs.level is not a level or filter; write \"info\"")?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let pool = Node::new_pool(&settings);
    let options = options(&settings, &pool);
    let node = Node::start_on(pool, settings, options).await?;
    let stop = Stop::new();
    admin::serve(&node, stop.clone()).await?;
    admin::watch::serve(&node, stop.clone()).await?;
    let mut known = read(file);
    loop {
        let signal = net::timeout(LOOK, signals.next()).await;
        let asked = match signal {
            Some(Some(Ok(Signal::Hup))) => true,
            // Without signals nobody can ask for anything else.
            Some(_) => break,
            None => false,
        };
        let text = read(file);
        if asked || text != known {
            reload(&node, &logs, text.as_deref());
            known = text;
        }
    }
    let ended = node.stop().await;
    stop.trigger();
    Ok(ended)
}

fn read(file: &Path) -> Option<String> {
    std::fs::read_to_string(file)
        .map_err(|error| log::warn!("conf: cannot read {}: {error}", file.display()))
        .ok()
}

/// Takes changed settings; ones with faults change nothing.
fn reload(node: &Node, logs: &obs::logs::Handle, text: Option<&str>) {
    let Some(text) = text else {
        return;
    };
    match Settings::parse(text) {
        Ok(settings) => {
            if let Err(error) = logs.set_level(&settings.logs.level) {
                log::warn!("conf: logs.level stays as it was: {error}");
            }
            node.shared().reload(&settings);
        }
        Err(faults) => log::error!("conf: the settings stay as they were: {faults}"),
    }
}

/// Chooses the adapter of the platform that the settings name.
fn options(settings: &Settings, pool: &ThreadPool) -> Options {
    match settings.platform.interface {
        Interface::Tickets => Options::default(),
        Interface::Registry => {
            let client = platform::Client::new(settings.platform.address, pool.handle());
            Options {
                registry: Some(Arc::new(client)),
                dialect: Some(Arc::new(platform::HeaderFields)),
                ..Options::default()
            }
        }
    }
}
