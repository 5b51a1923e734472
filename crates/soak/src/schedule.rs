//! Generates the schedule of a run, that is, its faults and planned changes, from
//! its seed.

use std::time::Duration;

use net::cut::Cut;

use crate::caller::ROUTES;
use crate::link::LinkFault;
use crate::record::VmIndex;
use crate::server::Behavior;

/// The failure domains of a run. VMs and servers are spread over them in turn.
pub const DOMAINS: [&str; 3] = ["north", "south", "east"];
/// The services of a run. Each has [`Size::servers`] servers.
pub const SERVICES: [&str; 3] = ["plans", "orders", "status"];
/// The mean of the exponentially distributed time between two events.
const EVENT_GAP_MEAN: Duration = Duration::from_millis(900);
/// The time before the first event, for the fleet to warm up.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// The minimum duration of an event.
const FAULT_MIN: Duration = Duration::from_millis(300);
/// The maximum duration of an event.
const FAULT_MAX: Duration = Duration::from_secs(3);
/// The share of events that are repeated as a series of three, each on the next
/// VM or server where the action has such a target.
const SERIES_SHARE: f64 = 0.2;
/// The mean of the exponentially distributed time between two events that concern
/// notices of servers and restored stores.
const NOTICE_GAP_MEAN: Duration = Duration::from_secs(4);
/// Keeps the draws of these events apart from those of the others, whose schedules stay
/// the same for each seed.
const NOTICE_SEED: u64 = 0x6e6f_7469_6365;
/// Keeps the draws of long outages apart from those of the other events.
const OUTAGE_SEED: u64 = 0x6f75_7461_6765;
/// The share of runs with a long outage of the store.
const OUTAGE_SHARE: f64 = 0.5;
/// The minimum duration of a long outage.
const OUTAGE_MIN: Duration = Duration::from_secs(4);
/// The maximum duration of a long outage.
const OUTAGE_MAX: Duration = Duration::from_secs(9);
/// Keeps the draws of rate limits apart from those of the other events.
const RATE_LIMIT_SEED: u64 = 0x6c69_6d69_7473;
/// The number of servers that limit the rate of their calls for a while.
const RATE_LIMITS: usize = 2;
/// The minimum time for which a server limits the rate of its calls. The limit is checked
/// only from the third second on.
const RATE_LIMIT_TIME_MIN: Duration = Duration::from_secs(6);
/// The maximum time for which a server limits the rate of its calls.
const RATE_LIMIT_TIME_MAX: Duration = Duration::from_secs(10);
/// The highest rate limit, in calls per second.
const RATE_LIMIT_MAX: u64 = 4;
/// Keeps the draws of requests that make servers crash apart from those of the other events.
const POISON_SEED: u64 = 0x6465_6164_6c79;
/// The share of runs with a request that makes servers crash.
const POISON_SHARE: f64 = 0.5;
/// For how long such a request is repeated.
const POISON_TIME: Duration = Duration::from_secs(8);
/// Keeps the draws of partitions apart from those of the other events.
const PARTITION_SEED: u64 = 0x7061_7274_6564;
/// The share of runs in which VMs are cut off from all servers.
const PARTITION_SHARE: f64 = 0.5;
/// The minimum duration of a partition. It is checked only from the third second on.
const PARTITION_MIN: Duration = Duration::from_secs(5);
/// The maximum duration of a partition.
const PARTITION_MAX: Duration = Duration::from_secs(8);
/// Keeps the draws of roll-outs apart from those of the other events.
const ROLL_OUT_SEED: u64 = 0x726f_6c6c;
/// The share of runs with a roll-out of a bad version among the faults, and of those with
/// one of a good version after them.
const BAD_ROLL_OUT_SHARE: f64 = 0.5;
const GOOD_ROLL_OUT_SHARE: f64 = 0.25;
/// Keeps the draws of odd entries apart from those of the other events.
const ODD_ENTRY_SEED: u64 = 0x6f64_6464;
/// The share of runs in which another writer leaves odd entries.
const ODD_ENTRY_SHARE: f64 = 0.5;
/// The time from these entries until all VMs are killed, so that new ones read them.
const ODD_ENTRY_LEAD: Duration = Duration::from_millis(700);
/// The longest rest that a server asks for, in seconds.
const REST_MAX_SECS: u64 = 3;
/// The time between the starts of two events of a series.
const SERIES_STEP: Duration = Duration::from_millis(400);

/// The time in which a version is rolled out.
pub const ROLL_OUT_TIME: Duration = Duration::from_secs(12);

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of entry VMs.
    pub vms: usize,
    /// The number of servers of each service.
    pub servers: usize,
    /// The number of concurrent callers.
    pub callers: usize,
    /// The length of the time span in which events start. The run itself lasts
    /// longer, since it waits for the last event and for recovery.
    pub time: Duration,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            vms: 6,
            servers: 5,
            callers: 30,
            time: Duration::from_secs(12),
        }
    }
}

impl Size {
    /// Returns the number of server locations, that is, of servers of all services.
    pub fn locations(&self) -> usize {
        self.servers * SERVICES.len()
    }
}

/// A fault of the registry store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store refuses every call.
    Unavailable,
    /// The store does not respond.
    Unresponsive,
    /// The store executes requests, but their responses are lost.
    ResponseLost,
    /// The store responds late.
    Delayed,
}

/// What an event does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Pauses the process of a VM (SIGSTOP) for the duration of the event.
    Pause(VmIndex),
    /// Kills the process of a VM, which is then restarted.
    Kill(VmIndex),
    /// Asks the process of a VM to stop (SIGTERM); it is then restarted.
    Stop(VmIndex),
    /// Tells the process of a VM to reload its settings (SIGHUP).
    Reload(VmIndex),
    /// Kills the processes of all VMs at once; they are then restarted.
    KillAll,
    /// Injects a fault into the connections between callers and a VM.
    CallerLinkFault(VmIndex, LinkFault),
    /// Injects a store fault that only one VM observes.
    StoreAccessFault(VmIndex, StoreFault),
    /// Injects a fault into the connections of a VM to the store.
    StoreLinkFault(VmIndex, LinkFault),
    /// Injects a store fault that all VMs observe.
    StoreFault(StoreFault),
    /// Compacts the store, which discards its history of changes.
    CompactStore,
    /// Makes the server of a location behave faultily.
    ServerFault(usize, Behavior),
    /// Injects a fault into the connections to the server of a location.
    ServerLinkFault(usize, LinkFault),
    /// Crashes the server of a location, which later restarts cold. The flag says
    /// whether the location changes service.
    CrashServer(usize, bool),
    /// Drains and stops the server of a location, which later restarts cold. The
    /// flag says whether the location changes service.
    DrainServer(usize, bool),
    /// The server of a location says in its responses that it leaves, and the store has
    /// it only after the duration of the event. Otherwise as [`Action::DrainServer`].
    LeaveServer(usize, bool),
    /// The server of a location says in its responses how many calls a second it takes.
    LimitRate(usize, u64),
    /// The store is unavailable for the duration of the event and comes back from a
    /// copy that was made before.
    RestoreStore,
    /// Injects a store fault that all VMs observe and in which the entries of all servers
    /// lapse. The servers write them again soon after the end of the event.
    LapseEntries(StoreFault),
    /// Takes a failure domain, given by its index in [`DOMAINS`], out of service
    /// for the duration of the event and some seconds more.
    DomainOut(usize),
    /// Writes a number of configurations in quick succession.
    WriteTickets(u8),
    /// A caller repeats a request on the given route that makes servers crash.
    RepeatPoison(usize),
    /// Rolls a bad version out within the duration of the event.
    RollOutBad,
    /// Another writer leaves entries with odd names among all kinds of objects. They stay. The
    /// flag says whether the entries are large, too large together for one response.
    WriteOddEntries(bool),
    /// Another writer leaves entries whose quotes or brackets do not match among all kinds of
    /// objects. They stay.
    WriteUnbalancedEntries,
    /// Cuts the connections to all servers of this many VMs, from the given one on.
    CutPaths(VmIndex, usize, Cut),
}

/// A scheduled fault or planned change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When the event starts, from the start of the schedule.
    pub at: Duration,
    /// The duration of the event; ignored by actions without a duration.
    pub duration: Duration,
    /// What the event does.
    pub action: Action,
}

/// Generates the events of a run, ordered by start time. The same seed and size
/// give the same events.
pub fn generate(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut at = WARM_UP_TIME;
    while at < WARM_UP_TIME + size.time {
        let action = draw_action(&mut rng, size);
        let count = if rng.f64() < SERIES_SHARE { 3 } else { 1 };
        for step in 0..count {
            events.push(Event {
                at: at + SERIES_STEP * step,
                duration: FAULT_MIN + (FAULT_MAX - FAULT_MIN).mul_f64(rng.f64().powi(2)),
                action: shift_target(action, step as usize, size),
            });
        }
        at += EVENT_GAP_MEAN.mul_f64(-(1.0 - rng.f64()).ln());
    }
    events.extend(generate_notices(seed, size));
    events.extend(generate_outage(seed, size));
    events.extend(generate_rate_limits(seed, size));
    events.extend(generate_poison(seed, size));
    events.extend(generate_partition(seed, size));
    events.extend(generate_bad_roll_out(seed, size));
    events.extend(generate_odd_entries(seed, size));
    events.sort_by_key(|event| event.at);
    events
}

/// Generates the events that concern notices of servers and restored stores.
fn generate_notices(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed ^ NOTICE_SEED);
    let mut events = Vec::new();
    let mut at = WARM_UP_TIME;
    loop {
        at += NOTICE_GAP_MEAN.mul_f64(-(1.0 - rng.f64()).ln());
        if at >= WARM_UP_TIME + size.time {
            return events;
        }
        let location = rng.usize(..size.locations());
        let action = match rng.u8(..3) {
            0 => Action::LeaveServer(location, rng.bool()),
            1 => Action::RestoreStore,
            _ => {
                let rest = Behavior::Resting(rng.u64(1..=REST_MAX_SECS));
                Action::ServerFault(location, rest)
            }
        };
        let duration = FAULT_MIN + (FAULT_MAX - FAULT_MIN).mul_f64(rng.f64());
        events.push(Event {
            at,
            duration,
            action,
        });
    }
}

/// Generates the long outage of a run, if it has one.
fn generate_outage(seed: u64, size: &Size) -> Option<Event> {
    let mut rng = fastrand::Rng::with_seed(seed ^ OUTAGE_SEED);
    let has_outage = rng.f64() < OUTAGE_SHARE;
    let fault = if rng.bool() {
        StoreFault::Unresponsive
    } else {
        StoreFault::Unavailable
    };
    let event = Event {
        at: WARM_UP_TIME + size.time.mul_f64(rng.f64()),
        duration: OUTAGE_MIN + (OUTAGE_MAX - OUTAGE_MIN).mul_f64(rng.f64()),
        action: Action::LapseEntries(fault),
    };
    has_outage.then_some(event)
}

/// Generates the events in which servers limit the rate of their calls.
fn generate_rate_limits(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed ^ RATE_LIMIT_SEED);
    // A server names one limit at most, by which its requests are counted.
    let mut locations: Vec<usize> = (0..size.locations()).collect();
    rng.shuffle(&mut locations);
    let events = locations
        .into_iter()
        .take(RATE_LIMITS)
        .map(|location| Event {
            at: WARM_UP_TIME + size.time.mul_f64(rng.f64()),
            duration: RATE_LIMIT_TIME_MIN
                + (RATE_LIMIT_TIME_MAX - RATE_LIMIT_TIME_MIN).mul_f64(rng.f64()),
            action: Action::LimitRate(location, rng.u64(1..=RATE_LIMIT_MAX)),
        });
    events.collect()
}

/// Generates the request of a run that makes servers crash, if it has one.
fn generate_poison(seed: u64, size: &Size) -> Option<Event> {
    let mut rng = fastrand::Rng::with_seed(seed ^ POISON_SEED);
    let has_poison = rng.f64() < POISON_SHARE;
    let event = Event {
        at: WARM_UP_TIME + size.time.mul_f64(rng.f64() / 2.0),
        duration: POISON_TIME,
        action: Action::RepeatPoison(rng.usize(..ROUTES.len())),
    };
    has_poison.then_some(event)
}

/// Generates the partition of a run, if it has one. Some VMs keep their paths.
fn generate_partition(seed: u64, size: &Size) -> Option<Event> {
    let mut rng = fastrand::Rng::with_seed(seed ^ PARTITION_SEED);
    let has_partition = rng.f64() < PARTITION_SHARE;
    let count = rng.usize(1..size.vms.max(2));
    let cut = Cut::ALL[rng.usize(..Cut::ALL.len())];
    let event = Event {
        at: WARM_UP_TIME + size.time.mul_f64(rng.f64() / 2.0),
        duration: PARTITION_MIN + (PARTITION_MAX - PARTITION_MIN).mul_f64(rng.f64()),
        action: Action::CutPaths(rng.usize(..size.vms), count, cut),
    };
    (has_partition && size.vms > 1).then_some(event)
}

/// Generates the roll-out of a bad version, if the run has one.
fn generate_bad_roll_out(seed: u64, size: &Size) -> Option<Event> {
    let mut rng = fastrand::Rng::with_seed(seed ^ ROLL_OUT_SEED);
    let has_roll_out = rng.f64() < BAD_ROLL_OUT_SHARE;
    let event = Event {
        at: WARM_UP_TIME + size.time.mul_f64(rng.f64() / 4.0),
        duration: ROLL_OUT_TIME,
        action: Action::RollOutBad,
    };
    has_roll_out.then_some(event)
}

/// Generates the odd entries of a run, if it has them, and a restart of all VMs after them.
fn generate_odd_entries(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed ^ ODD_ENTRY_SEED);
    let has_entries = rng.f64() < ODD_ENTRY_SHARE;
    let at = WARM_UP_TIME + size.time.mul_f64(rng.f64());
    let event = |at, action| Event {
        at,
        duration: FAULT_MIN,
        action,
    };
    let written = event(at, Action::WriteOddEntries(rng.bool()));
    let unbalanced = event(at, Action::WriteUnbalancedEntries);
    let killed = event(at + ODD_ENTRY_LEAD, Action::KillAll);
    match (has_entries, rng.bool()) {
        (true, true) => vec![written, unbalanced, killed],
        (true, false) => vec![written, killed],
        (false, _) => Vec::new(),
    }
}

/// Returns whether a good version is rolled out after the faults of the run.
pub fn has_good_roll_out(seed: u64) -> bool {
    let mut rng = fastrand::Rng::with_seed(!seed ^ ROLL_OUT_SEED);
    rng.f64() < GOOD_ROLL_OUT_SHARE
}

fn draw_action(rng: &mut fastrand::Rng, size: &Size) -> Action {
    let vm = rng.usize(..size.vms);
    let location = rng.usize(..size.locations());
    match rng.u8(..25) {
        0 | 1 => Action::Pause(vm),
        2 => Action::Kill(vm),
        3..=5 => Action::Stop(vm),
        6 => Action::KillAll,
        7 => Action::CallerLinkFault(vm, draw_link_fault(rng)),
        8 | 9 => Action::StoreAccessFault(vm, draw_store_fault(rng)),
        10 => Action::StoreLinkFault(vm, draw_link_fault(rng)),
        11 => Action::StoreFault(draw_store_fault(rng)),
        12 => Action::CompactStore,
        13 | 14 => Action::ServerFault(location, draw_behavior(rng)),
        15 | 16 => Action::ServerLinkFault(location, draw_link_fault(rng)),
        17 => Action::CrashServer(location, rng.bool()),
        18 => Action::DrainServer(location, rng.bool()),
        19 => Action::DomainOut(rng.usize(..DOMAINS.len())),
        20 => Action::WriteTickets(4),
        21 => Action::Reload(vm),
        _ => Action::WriteTickets(1),
    }
}

/// Returns `action` on the VM or location that is `step` after its target, for the
/// later events of a series. Actions without such a target are returned as they are.
fn shift_target(action: Action, step: usize, size: &Size) -> Action {
    let vm = |index: VmIndex| (index + step) % size.vms;
    let location = |index: usize| (index + step) % size.locations();
    match action {
        Action::Pause(index) => Action::Pause(vm(index)),
        Action::Kill(index) => Action::Kill(vm(index)),
        Action::Stop(index) => Action::Stop(vm(index)),
        Action::Reload(index) => Action::Reload(vm(index)),
        Action::CallerLinkFault(index, fault) => Action::CallerLinkFault(vm(index), fault),
        Action::StoreAccessFault(index, fault) => Action::StoreAccessFault(vm(index), fault),
        Action::StoreLinkFault(index, fault) => Action::StoreLinkFault(vm(index), fault),
        Action::ServerFault(index, behavior) => Action::ServerFault(location(index), behavior),
        Action::ServerLinkFault(index, fault) => Action::ServerLinkFault(location(index), fault),
        Action::CrashServer(index, change_service) => {
            Action::CrashServer(location(index), change_service)
        }
        Action::DrainServer(index, change_service) => {
            Action::DrainServer(location(index), change_service)
        }
        other => other,
    }
}

fn draw_link_fault(rng: &mut fastrand::Rng) -> LinkFault {
    match rng.u8(..4) {
        0 => LinkFault::Delay(Duration::from_millis(rng.u64(20..300))),
        1 => LinkFault::Reset,
        2 => LinkFault::OneWay,
        _ => LinkFault::Blackhole,
    }
}

fn draw_store_fault(rng: &mut fastrand::Rng) -> StoreFault {
    match rng.u8(..4) {
        0 => StoreFault::Unavailable,
        1 => StoreFault::Unresponsive,
        2 => StoreFault::ResponseLost,
        _ => StoreFault::Delayed,
    }
}

fn draw_behavior(rng: &mut fastrand::Rng) -> Behavior {
    match rng.u8(..5) {
        0 => Behavior::Slow(5.0),
        1 => Behavior::IntermittentErrors,
        2 => Behavior::CorruptResponses,
        3 => Behavior::LostResponses,
        _ => Behavior::Unresponsive,
    }
}
