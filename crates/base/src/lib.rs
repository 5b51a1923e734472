//! Ids, time, units, hashing and rendezvous hashing, shared by all crates.
//!
//! Ids are hashes of names, so that the same id denotes the same server on two
//! VMs that have different revisions of the configuration. See
//! `docs/architecture.md` for how the crates fit together.

pub mod call;
pub mod clock;
pub mod hash;
pub mod id;
pub mod rendezvous;
pub mod revisions;
pub mod units;

pub use call::Class;
pub use call::Outcome;
pub use call::Rank;
pub use clock::Clock;
pub use id::DomainId;
pub use id::OrderId;
pub use id::RegionId;
pub use id::Revision;
pub use id::ServerId;
pub use id::ServiceId;
pub use id::ShardId;
pub use id::TeamId;
pub use id::TicketNo;
pub use id::Time;
pub use id::VmId;
