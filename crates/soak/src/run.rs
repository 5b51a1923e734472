//! Plays one run: starts everything, has the events happen, stops everything,
//! and checks.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rustix::process::Signal;
use smol::io::AsyncWriteExt;
use smol::lock::Mutex;
use smol::net::TcpStream;
use smol::Task;
use smol::Timer;
use stand::Mode;
use stand::Route;
use stand::Service;

use crate::caller::Caller;
use crate::caller::Rotation;
use crate::caller::HOST;
use crate::caller::MOVING;
use crate::caller::ROUTES;
use crate::http::Reader;
use crate::link::Harm;
use crate::link::Link;
use crate::record::Book;
use crate::record::Fault;
use crate::record::Out;
use crate::record::Part;
use crate::record::Record;
use crate::record::Span;
use crate::record::Ticket;
use crate::scheme;
use crate::scheme::Act;
use crate::scheme::Event;
use crate::scheme::Size;
use crate::scheme::Store as StoreFault;
use crate::scheme::DOMAINS;
use crate::scheme::SERVICES;
use crate::server::Manner;
use crate::server::Place;
use crate::verify;
use crate::verify::Finding;
use crate::verify::COLD_PER_SECOND;
use crate::verify::GRACE;
use crate::verify::RECOVERED;
use crate::vm::Fleet;
use crate::vm::Vm;
use crate::vm::READY_PATH;

/// The longest time of a run beyond the span in which events begin.
const RUN_MAX: Duration = Duration::from_secs(90);
/// The longest wait for the fleet to be ready.
const START: Duration = Duration::from_secs(20);
/// How often processes are looked after.
const LOOK: Duration = Duration::from_millis(20);
/// How often readiness is asked for, and how long the answer may take.
const READY_PERIOD: Duration = Duration::from_millis(250);
/// Misses after which a VM gets no new connections.
const MISSES: u32 = 2;
/// The time between the end of a process and its next start.
const RESTART: Duration = Duration::from_millis(400);
/// The mean pause of a caller.
const PAUSE: Duration = Duration::from_millis(250);
/// The time after the end of a server after which its entry lapses.
const LAPSE: Duration = Duration::from_millis(600);
/// How long a server that leaves serves on.
const DRAIN: Duration = Duration::from_millis(2600);
/// The time after which an address is used again.
const REUSE: Duration = Duration::from_secs(2);
/// How long a server is cold.
const COLD: Duration = Duration::from_secs(3);
/// How much longer than a short fault a domain is out, so that it can be checked.
const OUT_MORE: Duration = Duration::from_secs(6);
/// The delay of a slow store.
const SLOW: Duration = Duration::from_millis(700);
/// The time between tickets in quick succession.
const QUICK: Duration = Duration::from_millis(250);
/// The time limit of routes.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The target latency of routes.
const TARGET: Duration = Duration::from_millis(300);
/// The calm at the end, beyond what recovery takes.
const CALM: Duration = Duration::from_secs(3);
/// The wake-up whose lateness is measured, and the lateness that is noted.
const TICK: Duration = Duration::from_millis(10);
const LATE: Duration = Duration::from_millis(100);
/// The step between numbers of tickets.
const NUMBERS: u64 = 3;

/// What a run showed.
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Broken promises.
    pub findings: Vec<Finding>,
    /// The events that were drawn.
    pub events: Vec<Event>,
    /// What was seen.
    pub record: Record,
}

struct World {
    book: Book,
    store: stand::Store,
    vms: Vec<Mutex<Vm>>,
    places: Vec<Place>,
    rotation: Rotation,
    /// Servers of each service, by which a place knows its first service.
    servers: usize,
    taking: Mutex<()>,
    over: AtomicBool,
}

/// Plays the run of `seed` with daemons of `program`; settings and logs are
/// written to `directory`, and `net` is the second number of all addresses.
pub async fn run(
    seed: u64,
    size: &Size,
    net: u8,
    program: &Path,
    directory: &Path,
) -> anyhow::Result<Outcome> {
    let limit = size.time + RUN_MAX;
    let played = net::timeout(limit, play(seed, size, net, program, directory)).await;
    played.with_context(|| format!("the run did not end within {limit:?}"))?
}

async fn play(
    seed: u64,
    size: &Size,
    net: u8,
    program: &Path,
    directory: &Path,
) -> anyhow::Result<Outcome> {
    std::fs::create_dir_all(directory)
        .with_context(|| format!("cannot make {}", directory.display()))?;
    let world = Arc::new(World::open(seed, size, net, program, directory).await?);
    let mut helpers: Vec<Task<()>> = vec![
        smol::spawn(world.clone().keep_running()),
        smol::spawn(world.clone().balance()),
        smol::spawn(watch_stalls(world.book.clone())),
    ];
    world.wait_ready().await?;
    for caller in 0..size.callers {
        let caller = Caller::new(&world.book, &world.rotation, seed ^ caller as u64);
        helpers.push(smol::spawn(caller.run(PAUSE)));
    }
    let events = scheme::draw(seed, size);
    let begin = world.book.now();
    let mut acts = Vec::new();
    for event in events.clone() {
        let wait = (begin + event.at).saturating_sub(world.book.now());
        Timer::after(wait).await;
        let world = world.clone();
        acts.push(smol::spawn(async move { world.act(event).await }));
    }
    for act in acts {
        act.await;
    }
    world.book.lock().calm = world.book.now();
    Timer::after(RECOVERED + CALM).await;
    world.finish().await;
    drop(helpers);
    let record = world.book.lock().clone();
    Ok(Outcome {
        seed,
        findings: verify::verify(&record),
        events,
        record,
    })
}

async fn watch_stalls(book: Book) {
    loop {
        let from = book.now();
        Timer::after(TICK).await;
        let to = book.now();
        if to - from > TICK + LATE {
            book.lock().stalls.push(Span { from, to });
        }
    }
}

impl World {
    async fn open(
        seed: u64,
        size: &Size,
        net: u8,
        program: &Path,
        directory: &Path,
    ) -> anyhow::Result<Self> {
        let book = Book::default();
        let store = stand::Store::default();
        let fleet = Fleet {
            count: size.vms,
            net,
            store: &store,
            book: &book,
            program,
            directory,
        };
        let mut vms = Vec::new();
        for at in 0..size.vms {
            let domain = DOMAINS[at % DOMAINS.len()];
            vms.push(Mutex::new(Vm::new(at, domain, &fleet).await?));
        }
        let mut places = Vec::new();
        for at in 0..size.places() {
            let address = SocketAddr::from((Ipv4Addr::new(127, net, 200, 1), 0));
            let domain = DOMAINS[at % DOMAINS.len()];
            let service = SERVICES[at / size.servers];
            let seed = seed ^ (at as u64) << 32;
            let place = Place::open(at, address, domain, service, &book, seed).await?;
            place.announce(&store);
            places.push(place);
        }
        let world = Self {
            book,
            store,
            vms,
            places,
            rotation: Rotation::default(),
            servers: size.servers,
            taking: Mutex::new(()),
            over: AtomicBool::new(false),
        };
        world.write_ticket();
        for vm in &world.vms {
            vm.lock().await.start()?;
        }
        Ok(world)
    }

    /// Writes the next configuration, in which one route goes to the next service.
    fn write_ticket(&self) {
        let number = self.book.lock().tickets.len();
        let moving = SERVICES[number % SERVICES.len()];
        let services = SERVICES.map(|name| Service {
            name: name.into(),
            cold_duration: COLD,
            cold_rate: COLD_PER_SECOND,
        });
        let routes = ROUTES.iter().enumerate().map(|(at, route)| Route {
            name: route.name.into(),
            service: if route.name == MOVING.name {
                moving
            } else {
                SERVICES[at]
            }
            .into(),
            idempotent: route.idempotent,
            timeout: TIMEOUT,
            target: TARGET,
        });
        let routes: Vec<Route> = routes.collect();
        let spec = stand::config_spec(1 + NUMBERS * number as u64, HOST, &services, &routes);
        let mut record = self.book.lock();
        self.store.put(stand::CONFIG_KIND, stand::CONFIG_NAME, spec);
        let at = self.book.now();
        record.tickets.push(Ticket { at, moving });
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Starts processes that have ended again.
    async fn keep_running(self: Arc<Self>) {
        loop {
            Timer::after(LOOK).await;
            for vm in &self.vms {
                let mut vm = vm.lock().await;
                if vm.is_due(RESTART) && !self.is_over() {
                    if let Err(error) = vm.start() {
                        eprintln!("soak: {error:#}");
                    }
                }
            }
        }
    }

    /// Asks VMs whether they are ready, as the balancer in front of them does.
    async fn balance(self: Arc<Self>) {
        let mut misses = vec![MISSES; self.vms.len()];
        let mut ways = Vec::new();
        for vm in &self.vms {
            let vm = vm.lock().await;
            ways.push((vm.ready, vm.callers.address()));
        }
        loop {
            for (at, (ready, _)) in ways.iter().enumerate() {
                let answer = net::timeout(READY_PERIOD / 2, is_ready(*ready)).await;
                misses[at] = if answer == Some(true) {
                    0
                } else {
                    misses[at] + 1
                };
            }
            let all = ways
                .iter()
                .enumerate()
                .map(|(at, (_, callers))| (at, *callers));
            let ready: Vec<_> = all.clone().filter(|(at, _)| misses[*at] < MISSES).collect();
            let some = !ready.is_empty();
            self.rotation.set(if some { ready } else { all.collect() });
            Timer::after(READY_PERIOD).await;
        }
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let end = self.book.now() + START;
        for vm in &self.vms {
            let ready = vm.lock().await.ready;
            while !is_ready(ready).await {
                anyhow::ensure!(self.book.now() < end, "{ready} is not ready in {START:?}");
                Timer::after(LOOK).await;
            }
        }
        Ok(())
    }

    fn note(&self, part: Part, name: &'static str, from: Duration) {
        let to = self.book.now();
        self.book.lock().faults.push(Fault {
            span: Span { from, to },
            part,
            name,
        });
    }

    async fn act(&self, event: Event) {
        let from = self.book.now();
        let lasts = event.lasts;
        match event.act {
            Act::Pause(at) => {
                self.vms[at].lock().await.signal(Signal::STOP);
                Timer::after(lasts).await;
                self.vms[at].lock().await.signal(Signal::CONT);
                self.note(Part::Vm(at), "paused", from);
            }
            Act::Kill(at) => self.kill(at).await,
            Act::KillAll => {
                for at in 0..self.vms.len() {
                    self.kill(at).await;
                }
            }
            Act::Reload(at) => self.vms[at].lock().await.signal(Signal::HUP),
            Act::Stop(at) => self.stop(at).await,
            Act::CallerLinks(at, harm) => {
                let link = self.vms[at].lock().await.callers.clone();
                self.harm(&link, harm, lasts).await;
                self.note(Part::Vm(at), "callers' connections harmed", from);
            }
            Act::StoreLink(at, harm) => {
                let link = self.vms[at].lock().await.store_link.clone();
                self.harm(&link, harm, lasts).await;
                self.note(
                    Part::StoreAccess(at),
                    "connections to the store harmed",
                    from,
                );
            }
            Act::StoreAccess(at, fault) => {
                self.vms[at].lock().await.endpoint.set_mode(mode(fault));
                Timer::after(lasts).await;
                self.vms[at].lock().await.endpoint.set_mode(Mode::Normal);
                self.note(Part::StoreAccess(at), "turned away by the store", from);
            }
            Act::Store(fault) => {
                self.set_store(mode(fault)).await;
                Timer::after(lasts).await;
                self.set_store(Mode::Normal).await;
                self.note(Part::Store, "store harmed", from);
            }
            Act::Forget => self.store.compact(),
            Act::Server(at, manner) => {
                self.places[at].set_manner(manner);
                Timer::after(lasts).await;
                self.places[at].set_manner(Manner::Sound);
                self.note(Part::Server(at), "server fails", from);
            }
            Act::ServerLink(at, harm) => {
                let link = self.places[at].link.clone();
                self.harm(&link, harm, lasts).await;
                self.note(Part::Server(at), "connections to a server harmed", from);
            }
            Act::Crash(at, other) => {
                let place = &self.places[at];
                place.end();
                Timer::after(LAPSE).await;
                place.lapse(&self.store);
                self.return_later(at, other).await;
                self.note(Part::Server(at), "server crashed", from);
            }
            Act::Leave(at, other) => {
                let place = &self.places[at];
                place.drain(&self.store);
                Timer::after(DRAIN).await;
                place.end();
                place.lapse(&self.store);
                self.return_later(at, other).await;
            }
            Act::Out(at) => self.take_out(DOMAINS[at], lasts + OUT_MORE).await,
            Act::Tickets(count) => {
                for _ in 0..count {
                    self.write_ticket();
                    Timer::after(QUICK).await;
                }
            }
        }
    }

    async fn kill(&self, at: usize) {
        let from = self.book.now();
        self.vms[at].lock().await.signal(Signal::KILL);
        self.note(Part::Vm(at), "killed", from);
    }

    async fn harm(&self, link: &Link, harm: Harm, lasts: Duration) {
        link.set(harm);
        Timer::after(lasts).await;
        link.set(Harm::None);
    }

    async fn set_store(&self, mode: Mode) {
        for vm in &self.vms {
            vm.lock().await.endpoint.set_mode(mode);
        }
    }

    async fn return_later(&self, at: usize, other: bool) {
        Timer::after(REUSE).await;
        let step = usize::from(other);
        let service = SERVICES[(at / self.servers + step) % SERVICES.len()];
        self.places[at].begin(service, COLD);
        self.places[at].announce(&self.store);
    }

    async fn take_out(&self, domain: &'static str, lasts: Duration) {
        // Operators take a domain back before they take it out again.
        let _one_at_a_time = self.taking.lock().await;
        self.store
            .put(stand::EVACUATIONS_KIND, domain, serde_json::json!({}));
        let from = self.book.now();
        Timer::after(lasts).await;
        let to = self.book.now();
        self.store.delete(stand::EVACUATIONS_KIND, domain);
        let span = Span { from, to };
        self.book.lock().outs.push(Out { domain, span });
    }

    /// Asks a process to stop and waits for its end.
    async fn stop(&self, at: usize) {
        let asked = self.book.now();
        self.vms[at].lock().await.signal(Signal::TERM);
        loop {
            Timer::after(LOOK).await;
            let mut vm = self.vms[at].lock().await;
            if !vm.is_stopping() {
                return;
            }
            if self.book.now() > asked + GRACE {
                vm.signal(Signal::KILL);
            }
        }
    }

    /// Stops all processes.
    async fn finish(&self) {
        self.over.store(true, Ordering::SeqCst);
        let stops = (0..self.vms.len()).map(|at| self.stop(at));
        for stop in stops.collect::<Vec<_>>() {
            stop.await;
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let text = format!("GET {READY_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    let answer = Reader::new(stream).answer().await;
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status == 200))
}

fn mode(fault: StoreFault) -> Mode {
    match fault {
        StoreFault::Refuses => Mode::Unavailable,
        StoreFault::Silent => Mode::Unresponsive,
        StoreFault::Loses => Mode::ResponseLost,
        StoreFault::Slow => Mode::Delayed(SLOW),
    }
}
