//! Where the last calls were served, for operators who ask about one of them.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// Calls that are remembered.
const REMEMBERED: usize = 2048;

/// What became of one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRecord {
    /// When it ended, in milliseconds since 1970.
    pub at: u64,
    /// The trace that it belongs to.
    pub trace: String,
    /// The id that the caller gave it, empty if none.
    #[serde(default)]
    pub id: String,
    /// The service.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The status that the caller got.
    pub status: u16,
    /// What the caller was told: `served`, `not-run`, `unknown` or `duplicate`.
    pub outcome: String,
    /// The failure domain that served it.
    pub domain: String,
    /// The backend server that served it.
    pub server: String,
    /// Attempts that were made.
    pub attempts: u32,
    /// The time to the head of the answer, in microseconds.
    pub took: u64,
}

/// The last calls of one VM.
#[derive(Debug, Default)]
pub struct RecentCalls(Mutex<VecDeque<CallRecord>>);

impl RecentCalls {
    /// Remembers a call.
    pub fn add(&self, record: CallRecord) {
        let mut calls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if calls.len() >= REMEMBERED {
            calls.pop_front();
        }
        calls.push_back(record);
    }

    /// Returns up to `most` of the last calls for which `fits` holds, the
    /// newest first.
    pub fn find(&self, most: usize, fits: impl Fn(&CallRecord) -> bool) -> Vec<CallRecord> {
        let calls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        calls
            .iter()
            .rev()
            .filter(|record| fits(record))
            .take(most)
            .cloned()
            .collect()
    }
}
