//! Drives real daemons and stand-ins on loopback, and checks the promises.
//!
//! A [`plan::Plan`] describes a deployment, its load and its faults. A
//! [`fleet::Fleet`] starts it in one process with real sockets; latency is
//! added at the border of the transport and in the stand-ins, never in the
//! daemon. [`run`] measures one policy, [`targets`] all that the design
//! promises. See `docs/measure/load.md`.

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
