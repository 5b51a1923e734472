//! `demo`: the whole system at work in one process.
//!
//! It starts the platform, backend servers in three failure domains and three
//! entry VMs, applies a ticket, sends calls of both kinds, takes a failure
//! domain out and brings it back, and shows where everything was served. It
//! fails if a promise broke.

use load::fleet::FleetOptions;
use load::plan::Plan;
use load::report;
use load::run;
use pico_args::Arguments;

use crate::error::finish;
use crate::error::Error;

/// What the demo runs.
const PLAN: &str = include_str!("demo.json");

pub(crate) fn run(args: Arguments) -> Result<(), Error> {
    finish(args)?;
    let plan = Plan::parse(PLAN).map_err(|faults| Error::Faults(faults.to_string()))?;
    let options = FleetOptions {
        policy: plan.policies[0],
        vms: plan.vms,
        unbatched: false,
    };
    println!(
        "{} entry VMs, {} services, {} failure domains; {} goes out after 2 s and \
         comes back after 5 s\n",
        plan.vms,
        plan.services.len(),
        plan.domains.len(),
        plan.domains[0]
    );
    let (outcome, _) = smol::block_on(run::run(&plan, &options))?;
    print!("{}", report::table(&outcome, &plan.domains));
    println!(
        "the domain that was out began its last call {:?} after the order",
        outcome.late
    );
    if outcome.violations.total() > 0 {
        return Err(Error::Refused("a promise broke; see above".into()));
    }
    println!("no promise broke");
    Ok(())
}
