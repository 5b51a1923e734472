//! `domain`: takes failure domains out of service and back in, and lists the domain
//! orders.

use conf::DomainOrders;
use pico_args::Arguments;

use crate::admin_client;
use crate::admin_client::AdminClient;
use crate::error::reject_unused_args;
use crate::error::Error;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let action = args.subcommand()?;
    let client = AdminClient::new(&mut args)?;
    let force = args.contains("--force");
    let bytes = match action.as_deref() {
        Some("list") => {
            reject_unused_args(args)?;
            client.get("/v1/domains")?
        }
        Some(way @ ("out" | "in")) => {
            let name: String = args.free_from_str()?;
            reject_unused_args(args)?;
            let query = if force { "?force=1" } else { "" };
            client.post(&format!("/v1/domains/{name}/{way}{query}"), Vec::new())?
        }
        _ => {
            return Err(Error::Usage(
                "expected domain out NAME, domain in NAME or domain list".into(),
            ));
        }
    };
    if client.raw {
        admin_client::print_raw(&bytes);
        return Ok(());
    }
    let domains: DomainOrders = admin_client::parse_response(&bytes)?;
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
