//! Type aliases for the ids that VMs exchange, and functions that derive the ids
//! from names.

use std::time::Duration;

use crate::hash;

/// Identifies an entry VM; the hash of its name.
pub type VmId = u64;
/// Identifies a failure domain; the hash of its name.
pub type DomainId = u64;
/// Identifies a region; the hash of its name.
pub type RegionId = u64;
/// Identifies a service; the hash of its name.
pub type ServiceId = u64;
/// Identifies a backend server; the hash of its service's name and its own name.
pub type ServerId = u64;
/// Identifies a shard of a service; each shard has a home of its own.
pub type ShardId = u64;
/// Identifies a team; the hash of its name.
pub type TeamId = u64;
/// Identifies an order of a roll-out. A later order of the same version for the same
/// service has another id.
pub type OrderId = u64;
/// The number of a ticket, which an operator assigns.
pub type TicketNo = u64;
/// The version number of a configuration object, which grows with each accepted
/// change.
pub type Revision = u64;
/// A time on the local monotonic clock, as the duration since the process start.
pub type Time = Duration;

/// Returns the id of the entry VM called `name`.
pub fn vm(name: &str) -> VmId {
    hash::of(&["vm", name])
}

/// Returns the id of the failure domain called `name`.
pub fn domain(name: &str) -> DomainId {
    hash::of(&["domain", name])
}

/// Returns the id of the region called `name`.
pub fn region(name: &str) -> RegionId {
    hash::of(&["region", name])
}

/// Returns the id of the service called `name`.
pub fn service(name: &str) -> ServiceId {
    hash::of(&["service", name])
}

/// Returns the id of the team called `name`.
pub fn team(name: &str) -> TeamId {
    hash::of(&["team", name])
}

/// Returns the id of the backend server `name` of `service`.
pub fn server(service: &str, name: &str) -> ServerId {
    hash::of(&["server", service, name])
}

/// Returns the id of shard number `n` of `service`.
///
/// Shard 0 has the id of the service.
pub fn shard(service: ServiceId, n: u32) -> ShardId {
    if n == 0 {
        return service;
    }
    hash::mix(service, u64::from(n))
}

/// Returns the id of shard number `n` of the servers of `service` in `domain`.
pub fn shard_in(service: ServiceId, domain: DomainId, n: u32) -> ShardId {
    shard(hash::mix(service, domain), n)
}
