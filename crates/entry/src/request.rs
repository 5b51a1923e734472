//! A caller's request in a form that can be sent to several servers.

use std::net::SocketAddr;
use std::sync::Arc;

use base::TeamId;
use bytes::Bytes;
use bytes::BytesMut;
use conf::Team;
use http::header;
use http::header::HeaderName;
use http::request::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Limited;
use net::body;
use net::body::BoxError;
use net::budget::MemoryBudget;
use net::budget::Reservation;
use net::Body;
use route::crashes::Fingerprint;

use crate::clean_body::CleanBody;
use crate::dialect::Dialect;
use crate::headers;
use crate::local_response::LocalResponse;

/// The largest request body that is buffered: it is read completely before a permit is
/// requested, and kept for further attempts. Larger ones are streamed, and so are those
/// that do not fit the VM's budget.
pub const BUFFERED_MAX_BYTES: usize = 512 << 10;

/// The fields that, with the method, path and body, tell one request from another.
const IDENTIFYING_FIELDS: [HeaderName; 3] = [header::HOST, header::AUTHORIZATION, header::COOKIE];
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// The body of a caller's request.
pub trait CallBody:
    hyper::body::Body<Data = Bytes, Error: Into<BoxError>> + Send + Sync + Unpin + 'static
{
}

impl<B> CallBody for B where
    B: hyper::body::Body<Data = Bytes, Error: Into<BoxError>> + Send + Sync + Unpin + 'static
{
}

enum RequestBody {
    /// A complete body, which can be sent again.
    Buffered {
        bytes: Bytes,
        /// Returns the memory to the budget with the body.
        _memory: Reservation,
    },
    /// A body that is forwarded while it is received; `None` once an attempt has taken
    /// the body.
    Streamed(Option<Body>),
}

/// A request to be sent to servers.
pub struct OutgoingRequest {
    method: Method,
    uri: Uri,
    fields: HeaderMap,
    body: RequestBody,
    /// The team that makes the call, if any.
    team: Option<TeamId>,
}

impl OutgoingRequest {
    /// Creates the request to servers from the parts of a caller's request.
    ///
    /// `peer` is the caller's address, and `max_body` the limit of the body in bytes. A
    /// body of at most [`BUFFERED_MAX_BYTES`] is read here if `budget` allows it, before a
    /// permit is requested, so that a slow caller does not occupy a slot of a server.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if the path is invalid, the body is known to
    /// be larger than `max_body`, or a buffered body is truncated.
    pub async fn new(
        parts: Parts,
        incoming: impl CallBody,
        peer: SocketAddr,
        max_body: usize,
        budget: &MemoryBudget,
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
        let body = read_body(incoming, max_body, budget).await?;
        Ok(Self {
            method: parts.method,
            uri,
            fields,
            body,
            team: None,
        })
    }

    /// Creates the request to another VM that handles the call as one of its own. What that VM
    /// reads stays even if the caller's `connection` field lists it.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::new`] does.
    pub async fn new_relayed(
        parts: Parts,
        incoming: impl CallBody,
        peer: SocketAddr,
        max_body: usize,
        budget: &MemoryBudget,
        dialect: &dyn Dialect,
    ) -> Result<Self, LocalResponse> {
        let mut names = dialect.entry_fields();
        names.extend([header::HOST, headers::IDEMPOTENCY_KEY]);
        let read: Vec<(HeaderName, HeaderValue)> = names
            .iter()
            .flat_map(|name| parts.headers.get_all(name).iter().map(move |v| (name, v)))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        let mut outgoing = Self::new(parts, incoming, peer, max_body, budget).await?;
        for (name, _) in &read {
            outgoing.fields.remove(name);
        }
        for (name, value) in read {
            outgoing.fields.append(name, value);
        }
        Ok(outgoing)
    }

    /// Makes this a request of `team` to servers: the caller's key is removed, and the team
    /// is named in place of what the caller wrote, in all attempts.
    pub fn set_team(&mut self, team: Option<&Team>, dialect: &Arc<dyn Dialect>) {
        dialect.strip_caller_fields(&mut self.fields);
        if let RequestBody::Streamed(body) = &mut self.body {
            *body = body.take().map(|inner| {
                let dialect = dialect.clone();
                body::boxed(CleanBody { inner, dialect })
            });
        }
        // A name that no field can carry is not decoded in the first place.
        let name = team.and_then(|team| HeaderValue::from_str(&team.name).ok());
        if let Some(name) = name {
            dialect.set_team(&mut self.fields, name);
        }
        self.team = team.map(Team::id);
    }

    /// Returns a hash of what makes servers treat requests alike: the method, host, path,
    /// query, body, credentials and team. Of a streamed body only the length is known.
    ///
    /// The caller's address is left out, since a caller may have several.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = base::hash::of(&[self.method.as_str(), &self.uri.to_string()]);
        for name in &IDENTIFYING_FIELDS {
            for value in self.fields.get_all(name) {
                hash = base::hash::mix(hash, base::hash::of_bytes(value.as_bytes()));
            }
            hash = base::hash::mix(hash, base::hash::of(&[name.as_str()]));
        }
        if let Some(team) = self.team {
            hash = base::hash::mix(hash, team);
        }
        let body = match &self.body {
            RequestBody::Buffered { bytes, .. } => base::hash::of_bytes(bytes),
            RequestBody::Streamed(_) => {
                let length = self.fields.get(header::CONTENT_LENGTH);
                base::hash::of_bytes(length.map_or(b"".as_slice(), HeaderValue::as_bytes))
            }
        };
        base::hash::mix(hash, body)
    }

    /// Returns whether the request can be sent again after some of it has been sent.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.body, RequestBody::Buffered { .. })
    }

    /// Builds the request for one attempt; `None` if an earlier attempt has taken the
    /// streamed body.
    pub fn build(&mut self) -> Option<Request<Body>> {
        let attempt_body = match &mut self.body {
            RequestBody::Buffered { bytes, .. } if bytes.is_empty() => body::empty(),
            RequestBody::Buffered { bytes, .. } => body::full(bytes.clone()),
            RequestBody::Streamed(body) => body.take()?,
        };
        let mut request = Request::new(attempt_body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.fields.clone();
        Some(request)
    }

    /// Puts back the body of a request from [`Self::build`] of which nothing was sent.
    pub fn restore(&mut self, request: Request<Body>) {
        if let RequestBody::Streamed(body) = &mut self.body {
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

fn too_large(max_body: usize) -> LocalResponse {
    LocalResponse::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-size",
        format!("the body is larger than {max_body} bytes; send less"),
    )
}

/// Reads a small body completely, and wraps a larger one into a stream limited to
/// `max_body` bytes. What of a larger one has been read becomes the start of the stream.
async fn read_body(
    mut incoming: impl CallBody,
    max_body: usize,
    budget: &MemoryBudget,
) -> Result<RequestBody, LocalResponse> {
    let hint = incoming.size_hint();
    if hint.lower() > max_body as u64 {
        return Err(too_large(max_body));
    }
    let mut reservation = budget.empty();
    if incoming.is_end_stream() {
        return Ok(RequestBody::Buffered {
            bytes: Bytes::new(),
            _memory: reservation,
        });
    }
    let max_buffered = BUFFERED_MAX_BYTES.min(max_body);
    let known = usize::try_from(hint.lower()).unwrap_or(usize::MAX);
    if known > max_buffered || !reservation.grow(known) {
        let limited = Limited::new(incoming, max_body);
        return Ok(RequestBody::Streamed(Some(body::boxed(limited))));
    }
    let mut buffered = BytesMut::with_capacity(known);
    let mut reserved = known;
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| cut_body())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffered.extend_from_slice(&data);
        let more = buffered.len().saturating_sub(reserved);
        if buffered.len() > max_buffered || !reservation.grow(more) {
            let left = max_body.saturating_sub(buffered.len());
            let rest = Limited::new(incoming, left);
            let streamed = body::prefixed(buffered.freeze(), rest);
            return Ok(RequestBody::Streamed(Some(streamed)));
        }
        reserved += more;
    }
    Ok(RequestBody::Buffered {
        bytes: buffered.freeze(),
        _memory: reservation,
    })
}

fn cut_body() -> LocalResponse {
    LocalResponse::not_run(
        StatusCode::BAD_REQUEST,
        "cut-body",
        "the body ended before its end; send it whole",
    )
}

/// Appends the caller's IP address to `x-forwarded-for`.
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
