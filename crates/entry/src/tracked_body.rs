//! The body of an answer on its way to the caller.
//!
//! The permit ends with the body: whole, broken, late, or given up by the
//! caller. A body that breaks ends in an error, which cuts the transfer, so
//! that the caller cannot take a part for the whole.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use base::Outcome;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use net::body::BoxError;
use smol::Timer;

use crate::guard::PermitGuard;
use crate::pool::Conn;
use crate::pool::Pools;
use crate::ports::Ports;

/// What has to be settled when the body ends.
pub struct Completion {
    /// The permit.
    pub guard: PermitGuard,
    /// The connection that the body comes on.
    pub conn: Conn,
    /// Where the connection is kept.
    pub pools: Arc<Pools>,
    /// The clock.
    pub ports: Arc<dyn Ports>,
}

/// The body of an answer, with what it still holds.
pub struct TrackedBody {
    prefix: Bytes,
    inner: Incoming,
    deadline: Timer,
    settle: Option<Completion>,
}

impl TrackedBody {
    /// Takes charge of `inner`, which follows `prefix` and has to end before
    /// `deadline`.
    pub fn new(prefix: Bytes, inner: Incoming, deadline: Timer, settle: Completion) -> Self {
        let mut tracked = Self {
            prefix,
            inner,
            deadline,
            settle: Some(settle),
        };
        tracked.check_end();
        tracked
    }

    fn check_end(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(mut settle) = self.settle.take() {
            settle.guard.end(Outcome::Done);
            let now = settle.ports.now();
            settle.pools.keep(settle.conn, now);
        }
    }

    fn fail(&mut self, outcome: Outcome) {
        if let Some(mut settle) = self.settle.take() {
            settle.guard.end(outcome);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.check_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.fail(Outcome::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Pending => {
                if self.settle.is_none() || Pin::new(&mut self.deadline).poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.fail(Outcome::Late);
                Poll::Ready(Some(Err("the deadline passed".into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.len() as u64;
        let rest = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}
