//! The cases.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::client;
use crate::client::Outcome;
use crate::now;
use crate::record;
use crate::say;
use crate::server::Arrival;
use crate::server::Log;
use crate::server::Mode;
use crate::server::Server;
use crate::sleep;
use crate::sleep_until;
use crate::store::Store;
use crate::vm;
use crate::vm::Vm;
use crate::Verdict;

/// `bounds.drain_s` of the sites.
const DRAIN_S: f64 = 2.0;
/// The body of all requests that have one.
const BODY: &[u8] = b"one booth";

pub fn run(name: &str, trouble: bool) -> Verdict {
    let run = match name {
        "interim-heads" => interim_heads,
        "unreadable-entry" => unreadable_entry,
        "pipelined-behind-cut" => pipelined_behind_cut,
        "watches-cut" => watches_cut,
        "crashing-request" => crashing_request,
        _ => panic!("no case {name}"),
    };
    run(trouble).unwrap_or(Verdict::CouldNotRun)
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The manifest of most cases: a service of safe and one of unsafe requests.
pub fn manifest(version: u64, timeout_s: f64) -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":220,\"protocol\":\"h1\",\
             \"tls\":false,\"cold_s\":3.0,\"cold_per_s\":4.6}}"
        )
    };
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"path_prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_s\":{timeout_s},\"target_latency_s\":{},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":2}}",
            timeout_s * 0.3
        )
    };
    format!(
        "{{\"version\":{version},\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"hosts\":[{{\
         \"host\":\"app.example\",\"paths\":[{},{}]}}]}}",
        service("avail"),
        service("reserve"),
        route("check", "safe", "avail"),
        route("hold", "unsafe", "reserve")
    )
}

/// Sends requests from `count` threads with `pause` seconds between two, until stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    /// Sends requests whose paths differ.
    pub fn start(
        vms: &[Vm],
        method: &'static str,
        path: &'static str,
        count: usize,
        pause: f64,
        deadline_ms: u64,
    ) -> Self {
        Self::start_with(vms, method, path, count, pause, deadline_ms, true)
    }

    /// Sends requests with the same path.
    pub fn start_same(
        vms: &[Vm],
        method: &'static str,
        path: &'static str,
        count: usize,
        pause: f64,
        deadline_ms: u64,
    ) -> Self {
        Self::start_with(vms, method, path, count, pause, deadline_ms, false)
    }

    fn start_with(
        vms: &[Vm],
        method: &'static str,
        path: &'static str,
        count: usize,
        pause: f64,
        deadline_ms: u64,
        differ: bool,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let threads = (0..count)
            .map(|index| {
                let (stop, outcomes) = (stop.clone(), outcomes.clone());
                let fronts: Vec<_> = vms.iter().map(|vm| vm.front).collect();
                std::thread::spawn(move || {
                    let mut turn = index;
                    sleep(pause * index as f64 / count as f64);
                    while !stop.load(Ordering::SeqCst) {
                        let to = fronts[turn % fronts.len()];
                        turn += 1;
                        let body: &[u8] = if method == "GET" { b"" } else { BODY };
                        let path = if differ {
                            format!("{path}{turn}-{index}")
                        } else {
                            path.into()
                        };
                        let outcome = client::call(to, method, &path, deadline_ms, body);
                        outcomes.lock().unwrap().push(outcome);
                        sleep(pause);
                    }
                })
            })
            .collect();
        Self {
            stop,
            outcomes,
            threads,
        }
    }

    pub fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock().unwrap().clone();
        outcomes
    }
}

pub fn summary(name: &str, outcomes: &[Outcome]) {
    let mut counts: Vec<(Option<u16>, usize)> = Vec::new();
    for outcome in outcomes {
        let status = outcome.status.filter(|_| outcome.complete);
        match counts.iter_mut().find(|(known, _)| *known == status) {
            Some((_, count)) => *count += 1,
            None => counts.push((status, 1)),
        }
    }
    say(&format!(
        "{name}: {} requests, by status {counts:?}",
        outcomes.len()
    ));
}

/// The number of upstreams of each of the two services.
pub const UPSTREAMS: usize = 8;
/// The number of requests that an upstream runs at the same time.
const SLOTS: usize = 3;

/// The usual deployment: two services of eight upstreams, `i-0` to `i-7` for safe requests
/// and `i-8` to `i-15` for unsafe ones, and three VMs that are ready.
pub struct Deployment {
    pub store: Store,
    pub log: Log,
    pub servers: Vec<Arc<Server>>,
    pub vms: Vec<Vm>,
}

impl Deployment {
    /// Starts upstreams that work for `work_ms` on a request, and VMs whose manifest gives
    /// requests `timeout_s`. Returns none if the VMs do not become ready.
    pub fn start(work_ms: u64, timeout_s: f64) -> Option<Self> {
        let store = Store::start();
        let log = Log::default();
        store.put("config", "main", manifest(7, timeout_s).as_bytes());
        let work = Duration::from_millis(work_ms);
        let servers = (0..2 * UPSTREAMS).map(|index| {
            let service = if index < UPSTREAMS {
                "avail"
            } else {
                "reserve"
            };
            let zone = ZONES[index % ZONES.len()];
            Server::start(
                &store,
                &log,
                &format!("i-{index}"),
                service,
                zone,
                SLOTS,
                work,
            )
        });
        let servers = servers.collect();
        let vms = vm::fleet(3, &ZONES, store.port);
        vms.iter().for_each(Vm::start);
        if !vm::wait_ready(&vms, 20.0) {
            return None;
        }
        sleep(2.0);
        Some(Self {
            store,
            log,
            servers,
            vms,
        })
    }
}

/// Sends `count` requests at once, to the VMs in turn, and returns what became of them.
fn batch(
    vms: &[Vm],
    count: usize,
    method: &'static str,
    path: &str,
    deadline_ms: u64,
) -> Vec<Outcome> {
    let threads: Vec<_> = (0..count)
        .map(|index| {
            let (to, path) = (vms[index % vms.len()].front, format!("{path}{index}"));
            let body: &[u8] = if method == "GET" { b"" } else { BODY };
            std::thread::spawn(move || client::call(to, method, &path, deadline_ms, body))
        })
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect()
}

/// Returns those arrivals at the server `id` whose requests were sent later than `after`.
fn sent_after(log: &Log, outcomes: &[Outcome], id: &str, after: f64) -> Vec<Arrival> {
    let sent = |arrival: &Arrival| outcomes.iter().find(|o| o.id == arrival.id).map(|o| o.sent);
    let mut late = log.all();
    late.retain(|arrival| arrival.server == id && sent(arrival).is_some_and(|sent| sent > after));
    late
}

/// Returns how many of `outcomes` reached an upstream and got no success.
fn lost(log: &Log, outcomes: &[Outcome]) -> usize {
    let all = log.all();
    let is_lost = |o: &&Outcome| {
        let ran = all.iter().any(|arrival| arrival.id == o.id && arrival.ran);
        ran && !(o.complete && o.status == Some(200))
    };
    outcomes.iter().filter(is_lost).count()
}

/// One upstream sends interim heads without end in place of its answers.
fn interim_heads(trouble: bool) -> Option<Verdict> {
    const TIMEOUT_S: f64 = 2.0;
    let d = Deployment::start(120, TIMEOUT_S)?;
    let reads = Load::start(&d.vms, "GET", "/check/", 6, 0.2, 2000);
    let writes = Load::start(&d.vms, "POST", "/hold/", 6, 0.2, 2000);
    sleep(3.0);
    let began = now();
    if trouble {
        *d.servers[1].mode.lock().unwrap() = Mode::Interim;
    }
    sleep(20.0);
    for vm in &d.vms {
        say(&format!("{}: ready: {}", vm.name, vm.is_ready()));
    }
    let mut outcomes = reads.stop();
    outcomes.extend(writes.stop());
    outcomes.retain(|outcome| outcome.sent >= began);
    summary("requests", &outcomes);
    let took = |o: &Outcome| {
        if o.complete {
            o.ended - o.sent
        } else {
            f64::MAX
        }
    };
    let at_timeout = outcomes.iter().filter(|o| took(o) > TIMEOUT_S).count();
    let later = outcomes
        .iter()
        .filter(|o| took(o) > TIMEOUT_S + 0.5)
        .count();
    say(&format!(
        "{at_timeout} requests unanswered at timeout_s, {later} of them 0.5 s later"
    ));
    Some(verdict(later >= 8 && later * 2 > at_timeout))
}

fn verdict(broken: bool) -> Verdict {
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// An entry of kind `servers` by another writer, with a string that cannot be read, while
/// three of eight upstreams are replaced, one after the other.
fn unreadable_entry(trouble: bool) -> Option<Verdict> {
    const WORK_MS: u64 = 600;
    let mut d = Deployment::start(WORK_MS, 4.0)?;
    if trouble {
        // The second half of the surrogate pair is missing.
        let spec = br#"{"address":"127.0.0.1:9","info":{"service":"other\ud83d","version":"v1","zone":"zone-a","slots":3},"status":{"state":"ready","seq":1,"cold_left_s":0},"born":1}"#;
        d.store.put("servers", "x-other", spec);
    }
    let mut outcomes = batch(&d.vms, 12, "POST", "/hold/", 4000);
    let mut late = 0;
    for turn in 0..3 {
        sleep(1.5);
        let leaver = d.servers[UPSTREAMS + 2 * turn].clone();
        let next = format!("i-{}", 2 * UPSTREAMS + turn);
        let work = Duration::from_millis(WORK_MS);
        let zone = &leaver.zone;
        d.servers.push(Server::start(
            &d.store, &d.log, &next, "reserve", zone, SLOTS, work,
        ));
        sleep(2.0);
        let left = leaver.drain();
        say(&format!(
            "server {}: draining, accepted at {left:.3}",
            leaver.id
        ));
        sleep_until(left + DRAIN_S + 0.1);
        let ending = leaver.clone();
        std::thread::spawn(move || {
            sleep_until(left + DRAIN_S + 0.5);
            ending.leave();
            ending.end();
        });
        let sent = batch(&d.vms, UPSTREAMS * SLOTS, "POST", "/hold/", 4000);
        late += report_late(&d.log, &sent, &leaver.id, left);
        outcomes.extend(sent);
    }
    summary("requests", &outcomes);
    say(&format!(
        "{late} requests sent later than drain_s reached an upstream that drains"
    ));
    say(&format!(
        "{} requests had reached an upstream and got no success",
        lost(&d.log, &outcomes)
    ));
    let log = d.log.all();
    let replaced = (0..3).filter(|turn| {
        let next = format!("i-{}", 2 * UPSTREAMS + turn);
        log.iter().any(|arrival| arrival.server == next)
    });
    say(&format!(
        "{} of 3 new upstreams got requests",
        replaced.count()
    ));
    Some(verdict(late > 0))
}

/// Records which of the requests `sent` reached the server `id` too late after it `left`;
/// returns their number.
fn report_late(log: &Log, sent: &[Outcome], id: &str, left: f64) -> usize {
    let late = sent_after(log, sent, id, left + DRAIN_S);
    for arrival in &late {
        let after = arrival.at - left;
        record(&format!(
            "late: {} reached {id} {after:.3} s after the ack",
            arrival.id
        ));
    }
    late.len()
}

/// The answer to the first of several pipelined requests breaks off midway.
fn pipelined_behind_cut(trouble: bool) -> Option<Verdict> {
    const PIPELINED: usize = 8;
    let d = Deployment::start(60, 4.0)?;
    const BODY_BYTES: usize = 150_000;
    // Three of eight upstreams break off 1 in 34 of their answers for five seconds.
    let set_faulty = |faulty: bool| {
        for (index, server) in d.servers.iter().enumerate().take(UPSTREAMS) {
            let every = if faulty && index % 3 == 0 { 34 } else { 0 };
            *server.mode.lock().unwrap() = Mode::Large {
                bytes: BODY_BYTES,
                every,
            };
        }
    };
    set_faulty(false);
    let results: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let threads: Vec<_> = d
        .vms
        .iter()
        .map(|vm| {
            let (to, results) = (vm.front, results.clone());
            std::thread::spawn(move || {
                while now() < 20.0 {
                    let outcomes = pipeline(to, PIPELINED);
                    results.lock().unwrap().extend(outcomes);
                    sleep(0.1);
                }
            })
        })
        .collect();
    sleep_until(6.0);
    set_faulty(trouble);
    sleep(5.0);
    set_faulty(false);
    for thread in threads {
        let _ = thread.join();
    }
    let outcomes = results.lock().unwrap().clone();
    summary("requests", &outcomes);
    let log = d.log.all();
    let broken = log.iter().filter(|arrival| arrival.broken).count();
    say(&format!("{broken} answers broken off by their upstreams"));
    let mut closed = 0;
    for outcome in outcomes.iter().filter(|o| o.status.is_none()) {
        let arrivals: Vec<_> = log.iter().filter(|a| a.id == outcome.id).collect();
        let passed_on = arrivals.iter().any(|a| !a.broken && a.ran);
        if passed_on {
            closed += 1;
            record(&format!(
                "no answer: {} was run by {}",
                outcome.id, arrivals[0].server
            ));
        }
    }
    say(&format!("{closed} requests were passed on to a sound upstream, and their connection was closed without an answer"));
    Some(verdict(closed > 3))
}

/// Sends a request and reads its answer, then sends `count` requests at once on the same
/// connection and reads their answers.
fn pipeline(to: std::net::SocketAddr, count: usize) -> Vec<Outcome> {
    use std::io::Write;
    let Ok(mut stream) = std::net::TcpStream::connect(to) else {
        return Vec::new();
    };
    let mut outcomes = Vec::new();
    for burst in [1, count] {
        let ids: Vec<String> = (0..burst).map(|_| client::new_id()).collect();
        let mut bytes = Vec::new();
        for id in &ids {
            record(&format!(
                "requester: {id} GET /check/today to {to}, pipelined"
            ));
            bytes.extend(client::request("GET", "/check/today", id, 4000, b""));
        }
        let sent = now();
        let mut failed = stream.write_all(&bytes).is_err();
        for id in ids {
            let mut outcome = Outcome {
                id,
                sent,
                ..Outcome::default()
            };
            if !failed {
                let result = client::read_one(&mut stream, 7.0, &mut outcome);
                outcome.error = result
                    .err()
                    .map_or(String::new(), |error| error.to_string());
                failed = !outcome.complete;
            }
            outcome.ended = now();
            let Outcome {
                id,
                status,
                complete,
                ..
            } = &outcome;
            record(&format!(
                "requester: {id} got {status:?} complete {complete}"
            ));
            outcomes.push(outcome);
        }
    }
    outcomes
}

/// The store cuts off watches that wait, and right after that an upstream's entry goes, whose
/// successor has just started.
fn watches_cut(trouble: bool) -> Option<Verdict> {
    /// The upstream serves on for four times `drain_s` before the last requests are sent.
    const SERVES_ON_S: f64 = 4.0 * DRAIN_S;
    let d = Deployment::start(600, 4.0)?;
    let mut outcomes = batch(&d.vms, 12, "POST", "/hold/", 4000);
    sleep(4.0);
    let leaver = d.servers[UPSTREAMS].clone();
    if trouble {
        d.store.cut_watches(true);
        sleep(0.3);
        d.store.cut_watches(false);
    }
    let left = leaver.leave();
    say(&format!(
        "server {}: leaves, the entry is gone, accepted at {left:.3}",
        leaver.id
    ));
    sleep(0.5);
    let work = Duration::from_millis(600);
    let _next = Server::start(
        &d.store,
        &d.log,
        "i-16",
        "reserve",
        &leaver.zone,
        SLOTS,
        work,
    );
    let ending = leaver.clone();
    std::thread::spawn(move || {
        sleep_until(left + SERVES_ON_S + 0.4);
        ending.end();
    });
    sleep_until(left + SERVES_ON_S);
    let sent = batch(&d.vms, UPSTREAMS * SLOTS, "POST", "/hold/", 4000);
    let late = report_late(&d.log, &sent, &leaver.id, left);
    outcomes.extend(sent);
    summary("requests", &outcomes);
    say(&format!(
        "{late} requests sent later than drain_s reached the upstream that left"
    ));
    say(&format!(
        "{} requests had reached an upstream and got no success",
        lost(&d.log, &outcomes)
    ));
    Some(verdict(late > 0))
}

/// A request of one caller crashes each upstream that begins to run it, and comes again;
/// other callers send requests with the same path, which do no harm.
fn crashing_request(trouble: bool) -> Option<Verdict> {
    const CALLER: [u8; 4] = [127, 0, 0, 66];
    const STABILITY_S: f64 = 3.0;
    const WORK_MS: u64 = 300;
    let d = Deployment::start(WORK_MS, 2.0)?;
    let servers: Arc<Mutex<Vec<Arc<Server>>>> = Arc::new(Mutex::new(d.servers.clone()));
    let (store, log) = (d.store.clone(), d.log.clone());
    let watched = servers.clone();
    // Upstreams are back three seconds after a crash.
    std::thread::spawn(move || loop {
        sleep(0.01);
        let mut servers = watched.lock().unwrap();
        for server in servers.iter_mut().filter(|s| !s.is_alive()) {
            if now() > server.ended_at() + 3.0 {
                let work = Duration::from_millis(WORK_MS);
                *server = Server::start_at(
                    &store,
                    &log,
                    &server.id,
                    &server.service,
                    &server.zone,
                    3,
                    work,
                    server.port,
                );
                *server.poison.lock().unwrap() = Some(format!("127.0.0.{}", CALLER[3]));
            }
        }
    });
    // With another path, the requests of others do not count as the same request.
    let path = if std::env::var("OTHER_PATH").is_ok() {
        "/hold/tomorrow"
    } else {
        "/hold/today"
    };
    let others = Load::start_same(&d.vms, "POST", path, 16, 0.05, 2000);
    sleep(2.0);
    if trouble {
        for server in servers.lock().unwrap().iter() {
            *server.poison.lock().unwrap() = Some(format!("127.0.0.{}", CALLER[3]));
        }
    }
    let mut repeats = Vec::new();
    for turn in 0..24 {
        repeats.push(client::post_from(
            CALLER,
            d.vms[turn % 3].front,
            "/hold/today",
            2000,
            BODY,
        ));
        sleep(1.5);
    }
    summary("the request that crashes upstreams", &repeats);
    let others = others.stop();
    summary("requests of others", &others);
    say(&format!(
        "{} requests of others had reached an upstream and got no success",
        lost(&d.log, &others)
    ));
    let arrivals: Vec<_> = d
        .log
        .all()
        .into_iter()
        .filter(|a| repeats.iter().any(|o| o.id == a.id))
        .collect();
    let crashes: Vec<f64> = arrivals
        .iter()
        .filter(|a| a.crashed)
        .map(|a| a.at)
        .collect();
    say(&format!("{} upstreams crashed", crashes.len()));
    let third = crashes.get(2).copied().unwrap_or(f64::MAX);
    let late = repeats
        .iter()
        .filter(|o| o.sent > third + STABILITY_S && arrivals.iter().any(|a| a.id == o.id))
        .count();
    say(&format!(
        "{late} retries reached upstreams, sent later than 3 s after the third crash"
    ));
    Some(verdict(late > 3))
}
