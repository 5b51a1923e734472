//! Answers that this system gives itself, and the marks on those of servers.

use std::time::Duration;

use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use net::body;
use net::Body;

use crate::dialect::Dialect;
use crate::headers;

/// What a caller is told about its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// A server answered it.
    Served,
    /// It was not run; it is safe to send it again.
    NotRun,
    /// It may have run.
    Unknown,
    /// Another call with the same idempotency key came first; this one was not run.
    Duplicate,
}

impl Disposition {
    /// Returns the word in the answer, in metrics and in records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Duplicate => "duplicate",
        }
    }
}

/// An answer of this system's own.
#[derive(Clone, Debug)]
pub struct LocalResponse {
    /// The status.
    pub status: StatusCode,
    /// What became of the call.
    pub disposition: Disposition,
    /// A word for the reason.
    pub reason: &'static str,
    /// The reason in a sentence, with the remedy.
    pub detail: String,
    /// When another try makes sense.
    pub retry_after: Option<Duration>,
}

/// The body of an answer of this system's own.
#[derive(serde::Serialize)]
struct Problem<'a> {
    status: u16,
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
}

impl LocalResponse {
    /// Makes an answer to a call that was not run.
    pub fn not_run(status: StatusCode, reason: &'static str, text: impl Into<String>) -> Self {
        Self {
            status,
            disposition: Disposition::NotRun,
            reason,
            detail: text.into(),
            retry_after: None,
        }
    }

    /// Makes an answer to a call that may have run.
    pub fn unknown(status: StatusCode, reason: &'static str, text: impl Into<String>) -> Self {
        Self {
            disposition: Disposition::Unknown,
            ..Self::not_run(status, reason, text)
        }
    }

    /// Returns the same answer with the time after which to try again.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Makes the response.
    pub fn into_response(self, vm: &HeaderValue, dialect: &dyn Dialect) -> Response<Body> {
        let problem = Problem {
            status: self.status.as_u16(),
            outcome: self.disposition.name(),
            reason: self.reason,
            detail: &self.detail,
        };
        let text = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = Response::new(body::full(text));
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
        if let Some(after) = self.retry_after {
            dialect.set_retry_after(fields, after);
        }
        response
    }
}
