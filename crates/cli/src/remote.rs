//! Talks to the administration API of a VM.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use admin::reply::Problem;
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

/// The address that is used if none is given.
const ADDRESS: &str = "127.0.0.1:9100";
/// The longest wait for an answer.
const WAIT: Duration = Duration::from_secs(30);
/// The largest answer, in bytes.
const ANSWER_MAX: usize = 64 << 20;

/// A VM's administration API.
pub(crate) struct Remote {
    address: SocketAddr,
    token: Option<String>,
    /// Whether answers are shown as they come.
    pub(crate) raw: bool,
    pool: ThreadPool,
}

impl Remote {
    /// Reads the options that say which VM is meant.
    pub(crate) fn new(args: &mut Arguments) -> Result<Self, Error> {
        let given: Option<String> = args.opt_value_from_str("--admin")?;
        let address = given.or_else(|| std::env::var("SNIPEPADDLE_ADMIN").ok());
        let address = address.unwrap_or_else(|| ADDRESS.into());
        let address = address.parse().map_err(|_| {
            Error::Usage(format!(
                "--admin {address} is not an address; write an IP number and a port"
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

    /// Asks for `path` and returns the answer's bytes.
    pub(crate) fn get(&self, path: &str) -> Result<Bytes, Error> {
        self.call(Method::GET, path, Vec::new())
    }

    /// Asks for `path` and reads the answer.
    pub(crate) fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        parse(&self.get(path)?)
    }

    /// Sends `bytes` to `path` and returns the answer's bytes.
    pub(crate) fn post(&self, path: &str, bytes: Vec<u8>) -> Result<Bytes, Error> {
        self.call(Method::POST, path, bytes)
    }

    fn call(&self, method: Method, path: &str, bytes: Vec<u8>) -> Result<Bytes, Error> {
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
        let answer = client::fetch(&handle, self.address, request, WAIT, ANSWER_MAX);
        let answer = smol::block_on(answer).map_err(|e| Error::Unreachable(e.to_string()))?;
        if answer.status().is_success() {
            return Ok(answer.into_body());
        }
        let problem: Result<Problem, _> = serde_json::from_slice(answer.body());
        Err(Error::Refused(match problem {
            Ok(problem) => problem.detail,
            Err(_) => format!("the VM answered {}", answer.status()),
        }))
    }
}

/// Reads an answer of the API.
pub(crate) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| {
        Error::Refused(format!(
            "the answer cannot be read ({error}); use the daemon's version of this program"
        ))
    })
}

/// Shows an answer as it came.
pub(crate) fn show(bytes: &[u8]) {
    println!("{}", String::from_utf8_lossy(bytes));
}

fn read_token(file: &PathBuf) -> Result<String, Error> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|e| Error::Usage(format!("cannot read {}: {e}", file.display())))?;
    Ok(text.trim().to_owned())
}
