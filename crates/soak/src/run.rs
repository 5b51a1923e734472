//! Executes one run: starts VMs, servers and callers, performs the events of the
//! schedule, stops the VMs, and verifies the record.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use net::cut::Cut;
use rustix::process::Signal;
use serde_json::json;
use smol::channel;
use smol::io::AsyncWriteExt;
use smol::lock::Mutex;
use smol::net::TcpStream;
use smol::Task;
use smol::Timer;
use stand::Mode;
use stand::Route;
use stand::Service;

use crate::caller::key_of;
use crate::caller::moving_team;
use crate::caller::passing_key;
use crate::caller::Caller;
use crate::caller::Rotation;
use crate::caller::GREEDY;
use crate::caller::HOST;
use crate::caller::LIMITED;
use crate::caller::MODEST;
use crate::caller::MOVING_KEY;
use crate::caller::MOVING_ROUTE;
use crate::caller::ROUTES;
use crate::caller::TEAMS;
use crate::http::MessageReader;
use crate::link::Link;
use crate::link::LinkFault;
use crate::record::DomainOut;
use crate::record::Fault;
use crate::record::FaultTarget;
use crate::record::Key;
use crate::record::Record;
use crate::record::Recorder;
use crate::record::RollOut;
use crate::record::Span;
use crate::record::Ticket;
use crate::record::VmIndex;
use crate::schedule;
use crate::schedule::Action;
use crate::schedule::Event;
use crate::schedule::Size;
use crate::schedule::StoreFault;
use crate::schedule::DOMAINS;
use crate::schedule::ROLL_OUT_TIME;
use crate::schedule::SERVICES;
use crate::server::Behavior;
use crate::server::Location;
use crate::verify;
use crate::verify::Finding;
use crate::verify::COLD_PER_SECOND;
use crate::verify::FINAL_STATES;
use crate::verify::RECOVERY_TIME;
use crate::verify::STOP_GRACE;
use crate::vm::Fleet;
use crate::vm::Vm;
use crate::vm::READY_PATH;

/// The time limit of a run beyond the span in which events start.
const RUN_EXTRA_MAX: Duration = Duration::from_secs(90);
/// The time limit for all VMs to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the state of processes is polled.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// The time between two readiness checks. A check fails without a response within half
/// of it.
const READY_PERIOD: Duration = Duration::from_millis(250);
/// The number of failed readiness checks in a row after which a VM gets no new
/// connections.
const READY_MISSES_MAX: u32 = 2;
/// The time from the end of a process until its restart.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// The mean pause of a caller between two requests.
const CALLER_PAUSE_MEAN: Duration = Duration::from_millis(250);
/// The pause between two requests of a caller whose keys change with configurations.
const KEY_PAUSE: Duration = Duration::from_millis(150);
/// The callers with other keys than the lasting ones: the number, the key and the pause.
const KEY_CALLERS: [(usize, Key, Duration); 4] = [
    (2, Key::Passing(0), KEY_PAUSE),
    (2, Key::Moving, KEY_PAUSE),
    (6, Key::Limited(GREEDY), Duration::from_millis(60)),
    (2, Key::Limited(MODEST), Duration::from_millis(400)),
];
/// The time from the crash of a server until its entry in the store expires.
const ENTRY_EXPIRY_DELAY: Duration = Duration::from_millis(600);
/// How long a draining server still serves calls before it stops.
const DRAIN_TIME: Duration = Duration::from_millis(2600);
/// The time from the removal of a server's entry until the next server instance starts
/// at its address.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);
/// How long a server is cold after a restart.
const COLD_TIME: Duration = Duration::from_secs(3);
/// How much longer than its event a failure domain is out of service. Without it, a short
/// event would end before VMs have to apply the domain order, and nothing could be
/// checked.
const DOMAIN_OUT_EXTRA: Duration = Duration::from_secs(6);
/// How often a server repeats its announcement to the store.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1500);
/// The age of the copy from which the store comes back, without the time for which it is
/// unavailable.
const COPY_AGE: Duration = Duration::from_secs(2);
/// The time after an outage of the store within which servers write entries again that
/// lapsed.
const ENTRY_RETURN_TIME: Duration = Duration::from_secs(2);
/// The kinds of objects that their writers write again after the store was restored.
const WRITTEN_AGAIN: [&str; 4] = [
    stand::CONFIG_KIND,
    stand::SERVERS_KIND,
    stand::EVACUATIONS_KIND,
    ROLL_OUTS_KIND,
];
/// The kind of the objects that order roll-outs.
const ROLL_OUTS_KIND: &str = "rollouts";
/// The version that is rolled out, and the number of its servers.
const NEW_VERSION: &str = "v2";
const NEW_SERVERS: usize = 3;
/// The indices in [`SERVICES`] of the services whose bad and good version is rolled out.
const BAD_SERVICE: usize = 0;
const GOOD_SERVICE: usize = 2;
/// The time from the order of a roll-out until the servers of the version start.
const NEW_SERVERS_DELAY: Duration = Duration::from_secs(1);
/// How much longer than it was ordered to last the operator waits for the end of a roll-out:
/// the store may be away, which the end is written to.
const ROLL_OUT_EXTRA: Duration = Duration::from_secs(12);
/// The names of entries that another writer leaves. In the order of names some are before and
/// some behind those of the other objects, and they take more than a page.
const ODD_NAMES: [&str; 9] = [
    " ",
    "#1",
    "%41",
    "%zz",
    "&after=~",
    "+",
    "a b?c/d",
    "~&limit=0",
    "~é%",
];
/// The names and values of entries whose quotes or brackets do not match.
const UNBALANCED_ENTRIES: [(&str, &str); 5] = [
    ("!a", r#"{"address":"127"#),
    ("!b", "[1,{\"a\":2]"),
    ("!c", r#"{"address":7}}"#),
    ("~a", r#""x\"#),
    ("~b", r#"{"version":1"#),
];
/// The size of the value of a large one. The nine of a kind are longer than the longest
/// response that VMs read.
const LARGE_VALUE_BYTES: usize = 1_000_000;
/// The delay of responses by a slow store.
const STORE_DELAY: Duration = Duration::from_millis(700);
/// The time between tickets that are written in quick succession.
const TICKET_GAP: Duration = Duration::from_millis(250);
/// The configured time limit of routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// The configured target latency of routes.
const ROUTE_TARGET_LATENCY: Duration = Duration::from_millis(300);
/// The time at the end of a run, after [`RECOVERY_TIME`], in which requests have to be
/// served.
const FINAL_CALM: Duration = Duration::from_secs(3);
/// The timer period by which stalls of the soak process itself are detected.
const STALL_TICK: Duration = Duration::from_millis(10);
/// The lateness of the timer from which it counts as a stall.
const STALL_MIN: Duration = Duration::from_millis(100);
/// The difference between the numbers of successive tickets.
const TICKET_STEP: u64 = 3;

/// The result of a run.
pub struct Outcome {
    /// The seed of the run.
    pub seed: u64,
    /// The violations that were found, ordered by time.
    pub findings: Vec<Finding>,
    /// The events of the schedule.
    pub events: Vec<Event>,
    /// What callers, servers and the operator observed.
    pub record: Record,
}

/// The parts of a run that its tasks share.
struct Harness {
    recorder: Recorder,
    store: stand::Store,
    vms: Vec<Mutex<Vm>>,
    locations: Vec<Location>,
    /// The locations of the servers of new versions: first the bad, then the good one.
    new_locations: Vec<Location>,
    /// The indices of locations whose server has crashed under a request.
    crashed_locations: channel::Receiver<usize>,
    /// The number of requests so far that make servers crash.
    poison_count: AtomicUsize,
    rotation: Rotation,
    /// The number of servers of each service, which determines the initial service of a
    /// location.
    servers: usize,
    /// Held while a failure domain is out of service, so that only one is at a time.
    domain_lock: Mutex<()>,
    /// The number of store faults in force, and of those in which the store does not serve
    /// the operators.
    store_faults: AtomicUsize,
    store_outages: AtomicUsize,
    /// Set when the run stops all processes, which are not restarted from then on.
    finished: AtomicBool,
}

/// Executes the run of `seed` and returns its result.
///
/// `program` is the executable of the daemons, whose settings and logs are written to
/// `directory`. `subnet` is the second octet of the loopback addresses, by which
/// concurrent runs are kept apart.
///
/// # Errors
///
/// Fails if a part of the run cannot be started or the run exceeds its time limit.
/// Violations are not errors; they are in [`Outcome::findings`].
pub async fn run(
    seed: u64,
    size: &Size,
    subnet: u8,
    program: &Path,
    directory: &Path,
) -> anyhow::Result<Outcome> {
    let run_timeout = size.time + RUN_EXTRA_MAX;
    let result = net::timeout(
        run_timeout,
        run_seed(seed, size, subnet, program, directory),
    )
    .await;
    result.with_context(|| format!("the run did not end within {run_timeout:?}"))?
}

async fn run_seed(
    seed: u64,
    size: &Size,
    subnet: u8,
    program: &Path,
    directory: &Path,
) -> anyhow::Result<Outcome> {
    std::fs::create_dir_all(directory)
        .with_context(|| format!("cannot create {}", directory.display()))?;
    let harness = Arc::new(Harness::open(seed, size, subnet, program, directory).await?);
    let mut background_tasks: Vec<Task<()>> = vec![
        smol::spawn(harness.clone().restart_ended()),
        smol::spawn(harness.clone().poll_readiness()),
        smol::spawn(harness.clone().restart_crashed()),
        smol::spawn(harness.clone().repeat_announcements()),
        smol::spawn(record_stalls(harness.recorder.clone())),
    ];
    harness.wait_ready().await?;
    for caller in 0..size.callers {
        let caller = Caller::new(&harness.recorder, &harness.rotation, seed ^ caller as u64);
        background_tasks.push(smol::spawn(caller.run(CALLER_PAUSE_MEAN)));
    }
    let with_keys = KEY_CALLERS.iter();
    let with_keys = with_keys.flat_map(|(count, key, pause)| vec![(*key, *pause); *count]);
    for (index, (key, pause)) in with_keys.enumerate() {
        let seed = seed ^ (size.callers + index) as u64;
        let caller = Caller::new(&harness.recorder, &harness.rotation, seed);
        background_tasks.push(smol::spawn(caller.run_with_keys(key, pause)));
    }
    let events = schedule::generate(seed, size);
    let begin = harness.recorder.now();
    let mut event_tasks = Vec::new();
    for event in events.clone() {
        let wait = (begin + event.at).saturating_sub(harness.recorder.now());
        Timer::after(wait).await;
        let harness = harness.clone();
        event_tasks.push(smol::spawn(async move { harness.perform(event).await }));
    }
    for task in event_tasks {
        task.await;
    }
    harness.recorder.lock().faults_ended = harness.recorder.now();
    Timer::after(RECOVERY_TIME).await;
    if schedule::has_good_roll_out(seed) {
        harness.roll_out(false, ROLL_OUT_TIME).await;
    }
    Timer::after(FINAL_CALM).await;
    harness.stop_all().await;
    drop(background_tasks);
    let record = harness.recorder.lock().clone();
    Ok(Outcome {
        seed,
        findings: verify::verify(&record),
        events,
        record,
    })
}

/// Records spans in which this process could not run, until the task is dropped.
async fn record_stalls(recorder: Recorder) {
    loop {
        let from = recorder.now();
        Timer::after(STALL_TICK).await;
        let to = recorder.now();
        if to - from > STALL_TICK + STALL_MIN {
            recorder.lock().stalls.push(Span { from, to });
        }
    }
}

impl Harness {
    async fn open(
        seed: u64,
        size: &Size,
        subnet: u8,
        program: &Path,
        directory: &Path,
    ) -> anyhow::Result<Self> {
        let recorder = Recorder::default();
        let store = stand::Store::default();
        let fleet = Fleet {
            count: size.vms,
            subnet,
            store: &store,
            recorder: &recorder,
            program,
            directory,
        };
        let mut vms = Vec::new();
        for index in 0..size.vms {
            let domain = DOMAINS[index % DOMAINS.len()];
            vms.push(Mutex::new(Vm::new(index, domain, &fleet).await?));
        }
        let (crashes, crashed_locations) = channel::unbounded();
        let mut locations = Vec::new();
        for index in 0..size.locations() + 2 * NEW_SERVERS {
            let address = SocketAddr::from((Ipv4Addr::new(127, subnet, 200, 1), 0));
            let domain = DOMAINS[index % DOMAINS.len()];
            let new = index.checked_sub(size.locations());
            let service = match new {
                None => SERVICES[index / size.servers],
                Some(new) if new < NEW_SERVERS => SERVICES[BAD_SERVICE],
                Some(_) => SERVICES[GOOD_SERVICE],
            };
            let seed = seed ^ (index as u64) << 32;
            let location = Location::open(
                index,
                address,
                domain,
                service,
                &recorder,
                crashes.clone(),
                seed,
            )
            .await?;
            if new.is_some() {
                location.set_version(NEW_VERSION);
            } else {
                location.write_entry(&store);
            }
            locations.push(location);
        }
        let new_locations = locations.split_off(size.locations());
        let harness = Self {
            recorder,
            store,
            vms,
            locations,
            new_locations,
            crashed_locations,
            poison_count: AtomicUsize::new(0),
            rotation: Rotation::default(),
            servers: size.servers,
            domain_lock: Mutex::new(()),
            store_faults: AtomicUsize::new(0),
            store_outages: AtomicUsize::new(0),
            finished: AtomicBool::new(false),
        };
        harness.write_ticket();
        for vm in &harness.vms {
            vm.lock().await.start()?;
        }
        Ok(harness)
    }

    /// Writes the next configuration, in which [`MOVING_ROUTE`] leads to the next service.
    fn write_ticket(&self) {
        let number = self.recorder.lock().tickets.len();
        let moving = SERVICES[number % SERVICES.len()];
        let services = SERVICES.map(|name| Service {
            name: name.into(),
            cold_duration: COLD_TIME,
            cold_rate: COLD_PER_SECOND,
        });
        let routes = ROUTES.iter().enumerate().map(|(index, route)| Route {
            name: route.name.into(),
            service: if route.name == MOVING_ROUTE.name {
                moving
            } else {
                SERVICES[index]
            }
            .into(),
            idempotent: route.idempotent,
            timeout: ROUTE_TIMEOUT,
            target: ROUTE_TARGET_LATENCY,
        });
        let routes: Vec<Route> = routes.collect();
        let ticket = 1 + TICKET_STEP * number as u64;
        let mut spec = stand::config_spec(ticket, HOST, &services, &routes);
        // Each configuration takes a key of every team away, and moves another one.
        let teams = TEAMS.iter().map(|name| {
            let mut keys = vec![key_of(name), passing_key(name, number)];
            keys.extend((*name == moving_team(number)).then(|| MOVING_KEY.into()));
            json!({ "name": name, "api_keys": keys })
        });
        let limited = LIMITED.iter().map(|team| {
            let keys = [key_of(team.name)];
            json!({
                "name": team.name, "api_keys": keys,
                "rate_per_s": team.rate, "burst": team.burst
            })
        });
        spec["tenants"] = teams.chain(limited).collect();
        let mut record = self.recorder.lock();
        self.store.put(stand::CONFIG_KIND, stand::CONFIG_NAME, spec);
        let at = self.recorder.now();
        record.tickets.push(Ticket { at, moving });
    }

    fn is_finished(&self) -> bool {
        self.finished.load(Ordering::SeqCst)
    }

    /// Restarts processes that have ended, until the run is finished.
    async fn restart_ended(self: Arc<Self>) {
        loop {
            Timer::after(POLL_PERIOD).await;
            for vm in &self.vms {
                let mut vm = vm.lock().await;
                if vm.is_restart_due(RESTART_DELAY) && !self.is_finished() {
                    if let Err(error) = vm.start() {
                        eprintln!("soak: {error:#}");
                    }
                }
            }
        }
    }

    /// Checks the readiness of the VMs and sets which of them get new connections, as the
    /// load balancer in front of them does. If none is ready, all get connections.
    async fn poll_readiness(self: Arc<Self>) {
        let mut misses = vec![READY_MISSES_MAX; self.vms.len()];
        let mut addresses = Vec::new();
        for vm in &self.vms {
            let vm = vm.lock().await;
            addresses.push((vm.ready_address, vm.caller_link.address()));
        }
        loop {
            for (index, (ready, _)) in addresses.iter().enumerate() {
                let response = net::timeout(READY_PERIOD / 2, is_ready(*ready)).await;
                misses[index] = if response == Some(true) {
                    0
                } else {
                    misses[index] + 1
                };
            }
            let all = addresses
                .iter()
                .enumerate()
                .map(|(index, (_, callers))| (index, *callers));
            let ready: Vec<_> = all
                .clone()
                .filter(|(index, _)| misses[*index] < READY_MISSES_MAX)
                .collect();
            let any_ready = !ready.is_empty();
            self.rotation
                .set(if any_ready { ready } else { all.collect() });
            Timer::after(READY_PERIOD).await;
        }
    }

    /// Waits until all VMs are ready; fails after [`START_TIMEOUT`].
    async fn wait_ready(&self) -> anyhow::Result<()> {
        let end = self.recorder.now() + START_TIMEOUT;
        for vm in &self.vms {
            let ready = vm.lock().await.ready_address;
            while !is_ready(ready).await {
                anyhow::ensure!(
                    self.recorder.now() < end,
                    "{ready} is not ready in {START_TIMEOUT:?}"
                );
                Timer::after(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Makes the servers repeat their announcements, unless the store is out.
    async fn repeat_announcements(self: Arc<Self>) {
        loop {
            Timer::after(ANNOUNCEMENT_PERIOD).await;
            if self.store_outages.load(Ordering::SeqCst) == 0 {
                for location in self.locations.iter().chain(&self.new_locations) {
                    location.repeat_announcement(&self.store);
                }
            }
        }
    }

    /// Records a fault that started at `from` and ends now.
    fn record_fault(&self, target: FaultTarget, name: &'static str, from: Duration) {
        let to = self.recorder.now();
        self.recorder.lock().faults.push(Fault {
            span: Span { from, to },
            target,
            name,
        });
    }

    /// Performs the action of an event and waits for its end.
    async fn perform(&self, event: Event) {
        let from = self.recorder.now();
        let duration = event.duration;
        match event.action {
            Action::Pause(index) => {
                self.vms[index].lock().await.signal(Signal::STOP);
                Timer::after(duration).await;
                self.vms[index].lock().await.signal(Signal::CONT);
                self.record_fault(FaultTarget::Vm(index), "paused", from);
            }
            Action::Kill(index) => self.kill(index).await,
            Action::KillAll => {
                for index in 0..self.vms.len() {
                    self.kill(index).await;
                }
            }
            Action::Reload(index) => self.vms[index].lock().await.signal(Signal::HUP),
            Action::Stop(index) => self.stop(index).await,
            Action::CallerLinkFault(index, fault) => {
                let link = self.vms[index].lock().await.caller_link.clone();
                self.apply_link_fault(&link, fault, duration).await;
                self.record_fault(
                    FaultTarget::Vm(index),
                    "fault in the connections to callers",
                    from,
                );
            }
            Action::StoreLinkFault(index, fault) => {
                let link = self.vms[index].lock().await.store_link.clone();
                self.apply_link_fault(&link, fault, duration).await;
                self.record_fault(
                    FaultTarget::StoreAccess(index),
                    "fault in the connections to the store",
                    from,
                );
            }
            Action::StoreAccessFault(index, fault) => {
                self.vms[index]
                    .lock()
                    .await
                    .store_endpoint
                    .set_mode(store_mode(fault));
                Timer::after(duration).await;
                self.vms[index]
                    .lock()
                    .await
                    .store_endpoint
                    .set_mode(Mode::Normal);
                self.record_fault(
                    FaultTarget::StoreAccess(index),
                    "store fault for one VM",
                    from,
                );
            }
            Action::StoreFault(fault) => {
                self.begin_store_fault(fault).await;
                Timer::after(duration).await;
                self.end_store_fault(fault).await;
                self.record_fault(FaultTarget::Store, "store fault", from);
            }
            Action::LapseEntries(fault) => {
                self.begin_store_fault(fault).await;
                Timer::after(duration / 2).await;
                for location in &self.locations {
                    location.lapse_entry(&self.store);
                }
                Timer::after(duration / 2).await;
                self.end_store_fault(fault).await;
                self.record_fault(FaultTarget::Store, "entries lapsed in an outage", from);
                // Operators who waited for the store go on.
                self.write_ticket();
                let gap = ENTRY_RETURN_TIME / self.locations.len() as u32;
                for location in &self.locations {
                    location.restore_entry(&self.store);
                    Timer::after(gap).await;
                }
            }
            Action::CompactStore => self.store.compact(),
            Action::RestoreStore => {
                let copy = self.store.copy();
                Timer::after(COPY_AGE).await;
                let from = self.recorder.now();
                self.begin_store_fault(StoreFault::Unavailable).await;
                Timer::after(duration).await;
                self.store.restore_except(&copy, &WRITTEN_AGAIN);
                self.end_store_fault(StoreFault::Unavailable).await;
                self.record_fault(FaultTarget::Store, "store restored from a copy", from);
            }
            Action::ServerFault(index, behavior) => {
                self.locations[index].set_behavior(behavior);
                Timer::after(duration).await;
                self.locations[index].set_behavior(Behavior::Normal);
                // A server that refuses properly excuses nothing.
                if !matches!(behavior, Behavior::Resting(_)) {
                    self.record_fault(FaultTarget::Server(index), "faulty server", from);
                }
            }
            Action::ServerLinkFault(index, fault) => {
                let link = self.locations[index].link.clone();
                self.apply_link_fault(&link, fault, duration).await;
                self.record_fault(
                    FaultTarget::Server(index),
                    "fault in the connections to a server",
                    from,
                );
            }
            Action::CrashServer(index, change_service) => {
                self.locations[index].crash().await;
                self.recover_crashed(index, change_service, from).await;
            }
            Action::CutPaths(first, count, cut) => {
                let vms: Vec<VmIndex> = (0..count).map(|n| (first + n) % self.vms.len()).collect();
                for vm in &vms {
                    self.vms[*vm].lock().await.cut_path(cut);
                }
                Timer::after(duration).await;
                for vm in vms {
                    self.vms[vm].lock().await.cut_path(Cut::None);
                    self.record_fault(FaultTarget::Path(vm), cut.name(), from);
                }
            }
            Action::RepeatPoison(route) => {
                let poison = self.poison_count.fetch_add(1, Ordering::SeqCst);
                let caller =
                    Caller::new(&self.recorder, &self.rotation, event.at.as_micros() as u64);
                caller.repeat_poison(poison, ROUTES[route], duration).await;
                // Until the servers that it ended are back.
                Timer::after(ENTRY_EXPIRY_DELAY + ADDRESS_REUSE_DELAY).await;
            }
            Action::DrainServer(index, change_service) => {
                let location = &self.locations[index];
                location.start_draining(&self.store);
                Timer::after(DRAIN_TIME).await;
                location.shut_down();
                location.remove_entry(&self.store);
                self.restart_server(index, change_service).await;
            }
            Action::LeaveServer(index, change_service) => {
                let location = &self.locations[index];
                location.start_leaving();
                Timer::after(duration).await;
                location.start_draining(&self.store);
                Timer::after(DRAIN_TIME).await;
                location.shut_down();
                location.remove_entry(&self.store);
                self.restart_server(index, change_service).await;
            }
            Action::LimitRate(index, per_second) => {
                self.locations[index].set_rate_limit(Some(per_second));
                Timer::after(duration).await;
                self.locations[index].set_rate_limit(None);
            }
            Action::WriteOddEntries(large) => self.write_odd_entries(large).await,
            Action::WriteUnbalancedEntries => self.write_unbalanced_entries().await,
            Action::RollOutBad => self.roll_out(true, duration).await,
            Action::DomainOut(index) => {
                self.take_domain_out(DOMAINS[index], duration + DOMAIN_OUT_EXTRA)
                    .await
            }
            Action::WriteTickets(count) => {
                for _ in 0..count {
                    while self.store_outages.load(Ordering::SeqCst) > 0 {
                        Timer::after(POLL_PERIOD).await;
                    }
                    self.write_ticket();
                    Timer::after(TICKET_GAP).await;
                }
            }
        }
    }

    /// Restarts servers that crash under requests, until the task is dropped.
    async fn restart_crashed(self: Arc<Self>) {
        while let Ok(index) = self.crashed_locations.recv().await {
            let from = self.recorder.now();
            let harness = self.clone();
            smol::spawn(async move { harness.recover_crashed(index, false, from).await }).detach();
        }
    }

    /// Removes the entry of a server that crashed at `from`, and starts the next one.
    async fn recover_crashed(&self, index: usize, change_service: bool, from: Duration) {
        let location = self.location(index);
        Timer::after(ENTRY_EXPIRY_DELAY).await;
        location.remove_entry(&self.store);
        self.restart_server(index, change_service).await;
        self.record_fault(FaultTarget::Server(index), "server crashed", from);
    }

    async fn kill(&self, index: usize) {
        let from = self.recorder.now();
        self.vms[index].lock().await.signal(Signal::KILL);
        self.record_fault(FaultTarget::Vm(index), "killed", from);
    }

    async fn apply_link_fault(&self, link: &Link, fault: LinkFault, duration: Duration) {
        link.set_fault(fault);
        Timer::after(duration).await;
        link.set_fault(LinkFault::None);
    }

    async fn begin_store_fault(&self, fault: StoreFault) {
        self.store_faults.fetch_add(1, Ordering::SeqCst);
        self.set_store_mode(store_mode(fault)).await;
        if is_outage(fault) {
            self.store_outages.fetch_add(1, Ordering::SeqCst);
        }
    }

    async fn end_store_fault(&self, fault: StoreFault) {
        // A store that serves VMs also serves the servers whose entries have lapsed.
        if self.store_faults.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.set_store_mode(Mode::Normal).await;
        }
        if is_outage(fault) {
            self.store_outages.fetch_sub(1, Ordering::SeqCst);
        }
    }

    async fn set_store_mode(&self, mode: Mode) {
        for vm in &self.vms {
            vm.lock().await.store_endpoint.set_mode(mode);
        }
    }

    /// Starts a new server instance at a location after [`ADDRESS_REUSE_DELAY`]. It belongs
    /// to the initial service of the location or, if `change_service`, to the next one.
    async fn restart_server(&self, index: usize, change_service: bool) {
        Timer::after(ADDRESS_REUSE_DELAY).await;
        let offset = usize::from(change_service);
        let service = match index.checked_sub(self.locations.len()) {
            None => SERVICES[(index / self.servers + offset) % SERVICES.len()],
            Some(new) if new < NEW_SERVERS => SERVICES[BAD_SERVICE],
            Some(_) => SERVICES[GOOD_SERVICE],
        };
        let location = self.location(index);
        location.accept_again().await;
        location.start_instance(service, COLD_TIME);
        location.write_entry(&self.store);
    }

    fn location(&self, index: usize) -> &Location {
        let mut all = self.locations.iter().chain(&self.new_locations);
        all.nth(index)
            .expect("crashes come from locations of this run")
    }

    /// Waits until the store serves the operators.
    async fn wait_store(&self) {
        while self.store_outages.load(Ordering::SeqCst) > 0 {
            Timer::after(POLL_PERIOD).await;
        }
    }

    /// Orders that a service moves to [`NEW_VERSION`] within `duration`, starts the servers
    /// of the version and waits for the end.
    async fn roll_out(&self, is_bad: bool, duration: Duration) {
        let (index, first) = if is_bad {
            (BAD_SERVICE, 0)
        } else {
            (GOOD_SERVICE, NEW_SERVERS)
        };
        let service = SERVICES[index];
        let (version, seconds) = (NEW_VERSION, duration.as_secs_f64());
        let spec = json!({ "service": service, "target_version": version, "duration_s": seconds });
        self.wait_store().await;
        self.store.put(ROLL_OUTS_KIND, service, spec);
        let at = self.recorder.now();
        Timer::after(NEW_SERVERS_DELAY).await;
        self.wait_store().await;
        for location in &self.new_locations[first..first + NEW_SERVERS] {
            if is_bad {
                location.set_behavior(Behavior::BadVersion);
            }
            location.write_entry(&self.store);
        }
        let mut end = None;
        while end.is_none() && self.recorder.now() < at + duration + ROLL_OUT_EXTRA {
            Timer::after(POLL_PERIOD).await;
            let order = self.store.object(ROLL_OUTS_KIND, service);
            let state = order.and_then(|order| Some(order["status"]["state"].as_str()?.to_owned()));
            let state = state.filter(|state| FINAL_STATES.contains(&state.as_str()));
            end = state.map(|state| (self.recorder.now(), state));
        }
        self.recorder.lock().roll_outs.push(RollOut {
            service,
            version,
            is_bad,
            at,
            end,
        });
    }

    /// Writes entries that another writer leaves for good: their names end up in the targets of
    /// requests for pages, and their values say nothing.
    async fn write_odd_entries(&self, large: bool) {
        self.wait_store().await;
        let length = if large { LARGE_VALUE_BYTES } else { 0 };
        for kind in WRITTEN_AGAIN {
            for name in ODD_NAMES {
                let spec = json!({ "written by": "another", "value": "x".repeat(length) });
                self.store.put(kind, name, spec);
            }
        }
    }

    /// Writes entries that another writer leaves for good, and that cannot be told from what
    /// follows them.
    async fn write_unbalanced_entries(&self) {
        self.wait_store().await;
        for (name, value) in UNBALANCED_ENTRIES {
            self.store.set_raw(name, value.as_bytes());
            for kind in WRITTEN_AGAIN {
                self.store.put(kind, &format!("{name}-raw"), json!(name));
            }
        }
    }

    /// Takes a failure domain out of service for `duration`.
    async fn take_domain_out(&self, domain: &'static str, duration: Duration) {
        // Operators take a domain back in before they take one out again.
        let _one_at_a_time = self.domain_lock.lock().await;
        self.store
            .put(stand::EVACUATIONS_KIND, domain, serde_json::json!({}));
        let from = self.recorder.now();
        Timer::after(duration).await;
        let to = self.recorder.now();
        self.store.delete(stand::EVACUATIONS_KIND, domain);
        let span = Span { from, to };
        self.recorder
            .lock()
            .domain_outs
            .push(DomainOut { domain, span });
    }

    /// Asks a process to stop and waits for its end. Kills the process after
    /// [`STOP_GRACE`].
    async fn stop(&self, index: usize) {
        let stop_requested_at = self.recorder.now();
        self.vms[index].lock().await.signal(Signal::TERM);
        loop {
            Timer::after(POLL_PERIOD).await;
            let mut vm = self.vms[index].lock().await;
            if !vm.is_stopping() {
                return;
            }
            if self.recorder.now() > stop_requested_at + STOP_GRACE {
                vm.signal(Signal::KILL);
            }
        }
    }

    /// Stops all processes one after another and prevents their restart.
    async fn stop_all(&self) {
        self.finished.store(true, Ordering::SeqCst);
        for index in 0..self.vms.len() {
            if index + 1 == self.vms.len() {
                let mut record = self.recorder.lock();
                record.last_stop = Some(self.recorder.now());
            }
            self.stop(index).await;
        }
    }
}

/// Returns whether the readiness check at `address` responds with status 200.
async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let text = format!("GET {READY_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    let response = MessageReader::new(stream).read_response().await;
    response.is_ok_and(|response| response.is_some_and(|response| response.status == 200))
}

/// Returns whether the store does not serve the operators either.
fn is_outage(fault: StoreFault) -> bool {
    matches!(fault, StoreFault::Unavailable | StoreFault::Unresponsive)
}

fn store_mode(fault: StoreFault) -> Mode {
    match fault {
        StoreFault::Unavailable => Mode::Unavailable,
        StoreFault::Unresponsive => Mode::Unresponsive,
        StoreFault::ResponseLost => Mode::ResponseLost,
        StoreFault::Delayed => Mode::Delayed(STORE_DELAY),
    }
}
