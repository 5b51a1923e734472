//! `ticket`: applies and shows tickets.

use std::path::PathBuf;

use conf::head::AcceptedTicket;
use pico_args::Arguments;

use crate::error::finish;
use crate::error::Error;
use crate::remote;
use crate::remote::Remote;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let action = args.subcommand()?;
    let remote = Remote::new(&mut args)?;
    match action.as_deref() {
        Some("apply") => apply(args, &remote),
        Some("show") => show(args, &remote),
        Some("list") => list(args, &remote),
        _ => Err(Error::Usage(
            "write ticket apply FILE, ticket show NUMBER or ticket list".into(),
        )),
    }
}

fn apply(mut args: Arguments, remote: &Remote) -> Result<(), Error> {
    let force = args.contains("--force");
    let file: PathBuf = args.free_from_str()?;
    finish(args)?;
    let bytes = std::fs::read(&file)
        .map_err(|error| Error::Usage(format!("cannot read {}: {error}", file.display())))?;
    let path = if force {
        "/v1/tickets?force=1"
    } else {
        "/v1/tickets"
    };
    let answer = remote.post(path, bytes)?;
    if remote.raw {
        remote::show(&answer);
        return Ok(());
    }
    let accepted: AcceptedTicket = remote::parse(&answer)?;
    println!(
        "ticket {} is accepted as revision {}",
        accepted.ticket, accepted.revision
    );
    Ok(())
}

fn show(mut args: Arguments, remote: &Remote) -> Result<(), Error> {
    let number: u64 = args.free_from_str()?;
    finish(args)?;
    let value: serde_json::Value = remote.read(&format!("/v1/tickets/{number}"))?;
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    println!("{text}");
    Ok(())
}

fn list(args: Arguments, remote: &Remote) -> Result<(), Error> {
    finish(args)?;
    let bytes = remote.get("/v1/tickets")?;
    if remote.raw {
        remote::show(&bytes);
        return Ok(());
    }
    let all: Vec<AcceptedTicket> = remote::parse(&bytes)?;
    println!(
        "{:>8} {:>9} {:<16} {:<16} {:>12}",
        "ticket", "revision", "by", "applied by", "at"
    );
    for accepted in all {
        println!(
            "{:>8} {:>9} {:<16} {:<16} {:>12}",
            accepted.ticket, accepted.revision, accepted.by, accepted.applied, accepted.at
        );
    }
    Ok(())
}
