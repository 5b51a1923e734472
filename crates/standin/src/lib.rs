//! Stand-ins for the systems around the load balancer: backend servers and the
//! platform.
//!
//! They imitate the specified behavior of those systems, faults included, and
//! keep records from which the guarantees of the load balancer can be checked.
//! They serve tests, the demo and the load tool; the daemon never uses them.

pub mod backend;
pub mod model;
pub mod platform;
pub mod record;
pub mod store;
pub mod timer;

pub use backend::Backend;
pub use model::Model;
pub use platform::Platform;
pub use store::MemoryStore;
pub use timer::sleep;
