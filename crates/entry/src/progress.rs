//! How far a call has come, and a log line for calls that end without a response.
//!
//! A call is dropped when its caller has left or the VM stops. Without a line of its own
//! such a call would leave no trace. See `docs/OPERATIONS.md`.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use base::Time;
use obs::Metrics;

use crate::ports::Ports;

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The request body.
    Body,
    /// The decision on its idempotency key.
    Claim,
    /// A permit.
    Permit,
    /// The response of a server, or of the VM to which it was relayed.
    Response,
}

impl Stage {
    /// Returns the name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Claim => "claim",
            Self::Permit => "permit",
            Self::Response => "response",
        }
    }
}

/// The progress of a call, which logs the call if it is dropped before [`Self::end`].
pub(crate) struct Progress {
    ports: Arc<dyn Ports>,
    metrics: Arc<Metrics>,
    id: String,
    service: String,
    began: Time,
    stage: Mutex<Stage>,
    ended: AtomicBool,
}

impl Progress {
    /// Starts to track the call `id` of `service`, which began at `began`.
    pub(crate) fn new(
        ports: Arc<dyn Ports>,
        metrics: Arc<Metrics>,
        id: &str,
        service: &str,
        began: Time,
    ) -> Self {
        Self {
            ports,
            metrics,
            id: id.to_owned(),
            service: service.to_owned(),
            began,
            stage: Mutex::new(Stage::Body),
            ended: AtomicBool::new(false),
        }
    }

    /// Sets what the call waits for from now on.
    pub(crate) fn set_stage(&self, stage: Stage) {
        *self.stage.lock().unwrap_or_else(PoisonError::into_inner) = stage;
    }

    /// Records that the call has a response.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if self.ended.load(Ordering::Relaxed) {
            return;
        }
        let stage = *self.stage.lock().unwrap_or_else(PoisonError::into_inner);
        let took = self.ports.now().saturating_sub(self.began);
        self.metrics.record_abandoned(&self.service);
        log::info!(
            id = self.id,
            service = self.service,
            stage = stage.name(),
            stopping = self.ports.is_stopping(),
            took_us = took.as_micros() as u64;
            "call: ended without a response"
        );
    }
}
