//! `standin`: runs a stand-in for the platform or for a backend server, to try the
//! daemon with.

use std::net::SocketAddr;
use std::time::Duration;

use base::Clock;
use net::ThreadPool;
use pico_args::Arguments;
use standin::Backend;
use standin::Model;
use standin::Platform;

use crate::error::reject_unused_args;
use crate::error::Error;

/// The number of worker threads of a stand-in.
const WORKER_THREADS: usize = 2;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let kind = args.subcommand()?;
    let listen: SocketAddr = args.value_from_str("--listen")?;
    let pool = ThreadPool::new("standin", WORKER_THREADS);
    match kind.as_deref() {
        Some("platform") => {
            reject_unused_args(args)?;
            let started = smol::block_on(Platform::start_at(listen, 0, pool.handle()));
            let platform = started.map_err(anyhow::Error::from)?;
            println!("platform at {}", platform.address());
        }
        Some("backend") => {
            let slots = args.opt_value_from_str("--slots")?;
            let mean = args.opt_value_from_fn("--mean", humantime::parse_duration)?;
            reject_unused_args(args)?;
            let model = Model {
                slots: slots.unwrap_or(Model::default().slots),
                service_time: mean.unwrap_or(Duration::from_millis(10)),
                ..Model::default()
            };
            let started = Backend::start_at(listen, model, Clock::new(), pool.handle());
            let backend = smol::block_on(started).map_err(anyhow::Error::from)?;
            println!("backend server at {}", backend.address());
        }
        _ => {
            return Err(Error::Usage(
                "expected standin platform --listen ADDRESS or standin backend --listen ADDRESS"
                    .into(),
            ));
        }
    }
    // The stand-in runs on the threads of the pool until the process is killed.
    loop {
        std::thread::park();
    }
}
