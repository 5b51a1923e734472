//! `standin`: runs a platform or a backend server, to try the daemon by hand.

use std::net::SocketAddr;
use std::time::Duration;

use base::Clock;
use net::ThreadPool;
use pico_args::Arguments;
use standin::Backend;
use standin::Model;
use standin::Platform;

use crate::error::finish;
use crate::error::Error;

/// Threads of a stand-in.
const THREADS: usize = 2;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let which = args.subcommand()?;
    let listen: SocketAddr = args.value_from_str("--listen")?;
    let pool = ThreadPool::new("standin", THREADS);
    match which.as_deref() {
        Some("platform") => {
            finish(args)?;
            let started = smol::block_on(Platform::start_at(listen, 0, pool.handle()));
            let platform = started.map_err(anyhow::Error::from)?;
            println!("platform at {}", platform.address());
        }
        Some("backend") => {
            let slots = args.opt_value_from_str("--slots")?;
            let mean = args.opt_value_from_fn("--mean", humantime::parse_duration)?;
            finish(args)?;
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
                "write standin platform --listen ADDRESS or standin backend --listen ADDRESS"
                    .into(),
            ));
        }
    }
    loop {
        std::thread::park();
    }
}
