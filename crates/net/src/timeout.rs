//! Time limits of futures.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use smol::Timer;

/// A future that ends with `None` if another one takes too long; see [`timeout`].
///
/// The other future is boxed. An `async` function keeps what it was given beside the copy
/// that it polls, so each time limit within another would double the size of a call. See
/// `docs/CAPACITY.md`.
#[must_use = "futures do nothing unless they are polled"]
pub struct Timeout<F> {
    /// None once the future has ended or its time is up.
    future: Option<Pin<Box<F>>>,
    limit: Duration,
    /// None until the first poll, with which the time begins.
    timer: Option<Timer>,
}

/// Runs `future` for at most `limit`. Returns `None` if `limit` passes first; `future`
/// is dropped then.
pub fn timeout<F: Future>(limit: Duration, future: F) -> Timeout<F> {
    Timeout {
        future: Some(Box::pin(future)),
        limit,
        timer: None,
    }
}

impl<F: Future> Future for Timeout<F> {
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = &mut *self;
        let Some(future) = &mut this.future else {
            return Poll::Pending;
        };
        let mut polled = future.as_mut().poll(cx).map(Some);
        if polled.is_pending() {
            let timer = this.timer.get_or_insert_with(|| Timer::after(this.limit));
            polled = Pin::new(timer).poll(cx).map(|_| None);
        }
        if polled.is_ready() {
            this.future = None;
        }
        polled
    }
}
