//! `calls`: shows where the most recent calls of one VM were served.

use obs::CallRecord;
use pico_args::Arguments;

use crate::admin_client;
use crate::admin_client::AdminClient;
use crate::error::reject_unused_args;
use crate::error::Error;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let client = AdminClient::new(&mut args)?;
    let service: Option<String> = args.opt_value_from_str("--service")?;
    let most: u32 = args.opt_value_from_str("--most")?.unwrap_or(20);
    reject_unused_args(args)?;
    let mut path = format!("/v1/calls?most={most}");
    if let Some(service) = service {
        path.push_str(&format!("&service={service}"));
    }
    let bytes = client.get(&path)?;
    if client.raw {
        admin_client::print_raw(&bytes);
        return Ok(());
    }
    let calls: Vec<CallRecord> = admin_client::parse_response(&bytes)?;
    println!(
        "{:<34} {:<7} {:<24} {:>6} {:<9} {:<14} {:<16} {:>8}",
        "trace", "method", "path", "status", "outcome", "domain", "server", "us"
    );
    for call in calls {
        println!(
            "{:<34} {:<7} {:<24} {:>6} {:<9} {:<14} {:<16} {:>8}",
            call.trace,
            call.method,
            call.path,
            call.status,
            call.outcome,
            call.domain,
            call.server,
            call.took
        );
    }
    Ok(())
}
