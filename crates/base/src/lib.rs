//! Ids, time, hashing and rendezvous choice that every other crate shares.
//!
//! Ids are hashes of names, so that two VMs which hold different revisions of
//! the configuration still mean the same server by the same id. See
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
pub use clock::Clock;
pub use id::DomainId;
pub use id::RegionId;
pub use id::Revision;
pub use id::ServerId;
pub use id::ServiceId;
pub use id::ShardId;
pub use id::TicketNo;
pub use id::Time;
pub use id::VmId;
