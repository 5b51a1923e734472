//! One entry VM: membership, homes, configuration and callers in one process.
//!
//! [`Node::start`] runs all of it on a pool of threads. The decisions are those
//! of `member`, `route` and `conf`; this crate gives them a clock, sockets and
//! the platform, and takes their messages where they belong. State lies in
//! shards, each under its own lock, and no lock is held while another is
//! taken. See `docs/architecture.md`.

pub mod claims;
pub mod gauges;
pub mod node;
pub mod peers;
pub mod ports;
pub mod readers;
pub mod registry;
pub mod reload;
pub mod shard;
pub mod shard_table;
pub mod shared;
pub mod specs;
pub mod status;
pub mod sync;
pub mod view;

pub use node::Node;
pub use node::Options;
pub use shared::Shared;
