//! The cells of all shards, found by shard or by service.

use std::sync::Arc;

use base::ServiceId;
use base::ShardId;

use crate::shard::ShardState;

/// The cells; the table is replaced whole when the configuration changes.
#[derive(Clone, Default)]
pub struct ShardTable {
    shards: Vec<Arc<ShardState>>,
    services: Vec<(ServiceId, Arc<ShardState>)>,
}

impl ShardTable {
    /// Makes the table of `cells`.
    pub fn new(mut shards: Vec<Arc<ShardState>>) -> Self {
        shards.sort_by_key(|shard| shard.id);
        let mut services: Vec<_> = shards.iter().map(|c| (c.service, c.clone())).collect();
        services.sort_by_key(|(service, shard)| (*service, shard.id));
        Self { shards, services }
    }

    /// Returns all cells, sorted by shard.
    pub fn shards(&self) -> &[Arc<ShardState>] {
        &self.shards
    }

    /// Returns the cell of `shard`.
    pub fn get(&self, shard: ShardId) -> Option<&Arc<ShardState>> {
        let index = self.shards.binary_search_by_key(&shard, |shard| shard.id);
        index.ok().map(|index| &self.shards[index])
    }

    /// Returns the cells of `service`.
    pub fn of_service(&self, service: ServiceId) -> &[(ServiceId, Arc<ShardState>)] {
        let from = self.services.partition_point(|(id, _)| *id < service);
        let to = self.services.partition_point(|(id, _)| *id <= service);
        &self.services[from..to]
    }
}
