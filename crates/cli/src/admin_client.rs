//! A client of the administration API of a VM.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use admin::response::Problem;
use bytes::Bytes;
use http::header;
use http::Method;
use http::Request;
use net::body;
use net::client;
use net::ThreadPool;
use pico_args::Arguments;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// The address of the API if neither `--admin` nor `SNIPEPADDLE_ADMIN` is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:9100";
/// The time limit for a request, from the connection attempt to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of a response body.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// A blocking client of one VM's administration API.
pub(crate) struct AdminClient {
    address: SocketAddr,
    /// The access token; `None` if the VM requires none.
    token: Option<String>,
    /// Whether commands print responses as received (`--json`).
    pub(crate) raw: bool,
    pool: ThreadPool,
}

impl AdminClient {
    /// Creates a client from the options `--admin`, `--token-file` and `--json`, or the
    /// environment variables in place of the first two.
    ///
    /// Fails if the address is invalid or the token file cannot be read.
    pub(crate) fn new(args: &mut Arguments) -> Result<Self, Error> {
        let option: Option<String> = args.opt_value_from_str("--admin")?;
        let address = option.or_else(|| std::env::var("SNIPEPADDLE_ADMIN").ok());
        let address = address.unwrap_or_else(|| DEFAULT_ADDRESS.into());
        let address = address.parse().map_err(|_| {
            Error::Usage(format!(
                "--admin {address} is not an address; write an IP address and a port"
            ))
        })?;
        let file: Option<PathBuf> = args.opt_value_from_str("--token-file")?;
        let token = match file {
            Some(file) => Some(read_token(&file)?),
            None => std::env::var("SNIPEPADDLE_TOKEN").ok(),
        };
        Ok(Self {
            address,
            token,
            raw: args.contains("--json"),
            pool: ThreadPool::new("client", 1),
        })
    }

    /// Sends a GET request for `path` and returns the body of the response.
    pub(crate) fn get(&self, path: &str) -> Result<Bytes, Error> {
        self.send(Method::GET, path, Vec::new())
    }

    /// Sends a GET request for `path` and parses the response.
    pub(crate) fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        parse_response(&self.get(path)?)
    }

    /// Sends `bytes` to `path` in a POST request and returns the body of the response.
    pub(crate) fn post(&self, path: &str, bytes: Vec<u8>) -> Result<Bytes, Error> {
        self.send(Method::POST, path, bytes)
    }

    /// Sends a request and returns the body of the response. A response with an error
    /// status becomes an error with the detail that the VM gave.
    fn send(&self, method: Method, path: &str, bytes: Vec<u8>) -> Result<Bytes, Error> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if let Some(token) = &self.token {
            builder = builder.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = builder
            .body(body::full(bytes))
            .map_err(|error| Error::Usage(error.to_string()))?;
        let handle = self.pool.handle();
        let response = client::fetch(
            &handle,
            self.address,
            request,
            REQUEST_TIMEOUT,
            RESPONSE_MAX_BYTES,
        );
        let response = smol::block_on(response).map_err(|e| Error::Unreachable(e.to_string()))?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        let problem: Result<Problem, _> = serde_json::from_slice(response.body());
        Err(Error::Refused(match problem {
            Ok(problem) => problem.detail,
            Err(_) => format!("the VM responded with status {}", response.status()),
        }))
    }
}

/// Parses the JSON body of a response.
pub(crate) fn parse_response<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| {
        Error::Refused(format!(
            "the response cannot be parsed ({error}); use the snipepaddle version of the daemon"
        ))
    })
}

/// Prints the body of a response as received.
pub(crate) fn print_raw(bytes: &[u8]) {
    println!("{}", String::from_utf8_lossy(bytes));
}

/// Returns the content of the token file without surrounding whitespace.
fn read_token(file: &PathBuf) -> Result<String, Error> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|e| Error::Usage(format!("cannot read {}: {e}", file.display())))?;
    Ok(text.trim().to_owned())
}
