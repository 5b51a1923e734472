//! Membership of the entry VMs: who is alive, as one VM sees it.
//!
//! The algorithm is SWIM's: each period one peer is pinged, a silent one is
//! pinged through others, then suspected, then declared dead unless it refutes
//! with a higher incarnation. News travels on pings and answers, so the cost
//! of a VM does not depend on the size of the fleet. The crate does no I/O:
//! [`Membership`] takes messages and times and returns messages to send. See
//! `docs/design/membership.md`.

pub mod membership;
pub mod msg;
pub mod peer;
pub mod update;

pub use membership::Action;
pub use membership::Config;
pub use membership::Membership;
pub use msg::Msg;
pub use msg::Revisions;
pub use peer::Health;
pub use peer::Incarnation;
pub use peer::Peer;
pub use peer::Profile;
