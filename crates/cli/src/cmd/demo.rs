//! `demo`: runs a whole deployment in one process.
//!
//! The demo starts stand-ins for the platform and for backend servers in three failure
//! domains, starts three entry VMs, and applies a ticket. It then sends calls that may
//! run twice and calls that must not, takes a failure domain out of service and back
//! in, and prints where the calls were served. It fails if a guarantee of the load
//! balancer was violated.

use load::fleet::FleetOptions;
use load::plan::Plan;
use load::report;
use load::run;
use pico_args::Arguments;

use crate::error::reject_unused_args;
use crate::error::Error;

/// The experiment that the demo runs.
const PLAN: &str = include_str!("demo.json");

pub(crate) fn run(args: Arguments) -> Result<(), Error> {
    reject_unused_args(args)?;
    let plan = Plan::parse(PLAN).map_err(|errors| Error::InvalidFile(errors.to_string()))?;
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
        return Err(Error::Refused("a guarantee was violated; see above".into()));
    }
    println!("no guarantee was violated");
    Ok(())
}
