//! Bodies of requests and responses.

use std::pin::pin;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::stream;
use futures_lite::StreamExt;
use http::HeaderMap;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::Empty;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The error of a body. A body that ends with an error is incomplete.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// A boxed body of any type.
pub type Body = BoxBody<Bytes, BoxError>;

/// The size of the frames of a body. hyper copies each frame into its buffer.
const PIECE_BYTES: usize = 16 << 10;

/// A body of known length that comes in frames of at most [`PIECE_BYTES`].
struct Pieces(Bytes);

impl hyper::body::Body for Pieces {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let length = self.0.len().min(PIECE_BYTES);
        let piece = self.0.split_to(length);
        Poll::Ready((length > 0).then(|| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Returns a body that consists of `bytes`. Its length is known.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    BoxBody::new(Pieces(bytes.into()))
}

/// Returns a body that consists of `bytes`, followed by `trailers`.
pub fn with_trailers(bytes: Bytes, trailers: HeaderMap) -> Body {
    // A stream has no known length, so HTTP/1.1 sends it in chunks. Only a chunked
    // body can have trailers.
    let frames = [Ok(Frame::data(bytes)), Ok(Frame::trailers(trailers))];
    boxed(StreamBody::new(stream::iter::<[Result<_, BoxError>; 2]>(
        frames,
    )))
}

/// Returns a body that consists of `prefix`, followed by `rest`.
pub fn prefixed<B>(prefix: Bytes, rest: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + Sync + Unpin + 'static,
    B::Error: Into<BoxError>,
{
    let first = stream::once(Ok(Frame::data(prefix)));
    let rest = BodyStream::new(rest.map_err(Into::into));
    boxed(StreamBody::new(first.chain(rest)))
}

/// Boxes `body` to erase its type.
pub fn boxed<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + Sync + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed()
}

/// Reads `body` to its end. Fails if the body is truncated or longer than `limit`
/// bytes.
///
/// The frames are copied, so that a peer that sends a byte at a time does not have each of
/// them kept with its own allocation.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BoxError>
where
    B: hyper::body::Body<Data = Bytes> + Send,
    B::Error: Into<BoxError>,
{
    let mut limited = pin!(Limited::new(body, limit));
    let mut bytes = BytesMut::new();
    while let Some(frame) = limited.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}
