//! The cells of all shards, found by shard or by service.

use std::sync::Arc;

use base::ServiceId;
use base::ShardId;

use crate::cell::Cell;

/// The cells; the table is replaced whole when the configuration changes.
#[derive(Clone, Default)]
pub struct Table {
    cells: Vec<Arc<Cell>>,
    services: Vec<(ServiceId, Arc<Cell>)>,
}

impl Table {
    /// Makes the table of `cells`.
    pub fn new(mut cells: Vec<Arc<Cell>>) -> Self {
        cells.sort_by_key(|cell| cell.shard);
        let mut services: Vec<_> = cells.iter().map(|c| (c.service, c.clone())).collect();
        services.sort_by_key(|(service, cell)| (*service, cell.shard));
        Self { cells, services }
    }

    /// Returns all cells, sorted by shard.
    pub fn cells(&self) -> &[Arc<Cell>] {
        &self.cells
    }

    /// Returns the cell of `shard`.
    pub fn shard(&self, shard: ShardId) -> Option<&Arc<Cell>> {
        let at = self.cells.binary_search_by_key(&shard, |cell| cell.shard);
        at.ok().map(|at| &self.cells[at])
    }

    /// Returns the cells of `service`.
    pub fn service(&self, service: ServiceId) -> &[(ServiceId, Arc<Cell>)] {
        let from = self.services.partition_point(|(id, _)| *id < service);
        let to = self.services.partition_point(|(id, _)| *id <= service);
        &self.services[from..to]
    }
}
