//! A response body that is streamed to the caller.
//!
//! The permit is released when the body ends: complete, truncated, past the deadline, or
//! cancelled by the caller. A truncated body ends with an error, which aborts the
//! transfer, so that the caller cannot mistake a part of the body for the whole.

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

use crate::attempt::SentRequest;
use crate::guard::PermitGuard;
use crate::pool::Conn;
use crate::pool::Pools;
use crate::ports::Ports;

/// The permit and the connection that are released when a streamed body ends.
pub struct Completion {
    /// Holds the permit.
    pub guard: PermitGuard,
    /// The connection on which the body is received.
    pub conn: Conn,
    /// The pools to which the connection is returned.
    pub pools: Arc<Pools>,
    /// The interface to the VM.
    pub ports: Arc<dyn Ports>,
    /// The request and the server that responds to it.
    pub sent: SentRequest,
}

/// A response body that holds a permit and a connection until it ends.
pub struct TrackedBody {
    prefix: Bytes,
    inner: Incoming,
    deadline: Timer,
    /// `None` once the permit has been released.
    completion: Option<Completion>,
}

impl TrackedBody {
    /// Creates a body of `prefix` followed by `inner`, which fails when `deadline`
    /// expires. `completion` is released when `inner` ends.
    pub fn new(prefix: Bytes, inner: Incoming, deadline: Timer, completion: Completion) -> Self {
        let mut tracked = Self {
            prefix,
            inner,
            deadline,
            completion: Some(completion),
        };
        tracked.check_end();
        tracked
    }

    /// Releases the permit as soon as the body is known to have ended, without waiting
    /// for the caller to read the end.
    fn check_end(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    /// Releases the permit and returns the connection to its pool.
    fn finish(&mut self) {
        if let Some(mut completion) = self.completion.take() {
            completion.guard.end(Outcome::Done);
            let fingerprint = completion.sent.fingerprint;
            completion.ports.record_response(fingerprint);
            let now = completion.ports.now();
            completion.pools.keep(completion.conn, now);
        }
    }

    /// Releases the permit and closes the connection.
    fn fail(&mut self, outcome: Outcome) {
        if let Some(mut completion) = self.completion.take() {
            completion.guard.end(outcome);
            if outcome == Outcome::Broken {
                completion.sent.record_lost(&*completion.ports);
            }
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
                if self.completion.is_none() || Pin::new(&mut self.deadline).poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.fail(Outcome::Late);
                Poll::Ready(Some(Err(
                    "the response body did not end before the deadline".into(),
                )))
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
