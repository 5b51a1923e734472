//! Claims of idempotency keys that wait for the answers of the keys' owners.

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

/// The longest wait for one owner of an idempotency key.
const CLAIM_WAIT: Duration = Duration::from_millis(60);
/// Times that an owner of an idempotency key is asked.
const CLAIM_TRIES: usize = 3;
/// A claim that waits.
struct PendingClaim {
    owner: VmId,
    call: AttemptId,
    answer: async_channel::Sender<ClaimReply>,
}

/// The claims of one VM that wait.
#[derive(Default)]
pub struct PendingClaims(Mutex<Vec<PendingClaim>>);

impl PendingClaims {
    /// Begins to wait for the answer of `owner` to `call`.
    pub fn wait(&self, owner: VmId, call: AttemptId) -> async_channel::Receiver<ClaimReply> {
        let (answer, receiver) = async_channel::bounded(1);
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|other| other.call != call || other.owner != owner);
        waiting.push(PendingClaim {
            owner,
            call,
            answer,
        });
        receiver
    }

    /// Passes an answer on.
    pub fn resolve(&self, owner: VmId, call: AttemptId, claim: ClaimReply) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = waiting
            .iter()
            .position(|other| other.call == call && other.owner == owner);
        if let Some(at) = at {
            let _ = waiting.swap_remove(at).answer.try_send(claim);
        }
    }

    /// Stops waiting for the answer of `owner` to `call`.
    pub fn cancel(&self, owner: VmId, call: AttemptId) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|other| other.call != call || other.owner != owner);
    }
}

impl Shared {
    /// Takes this VM's memory of idempotency keys for whole although it is
    /// young; for tests, which cannot wait for it to grow old.
    pub fn assume_keys_complete(&self) {
        *lock(&self.remembered_keys) = ClaimTable::with_full_age(self.self_id);
    }

    /// Asks the owners of a key; none stands for one that does not answer.
    ///
    /// The first one that answers is asked alone: of two calls that come at the
    /// same moment, it lets one have the key before they divide the others.
    pub(crate) async fn ask_owners(
        &self,
        owners: &[VmId],
        claimed: KeyClaim,
    ) -> Vec<Option<ClaimReply>> {
        let view = self.view();
        let mut answers = Vec::new();
        let mut rest = Vec::new();
        for &owner in owners {
            let answers_now = view.alive.binary_search(&owner).is_ok();
            let begun = answers.iter().any(Option::is_some);
            if !answers_now {
                answers.push(None);
            } else if begun {
                rest.push(self.ask_owner(owner, claimed));
            } else {
                answers.push(self.ask_owner(owner, claimed).await);
            }
            if answers.contains(&Some(ClaimReply::Taken)) {
                return answers;
            }
        }
        answers.extend(net::join_all(rest).await);
        answers
    }

    /// Asks one owner of a key; none if it does not answer.
    async fn ask_owner(&self, owner: VmId, claimed: KeyClaim) -> Option<ClaimReply> {
        if owner == self.self_id {
            let now = self.clock.now();
            return Some(lock(&self.remembered_keys).claim(claimed, self.self_id, now));
        }
        for _ in 0..CLAIM_TRIES {
            let receiver = self.claims.wait(owner, claimed.call);
            let to = self.view().address(owner)?;
            self.outbox.put(to, Msg::Key(KeyMsg::Claim(claimed)));
            let answer = net::timeout(CLAIM_WAIT, receiver.recv()).await;
            if let Some(Ok(claim)) = answer {
                return Some(claim);
            }
        }
        self.claims.cancel(owner, claimed.call);
        None
    }

    pub(crate) fn receive_key(&self, from: VmId, msg: KeyMsg) {
        let now = self.clock.now();
        match msg {
            KeyMsg::Claim(claimed) => {
                let claim = lock(&self.remembered_keys).claim(claimed, from, now);
                if let Some(to) = self.view().address(from) {
                    let answer = KeyMsg::Reply { claimed, claim };
                    self.outbox.put(to, Msg::Key(answer));
                }
            }
            KeyMsg::Reply { claimed, claim } => self.claims.resolve(from, claimed.call, claim),
            KeyMsg::Forget(claimed) => lock(&self.remembered_keys).forget(claimed, from),
        }
    }
}
