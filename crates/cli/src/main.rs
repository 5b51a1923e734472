//! `snipepaddle`: the command-line tool of operators.
//!
//! Each subcommand has a module under `cmd`. See `docs/operate/`.

mod admin_client;
mod cmd;
mod error;

use std::ffi::OsString;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::error::Error;

const HELP: &str = "\
snipepaddle: operates the entry VMs of the load balancer

Usage: snipepaddle COMMAND [OPTIONS]

  check FILE...              checks settings, tickets and experiments
  layout FILE                audits a configuration before it is sent
                             (--in-force FILE: and compares the two)
  ticket apply FILE          applies a ticket
  ticket show NUMBER         shows a ticket
  ticket list                lists the most recently accepted tickets
  domain out NAME            takes a failure domain out of service
  domain in NAME             takes it back into service
  domain list                lists the domain orders
  status                     shows revisions, VMs, homes and servers
  calls                      shows where the most recent calls were served
  trace ID                   shows the spans of a trace
  demo                       runs a whole deployment in one process
  standin platform|backend   runs a stand-in to try the daemon with

Options of commands that send requests to a VM:
  --admin ADDRESS   address of its administration API (or SNIPEPADDLE_ADMIN;
                    127.0.0.1:9100 if neither is given)
  --token-file FILE file with the access token (or SNIPEPADDLE_TOKEN)
  --json            prints the response as received

Other options: --force (ticket apply, domain out), --help, --version.

Exit codes: 0 done, 1 refused or failed, 2 invalid arguments or file,
3 the VM cannot be reached.
";

fn main() -> ExitCode {
    let raw_args = std::env::args_os().skip(1).collect();
    let mut args = Arguments::from_vec(move_leading_options(raw_args));
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
            ExitCode::from(error.exit_code())
        }
    }
}

/// The options that take a value and may precede the command.
const OPTIONS_WITH_VALUE: [&str; 2] = ["--admin", "--token-file"];

/// Moves the options that precede the command to the end of the arguments, since the
/// first argument is taken as the command.
fn move_leading_options(mut raw_args: Vec<OsString>) -> Vec<OsString> {
    let mut command_index = 0;
    while let Some(option) = raw_args.get(command_index).and_then(|arg| arg.to_str()) {
        if !option.starts_with('-') {
            break;
        }
        let has_value = OPTIONS_WITH_VALUE.contains(&option);
        command_index += if has_value { 2 } else { 1 };
    }
    let command_index = command_index.min(raw_args.len());
    raw_args.rotate_left(command_index);
    raw_args
}

fn run(command: &str, args: Arguments) -> Result<(), Error> {
    match command {
        "check" => cmd::check::run(args),
        "layout" => cmd::layout::run(args),
        "ticket" => cmd::ticket::run(args),
        "domain" => cmd::domain::run(args),
        "status" => cmd::status::run(args),
        "calls" => cmd::calls::run(args),
        "trace" => cmd::trace::run(args),
        "demo" => cmd::demo::run(args),
        "standin" => cmd::standin::run(args),
        _ => Err(Error::Usage(format!(
            "unknown command \"{command}\"; see --help"
        ))),
    }
}
