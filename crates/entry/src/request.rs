//! A caller's request, taken apart so that it can be sent more than once.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header;
use http::header::HeaderName;
use http::request::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Limited;
use hyper::body::Body as _;
use hyper::body::Incoming;
use net::body;
use net::Body;

use crate::headers;
use crate::local_response::LocalResponse;

/// The largest body that is read before a permit is asked for and kept for
/// another attempt.
pub const BUFFERED_MAX_BYTES: usize = 64 << 10;

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// The body of a request.
enum RequestBody {
    /// It has been read whole and can be sent again.
    Buffered(Bytes),
    /// It is passed on while it comes; none once it has been.
    Streamed(Option<Body>),
}

/// A request that can be sent to servers.
pub struct OutgoingRequest {
    method: Method,
    uri: Uri,
    fields: HeaderMap,
    content: RequestBody,
}

impl OutgoingRequest {
    /// Takes a caller's request apart; `most` bounds its body in bytes.
    ///
    /// A small body is read before anything else, so that a slow caller holds
    /// no slot of a server.
    pub async fn new(
        parts: Parts,
        incoming: Incoming,
        peer: SocketAddr,
        most: usize,
    ) -> Result<Self, LocalResponse> {
        let mut fields = parts.headers;
        headers::strip_hop_by_hop(&mut fields);
        headers::strip_reserved(&mut fields);
        fields.remove(header::EXPECT);
        add_peer(&mut fields, peer);
        if let (None, Some(host)) = (fields.get(header::HOST), parts.uri.authority()) {
            if let Ok(host) = HeaderValue::from_str(host.as_str()) {
                fields.insert(header::HOST, host);
            }
        }
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().map_err(|_| bad_path())?;
        let content = read(incoming, most).await?;
        Ok(Self {
            method: parts.method,
            uri,
            fields,
            content,
        })
    }

    /// Returns whether it can be sent again after some of it was.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.content, RequestBody::Buffered(_))
    }

    /// Makes the request for one attempt; none if the body is spent.
    pub fn make(&mut self) -> Option<Request<Body>> {
        let content = match &mut self.content {
            RequestBody::Buffered(bytes) if bytes.is_empty() => body::empty(),
            RequestBody::Buffered(bytes) => body::full(bytes.clone()),
            RequestBody::Streamed(body) => body.take()?,
        };
        let mut request = Request::new(content);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.fields.clone();
        Some(request)
    }

    /// Takes back a request of which nothing was sent.
    pub fn restore(&mut self, request: Request<Body>) {
        if let RequestBody::Streamed(body) = &mut self.content {
            *body = Some(request.into_body());
        }
    }
}

fn bad_path() -> LocalResponse {
    LocalResponse::not_run(
        StatusCode::BAD_REQUEST,
        "bad-path",
        "the path cannot be passed on; send an absolute path",
    )
}

fn too_large(most: usize) -> LocalResponse {
    LocalResponse::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-size",
        format!("the body is larger than {most} bytes; send less"),
    )
}

async fn read(incoming: Incoming, most: usize) -> Result<RequestBody, LocalResponse> {
    let hint = incoming.size_hint();
    if hint.lower() > most as u64 {
        return Err(too_large(most));
    }
    let small = hint
        .upper()
        .is_some_and(|upper| upper <= BUFFERED_MAX_BYTES as u64);
    if !small {
        let limited = Limited::new(incoming, most);
        return Ok(RequestBody::Streamed(Some(body::boxed(limited))));
    }
    if incoming.is_end_stream() {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    let bytes = body::collect(incoming, BUFFERED_MAX_BYTES)
        .await
        .map_err(|_| {
            LocalResponse::not_run(
                StatusCode::BAD_REQUEST,
                "cut-body",
                "the body ended before its end; send it whole",
            )
        })?;
    Ok(RequestBody::Buffered(bytes))
}

fn add_peer(fields: &mut HeaderMap, peer: SocketAddr) {
    let peer = peer.ip().to_string();
    let earlier = fields
        .get(FORWARDED_FOR)
        .and_then(|value| value.to_str().ok())
        .map(|value| format!("{value}, {peer}"));
    if let Ok(value) = HeaderValue::from_str(&earlier.unwrap_or(peer)) {
        fields.insert(FORWARDED_FOR, value);
    }
}
