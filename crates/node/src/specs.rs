//! Derives the specifications of shards from the configuration in force.

use base::OrderId;
use base::ServerId;
use conf::settings::SecondAttempts;
use conf::Rollout;
use conf::RolloutState;
use conf::Service;
use conf::State;
use route::rollout::Supply;
use route::rollout::Terms;
use route::rollout::VersionGroup;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::ShardSpec;

/// Returns the specifications of the shards of all services in `region`, sorted by
/// shard id. `second_attempts` replaces the services' own limits of second attempts, and
/// `rollouts` says which versions may serve.
///
/// A region manages its own servers only, so that a loss of the connection between
/// regions has no effect on it.
pub fn of_state(
    state: &State,
    region: &str,
    second_attempts: Option<SecondAttempts>,
    rollouts: &RolloutRules,
) -> Vec<ShardSpec> {
    let services = state.services.iter();
    let mut specs: Vec<ShardSpec> = services
        .map(|service| (of_service(state, service, region), service))
        .map(|(spec, service)| with_rollout(spec, state, service, rollouts))
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

/// What a VM knows of roll-outs beyond the state.
#[derive(Clone, Debug, Default)]
pub struct RolloutRules {
    /// The terms of trials, whose order is left out; `None` if this VM takes no part in
    /// roll-outs.
    pub terms: Option<Terms>,
    /// Whether homes choose the servers. Without homes nothing bounds a trial.
    pub has_homes: bool,
    /// The orders that ended, whatever the registry says of them, sorted.
    pub ended: Vec<(OrderId, RolloutState)>,
}

impl RolloutRules {
    /// Returns the state of `rollout`, which is final if this VM knows that it is.
    pub fn state(&self, rollout: &Rollout) -> RolloutState {
        let written = rollout.state.unwrap_or(RolloutState::Running);
        let found = self.ended.binary_search_by_key(&rollout.order, |e| e.0);
        match (written, found) {
            (RolloutState::Completed, _) | (_, Err(_)) => written,
            (_, Ok(index)) => self.ended[index].1,
        }
    }
}

/// Returns the servers of `state` that may be sent nothing because a roll-out ended, sorted.
pub fn closed_servers(state: &State, rules: &RolloutRules) -> Vec<ServerId> {
    let mut closed = Vec::new();
    for rollout in state.rollouts() {
        let Some(service) = state.service(base::id::service(&rollout.service)) else {
            continue;
        };
        if rules.terms.is_none() || rules.state(rollout) != RolloutState::RolledBack {
            continue;
        }
        let servers = service.servers.iter();
        let targets = servers.filter(|server| server.version == rollout.target);
        closed.extend(targets.map(|server| server.id(&service.name)));
    }
    closed.sort_unstable();
    closed
}

/// Returns the slots of the open servers of the roll-out's service, by version.
pub fn supply(state: &State, rollout: &Rollout) -> Supply {
    let mut supply = Supply::default();
    let service = state.service(base::id::service(&rollout.service));
    let servers = service.map_or(&[][..], |service| &service.servers);
    for server in servers.iter().filter(|server| state.accepts_calls(server)) {
        if server.version == rollout.target {
            supply.target += server.slots;
        } else {
            supply.old += server.slots;
        }
    }
    supply
}

/// Applies the roll-out of `service`, if there is one; see [`restrict`].
fn with_rollout(
    spec: ShardSpec,
    state: &State,
    service: &Service,
    rules: &RolloutRules,
) -> ShardSpec {
    let (Some(rollout), Some(terms)) = (state.rollout(&service.name), rules.terms) else {
        return spec;
    };
    let is_target = |id| {
        let server = state.server(spec.service, id);
        server.is_some_and(|server| server.version == rollout.target)
    };
    let targets: Vec<bool> = spec.servers.iter().map(|s| is_target(s.id)).collect();
    let order = rollout.order;
    let terms = Terms { order, ..terms };
    restrict(spec, &targets, rules.state(rollout), terms, rules.has_homes)
}

/// Closes the servers that get nothing in a roll-out in `state`, or sets the terms of the
/// trial. `targets` says which servers are of the version, in the order of the servers.
///
/// After a completion, servers of another version are closed only while the version can
/// take all calls: the operators may have moved on without a roll-out. If all servers are
/// of the version on trial, they serve as if there was no roll-out.
pub fn restrict(
    mut spec: ShardSpec,
    targets: &[bool],
    state: RolloutState,
    terms: Terms,
    has_homes: bool,
) -> ShardSpec {
    let slots = |target: bool| {
        let servers = spec.servers.iter().zip(targets);
        let of_group = servers.filter(|(server, group)| server.open && **group == target);
        of_group.map(|(server, _)| server.slots).sum()
    };
    let supply = Supply {
        target: slots(true),
        old: slots(false),
    };
    let has_old = spec
        .servers
        .iter()
        .zip(targets)
        .any(|(s, target)| s.open && !target);
    for (server, &is_target) in spec.servers.iter_mut().zip(targets) {
        match state {
            RolloutState::RolledBack => server.open &= !is_target,
            RolloutState::Completed if supply.is_sufficient() => server.open &= is_target,
            RolloutState::Running if has_old && !has_homes => server.open &= !is_target,
            RolloutState::Running if has_old && is_target => server.version = VersionGroup::Target,
            RolloutState::Completed | RolloutState::Running => {}
        }
    }
    let on_trial = state == RolloutState::Running && has_old;
    spec.rollout = on_trial.then_some(terms);
    spec
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
        version: VersionGroup::Old,
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
