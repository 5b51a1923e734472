//! What differs between the layout in force and the one that is to take its place.

use super::mapping_entry;
use super::service_entry;
use super::team_entry;
use super::Findings;
use crate::layout::CallerLimits;
use crate::layout::Layout;
use crate::layout::Mapping;
use crate::service::Service;
use crate::team::Team;

/// The fields of an entry as findings show them. Keys of teams are no field.
type Fields = Vec<(&'static str, String)>;

pub(super) fn check(old: &Layout, new: &Layout, findings: &mut Findings) {
    if new.ticket <= old.ticket {
        let problem = format!(
            "{} is not above {}, which is in force",
            new.ticket, old.ticket
        );
        findings.error("version", problem, "write a higher version");
    }
    check_mappings(&old.mappings, &new.mappings, findings);
    check_services(&old.services, &new.services, findings);
    match (&old.limits, &new.limits) {
        (None, Some(_)) => findings.note("limits", "added", ""),
        (Some(_), None) => findings.note("limits", "removed; those of each VM apply", ""),
        (Some(old), Some(new)) => compare("limits", limit_fields(old), limit_fields(new), findings),
        (None, None) => {}
    }
    match (&old.teams, &new.teams) {
        (None, Some(_)) => {
            let problem = "added; calls without a key of a team get 401, except on public routes";
            findings.warn("teams", problem, "give all callers their keys before");
        }
        (Some(_), None) => {
            let problem = "removed; calls need no key any more, and no quota applies";
            findings.warn("teams", problem, "keep the list if this is not intended");
        }
        (Some(old), Some(new)) => check_teams(old, new, findings),
        (None, None) => {}
    }
}

/// Notes the fields that differ. Both lists have the same fields in the same order.
fn compare(entry: &str, old: Fields, new: Fields, findings: &mut Findings) {
    for ((field, old), (_, new)) in old.into_iter().zip(new) {
        if old != new {
            findings.note(entry, format!("{field}: {old} -> {new}"), "");
        }
    }
}

fn check_mappings(old: &[Mapping], new: &[Mapping], findings: &mut Findings) {
    let find = |list: &[Mapping], wanted: &Mapping| {
        let is_same = |m: &&Mapping| m.host == wanted.host && m.prefix == wanted.prefix;
        list.iter().find(is_same).cloned()
    };
    for gone in old.iter().filter(|mapping| find(new, mapping).is_none()) {
        let problem = "removed; its calls get 404, unless a shorter prefix matches them";
        findings.warn(
            &mapping_entry(gone),
            problem,
            "keep it while it has callers",
        );
    }
    for mapping in new {
        let entry = mapping_entry(mapping);
        let Some(old) = find(old, mapping) else {
            findings.note(&entry, "added", "");
            continue;
        };
        compare(
            &entry,
            mapping_fields(&old),
            mapping_fields(mapping),
            findings,
        );
        if old.public && !mapping.public {
            let problem = "not public any more; calls without a key of a team get 401";
            findings.warn(&entry, problem, "give all its callers keys before");
        }
    }
}

fn check_services(old: &[Service], new: &[Service], findings: &mut Findings) {
    for gone in old.iter().filter(|s| new.iter().all(|n| n.name != s.name)) {
        findings.note(&service_entry(&gone.name), "removed", "");
    }
    for service in new {
        let entry = service_entry(&service.name);
        match old.iter().find(|known| known.name == service.name) {
            Some(old) => compare(
                &entry,
                service_fields(old),
                service_fields(service),
                findings,
            ),
            None => findings.note(&entry, "added", ""),
        }
    }
}

fn check_teams(old: &[Team], new: &[Team], findings: &mut Findings) {
    for gone in old.iter().filter(|t| new.iter().all(|n| n.name != t.name)) {
        let problem = "removed; calls with its keys get 401, those of connected callers too";
        findings.warn(&team_entry(&gone.name), problem, "keep it while it calls");
    }
    for team in new {
        let entry = team_entry(&team.name);
        match old.iter().find(|known| known.name == team.name) {
            Some(old) => check_team(old, team, &entry, findings),
            None => findings.note(&entry, format!("added with {} keys", team.keys.len()), ""),
        }
    }
}

fn check_team(old: &Team, new: &Team, entry: &str, findings: &mut Findings) {
    compare(entry, team_fields(old), team_fields(new), findings);
    let missing = |from: &Team, to: &Team| {
        let keys = from.keys.iter().filter(|key| !to.keys.contains(key));
        keys.count()
    };
    let (taken, added) = (missing(old, new), missing(new, old));
    if added > 0 {
        findings.note(entry, format!("{added} keys added"), "");
    }
    if taken > 0 {
        let problem = format!(
            "{taken} keys taken away; calls with them get 401 unless another team has them, those of \
             connected callers too"
        );
        findings.warn(entry, problem, "take a key away once nobody uses it");
    }
    let is_lower = match (old.quota, new.quota) {
        (Some(old), Some(new)) => new.rate < old.rate || new.burst < old.burst,
        (old, new) => old.is_none() && new.is_some(),
    };
    if is_lower {
        let problem = "its quota is lower; calls beyond it get 429, those of connected callers too";
        findings.warn(entry, problem, "tell the team before");
    }
}

fn mapping_fields(mapping: &Mapping) -> Fields {
    let shares = mapping.shares.iter();
    let shares: Vec<_> = shares
        .map(|s| format!("{:?} {}", s.service, s.weight))
        .collect();
    vec![
        ("name", format!("{:?}", mapping.name)),
        ("services", format!("[{}]", shares.join(", "))),
        ("repeatable", mapping.idempotent.to_string()),
        ("timeout", format!("{:?}", mapping.timeout)),
        ("target", format!("{:?}", mapping.target)),
        ("attempts", mapping.attempts.to_string()),
        ("priority", mapping.rank.to_string()),
        ("public", mapping.public.to_string()),
    ]
}

/// Returns the fields that the configuration sets. The deadline follows from the routes.
fn service_fields(service: &Service) -> Fields {
    vec![
        ("health path", format!("{:?}", service.probe.path)),
        ("connections", service.connections.to_string()),
        ("cold time", format!("{:?}", service.cold_span)),
        ("cold rate", service.cold_rate.to_string()),
    ]
}

fn limit_fields(limits: &CallerLimits) -> Fields {
    vec![
        ("head bytes", limits.head.to_string()),
        ("body bytes", limits.body.to_string()),
        ("header timeout", format!("{:?}", limits.patience)),
        ("idle timeout", format!("{:?}", limits.idle)),
    ]
}

fn team_fields(team: &Team) -> Fields {
    let none = || "none".to_owned();
    let quota = team.quota;
    vec![
        (
            "priority",
            team.rank.map_or_else(none, |rank| rank.to_string()),
        ),
        (
            "rate",
            quota.map_or_else(none, |quota| quota.rate.to_string()),
        ),
        (
            "burst",
            quota.map_or_else(none, |quota| quota.burst.to_string()),
        ),
    ]
}
