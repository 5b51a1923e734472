//! The lookup of teams by the keys that calls carry.
//!
//! The table is built once per configuration and asked once per call, so that a key which
//! a configuration takes away binds callers that are connected too. See
//! `docs/design/teams.md`.

use crate::team::KeyDigest;
use crate::team::Team;

/// The keys of all teams.
#[derive(Clone, Debug, Default)]
pub struct TeamTable {
    /// The keys with the index of their team, sorted by key. Each key is there once.
    keys: Vec<(KeyDigest, usize)>,
}

impl TeamTable {
    /// Creates the table of `teams`.
    ///
    /// A key of several teams names none of them: whichever team were chosen, calls of the
    /// other would run in its name.
    pub fn new(teams: &[Team]) -> Self {
        let mut keys = sorted_keys(teams);
        let conflicts = find_conflicts(&keys);
        keys.retain(|(key, _)| conflicts.binary_search(key).is_err());
        Self { keys }
    }

    /// Returns the index of the team that holds `key`.
    pub fn find(&self, key: &KeyDigest) -> Option<usize> {
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(key));
        found.ok().map(|index| self.keys[index].1)
    }
}

/// Returns the indexes of the teams that hold a key of another team too, sorted.
pub fn conflicting_teams(teams: &[Team]) -> Vec<usize> {
    let keys = sorted_keys(teams);
    let conflicts = find_conflicts(&keys);
    let mut indexes: Vec<usize> = keys
        .iter()
        .filter(|(key, _)| conflicts.binary_search(key).is_ok())
        .map(|(_, index)| *index)
        .collect();
    indexes.sort_unstable();
    indexes.dedup();
    indexes
}

/// Returns the keys of `teams` with the indexes of their teams, sorted, without keys that
/// one team has twice.
fn sorted_keys(teams: &[Team]) -> Vec<(KeyDigest, usize)> {
    let mut keys: Vec<(KeyDigest, usize)> = teams
        .iter()
        .enumerate()
        .flat_map(|(index, team)| team.keys.iter().map(move |key| (*key, index)))
        .collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

/// Returns the keys that several teams hold, sorted.
fn find_conflicts(keys: &[(KeyDigest, usize)]) -> Vec<KeyDigest> {
    let pairs = keys.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    pairs.map(|pair| pair[0].0).collect()
}
