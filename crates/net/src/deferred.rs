//! A body that defers its error until the preceding data has been written.
//!
//! hyper closes an HTTP/1.1 connection as soon as a body fails, and drops what it
//! has buffered for the peer. If the head and the error are ready in the same poll,
//! the peer sees a connection that closes without any response. The error is
//! therefore deferred by one poll, because hyper writes its buffer after each poll.
//! See `docs/design/call-path.md`.

use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::body::BoxError;
use crate::lookahead::TurnGuard;
use crate::Body;

/// A wrapper around a body that defers the error of the body by one poll.
pub struct DeferredErrorBody {
    inner: Body,
    /// The error that the next poll returns.
    error: Option<BoxError>,
    /// Dropped with the body, which ends the turn of its request.
    turn: Option<TurnGuard>,
}

impl DeferredErrorBody {
    /// Wraps `inner`.
    pub fn new(inner: Body) -> Self {
        Self {
            inner,
            error: None,
            turn: None,
        }
    }

    /// Ends the turn of the request when the body is dropped.
    pub(crate) fn with_turn(mut self, turn: TurnGuard) -> Self {
        self.turn = Some(turn);
        self
    }
}

impl HttpBody for DeferredErrorBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        if let Some(turn) = &self.turn {
            ready!(turn.poll_room(cx));
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(turn), Some(data)) = (&self.turn, frame.data_ref()) {
                    turn.add_unwritten(data.len());
                }
                Poll::Ready(Some(Ok(frame)))
            }
            other => other,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
