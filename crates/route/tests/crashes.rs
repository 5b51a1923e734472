//! Requests that crash servers: when they are rejected, by which VMs, and until when.

use std::time::Duration;

use base::ServerId;
use base::Time;
use base::VmId;
use route::crashes::owners;
use route::crashes::Crash;
use route::crashes::CrashReport;
use route::crashes::CrashTable;
use route::crashes::REJECT_CRASHES;

/// Number of cases generated for a property.
const CASES: u64 = 20_000;

const NOW: Time = Time::from_secs(1000);
const SECOND: Duration = Duration::from_secs(1);
const REQUEST: u64 = 7;

fn report(request: u64, servers: &[ServerId]) -> CrashReport {
    let crash = |server: &ServerId| Crash {
        server: *server,
        age: Duration::ZERO,
    };
    CrashReport {
        request,
        crashes: servers.iter().map(crash).collect(),
    }
}

#[test]
fn merge_rejects_after_three_crashes() {
    let mut table = CrashTable::default();
    for server in 1..=3 {
        assert_eq!(table.rejected_for(REQUEST, NOW), None);
        assert!(table.merge(&report(REQUEST, &[server]), NOW));
    }
    assert!(table.rejected_for(REQUEST, NOW).is_some());
    assert_eq!(table.rejected_for(REQUEST + 1, NOW), None);
    assert_eq!(table.rejected_count(NOW), 1);
}

#[test]
fn merge_counts_one_crash_seen_by_several_calls_once() {
    let mut table = CrashTable::default();
    assert!(table.merge(&report(REQUEST, &[1]), NOW));
    for delay_ms in [0, 200, 9000] {
        let now = NOW + Duration::from_millis(delay_ms);
        assert!(!table.merge(&report(REQUEST, &[1]), now), "{delay_ms} ms");
    }
    assert!(table.merge(&report(REQUEST, &[1]), NOW + SECOND * 10));
    assert!(table.merge(&report(REQUEST, &[1]), NOW + SECOND * 20));
    assert!(table.rejected_for(REQUEST, NOW + SECOND * 20).is_some());
}

#[test]
fn merge_forgets_requests_that_crash_servers_seldom() {
    let mut table = CrashTable::default();
    for minutes in 0..10 {
        let now = NOW + SECOND * 90 * minutes;
        table.merge(&report(REQUEST, &[u64::from(minutes)]), now);
        assert_eq!(table.rejected_for(REQUEST, now), None);
    }
}

#[test]
fn merge_rejects_for_minutes_after_the_last_crash() {
    let mut table = CrashTable::default();
    table.merge(&report(REQUEST, &[1, 2, 3]), NOW);
    assert!(table.rejected_for(REQUEST, NOW + SECOND * 290).is_some());
    assert_eq!(table.rejected_for(REQUEST, NOW + SECOND * 300), None);
}

#[test]
fn clear_forgets_the_crashes_of_a_request_that_got_a_response() {
    let mut table = CrashTable::default();
    table.merge(&report(REQUEST, &[1, 2]), NOW);
    table.merge(&report(REQUEST + 1, &[1, 2, 3]), NOW);
    assert!(table.clear(REQUEST));
    assert!(!table.clear(REQUEST));
    table.merge(&report(REQUEST, &[3]), NOW);
    assert_eq!(table.rejected_for(REQUEST, NOW), None);
    assert!(table.rejected_for(REQUEST + 1, NOW).is_some());
}

#[test]
fn merge_keeps_the_requests_with_the_latest_crashes() {
    let mut table = CrashTable::default();
    for request in 0..3000 {
        let now = NOW + Duration::from_millis(request);
        table.merge(&report(request, &[1, 2, 3]), now);
    }
    let now = NOW + SECOND * 3;
    assert_eq!(table.rejected_count(now), 1024);
    assert!(table.rejected_for(2999, now).is_some());
    assert_eq!(table.rejected_for(0, now), None);
}

#[test]
fn reports_for_joined_come_from_each_owner_that_was_alive() {
    let earlier: Vec<VmId> = (10..20).collect();
    let mut table = CrashTable::default();
    table.merge(&report(REQUEST, &[1, 2]), NOW);
    table.merge(&report(REQUEST + 1, &[1]), NOW);
    for vm in earlier.iter().copied() {
        let reports = table.reports_for_joined(vm, &earlier, NOW);
        let requests: Vec<u64> = reports.iter().map(|report| report.request).collect();
        let is_owner = owners(REQUEST, &earlier).contains(&vm);
        assert_eq!(requests, if is_owner { vec![REQUEST] } else { vec![] });
    }
}

/// Tables that get all reports agree, in whatever order the reports come and however often.
#[test]
fn merge_does_not_depend_on_order_or_repetition() {
    cases::check::<Vec<(u8, u8, u8)>>(CASES, |draws| {
        let reports: Vec<(CrashReport, Time)> = draws
            .iter()
            .map(|(request, server, at)| {
                let crashed = report(u64::from(request % 4), &[u64::from(server % 6)]);
                (crashed, NOW + SECOND * u32::from(at % 4) * 10)
            })
            .collect();
        let end = NOW + SECOND * 50;
        let merged = |order: &mut dyn Iterator<Item = &(CrashReport, Time)>| {
            let mut table = CrashTable::default();
            for (report, at) in order {
                let mut report = report.clone();
                report.crashes[0].age = end - *at;
                table.merge(&report, end);
            }
            table
        };
        let forward = merged(&mut reports.iter());
        let backward = merged(&mut reports.iter().rev().chain(&reports));
        for request in 0..4 {
            let known = forward.report(request, end);
            assert_eq!(known.is_some(), backward.report(request, end).is_some());
            let rejected = forward.rejected_for(request, end);
            assert_eq!(rejected, backward.rejected_for(request, end));
            let crashes = known.map_or(0, |report| report.crashes.len());
            assert_eq!(rejected.is_some(), crashes >= REJECT_CRASHES);
        }
    });
}
