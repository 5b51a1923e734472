//! How calls, deadlines, loads and refusals are written in header fields.
//!
//! [`Dialect`] is the border to callers and backend servers: an adapter of a
//! platform with other names puts its own in the place of [`Native`]. A
//! dialect only reads and writes fields; what follows from them is decided by
//! [`crate::proxy`] and [`crate::attempt`].

use std::time::Duration;

use http::header;
use http::response::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use route::msg::Load;
use route::msg::USUAL_SLOWDOWN_PERCENT;

use crate::headers;

/// What a server's answer to an attempt is, by its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer to the call.
    Answer,
    /// A refusal that proves that the server did not run the call.
    Refused,
    /// Another server than the one that was meant has the address; it did not
    /// run the call.
    Misdirected,
    /// Not the answer to this call, with the reason; the call may have run.
    Foreign(&'static str),
}

/// Reads and writes header fields.
pub trait Dialect: Send + Sync {
    /// Returns the id that the caller gave its call.
    fn call_id(&self, fields: &HeaderMap) -> Option<HeaderValue>;

    /// Returns the time that the caller gives its call.
    fn limit(&self, fields: &HeaderMap) -> Option<Duration>;

    /// Sets the fields of one attempt: the time left for it, and the instance
    /// that it is meant for.
    fn direct(&self, fields: &mut HeaderMap, left: Duration, instance: &str);

    /// Tells what a server's answer to the call `id` is.
    fn judge(&self, id: Option<&HeaderValue>, answer: &Parts) -> Reply;

    /// Reads a server's report of its load.
    fn load(&self, fields: &HeaderMap) -> Option<Load>;

    /// Reads from a health answer whether the server is warm; none if such answers
    /// say nothing of that.
    fn warm(&self, fields: &HeaderMap) -> Option<bool>;

    /// Removes fields of a server's answer that are not for callers.
    fn hide(&self, fields: &mut HeaderMap);

    /// Tells a caller when to try again.
    fn set_retry(&self, fields: &mut HeaderMap, after: Duration);
}

/// The fields of this product's own interface; see [`crate::headers`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn call_id(&self, _fields: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn limit(&self, fields: &HeaderMap) -> Option<Duration> {
        let text = fields.get(headers::DEADLINE_MS)?.to_str().ok()?;
        text.parse().ok().map(Duration::from_millis)
    }

    fn direct(&self, fields: &mut HeaderMap, left: Duration, _instance: &str) {
        fields.insert(headers::DEADLINE_MS, millis(left));
    }

    fn judge(&self, _id: Option<&HeaderValue>, answer: &Parts) -> Reply {
        let refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        if refused && answer.headers.contains_key(headers::NOT_RUN) {
            Reply::Refused
        } else {
            Reply::Answer
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

    fn hide(&self, fields: &mut HeaderMap) {
        fields.remove(headers::LOAD);
    }

    fn set_retry(&self, fields: &mut HeaderMap, after: Duration) {
        let seconds = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        fields.insert(headers::RETRY_AFTER_MS, millis(after));
        fields.insert(
            header::RETRY_AFTER,
            HeaderValue::from(seconds.div_ceil(1000).max(1)),
        );
    }
}

fn millis(time: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
