//! The platform's HTTP API, served from a [`MemoryStore`].
//!
//! `GET /vms` lists the VMs. `/objects/{key}` takes `GET`, `PUT` and `DELETE`.
//! `GET` with `after` and `wait` (in milliseconds) waits for a version other
//! than `after` and answers 304 if there is none in that time. `PUT` is
//! conditional: `If-Match` holds the version to be replaced, and
//! `If-None-Match` requires that there is no object. `ETag` carries the version.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use net::body;
use net::exec::Handle;
use net::server::Handler;
use net::server::Server;
use net::Body;
use net::BoxFuture;
use net::Stop;
use plat::Condition;
use plat::Error;
use plat::Object;
use plat::Store;
use plat::VALUE_MAX_BYTES;
use smol::net::TcpListener;

use crate::store::MemoryStore;

/// A stand-in for the platform, served until its threads end.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    store: Arc<MemoryStore>,
}

struct Api(Arc<MemoryStore>);

impl Platform {
    /// Starts the platform on a free port of `ip`; `seed` is that of
    /// [`MemoryStore::new`]. Fails if the port cannot be bound.
    pub async fn start(ip: IpAddr, seed: u64, handle: Handle) -> std::io::Result<Self> {
        Self::start_at((ip, 0).into(), seed, handle).await
    }

    /// Starts the platform at `address`; `seed` is that of [`MemoryStore::new`].
    /// Fails if the port cannot be bound.
    pub async fn start_at(address: SocketAddr, seed: u64, handle: Handle) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let store = Arc::new(MemoryStore::new(seed));
        let api = Arc::new(Api(store.clone()));
        let server = Server::new(api, handle.clone(), Stop::new());
        handle.spawn_detached(server.run(listener));
        Ok(Self { address, store })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the store behind the API, for example to inject faults.
    pub fn store(&self) -> &Arc<MemoryStore> {
        &self.store
    }
}

impl Api {
    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/vms" {
            return match self.0.vms().await {
                Ok(vms) => respond(StatusCode::OK, serde_json::to_vec(&vms).unwrap_or_default()),
                Err(error) => error_response(&error),
            };
        }
        let Some(key) = path.strip_prefix("/objects/") else {
            return respond(StatusCode::NOT_FOUND, Vec::new());
        };
        match *request.method() {
            Method::GET => self.read(key, request.uri().query()).await,
            Method::PUT => self.write(key, request).await,
            Method::DELETE => match self.0.delete(key).await {
                Ok(()) => respond(StatusCode::NO_CONTENT, Vec::new()),
                Err(error) => error_response(&error),
            },
            _ => respond(StatusCode::METHOD_NOT_ALLOWED, Vec::new()),
        }
    }

    async fn read(&self, key: &str, query: Option<&str>) -> Response<Body> {
        let query_number = |name: &str| {
            query?
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(param, _)| *param == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let result = match (query_number("after"), query_number("wait")) {
            (Some(after), Some(wait)) => {
                let wait = Duration::from_millis(wait);
                let watched = self.0.watch(key, after, wait).await;
                watched.map(|object| (object, StatusCode::NOT_MODIFIED))
            }
            _ => {
                let read = self.0.get(key).await;
                read.map(|object| (object, StatusCode::NOT_FOUND))
            }
        };
        match result {
            Ok((Some(object), _)) => object_response(object),
            Ok((None, status)) => respond(status, Vec::new()),
            Err(error) => error_response(&error),
        }
    }

    async fn write(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        let headers = request.headers();
        let version = headers
            .get(header::IF_MATCH)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok());
        let absent = headers.contains_key(header::IF_NONE_MATCH);
        let condition = match (version, absent) {
            (Some(version), _) => Condition::Version(version),
            (None, true) => Condition::Absent,
            (None, false) => return respond(StatusCode::PRECONDITION_REQUIRED, Vec::new()),
        };
        let Ok(value) = body::collect(request.into_body(), VALUE_MAX_BYTES + 1).await else {
            return error_response(&Error::TooLarge(VALUE_MAX_BYTES + 1));
        };
        match self.0.put(key, value.to_vec(), condition).await {
            Ok(version) => with_version(respond(StatusCode::OK, Vec::new()), version),
            Err(error) => error_response(&error),
        }
    }
}

fn respond(status: StatusCode, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    response
}

fn with_version(mut response: Response<Body>, version: u64) -> Response<Body> {
    let value = http::HeaderValue::from(version);
    response.headers_mut().insert(header::ETAG, value);
    response
}

fn object_response(object: Object) -> Response<Body> {
    with_version(respond(StatusCode::OK, object.value), object.version)
}

fn error_response(error: &Error) -> Response<Body> {
    let status = match error {
        Error::Compacted | Error::Indistinct => StatusCode::GONE,
        Error::Conflict => StatusCode::PRECONDITION_FAILED,
        Error::RateLimited(_) => StatusCode::TOO_MANY_REQUESTS,
        Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        Error::Unavailable(_) | Error::WatchCut(_) => StatusCode::SERVICE_UNAVAILABLE,
        Error::OutcomeUnknown(_) | Error::TooLong(_) | Error::Malformed(_) => {
            StatusCode::INTERNAL_SERVER_ERROR
        }
    };
    respond(status, error.to_string().into_bytes())
}

impl Handler for Api {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.route(request).await })
    }
}
