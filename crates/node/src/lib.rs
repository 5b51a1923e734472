//! Runs one entry VM: membership, coordinators, configuration and the proxy for
//! callers in one process.
//!
//! [`Node::start`] starts all of them on a pool of threads. The crates `member`,
//! `route` and `conf` make the decisions without any I/O; this crate supplies the
//! clock, the sockets and the platform client, and delivers their messages. Each
//! shard keeps its state under its own locks ([`shard::ShardState`]), and no lock
//! of a shard is held while another lock is taken. See `docs/architecture.md`.

pub mod claims;
pub mod crashes;
pub mod gauges;
pub mod node;
pub mod peers;
pub mod ports;
pub mod quotas;
pub mod reach;
pub mod readers;
pub mod registry;
pub mod reload;
pub mod restores;
pub mod rollout_table;
pub mod rollouts;
pub mod shard;
pub mod shard_table;
pub mod shared;
pub mod specs;
pub mod status;
pub mod sync;
pub mod view;
pub mod view_schedule;

pub use node::Node;
pub use node::Options;
pub use shared::Shared;
