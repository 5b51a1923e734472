//! Looks up the state of shards by shard or by service.

use std::sync::Arc;

use base::ServiceId;
use base::ShardId;

use crate::shard::ShardState;

/// The state of all shards. The table is never changed but replaced as a whole when
/// the configuration or the membership changes.
#[derive(Clone, Default)]
pub struct ShardTable {
    shards: Vec<Arc<ShardState>>,
    services: Vec<(ServiceId, Arc<ShardState>)>,
}

impl ShardTable {
    /// Makes a table of `shards`.
    pub fn new(mut shards: Vec<Arc<ShardState>>) -> Self {
        shards.sort_by_key(|shard| shard.id);
        let mut services: Vec<_> = shards.iter().map(|s| (s.service, s.clone())).collect();
        services.sort_by_key(|(service, shard)| (*service, shard.id));
        Self { shards, services }
    }

    /// Returns all shards, sorted by id.
    pub fn shards(&self) -> &[Arc<ShardState>] {
        &self.shards
    }

    /// Returns the state of `shard`, if the table has it.
    pub fn get(&self, shard: ShardId) -> Option<&Arc<ShardState>> {
        let index = self.shards.binary_search_by_key(&shard, |shard| shard.id);
        index.ok().map(|index| &self.shards[index])
    }

    /// Returns the shards of `service`, sorted by id; empty if the service is unknown.
    pub fn of_service(&self, service: ServiceId) -> &[(ServiceId, Arc<ShardState>)] {
        let start = self.services.partition_point(|(id, _)| *id < service);
        let end = self.services.partition_point(|(id, _)| *id <= service);
        &self.services[start..end]
    }
}
