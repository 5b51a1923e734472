//! The settings of a daemon: JSON with comments, checked before the daemon starts.

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

/// The minimum length of an access token.
const TOKEN_MIN_BYTES: usize = 16;
/// The length of a key that signs messages between entry VMs.
pub const KEY_BYTES: usize = 32;

/// How an entry VM selects the server for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The home of the service's shard grants permits. All other policies work without
    /// a home and serve as baselines for comparison.
    #[default]
    Home,
    /// A random server.
    Random,
    /// Each server in turn, round robin.
    RoundRobin,
    /// The server with the fewest calls in flight from this VM.
    Least,
    /// The better of two random servers.
    TwoChoices,
    /// The best server in a pool of recent probe results.
    ProbePool,
}

/// The shortest window of quotas: tokens are up to 0.2 s late.
const QUOTA_WINDOW_MIN: Duration = Duration::from_secs(1);
/// The longest window of quotas: a new home gets a credit once in a window.
const QUOTA_WINDOW_MAX: Duration = Duration::from_secs(3600);

/// Where callers connect, and the limits for them.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Callers {
    /// The IP addresses and ports on which to listen for callers.
    pub listen: Vec<SocketAddr>,
    /// The maximum number of connections at the same time.
    #[serde(default = "caller_connections")]
    pub connections: usize,
    /// The maximum size of a request head in bytes.
    #[serde_as(as = "Size")]
    #[serde(default = "head_size")]
    pub head: usize,
    /// The maximum size of a request body in bytes.
    #[serde_as(as = "Size")]
    #[serde(default = "body_size")]
    pub body: usize,
    /// The memory for request bodies that are read before they are sent on, in bytes.
    /// Bodies that do not fit are forwarded while they are received.
    #[serde_as(as = "Size")]
    #[serde(default = "buffer_size")]
    pub buffer: usize,
    /// The time limit for the TLS handshake and for a caller to send a request head.
    #[serde_as(as = "Span")]
    #[serde(default = "patience")]
    pub patience: Duration,
    /// Whether a caller on HTTP/1.1 that closes its sending side still gets the
    /// response. If not, closing the sending side cancels the call.
    #[serde(default = "yes")]
    pub half_close: bool,
    /// The certificate and key for TLS; `None` for plain HTTP.
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

fn buffer_size() -> usize {
    16 << 20
}

fn patience() -> Duration {
    Duration::from_secs(10)
}

/// The files that TLS needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// The file with the certificate chain in PEM format.
    pub certificate: PathBuf,
    /// The file with the private key in PEM format.
    pub key: PathBuf,
}

/// The link bandwidth in Mbit/s that one core can use: with more, the processor is
/// the bottleneck. A message between VMs costs about 50 us and 300 bytes.
const LINK_MBITS_PER_CORE: f64 = 50.0;

/// The resources that a VM may use. VMs with more capacity than the others take
/// the coordination work on which all VMs depend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// The number of processor cores, which may be a fraction.
    pub cores: f64,
    /// The bandwidth of the network link in Mbit/s.
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
    /// Returns the VM's capacity for coordination work in thousandths of a core: the
    /// lower of the limits that the cores and the link set.
    pub fn millicores(&self) -> u32 {
        (self.cores.min(self.link / LINK_MBITS_PER_CORE) * 1e3) as u32
    }
}

/// How the VM communicates with the other entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peers {
    /// The IP address and port on which to listen for peers, for UDP and TCP.
    pub listen: SocketAddr,
    /// Addresses of entry VMs through which this VM joins the others. The VM
    /// ignores its own address among them.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The IP address and port on which to take calls from VMs that reach no server; a free
    /// port of the address of `listen` if absent.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// One or two keys of 64 hexadecimal digits that sign messages between VMs. The
    /// first key signs; messages signed with either key are accepted.
    pub keys: Vec<String>,
}

impl Peers {
    /// Returns the address on which to listen for relayed calls; port 0 stands for a free
    /// port.
    pub fn relay_address(&self) -> SocketAddr {
        let free_port = SocketAddr::new(self.listen.ip(), 0);
        self.relay.unwrap_or(free_port)
    }
}

/// What an access token allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Read requests only.
    Read,
    /// Read and write requests.
    Write,
}

/// An access token of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The name of the token's user, which goes into the audit record.
    pub name: String,
    /// What the token allows.
    pub role: Role,
    /// The secret.
    pub token: String,
}

/// The settings of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admin {
    /// The IP address and port on which to listen.
    pub listen: SocketAddr,
    /// The access tokens. If there are neither tokens nor a token file, `listen` must
    /// be a loopback address.
    #[serde(default)]
    pub tokens: Vec<Token>,
    /// A file with more tokens as a JSON list, which is read again when it changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
}

/// The kind of API that the platform provides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Interface {
    /// The object store in which the load balancer keeps its own tickets.
    #[default]
    Tickets,
    /// The service registry of the deployment platform, in which operators and servers
    /// write entries themselves.
    Registry,
}

/// The limit on second attempts (retries and hedges) that all entry VMs together
/// make per service within ten seconds. Replaces the limits of the service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SecondAttempts {
    /// The limit as a fraction of the first attempts.
    pub share: f64,
    /// The number of second attempts that are allowed in addition to `share`.
    pub slack: u32,
}

/// The tolerance within which the quotas of teams are kept; see `docs/design/quotas.md`.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quotas {
    /// The time over which calls are counted.
    #[serde_as(as = "Span")]
    pub window: Duration,
    /// The excess as a fraction of the quota over the window.
    pub excess: f64,
    /// The number of calls that may come on top.
    pub slack: u32,
}

/// The limits of roll-outs of new versions. With the section, the VM takes part in them.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollouts {
    /// The most calls that a version on trial may get, as a fraction of the calls of its
    /// service.
    #[serde(default = "rollout_share")]
    pub share: f64,
    /// The number of calls beyond `share` that the operators tolerate. Homes do not use it;
    /// the bad responses after which a version gets nothing stay below it.
    #[serde(default = "rollout_slack")]
    pub slack: u32,
    /// The time in which a version that has been found to be bad must be out of use.
    #[serde_as(as = "Span")]
    #[serde(default = "rollback_time")]
    pub rollback: Duration,
}

fn rollout_share() -> f64 {
    0.05
}

fn rollout_slack() -> u32 {
    20
}

fn rollback_time() -> Duration {
    Duration::from_secs(5)
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            share: rollout_share(),
            slack: rollout_slack(),
            rollback: rollback_time(),
        }
    }
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Platform {
    /// The IP address and port of the platform's API.
    pub address: SocketAddr,
    /// The kind of API that the platform provides.
    #[serde(default)]
    pub interface: Interface,
}

/// Endpoints for readiness and metrics that need no access token, for the load
/// balancer in front of the entry VMs and for the metrics collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Monitoring {
    /// The IP address and port of the readiness endpoint.
    pub ready: SocketAddr,
    /// The path of the readiness endpoint.
    #[serde(default = "ready_path")]
    pub path: String,
    /// The IP address and port that serve `/metrics`.
    pub metrics: SocketAddr,
}

fn ready_path() -> String {
    "/readyz".into()
}

/// How logs are written to standard output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Logs {
    /// The log level, or a filter such as `info, route=debug`.
    #[serde(default = "log_level")]
    pub level: String,
    /// Whether each line is written as a JSON object.
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

/// Which calls are traced and where their spans are written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Traces {
    /// The fraction, 0 to 1, of calls that are traced without a request for it by the
    /// caller.
    #[serde(default = "trace_share")]
    pub share: f64,
    /// A file to which each span is appended as a line of JSON; `None` to write no
    /// spans.
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

/// The settings of a daemon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The name of this VM, unique in the deployment.
    pub vm: String,
    /// The name of this VM's failure domain.
    pub domain: String,
    /// The name of this VM's region. The VM serves calls with servers of this region.
    #[serde(default)]
    pub region: String,
    /// The resources that this VM may use.
    #[serde(default)]
    pub capacity: Capacity,
    /// Where callers connect, and the limits for them.
    pub callers: Callers,
    /// How to communicate with the other entry VMs.
    pub peers: Peers,
    /// The settings of the administration API; `None` if this VM serves none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin: Option<Admin>,
    /// How to reach the platform.
    pub platform: Platform,
    /// Endpoints for readiness and metrics without an access token; `None` if
    /// this VM has no such endpoints.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watch: Option<Monitoring>,
    /// The limit on second attempts per service; `None` for the limits that each
    /// service sets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_attempts: Option<SecondAttempts>,
    /// The tolerance within which the quotas of teams are kept; `None` for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<Quotas>,
    /// The limits of roll-outs; `None` if the VM takes no part in them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<Rollouts>,
    /// How long the VM continues to accept calls after it reports that it is not
    /// ready, so that the load balancer in front of it notices.
    #[serde_as(as = "Span")]
    #[serde(default = "notice")]
    pub notice: Duration,
    /// How the VM selects the server for a call.
    #[serde(default)]
    pub policy: Policy,
    /// The number of threads that run calls; `None` for one per core.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub threads: Option<usize>,
    /// How long a failed VM is remembered, unless a list of VMs from the platform
    /// shows earlier that the VM has been removed.
    #[serde_as(as = "Span")]
    #[serde(default = "forget_time")]
    pub forget: Duration,
    /// The time after SIGTERM at which the platform kills the process, so that a planned stop
    /// ends before; `None` if it never does.
    #[serde_as(as = "Option<Span>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grace: Option<Duration>,
    /// The maximum time that a planned stop waits for calls in flight.
    #[serde_as(as = "Span")]
    #[serde(default = "drain_time")]
    pub drain: Duration,
    /// How logs are written.
    #[serde(default)]
    pub logs: Logs,
    /// Which calls are traced and where their spans are written.
    #[serde(default)]
    pub traces: Traces,
    /// Whether the deployment has teams, so that no call may pass while the VM does not know
    /// them. See `docs/design/teams.md`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub teams: bool,
    /// Faults that are injected on purpose; `None` outside of tests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub faults: Option<Faults>,
}

/// Faults that are injected on purpose, for tests on one machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// A file that names how the connections to backend servers are cut; they are not
    /// while there is no such file. See `net::cut`.
    pub cut: PathBuf,
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

/// The time that a process needs at its end, after the calls in flight.
const EXIT_TIME: Duration = Duration::from_millis(300);

/// Why settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}; check the path and its permissions")]
    Read(PathBuf, std::io::Error),
    /// The content of the file is invalid.
    #[error("{0} is invalid; correct these errors:\n{1}")]
    Invalid(PathBuf, ValidationErrors),
    /// The file is empty, or ends before its JSON does.
    #[error("{0} is empty or ends before its JSON does; write all of it:\n{1}")]
    Incomplete(PathBuf, ValidationErrors),
}

impl Error {
    /// Returns whether the file may be complete a moment later.
    pub fn may_pass(&self) -> bool {
        match self {
            Self::Read(_, error) => error.kind() == std::io::ErrorKind::NotFound,
            Self::Invalid(..) => false,
            Self::Incomplete(..) => true,
        }
    }
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(path.into(), error))?;
        Self::parse(&text).map_err(|errors| {
            if document::is_incomplete(&text) {
                Error::Incomplete(path.into(), errors)
            } else {
                Error::Invalid(path.into(), errors)
            }
        })
    }

    /// Parses and checks settings; returns all errors found.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        let settings: Self = document::parse(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns how long a planned stop waits for calls in flight: the drain time, or what
    /// is left of the grace after the notice.
    pub fn drain_limit(&self) -> Duration {
        let grace = self.grace.unwrap_or(Duration::MAX);
        let left = grace.saturating_sub(self.notice).saturating_sub(EXIT_TIME);
        self.drain.min(left)
    }

    /// Returns the id of this VM, the hash of its name.
    pub fn vm_id(&self) -> VmId {
        base::id::vm(&self.vm)
    }

    /// Returns the id of this VM's failure domain, the hash of its name.
    pub fn domain_id(&self) -> DomainId {
        base::id::domain(&self.domain)
    }

    /// Checks the values that the field types alone do not restrict.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        let mut errors = ValidationErrors::new();
        check_name(&mut errors, "vm", &self.vm);
        check_name(&mut errors, "domain", &self.domain);
        self.check_callers(&mut errors);
        self.check_peers(&mut errors);
        self.check_admin(&mut errors);
        self.check_addresses(&mut errors);
        errors.require(
            self.threads != Some(0),
            "threads",
            "0 threads cannot run calls; write at least 1 or leave it out",
        );
        errors.require(
            self.capacity.millicores() > 0,
            "capacity",
            "less than 0.001 cores or 0.05 Mbit/s; write the capacity that the VM has",
        );
        errors.require(
            (0.0..=1.0).contains(&self.traces.share),
            "traces.share",
            "out of range; write 0 to 1",
        );
        errors.require(
            self.grace
                .is_none_or(|grace| grace > self.notice + EXIT_TIME),
            "grace",
            "leaves no time for calls in flight after the notice; write a shorter notice",
        );
        errors.require(
            !self.teams || self.platform.interface == Interface::Registry,
            "teams",
            "only the registry has teams; write the interface \"registry\" or remove this field",
        );
        self.check_quotas(&mut errors);
        let share = self.rollouts.map_or(0.0, |rollouts| rollouts.share);
        errors.require(
            (0.0..=0.5).contains(&share),
            "rollouts.share",
            "out of range; write 0 to 0.5",
        );
        self.check_faults(&mut errors);
        errors.into_result(())
    }

    fn check_quotas(&self, errors: &mut ValidationErrors) {
        let Some(quotas) = self.quotas else {
            return;
        };
        errors.require(
            quotas.window >= QUOTA_WINDOW_MIN,
            "quotas.window",
            "less than 1s, within which no quota can be kept; write at least 1s",
        );
        errors.require(
            quotas.window <= QUOTA_WINDOW_MAX,
            "quotas.window",
            "more than 1h; write at most 1h",
        );
        errors.require(
            (0.0..=1.0).contains(&quotas.excess),
            "quotas.excess",
            "out of range; write 0 to 1",
        );
    }

    fn check_faults(&self, errors: &mut ValidationErrors) {
        let mut listeners = self.callers.listen.iter().chain([&self.peers.listen]);
        errors.require(
            self.faults.is_none() || listeners.all(|address| address.ip().is_loopback()),
            "faults",
            "are for tests on loopback addresses; remove them",
        );
    }

    fn check_callers(&self, errors: &mut ValidationErrors) {
        errors.require(
            !self.callers.listen.is_empty(),
            "callers.listen",
            "empty; write at least one address",
        );
        errors.require(
            self.callers.head >= 1024,
            "callers.head",
            "less than 1KiB, so ordinary requests would be refused; write more",
        );
        errors.require(
            !self.callers.patience.is_zero(),
            "callers.patience",
            "0s refuses every caller; write a longer time",
        );
    }

    /// Checks that no two listen addresses are the same.
    fn check_addresses(&self, errors: &mut ValidationErrors) {
        let callers = self.callers.listen.iter();
        let mut addresses: Vec<_> = callers.map(|at| ("callers.listen", *at)).collect();
        addresses.push(("peers.listen", self.peers.listen));
        addresses.extend(self.peers.relay.map(|at| ("peers.relay", at)));
        addresses.extend(
            self.admin
                .iter()
                .map(|admin| ("admin.listen", admin.listen)),
        );
        if let Some(watch) = &self.watch {
            addresses.push(("watch.ready", watch.ready));
            addresses.push(("watch.metrics", watch.metrics));
        }
        // Each port 0 stands for another free port.
        addresses.retain(|(_, address)| address.port() != 0);
        for (i, (field, address)) in addresses.iter().enumerate() {
            if let Some((other, _)) = addresses[..i].iter().find(|(_, known)| known == address) {
                errors.add(
                    *field,
                    format!("{address} is also in {other}; write another port"),
                );
            }
        }
    }

    fn check_peers(&self, errors: &mut ValidationErrors) {
        errors.require(
            !self.peers.keys.is_empty(),
            "peers.keys",
            "empty; write at least one key of 64 hexadecimal digits",
        );
        for (i, key) in self.peers.keys.iter().enumerate() {
            errors.require(
                decode_key(key).is_some(),
                format!("peers.keys[{i}]"),
                "not a key; write 64 hexadecimal digits",
            );
        }
        errors.require(
            self.peers.keys.len() <= 2,
            "peers.keys",
            "more than two; keep the new one and the one it replaces",
        );
        errors.require(
            !self.peers.listen.ip().is_unspecified(),
            "peers.listen",
            "peers cannot reply to this address; write the VM's own address",
        );
    }

    fn check_admin(&self, errors: &mut ValidationErrors) {
        let Some(admin) = &self.admin else {
            return;
        };
        let no_tokens = admin.tokens.is_empty() && admin.file.is_none();
        errors.require(
            !no_tokens || admin.listen.ip().is_loopback(),
            "admin.tokens",
            "empty although admin.listen is not a loopback address; write tokens or listen on loopback",
        );
        check_tokens(errors, "admin.tokens", &admin.tokens);
    }
}

/// Checks a list of access tokens and adds the errors to `errors`. `field` is the
/// path of the list in the document.
pub fn check_tokens(errors: &mut ValidationErrors, field: &str, tokens: &[Token]) {
    for (i, token) in tokens.iter().enumerate() {
        check_name(errors, &format!("{field}[{i}].name"), &token.name);
        errors.require(
            token.token.len() >= TOKEN_MIN_BYTES,
            format!("{field}[{i}].token"),
            format!("shorter than {TOKEN_MIN_BYTES} characters; write a longer one"),
        );
    }
    let names = tokens.iter().map(|token| token.name.as_str());
    check_unique(errors, field, names);
}

/// Decodes a key of 64 hexadecimal digits; returns `None` for any other text.
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
