//! Decisions about calls: which server, when, and what a failure allows.
//!
//! Each shard of a service has one home among the entry VMs. The home's
//! [`Ledger`] grants permits; each entry VM's [`Follower`] asks for them and
//! falls back to its own part of the slots when no home answers. [`Attempts`]
//! keeps a call from running twice. Nothing in this crate does I/O or reads a
//! clock: calls take the time and return messages, so that the same code runs
//! in the daemon, in tests and in benchmarks. See `docs/design/homes.md`.

pub mod attempts;
pub mod budget;
pub mod choose;
pub mod coordinator;
pub mod epoch;
pub mod follower;
pub mod handover;
pub mod keys;
pub mod ledger;
pub mod limit;
pub mod msg;
pub mod permits;
pub mod policy;
pub mod queue;
pub mod quorum;
pub mod shards;
pub mod spec;
pub mod verify;

pub use attempts::Attempts;
pub use coordinator::Coordinator;
pub use epoch::Epoch;
pub use follower::Follower;
pub use ledger::Ledger;
pub use msg::AttemptId;
pub use msg::Msg;
pub use spec::ShardSpec;
