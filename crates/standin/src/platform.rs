//! The platform's object API on loopback, in front of [`MemoryStore`].

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

/// The platform.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    store: Arc<MemoryStore>,
}

struct Api(Arc<MemoryStore>);

impl Platform {
    /// Starts the platform on a free port of `ip`.
    pub async fn start(ip: IpAddr, seed: u64, handle: Handle) -> std::io::Result<Self> {
        Self::start_at((ip, 0).into(), seed, handle).await
    }

    /// Starts the platform at `address`.
    pub async fn start_at(address: SocketAddr, seed: u64, handle: Handle) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let store = Arc::new(MemoryStore::new(seed));
        let api = Arc::new(Api(store.clone()));
        let server = Server::new(api, handle.clone(), Stop::new());
        handle.spawn_detached(server.run(listener));
        Ok(Self { address, store })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the objects behind it.
    pub fn store(&self) -> &Arc<MemoryStore> {
        &self.store
    }
}

impl Api {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/vms" {
            return match self.0.vms().await {
                Ok(vms) => plain(StatusCode::OK, serde_json::to_vec(&vms).unwrap_or_default()),
                Err(error) => refuse(&error),
            };
        }
        let Some(key) = path.strip_prefix("/objects/") else {
            return plain(StatusCode::NOT_FOUND, Vec::new());
        };
        match *request.method() {
            Method::GET => self.read(key, request.uri().query()).await,
            Method::PUT => self.write(key, request).await,
            Method::DELETE => match self.0.delete(key).await {
                Ok(()) => plain(StatusCode::NO_CONTENT, Vec::new()),
                Err(error) => refuse(&error),
            },
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, Vec::new()),
        }
    }

    async fn read(&self, key: &str, query: Option<&str>) -> Response<Body> {
        let number = |name: &str| {
            query?
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let result = match (number("after"), number("wait")) {
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
            Ok((Some(object), _)) => found(object),
            Ok((None, status)) => plain(status, Vec::new()),
            Err(error) => refuse(&error),
        }
    }

    async fn write(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        let fields = request.headers();
        let version = fields
            .get(header::IF_MATCH)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok());
        let absent = fields.contains_key(header::IF_NONE_MATCH);
        let condition = match (version, absent) {
            (Some(version), _) => Condition::Version(version),
            (None, true) => Condition::Absent,
            (None, false) => return plain(StatusCode::PRECONDITION_REQUIRED, Vec::new()),
        };
        let Ok(value) = body::collect(request.into_body(), VALUE_MAX_BYTES + 1).await else {
            return refuse(&Error::TooLarge(VALUE_MAX_BYTES + 1));
        };
        match self.0.put(key, value.to_vec(), condition).await {
            Ok(version) => with_version(plain(StatusCode::OK, Vec::new()), version),
            Err(error) => refuse(&error),
        }
    }
}

fn plain(status: StatusCode, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    response
}

fn with_version(mut response: Response<Body>, version: u64) -> Response<Body> {
    let value = http::HeaderValue::from(version);
    response.headers_mut().insert(header::ETAG, value);
    response
}

fn found(object: Object) -> Response<Body> {
    with_version(plain(StatusCode::OK, object.value), object.version)
}

fn refuse(error: &Error) -> Response<Body> {
    let status = match error {
        plat::Error::Compacted => StatusCode::GONE,
        Error::Conflict => StatusCode::PRECONDITION_FAILED,
        Error::RateLimited(_) => StatusCode::TOO_MANY_REQUESTS,
        Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        Error::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        Error::OutcomeUnknown(_) | Error::Malformed(_) => StatusCode::INTERNAL_SERVER_ERROR,
    };
    plain(status, error.to_string().into_bytes())
}

impl Handler for Api {
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}
