//! Tests of the verifier: each check reports the violation that it is for, and a run
//! without violations gives no findings.

use std::time::Duration;

use base::Time;
use soak::caller::moving_team;
use soak::caller::GREEDY;
use soak::caller::MODEST;
use soak::record::Arrival;
use soak::record::CallId;
use soak::record::DomainOut;
use soak::record::Fault;
use soak::record::FaultTarget;
use soak::record::Key;
use soak::record::Misnamed;
use soak::record::NoticeSent;
use soak::record::Process;
use soak::record::Record;
use soak::record::Request;
use soak::record::RequestEnd;
use soak::record::RollOut;
use soak::record::ServerInstance;
use soak::record::ServerNotice;
use soak::record::Signature;
use soak::record::Span;
use soak::record::Ticket;
use soak::verify::timeline;
use soak::verify::verify;

const SIGNATURE: Signature = Signature {
    status: 200,
    hash: 1,
};

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn served() -> RequestEnd {
    RequestEnd::Response {
        status: 200,
        signature: Some(SIGNATURE),
        echoed_id: None,
        intact: true,
        over_quota: false,
    }
}

fn refused() -> RequestEnd {
    RequestEnd::Response {
        status: 503,
        signature: None,
        echoed_id: None,
        intact: true,
        over_quota: false,
    }
}

fn instance(
    name: &str,
    service: &'static str,
    domain: &'static str,
    location: usize,
) -> ServerInstance {
    ServerInstance {
        location,
        name: name.into(),
        service,
        version: "v1",
        domain,
        cold_until: Time::ZERO,
        leaving_since: None,
    }
}

/// Returns the record of a run with one VM that runs for a minute, three servers and one
/// configuration.
fn record() -> Record {
    let span = Span {
        from: Time::ZERO,
        to: ms(60_000),
    };
    Record {
        instances: vec![
            instance("a", "plans", "north", 0),
            instance("b", "orders", "south", 1),
            instance("c", "status", "east", 2),
        ],
        tickets: vec![Ticket {
            at: Time::ZERO,
            moving: "plans",
        }],
        processes: vec![Process {
            vm: 0,
            span,
            stop_requested: None,
            exit_code: None,
        }],
        faults_ended: ms(59_000),
        ..Record::default()
    }
}

/// Adds a request that is sent at `at`, in milliseconds, and ends 50 ms later.
fn add_request(record: &mut Record, at: u64, route: &'static str, end: RequestEnd) -> CallId {
    let id = record.requests.len() as CallId;
    record.requests.push(Request {
        id,
        at: ms(at),
        vm: 0,
        route,
        idempotent: route != "write",
        key: Key::Lasting,
        timeout: ms(1500),
        poison: None,
        end: Some((ms(at + 50), end)),
    });
    id
}

/// Adds the execution of a request by `instance` at `at`, in milliseconds.
fn add_execution(record: &mut Record, call: CallId, at: u64, instance: usize) {
    record.arrivals.push(Arrival {
        call,
        at: ms(at),
        instance,
        team: None,
        executed: true,
    });
}

/// Adds a request that is sent at `at` and executed by `instance` 1 ms later.
fn add_served_request(
    record: &mut Record,
    at: u64,
    route: &'static str,
    instance: usize,
) -> CallId {
    let id = add_request(record, at, route, served());
    add_execution(record, id, at + 1, instance);
    id
}

#[track_caller]
fn assert_finds(record: &Record, rule: &str) {
    let findings = verify(record);
    assert!(
        findings.iter().any(|finding| finding.rule == rule),
        "{findings:?}"
    );
}

#[track_caller]
fn assert_sound(record: &Record) {
    assert_eq!(verify(record), []);
}

#[test]
fn verify_undisturbed_run() {
    let mut record = record();
    for i in 0..100 {
        add_served_request(&mut record, 10_000 + i * 100, "read", 0);
        add_served_request(&mut record, 10_000 + i * 100, "write", 1);
    }
    add_request(&mut record, 20_000, "write", refused());
    assert_sound(&record);
}

#[test]
fn verify_non_idempotent_run_twice() {
    let mut record = record();
    let call = add_served_request(&mut record, 10_000, "write", 1);
    add_execution(&mut record, call, 10_020, 1);
    assert_finds(&record, "at most once");
    let steps = timeline(&record, call);
    assert_eq!(steps.len(), 4, "{steps:?}");
}

#[test]
fn verify_three_attempts() {
    let mut record = record();
    let call = add_served_request(&mut record, 10_000, "read", 0);
    add_execution(&mut record, call, 10_020, 0);
    add_execution(&mut record, call, 10_040, 0);
    assert_finds(&record, "attempts");
}

#[test]
fn verify_arrival_without_request() {
    let mut record = record();
    add_execution(&mut record, 7, 10_000, 0);
    assert_finds(&record, "asked for");
}

#[test]
fn verify_refused_then_run() {
    let mut record = record();
    let call = add_request(&mut record, 10_000, "write", refused());
    add_execution(&mut record, call, 10_500, 1);
    assert_finds(&record, "true refusal");
}

#[test]
fn verify_wrong_or_partial_response() {
    for (echoed_id, intact, signature) in [
        (Some(99), true, Some(SIGNATURE)),
        (None, false, Some(SIGNATURE)),
        (None, true, None),
    ] {
        let mut record = record();
        let end = RequestEnd::Response {
            status: 200,
            signature,
            echoed_id,
            intact,
            over_quota: false,
        };
        let call = add_request(&mut record, 10_000, "read", end);
        add_execution(&mut record, call, 10_001, 0);
        assert_finds(&record, "whole answer");
    }
}

#[test]
fn verify_bytes_that_are_no_response() {
    let mut record = record();
    add_request(&mut record, 10_000, "read", RequestEnd::Malformed);
    assert_finds(&record, "whole answer");
}

#[test]
fn verify_status_mismatch() {
    let mut record = record();
    let end = RequestEnd::Response {
        status: 500,
        signature: Some(SIGNATURE),
        echoed_id: None,
        intact: true,
        over_quota: false,
    };
    add_request(&mut record, 10_000, "read", end);
    assert_finds(&record, "whole answer");
}

#[test]
fn verify_late_configuration() {
    let mut record = record();
    record.tickets.push(Ticket {
        at: ms(10_000),
        moving: "orders",
    });
    add_served_request(&mut record, 11_900, "turn", 0);
    assert_sound(&record);
    add_served_request(&mut record, 12_100, "turn", 0);
    assert_finds(&record, "configuration in time");
}

#[test]
fn verify_late_configuration_after_store_outage() {
    let mut record = record();
    record.tickets.push(Ticket {
        at: ms(10_000),
        moving: "orders",
    });
    record.faults.push(Fault {
        span: Span {
            from: ms(9_000),
            to: ms(11_000),
        },
        target: FaultTarget::Store,
        name: "store fault",
    });
    add_served_request(&mut record, 13_900, "turn", 0);
    assert_sound(&record);
    add_served_request(&mut record, 14_100, "turn", 0);
    assert_finds(&record, "configuration in time");
}

#[test]
fn verify_reverted_configuration() {
    let mut record = record();
    record.tickets.push(Ticket {
        at: ms(10_000),
        moving: "orders",
    });
    add_served_request(&mut record, 10_100, "turn", 1);
    add_served_request(&mut record, 10_200, "turn", 0);
    assert_sound(&record);
    add_served_request(&mut record, 10_400, "turn", 0);
    assert_finds(&record, "no older configuration");
}

#[test]
fn verify_rate_limited_server_gets_too_much() {
    let mut record = record();
    let told = add_served_request(&mut record, 10_000, "read", 0);
    for (call, at) in [(told, 10_010), (told, 20_000)] {
        record.notices.push(NoticeSent {
            call,
            at: ms(at),
            instance: 0,
            notice: ServerNotice::RateLimit(2),
        });
    }
    // 1.5 times 2 requests a second in 4 s, and 5 more.
    for n in 0..17 {
        add_served_request(&mut record, 14_000 + 200 * n, "read", 0);
    }
    assert_sound(&record);
    add_served_request(&mut record, 17_500, "read", 0);
    assert_finds(&record, "rate limit of servers");
}

#[test]
fn verify_leaving_server_gets_work() {
    let mut record = record();
    record.instances[0].leaving_since = Some(ms(10_000));
    add_served_request(&mut record, 11_900, "read", 0);
    assert_sound(&record);
    add_served_request(&mut record, 12_100, "read", 0);
    assert_finds(&record, "nothing for what leaves");
}

#[test]
fn verify_out_domain_gets_work() {
    let mut record = record();
    record.domain_outs.push(DomainOut {
        domain: "north",
        span: Span {
            from: ms(10_000),
            to: ms(20_000),
        },
    });
    add_served_request(&mut record, 14_900, "read", 0);
    add_served_request(&mut record, 20_100, "read", 0);
    assert_sound(&record);
    add_served_request(&mut record, 15_100, "read", 0);
    assert_finds(&record, "nothing for what is out");
}

#[test]
fn verify_cold_server_over_rate() {
    let mut record = record();
    record.instances[0].cold_until = ms(13_000);
    for i in 0..14 {
        add_served_request(&mut record, 10_000 + i * 60, "read", 0);
    }
    assert_sound(&record);
    add_served_request(&mut record, 10_850, "read", 0);
    assert_finds(&record, "rate of cold servers");
}

#[test]
fn verify_second_attempts_over_budget() {
    let mut record = record();
    for i in 0..26 {
        let call = add_served_request(&mut record, 10_000 + i * 100, "read", 0);
        add_execution(&mut record, call, 10_030 + i * 100, 0);
    }
    // The budget allows 20 second attempts and a fifth of the requests.
    assert_finds(&record, "budget of second attempts");
    record.arrivals.truncate(2 * 24);
    assert_sound(&record);
}

#[test]
fn verify_attempts_after_caller_left() {
    let mut record = record();
    for i in 0..4 {
        let call = add_request(&mut record, 10_000 + i * 100, "read", RequestEnd::Abandoned);
        add_execution(&mut record, call, 10_600 + i * 100, 0);
    }
    assert_finds(&record, "nothing for who has left");
}

#[test]
fn verify_request_cut_at_planned_stop() {
    let mut record = record();
    let call = add_request(&mut record, 10_000, "read", RequestEnd::ConnectionClosed);
    add_execution(&mut record, call, 10_001, 0);
    assert_sound(&record);
    record.processes[0].stop_requested = Some(ms(9_900));
    record.processes[0].span.to = ms(10_500);
    record.processes[0].exit_code = Some(0);
    assert_finds(&record, "planned stops cut nothing");
}

#[test]
fn verify_failed_planned_stop() {
    let mut record = record();
    record.processes[0].stop_requested = Some(ms(58_000));
    record.processes[0].exit_code = Some(3);
    assert_finds(&record, "planned stops cut nothing");
    record.processes[0].stop_requested = Some(ms(50_000));
    record.processes[0].exit_code = None;
    assert_finds(&record, "planned stops end");
}

#[test]
fn verify_unrequested_process_exit() {
    let mut record = record();
    record.processes[0].exit_code = Some(101);
    assert_finds(&record, "processes go on");
}

#[test]
fn verify_unanswered_requests() {
    let mut record = record();
    for i in 0..4 {
        let call = add_request(&mut record, 10_000 + i * 100, "read", RequestEnd::Timeout);
        add_execution(&mut record, call, 10_001 + i * 100, 0);
    }
    assert_finds(&record, "answered");
    // A faulty server explains requests without a response.
    record.faults.push(Fault {
        span: Span {
            from: ms(9_000),
            to: ms(11_000),
        },
        target: FaultTarget::Server(0),
        name: "faulty server",
    });
    assert_sound(&record);
}

#[test]
fn verify_refused_after_last_fault() {
    let mut record = record();
    record.faults_ended = ms(10_000);
    for i in 0..8 {
        add_served_request(&mut record, 14_000 + i * 100, "read", 0);
    }
    assert_sound(&record);
    add_request(&mut record, 15_000, "read", refused());
    assert_finds(&record, "served again");
}

#[test]
fn verify_unserved_after_last_stop() {
    let mut record = record();
    record.faults_ended = ms(10_000);
    for i in 0..8 {
        add_served_request(&mut record, 14_000 + i * 100, "read", 0);
    }
    for i in 0..8 {
        add_request(
            &mut record,
            16_000 + i * 10,
            "read",
            RequestEnd::ConnectionClosed,
        );
    }
    assert_finds(&record, "served again");
    record.last_stop = Some(ms(16_000));
    assert_sound(&record);
    add_request(&mut record, 15_000, "read", RequestEnd::ConnectionClosed);
    assert_finds(&record, "served again");
}

/// Adds a notice in the response to a request.
fn add_notice(record: &mut Record, call: CallId, at: u64, instance: usize, notice: ServerNotice) {
    record.notices.push(NoticeSent {
        call,
        at: ms(at),
        instance,
        notice,
    });
}

#[test]
fn verify_request_for_server_that_says_it_leaves() {
    let mut record = record();
    let call = add_served_request(&mut record, 10_000, "read", 0);
    add_notice(&mut record, call, 10_040, 0, ServerNotice::Leaving);
    // Before the time limit, and at another server.
    add_served_request(&mut record, 11_900, "read", 0);
    add_served_request(&mut record, 13_000, "write", 1);
    assert_sound(&record);
    add_served_request(&mut record, 12_200, "read", 0);
    assert_finds(&record, "nothing for what says it leaves");
    // The VM was paused meanwhile.
    record.faults.push(Fault {
        span: Span {
            from: ms(10_500),
            to: ms(11_000),
        },
        target: FaultTarget::Vm(0),
        name: "paused",
    });
    assert_sound(&record);
}

#[test]
fn verify_requests_for_resting_server() {
    let mut record = record();
    let call = add_request(&mut record, 10_000, "read", refused());
    let rest = ServerNotice::Rest(Duration::from_secs(2));
    add_notice(&mut record, call, 10_010, 0, rest);
    // One on its way when the server asked, two during the rest, and one after it.
    for at in [10_400, 11_000, 11_500, 12_100] {
        add_served_request(&mut record, at, "read", 0);
    }
    assert_sound(&record);
    add_served_request(&mut record, 11_700, "read", 0);
    assert_finds(&record, "rest of servers");
}

/// Adds repeats of a request that makes servers crash: one that ends a server in each second
/// up to `crashes`, and then one in each second that is executed by an instance of its own.
fn add_poison(record: &mut Record, crashes: usize, later: usize) {
    for n in 0..crashes + later {
        let at = if n < crashes { 2000 } else { 10_000 } + 100 * n as u64;
        record
            .instances
            .push(instance(&format!("d{n}"), "plans", "north", 10 + n));
        let last = record.instances.len() - 1;
        let call = add_request(record, at, "read", refused());
        let end = RequestEnd::Response {
            status: 502,
            signature: None,
            echoed_id: None,
            intact: true,
            over_quota: false,
        };
        record.requests[call as usize].end = Some((ms(at + 40), end));
        record.requests[call as usize].poison = Some(0);
        add_execution(record, call, at + 5, last);
    }
}

#[test]
fn verify_request_that_crashes_servers_goes_on() {
    let mut sound = record();
    add_poison(&mut sound, 8, 3);
    assert_sound(&sound);
    let mut broken = record();
    add_poison(&mut broken, 8, 4);
    assert_finds(&broken, "requests that crash servers");
}

/// Adds a partition of the VM 1 from 10 s to 20 s, in which 120 requests are sent to each
/// of two VMs. `served` of those at VM 1 are served, and all of the others.
fn add_partition(record: &mut Record, served: usize) {
    let process = record.processes[0];
    record.processes.push(Process { vm: 1, ..process });
    record.faults.push(Fault {
        span: Span {
            from: ms(10_000),
            to: ms(20_000),
        },
        target: FaultTarget::Path(1),
        name: "refused",
    });
    for n in 0..120 {
        let at = 12_500 + 50 * n as u64;
        add_served_request(record, at, "read", 0);
        if n < served {
            let call = add_served_request(record, at, "read", 0);
            record.requests[call as usize].vm = 1;
        } else {
            let call = add_request(record, at, "read", refused());
            record.requests[call as usize].vm = 1;
        }
    }
}

#[test]
fn verify_partitioned_vm_serves_less_than_the_others() {
    let mut sound = record();
    add_partition(&mut sound, 80);
    assert_sound(&sound);
    let mut broken = record();
    add_partition(&mut broken, 79);
    assert_finds(&broken, "VMs without a path");
}

#[test]
fn verify_request_with_another_team_or_a_key_is_reported() {
    let mut record = record();
    assert!(verify(&record).iter().all(|found| found.rule != "teams"));
    record.misnamed.push(Misnamed {
        call: 0,
        at: ms(1000),
        text: "key: true".into(),
    });
    assert!(verify(&record).iter().any(|found| found.rule == "teams"));
}

/// Adds a fault of `target` from 9.5 s to 10.5 s.
fn add_fault(record: &mut Record, target: FaultTarget) {
    let span = Span {
        from: ms(9_500),
        to: ms(10_500),
    };
    let name = "fault";
    record.faults.push(Fault { span, target, name });
}

/// Returns a record with a second configuration at 10 s and a request with `key` at `at`, in
/// milliseconds, that runs for `team`.
fn record_with_key(key: Key, at: u64, team: Option<&'static str>) -> Record {
    let mut record = record();
    record.tickets.push(Ticket {
        at: ms(10_000),
        moving: "orders",
    });
    let id = add_served_request(&mut record, at, "read", 0);
    record.requests[id as usize].key = key;
    record.arrivals[0].team = team;
    record
}

#[test]
fn verify_key_that_was_taken_away_is_reported() {
    let passing = |number, at| record_with_key(Key::Passing(number), at, None);
    assert_sound(&passing(0, 12_400));
    assert_sound(&passing(1, 12_600));
    assert_finds(&passing(0, 12_600), "keys in time");
    let mut outage = passing(0, 12_600);
    add_fault(&mut outage, FaultTarget::Store);
    assert_sound(&outage);
    let mut paused = passing(0, 12_600);
    add_fault(&mut paused, FaultTarget::Vm(0));
    assert_sound(&paused);
}

#[test]
fn verify_key_that_moved_counts_for_the_new_team() {
    let moving = |at, number| record_with_key(Key::Moving, at, Some(moving_team(number)));
    assert_sound(&moving(12_400, 0));
    assert_sound(&moving(12_600, 1));
    assert_finds(&moving(12_600, 0), "keys in time");
    assert_finds(&record_with_key(Key::Moving, 12_600, None), "keys in time");
}

/// Adds `count` calls of a team with a quota, which run `step` ms apart from 10 s on.
fn add_limited(record: &mut Record, team: usize, count: u64, step: u64) {
    for n in 0..count {
        let id = add_served_request(record, 10_000 + n * step, "read", 0);
        record.requests[id as usize].key = Key::Limited(team);
    }
}

#[test]
fn verify_team_that_exceeds_its_quota_is_reported() {
    // 6 a second and a burst of 6 are 59.6 calls in 5 s with the tolerance.
    let mut record = record();
    add_limited(&mut record, GREEDY, 59, 1);
    // A second attempt is no second call.
    add_execution(&mut record, 0, 10_100, 1);
    assert_sound(&record);
    let mut stalled = record.clone();
    add_limited(&mut record, GREEDY, 1, 1);
    assert_finds(&record, "quotas");
    record.faults.push(Fault {
        span: record.processes[0].span,
        target: FaultTarget::Vm(0),
        name: "paused",
    });
    assert_finds(&record, "quotas");
    add_limited(&mut stalled, GREEDY, 1, 1);
    stalled.stalls.push(Span {
        from: ms(10_000),
        to: ms(10_500),
    });
    assert_sound(&stalled);
}

#[test]
fn verify_calls_of_a_steady_team_count_by_window() {
    let mut record = record();
    add_limited(&mut record, GREEDY, 300, 90);
    assert_sound(&record);
    let mut faster = self::record();
    add_limited(&mut faster, GREEDY, 300, 80);
    assert_finds(&faster, "quotas");
}

#[test]
fn verify_team_that_is_refused_within_its_quota_is_reported() {
    let refuse = |record: &mut Record, count: usize| {
        for request in record.requests.iter_mut().take(count) {
            request.end = Some((
                request.at + ms(1),
                RequestEnd::Response {
                    status: 429,
                    signature: None,
                    echoed_id: None,
                    intact: true,
                    over_quota: true,
                },
            ));
        }
        record.arrivals.retain(|a| a.call >= count as CallId);
    };
    let mut record = record();
    add_limited(&mut record, MODEST, 100, 250);
    refuse(&mut record, 35);
    assert_sound(&record);
    refuse(&mut record, 36);
    assert_finds(&record, "served within the quota");
    for request in &mut record.requests {
        request.key = Key::Limited(GREEDY);
    }
    assert_sound(&record);
}

/// Returns a record with a roll-out of `plans` that ends in `state` at 20 s, and a call at
/// the version at `at`, in milliseconds.
fn record_with_roll_out(is_bad: bool, state: &str, at: u64) -> Record {
    let mut record = record();
    record.instances[0].version = "v2";
    record.roll_outs.push(RollOut {
        service: "plans",
        version: "v2",
        is_bad,
        at: ms(10_000),
        end: Some((ms(20_000), state.into())),
    });
    add_served_request(&mut record, at, "read", 0);
    record
}

#[test]
fn verify_roll_out_with_the_wrong_end_is_reported() {
    assert_sound(&record_with_roll_out(true, "rolled_back", 15_000));
    assert_sound(&record_with_roll_out(false, "completed", 40_000));
    for (is_bad, state) in [(true, "completed"), (false, "rolled_back")] {
        let record = record_with_roll_out(is_bad, state, 15_000);
        assert_finds(&record, "roll-outs");
    }
    let mut record = record_with_roll_out(true, "rolled_back", 15_000);
    record.roll_outs[0].end = None;
    assert_finds(&record, "roll-outs");
}

#[test]
fn verify_bad_version_that_still_gets_calls_is_reported() {
    assert_sound(&record_with_roll_out(true, "rolled_back", 24_900));
    let late = record_with_roll_out(true, "rolled_back", 25_100);
    assert_finds(&late, "nothing for bad versions");
    let mut early = record_with_roll_out(true, "rolled_back", 17_000);
    early.bad_responses = vec![(ms(11_000), 0); 49];
    early.bad_responses.push((ms(11_500), 1));
    assert_sound(&early);
    early.bad_responses.push((ms(11_900), 0));
    assert_finds(&early, "nothing for bad versions");
    add_fault(&mut early, FaultTarget::Vm(0));
    assert_sound(&early);
}
