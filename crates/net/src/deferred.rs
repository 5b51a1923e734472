//! A body whose error waits until what came before it has been written.
//!
//! hyper closes an HTTP/1.1 connection as soon as a body ends in an error, and
//! drops what it has gathered for the peer. If the head and the error are ready
//! at the same moment, the peer would see a connection that closed without any
//! answer. So the error is held back for one turn, at the end of which hyper
//! writes. See `docs/design/call-path.md`.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::body::BoxError;
use crate::Body;

/// A body with its error, once there is one.
pub struct DeferredErrorBody {
    inner: Body,
    error: Option<BoxError>,
}

impl DeferredErrorBody {
    /// Takes charge of `inner`.
    pub fn new(inner: Body) -> Self {
        Self { inner, error: None }
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
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
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
