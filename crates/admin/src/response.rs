//! Answers of the API.

use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use net::body;
use net::Body;
use serde::Deserialize;
use serde::Serialize;

/// What the API says when it does not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The status.
    pub status: u16,
    /// What is wrong and what to do about it.
    pub detail: String,
}

/// Answers with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", bytes)
}

/// Answers with text.
pub fn text(status: StatusCode, bytes: impl Into<Vec<u8>>) -> Response<Body> {
    typed(status, "text/plain; charset=utf-8", bytes.into())
}

/// Answers with a problem.
pub fn problem(status: StatusCode, detail: impl Into<String>) -> Response<Body> {
    let problem = Problem {
        status: status.as_u16(),
        detail: detail.into(),
    };
    json(status, &problem)
}

fn typed(status: StatusCode, kind: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
