//! Claims of idempotency keys that wait for the answers of the keys' owners.

use std::sync::Mutex;
use std::sync::PoisonError;

use base::VmId;
use route::keys::Claim;
use route::CallNo;

/// A claim that waits.
struct Waiting {
    owner: VmId,
    call: CallNo,
    answer: async_channel::Sender<Claim>,
}

/// The claims of one VM that wait.
#[derive(Default)]
pub struct Claims(Mutex<Vec<Waiting>>);

impl Claims {
    /// Begins to wait for the answer of `owner` to `call`.
    pub fn wait(&self, owner: VmId, call: CallNo) -> async_channel::Receiver<Claim> {
        let (answer, receiver) = async_channel::bounded(1);
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|other| other.call != call);
        waiting.push(Waiting {
            owner,
            call,
            answer,
        });
        receiver
    }

    /// Passes an answer on.
    pub fn answer(&self, owner: VmId, call: CallNo, claim: Claim) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = waiting
            .iter()
            .position(|other| other.call == call && other.owner == owner);
        if let Some(at) = at {
            let _ = waiting.swap_remove(at).answer.try_send(claim);
        }
    }

    /// Stops waiting.
    pub fn stop(&self, call: CallNo) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|other| other.call != call);
    }
}
