//! Checks the promises on the record of a run, and says what broke them.

use std::fmt;
use std::time::Duration;

use base::Time;

use crate::record::Arrival;
use crate::record::CallId;
use crate::record::End;
use crate::record::Part;
use crate::record::Record;
use crate::record::Request;
use crate::record::Span;
use crate::record::VmAt;
use crate::scheme::SERVICES;
use crate::vm::SHARE;
use crate::vm::SLACK;

/// The time after which a configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// How much longer that may take after an outage of the store.
const STRETCH: Duration = Duration::from_secs(5);
/// The time after which a leaving server gets no new work.
const DRAINED: Duration = Duration::from_secs(2);
/// The time after which a domain that is out gets no new work.
const OUT: Duration = Duration::from_secs(5);
/// The time after a fault or a start after which a VM counts as sound.
const SOUND: Duration = Duration::from_secs(3);
/// The time within which what one VM knows may be older than what another did.
const REVERT: Duration = Duration::from_millis(250);
/// The time after which a request whose caller has left goes nowhere.
const GIVEN_UP: Duration = Duration::from_millis(500);
/// Such requests that are still allowed in a run, as a close takes its way.
const GIVEN_UP_MAX: usize = 3;
/// Calls a second that a cold server tolerates, times the allowed burst.
const COLD_RATE: f64 = COLD_PER_SECOND * 1.5;
/// What a configuration says that a cold server tolerates.
pub const COLD_PER_SECOND: f64 = 6.0;
/// What it bears beyond the rate.
const COLD_SLACK: f64 = 5.0;
/// The span over which second attempts are counted.
const BUDGET_SPAN: Duration = Duration::from_secs(10);
/// Servers that one request may be sent to.
const ATTEMPTS: usize = 2;
/// The time after which a stopping process is killed.
pub const GRACE: Duration = Duration::from_secs(6);
/// The time after the last fault from which requests are served.
pub const RECOVERED: Duration = Duration::from_secs(3);
/// The share of those that are served.
const SERVED: f64 = 0.9;
/// Requests of kept connections that a run may end without an answer.
const CUT_MAX: usize = 3;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub promise: &'static str,
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
            self.promise,
            self.text
        )
    }
}

/// A record with what is looked up often.
struct View<'a> {
    record: &'a Record,
    /// Arrivals sorted by request, then time.
    by_call: Vec<Arrival>,
    findings: Vec<Finding>,
}

/// Checks all promises.
pub fn verify(record: &Record) -> Vec<Finding> {
    let mut by_call = record.arrivals.clone();
    by_call.sort_by_key(|arrival| (arrival.call, arrival.at));
    let mut view = View {
        record,
        by_call,
        findings: Vec::new(),
    };
    view.answers();
    view.runs();
    view.tickets();
    view.late_work();
    view.cold();
    view.budget();
    view.given_up();
    view.cuts();
    view.stops();
    view.recovery();
    view.findings.sort_by_key(|finding| finding.at);
    view.findings
}

/// Returns the steps of a request, one a line.
pub fn steps(record: &Record, call: CallId) -> Vec<String> {
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
        let life = &record.servers[arrival.life];
        let what = if arrival.ran {
            "runs it"
        } else {
            "does not run it"
        };
        let text = format!(
            "server {} ({}, {}) {what}",
            life.name, life.service, life.domain
        );
        lines.push((arrival.at, text));
    }
    if let Some((at, end)) = &request.end {
        lines.push((*at, format!("its caller sees {end:?}")));
    }
    let around = |span: &Span| span.meets(request.at.saturating_sub(SOUND), request.at + SOUND);
    for fault in record.faults.iter().filter(|fault| around(&fault.span)) {
        let text = format!("fault: {} ({:?})", fault.name, fault.part);
        lines.push((fault.span.from, text));
    }
    lines.sort_by_key(|(at, _)| *at);
    lines.into_iter().map(|(at, text)| line(at, text)).collect()
}

impl View<'_> {
    fn find(&mut self, promise: &'static str, at: Time, call: Option<CallId>, text: String) {
        self.findings.push(Finding {
            promise,
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
    fn stall(&self, from: Time, to: Time) -> Duration {
        let spans = self
            .record
            .stalls
            .iter()
            .filter(|span| span.meets(from, to));
        spans.map(|span| span.to - span.from).sum()
    }

    fn meets_fault(&self, part: &Part, from: Time, to: Time) -> bool {
        let mut faults = self.record.faults.iter();
        faults.any(|fault| fault.part == *part && fault.span.meets(from, to))
    }

    /// Returns whether a VM ran undisturbed from [`SOUND`] before `from` until `to`.
    fn is_sound(&self, vm: VmAt, from: Time, to: Time) -> bool {
        let before = from.saturating_sub(SOUND);
        let mut processes = self.record.processes.iter().filter(|p| p.vm == vm);
        !self.meets_fault(&Part::Vm(vm), before, to)
            && processes.all(|p| {
                let starts = p.span.from > before && p.span.from <= to && !p.span.from.is_zero();
                let killed = p.asked.is_none() && p.span.to >= before && p.span.to <= to;
                !starts && !killed
            })
    }

    /// Returns the process that a request was written to.
    fn process(&self, request: &Request) -> Option<usize> {
        let mut processes = self.record.processes.iter();
        processes.position(|p| p.vm == request.vm && p.span.meets(request.at, request.at))
    }

    fn answers(&mut self) {
        let requests = &self.record.requests;
        for request in requests {
            let Some((
                at,
                End::Answer {
                    status,
                    seal,
                    echo,
                    whole,
                },
            )) = &request.end
            else {
                continue;
            };
            let call = Some(request.id);
            let good = (200..300).contains(status);
            if (good && seal.is_none()) || !whole || echo.is_some_and(|echo| echo != request.id) {
                let text = format!("request {} got another answer or a part of one", request.id);
                self.find("whole answer", *at, call, text);
            }
            if seal.is_some_and(|seal| seal.status != *status) {
                let text = format!("request {} got {status} for another status", request.id);
                self.find("whole answer", *at, call, text);
            }
            let refused = matches!(status, 408 | 421 | 429 | 503) && seal.is_none();
            let ran = self.arrivals(request.id).iter().any(|arrival| arrival.ran);
            if refused && ran {
                let text = format!("request {} was refused with {status} and ran", request.id);
                self.find("true refusal", *at, call, text);
            }
        }
    }

    fn runs(&mut self) {
        let requests = &self.record.requests;
        for request in requests {
            let arrivals = self.arrivals(request.id);
            let ran = arrivals.iter().filter(|arrival| arrival.ran).count();
            let sent = arrivals.len();
            let Some(last) = arrivals.last().map(|arrival| arrival.at) else {
                continue;
            };
            if !request.idempotent && ran > 1 {
                let text = format!("request {} ran {ran} times", request.id);
                self.find("at most once", last, Some(request.id), text);
            }
            if request.idempotent && ran > ATTEMPTS {
                let text = format!("request {} ran at {ran} of {sent} servers", request.id);
                self.find("attempts", last, Some(request.id), text);
            }
        }
        let known = requests.len() as CallId;
        let strange = self.by_call.iter().find(|arrival| arrival.call >= known);
        if let Some(arrival) = strange.copied() {
            let text = format!("a server got request {}, which nobody sent", arrival.call);
            self.find("asked for", arrival.at, None, text);
        }
    }

    /// Checks that configurations come into force in time and never revert.
    fn tickets(&mut self) {
        let record = self.record;
        // For each process: what servers saw of its configuration, and when.
        let mut seen: Vec<Vec<(Time, usize)>> = vec![Vec::new(); record.processes.len()];
        for arrival in &record.arrivals {
            let Some(request) = record.requests.get(arrival.call as usize) else {
                continue;
            };
            if request.route != crate::caller::MOVING.name || !arrival.ran {
                continue;
            }
            let service = record.servers[arrival.life].service;
            let allowed = |from: usize| {
                let known = record.tickets.iter().enumerate().skip(from);
                let mut known = known.filter(|(_, ticket)| ticket.at <= arrival.at);
                known
                    .find(|(_, ticket)| ticket.moving == service)
                    .map(|(at, _)| at)
            };
            let process = self.process(request);
            let floor = process.map_or(0, |process| {
                let earlier = seen[process].iter();
                let before = request.at.saturating_sub(REVERT);
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
                    self.find(
                        "no older configuration",
                        arrival.at,
                        Some(arrival.call),
                        text,
                    );
                }
                (Some(_), None) => {}
            }
            let mut bound = IN_FORCE + self.stall(request.at.saturating_sub(IN_FORCE), arrival.at);
            let outage = request.at.saturating_sub(bound + SOUND);
            if self.meets_fault(&Part::Store, outage, request.at) {
                bound += STRETCH;
            }
            let due = request.at.saturating_sub(bound);
            let old = record
                .tickets
                .iter()
                .rposition(|ticket| ticket.at <= due)
                .unwrap_or(0);
            let from = record.tickets.get(old).map_or(due, |ticket| ticket.at);
            if allowed(old).is_none() && self.is_sound(request.vm, from, arrival.at) {
                let text = format!(
                    "request {} ran at {service}, which configurations from {old} on do not allow",
                    arrival.call
                );
                self.find(
                    "configuration in time",
                    arrival.at,
                    Some(arrival.call),
                    text,
                );
            }
        }
    }

    /// Checks that what leaves and what is out gets no new work.
    fn late_work(&mut self) {
        let record = self.record;
        for arrival in record.arrivals.iter().filter(|arrival| arrival.ran) {
            let Some(request) = record.requests.get(arrival.call as usize) else {
                continue;
            };
            let life = &record.servers[arrival.life];
            let ways = self.stall(arrival.at.saturating_sub(DRAINED), arrival.at);
            let is_late = |from: Time, bound: Duration| {
                let from = from + ways + bound;
                let before = from.saturating_sub(bound + SOUND);
                request.at > from
                    && self.is_sound(request.vm, before, arrival.at)
                    && !self.meets_fault(&Part::Store, before, arrival.at)
                    && !self.meets_fault(&Part::Server(life.place), before, arrival.at)
            };
            let leaving = life.leaves.is_some_and(|leaves| is_late(leaves, DRAINED));
            let mut outs = record.outs.iter().filter(|out| out.domain == life.domain);
            let out = outs.any(|out| arrival.at < out.span.to && is_late(out.span.from, OUT));
            if leaving {
                let text = format!("leaving server {} runs request {}", life.name, arrival.call);
                self.find(
                    "nothing for what leaves",
                    arrival.at,
                    Some(arrival.call),
                    text,
                );
            }
            if out {
                let text = format!("domain {} is out and runs {}", life.domain, arrival.call);
                self.find(
                    "nothing for what is out",
                    arrival.at,
                    Some(arrival.call),
                    text,
                );
            }
        }
    }

    /// Checks what cold servers get in any second.
    fn cold(&mut self) {
        let record = self.record;
        for (at, life) in record.servers.iter().enumerate() {
            let got = record
                .arrivals
                .iter()
                .filter(|a| a.life == at && a.at < life.cold);
            let got: Vec<Time> = got.map(|arrival| arrival.at).collect();
            let bound = (COLD_RATE + COLD_SLACK) as usize;
            let second = Duration::from_secs(1);
            let full = got.windows(bound + 1).find(|w| w[bound] - w[0] < second);
            if let Some(window) = full {
                let text = format!("cold server {} got over {bound} requests in 1 s", life.name);
                self.find("rate of cold servers", window[bound], None, text);
            }
        }
    }

    /// Checks what a service gets beyond one arrival a request.
    fn budget(&mut self) {
        let record = self.record;
        for service in SERVICES {
            let is_here = |a: &&Arrival| record.servers[a.life].service == service;
            let mut firsts = Vec::new();
            let mut seconds = Vec::new();
            let mut last = None;
            for arrival in self.by_call.iter().filter(is_here) {
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
                let from = to.saturating_sub(BUDGET_SPAN);
                list.partition_point(|at| *at <= to) - list.partition_point(|at| *at < from)
            };
            let over = seconds.iter().find(|at| {
                let ends = [
                    **at,
                    at.saturating_sub(BUDGET_SPAN / 2),
                    at.saturating_sub(BUDGET_SPAN),
                ];
                let most = ends
                    .into_iter()
                    .map(|to| within(&firsts, to))
                    .max()
                    .unwrap_or(0);
                within(&seconds, **at) > SLACK + (SHARE * most as f64) as usize
            });
            if let Some(at) = over {
                let text = format!(
                    "{} second attempts at {service} in 10 s",
                    within(&seconds, *at)
                );
                self.find("budget of second attempts", *at, None, text);
            }
        }
    }

    /// Checks that requests whose callers have left go nowhere.
    fn given_up(&mut self) {
        let mut late = Vec::new();
        for request in &self.record.requests {
            let Some((at, End::Left)) = request.end else {
                continue;
            };
            if !self.is_sound(request.vm, request.at, at + GIVEN_UP) {
                continue;
            }
            let bound = at + GIVEN_UP + self.stall(at, at + GIVEN_UP);
            late.extend(
                self.arrivals(request.id)
                    .iter()
                    .filter(|a| a.at > bound)
                    .copied(),
            );
        }
        if late.len() > GIVEN_UP_MAX {
            let text = format!(
                "{} requests were sent on after their callers left",
                late.len()
            );
            self.find(
                "nothing for who has left",
                late[0].at,
                Some(late[0].call),
                text,
            );
        }
    }

    /// Checks that requests which reached a sound server are answered.
    fn cuts(&mut self) {
        let mut cut = Vec::new();
        for request in &self.record.requests {
            let Some((at, End::Closed | End::Silence)) = request.end else {
                continue;
            };
            let sound = self.is_sound(request.vm, request.at, at);
            let reached = self.arrivals(request.id);
            let harmed = reached.iter().any(|arrival| {
                let place = self.record.servers[arrival.life].place;
                self.meets_fault(&Part::Server(place), request.at.saturating_sub(SOUND), at)
            });
            if sound && !reached.is_empty() && !harmed {
                cut.push((at, request.id));
            }
        }
        let asked = |at: Time| {
            let mut processes = self.record.processes.iter();
            processes.any(|p| {
                p.asked
                    .is_some_and(|asked| asked <= at && at <= p.span.to + REVERT)
            })
        };
        let around_stop: Vec<_> = cut.iter().filter(|(at, _)| asked(*at)).copied().collect();
        if let Some((at, call)) = around_stop.first().copied() {
            let text = format!("{} requests were cut at a planned stop", around_stop.len());
            self.find("planned stops cut nothing", at, Some(call), text);
        }
        if cut.len() > CUT_MAX {
            let (at, call) = cut[0];
            let text = format!(
                "{} requests that a server had got were not answered",
                cut.len()
            );
            self.find("answered", at, Some(call), text);
        }
    }

    /// Checks that planned stops end by themselves, with all calls ended.
    fn stops(&mut self) {
        for process in &self.record.processes {
            let (vm, to) = (process.vm, process.span.to);
            match (process.asked, process.code) {
                (None, Some(code)) => {
                    let text = format!("vm-{vm} ended by itself with code {code}");
                    self.find("processes go on", to, None, text);
                }
                (Some(asked), Some(code)) if code != 0 && self.is_sound(vm, asked, to) => {
                    let text = format!("vm-{vm} ended a planned stop with code {code}");
                    self.find("planned stops cut nothing", to, None, text);
                }
                (Some(asked), None) if to - asked >= GRACE && self.is_sound(vm, asked, to) => {
                    let text = format!("vm-{vm} did not end within {GRACE:?}");
                    self.find("planned stops end", to, None, text);
                }
                _ => {}
            }
        }
    }

    /// Checks that what is sent after the last fault is served.
    fn recovery(&mut self) {
        let from = self.record.calm + RECOVERED;
        let late = self.record.requests.iter().filter(|r| r.at >= from);
        let ended: Vec<_> = late.filter_map(|r| r.end.as_ref()).collect();
        let counted = ended.iter().filter(|(_, end)| *end != End::Left);
        let is_good = |end: &End| matches!(end, End::Answer { status: 200, .. });
        let served = counted.clone().filter(|(_, end)| is_good(end)).count();
        let all = counted.count();
        if all > 0 && (served as f64) < SERVED * all as f64 {
            let text = format!("{served} of {all} requests are served after the last fault");
            self.find("served again", from, None, text);
        }
    }
}
