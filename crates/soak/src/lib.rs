//! A randomized soak test. It runs real daemons as processes, injects faults from
//! outside them, and checks the load balancer's guarantees against what callers
//! and servers observed.
//!
//! A seed determines the schedule of faults and planned changes ([`schedule`]). The
//! daemons ([`vm`]) run between callers ([`caller`]) and servers ([`server`]).
//! Proxies ([`link`]) on the connections delay, reset or black-hole them. All of
//! these parts write to one [`record`], which [`verify`] checks after the run.
//! See `docs/measure/soak.md`.

pub mod caller;
pub mod http;
pub mod link;
pub mod record;
pub mod run;
pub mod schedule;
pub mod server;
pub mod verify;
pub mod vm;

pub use run::run;
pub use run::Outcome;
pub use schedule::Size;
pub use verify::Finding;
