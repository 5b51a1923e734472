//! Builders for the API's responses.

use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use net::body;
use net::Body;
use serde::Deserialize;
use serde::Serialize;

/// The JSON body of a response to a request that was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The HTTP status code of the response.
    pub status: u16,
    /// What is wrong and what the operator can do about it.
    pub detail: String,
}

/// Returns a response with `value` as JSON. The body is empty if `value` cannot be
/// serialized.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", bytes)
}

/// Returns a response with a body of plain text in UTF-8.
pub fn text(status: StatusCode, bytes: impl Into<Vec<u8>>) -> Response<Body> {
    with_content_type(status, "text/plain; charset=utf-8", bytes.into())
}

/// Returns a response with a [`Problem`] that says `detail`.
pub fn problem(status: StatusCode, detail: impl Into<String>) -> Response<Body> {
    let problem = Problem {
        status: status.as_u16(),
        detail: detail.into(),
    };
    json(status, &problem)
}

fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    bytes: Vec<u8>,
) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
