//! The records of recent calls, in which operators look up where a call was served.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// The maximum number of call records that a VM keeps. The oldest is dropped first.
const RECENT_MAX: usize = 2048;

/// The record of a call that has ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRecord {
    /// When the call ended, in milliseconds since the Unix epoch, 1970-01-01 UTC.
    pub at: u64,
    /// The id of the trace to which the call belongs, in hexadecimal digits.
    pub trace: String,
    /// The call id that the caller sent, empty if there was none.
    #[serde(default)]
    pub id: String,
    /// The IP address of the caller.
    #[serde(default)]
    pub caller: String,
    /// The name of the service, empty if no service matched.
    pub service: String,
    /// The name of the team that made the call, empty if the call needed no key or its key
    /// is unknown.
    #[serde(default)]
    pub team: String,
    /// The HTTP method.
    pub method: String,
    /// The path of the URL, without the query.
    pub path: String,
    /// The HTTP status of the response to the caller.
    pub status: u16,
    /// The outcome that the caller was given: `served`, `not-run`, `unknown` or
    /// `duplicate`.
    pub outcome: String,
    /// The name of the failure domain that served the call, empty if none did.
    pub domain: String,
    /// The name of the backend server that served the call, empty if none did.
    pub server: String,
    /// The number of first attempts and retries, without hedges and rescues; 0 if no
    /// server served the call.
    pub attempts: u32,
    /// The time from the arrival of the call to the head of the response, in
    /// microseconds.
    pub took: u64,
}

/// The most recent calls that one VM received, the oldest first.
#[derive(Debug, Default)]
pub struct RecentCalls(Mutex<VecDeque<CallRecord>>);

impl RecentCalls {
    /// Adds a call that has ended.
    pub fn add(&self, record: CallRecord) {
        let mut calls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if calls.len() >= RECENT_MAX {
            calls.pop_front();
        }
        calls.push_back(record);
    }

    /// Returns the most recent calls for which `predicate` holds, at most `limit`, the
    /// newest first.
    pub fn find(&self, limit: usize, predicate: impl Fn(&CallRecord) -> bool) -> Vec<CallRecord> {
        let calls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        calls
            .iter()
            .rev()
            .filter(|record| predicate(record))
            .take(limit)
            .cloned()
            .collect()
    }
}
