//! `load`: the experiment tool.

use std::path::PathBuf;
use std::process::ExitCode;

use load::fleet::Start;
use load::plan::Plan;
use load::report;
use load::run;

fn main() -> ExitCode {
    let file: PathBuf = std::env::args().nth(1).unwrap().into();
    let plan = Plan::load(&file).unwrap();
    for &policy in &plan.policies {
        let start = Start {
            policy,
            vms: plan.vms,
            scattered: false,
        };
        let (outcome, _) = smol::block_on(run::run(&plan, &start)).unwrap();
        println!("{}", report::table(&outcome, &plan.domains));
    }
    ExitCode::SUCCESS
}
