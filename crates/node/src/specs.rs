//! Turns the configuration in force into what the decisions need.

use conf::settings::SecondAttempts;
use conf::Service;
use conf::State;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::ShardSpec;

/// Returns the shards of all services in `region`, sorted by id.
///
/// A region looks after its own servers only, so that regions that lose each
/// other go on as they are.
pub fn of_state(state: &State, region: &str, seconds: Option<SecondAttempts>) -> Vec<ShardSpec> {
    let all = state.services.iter();
    let mut specs: Vec<ShardSpec> = all
        .map(|service| of_service(state, service, region))
        .map(|spec| with_second_attempts(spec, seconds))
        .flat_map(ShardSpec::shards)
        .collect();
    specs.sort_by_key(|spec| spec.shard);
    specs
}

/// The part of what the fleet may spend on second attempts that one home
/// spends: another home of the service may have spent as much in the same ten
/// seconds.
const OWN_PART: f64 = 0.5;
/// The part of second attempts that is kept for those after a failure.
const RETRY_PART: f64 = 0.3;

/// Puts the bounds of the settings in the place of the service's own.
fn with_second_attempts(spec: ShardSpec, bound: Option<SecondAttempts>) -> ShardSpec {
    let Some(bound) = bound else {
        return spec;
    };
    let part = |part: f64, of: f64| (part * of).floor() as u32;
    let share = bound.share * 100.0;
    let slack = f64::from(bound.slack) * OWN_PART;
    ShardSpec {
        retry_percent: part(RETRY_PART, share),
        retry_slack: part(RETRY_PART, slack),
        hedge_percent: part(1.0 - RETRY_PART, share),
        hedge_slack: part(1.0 - RETRY_PART, slack),
        ..spec
    }
}

fn of_service(state: &State, service: &Service, region: &str) -> ShardSpec {
    let near = service
        .servers
        .iter()
        .filter(|server| state.is_in_region(server, region));
    let servers = near.map(|server| ServerSpec {
        id: server.id(&service.name),
        domain: base::id::domain(&server.domain),
        slots: server.slots,
        connections: server.connections,
        open: state.accepts_calls(server),
        announced: match server.cold {
            _ if !server.watched => Announcement::Unknown,
            0 => Announcement::Warm,
            said => Announcement::Cold(said),
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
