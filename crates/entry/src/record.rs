//! The record of a call: where it came in, where it was served.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::header;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use obs::spans::ActiveSpan;
use obs::CallRecord;

use crate::answer::Answer;
use crate::answer::Disposition;

/// Where a call was served.
#[derive(Clone, Debug)]
pub struct Place {
    /// The name of the backend server.
    pub server: String,
    /// The name of its failure domain.
    pub domain: String,
    /// Attempts that were made, this one included.
    pub attempts: u32,
}

/// A call as it came in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The host that it names.
    pub host: String,
    /// Its path.
    pub path: String,
    method: String,
    trace: String,
    id: String,
}

impl Arrival {
    /// Notes what is needed of `request` once it is taken apart.
    pub fn new<B>(request: &Request<B>, span: &ActiveSpan, id: Option<&HeaderValue>) -> Self {
        let named = request.headers().get(header::HOST);
        let named = named.and_then(|value| value.to_str().ok());
        let host = request.uri().authority().map(|host| host.as_str());
        Self {
            host: host.or(named).unwrap_or_default().to_owned(),
            path: request.uri().path().to_owned(),
            method: request.method().to_string(),
            trace: span.trace_id(),
            id: id
                .and_then(|id| id.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
        }
    }

    /// Makes the record of a call that a server answered.
    pub fn served(
        self,
        service: &str,
        place: &Place,
        status: StatusCode,
        took: Duration,
    ) -> CallRecord {
        CallRecord {
            domain: place.domain.clone(),
            server: place.server.clone(),
            attempts: place.attempts,
            ..self.record(service, status, Disposition::Served, took)
        }
    }

    /// Makes the record of a call that this system answered itself.
    pub fn refused(self, service: &str, answer: &Answer, took: Duration) -> CallRecord {
        self.record(service, answer.status, answer.disposition, took)
    }

    fn record(
        self,
        service: &str,
        status: StatusCode,
        disposition: Disposition,
        took: Duration,
    ) -> CallRecord {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        CallRecord {
            at: since.unwrap_or_default().as_millis() as u64,
            trace: self.trace,
            id: self.id,
            service: service.to_owned(),
            method: self.method,
            path: self.path,
            status: status.as_u16(),
            outcome: disposition.name().into(),
            domain: String::new(),
            server: String::new(),
            attempts: 0,
            took: took.as_micros() as u64,
        }
    }
}
