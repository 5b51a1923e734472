//! Responses that the load balancer generates itself, such as refusals and errors.

use std::time::Duration;

use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use net::body;
use net::Body;

use crate::call::set_server_fields;
use crate::dialect::Dialect;
use crate::headers;
use crate::record::ServedBy;

/// What became of a call, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// A server responded to the call, possibly with an error status.
    Served,
    /// No server ran the call, so the caller can safely send it again.
    NotRun,
    /// A server may have run the call, wholly or in part.
    Unknown,
    /// An earlier call has the same idempotency key; this call was not run.
    Duplicate,
}

impl Disposition {
    /// Returns the name used in response headers and bodies, metrics and call records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Duplicate => "duplicate",
        }
    }
}

/// A response that the load balancer generates itself.
#[derive(Clone, Debug)]
pub struct LocalResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// What became of the call.
    pub disposition: Disposition,
    /// The reason as a short identifier, for the response header, metrics and logs.
    pub reason: &'static str,
    /// The reason and the remedy in a sentence, for the response body.
    pub detail: String,
    /// How long the caller should wait before it sends the call again; `None` if
    /// no delay is recommended.
    pub retry_after: Option<Duration>,
    /// The server that may have run the call; `None` if none may have, or if it is not
    /// known.
    pub may_have_run: Option<ServedBy>,
}

/// The body of a [`LocalResponse`]: a problem document (RFC 9457).
#[derive(serde::Serialize)]
struct Problem<'a> {
    status: u16,
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
}

impl LocalResponse {
    /// Creates the response to a call that was not run.
    pub fn not_run(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            disposition: Disposition::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
            may_have_run: None,
        }
    }

    /// Creates the response to a call that may have run.
    pub fn unknown(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self {
            disposition: Disposition::Unknown,
            ..Self::not_run(status, reason, detail)
        }
    }

    /// Sets how long the caller should wait before it sends the call again.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the server that may have run the call. A response that says that the call was
    /// not run names no server.
    pub fn with_may_have_run(mut self, server: Option<ServedBy>) -> Self {
        if self.disposition == Disposition::Unknown {
            self.may_have_run = server;
        }
        self
    }

    /// Converts this into an HTTP response that names the entry VM `vm`. `dialect` sets
    /// the header fields for the retry delay.
    pub fn into_response(self, vm: &HeaderValue, dialect: &dyn Dialect) -> Response<Body> {
        let problem = Problem {
            status: self.status.as_u16(),
            outcome: self.disposition.name(),
            reason: self.reason,
            detail: &self.detail,
        };
        let encoded = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = Response::new(body::full(encoded));
        *response.status_mut() = self.status;
        let fields = response.headers_mut();
        fields.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        fields.insert(headers::VM, vm.clone());
        fields.insert(
            headers::OUTCOME,
            HeaderValue::from_static(self.disposition.name()),
        );
        fields.insert(headers::REASON, HeaderValue::from_static(self.reason));
        if let Some(server) = &self.may_have_run {
            set_server_fields(fields, server);
        }
        if let Some(delay) = self.retry_after {
            dialect.set_retry_after(fields, delay);
        }
        response
    }
}
