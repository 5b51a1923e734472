//! Audits of layouts before they are sent.

use std::time::Duration;

use conf::audit::audit;
use conf::audit::Gravity;
use conf::layout::CallerLimits;
use conf::layout::WeightedService;
use conf::team::KeyDigest;
use conf::team::Quota;
use conf::Layout;
use conf::Mapping;
use conf::Service;
use conf::Team;

fn mapping(prefix: &str, shares: &[(&str, u32)]) -> Mapping {
    let share = |&(service, weight): &(&str, u32)| WeightedService {
        service: service.into(),
        weight,
    };
    Mapping {
        shares: shares.iter().map(share).collect(),
        timeout: Duration::from_secs(2),
        target: Duration::from_secs(1),
        attempts: 2,
        rank: 2,
        ..Mapping::unusable("plans", "plans.example", prefix)
    }
}

fn layout(mappings: Vec<Mapping>, teams: Option<Vec<Team>>) -> Layout {
    Layout {
        ticket: 1,
        mappings,
        services: vec![Service::new("plans", "/", Duration::from_secs(3))],
        limits: None,
        teams,
    }
}

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        name: name.into(),
        keys: keys.iter().map(|k| KeyDigest::new(k.as_bytes())).collect(),
        rank: None,
        quota: None,
    }
}

fn good() -> Layout {
    let mappings = vec![mapping("/", &[("plans", 1)])];
    layout(mappings, Some(vec![team("reds", &["r1", "r2"])]))
}

/// Checks that the audit has a finding with the texts `wanted`, and that findings are sorted.
#[track_caller]
fn expect(layout: &Layout, in_force: Option<&Layout>, gravity: Gravity, wanted: &str) {
    let findings = audit(layout, in_force);
    assert!(findings.is_sorted_by_key(|finding| finding.gravity));
    let found = findings
        .iter()
        .any(|finding| finding.gravity == gravity && finding.to_string().contains(wanted));
    assert!(found, "no {gravity} {wanted:?} in {findings:#?}");
}

#[test]
fn audit_good_layout_finds_nothing() {
    assert_eq!(audit(&good(), None), []);
    let next = Layout {
        ticket: 2,
        ..good()
    };
    assert_eq!(audit(&next, Some(&good())), []);
}

#[test]
fn audit_mappings_reports_what_cannot_match_or_be_served() {
    let check = |mappings, gravity, wanted| expect(&layout(mappings, None), None, gravity, wanted);
    let plans = [("plans", 1)];
    check(vec![mapping("/", &[])], Gravity::Error, "cannot be read");
    check(
        vec![mapping("/", &[("x", 1)])],
        Gravity::Error,
        "\"x\" is not",
    );
    check(
        vec![mapping("/", &[("plans", 0)])],
        Gravity::Error,
        "all weights",
    );
    let split = [("plans", 1), ("plans", 0)];
    check(vec![mapping("/", &split)], Gravity::Warning, "weight 0");
    check(vec![mapping("a", &plans)], Gravity::Error, "leading slash");
    check(vec![mapping("/a?b", &plans)], Gravity::Error, "no path has");
    check(
        vec![mapping("/a", &plans)],
        Gravity::Warning,
        "such as \"/ax\"",
    );
    let twice = vec![mapping("/", &plans), mapping("/", &plans)];
    check(twice, Gravity::Error, "another route");
    check(Vec::new(), Gravity::Warning, "no route leads");
    let mut public = mapping("/", &plans);
    public.public = true;
    check(vec![public], Gravity::Warning, "is public");
}

#[test]
fn audit_limits_reports_contradictions() {
    let mut layout = good();
    layout.mappings[0].target = Duration::from_secs(3);
    expect(
        &layout,
        None,
        Gravity::Error,
        "target 3s is above the timeout 2s",
    );
    layout.mappings[0].timeout = Duration::ZERO;
    expect(&layout, None, Gravity::Error, "timeout is zero");
    layout.mappings[0].attempts = 0;
    expect(&layout, None, Gravity::Error, "attempts is 0");
    layout.services[0].cold_span = Duration::from_secs(1);
    expect(&layout, None, Gravity::Warning, "cold rate of 0");
    layout.limits = Some(CallerLimits {
        head: 2,
        body: 1,
        patience: Duration::from_secs(2),
        idle: Duration::from_secs(1),
    });
    expect(
        &layout,
        None,
        Gravity::Warning,
        "longer than the idle timeout",
    );
    expect(&layout, None, Gravity::Warning, "less than heads");
    let teams = layout.teams.as_mut().unwrap();
    teams[0].rank = Some(2);
    let (rate, burst) = (0.5, 0.0);
    teams[0].quota = Some(Quota { rate, burst });
    expect(&layout, None, Gravity::Warning, "less than a call");
    expect(&layout, None, Gravity::Note, "that of all routes");
}

#[test]
fn audit_teams_reports_keys_that_are_refused() {
    let mut layout = good();
    layout.teams = Some(vec![team("reds", &["k"]), team("blues", &["k", "b"])]);
    expect(
        &layout,
        None,
        Gravity::Error,
        "team \"blues\": has a key of another",
    );
    expect(
        &layout,
        None,
        Gravity::Warning,
        "team \"reds\": all of its keys",
    );
    layout.teams = Some(vec![team(" ", &[])]);
    expect(&layout, None, Gravity::Error, "usable name");
    expect(&layout, None, Gravity::Error, "has no key");
    layout.teams = Some(vec![team("João", &["j"])]);
    expect(
        &layout,
        None,
        Gravity::Warning,
        "team \"João\": servers get",
    );
    layout.teams = Some(Vec::new());
    expect(&layout, None, Gravity::Warning, "list is empty");
}

#[test]
fn audit_changes_reports_what_callers_lose() {
    let old = good();
    let mut new = good();
    expect(&new, Some(&old), Gravity::Error, "1 is not above 1");
    new.mappings = vec![mapping("/new/", &[("plans", 1)])];
    expect(
        &new,
        Some(&old),
        Gravity::Warning,
        "removed; its calls get 404",
    );
    expect(&new, Some(&old), Gravity::Note, "added");
    let teams = new.teams.as_mut().unwrap();
    teams[0] = team("reds", &["r2", "r3"]);
    let (rate, burst) = (5.0, 1.0);
    teams[0].quota = Some(Quota { rate, burst });
    expect(&new, Some(&old), Gravity::Note, "rate: none -> 5");
    expect(&new, Some(&old), Gravity::Note, "1 keys added");
    expect(&new, Some(&old), Gravity::Warning, "1 keys taken away");
    expect(&new, Some(&old), Gravity::Warning, "quota is lower");
    new.services[0].connections = 4;
    expect(&new, Some(&old), Gravity::Note, "connections: 0 -> 4");
    new.teams = None;
    expect(&new, Some(&old), Gravity::Warning, "need no key any more");
    expect(&old, Some(&new), Gravity::Warning, "get 401");
}
