//! A streamed request body whose trailers cannot name a team or carry a key.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use net::body::BoxError;
use net::Body;

use crate::dialect::Dialect;

/// A body from whose trailers the caller's key and the name of a team are removed.
pub(crate) struct CleanBody {
    pub(crate) inner: Body,
    pub(crate) dialect: Arc<dyn Dialect>,
}

impl hyper::body::Body for CleanBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut polled = Pin::new(&mut self.inner).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &mut polled {
            if let Some(trailers) = frame.trailers_mut() {
                self.dialect.strip_caller_fields(trailers);
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
