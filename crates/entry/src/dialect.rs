//! The header fields that carry call ids, deadlines, loads and refusals.
//!
//! A [`Dialect`] translates between the header fields of callers and backend servers
//! and the types of the call path. [`Native`] implements the load balancer's own
//! fields; an adapter for a deployment platform with other fields replaces it. A
//! dialect only reads and writes fields; [`crate::proxy`] and [`crate::attempt`] act on
//! them.

use std::time::Duration;

use conf::team::KeyDigest;
use http::header;
use http::header::HeaderName;
use http::response::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use route::msg::Load;
use route::msg::USUAL_SLOWDOWN_PERCENT;
use route::notices::REST_MAX;

use crate::headers;

/// What a server's response means for the attempt, judged by its status and fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response to the call.
    Valid,
    /// A refusal that proves that the server did not run the call.
    Refused,
    /// The address belongs to another server than the intended one. That server did
    /// not run the call.
    Misdirected,
    /// Not a valid response to this call, for the given reason. The call may have run.
    Invalid(&'static str),
}

/// Reads and writes the header fields of one set of conventions.
pub trait Dialect: Send + Sync {
    /// Returns the id that the caller gave to the call, if any.
    fn call_id(&self, fields: &HeaderMap) -> Option<HeaderValue>;

    /// Returns the time that the caller allows for the call, `None` if it set no
    /// limit.
    fn timeout(&self, fields: &HeaderMap) -> Option<Duration>;

    /// Returns the names of the fields by which an entry VM knows a call and its caller.
    fn entry_fields(&self) -> Vec<HeaderName>;

    /// Returns the digest of the key that the caller sent; `None` if it sent no key, an
    /// empty one or several.
    fn caller_key(&self, fields: &HeaderMap) -> Option<KeyDigest>;

    /// Removes the caller's key and the name of a team from the fields of a request. Both
    /// also come in the trailers of its body.
    fn strip_caller_fields(&self, fields: &mut HeaderMap);

    /// Sets the name of the team that makes the call, in a request to a server.
    fn set_team(&self, fields: &mut HeaderMap, team: HeaderValue);

    /// Sets the fields of an attempt's request: the time left for it, and the server
    /// instance for which it is intended.
    fn set_attempt_fields(&self, fields: &mut HeaderMap, left: Duration, instance: &str);

    /// Returns what a server's response to the call `id` means for the attempt.
    fn classify(&self, id: Option<&HeaderValue>, response: &Parts) -> ResponseKind;

    /// Returns the load that a server reports in a response, if it reports one.
    fn load(&self, fields: &HeaderMap) -> Option<Load>;

    /// Returns whether a server is warm according to the response to a health check,
    /// `None` if such responses don't report it.
    fn warm(&self, fields: &HeaderMap) -> Option<bool>;

    /// Returns whether a server says in a response that it leaves.
    fn leaving(&self, fields: &HeaderMap) -> bool;

    /// Returns for how long a server wants no calls, if its response asks for that.
    ///
    /// Status 503 with `retry-after` does, in seconds. Other forms of the field count as
    /// missing: a date because the clocks of VMs may be wrong, and a negative number or
    /// one that cannot be read because it says nothing.
    fn rest(&self, response: &Parts) -> Option<Duration> {
        if response.status != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let text = response.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
        let seconds: f64 = text.trim().parse().ok()?;
        // `min` would turn a number that is none into the maximum.
        let bounded = (!seconds.is_nan()).then(|| seconds.min(REST_MAX.as_secs_f64()))?;
        Duration::try_from_secs_f64(bounded).ok()
    }

    /// Returns the time between two calls of all VMs together that a server names as its
    /// rate limit; none if it names none.
    fn call_interval(&self, fields: &HeaderMap) -> Option<Duration>;

    /// Removes the fields of a server's response that are not intended for callers.
    fn strip_server_fields(&self, fields: &mut HeaderMap);

    /// Sets the fields that tell a caller how long to wait before it sends the call
    /// again.
    fn set_retry_after(&self, fields: &mut HeaderMap, delay: Duration);
}

/// Returns the time between two calls at a rate of `calls` a second, which may be a
/// decimal number; the longest time for a rate of zero. Returns none for anything else than
/// a number that is not negative.
pub fn parse_rate(calls: &HeaderValue) -> Option<Duration> {
    let rate: f64 = calls.to_str().ok()?.trim().parse().ok()?;
    let is_rate = rate >= 0.0;
    is_rate.then(|| Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX))
}

/// Returns the digest of the only value of the field `name`, if it is not empty.
pub fn only_key(fields: &HeaderMap, name: &HeaderName) -> Option<KeyDigest> {
    let mut values = fields.get_all(name).iter();
    let key = values.next().filter(|key| !key.is_empty())?;
    values
        .next()
        .is_none()
        .then(|| KeyDigest::new(key.as_bytes()))
}

/// The load balancer's own header fields; see [`crate::headers`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn call_id(&self, _fields: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn timeout(&self, fields: &HeaderMap) -> Option<Duration> {
        let text = fields.get(headers::DEADLINE_MS)?.to_str().ok()?;
        text.parse().ok().map(Duration::from_millis)
    }

    fn entry_fields(&self) -> Vec<HeaderName> {
        vec![headers::KEY]
    }

    fn caller_key(&self, fields: &HeaderMap) -> Option<KeyDigest> {
        only_key(fields, &headers::KEY)
    }

    fn strip_caller_fields(&self, fields: &mut HeaderMap) {
        fields.remove(headers::KEY);
        fields.remove(headers::TEAM);
    }

    fn set_team(&self, fields: &mut HeaderMap, team: HeaderValue) {
        fields.insert(headers::TEAM, team);
    }

    fn set_attempt_fields(&self, fields: &mut HeaderMap, left: Duration, _instance: &str) {
        fields.insert(headers::DEADLINE_MS, millis(left));
    }

    fn classify(&self, _id: Option<&HeaderValue>, response: &Parts) -> ResponseKind {
        let unavailable = response.status == StatusCode::SERVICE_UNAVAILABLE;
        if unavailable && response.headers.contains_key(headers::NOT_RUN) {
            ResponseKind::Refused
        } else {
            ResponseKind::Valid
        }
    }

    fn load(&self, fields: &HeaderMap) -> Option<Load> {
        let text = fields.get(headers::LOAD)?.to_str().ok()?;
        let number = |name: &str| {
            text.split(',')
                .filter_map(|part| part.trim().split_once('='))
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse().ok())
        };
        Some(Load {
            busy: number("busy")?,
            waiting: number("waiting").unwrap_or(0),
            slowdown_percent: USUAL_SLOWDOWN_PERCENT,
        })
    }

    fn warm(&self, _fields: &HeaderMap) -> Option<bool> {
        None
    }

    fn leaving(&self, fields: &HeaderMap) -> bool {
        fields.contains_key(headers::LEAVING)
    }

    fn call_interval(&self, fields: &HeaderMap) -> Option<Duration> {
        parse_rate(fields.get(headers::RATE_LIMIT)?)
    }

    fn strip_server_fields(&self, fields: &mut HeaderMap) {
        fields.remove(headers::LOAD);
        fields.remove(headers::LEAVING);
        fields.remove(headers::RATE_LIMIT);
    }

    fn set_retry_after(&self, fields: &mut HeaderMap, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        fields.insert(headers::RETRY_AFTER_MS, millis(delay));
        fields.insert(
            header::RETRY_AFTER,
            HeaderValue::from(delay_ms.div_ceil(1000).max(1)),
        );
    }
}

fn millis(time: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
