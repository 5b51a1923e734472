//! Estimates how much of its time a call had used before it reached this VM.
//!
//! A caller that repeats a call after a refusal or a failure sends the time that it
//! has left, not the time since its first try. Callers of one route are assumed to
//! start with the same time limit, which is the longest one that any caller of the
//! route has sent. The time used is the difference between that limit and the time left.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Differences up to this count as zero: messages from callers take some time, and no
/// caller repeats a call that soon.
const TOLERANCE: Duration = Duration::from_millis(20);

/// The longest time limit that a caller has sent for each route, sorted by route name.
#[derive(Debug, Default)]
pub(crate) struct ElapsedEstimator(Mutex<Vec<(String, Duration)>>);

impl ElapsedEstimator {
    /// Records the time that a call of `route` has left, and returns the time that it
    /// has used. Returns zero if the caller sent no time limit.
    pub(crate) fn observe(&self, route: &str, left: Option<Duration>) -> Duration {
        let Some(left) = left else {
            return Duration::ZERO;
        };
        let mut limits = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match limits.binary_search_by(|(name, _)| name.as_str().cmp(route)) {
            Ok(index) => {
                let longest = &mut limits[index].1;
                *longest = left.max(*longest);
                let elapsed = longest.saturating_sub(left);
                if elapsed <= TOLERANCE {
                    Duration::ZERO
                } else {
                    elapsed
                }
            }
            Err(index) => {
                limits.insert(index, (route.into(), left));
                Duration::ZERO
            }
        }
    }
}
