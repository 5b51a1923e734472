//! `snipepaddle`: what operators use.
//!
//! Each subcommand has a file of its own under `cmd`. See `docs/operate/`.

mod cmd;
mod error;
mod remote;

use std::ffi::OsString;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::error::Error;

/// The text of `--help`.
const HELP: &str = "\
snipepaddle: operates a load balancer's entry VMs

Usage: snipepaddle COMMAND [OPTIONS]

  check FILE...              checks settings, tickets and experiments
  ticket apply FILE          applies a ticket
  ticket show NUMBER         shows a ticket
  ticket list                lists the last accepted tickets
  domain out NAME            takes a failure domain out of service
  domain in NAME             brings it back
  domain list                lists the orders about failure domains
  status                     shows what is in force, VMs, homes and servers
  calls                      shows where the last calls were served
  trace ID                   shows the spans of a trace
  demo                       shows the whole system at work in one process
  standin platform|backend   runs a stand-in, to try the daemon by hand

Options of commands that talk to a VM:
  --admin ADDRESS   its administration API (or SNIPEPADDLE_ADMIN;
                    127.0.0.1:9100 if neither is given)
  --token-file FILE a file with the access token (or SNIPEPADDLE_TOKEN)
  --json            the answer as it came

Other options: --force (ticket apply, domain out), --help, --version.

Exit codes: 0 done, 1 refused or failed, 2 bad use or faults in a file,
3 the VM cannot be reached.
";

fn main() -> ExitCode {
    let given = std::env::args_os().skip(1).collect();
    let mut args = Arguments::from_vec(command_first(given));
    if args.contains(["-V", "--version"]) {
        println!("snipepaddle {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let help = args.contains(["-h", "--help"]);
    let command = args.subcommand().ok().flatten();
    let Some(command) = command.filter(|_| !help) else {
        print!("{HELP}");
        return if help {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(2)
        };
    };
    match run(&command, args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snipepaddle: {error}");
            ExitCode::from(error.code())
        }
    }
}

/// Options that have a value.
const WITH_VALUE: [&str; 2] = ["--admin", "--token-file"];

/// Moves options that stand before the command behind everything else, where
/// the commands look for them.
fn command_first(mut given: Vec<OsString>) -> Vec<OsString> {
    let mut end = 0;
    while let Some(option) = given.get(end).and_then(|arg| arg.to_str()) {
        if !option.starts_with('-') {
            break;
        }
        let has_value = WITH_VALUE.contains(&option);
        end += if has_value { 2 } else { 1 };
    }
    let end = end.min(given.len());
    given.rotate_left(end);
    given
}

fn run(command: &str, args: Arguments) -> Result<(), Error> {
    match command {
        "check" => cmd::check::run(args),
        "ticket" => cmd::ticket::run(args),
        "domain" => cmd::domain::run(args),
        "status" => cmd::status::run(args),
        "calls" => cmd::calls::run(args),
        "trace" => cmd::trace::run(args),
        "demo" => cmd::demo::run(args),
        "standin" => cmd::standin::run(args),
        _ => Err(Error::Usage(format!(
            "there is no command \"{command}\"; see --help"
        ))),
    }
}
