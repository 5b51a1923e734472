//! Teams: which keys their calls carry, how urgent these are and how often they may come.
//!
//! A configuration lists the teams that may call. Keys are held as digests only, so that
//! no log, message or dump of a VM's memory can give one away. See `docs/design/teams.md`.

use base::Class;
use base::Rank;
use base::TeamId;
use serde::Deserialize;
use serde::Serialize;

use crate::service::CallRule;

/// The context of the digests, which keeps them apart from other hashes of the same text.
const DIGEST_CONTEXT: &str = "snipepaddle 2026-12-07 digest of an API key";

/// The digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; blake3::OUT_LEN]);

/// How often the calls of a team may come, over all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Calls per second, more than zero.
    pub rate: f64,
    /// Calls that may come at once beyond the rate.
    pub burst: f64,
}

/// A team whose calls are told from those of others by its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The name, which backend servers get with each call.
    pub name: String,
    /// The digests of the team's keys.
    pub keys: Vec<KeyDigest>,
    /// The priority of the team's calls; `None` for that of the call's route.
    pub rank: Option<Rank>,
    /// The limit of the team's calls; `None` for no limit.
    pub quota: Option<Quota>,
}

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn new(key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(key);
        Self(*hasher.finalize().as_bytes())
    }
}

impl std::fmt::Debug for KeyDigest {
    /// Writes nothing of the digest: a weak key can be found from it.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest")
    }
}

impl Team {
    /// Returns the id of the team.
    pub fn id(&self) -> TeamId {
        base::id::team(&self.name)
    }

    /// Returns how a call of the team is treated whose route asks for `rule`: the team's
    /// priority takes the place of the route's.
    pub fn rule(&self, rule: CallRule) -> CallRule {
        let ranked = |rank| CallRule {
            rank,
            class: class_of(rank),
            ..rule
        };
        self.rank.map_or(rule, ranked)
    }
}

/// Why a call may not run in the name of any team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The call carries no key of a team, or not exactly one key.
    #[error("no team holds the key of this call; send one key that a team holds")]
    Unknown,
    /// The deployment has teams, and this VM does not know them.
    #[error("this VM does not know the teams yet; try again")]
    NoTeams,
}

/// Returns the class of calls whose priority the configuration numbers: 0 and 1 mean
/// critical, 2 interactive, 3 and above deferrable.
pub fn class_of(rank: Rank) -> Class {
    let last = Class::ALL.len() - 1;
    Class::ALL[(rank as usize).saturating_sub(1).min(last)]
}
