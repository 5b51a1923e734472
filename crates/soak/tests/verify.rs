//! Each check finds the fault that it is for, and finds nothing in a sound run.

use std::time::Duration;

use base::Time;
use soak::record::Arrival;
use soak::record::CallId;
use soak::record::End;
use soak::record::Fault;
use soak::record::Life;
use soak::record::Out;
use soak::record::Part;
use soak::record::Process;
use soak::record::Record;
use soak::record::Request;
use soak::record::Seal;
use soak::record::Span;
use soak::record::Ticket;
use soak::verify::steps;
use soak::verify::verify;

const SEAL: Seal = Seal {
    status: 200,
    hash: 1,
};

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn served() -> End {
    End::Answer {
        status: 200,
        seal: Some(SEAL),
        echo: None,
        whole: true,
    }
}

fn refused() -> End {
    End::Answer {
        status: 503,
        seal: None,
        echo: None,
        whole: true,
    }
}

fn life(name: &str, service: &'static str, domain: &'static str, place: usize) -> Life {
    Life {
        place,
        name: name.into(),
        service,
        domain,
        cold: Time::ZERO,
        leaves: None,
    }
}

/// One VM that runs for a minute, three servers, one configuration.
fn record() -> Record {
    let span = Span {
        from: Time::ZERO,
        to: ms(60_000),
    };
    Record {
        servers: vec![
            life("a", "plans", "north", 0),
            life("b", "orders", "south", 1),
            life("c", "status", "east", 2),
        ],
        tickets: vec![Ticket {
            at: Time::ZERO,
            moving: "plans",
        }],
        processes: vec![Process {
            vm: 0,
            span,
            asked: None,
            code: None,
        }],
        calm: ms(59_000),
        ..Record::default()
    }
}

/// Adds a request that is sent at `at` and ends 50 ms later.
fn ask(record: &mut Record, at: u64, route: &'static str, end: End) -> CallId {
    let id = record.requests.len() as CallId;
    record.requests.push(Request {
        id,
        at: ms(at),
        vm: 0,
        route,
        idempotent: route != "write",
        limit: ms(1500),
        end: Some((ms(at + 50), end)),
    });
    id
}

fn run(record: &mut Record, call: CallId, at: u64, life: usize) {
    record.arrivals.push(Arrival {
        call,
        at: ms(at),
        life,
        ran: true,
    });
}

/// Adds a request that `life` runs at once.
fn ask_and_run(record: &mut Record, at: u64, route: &'static str, life: usize) -> CallId {
    let id = ask(record, at, route, served());
    run(record, id, at + 1, life);
    id
}

#[track_caller]
fn assert_finds(record: &Record, promise: &str) {
    let findings = verify(record);
    assert!(
        findings.iter().any(|finding| finding.promise == promise),
        "{findings:?}"
    );
}

#[track_caller]
fn assert_sound(record: &Record) {
    assert_eq!(verify(record), []);
}

#[test]
fn sound_run_breaks_nothing() {
    let mut record = record();
    for at in 0..100 {
        ask_and_run(&mut record, 10_000 + at * 100, "read", 0);
        ask_and_run(&mut record, 10_000 + at * 100, "write", 1);
    }
    ask(&mut record, 20_000, "write", refused());
    assert_sound(&record);
}

#[test]
fn request_that_ran_twice_is_found() {
    let mut record = record();
    let call = ask_and_run(&mut record, 10_000, "write", 1);
    run(&mut record, call, 10_020, 1);
    assert_finds(&record, "at most once");
    let steps = steps(&record, call);
    assert_eq!(steps.len(), 4, "{steps:?}");
}

#[test]
fn request_at_three_servers_is_found() {
    let mut record = record();
    let call = ask_and_run(&mut record, 10_000, "read", 0);
    run(&mut record, call, 10_020, 0);
    run(&mut record, call, 10_040, 0);
    assert_finds(&record, "attempts");
}

#[test]
fn request_of_nobody_is_found() {
    let mut record = record();
    run(&mut record, 7, 10_000, 0);
    assert_finds(&record, "asked for");
}

#[test]
fn refusal_of_what_runs_later_is_found() {
    let mut record = record();
    let call = ask(&mut record, 10_000, "write", refused());
    run(&mut record, call, 10_500, 1);
    assert_finds(&record, "true refusal");
}

#[test]
fn answer_of_another_or_in_part_is_found() {
    for (echo, whole, seal) in [
        (Some(99), true, Some(SEAL)),
        (None, false, Some(SEAL)),
        (None, true, None),
    ] {
        let mut record = record();
        let end = End::Answer {
            status: 200,
            seal,
            echo,
            whole,
        };
        let call = ask(&mut record, 10_000, "read", end);
        run(&mut record, call, 10_001, 0);
        assert_finds(&record, "whole answer");
    }
}

#[test]
fn answer_with_another_status_is_found() {
    let mut record = record();
    let end = End::Answer {
        status: 500,
        seal: Some(SEAL),
        echo: None,
        whole: true,
    };
    ask(&mut record, 10_000, "read", end);
    assert_finds(&record, "whole answer");
}

#[test]
fn configuration_that_comes_late_is_found() {
    let mut record = record();
    record.tickets.push(Ticket {
        at: ms(10_000),
        moving: "orders",
    });
    ask_and_run(&mut record, 11_900, "turn", 0);
    assert_sound(&record);
    ask_and_run(&mut record, 12_100, "turn", 0);
    assert_finds(&record, "configuration in time");
}

#[test]
fn configuration_is_late_for_good_reason_after_an_outage() {
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
        part: Part::Store,
        name: "store harmed",
    });
    ask_and_run(&mut record, 12_100, "turn", 0);
    assert_sound(&record);
}

#[test]
fn configuration_that_reverts_is_found() {
    let mut record = record();
    record.tickets.push(Ticket {
        at: ms(10_000),
        moving: "orders",
    });
    ask_and_run(&mut record, 10_100, "turn", 1);
    ask_and_run(&mut record, 10_200, "turn", 0);
    assert_sound(&record);
    ask_and_run(&mut record, 10_400, "turn", 0);
    assert_finds(&record, "no older configuration");
}

#[test]
fn work_for_a_leaving_server_is_found() {
    let mut record = record();
    record.servers[0].leaves = Some(ms(10_000));
    ask_and_run(&mut record, 11_900, "read", 0);
    assert_sound(&record);
    ask_and_run(&mut record, 12_100, "read", 0);
    assert_finds(&record, "nothing for what leaves");
}

#[test]
fn work_for_a_domain_that_is_out_is_found() {
    let mut record = record();
    record.outs.push(Out {
        domain: "north",
        span: Span {
            from: ms(10_000),
            to: ms(20_000),
        },
    });
    ask_and_run(&mut record, 14_900, "read", 0);
    ask_and_run(&mut record, 20_100, "read", 0);
    assert_sound(&record);
    ask_and_run(&mut record, 15_100, "read", 0);
    assert_finds(&record, "nothing for what is out");
}

#[test]
fn cold_server_that_gets_too_much_is_found() {
    let mut record = record();
    record.servers[0].cold = ms(13_000);
    for at in 0..14 {
        ask_and_run(&mut record, 10_000 + at * 60, "read", 0);
    }
    assert_sound(&record);
    ask_and_run(&mut record, 10_850, "read", 0);
    assert_finds(&record, "rate of cold servers");
}

#[test]
fn second_attempts_beyond_the_budget_are_found() {
    let mut record = record();
    for at in 0..26 {
        let call = ask_and_run(&mut record, 10_000 + at * 100, "read", 0);
        run(&mut record, call, 10_030 + at * 100, 0);
    }
    // Twenty and a fifth of the requests are allowed.
    assert_finds(&record, "budget of second attempts");
    record.arrivals.truncate(2 * 24);
    assert_sound(&record);
}

#[test]
fn requests_sent_on_after_their_callers_left_are_found() {
    let mut record = record();
    for at in 0..4 {
        let call = ask(&mut record, 10_000 + at * 100, "read", End::Left);
        run(&mut record, call, 10_600 + at * 100, 0);
    }
    assert_finds(&record, "nothing for who has left");
}

#[test]
fn request_cut_at_a_planned_stop_is_found() {
    let mut record = record();
    let call = ask(&mut record, 10_000, "read", End::Closed);
    run(&mut record, call, 10_001, 0);
    assert_sound(&record);
    record.processes[0].asked = Some(ms(9_900));
    record.processes[0].span.to = ms(10_500);
    record.processes[0].code = Some(0);
    assert_finds(&record, "planned stops cut nothing");
}

#[test]
fn stop_that_fails_is_found() {
    let mut record = record();
    record.processes[0].asked = Some(ms(58_000));
    record.processes[0].code = Some(3);
    assert_finds(&record, "planned stops cut nothing");
    record.processes[0].asked = Some(ms(50_000));
    record.processes[0].code = None;
    assert_finds(&record, "planned stops end");
}

#[test]
fn process_that_ends_by_itself_is_found() {
    let mut record = record();
    record.processes[0].code = Some(101);
    assert_finds(&record, "processes go on");
}

#[test]
fn requests_without_answers_are_found() {
    let mut record = record();
    for at in 0..4 {
        let call = ask(&mut record, 10_000 + at * 100, "read", End::Silence);
        run(&mut record, call, 10_001 + at * 100, 0);
    }
    assert_finds(&record, "answered");
    // A server that failed explains it.
    record.faults.push(Fault {
        span: Span {
            from: ms(9_000),
            to: ms(11_000),
        },
        part: Part::Server(0),
        name: "server fails",
    });
    assert_sound(&record);
}

#[test]
fn requests_refused_after_the_last_fault_are_found() {
    let mut record = record();
    record.calm = ms(10_000);
    for at in 0..8 {
        ask_and_run(&mut record, 14_000 + at * 100, "read", 0);
    }
    assert_sound(&record);
    ask(&mut record, 15_000, "read", refused());
    assert_finds(&record, "served again");
}
