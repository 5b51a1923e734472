//! The platform's object API over HTTP.
//!
//! An object is at `/objects/KEY`; its version is in the `etag` header, a
//! condition in `if-match` or `if-none-match`. A watch is a read with the
//! query `after=VERSION&wait=MILLISECONDS`, answered 304 if nothing changed.
//! The VM list is at `/vms`.

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

/// How long a call may take before it counts as lost.
const PATIENCE: Duration = Duration::from_secs(2);
/// The wait that a refusal for rate asks for if it names none.
const BUSY_WAIT: Duration = Duration::from_secs(1);

/// A client of one platform address.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    handle: Handle,
}

impl Client {
    /// Makes a client of the platform at `address`.
    pub fn new(address: SocketAddr, handle: Handle) -> Self {
        Self { address, handle }
    }

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
        let limit = VALUE_MAX_BYTES + 1;
        let answer = client::fetch(&self.handle, self.address, request, PATIENCE + wait, limit);
        let answer = answer.await.map_err(from_client)?;
        from_status(answer)
    }
}

fn from_client(error: client::Error) -> Error {
    match error {
        client::Error::Connect(..) => Error::Unavailable(error.to_string()),
        _ => Error::OutcomeUnknown(error.to_string()),
    }
}

fn from_status(answer: Response<Bytes>) -> Result<Response<Bytes>> {
    match answer.status() {
        StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited(retry_after(&answer))),
        StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge(VALUE_MAX_BYTES + 1)),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable("it answered 503".into())),
        status if status.is_server_error() => {
            Err(Error::OutcomeUnknown(format!("it answered {status}")))
        }
        _ => Ok(answer),
    }
}

fn retry_after(answer: &Response<Bytes>) -> Duration {
    let seconds = answer
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    seconds.map_or(BUSY_WAIT, Duration::from_secs)
}

fn version(answer: &Response<Bytes>) -> Result<Version> {
    answer
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok())
        .ok_or_else(|| Error::Malformed("no version in it".into()))
}

fn object(answer: Response<Bytes>) -> Result<Option<Object>> {
    match answer.status() {
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        StatusCode::OK => Ok(Some(Object {
            version: version(&answer)?,
            value: answer.into_body().to_vec(),
        })),
        status => Err(Error::Malformed(format!("it answered {status}"))),
    }
}

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            let path = format!("/objects/{key}");
            let call = self.call(Method::GET, &path, None, Vec::new(), Duration::ZERO);
            object(call.await?)
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
            version(&call.await?)
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
            object(call.await?)
        })
    }

    fn vms(&self) -> BoxFuture<'_, Result<Vec<ListedVm>>> {
        Box::pin(async move {
            let call = self.call(Method::GET, "/vms", None, Vec::new(), Duration::ZERO);
            let answer = call.await?;
            serde_json::from_slice(answer.body())
                .map_err(|error| Error::Malformed(error.to_string()))
        })
    }
}
