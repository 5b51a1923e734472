//! Names of header fields, and which fields do not travel on.

use http::header;
use http::header::HeaderName;
use http::HeaderMap;

/// Names the entry VM that took the call.
pub const VM: HeaderName = HeaderName::from_static("snipepaddle-vm");
/// Names the failure domain that served the call.
pub const DOMAIN: HeaderName = HeaderName::from_static("snipepaddle-domain");
/// Names the backend server that served the call.
pub const SERVER: HeaderName = HeaderName::from_static("snipepaddle-server");
/// Gives how many attempts were made.
pub const ATTEMPTS: HeaderName = HeaderName::from_static("snipepaddle-attempts");
/// Says what became of the call: `served`, `not-run`, `unknown`, `duplicate`.
pub const OUTCOME: HeaderName = HeaderName::from_static("snipepaddle-outcome");
/// Says why a call was refused.
pub const REASON: HeaderName = HeaderName::from_static("snipepaddle-reason");
/// Gives the wait before another try in milliseconds, finer than `retry-after`.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("snipepaddle-retry-after-ms");
/// Gives the milliseconds left for a call, from callers and to servers.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("snipepaddle-deadline-ms");
/// Says in a server's refusal that it did not run the call.
pub const NOT_RUN: HeaderName = HeaderName::from_static("snipepaddle-not-run");
/// Gives a server's load, such as `busy=2, waiting=1`.
pub const LOAD: HeaderName = HeaderName::from_static("snipepaddle-load");
/// The key that a caller gives to a call that must not run twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Gives the milliseconds that a call spent here rather than at the server.
pub const SERVER_TIMING: HeaderName = HeaderName::from_static("server-timing");

/// Fields that concern one connection only (RFC 9110, section 7.6.1).
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

/// Fields that only this system sets; what a caller sends of them is dropped.
const RESERVED: [HeaderName; 7] = [
    VM,
    DOMAIN,
    SERVER,
    ATTEMPTS,
    OUTCOME,
    REASON,
    RETRY_AFTER_MS,
];

/// Removes fields that concern one connection, and those that `connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes fields that only this system sets.
pub fn strip_reserved(headers: &mut HeaderMap) {
    for name in &RESERVED {
        headers.remove(name);
    }
}
