//! A small fleet keeps its guarantees under faults. Performance is not checked.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use conf::settings::Policy;
use load::fleet::Fleet;
use load::fleet::FleetOptions;
use load::fleet::Vm;
use load::plan::Plan;
use load::run;

const PLAN: &str = r#"{
  "name": "smoke",
  "domains": ["a", "b", "c"],
  "vms": 4,
  "latency": { "peers": "500us", "callers": "0s", "servers": "500us" },
  "services": [
    { "name": "reads", "servers": 4, "slots": 2, "mean": "5ms", "deadline": "1s", "class": "critical", "hedges": 5 },
    { "name": "posts", "servers": 4, "slots": 2, "mean": "5ms", "deadline": "1s", "posts": 1.0 },
    { "name": "sheds", "servers": 3, "slots": 2, "mean": "5ms", "deadline": "1s", "posts": 0.5, "sheds": true, "misleads": true }
  ],
  "noise": { "share": 0.1, "factor": 4.0, "period": "50ms" },
  "load": 0.5, "warmup": "300ms", "time": "1700ms"
}"#;

/// Runs the fleet with `events` and checks the guarantees that hold however slow
/// the machine is.
fn check_guarantees(policy: Policy, events: &str) {
    let text = PLAN.replace("\"load\"", &format!("\"events\": [{events}], \"load\""));
    let plan = Plan::parse(&text).unwrap();
    let options = FleetOptions {
        policy,
        vms: plan.vms,
        unbatched: false,
    };
    let (outcome, tally) = smol::block_on(run::run(&plan, &options)).unwrap();
    assert!(tally.samples.len() > 100, "{} calls", tally.samples.len());
    let violations = outcome.violations;
    assert_eq!(violations.twice, 0, "calls ran twice");
    assert_eq!(
        violations.false_refusals, 0,
        "calls reported as not run ran"
    );
    assert_eq!(
        violations.short, 0,
        "incomplete responses were passed off as complete"
    );
}

/// Sends a call with an idempotency key to `vm` and returns the response.
fn post_with_key(vm: &Vm, key: &str) -> String {
    let mut stream = TcpStream::connect(vm.callers).unwrap();
    let request = format!(
        "POST /posts HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\
         idempotency-key: {key}\r\ncontent-length: 4\r\n\r\nbook"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn call_with_a_repeated_key_is_refused_at_every_vm() {
    let plan = Plan::parse(PLAN).unwrap();
    let options = FleetOptions {
        policy: Policy::Home,
        vms: plan.vms,
        unbatched: false,
    };
    let fleet = smol::block_on(Fleet::start(&plan, &options)).unwrap();
    let refused = post_with_key(&fleet.vms[0], "before");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("not-run"), "{refused}");
    for vm in &fleet.vms {
        vm.shared.assume_keys_complete();
    }
    for (n, first) in fleet.vms.iter().enumerate() {
        let key = format!("booking-{n}");
        let answer = post_with_key(first, &key);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        for vm in &fleet.vms {
            let answer = post_with_key(vm, &key);
            assert!(answer.starts_with("HTTP/1.1 409"), "{answer}");
        }
    }
    // A key stays known when one of its owners is missing.
    smol::block_on(fleet.vms[3].kill());
    for vm in &fleet.vms[..3] {
        let answer = post_with_key(vm, "booking-0");
        assert!(answer.starts_with("HTTP/1.1 409"), "{answer}");
    }
    let begun = fleet.servers_of("posts").map(|m| m.backend.record().begun);
    assert_eq!(begun.sum::<u64>(), fleet.vms.len() as u64);
    smol::block_on(fleet.stop());
}

#[test]
fn run_without_faults() {
    check_guarantees(Policy::Home, "");
}

#[test]
fn run_home_killed_and_servers_restarted() {
    check_guarantees(
        Policy::Home,
        r#"{ "at": "200ms", "kind": "kill-home", "service": "posts" },
           { "at": "500ms", "kind": "restart", "service": "posts", "count": 2 },
           { "at": "600ms", "kind": "restart", "service": "sheds", "count": 1 }"#,
    );
}

#[test]
fn run_loss_pause_and_platform_outage() {
    check_guarantees(
        Policy::Home,
        r#"{ "at": "100ms", "kind": "loss", "share": 0.1 },
           { "at": "200ms", "kind": "platform", "down": true },
           { "at": "300ms", "kind": "pause-home", "service": "reads" },
           { "at": "600ms", "kind": "restart", "service": "reads", "count": 2 },
           { "at": "1500ms", "kind": "resume" }"#,
    );
}

#[test]
fn run_domain_fails_and_another_is_taken_out() {
    check_guarantees(
        Policy::Home,
        r#"{ "at": "200ms", "kind": "domain-vanish", "domain": "c" },
           { "at": "500ms", "kind": "domain-out", "domain": "a" },
           { "at": "1s", "kind": "domain-in", "domain": "a" }"#,
    );
}

#[test]
fn run_domain_freezes_and_another_returns_restarted() {
    check_guarantees(
        Policy::Home,
        r#"{ "at": "100ms", "kind": "domain-out", "domain": "a" },
           { "at": "200ms", "kind": "domain-restart", "domain": "a" },
           { "at": "400ms", "kind": "domain-freeze", "domain": "c", "on": true },
           { "at": "600ms", "kind": "load", "factor": 0.1 },
           { "at": "900ms", "kind": "load", "factor": 1.0 },
           { "at": "1s", "kind": "domain-in", "domain": "a" },
           { "at": "1500ms", "kind": "domain-freeze", "domain": "c", "on": false }"#,
    );
}

#[test]
fn run_baselines() {
    for policy in [
        Policy::Random,
        Policy::RoundRobin,
        Policy::Least,
        Policy::TwoChoices,
        Policy::ProbePool,
    ] {
        check_guarantees(
            policy,
            r#"{ "at": "300ms", "kind": "restart", "service": "posts", "count": 1 }"#,
        );
    }
}
