//! Claims idempotency keys at the VMs that own them, and replies to other VMs'
//! claims.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::VmId;
use route::keys::ClaimReply;
use route::keys::ClaimTable;
use route::keys::KeyClaim;
use route::AttemptId;
use wire::KeyMsg;
use wire::Msg;

use crate::shared::lock;
use crate::shared::Shared;

/// The longest wait for the reply to one claim message.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(60);
/// How often a claim is sent to an owner that does not reply.
const CLAIM_TRIES: usize = 3;

/// A claim that waits for the reply of one owner.
struct PendingClaim {
    owner: VmId,
    call: AttemptId,
    reply: async_channel::Sender<ClaimReply>,
}

/// The claims of this VM that wait for replies of owners.
#[derive(Default)]
pub struct PendingClaims(Mutex<Vec<PendingClaim>>);

impl PendingClaims {
    /// Returns a channel that receives the reply of `owner` to the claim of `call`.
    /// Replaces an earlier wait for the same reply.
    pub fn wait(&self, owner: VmId, call: AttemptId) -> async_channel::Receiver<ClaimReply> {
        let (reply, receiver) = async_channel::bounded(1);
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|other| other.call != call || other.owner != owner);
        waiting.push(PendingClaim { owner, call, reply });
        receiver
    }

    /// Passes on the reply of `owner` to the claim of `call`, unless nothing waits for
    /// it any more.
    pub fn resolve(&self, owner: VmId, call: AttemptId, reply: ClaimReply) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let index = waiting
            .iter()
            .position(|other| other.call == call && other.owner == owner);
        if let Some(index) = index {
            let _ = waiting.swap_remove(index).reply.try_send(reply);
        }
    }

    /// Stops waiting for the reply of `owner` to the claim of `call`.
    pub fn cancel(&self, owner: VmId, call: AttemptId) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|other| other.call != call || other.owner != owner);
    }
}

impl Shared {
    /// Makes this VM treat its record of idempotency keys as complete, although it
    /// has not been an owner for long enough. For tests, which cannot wait that long.
    pub fn assume_keys_complete(&self) {
        *lock(&self.remembered_keys) = ClaimTable::with_full_age(self.self_id);
    }

    /// Sends a claim of a key to its owners and returns their replies; none stands
    /// for an owner that is not alive or does not respond. Returns early once an
    /// owner replies that the key is taken.
    ///
    /// The owners are sent the claim one after the other until one has replied, and
    /// only then the remaining ones in parallel. If two calls claim a key at the same
    /// moment, the first owner thus grants the key to one of them. Sent in parallel,
    /// each claim might be granted by some owners and neither by a majority.
    pub(crate) async fn claim_at_owners(
        &self,
        owners: &[VmId],
        claim: KeyClaim,
    ) -> Vec<Option<ClaimReply>> {
        let view = self.view();
        let mut replies = Vec::new();
        let mut parallel = Vec::new();
        for &owner in owners {
            let is_alive = view.alive.binary_search(&owner).is_ok();
            let has_reply = replies.iter().any(Option::is_some);
            if !is_alive {
                replies.push(None);
            } else if has_reply {
                parallel.push(self.claim_at_owner(owner, claim));
            } else {
                replies.push(self.claim_at_owner(owner, claim).await);
            }
            if replies.contains(&Some(ClaimReply::Taken)) {
                return replies;
            }
        }
        replies.extend(net::join_all(parallel).await);
        replies
    }

    /// Sends a claim of a key to one owner and returns its reply; none if the owner
    /// does not reply to any of [`CLAIM_TRIES`] messages.
    async fn claim_at_owner(&self, owner: VmId, claim: KeyClaim) -> Option<ClaimReply> {
        if owner == self.self_id {
            let now = self.clock.now();
            return Some(lock(&self.remembered_keys).claim(claim, self.self_id, now));
        }
        for _ in 0..CLAIM_TRIES {
            let receiver = self.claims.wait(owner, claim.call);
            let to = self.view().address(owner)?;
            self.outbox.put(to, Msg::Key(KeyMsg::Claim(claim)));
            let reply = net::timeout(CLAIM_TIMEOUT, receiver.recv()).await;
            if let Some(Ok(reply)) = reply {
                return Some(reply);
            }
        }
        self.claims.cancel(owner, claim.call);
        None
    }

    /// Dispatches a message of the VM `from` about an idempotency key.
    pub(crate) fn receive_key(&self, from: VmId, msg: KeyMsg) {
        let now = self.clock.now();
        match msg {
            KeyMsg::Claim(claim) => {
                let reply = lock(&self.remembered_keys).claim(claim, from, now);
                if let Some(to) = self.view().address(from) {
                    let msg = KeyMsg::Reply {
                        claimed: claim,
                        claim: reply,
                    };
                    self.outbox.put(to, Msg::Key(msg));
                }
            }
            KeyMsg::Reply {
                claimed: claim,
                claim: reply,
            } => self.claims.resolve(from, claim.call, reply),
            KeyMsg::Forget(claim) => lock(&self.remembered_keys).forget(claim, from),
        }
    }
}
