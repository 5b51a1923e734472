//! Takes changed settings while the VM runs.
//!
//! Addresses, names and limits belong to what was opened at the start. The seeds
//! and the bound of second attempts can change, and do: operators of the platform
//! change files of VMs that run.

use conf::settings::SecondAttempts;
use conf::Settings;
use serde_json::Value;

use crate::shared::lock;
use crate::shared::read;
use crate::shared::Shared;

/// The fields that are taken at once.
const LIVE: [&str; 3] = ["peers.seeds", "second_attempts", "logs.level"];

impl Shared {
    /// Returns the bound of second attempts in force.
    pub(crate) fn second_attempts(&self) -> Option<SecondAttempts> {
        lock(&self.last_settings).second_attempts
    }

    /// Takes what of `settings` can change while the VM runs; returns the fields
    /// that changed and need a restart.
    pub fn reload(&self, settings: &Settings) -> Vec<String> {
        let old = std::mem::replace(&mut *lock(&self.last_settings), settings.clone());
        let changed = changes(&old, settings);
        let (live, fixed): (Vec<String>, Vec<String>) = changed
            .into_iter()
            .partition(|field| LIVE.contains(&field.as_str()));
        log::info!(
            taken = live.join(" "),
            needs_restart = fixed.join(" ");
            "conf: settings were read again"
        );
        if old.peers.seeds != settings.peers.seeds {
            let seeds = settings.peers.seeds.clone();
            self.with_members(|members| members.set_seeds(seeds));
        }
        if old.second_attempts != settings.second_attempts {
            let refresh_guard = lock(&self.refresh_lock);
            let pending = self.refresh(read(&self.state));
            drop(refresh_guard);
            self.run_all_effects(pending);
        }
        fixed
    }
}

/// Returns the paths of the fields in which two settings differ, two levels deep.
fn changes(old: &Settings, new: &Settings) -> Vec<String> {
    let flat = |settings: &Settings| {
        let mut fields: Vec<(String, Value)> = Vec::new();
        // Settings were parsed from JSON, so they can be written as such.
        let all = serde_json::to_value(settings).unwrap_or_default();
        for (name, value) in all.as_object().into_iter().flatten() {
            match value.as_object() {
                Some(inner) => {
                    let inner = inner.iter();
                    fields
                        .extend(inner.map(|(key, value)| (format!("{name}.{key}"), value.clone())));
                }
                None => fields.push((name.clone(), value.clone())),
            }
        }
        fields
    };
    let (old, new) = (flat(old), flat(new));
    let mut names: Vec<String> = old
        .iter()
        .filter(|field| !new.contains(field))
        .chain(new.iter().filter(|field| !old.contains(field)))
        .map(|(name, _)| match name.split_once('.') {
            Some(("second_attempts", _)) => "second_attempts".into(),
            _ => name.clone(),
        })
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}
