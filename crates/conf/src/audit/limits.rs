//! Limits that cannot be kept, contradict each other or have no effect.

use super::mapping_entry;
use super::service_entry;
use super::team_entry;
use super::Findings;
use crate::layout::CallerLimits;
use crate::layout::Layout;
use crate::layout::Mapping;
use crate::service::Service;
use crate::team::Team;

pub(super) fn check(layout: &Layout, findings: &mut Findings) {
    let usable = || layout.mappings.iter().filter(|m| !m.shares.is_empty());
    usable().for_each(|mapping| check_mapping(mapping, findings));
    for service in &layout.services {
        check_service(service, findings);
    }
    if let Some(limits) = &layout.limits {
        check_callers(limits, findings);
    }
    for team in layout.teams.iter().flatten() {
        check_quota(team, findings);
        let is_same = |mapping: &Mapping| team.rank == Some(mapping.rank);
        if usable().next().is_some() && usable().all(is_same) {
            let problem = "its priority is that of all routes, so it has no effect";
            findings.note(&team_entry(&team.name), problem, "leave it out");
        }
    }
}

fn check_mapping(mapping: &Mapping, findings: &mut Findings) {
    let entry = mapping_entry(mapping);
    let (timeout, target) = (mapping.timeout, mapping.target);
    if timeout.is_zero() {
        let problem = "the timeout is zero, so no call can be served";
        findings.error(&entry, problem, "raise it");
    } else if target > timeout {
        let problem = format!("the target {target:?} is above the timeout {timeout:?}");
        findings.error(&entry, problem, "lower the target or raise the timeout");
    }
    if target.is_zero() {
        let problem = "the target is zero, so no response is in time";
        findings.warn(&entry, problem, "raise it");
    }
    if mapping.attempts == 0 {
        let problem = "the number of attempts is 0, and 1 would be used";
        findings.error(&entry, problem, "write 1 or more");
    }
}

fn check_service(service: &Service, findings: &mut Findings) {
    let entry = service_entry(&service.name);
    let (rate, span) = (service.cold_rate, service.cold_span);
    if rate <= 0.0 && !span.is_zero() {
        let problem = format!("is cold for {span:?}, but the cold rate of 0 limits nothing");
        findings.warn(&entry, problem, "set a cold rate or remove the cold time");
    }
    if rate > 0.0 && span.is_zero() {
        let problem = format!("has a cold rate of {rate}, but is never cold");
        findings.warn(&entry, problem, "set a cold time or remove the cold rate");
    }
}

fn check_callers(limits: &CallerLimits, findings: &mut Findings) {
    let (patience, idle) = (limits.patience, limits.idle);
    for (name, is_zero) in [
        ("head size", limits.head == 0),
        ("header timeout", patience.is_zero()),
        ("idle timeout", idle.is_zero()),
    ] {
        if is_zero {
            findings.error("limits", format!("the {name} is zero"), "raise it");
        }
    }
    if patience > idle {
        let problem =
            format!("the header timeout {patience:?} is longer than the idle timeout {idle:?}");
        findings.warn("limits", problem, "lower the one or raise the other");
    }
    if limits.body < limits.head {
        let (body, head) = (limits.body, limits.head);
        let problem = format!("bodies may have {body} bytes, which is less than heads ({head})");
        findings.warn("limits", problem, "raise the limit on bodies");
    }
}

fn check_quota(team: &Team, findings: &mut Findings) {
    let Some(quota) = team.quota else {
        return;
    };
    if quota.rate < 1.0 && quota.burst < 1.0 {
        let (rate, burst) = (quota.rate, quota.burst);
        let problem = format!(
            "its quota of {rate}/s with a burst of {burst} is less than a call each second"
        );
        let remedy = "set a burst of 1 or more, or a higher rate";
        findings.warn(&team_entry(&team.name), problem, remedy);
    }
}
