//! Names of header fields, and the removal of fields that are not forwarded.

use http::header;
use http::header::HeaderName;
use http::HeaderMap;

/// The name of the entry VM that received the call.
pub const VM: HeaderName = HeaderName::from_static("snipepaddle-vm");
/// The name of the failure domain of the backend server that responded.
pub const DOMAIN: HeaderName = HeaderName::from_static("snipepaddle-domain");
/// The name of the backend server that responded.
pub const SERVER: HeaderName = HeaderName::from_static("snipepaddle-server");
/// The number of first attempts and retries of the call that got a permit; hedges and
/// rescues are not counted.
pub const ATTEMPTS: HeaderName = HeaderName::from_static("snipepaddle-attempts");
/// What became of the call: `served`, `not-run`, `unknown` or `duplicate`.
pub const OUTCOME: HeaderName = HeaderName::from_static("snipepaddle-outcome");
/// Why no server's response was returned, as a short identifier.
pub const REASON: HeaderName = HeaderName::from_static("snipepaddle-reason");
/// How long the caller should wait before it sends the call again, in milliseconds;
/// `retry-after` has the same delay rounded up to seconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("snipepaddle-retry-after-ms");
/// The time left for the call in milliseconds, in requests from callers and to
/// servers.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("snipepaddle-deadline-ms");
/// Present in a server's refusal if the server did not run the call.
pub const NOT_RUN: HeaderName = HeaderName::from_static("snipepaddle-not-run");
/// A server's load: the calls that it runs and those that it has queued, such as
/// `busy=2, waiting=1`.
pub const LOAD: HeaderName = HeaderName::from_static("snipepaddle-load");
/// Present in all responses of a server that leaves.
pub const LEAVING: HeaderName = HeaderName::from_static("snipepaddle-leaving");
/// The calls a second that a server takes from all entry VMs together, in all responses of
/// a server that limits them.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("snipepaddle-rate-limit");
/// The caller's key, which says to which team the call belongs. It never reaches a server.
pub const KEY: HeaderName = HeaderName::from_static("snipepaddle-key");
/// The name of the team that makes the call, in requests to servers.
pub const TEAM: HeaderName = HeaderName::from_static("snipepaddle-team");
/// What servers asked for in their responses to a relayed call, between the two VMs; see
/// [`crate::heard`].
pub const HEARD: HeaderName = HeaderName::from_static("snipepaddle-heard");
/// The servers that want no calls of the VM that relays the call, between the two VMs.
pub const DENIED: HeaderName = HeaderName::from_static("snipepaddle-denied");
/// The caller's key for a call that must not run twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The time that the load balancer added to the call, in milliseconds.
pub const SERVER_TIMING: HeaderName = HeaderName::from_static("server-timing");

/// Hop-by-hop fields: they apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Response fields that only the load balancer sets. They are removed from requests
/// and from servers' responses, so that neither can forge them.
const RESERVED: [HeaderName; 9] = [
    VM,
    DOMAIN,
    SERVER,
    ATTEMPTS,
    OUTCOME,
    REASON,
    RETRY_AFTER_MS,
    HEARD,
    DENIED,
];

/// Returns the names that `connection` lists.
pub fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Removes the hop-by-hop fields and the fields that `connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed = listed_in_connection(headers);
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}

/// Removes the fields that only the load balancer sets.
pub fn strip_reserved(headers: &mut HeaderMap) {
    for name in &RESERVED {
        headers.remove(name);
    }
}
