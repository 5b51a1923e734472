//! Hedges and rescues: second attempts in parallel with a slow first one, for calls that
//! may run more than once.
//!
//! A call gets a hedge when its first attempt has taken [`HEDGE_FACTOR`] usual processing
//! times, if its service allows hedges or its route sets a target latency. A call with a
//! target latency gets the hedge after [`HEDGE_TARGET_SHARE`] of that time at the latest.
//! A call of any service gets a rescue, which counts as a retry, when the first attempt
//! has taken so long that its server most likely does not respond at all. The first
//! response that arrives is returned to the caller. See `docs/design/limits.md`.

use std::future::poll_fn;
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use route::limit::UNRESPONSIVE_FACTOR;
use route::limit::UNRESPONSIVE_MIN;
use route::msg::AttemptKind;

use crate::call::AttemptError;
use crate::call::Call;
use crate::call::Served;
use crate::proxy::Proxy;
use crate::request::OutgoingRequest;

/// The delay before a hedge, in usual processing times.
const HEDGE_FACTOR: f64 = 2.5;
/// The longest delay before a hedge, as a share of the call's target latency.
const HEDGE_TARGET_SHARE: f64 = 0.5;
/// The shortest delay before a hedge.
const HEDGE_MIN_DELAY: Duration = Duration::from_millis(2);

type AttemptResult = Result<Served, AttemptError>;

/// How two attempts in parallel ended.
enum RaceResult {
    /// One of the attempts got a response, or both failed.
    Done(Box<AttemptResult>),
    /// The second attempt failed while the first one is still in progress.
    SecondFailed(AttemptError),
}

impl RaceResult {
    fn done(result: AttemptResult) -> Self {
        Self::Done(Box::new(result))
    }
}

impl Proxy {
    /// Makes the first attempt, and a hedge or a rescue in parallel if it is slow.
    pub(crate) async fn attempt_with_hedging(
        &self,
        call: &mut Call<'_>,
        outgoing: &mut OutgoingRequest,
    ) -> AttemptResult {
        let first = self.request_permit(call, AttemptKind::First).await?;
        // Later attempts avoid this server.
        call.tried.push(first.permit.server);
        let began = self.ports.now();
        let request = outgoing.build();
        // Boxed, as a call that waits for a permit needs no memory for its attempts yet.
        let mut first = Box::pin(self.send(call, first, request));
        let mut failed = None;
        let hedges = call.service.hedges > 0 || call.rule.target < call.rule.deadline;
        for kind in [AttemptKind::Hedge, AttemptKind::Rescue] {
            if kind == AttemptKind::Hedge && !hedges {
                continue;
            }
            let elapsed = || self.ports.now().saturating_sub(began);
            let waiting = self.wait_before_second(call, kind, elapsed, first.as_mut());
            if let Some(result) = waiting.await {
                return with_failed_attempt(result, failed);
            }
            // The first attempt, which is still in progress, counts against the limit.
            if !call.may_send() {
                break;
            }
            let Some(request) = outgoing.build() else {
                break;
            };
            let mut second = Box::pin(async {
                let permit = self.request_permit(call, kind).await?;
                self.send(call, permit, Some(request)).await
            });
            match race(first.as_mut(), second.as_mut()).await {
                RaceResult::Done(result) => return with_failed_attempt(*result, failed),
                RaceResult::SecondFailed(error) => failed = more_severe(failed, error),
            }
        }
        with_failed_attempt(first.await, failed)
    }

    /// Polls `first` until a second attempt of `kind` is due. Returns the result of
    /// `first` if it ends before that.
    async fn wait_before_second(
        &self,
        call: &Call<'_>,
        kind: AttemptKind,
        elapsed: impl Fn() -> Duration,
        mut first: Pin<&mut impl Future<Output = AttemptResult>>,
    ) -> Option<AttemptResult> {
        let (factor, min_delay) = match kind {
            AttemptKind::Hedge => (HEDGE_FACTOR, HEDGE_MIN_DELAY),
            AttemptKind::First | AttemptKind::Retry | AttemptKind::Rescue => {
                (UNRESPONSIVE_FACTOR, UNRESPONSIVE_MIN)
            }
        };
        // Most calls end within the shortest delay, so the usual time is looked up only
        // after it.
        let remaining = min_delay.saturating_sub(elapsed());
        let result = net::timeout(remaining, first.as_mut()).await;
        if result.is_some() {
            return result;
        }
        let usual = self.ports.usual_time(call.service.id());
        let mut delay = usual.map_or(call.rule.deadline, |usual| usual.mul_f64(factor));
        if kind == AttemptKind::Hedge && call.rule.target < call.rule.deadline {
            delay = delay.min(call.rule.target.mul_f64(HEDGE_TARGET_SHARE));
        }
        net::timeout(delay.saturating_sub(elapsed()), first).await
    }
}

/// Polls two attempts until one of them gets a response or the second one has failed.
/// A failure of the first one alone does not end the race.
async fn race(
    mut first: Pin<&mut impl Future<Output = AttemptResult>>,
    mut second: Pin<&mut impl Future<Output = AttemptResult>>,
) -> RaceResult {
    let mut first_error = None;
    poll_fn(|cx| {
        if first_error.is_none() {
            match first.as_mut().poll(cx) {
                Poll::Ready(Ok(served)) => return Poll::Ready(RaceResult::done(Ok(served))),
                Poll::Ready(Err(error)) => first_error = Some(error),
                Poll::Pending => {}
            }
        }
        match (second.as_mut().poll(cx), first_error.take()) {
            (Poll::Ready(Ok(served)), _) => Poll::Ready(RaceResult::done(Ok(served))),
            (Poll::Ready(Err(second_error)), Some(error)) => Poll::Ready(RaceResult::done(
                with_failed_attempt(Err(error), Some(second_error)),
            )),
            (Poll::Ready(Err(second_error)), None) => {
                Poll::Ready(RaceResult::SecondFailed(second_error))
            }
            (Poll::Pending, error) => {
                first_error = error;
                Poll::Pending
            }
        }
    })
    .await
}

/// Returns `result`, or the error of another attempt of the same call, `failed`, if only
/// that attempt may have run. The caller has to learn that its call may have run,
/// whichever attempt ran it.
fn with_failed_attempt(result: AttemptResult, failed: Option<AttemptError>) -> AttemptResult {
    match (result, failed) {
        (Err(error), Some(failed)) if error.proves_not_run() && !failed.proves_not_run() => {
            Err(failed)
        }
        (result, _) => result,
    }
}

/// Returns `known` if its attempt may have run, otherwise `error`.
fn more_severe(known: Option<AttemptError>, error: AttemptError) -> Option<AttemptError> {
    match known {
        Some(known) if !known.proves_not_run() => Some(known),
        _ => Some(error),
    }
}
