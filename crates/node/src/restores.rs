//! What this VM knows about restores of the registry from earlier copies.
//!
//! The registry's era rises with each restore. See `docs/design/platform.md`,
//! "Restores".

use std::sync::Mutex;

use base::revisions::Era;
use base::Time;

use crate::shared::lock;

/// The restores of the registry that this VM has noticed.
#[derive(Debug, Default)]
pub(crate) struct Restores {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The latest era of a list.
    era: Option<Era>,
    /// When a list first showed the latest restore.
    noticed: Option<Time>,
    count: u64,
}

impl Restores {
    /// Records the `era` of a list. Returns whether the registry was restored since the
    /// list before, or, if this is the first one, since the era `known` of the catalog.
    pub(crate) fn record_era(&self, era: Era, known: Option<Era>, now: Time) -> bool {
        let mut state = lock(&self.state);
        let before = state.era.or(known);
        state.era = state.era.max(Some(era));
        let is_restored = before.is_some_and(|before| before < era);
        if is_restored {
            state.noticed = Some(now);
            state.count += 1;
        }
        is_restored
    }

    /// Returns when this VM noticed the latest restore.
    pub(crate) fn last_noticed(&self) -> Option<Time> {
        lock(&self.state).noticed
    }

    /// Returns how many restores this VM has noticed.
    pub(crate) fn count(&self) -> u64 {
        lock(&self.state).count
    }
}
