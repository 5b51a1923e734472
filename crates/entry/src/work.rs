//! The usual times of the calls that this VM serves, shared by all calls in progress.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use route::work::WorkKey;
use route::work::WorkTimes;

/// The usual times of calls by key.
#[derive(Debug, Default)]
pub(crate) struct SharedWorkTimes(Mutex<WorkTimes>);

impl SharedWorkTimes {
    /// Returns the usual time of the calls of `key`, zero if it is not known.
    pub(crate) fn get(&self, key: WorkKey) -> Duration {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(key)
    }

    /// Records a call that was served in `took`; does nothing without a key.
    pub(crate) fn record(&self, key: Option<WorkKey>, took: Duration) {
        if let Some(key) = key {
            let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            times.record(key, took);
        }
    }
}
