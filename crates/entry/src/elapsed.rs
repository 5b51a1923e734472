//! How much of its time a call has spent before it came here.
//!
//! Callers that come back after a refusal or a failure name the time that they
//! have left, not the time that has passed since their first try. The longest
//! time that anybody lately named for a route is what callers of it begin with,
//! so that the difference is what has been spent.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Times below the longest one that count as the longest: callers' messages
/// take a little while, and no caller comes back so soon.
const NOISE: Duration = Duration::from_millis(20);

/// The longest times named, sorted by route.
#[derive(Debug, Default)]
pub(crate) struct ElapsedEstimator(Mutex<Vec<(String, Duration)>>);

impl ElapsedEstimator {
    /// Notes the time that a call of `route` has left; returns how much it has
    /// spent.
    pub(crate) fn note(&self, route: &str, left: Option<Duration>) -> Duration {
        let Some(left) = left else {
            return Duration::ZERO;
        };
        let mut longest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match longest.binary_search_by(|(name, _)| name.as_str().cmp(route)) {
            Ok(at) => {
                let most = &mut longest[at].1;
                *most = left.max(*most);
                let spent = most.saturating_sub(left);
                if spent <= NOISE {
                    Duration::ZERO
                } else {
                    spent
                }
            }
            Err(at) => {
                longest.insert(at, (route.into(), left));
                Duration::ZERO
            }
        }
    }
}
