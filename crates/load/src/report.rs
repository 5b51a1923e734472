//! Formats the figures of runs as text tables.

use std::fmt::Write;

use crate::run::Outcome;

/// Returns the name of the policy of a run, as in the settings.
pub fn policy_name(outcome: &Outcome) -> String {
    let name = serde_json::to_value(outcome.policy).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}

/// Formats one run: a row for each service, with the calls that each of
/// `domains` served, then totals.
pub fn table(outcome: &Outcome, domains: &[String]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} at load {} with {} VMs, policy {}, seed {}",
        outcome.plan,
        outcome.load,
        outcome.vms,
        policy_name(outcome),
        outcome.seed
    );
    let _ = write!(
        text,
        "{:<16}{:>8}{:>8}{:>8}{:>8}{:>6}{:>8}{:>9}{:>9}{:>9}",
        "service",
        "calls",
        "served",
        "notrun",
        "unknown",
        "cut",
        "retries",
        "p50 ms",
        "p99 ms",
        "p999 ms"
    );
    for domain in domains {
        let _ = write!(text, "{domain:>16}");
    }
    text.push('\n');
    for service in &outcome.services {
        let _ = write!(
            text,
            "{:<16}{:>8}{:>8}{:>8}{:>8}{:>6}{:>8}{:>9.2}{:>9.2}{:>9.2}",
            service.service,
            service.calls,
            service.served,
            service.not_run,
            service.unknown,
            service.cut,
            service.retries,
            service.tail.p50,
            service.tail.p99,
            service.tail.p999
        );
        for served in &service.domains {
            let _ = write!(text, "{served:>16}");
        }
        text.push('\n');
    }
    let _ = writeln!(
        text,
        "all: p50 {:.2} p99 {:.2} p999 {:.2} ms; added p50 {:.2} p99 {:.2} ms; \
         {:.2} messages in {:.2} datagrams a call, {:.0} bytes; {:.3} cpu ms a call",
        outcome.tail.p50,
        outcome.tail.p99,
        outcome.tail.p999,
        outcome.added.p50,
        outcome.added.p99,
        outcome.messages,
        outcome.datagrams,
        outcome.bytes,
        outcome.cpu
    );
    let _ = writeln!(
        text,
        "probes {:.3}% of slot time; {:.2}% of wake-ups late; broken promises: {:?}",
        outcome.probes * 100.0,
        outcome.unpunctual * 100.0,
        outcome.violations
    );
    text
}
