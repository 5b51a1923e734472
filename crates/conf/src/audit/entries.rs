//! Entries that would be refused, cannot be used, or can never match a call.

use super::mapping_entry;
use super::service_entry;
use super::team_entry;
use super::Findings;
use crate::layout::Layout;
use crate::layout::Mapping;
use crate::team::Team;
use crate::team_table::conflicting_teams;
use crate::TeamTable;

pub(super) fn check(layout: &Layout, findings: &mut Findings) {
    let mut services: Vec<&str> = layout.services.iter().map(|s| s.name.as_str()).collect();
    services.sort_unstable();
    for name in repeated(&services) {
        let entry = service_entry(name);
        findings.error(&entry, "is defined twice", "remove one definition");
    }
    for mapping in &layout.mappings {
        check_mapping(mapping, &services, findings);
        if mapping.public && layout.teams.is_none() {
            let problem = "is public, but no call needs a key, since there are no teams";
            findings.warn(&mapping_entry(mapping), problem, "list teams or remove it");
        }
    }
    check_places(&layout.mappings, findings);
    check_use(layout, findings);
    if let Some(teams) = &layout.teams {
        check_teams(teams, findings);
    }
}

/// Returns the items that occur more than once in `sorted`, each once.
fn repeated<T: PartialEq + Copy>(sorted: &[T]) -> Vec<T> {
    let pairs = sorted.windows(2).filter(|pair| pair[0] == pair[1]);
    let mut found: Vec<T> = pairs.map(|pair| pair[0]).collect();
    found.dedup();
    found
}

/// Checks the services of a mapping and which calls it matches.
fn check_mapping(mapping: &Mapping, services: &[&str], findings: &mut Findings) {
    let entry = mapping_entry(mapping);
    check_prefix(mapping, &entry, findings);
    if mapping.shares.is_empty() {
        let problem = "cannot be read or has no service, so its calls would be refused";
        return findings.error(&entry, problem, "correct its fields");
    }
    for share in &mapping.shares {
        if services.binary_search(&share.service.as_str()).is_err() {
            let problem = format!("service {:?} is not defined", share.service);
            findings.error(&entry, problem, "define it or name another one");
        }
    }
    let total: u64 = mapping.shares.iter().map(|s| u64::from(s.weight)).sum();
    if total == 0 {
        let problem = "all weights are 0, so the last service would get all calls";
        return findings.error(&entry, problem, "give a service a weight above 0");
    }
    if total > u64::from(u32::MAX) {
        let problem = format!("the weights add up to {total}, which is too large");
        findings.error(&entry, problem, "write smaller weights");
    }
    for share in mapping.shares.iter().filter(|share| share.weight == 0) {
        let problem = format!("service {:?} has weight 0 and gets no calls", share.service);
        findings.warn(&entry, problem, "remove it or raise its weight");
    }
}

/// Checks that there are paths that start with the prefix. Paths begin with a slash, and
/// queries are no part of them.
fn check_prefix(mapping: &Mapping, entry: &str, findings: &mut Findings) {
    let prefix = mapping.prefix.as_str();
    if mapping.host.is_empty() {
        findings.error(entry, "has no host, so no call matches", "write its host");
    }
    if !prefix.is_empty() && !prefix.starts_with('/') {
        let problem = "the prefix has no leading slash, so no call matches";
        findings.error(entry, problem, "begin it with \"/\"");
    }
    let is_no_path = |c: char| c == '?' || c == '#' || c.is_whitespace();
    if prefix.contains(is_no_path) {
        let problem = "the prefix has a character that no path has, so no call matches";
        findings.error(entry, problem, "write a path without query or blanks");
    }
    if !prefix.ends_with('/') {
        let other = format!("{prefix}x");
        let problem = format!("also matches paths that go on otherwise, such as {other:?}");
        findings.warn(entry, problem, "end the prefix with \"/\"");
    }
}

/// Checks that no two mappings are for the same calls.
fn check_places(mappings: &[Mapping], findings: &mut Findings) {
    let place = |mapping: &Mapping| (mapping.host.clone(), mapping.prefix.clone());
    let mut places: Vec<_> = mappings.iter().map(place).collect();
    places.sort_unstable();
    let repeated = repeated(&places.iter().collect::<Vec<_>>());
    for mapping in mappings {
        if repeated.binary_search(&&place(mapping)).is_ok() {
            let problem = "another route has this host and prefix; only one of them can match";
            findings.error(&mapping_entry(mapping), problem, "keep one of them");
        }
    }
}

/// Checks that each service is used by a mapping.
fn check_use(layout: &Layout, findings: &mut Findings) {
    let shares = layout.mappings.iter().flat_map(|mapping| &mapping.shares);
    let mut used: Vec<&str> = shares.map(|share| share.service.as_str()).collect();
    used.sort_unstable();
    for service in &layout.services {
        if used.binary_search(&service.name.as_str()).is_err() {
            let entry = service_entry(&service.name);
            findings.warn(&entry, "no route leads to it", "add a route or remove it");
        }
    }
}

fn check_teams(teams: &[Team], findings: &mut Findings) {
    if teams.is_empty() {
        let problem = "the list is empty, so only calls of public routes would be served";
        findings.warn("teams", problem, "list teams or leave the list out");
    }
    let mut names: Vec<&str> = teams.iter().map(|team| team.name.as_str()).collect();
    names.sort_unstable();
    for name in repeated(&names) {
        findings.error(&team_entry(name), "is listed twice", "remove one entry");
    }
    let table = TeamTable::new(teams);
    let conflicting = conflicting_teams(teams);
    for (index, team) in teams.iter().enumerate() {
        let entry = team_entry(&team.name);
        if team.name.trim().is_empty() {
            findings.error(&entry, "has no usable name", "name it");
        }
        if !team.name.is_ascii() {
            let problem = "servers get its name in UTF-8, which they may read in another encoding";
            findings.warn(&entry, problem, "name it in ASCII");
        }
        if team.keys.is_empty() {
            findings.error(&entry, "has no key, so it cannot call", "give it a key");
            continue;
        }
        if conflicting.binary_search(&index).is_ok() {
            let problem = "has a key of another team, so calls with that key are refused";
            findings.error(&entry, problem, "give each team keys of its own");
        }
        if team.keys.iter().all(|key| table.find(key).is_none()) {
            let problem = "all of its keys are refused, so the entry never acts";
            findings.warn(&entry, problem, "give it a key of its own");
        }
    }
}
