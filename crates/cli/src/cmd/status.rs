//! `status`: shows the revisions in force, the VMs, the homes and the servers as one VM
//! sees them.

use node::status::ShardStatus;
use node::status::Status;
use pico_args::Arguments;

use crate::admin_client;
use crate::admin_client::AdminClient;
use crate::error::reject_unused_args;
use crate::error::Error;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let client = AdminClient::new(&mut args)?;
    reject_unused_args(args)?;
    let bytes = client.get("/v1/status")?;
    if client.raw {
        admin_client::print_raw(&bytes);
        return Ok(());
    }
    let status: Status = admin_client::parse_response(&bytes)?;
    println!(
        "{} in {}: revision {} and domain orders {} in force for {}, up {}",
        status.vm,
        status.domain,
        status.revision,
        status.orders,
        humantime::format_duration(status.since),
        humantime::format_duration(status.up)
    );
    if !status.out.is_empty() {
        println!("failure domains out: {}", status.out.join(", "));
    }
    if let Some(registry) = &status.registry {
        println!(
            "ticket {}, {} servers listed; confirmed {} ago{}{}",
            registry.ticket,
            registry.servers,
            humantime::format_duration(registry.age),
            if registry.reads {
                "; this VM reads for all"
            } else {
                ""
            },
            if registry.away {
                "; the store does not answer this VM"
            } else {
                ""
            }
        );
        if registry.restores > 0 {
            println!("the store was restored {} times", registry.restores);
        }
    }
    if status.pauses > 0 {
        println!("this VM was paused {} times", status.pauses);
    }
    println!("\n{:<16} {:<22} health", "VM", "address");
    for vm in &status.vms {
        println!("{:<16} {:<22} {}", vm.name, vm.address, vm.health);
    }
    for shard in &status.shards {
        print_shard(shard);
    }
    Ok(())
}

fn print_shard(shard: &ShardStatus) {
    let home = shard.home.as_deref().unwrap_or("none followed yet");
    println!("\n{}: home {home}, epoch {}", shard.service, shard.epoch);
    if let (Some(complete), Some(waiting)) = (shard.complete, shard.waiting) {
        let followers = if complete {
            "all VMs"
        } else {
            "not yet all VMs"
        };
        println!("  this VM is its home; {followers} follow; {waiting} calls wait");
    }
    if shard.alone > 0 {
        println!("  {} calls were placed without a home", shard.alone);
    }
    println!(
        "  {:<20} {:<14} {:>5} {:>5} {:>5} {:<8} {:>9}",
        "server", "domain", "slots", "limit", "busy", "warmth", "usual us"
    );
    for server in &shard.servers {
        let busy = server
            .busy
            .map_or_else(|| "-".into(), |busy| busy.to_string());
        println!(
            "  {:<20} {:<14} {:>5} {:>5} {busy:>5} {:<8} {:>9} {}",
            server.name,
            server.domain,
            server.slots,
            server.limit,
            server.warmth,
            server.usual,
            server.closed.as_deref().unwrap_or_default()
        );
    }
}
