//! A guard that releases a permit exactly once, also if the attempt is dropped.

use std::sync::Arc;
use std::time::Duration;

use base::Outcome;
use base::Time;

use crate::ports::Permit;
use crate::ports::Ports;
use crate::ports::ServerReport;

/// Holds a permit and releases it when the attempt ends or the guard is dropped.
pub struct PermitGuard {
    ports: Arc<dyn Ports>,
    permit: Option<Permit>,
    started: Time,
    report: ServerReport,
}

impl PermitGuard {
    /// Creates a guard that releases `permit` through `ports`.
    pub fn new(ports: Arc<dyn Ports>, permit: Permit) -> Self {
        let started = ports.now();
        Self {
            ports,
            permit: Some(permit),
            started,
            report: ServerReport::default(),
        }
    }

    /// Starts the measurement of the processing time, just before the request is sent.
    pub fn start(&mut self) {
        self.started = self.ports.now();
    }

    /// Sets what the server reported about itself, which is passed on with the release.
    pub fn set_report(&mut self, report: ServerReport) {
        self.report = report;
    }

    /// Returns the time since [`Self::start`], or since the guard was created if the
    /// request has not been sent.
    pub fn took(&self) -> Duration {
        self.ports.now().saturating_sub(self.started)
    }

    /// Releases the permit with `outcome`; any later call does nothing.
    pub fn end(&mut self, outcome: Outcome) {
        if let Some(permit) = self.permit.take() {
            self.ports
                .release(permit, outcome, self.took(), self.report);
        }
    }
}

impl Drop for PermitGuard {
    /// Releases the permit as cancelled unless it has been released already.
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}
