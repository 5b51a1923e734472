//! A future that is polled for a moment longer after it was dropped.
//!
//! What a peer has sent may already be on its way when its reader gives up. The future
//! then gets a little time to take note of it.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use crate::exec::Handle;
use crate::timeout;
use crate::BoxFuture;

/// A future that runs on by itself for up to a limit if it is dropped before its end.
pub struct Lingering<T: Send + 'static> {
    /// None once the future has ended.
    future: Option<BoxFuture<'static, T>>,
    handle: Handle,
    limit: Duration,
}

impl<T: Send + 'static> Lingering<T> {
    /// Wraps `future`, which runs on `handle` for up to `limit` after it was dropped; not
    /// at all if `limit` is zero.
    pub fn new(
        future: impl Future<Output = T> + Send + 'static,
        handle: Handle,
        limit: Duration,
    ) -> Self {
        Self {
            future: Some(Box::pin(future)),
            handle,
            limit,
        }
    }
}

impl<T: Send + 'static> Future for Lingering<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        let Some(future) = &mut self.future else {
            return Poll::Pending;
        };
        let poll = future.as_mut().poll(cx);
        if poll.is_ready() {
            self.future = None;
        }
        poll
    }
}

impl<T: Send + 'static> Drop for Lingering<T> {
    fn drop(&mut self) {
        if let Some(future) = self.future.take().filter(|_| !self.limit.is_zero()) {
            let limit = self.limit;
            self.handle.spawn_detached(async move {
                drop(timeout(limit, future).await);
            });
        }
    }
}
