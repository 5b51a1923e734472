//! The settings of one daemon: JSON with comments, checked before it starts.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base::units::Size;
use base::units::Span;
use base::DomainId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::document;
use crate::validation::check_name;
use crate::validation::check_unique;
use crate::validation::ValidationErrors;

/// The shortest access token, in characters.
const TOKEN_MIN: usize = 16;
/// The bytes of a key that signs datagrams.
pub const KEY_BYTES: usize = 32;

/// How the entry VMs choose a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each service's home grants permits; the others are baselines.
    #[default]
    Home,
    /// Any server, by chance.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest calls in flight from this VM.
    Least,
    /// The better of two by chance.
    TwoChoices,
    /// The best of a pool of recent probes.
    ProbePool,
}

/// Where callers connect and what they are allowed.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Callers {
    /// The addresses to listen on.
    pub listen: Vec<SocketAddr>,
    /// Connections at once.
    #[serde(default = "caller_connections")]
    pub connections: usize,
    /// The largest head of a request.
    #[serde_as(as = "Size")]
    #[serde(default = "head_size")]
    pub head: usize,
    /// The largest body of a request.
    #[serde_as(as = "Size")]
    #[serde(default = "body_size")]
    pub body: usize,
    /// The longest time in which a caller has to send the head.
    #[serde_as(as = "Span")]
    #[serde(default = "patience")]
    pub patience: Duration,
    /// Whether a caller on HTTP/1.1 that closes its sending side still gets its
    /// answer; without it, closing that side gives the call up.
    #[serde(default = "yes")]
    pub half_close: bool,
    /// The certificate and key for TLS; plain HTTP without them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<Tls>,
}

fn yes() -> bool {
    true
}

fn caller_connections() -> usize {
    10_000
}

fn head_size() -> usize {
    16 << 10
}

fn body_size() -> usize {
    16 << 20
}

fn patience() -> Duration {
    Duration::from_secs(10)
}

/// The files for TLS.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// The chain of certificates, PEM.
    pub certificate: PathBuf,
    /// The private key, PEM.
    pub key: PathBuf,
}

/// The link of a VM, in Mbit/s, that goes with one core: beyond it the processor
/// binds first. A message between VMs costs about 50 us and 300 bytes.
const LINK_PER_CORE: f64 = 50.0;

/// What a VM may use. Where VMs differ, the abler ones take what all others
/// depend on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// The cores that it may use, a part of one included.
    pub cores: f64,
    /// Its link, in Mbit/s.
    pub link: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            cores: 1.0,
            link: 1000.0,
        }
    }
}

impl Capacity {
    /// Returns what the VM can carry for others, in thousandths of a core.
    pub fn millicores(&self) -> u32 {
        (self.cores.min(self.link / LINK_PER_CORE) * 1e3) as u32
    }
}

/// How the VM talks to the other entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peers {
    /// The address for UDP and TCP.
    pub listen: SocketAddr,
    /// Addresses of other entry VMs to join by; its own is left out.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The keys that sign datagrams, 64 hexadecimal digits each: the first one
    /// signs, all are accepted.
    pub keys: Vec<String>,
}

/// What an access token allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// To look.
    Read,
    /// To look and to change.
    Write,
}

/// An access token of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Who uses it; it stands in the audit record.
    pub name: String,
    /// What it allows.
    pub role: Role,
    /// The secret itself.
    pub token: String,
}

/// The administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admin {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The access tokens; without any only loopback addresses may listen.
    #[serde(default)]
    pub tokens: Vec<Token>,
    /// A file with more tokens, one JSON list, read again when it changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
}

/// Which interface the platform has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Interface {
    /// The object API of this product's own tickets.
    #[default]
    Tickets,
    /// The users' platform: operators and servers write to it themselves.
    Registry,
}

/// The second attempts that the whole fleet may make at each service in ten
/// seconds, in place of what its ticket says.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SecondAttempts {
    /// As a share of the first attempts.
    pub share: f64,
    /// Beyond that share.
    pub slack: u32,
}

/// The platform's object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// Which interface it has.
    #[serde(default)]
    pub interface: Interface,
}

/// Where the balancer in front and the collector of metrics ask, without a
/// token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Monitoring {
    /// The address for the question whether callers should be sent here.
    pub ready: SocketAddr,
    /// The path of that question.
    #[serde(default = "ready_path")]
    pub path: String,
    /// The address that serves `/metrics`, also without a token.
    pub metrics: SocketAddr,
}

fn ready_path() -> String {
    "/readyz".into()
}

/// How logs are written to the standard error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Logs {
    /// The level, or a filter such as `info, route=debug`.
    #[serde(default = "log_level")]
    pub level: String,
    /// Whether each line is a JSON object.
    #[serde(default)]
    pub json: bool,
}

fn log_level() -> String {
    "info".into()
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: log_level(),
            json: false,
        }
    }
}

/// Which calls are traced and where spans go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Traces {
    /// The share of calls traced although their caller does not ask, 0 to 1.
    #[serde(default = "trace_share")]
    pub share: f64,
    /// A file to which each span is appended as a line of JSON.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
}

fn trace_share() -> f64 {
    0.01
}

impl Default for Traces {
    fn default() -> Self {
        Self {
            share: trace_share(),
            file: None,
        }
    }
}

/// The settings of one daemon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The name of this VM, unique in the deployment.
    pub vm: String,
    /// The failure domain that this VM stands in.
    pub domain: String,
    /// The region that this VM stands in.
    #[serde(default)]
    pub region: String,
    /// What this VM may use.
    #[serde(default)]
    pub capacity: Capacity,
    /// Where callers connect.
    pub callers: Callers,
    /// How to talk to the other entry VMs.
    pub peers: Peers,
    /// The administration API.
    pub admin: Admin,
    /// The platform's object API.
    pub platform: Platform,
    /// Where readiness and metrics are asked for without a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watch: Option<Monitoring>,
    /// The second attempts that the fleet may make at each service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_attempts: Option<SecondAttempts>,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    pub first: bool,
    /// How long the VM goes on serving after it has said that it is not ready,
    /// so that the balancer in front has seen it.
    #[serde_as(as = "Span")]
    #[serde(default = "notice")]
    pub notice: Duration,
    /// How servers are chosen.
    #[serde(default)]
    pub policy: Policy,
    /// Threads that carry calls; as many as there are cores if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub threads: Option<usize>,
    /// The time after which a VM that fell silent is forgotten, if no list of
    /// the platform says so before.
    #[serde_as(as = "Span")]
    #[serde(default = "forget_time")]
    pub forget: Duration,
    /// The longest time that a planned stop waits for calls in flight.
    #[serde_as(as = "Span")]
    #[serde(default = "drain_time")]
    pub drain: Duration,
    /// Logs.
    #[serde(default)]
    pub logs: Logs,
    /// Traces.
    #[serde(default)]
    pub traces: Traces,
}

fn notice() -> Duration {
    Duration::from_millis(500)
}

fn forget_time() -> Duration {
    Duration::from_secs(3600)
}

fn drain_time() -> Duration {
    Duration::from_secs(30)
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}; check the path and its permissions")]
    Read(PathBuf, std::io::Error),
    /// The file has faults.
    #[error("{0} has faults; correct them:\n{1}")]
    Invalid(PathBuf, ValidationErrors),
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(path.into(), error))?;
        Self::parse(&text).map_err(|faults| Error::Invalid(path.into(), faults))
    }

    /// Reads and checks settings from text.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        let settings: Self = document::parse(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the id of this VM.
    pub fn vm_id(&self) -> VmId {
        base::id::vm(&self.vm)
    }

    /// Returns the id of this VM's failure domain.
    pub fn domain_id(&self) -> DomainId {
        base::id::domain(&self.domain)
    }

    /// Checks what the types alone do not.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        let mut faults = ValidationErrors::new();
        check_name(&mut faults, "vm", &self.vm);
        check_name(&mut faults, "domain", &self.domain);
        self.check_callers(&mut faults);
        self.check_peers(&mut faults);
        self.check_admin(&mut faults);
        faults.require(
            self.threads != Some(0),
            "threads",
            "0 threads carry no calls; write at least 1 or leave it out",
        );
        faults.require(
            self.capacity.millicores() > 0,
            "capacity",
            "less than a thousandth of a core or 0.05 Mbit/s; write what the VM has",
        );
        faults.require(
            (0.0..=1.0).contains(&self.traces.share),
            "traces.share",
            "out of range; write 0 to 1",
        );
        faults.into_result(())
    }

    fn check_callers(&self, faults: &mut ValidationErrors) {
        faults.require(
            !self.callers.listen.is_empty(),
            "callers.listen",
            "empty; write at least one address",
        );
        faults.require(
            self.callers.head >= 1024,
            "callers.head",
            "less than 1KiB refuses ordinary requests; write more",
        );
        faults.require(
            !self.callers.patience.is_zero(),
            "callers.patience",
            "0s refuses every caller; write more",
        );
        let mut all: Vec<String> = self
            .callers
            .listen
            .iter()
            .map(ToString::to_string)
            .collect();
        all.push(self.peers.listen.to_string());
        all.push(self.admin.listen.to_string());
        check_unique(faults, "listen", all.iter().map(String::as_str));
    }

    fn check_peers(&self, faults: &mut ValidationErrors) {
        faults.require(
            !self.peers.keys.is_empty(),
            "peers.keys",
            "empty; write at least one key of 64 hexadecimal digits",
        );
        for (i, key) in self.peers.keys.iter().enumerate() {
            faults.require(
                decode_key(key).is_some(),
                format!("peers.keys[{i}]"),
                "not a key; write 64 hexadecimal digits",
            );
        }
        faults.require(
            self.peers.keys.len() <= 2,
            "peers.keys",
            "more than two; keep the new one and the one it replaces",
        );
        faults.require(
            !self.peers.listen.ip().is_unspecified(),
            "peers.listen",
            "peers cannot answer to this address; write the VM's own",
        );
    }

    fn check_admin(&self, faults: &mut ValidationErrors) {
        let open = self.admin.tokens.is_empty() && self.admin.file.is_none();
        faults.require(
            !open || self.admin.listen.ip().is_loopback(),
            "admin.tokens",
            "empty while the address is not loopback; write tokens or listen on loopback",
        );
        check_tokens(faults, "admin.tokens", &self.admin.tokens);
    }
}

/// Checks a list of access tokens; `field` is its path.
pub fn check_tokens(faults: &mut ValidationErrors, field: &str, tokens: &[Token]) {
    for (i, token) in tokens.iter().enumerate() {
        check_name(faults, &format!("{field}[{i}].name"), &token.name);
        faults.require(
            token.token.len() >= TOKEN_MIN,
            format!("{field}[{i}].token"),
            format!("shorter than {TOKEN_MIN} characters; write a longer one"),
        );
    }
    let names = tokens.iter().map(|token| token.name.as_str());
    check_unique(faults, field, names);
}

/// Decodes a key of 64 hexadecimal digits.
pub fn decode_key(text: &str) -> Option<[u8; KEY_BYTES]> {
    if text.len() != 2 * KEY_BYTES || !text.is_ascii() {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (i, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(key)
}
