//! `domain`: takes failure domains out of service and brings them back.

use conf::DomainOrders;
use pico_args::Arguments;

use crate::error::finish;
use crate::error::Error;
use crate::remote;
use crate::remote::Remote;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let action = args.subcommand()?;
    let remote = Remote::new(&mut args)?;
    let force = args.contains("--force");
    let bytes = match action.as_deref() {
        Some("list") => {
            finish(args)?;
            remote.get("/v1/domains")?
        }
        Some(way @ ("out" | "in")) => {
            let name: String = args.free_from_str()?;
            finish(args)?;
            let query = if force { "?force=1" } else { "" };
            remote.post(&format!("/v1/domains/{name}/{way}{query}"), Vec::new())?
        }
        _ => {
            return Err(Error::Usage(
                "write domain out NAME, domain in NAME or domain list".into(),
            ));
        }
    };
    if remote.raw {
        remote::show(&bytes);
        return Ok(());
    }
    let domains: DomainOrders = remote::parse(&bytes)?;
    println!("orders, revision {}:", domains.revision);
    for order in domains.orders {
        let way = if order.out { "out" } else { "in" };
        println!(
            "  {:<16} {way:<4} by {} at {}",
            order.domain, order.by, order.at
        );
    }
    Ok(())
}
