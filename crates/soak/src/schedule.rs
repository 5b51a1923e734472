//! Draws what happens in a run from its seed.

use std::time::Duration;

use crate::link::LinkFault;
use crate::record::VmIndex;
use crate::server::Behavior;

/// The failure domains of a run.
pub const DOMAINS: [&str; 3] = ["north", "south", "east"];
/// The services of a run.
pub const SERVICES: [&str; 3] = ["plans", "orders", "status"];
/// The mean time between two events.
const EVENT_GAP_MEAN: Duration = Duration::from_millis(900);
/// The time before the first event, in which the fleet warms up.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// The shortest fault.
const FAULT_MIN: Duration = Duration::from_millis(300);
/// The longest fault.
const FAULT_MAX: Duration = Duration::from_secs(3);
/// The share of events that come as a series.
const SERIES_SHARE: f64 = 0.2;
/// The time between two events of a series.
const SERIES_STEP: Duration = Duration::from_millis(400);

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entry VMs.
    pub vms: usize,
    /// Servers of each service.
    pub servers: usize,
    /// Callers.
    pub callers: usize,
    /// The span in which events begin.
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
    /// Returns how many places for servers there are.
    pub fn locations(&self) -> usize {
        self.servers * SERVICES.len()
    }
}

/// How the store is harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// It refuses every call.
    Unavailable,
    /// It does not answer.
    Unresponsive,
    /// It does what it is asked for and loses the answer.
    ResponseLost,
    /// It answers late.
    Delayed,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The process is paused for the time of the event.
    Pause(VmIndex),
    /// The process is killed and started again.
    Kill(VmIndex),
    /// The process is asked to stop, and started again.
    Stop(VmIndex),
    /// The process is told that its settings have changed.
    Reload(VmIndex),
    /// All processes are killed at once and started again.
    KillAll,
    /// Connections between callers and a VM are harmed.
    CallerLinkFault(VmIndex, LinkFault),
    /// A VM's way to the store is harmed.
    StoreAccessFault(VmIndex, StoreFault),
    /// Connections of a VM to the store are harmed.
    StoreLinkFault(VmIndex, LinkFault),
    /// The store is harmed for all.
    StoreFault(StoreFault),
    /// The store forgets its history.
    CompactStore,
    /// A server fails in a way.
    ServerFault(usize, Behavior),
    /// Connections to a server are harmed.
    ServerLinkFault(usize, LinkFault),
    /// A server dies and comes back cold; perhaps as one of another service.
    CrashServer(usize, bool),
    /// A server leaves as planned and comes back; perhaps of another service.
    DrainServer(usize, bool),
    /// A failure domain is taken out for the time of the event and longer.
    DomainOut(usize),
    /// Configurations come in quick succession.
    WriteTickets(u8),
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where that has a meaning.
    pub duration: Duration,
    /// What happens.
    pub action: Action,
}

/// Draws the events of a run, in order.
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
    events.sort_by_key(|event| event.at);
    events
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

/// Returns the same act on another part, for the later ones of a series.
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
