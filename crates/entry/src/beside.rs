//! A second attempt beside one that is slow, for calls that may run twice.
//!
//! A service that allows hedges gets one when the first attempt has taken a few
//! usual service times. Any service gets one when it has taken so many that the
//! server most likely does not answer at all; that one counts as a retry. The
//! first good answer is the caller's. See `docs/design/limits.md`.

use std::future::poll_fn;
use std::future::Future;
use std::pin::pin;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use route::limit::UNRESPONSIVE_FACTOR;
use route::limit::UNRESPONSIVE_MIN;
use route::msg::AttemptKind;

use crate::call::Call;
use crate::call::Missed;
use crate::call::Served;
use crate::proxy::Proxy;
use crate::request::Outgoing;

/// Usual service times after which a call is hedged.
const HEDGE_AFTER: f64 = 2.5;
/// The share of its target latency after which a call is hedged.
const HEDGE_TARGET: f64 = 0.5;
/// The shortest wait before a call is hedged.
const HEDGE_MIN: Duration = Duration::from_millis(2);

/// The end of one attempt.
type Ended = Result<Served, Missed>;

/// How two attempts side by side ended.
enum Raced {
    /// The first one ended, or the second one was answered.
    Done(Box<Ended>),
    /// Only the second one ended, without an answer.
    SecondLost(Missed),
}

impl Raced {
    fn done(ended: Ended) -> Self {
        Self::Done(Box::new(ended))
    }
}

impl Proxy {
    /// Makes one attempt, and others beside it if it is slow.
    pub(crate) async fn attempt_beside(
        &self,
        call: &mut Call<'_>,
        outgoing: &mut Outgoing,
    ) -> Ended {
        let first = self.permit(call, AttemptKind::First).await?;
        // Another attempt has to go elsewhere.
        call.tried.push(first.permit.server);
        let began = self.ports.now();
        let request = outgoing.make();
        let mut first = pin!(self.send(call, first, request));
        let mut lost = None;
        let hedges = call.service.hedges > 0 || call.rule.target < call.rule.deadline;
        for kind in [AttemptKind::Hedge, AttemptKind::Rescue] {
            if kind == AttemptKind::Hedge && !hedges {
                continue;
            }
            let so_far = || self.ports.now().saturating_sub(began);
            let waited = self.wait_beside(call, kind, so_far, first.as_mut());
            if let Some(ended) = waited.await {
                return worse(ended, lost);
            }
            // The first attempt counts as soon as it has begun.
            if !call.may_send() {
                break;
            }
            let Some(request) = outgoing.make() else {
                break;
            };
            let second = pin!(async {
                let permit = self.permit(call, kind).await?;
                self.send(call, permit, Some(request)).await
            });
            match race(first.as_mut(), second).await {
                Raced::Done(ended) => return worse(*ended, lost),
                Raced::SecondLost(missed) => lost = keep_worse(lost, missed),
            }
        }
        worse(first.await, lost)
    }

    /// Waits for `first` until an attempt of `kind` is due beside it.
    async fn wait_beside(
        &self,
        call: &Call<'_>,
        kind: AttemptKind,
        so_far: impl Fn() -> Duration,
        mut first: Pin<&mut impl Future<Output = Ended>>,
    ) -> Option<Ended> {
        let (times, least) = match kind {
            AttemptKind::Hedge => (HEDGE_AFTER, HEDGE_MIN),
            AttemptKind::First | AttemptKind::Retry | AttemptKind::Rescue => {
                (UNRESPONSIVE_FACTOR, UNRESPONSIVE_MIN)
            }
        };
        // Most calls end before it matters what is usual.
        let early = least.saturating_sub(so_far());
        let ended = net::timeout(early, first.as_mut()).await;
        if ended.is_some() {
            return ended;
        }
        let usual = self.ports.usual(call.service.id());
        let mut due = usual.map_or(call.rule.deadline, |usual| usual.mul_f64(times));
        if kind == AttemptKind::Hedge && call.rule.target < call.rule.deadline {
            due = due.min(call.rule.target.mul_f64(HEDGE_TARGET));
        }
        net::timeout(due.saturating_sub(so_far()), first).await
    }
}

/// Polls two attempts until one is answered or the first one and, if that
/// failed, the second one have ended.
async fn race(
    mut first: Pin<&mut impl Future<Output = Ended>>,
    mut second: Pin<&mut impl Future<Output = Ended>>,
) -> Raced {
    let mut failed = None;
    poll_fn(|cx| {
        if failed.is_none() {
            match first.as_mut().poll(cx) {
                Poll::Ready(Ok(served)) => return Poll::Ready(Raced::done(Ok(served))),
                Poll::Ready(Err(missed)) => failed = Some(missed),
                Poll::Pending => {}
            }
        }
        match (second.as_mut().poll(cx), failed.take()) {
            (Poll::Ready(Ok(served)), _) => Poll::Ready(Raced::done(Ok(served))),
            (Poll::Ready(Err(other)), Some(missed)) => {
                Poll::Ready(Raced::done(worse(Err(missed), Some(other))))
            }
            (Poll::Ready(Err(other)), None) => Poll::Ready(Raced::SecondLost(other)),
            (Poll::Pending, kept) => {
                failed = kept;
                Poll::Pending
            }
        }
    })
    .await
}

/// Returns the end of a call of which another attempt was `lost`: whatever may
/// have run in any of them has to be told.
fn worse(ended: Ended, lost: Option<Missed>) -> Ended {
    match (ended, lost) {
        (Err(missed), Some(lost)) if missed.proves_not_run() && !lost.proves_not_run() => Err(lost),
        (ended, _) => ended,
    }
}

fn keep_worse(kept: Option<Missed>, missed: Missed) -> Option<Missed> {
    match kept {
        Some(kept) if !kept.proves_not_run() => Some(kept),
        _ => Some(missed),
    }
}
