//! Turns the configuration in force into what the decisions need.

use conf::Service;
use conf::State;
use route::spec::ServerSpec;
use route::spec::Start;
use route::Spec;

/// Returns the shards of all services in `region`, sorted by id.
///
/// A region looks after its own servers only, so that regions that lose each
/// other go on as they are.
pub fn of_state(state: &State, region: &str) -> Vec<Spec> {
    let all = state.services.iter();
    let mut specs: Vec<Spec> = all
        .flat_map(|service| of_service(state, service, region).shards())
        .collect();
    specs.sort_by_key(|spec| spec.shard);
    specs
}

fn of_service(state: &State, service: &Service, region: &str) -> Spec {
    let near = service
        .servers
        .iter()
        .filter(|server| state.is_near(server, region));
    let servers = near.map(|server| ServerSpec {
        id: server.id(&service.name),
        domain: base::id::domain(&server.domain),
        slots: server.slots,
        connections: server.connections,
        open: state.takes_work(server),
        start: match server.cold {
            _ if !server.watched => Start::Unknown,
            0 => Start::Warm,
            said => Start::Cold(said),
        },
    });
    Spec {
        cold_limit: service.cold.limit,
        grow_after: service.cold.grow,
        queues: service.queues,
        retry_percent: service.retries,
        hedge_percent: service.hedges,
        probe_cost: service.probe.cost,
        probe_share: service.probe.share,
        cold_rate: service.cold_rate,
        longest: service.longest(),
        ..Spec::new(service.id(), servers.collect())
    }
}
