//! `status`: shows what one VM knows.

use node::status::ShardStatus;
use node::status::Status;
use pico_args::Arguments;

use crate::error::finish;
use crate::error::Error;
use crate::remote;
use crate::remote::Remote;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let remote = Remote::new(&mut args)?;
    finish(args)?;
    let bytes = remote.get("/v1/status")?;
    if remote.raw {
        remote::show(&bytes);
        return Ok(());
    }
    let status: Status = remote::parse(&bytes)?;
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
    }
    if status.pauses > 0 {
        println!("this VM was paused {} times", status.pauses);
    }
    println!("\n{:<16} {:<22} health", "VM", "address");
    for vm in &status.vms {
        println!("{:<16} {:<22} {}", vm.name, vm.address, vm.health);
    }
    for shard in &status.shards {
        show(shard);
    }
    Ok(())
}

fn show(shard: &ShardStatus) {
    let home = shard.home.as_deref().unwrap_or("none followed yet");
    println!("\n{}: home {home}, epoch {}", shard.service, shard.epoch);
    if let (Some(complete), Some(waiting)) = (shard.complete, shard.waiting) {
        let word = if complete {
            "all VMs"
        } else {
            "not yet all VMs"
        };
        println!("  this VM is its home; {word} follow; {waiting} calls wait");
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
