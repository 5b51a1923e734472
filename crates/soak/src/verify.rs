//! Checks the promises on the record of a run, and says what broke them.

use std::fmt;
use std::time::Duration;

use base::Time;

use crate::record::Arrival;
use crate::record::CallId;
use crate::record::FaultTarget;
use crate::record::Record;
use crate::record::Request;
use crate::record::RequestEnd;
use crate::record::Span;
use crate::record::VmIndex;
use crate::schedule::SERVICES;
use crate::vm::SECOND_ATTEMPT_SHARE;
use crate::vm::SECOND_ATTEMPT_SLACK;

/// The time after which a configuration is in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(2);
/// How much longer that may take after an outage of the store.
const OUTAGE_EXTRA: Duration = Duration::from_secs(5);
/// The time after which a leaving server gets no new work.
const DRAIN_MAX: Duration = Duration::from_secs(2);
/// The time after which a domain that is out gets no new work.
const DOMAIN_OUT_MAX: Duration = Duration::from_secs(5);
/// The time after a fault or a start after which a VM counts as sound.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The time within which what one VM knows may be older than what another did.
const CONFIG_SKEW_MAX: Duration = Duration::from_millis(250);
/// The time after which a request whose caller has left goes nowhere.
const CANCEL_DELAY_MAX: Duration = Duration::from_millis(500);
/// Such requests that are still allowed in a run, as a close takes its way.
const LATE_CANCELS_MAX: usize = 3;
/// Calls a second that a cold server tolerates, times the allowed burst.
const COLD_RATE_MAX: f64 = COLD_PER_SECOND * 1.5;
/// What a configuration says that a cold server tolerates.
pub const COLD_PER_SECOND: f64 = 6.0;
/// What it bears beyond the rate.
const COLD_BURST: f64 = 5.0;
/// The span over which second attempts are counted.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Servers that one request may be sent to.
const ATTEMPTS_MAX: usize = 2;
/// The time after which a stopping process is killed.
pub const STOP_GRACE: Duration = Duration::from_secs(6);
/// The time after the last fault from which requests are served.
pub const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// The share of those that are served.
const SERVED_SHARE_MIN: f64 = 0.9;
/// Requests of kept connections that a run may end without an answer.
const CUT_REQUESTS_MAX: usize = 3;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub rule: &'static str,
    /// When it was broken.
    pub at: Time,
    /// What was seen.
    pub text: String,
    /// The request whose steps tell more.
    pub call: Option<CallId>,
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{:.3} s  {}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.text
        )
    }
}

/// A record with what is looked up often.
struct Checker<'a> {
    record: &'a Record,
    /// Arrivals sorted by request, then time.
    by_call: Vec<Arrival>,
    findings: Vec<Finding>,
}

/// Checks all promises.
pub fn verify(record: &Record) -> Vec<Finding> {
    let mut by_call = record.arrivals.clone();
    by_call.sort_by_key(|arrival| (arrival.call, arrival.at));
    let mut checker = Checker {
        record,
        by_call,
        findings: Vec::new(),
    };
    checker.check_responses();
    checker.check_executions();
    checker.check_configurations();
    checker.check_late_work();
    checker.check_cold_rate();
    checker.check_second_attempts();
    checker.check_abandoned();
    checker.check_cut_requests();
    checker.check_stops();
    checker.check_recovery();
    checker.findings.sort_by_key(|finding| finding.at);
    checker.findings
}

/// Returns the steps of a request, one a line.
pub fn timeline(record: &Record, call: CallId) -> Vec<String> {
    let Some(request) = record.requests.get(call as usize) else {
        return Vec::new();
    };
    let line = |at: Time, text: String| format!("{:.3} s  {text}", at.as_secs_f64());
    let sent = format!(
        "request {call} ({}) sent to vm-{}",
        request.route, request.vm
    );
    let mut lines = vec![(request.at, sent)];
    for arrival in record.arrivals.iter().filter(|a| a.call == call) {
        let instance = &record.instances[arrival.instance];
        let what = if arrival.executed {
            "runs it"
        } else {
            "does not run it"
        };
        let text = format!(
            "server {} ({}, {}) {what}",
            instance.name, instance.service, instance.domain
        );
        lines.push((arrival.at, text));
    }
    if let Some((at, end)) = &request.end {
        lines.push((*at, format!("its caller sees {end:?}")));
    }
    let around = |span: &Span| {
        span.overlaps(
            request.at.saturating_sub(SETTLE_TIME),
            request.at + SETTLE_TIME,
        )
    };
    for fault in record.faults.iter().filter(|fault| around(&fault.span)) {
        let text = format!("fault: {} ({:?})", fault.name, fault.target);
        lines.push((fault.span.from, text));
    }
    lines.sort_by_key(|(at, _)| *at);
    lines.into_iter().map(|(at, text)| line(at, text)).collect()
}

impl Checker<'_> {
    fn report(&mut self, rule: &'static str, at: Time, call: Option<CallId>, text: String) {
        self.findings.push(Finding {
            rule,
            at,
            text,
            call,
        });
    }

    fn arrivals(&self, call: CallId) -> &[Arrival] {
        let from = self.by_call.partition_point(|arrival| arrival.call < call);
        let to = self.by_call.partition_point(|arrival| arrival.call <= call);
        &self.by_call[from..to]
    }

    /// Returns by how much this process was kept from running between two moments.
    fn stall_time(&self, from: Time, to: Time) -> Duration {
        let spans = self
            .record
            .stalls
            .iter()
            .filter(|span| span.overlaps(from, to));
        spans.map(|span| span.to - span.from).sum()
    }

    fn overlaps_fault(&self, target: &FaultTarget, from: Time, to: Time) -> bool {
        let mut faults = self.record.faults.iter();
        faults.any(|fault| fault.target == *target && fault.span.overlaps(from, to))
    }

    /// Returns whether a VM ran undisturbed from [`SOUND`] before `from` until `to`.
    fn is_undisturbed(&self, vm: VmIndex, from: Time, to: Time) -> bool {
        let before = from.saturating_sub(SETTLE_TIME);
        let mut processes = self.record.processes.iter().filter(|p| p.vm == vm);
        !self.overlaps_fault(&FaultTarget::Vm(vm), before, to)
            && processes.all(|p| {
                let starts = p.span.from > before && p.span.from <= to && !p.span.from.is_zero();
                let killed = p.stop_requested.is_none() && p.span.to >= before && p.span.to <= to;
                !starts && !killed
            })
    }

    /// Returns the process that a request was written to.
    fn process_of(&self, request: &Request) -> Option<usize> {
        let mut processes = self.record.processes.iter();
        processes.position(|p| p.vm == request.vm && p.span.overlaps(request.at, request.at))
    }

    fn check_responses(&mut self) {
        let requests = &self.record.requests;
        for request in requests {
            let Some((
                at,
                RequestEnd::Response {
                    status,
                    signature,
                    echoed_id,
                    intact,
                },
            )) = &request.end
            else {
                continue;
            };
            let call = Some(request.id);
            let success = (200..300).contains(status);
            if (success && signature.is_none())
                || !intact
                || echoed_id.is_some_and(|echoed_id| echoed_id != request.id)
            {
                let text = format!("request {} got another answer or a part of one", request.id);
                self.report("whole answer", *at, call, text);
            }
            if signature.is_some_and(|signature| signature.status != *status) {
                let text = format!("request {} got {status} for another status", request.id);
                self.report("whole answer", *at, call, text);
            }
            let refused = matches!(status, 408 | 421 | 429 | 503) && signature.is_none();
            let ran = self
                .arrivals(request.id)
                .iter()
                .any(|arrival| arrival.executed);
            if refused && ran {
                let text = format!("request {} was refused with {status} and ran", request.id);
                self.report("true refusal", *at, call, text);
            }
        }
    }

    fn check_executions(&mut self) {
        let requests = &self.record.requests;
        for request in requests {
            let arrivals = self.arrivals(request.id);
            let ran = arrivals.iter().filter(|arrival| arrival.executed).count();
            let sent = arrivals.len();
            let Some(last) = arrivals.last().map(|arrival| arrival.at) else {
                continue;
            };
            if !request.idempotent && ran > 1 {
                let text = format!("request {} ran {ran} times", request.id);
                self.report("at most once", last, Some(request.id), text);
            }
            if request.idempotent && ran > ATTEMPTS_MAX {
                let text = format!("request {} ran at {ran} of {sent} servers", request.id);
                self.report("attempts", last, Some(request.id), text);
            }
        }
        let known = requests.len() as CallId;
        let unsent = self.by_call.iter().find(|arrival| arrival.call >= known);
        if let Some(arrival) = unsent.copied() {
            let text = format!("a server got request {}, which nobody sent", arrival.call);
            self.report("asked for", arrival.at, None, text);
        }
    }

    /// Checks that configurations come into force in time and never revert.
    fn check_configurations(&mut self) {
        let record = self.record;
        // For each process: what servers saw of its configuration, and when.
        let mut seen: Vec<Vec<(Time, usize)>> = vec![Vec::new(); record.processes.len()];
        for arrival in &record.arrivals {
            let Some(request) = record.requests.get(arrival.call as usize) else {
                continue;
            };
            if request.route != crate::caller::MOVING_ROUTE.name || !arrival.executed {
                continue;
            }
            let service = record.instances[arrival.instance].service;
            let allowed = |from: usize| {
                let known = record.tickets.iter().enumerate().skip(from);
                let mut known = known.filter(|(_, ticket)| ticket.at <= arrival.at);
                known
                    .find(|(_, ticket)| ticket.moving == service)
                    .map(|(at, _)| at)
            };
            let process = self.process_of(request);
            let floor = process.map_or(0, |process| {
                let earlier = seen[process].iter();
                let before = request.at.saturating_sub(CONFIG_SKEW_MAX);
                earlier
                    .filter(|(at, _)| *at <= before)
                    .map(|(_, low)| *low)
                    .max()
                    .unwrap_or(0)
            });
            match (allowed(floor), process) {
                (Some(low), Some(process)) => seen[process].push((arrival.at, low)),
                (None, _) => {
                    let text = format!(
                        "request {} ran at {service} after vm-{} had used configuration {floor}",
                        arrival.call, request.vm
                    );
                    self.report(
                        "no older configuration",
                        arrival.at,
                        Some(arrival.call),
                        text,
                    );
                }
                (Some(_), None) => {}
            }
            let mut bound =
                IN_FORCE_MAX + self.stall_time(request.at.saturating_sub(IN_FORCE_MAX), arrival.at);
            let outage = request.at.saturating_sub(bound + SETTLE_TIME);
            if self.overlaps_fault(&FaultTarget::Store, outage, request.at) {
                bound += OUTAGE_EXTRA;
            }
            let due = request.at.saturating_sub(bound);
            let old = record
                .tickets
                .iter()
                .rposition(|ticket| ticket.at <= due)
                .unwrap_or(0);
            let from = record.tickets.get(old).map_or(due, |ticket| ticket.at);
            if allowed(old).is_none() && self.is_undisturbed(request.vm, from, arrival.at) {
                let text = format!(
                    "request {} ran at {service}, which configurations from {old} on do not allow",
                    arrival.call
                );
                self.report(
                    "configuration in time",
                    arrival.at,
                    Some(arrival.call),
                    text,
                );
            }
        }
    }

    /// Checks that what leaves and what is out gets no new work.
    fn check_late_work(&mut self) {
        let record = self.record;
        for arrival in record.arrivals.iter().filter(|arrival| arrival.executed) {
            let Some(request) = record.requests.get(arrival.call as usize) else {
                continue;
            };
            let instance = &record.instances[arrival.instance];
            let stalled = self.stall_time(arrival.at.saturating_sub(DRAIN_MAX), arrival.at);
            let is_late = |from: Time, bound: Duration| {
                let from = from + stalled + bound;
                let before = from.saturating_sub(bound + SETTLE_TIME);
                request.at > from
                    && self.is_undisturbed(request.vm, before, arrival.at)
                    && !self.overlaps_fault(&FaultTarget::Store, before, arrival.at)
                    && !self.overlaps_fault(
                        &FaultTarget::Server(instance.location),
                        before,
                        arrival.at,
                    )
            };
            let leaving = instance
                .leaving_since
                .is_some_and(|leaving_since| is_late(leaving_since, DRAIN_MAX));
            let mut domain_outs = record
                .domain_outs
                .iter()
                .filter(|out| out.domain == instance.domain);
            let out = domain_outs
                .any(|out| arrival.at < out.span.to && is_late(out.span.from, DOMAIN_OUT_MAX));
            if leaving {
                let text = format!(
                    "leaving server {} runs request {}",
                    instance.name, arrival.call
                );
                self.report(
                    "nothing for what leaves",
                    arrival.at,
                    Some(arrival.call),
                    text,
                );
            }
            if out {
                let text = format!(
                    "domain {} is out and runs {}",
                    instance.domain, arrival.call
                );
                self.report(
                    "nothing for what is out",
                    arrival.at,
                    Some(arrival.call),
                    text,
                );
            }
        }
    }

    /// Checks what cold servers get in any second.
    fn check_cold_rate(&mut self) {
        let record = self.record;
        for (at, instance) in record.instances.iter().enumerate() {
            let got = record
                .arrivals
                .iter()
                .filter(|a| a.instance == at && a.at < instance.cold_until);
            let got: Vec<Time> = got.map(|arrival| arrival.at).collect();
            let bound = (COLD_RATE_MAX + COLD_BURST) as usize;
            let second = Duration::from_secs(1);
            let full = got.windows(bound + 1).find(|w| w[bound] - w[0] < second);
            if let Some(window) = full {
                let text = format!(
                    "cold server {} got over {bound} requests in 1 s",
                    instance.name
                );
                self.report("rate of cold servers", window[bound], None, text);
            }
        }
    }

    /// Checks what a service gets beyond one arrival a request.
    fn check_second_attempts(&mut self) {
        let record = self.record;
        for service in SERVICES {
            let at_service = |a: &&Arrival| record.instances[a.instance].service == service;
            let mut firsts = Vec::new();
            let mut seconds = Vec::new();
            let mut last = None;
            for arrival in self.by_call.iter().filter(at_service) {
                let list = if last == Some(arrival.call) {
                    &mut seconds
                } else {
                    &mut firsts
                };
                list.push(arrival.at);
                last = Some(arrival.call);
            }
            firsts.sort_unstable();
            seconds.sort_unstable();
            let within = |list: &[Time], to: Time| {
                let from = to.saturating_sub(BUDGET_WINDOW);
                list.partition_point(|at| *at <= to) - list.partition_point(|at| *at < from)
            };
            let over = seconds.iter().find(|at| {
                let ends = [
                    **at,
                    at.saturating_sub(BUDGET_WINDOW / 2),
                    at.saturating_sub(BUDGET_WINDOW),
                ];
                let max_firsts = ends
                    .into_iter()
                    .map(|to| within(&firsts, to))
                    .max()
                    .unwrap_or(0);
                within(&seconds, **at)
                    > SECOND_ATTEMPT_SLACK + (SECOND_ATTEMPT_SHARE * max_firsts as f64) as usize
            });
            if let Some(at) = over {
                let text = format!(
                    "{} second attempts at {service} in 10 s",
                    within(&seconds, *at)
                );
                self.report("budget of second attempts", *at, None, text);
            }
        }
    }

    /// Checks that requests whose callers have left go nowhere.
    fn check_abandoned(&mut self) {
        let mut late = Vec::new();
        for request in &self.record.requests {
            let Some((at, RequestEnd::Abandoned)) = request.end else {
                continue;
            };
            if !self.is_undisturbed(request.vm, request.at, at + CANCEL_DELAY_MAX) {
                continue;
            }
            let bound = at + CANCEL_DELAY_MAX + self.stall_time(at, at + CANCEL_DELAY_MAX);
            late.extend(
                self.arrivals(request.id)
                    .iter()
                    .filter(|a| a.at > bound)
                    .copied(),
            );
        }
        if late.len() > LATE_CANCELS_MAX {
            let text = format!(
                "{} requests were sent on after their callers left",
                late.len()
            );
            self.report(
                "nothing for who has left",
                late[0].at,
                Some(late[0].call),
                text,
            );
        }
    }

    /// Checks that requests which reached a sound server are answered.
    fn check_cut_requests(&mut self) {
        let mut cut = Vec::new();
        for request in &self.record.requests {
            let Some((at, RequestEnd::ConnectionClosed | RequestEnd::Timeout)) = request.end else {
                continue;
            };
            let undisturbed = self.is_undisturbed(request.vm, request.at, at);
            let arrivals = self.arrivals(request.id);
            let server_fault = arrivals.iter().any(|arrival| {
                let location = self.record.instances[arrival.instance].location;
                self.overlaps_fault(
                    &FaultTarget::Server(location),
                    request.at.saturating_sub(SETTLE_TIME),
                    at,
                )
            });
            if undisturbed && !arrivals.is_empty() && !server_fault {
                cut.push((at, request.id));
            }
        }
        let during_stop = |at: Time| {
            let mut processes = self.record.processes.iter();
            processes.any(|p| {
                p.stop_requested.is_some_and(|stop_requested| {
                    stop_requested <= at && at <= p.span.to + CONFIG_SKEW_MAX
                })
            })
        };
        let around_stop: Vec<_> = cut
            .iter()
            .filter(|(at, _)| during_stop(*at))
            .copied()
            .collect();
        if let Some((at, call)) = around_stop.first().copied() {
            let text = format!("{} requests were cut at a planned stop", around_stop.len());
            self.report("planned stops cut nothing", at, Some(call), text);
        }
        if cut.len() > CUT_REQUESTS_MAX {
            let (at, call) = cut[0];
            let text = format!(
                "{} requests that a server had got were not answered",
                cut.len()
            );
            self.report("answered", at, Some(call), text);
        }
    }

    /// Checks that planned stops end by themselves, with all calls ended.
    fn check_stops(&mut self) {
        for process in &self.record.processes {
            let (vm, to) = (process.vm, process.span.to);
            match (process.stop_requested, process.exit_code) {
                (None, Some(exit_code)) => {
                    let text = format!("vm-{vm} ended by itself with code {exit_code}");
                    self.report("processes go on", to, None, text);
                }
                (Some(stop_requested), Some(exit_code))
                    if exit_code != 0 && self.is_undisturbed(vm, stop_requested, to) =>
                {
                    let text = format!("vm-{vm} ended a planned stop with code {exit_code}");
                    self.report("planned stops cut nothing", to, None, text);
                }
                (Some(stop_requested), None)
                    if to - stop_requested >= STOP_GRACE
                        && self.is_undisturbed(vm, stop_requested, to) =>
                {
                    let text = format!("vm-{vm} did not end within {STOP_GRACE:?}");
                    self.report("planned stops end", to, None, text);
                }
                _ => {}
            }
        }
    }

    /// Checks that what is sent after the last fault is served.
    fn check_recovery(&mut self) {
        let from = self.record.faults_ended + RECOVERY_TIME;
        let late = self.record.requests.iter().filter(|r| r.at >= from);
        let ended: Vec<_> = late.filter_map(|r| r.end.as_ref()).collect();
        let counted = ended
            .iter()
            .filter(|(_, end)| *end != RequestEnd::Abandoned);
        let is_served = |end: &RequestEnd| matches!(end, RequestEnd::Response { status: 200, .. });
        let served = counted.clone().filter(|(_, end)| is_served(end)).count();
        let all = counted.count();
        if all > 0 && (served as f64) < SERVED_SHARE_MIN * all as f64 {
            let text = format!("{served} of {all} requests are served after the last fault");
            self.report("served again", from, None, text);
        }
    }
}
