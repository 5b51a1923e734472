//! Load generator and experiment runner.
//!
//! Runs real daemons against stand-ins on loopback and checks the guarantees of
//! the load balancer. A [`plan::Plan`] describes a deployment, its load and its
//! faults. A [`fleet::Fleet`] starts the deployment in one process with real
//! sockets. Network latency is simulated in the peer transport ([`delay`]), the
//! callers and the stand-ins, never in the daemon. [`run`] measures one policy
//! and [`targets`] compares figures of several runs with the targets of the
//! design. See `docs/measure/load.md`.

pub mod callers;
pub mod checks;
pub mod delay;
pub mod faults;
pub mod fleet;
pub mod idle;
pub mod overhead;
pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
pub mod soak;
pub mod tally;
pub mod targets;
