//! `calls`: shows where the last calls of one VM were served.

use obs::CallRecord;
use pico_args::Arguments;

use crate::error::finish;
use crate::error::Error;
use crate::remote;
use crate::remote::Remote;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let remote = Remote::new(&mut args)?;
    let service: Option<String> = args.opt_value_from_str("--service")?;
    let most: u32 = args.opt_value_from_str("--most")?.unwrap_or(20);
    finish(args)?;
    let mut path = format!("/v1/calls?most={most}");
    if let Some(service) = service {
        path.push_str(&format!("&service={service}"));
    }
    let bytes = remote.get(&path)?;
    if remote.raw {
        remote::show(&bytes);
        return Ok(());
    }
    let calls: Vec<CallRecord> = remote::parse(&bytes)?;
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
