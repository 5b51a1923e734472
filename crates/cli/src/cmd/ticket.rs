//! `ticket`: applies, shows and lists tickets.

use std::path::PathBuf;

use conf::head::AcceptedTicket;
use pico_args::Arguments;

use crate::admin_client;
use crate::admin_client::AdminClient;
use crate::error::reject_unused_args;
use crate::error::Error;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let action = args.subcommand()?;
    let client = AdminClient::new(&mut args)?;
    match action.as_deref() {
        Some("apply") => apply(args, &client),
        Some("show") => show(args, &client),
        Some("list") => list(args, &client),
        _ => Err(Error::Usage(
            "expected ticket apply FILE, ticket show NUMBER or ticket list".into(),
        )),
    }
}

fn apply(mut args: Arguments, client: &AdminClient) -> Result<(), Error> {
    let force = args.contains("--force");
    let file: PathBuf = args.free_from_str()?;
    reject_unused_args(args)?;
    let bytes = std::fs::read(&file)
        .map_err(|error| Error::Usage(format!("cannot read {}: {error}", file.display())))?;
    let path = if force {
        "/v1/tickets?force=1"
    } else {
        "/v1/tickets"
    };
    let response = client.post(path, bytes)?;
    if client.raw {
        admin_client::print_raw(&response);
        return Ok(());
    }
    let accepted: AcceptedTicket = admin_client::parse_response(&response)?;
    println!(
        "ticket {} is accepted as revision {}",
        accepted.ticket, accepted.revision
    );
    Ok(())
}

fn show(mut args: Arguments, client: &AdminClient) -> Result<(), Error> {
    let number: u64 = args.free_from_str()?;
    reject_unused_args(args)?;
    let value: serde_json::Value = client.get_json(&format!("/v1/tickets/{number}"))?;
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    println!("{text}");
    Ok(())
}

fn list(args: Arguments, client: &AdminClient) -> Result<(), Error> {
    reject_unused_args(args)?;
    let bytes = client.get("/v1/tickets")?;
    if client.raw {
        admin_client::print_raw(&bytes);
        return Ok(());
    }
    let tickets: Vec<AcceptedTicket> = admin_client::parse_response(&bytes)?;
    println!(
        "{:>8} {:>9} {:<16} {:<16} {:>12}",
        "ticket", "revision", "by", "applied by", "at"
    );
    for accepted in tickets {
        println!(
            "{:>8} {:>9} {:<16} {:<16} {:>12}",
            accepted.ticket, accepted.revision, accepted.by, accepted.applied, accepted.at
        );
    }
    Ok(())
}
