//! Derives the specifications of shards from the configuration in force.

use conf::settings::SecondAttempts;
use conf::Service;
use conf::State;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::ShardSpec;

/// Returns the specifications of the shards of all services in `region`, sorted by
/// shard id. `second_attempts` replaces the services' own limits of second attempts.
///
/// A region manages its own servers only, so that a loss of the connection between
/// regions has no effect on it.
pub fn of_state(
    state: &State,
    region: &str,
    second_attempts: Option<SecondAttempts>,
) -> Vec<ShardSpec> {
    let services = state.services.iter();
    let mut specs: Vec<ShardSpec> = services
        .map(|service| of_service(state, service, region))
        .map(|spec| with_second_attempts(spec, second_attempts))
        .flat_map(ShardSpec::shards)
        .collect();
    specs.sort_by_key(|spec| spec.shard);
    specs
}

/// The share of the fleet's slack for second attempts that one home may use. Another
/// home of the service may have used as much in the same ten seconds.
const HOME_SHARE: f64 = 0.5;
/// The share of second attempts that is reserved for retries after a failure.
const RETRY_SHARE: f64 = 0.3;

/// Replaces the service's own limits of second attempts by `limit` of the settings.
fn with_second_attempts(spec: ShardSpec, limit: Option<SecondAttempts>) -> ShardSpec {
    let Some(limit) = limit else {
        return spec;
    };
    let scale = |factor: f64, value: f64| (factor * value).floor() as u32;
    let share = limit.share * 100.0;
    let slack = f64::from(limit.slack) * HOME_SHARE;
    ShardSpec {
        retry_percent: scale(RETRY_SHARE, share),
        retry_slack: scale(RETRY_SHARE, slack),
        hedge_percent: scale(1.0 - RETRY_SHARE, share),
        hedge_slack: scale(1.0 - RETRY_SHARE, slack),
        ..spec
    }
}

/// Returns the specification of the service's servers in `region`, before it is split
/// into shards.
fn of_service(state: &State, service: &Service, region: &str) -> ShardSpec {
    let in_region = service
        .servers
        .iter()
        .filter(|server| state.is_in_region(server, region));
    let servers = in_region.map(|server| ServerSpec {
        id: server.id(&service.name),
        domain: base::id::domain(&server.domain),
        slots: server.slots,
        connections: server.connections,
        open: state.accepts_calls(server),
        announced: match server.cold {
            _ if !server.watched => Announcement::Unknown,
            0 => Announcement::Warm,
            cold_report => Announcement::Cold(cold_report),
        },
    });
    ShardSpec {
        cold_limit: service.cold.limit,
        grow_after: service.cold.grow,
        server_queues: service.queues,
        retry_percent: service.retries,
        hedge_percent: service.hedges,
        probe_cost: service.probe.cost,
        probe_share: service.probe.share,
        cold_rate: service.cold_rate,
        cold_duration: service.cold_span,
        max_deadline: service.max_deadline(),
        ..ShardSpec::new(service.id(), servers.collect())
    }
}
