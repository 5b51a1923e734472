//! Applies changed settings while the VM runs.
//!
//! Addresses, names and limits belong to sockets and tasks that were set up at the
//! start. The seeds, the limit of second attempts and the log level can change:
//! operators of the platform edit the settings files of running VMs.

use conf::settings::SecondAttempts;
use conf::Settings;
use serde_json::Value;

use crate::shared::lock;
use crate::shared::read;
use crate::shared::Shared;

/// The fields that take effect without a restart. The daemon itself applies
/// `logs.level`.
const LIVE_FIELDS: [&str; 3] = ["peers.seeds", "second_attempts", "logs.level"];

impl Shared {
    /// Returns the limit of second attempts from the settings that were read last; none
    /// if the limits of each service apply.
    pub(crate) fn second_attempts(&self) -> Option<SecondAttempts> {
        lock(&self.last_settings).second_attempts
    }

    /// Applies the fields of `settings` that can change while the VM runs, except for the
    /// log level, which is left to the calling program. Returns the
    /// paths of the other fields that differ from the settings read last; those need a
    /// restart.
    pub fn reload(&self, settings: &Settings) -> Vec<String> {
        let old = std::mem::replace(&mut *lock(&self.last_settings), settings.clone());
        let changed = changed_fields(&old, settings);
        let (live, needs_restart): (Vec<String>, Vec<String>) = changed
            .into_iter()
            .partition(|field| LIVE_FIELDS.contains(&field.as_str()));
        log::info!(
            taken = live.join(" "),
            needs_restart = needs_restart.join(" ");
            "conf: settings reloaded"
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
        needs_restart
    }
}

/// Returns the sorted paths of the fields in which two settings differ, two levels
/// deep.
fn changed_fields(old: &Settings, new: &Settings) -> Vec<String> {
    let flatten = |settings: &Settings| {
        let mut fields: Vec<(String, Value)> = Vec::new();
        // Serialization cannot fail, since settings are parsed from JSON.
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
    let (old, new) = (flatten(old), flatten(new));
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
