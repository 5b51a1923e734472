//! A permit that is released exactly once, whatever becomes of its holder.

use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
use base::Time;
use route::msg::Load;

use crate::ports::Permit;
use crate::ports::Ports;

/// A permit in use.
pub struct PermitGuard {
    ports: Arc<dyn Ports>,
    permit: Option<Permit>,
    started: Time,
    load: Option<Load>,
}

impl PermitGuard {
    /// Takes charge of `permit`.
    pub fn new(ports: Arc<dyn Ports>, permit: Permit) -> Self {
        let started = ports.now();
        Self {
            ports,
            permit: Some(permit),
            started,
            load: None,
        }
    }

    /// Starts the service time: the request is about to be sent.
    pub fn start(&mut self) {
        self.started = self.ports.now();
    }

    /// Notes what the server said about its load.
    pub fn set_load(&mut self, load: Option<Load>) {
        self.load = load;
    }

    /// Returns the time since the request was sent.
    pub fn took(&self) -> Duration {
        self.ports.now().saturating_sub(self.started)
    }

    /// Releases the permit; later calls do nothing.
    pub fn end(&mut self, outcome: Outcome) {
        if let Some(permit) = self.permit.take() {
            self.ports.release(permit, outcome, self.took(), self.load);
        }
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}
