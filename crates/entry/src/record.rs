//! Builds the records of calls: the request, its outcome, and the server that responded.

use std::net::IpAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::header;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use obs::spans::ActiveSpan;
use obs::CallRecord;

use crate::local_response::Disposition;
use crate::local_response::LocalResponse;

/// The server that responded to a call.
#[derive(Clone, Debug)]
pub struct ServedBy {
    /// The name of the backend server.
    pub server: String,
    /// The name of the server's failure domain.
    pub domain: String,
    /// The number of first attempts and retries of the call that got a permit; hedges and
    /// rescues are not counted.
    pub attempts: u32,
}

/// The properties of a caller's request that its call record needs.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// The host from the request's URI or its `host` field, empty if there is none.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    method: String,
    trace: String,
    id: String,
    caller: IpAddr,
    /// The name of the team that makes the call, once it is known.
    pub(crate) team: Option<String>,
}

/// Returns the host from the URI of `request` or its `host` field, empty if there is
/// none.
pub(crate) fn host_of<B>(request: &Request<B>) -> &str {
    let field = request.headers().get(header::HOST);
    let field = field.and_then(|value| value.to_str().ok());
    let authority = request
        .uri()
        .authority()
        .map(|authority| authority.as_str());
    authority.or(field).unwrap_or_default()
}

impl RequestSummary {
    /// Copies the properties from `request`, which is consumed before the record is
    /// created. `id` is the caller's id of the call, and `caller` its address.
    pub fn new<B>(
        request: &Request<B>,
        span: &ActiveSpan,
        id: Option<&HeaderValue>,
        caller: IpAddr,
    ) -> Self {
        Self {
            host: host_of(request).to_owned(),
            path: request.uri().path().to_owned(),
            method: request.method().to_string(),
            trace: span.trace_id(),
            id: id
                .and_then(|id| id.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            caller,
            team: None,
        }
    }

    /// Creates the record of a call to which a server responded.
    pub fn served(
        self,
        service: &str,
        served_by: &ServedBy,
        status: StatusCode,
        took: Duration,
    ) -> CallRecord {
        CallRecord {
            domain: served_by.domain.clone(),
            server: served_by.server.clone(),
            attempts: served_by.attempts,
            ..self.record(service, status, Disposition::Served, took)
        }
    }

    /// Creates the record of a call to which the load balancer responded itself.
    pub fn refused(self, service: &str, response: &LocalResponse, took: Duration) -> CallRecord {
        let record = self.record(service, response.status, response.disposition, took);
        match &response.may_have_run {
            None => record,
            Some(server) => CallRecord {
                domain: server.domain.clone(),
                server: server.server.clone(),
                attempts: server.attempts,
                ..record
            },
        }
    }

    fn record(
        self,
        service: &str,
        status: StatusCode,
        disposition: Disposition,
        took: Duration,
    ) -> CallRecord {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        CallRecord {
            at: unix_time.unwrap_or_default().as_millis() as u64,
            trace: self.trace,
            id: self.id,
            caller: self.caller.to_string(),
            service: service.to_owned(),
            team: self.team.unwrap_or_default(),
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
