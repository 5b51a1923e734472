//! Routing decisions: which server a call is sent to, when, and whether it is retried
//! after a failure.
//!
//! Each shard of a service has one home among the entry VMs. The home's [`Ledger`]
//! grants permits. Each entry VM's [`Follower`] requests them, and uses the VM's own
//! fallback slots while no home responds. [`Attempts`] prevents a call that is not
//! idempotent from running twice.
//!
//! Nothing in this crate does I/O or reads a clock: methods take the current time and
//! return messages, so that the same code runs in the daemon, in tests and in
//! benchmarks. See `docs/design/homes.md`.

pub mod attempts;
pub mod budget;
pub mod choose;
pub mod cold_rate;
pub mod coordinator;
pub mod crashes;
pub mod demand;
pub mod epoch;
pub mod follower;
pub mod handover;
pub mod instance;
pub mod keys;
pub mod ledger;
pub mod limit;
pub mod msg;
pub mod notices;
pub mod permits;
pub mod policy;
pub mod precedence;
pub mod queue;
pub mod quorum;
pub mod quota;
pub mod rate_limit;
pub mod rollout;
pub mod shards;
pub mod shares;
pub mod spec;
pub mod verify;
pub mod work;

pub use attempts::Attempts;
pub use coordinator::Coordinator;
pub use epoch::Epoch;
pub use epoch::HomeId;
pub use follower::Follower;
pub use ledger::Ledger;
pub use msg::AttemptId;
pub use msg::Msg;
pub use spec::ShardSpec;
