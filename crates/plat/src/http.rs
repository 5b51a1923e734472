//! An HTTP client of the platform's object store and VM list.
//!
//! An object is at `/objects/KEY`. Its version is in the `etag` header of the
//! response. The condition of a write is in the header `if-match` or `if-none-match`.
//! A watch is a read with the query `after=VERSION&wait=MILLISECONDS`, to which the
//! platform responds with status 304 if nothing has changed. The VM list is at `/vms`.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::header;
use ::http::Method;
use ::http::Request;
use ::http::Response;
use ::http::StatusCode;
use bytes::Bytes;
use net::body;
use net::client;
use net::exec::Handle;
use net::Body;
use net::BoxFuture;

use crate::Condition;
use crate::Error;
use crate::ListedVm;
use crate::Object;
use crate::Result;
use crate::Store;
use crate::Version;
use crate::VALUE_MAX_BYTES;

/// The time limit for a call, in addition to the time that a watch may wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before the next call if a response with status 429 has no `retry-after`
/// header.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// A client of the platform at one address.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    handle: Handle,
}

impl Client {
    /// Creates a client of the platform at `address`. Its connections run on `handle`.
    pub fn new(address: SocketAddr, handle: Handle) -> Self {
        Self { address, handle }
    }

    /// Sends one request and maps error statuses to [`Error`]. `wait` is how long the
    /// platform may hold back the response to a watch, and zero for other requests.
    async fn call(
        &self,
        method: Method,
        path: &str,
        condition: Option<Condition>,
        value: Vec<u8>,
        wait: Duration,
    ) -> Result<Response<Bytes>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        builder = match condition {
            None => builder,
            Some(Condition::Absent) => builder.header(header::IF_NONE_MATCH, "*"),
            Some(Condition::Version(version)) => builder.header(header::IF_MATCH, version),
        };
        let body: Body = body::full(value);
        let request = builder
            .body(body)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let max_bytes = VALUE_MAX_BYTES + 1;
        let response = client::fetch(
            &self.handle,
            self.address,
            request,
            CALL_TIMEOUT + wait,
            max_bytes,
        );
        let response = response.await.map_err(classify_error)?;
        check_status(response)
    }
}

/// Maps a client error to an error of the platform. The request certainly had no effect
/// only if the connection could not be established.
fn classify_error(error: client::Error) -> Error {
    match error {
        client::Error::Connect(..) => Error::Unavailable(error.to_string()),
        _ => Error::OutcomeUnknown(error.to_string()),
    }
}

fn check_status(response: Response<Bytes>) -> Result<Response<Bytes>> {
    match response.status() {
        StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited(retry_after(&response))),
        StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge(VALUE_MAX_BYTES + 1)),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable("HTTP status 503".into())),
        status if status.is_server_error() => {
            Err(Error::OutcomeUnknown(format!("HTTP status {status}")))
        }
        _ => Ok(response),
    }
}

fn retry_after(response: &Response<Bytes>) -> Duration {
    let seconds = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    seconds.map_or(RETRY_AFTER_DEFAULT, Duration::from_secs)
}

fn parse_version(response: &Response<Bytes>) -> Result<Version> {
    response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok())
        .ok_or_else(|| Error::Malformed("no version in the etag header".into()))
}

fn parse_object(response: Response<Bytes>) -> Result<Option<Object>> {
    match response.status() {
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        StatusCode::OK => Ok(Some(Object {
            version: parse_version(&response)?,
            value: response.into_body().to_vec(),
        })),
        status => Err(Error::Malformed(format!("HTTP status {status}"))),
    }
}

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            let path = format!("/objects/{key}");
            let call = self.call(Method::GET, &path, None, Vec::new(), Duration::ZERO);
            parse_object(call.await?)
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        condition: Condition,
    ) -> BoxFuture<'a, Result<Version>> {
        Box::pin(async move {
            if value.len() > VALUE_MAX_BYTES {
                return Err(Error::TooLarge(value.len()));
            }
            let path = format!("/objects/{key}");
            let call = self.call(Method::PUT, &path, Some(condition), value, Duration::ZERO);
            parse_version(&call.await?)
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/objects/{key}");
            let call = self.call(Method::DELETE, &path, None, Vec::new(), Duration::ZERO);
            call.await.map(|_| ())
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            let path = format!("/objects/{key}?after={after}&wait={}", wait.as_millis());
            let call = self.call(Method::GET, &path, None, Vec::new(), wait);
            parse_object(call.await?)
        })
    }

    fn vms(&self) -> BoxFuture<'_, Result<Vec<ListedVm>>> {
        Box::pin(async move {
            let call = self.call(Method::GET, "/vms", None, Vec::new(), Duration::ZERO);
            let response = call.await?;
            serde_json::from_slice(response.body())
                .map_err(|error| Error::Malformed(error.to_string()))
        })
    }
}
