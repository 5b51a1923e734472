//! A randomized soak: real daemons as processes, faults from outside them, and
//! the promises checked from what callers and servers saw.
//!
//! A seed decides the schedule of faults and planned changes ([`schedule`]). The
//! daemons ([`vm`]) stand between callers ([`caller`]) and servers ([`server`]),
//! with proxies ([`link`]) on the way that delay, break and silence connections.
//! All of them write into one [`record`], which [`verify`] reads when the run is
//! over. See `docs/measure/soak.md`.

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
