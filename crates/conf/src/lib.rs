//! Configuration: daemon settings, tickets, and the state that is in force.
//!
//! [`Settings`] belong to one daemon. A [`Ticket`] changes the [`State`] that all
//! VMs share: [`accept`] writes a ticket to the platform's store, and [`Mirror`]
//! is a VM's local copy of what was accepted. Where the platform has a service
//! registry instead, [`Catalog`] is a VM's local copy of the registry. See
//! `docs/design/configuration.md`.

pub mod accept;
pub mod audit;
pub mod bounds;
pub mod catalog;
pub mod document;
pub mod domains;
pub mod head;
pub mod layout;
pub mod mirror;
pub mod registry;
pub mod rollout;
pub mod server;
pub mod service;
pub mod settings;
pub mod state;
pub mod team;
pub mod team_table;
pub mod ticket;
pub mod validation;

pub use catalog::Catalog;
pub use domains::DomainOrders;
pub use head::Head;
pub use layout::Layout;
pub use layout::Mapping;
pub use mirror::Mirror;
pub use registry::Registry;
pub use rollout::Rollout;
pub use rollout::RolloutState;
pub use server::Server;
pub use service::Service;
pub use settings::Settings;
pub use state::State;
pub use team::Team;
pub use team_table::TeamTable;
pub use ticket::Ticket;
pub use validation::ValidationError;
pub use validation::ValidationErrors;
