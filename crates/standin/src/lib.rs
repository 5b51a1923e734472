//! Stand-ins for what surrounds the system: backend servers and the platform.
//!
//! They behave as the outside is described to behave, faults included, and
//! keep records from which the promises of the system can be checked. They are
//! for tests, the demo and the load tool; the daemon never uses them.

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
