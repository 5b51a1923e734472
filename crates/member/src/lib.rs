//! Membership of the entry VMs: which VMs are alive, as seen by one of them.
//!
//! The protocol is SWIM. In each period a VM pings one peer. A peer that does not
//! respond is pinged through other peers, then suspected, and then declared dead
//! unless it refutes the suspicion with a higher incarnation. Gossip updates are
//! piggybacked on pings and acks, so the load on a VM does not depend on the size
//! of the fleet. The crate does no I/O: [`Membership`] takes messages and times and
//! returns messages to send. See `docs/design/membership.md`.

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
