//! Bodies of requests and answers.

use bytes::Bytes;
use futures_lite::stream;
use http::HeaderMap;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Frame;

/// Any error of a body; a body that ends with one is not a whole one.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// A body of any kind.
pub type Body = BoxBody<Bytes, BoxError>;

/// Returns a body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Returns a body of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a body of `bytes` that is followed by `trailers`.
pub fn with_trailers(bytes: Bytes, trailers: HeaderMap) -> Body {
    // Its length is left open, as trailers follow chunks only.
    let frames = [Ok(Frame::data(bytes)), Ok(Frame::trailers(trailers))];
    boxed(StreamBody::new(stream::iter::<[Result<_, BoxError>; 2]>(
        frames,
    )))
}

/// Returns `body` with its kind hidden.
pub fn boxed<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + Sync + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed()
}

/// Reads the whole of `body`; an error if it is cut or longer than `limit` bytes.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BoxError>
where
    B: hyper::body::Body<Data = Bytes> + Send,
    B::Error: Into<BoxError>,
{
    let limited = Limited::new(body, limit);
    Ok(Box::pin(limited).collect().await?.to_bytes())
}
