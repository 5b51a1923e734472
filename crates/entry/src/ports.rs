//! The interface between the call path and the rest of the VM.
//!
//! These are ports in the sense of the ports-and-adapters pattern, not TCP ports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::ServiceId;
use base::ShardId;
use base::TeamId;
use base::Time;
use conf::Service;
use conf::State;
use net::BoxFuture;
use route::crashes::Fingerprint;
use route::keys::ClaimDecision;
use route::keys::KeyClaim;
use route::keys::KeyHash;
use route::msg::Load;
use route::msg::PermitRequest;
use route::msg::RefusalReason;
use route::notices::Notice;
use route::quota::Token;
use route::AttemptId;

/// The right to send one attempt to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The shard that the server belongs to.
    pub shard: ShardId,
    /// The id of the attempt, by which the permit is released; zero if the VM granted the
    /// permit itself, under a policy without homes.
    pub attempt_id: AttemptId,
    /// The server that the attempt may be sent to.
    pub server: ServerId,
}

/// The refusal of a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why no permit was granted.
    pub reason: RefusalReason,
    /// How long the caller should wait before it sends the call again.
    pub retry_after: Duration,
}

/// What a server reports about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// The load of the server, if it reports one.
    pub load: Option<Load>,
    /// The time between two calls of all VMs together that the server names as its rate
    /// limit, if it names one.
    pub interval: Option<Duration>,
}

/// The use of a team's quota by one call; `None` if nothing limits the calls of the team.
pub type QuotaUse = Option<Token>;

/// What the call path requires of its VM: configuration, time, permits and idempotency
/// keys.
pub trait Ports: Send + Sync {
    /// Returns the configuration in force.
    fn state(&self) -> Arc<State>;

    /// Returns the number of entry VMs among which the connections of each server are
    /// divided.
    fn fleet_size(&self) -> usize;

    /// Returns the current time.
    fn now(&self) -> Time;

    /// Returns whether the VM has been asked to stop.
    fn is_stopping(&self) -> bool;

    /// Returns whether a call that may take until `deadline` can be sent on: false if the VM
    /// no longer accepts calls, and may end before that.
    fn may_send_until(&self, deadline: Time) -> bool;

    /// Waits until a call that may take until `deadline` can no longer be sent on.
    fn stopped_before(&self, deadline: Time) -> BoxFuture<'_, ()>;

    /// Takes a token of the quota of `team` for one call, whatever its attempts. Dropping the
    /// future gives the token up.
    fn take_quota(&self, team: TeamId) -> BoxFuture<'_, Result<QuotaUse, Refusal>>;

    /// Gives the token back of a call that certainly did not run.
    fn give_quota_back(&self, used: QuotaUse);

    /// Requests a permit for an attempt at some server of `service`. Dropping the
    /// future cancels the request.
    fn acquire(
        &self,
        service: ServiceId,
        request: PermitRequest,
    ) -> BoxFuture<'_, Result<Permit, Refusal>>;

    /// Releases a permit; must be called exactly once for each permit.
    ///
    /// `took` is the time since the request was sent, and `report` is what the server
    /// reported about itself in the response.
    fn release(&self, permit: Permit, outcome: Outcome, took: Duration, report: ServerReport);

    /// Records what a server asked for in a response.
    fn note_server(&self, server: ServerId, notice: Notice);

    /// Records that a server named a rate limit of a call every `interval` in a response to
    /// an attempt that another VM made for this one.
    fn note_rate(&self, server: ServerId, interval: Duration);

    /// Returns whether `server` may be sent a call, as far as the server itself is
    /// concerned. It has to be asked right before a call is sent.
    fn allows_server(&self, server: ServerId) -> bool;

    /// Returns the servers that may not be sent a call because of their notices, sorted.
    fn denied_servers(&self) -> Vec<ServerId>;

    /// Returns the delay until a server of `service` may be sent a call, if all servers
    /// in service have asked for none; none if one may be sent a call now.
    fn rest_left(&self, service: &Service) -> Option<Duration>;

    /// Returns for how much longer `request` is rejected because servers crashed while they
    /// ran it; none if it is not.
    fn rejected_for(&self, request: Fingerprint) -> Option<Duration>;

    /// Records that `request` was lost with the connection to `server`, which may have
    /// crashed.
    fn record_lost(&self, request: Fingerprint, server: ServerId, address: SocketAddr);

    /// Records that a server ran `request` and responded to it.
    fn record_response(&self, request: Fingerprint);

    /// Returns whether this VM has lost its path to all servers, after it could not use the
    /// server at `failed`.
    fn check_path(&self, failed: SocketAddr) -> BoxFuture<'_, bool>;

    /// Checks the path as [`Self::check_path`] does, without waiting for the result.
    fn suspect_path(&self, failed: SocketAddr);

    /// Returns the address of a VM to which this one should relay its calls, because it
    /// reaches no server itself.
    fn relay_target(&self) -> Option<SocketAddr>;

    /// Returns the usual processing time of calls to `service`, if known.
    fn usual_time(&self, service: ServiceId) -> Option<Duration>;

    /// Claims an idempotency key for a call. Returns the decision whether the call may
    /// run, and the claim.
    fn claim(&self, key: KeyHash) -> BoxFuture<'_, (ClaimDecision, KeyClaim)>;

    /// Withdraws a claim whose call certainly did not run, so that the key can be used
    /// again.
    fn forget(&self, claim: KeyClaim);
}
