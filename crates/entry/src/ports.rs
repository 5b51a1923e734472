//! What the path of a call needs from the rest of the VM.

use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
use base::ServerId;
use base::ServiceId;
use base::ShardId;
use base::Time;
use conf::State;
use net::BoxFuture;
use route::keys::ClaimDecision;
use route::keys::KeyClaim;
use route::keys::KeyHash;
use route::msg::Load;
use route::msg::PermitRequest;
use route::msg::RefusalReason;
use route::AttemptId;

/// Leave to send one attempt to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The shard of the server.
    pub shard: ShardId,
    /// The attempt.
    pub call: AttemptId,
    /// The server.
    pub server: ServerId,
}

/// Why there is no permit, and when another try makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: RefusalReason,
    /// When another try makes sense.
    pub after: Duration,
}

/// The rest of the VM as the path of a call sees it.
pub trait Ports: Send + Sync {
    /// Returns the configuration in force.
    fn state(&self) -> Arc<State>;

    /// Returns how many entry VMs share the servers' connections.
    fn fleet(&self) -> usize;

    /// Returns the time.
    fn now(&self) -> Time;

    /// Asks for a permit; dropping the future gives the request up.
    fn acquire(
        &self,
        service: ServiceId,
        ask: PermitRequest,
    ) -> BoxFuture<'_, Result<Permit, Refused>>;

    /// Ends a permit; it is called once for each permit.
    fn release(&self, permit: Permit, outcome: Outcome, took: Duration, load: Option<Load>);

    /// Returns the usual service time of a service, if known.
    fn usual(&self, service: ServiceId) -> Option<Duration>;

    /// Claims an idempotency key for a call.
    fn claim(&self, key: KeyHash) -> BoxFuture<'_, (ClaimDecision, KeyClaim)>;

    /// Gives a claim up because its call certainly did not run.
    fn forget(&self, claimed: KeyClaim);
}
