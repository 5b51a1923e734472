//! Draws what happens in a run from its seed.

use std::time::Duration;

use crate::link::Harm;
use crate::record::VmAt;
use crate::server::Manner;

/// The failure domains of a run.
pub const DOMAINS: [&str; 3] = ["north", "south", "east"];
/// The services of a run.
pub const SERVICES: [&str; 3] = ["plans", "orders", "status"];
/// The mean time between two events.
const GAP: Duration = Duration::from_millis(900);
/// The time before the first event, in which the fleet warms up.
const LEAD: Duration = Duration::from_secs(2);
/// The shortest fault.
const SHORT: Duration = Duration::from_millis(300);
/// The longest fault.
const LONG: Duration = Duration::from_secs(3);
/// The share of events that come as a series.
const SERIES: f64 = 0.2;
/// The time between two events of a series.
const STEP: Duration = Duration::from_millis(400);

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
    pub fn places(&self) -> usize {
        self.servers * SERVICES.len()
    }
}

/// How the store is harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// It refuses every call.
    Refuses,
    /// It does not answer.
    Silent,
    /// It does what it is asked for and loses the answer.
    Loses,
    /// It answers late.
    Slow,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// The process is paused for the time of the event.
    Pause(VmAt),
    /// The process is killed and started again.
    Kill(VmAt),
    /// The process is asked to stop, and started again.
    Stop(VmAt),
    /// The process is told that its settings have changed.
    Reload(VmAt),
    /// All processes are killed at once and started again.
    KillAll,
    /// Connections between callers and a VM are harmed.
    CallerLinks(VmAt, Harm),
    /// A VM's way to the store is harmed.
    StoreAccess(VmAt, Store),
    /// Connections of a VM to the store are harmed.
    StoreLink(VmAt, Harm),
    /// The store is harmed for all.
    Store(Store),
    /// The store forgets its history.
    Forget,
    /// A server fails in a way.
    Server(usize, Manner),
    /// Connections to a server are harmed.
    ServerLink(usize, Harm),
    /// A server dies and comes back cold; perhaps as one of another service.
    Crash(usize, bool),
    /// A server leaves as planned and comes back; perhaps of another service.
    Leave(usize, bool),
    /// A failure domain is taken out for the time of the event and longer.
    Out(usize),
    /// Configurations come in quick succession.
    Tickets(u8),
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where that has a meaning.
    pub lasts: Duration,
    /// What happens.
    pub act: Act,
}

/// Draws the events of a run, in order.
pub fn draw(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut at = LEAD;
    while at < LEAD + size.time {
        let act = act(&mut rng, size);
        let count = if rng.f64() < SERIES { 3 } else { 1 };
        for step in 0..count {
            events.push(Event {
                at: at + STEP * step,
                lasts: SHORT + (LONG - SHORT).mul_f64(rng.f64().powi(2)),
                act: aim(act, step as usize, size),
            });
        }
        at += GAP.mul_f64(-(1.0 - rng.f64()).ln());
    }
    events.sort_by_key(|event| event.at);
    events
}

fn act(rng: &mut fastrand::Rng, size: &Size) -> Act {
    let vm = rng.usize(..size.vms);
    let place = rng.usize(..size.places());
    match rng.u8(..25) {
        0 | 1 => Act::Pause(vm),
        2 => Act::Kill(vm),
        3..=5 => Act::Stop(vm),
        6 => Act::KillAll,
        7 => Act::CallerLinks(vm, harm(rng)),
        8 | 9 => Act::StoreAccess(vm, store(rng)),
        10 => Act::StoreLink(vm, harm(rng)),
        11 => Act::Store(store(rng)),
        12 => Act::Forget,
        13 | 14 => Act::Server(place, manner(rng)),
        15 | 16 => Act::ServerLink(place, harm(rng)),
        17 => Act::Crash(place, rng.bool()),
        18 => Act::Leave(place, rng.bool()),
        19 => Act::Out(rng.usize(..DOMAINS.len())),
        20 => Act::Tickets(4),
        21 => Act::Reload(vm),
        _ => Act::Tickets(1),
    }
}

/// Returns the same act on another part, for the later ones of a series.
fn aim(act: Act, step: usize, size: &Size) -> Act {
    let vm = |at: VmAt| (at + step) % size.vms;
    let place = |at: usize| (at + step) % size.places();
    match act {
        Act::Pause(at) => Act::Pause(vm(at)),
        Act::Kill(at) => Act::Kill(vm(at)),
        Act::Stop(at) => Act::Stop(vm(at)),
        Act::Reload(at) => Act::Reload(vm(at)),
        Act::CallerLinks(at, harm) => Act::CallerLinks(vm(at), harm),
        Act::StoreAccess(at, store) => Act::StoreAccess(vm(at), store),
        Act::StoreLink(at, harm) => Act::StoreLink(vm(at), harm),
        Act::Server(at, manner) => Act::Server(place(at), manner),
        Act::ServerLink(at, harm) => Act::ServerLink(place(at), harm),
        Act::Crash(at, other) => Act::Crash(place(at), other),
        Act::Leave(at, other) => Act::Leave(place(at), other),
        other => other,
    }
}

fn harm(rng: &mut fastrand::Rng) -> Harm {
    match rng.u8(..4) {
        0 => Harm::Delay(Duration::from_millis(rng.u64(20..300))),
        1 => Harm::Reset,
        2 => Harm::OneWay,
        _ => Harm::Silence,
    }
}

fn store(rng: &mut fastrand::Rng) -> Store {
    match rng.u8(..4) {
        0 => Store::Refuses,
        1 => Store::Silent,
        2 => Store::Loses,
        _ => Store::Slow,
    }
}

fn manner(rng: &mut fastrand::Rng) -> Manner {
    match rng.u8(..5) {
        0 => Manner::Slow(5.0),
        1 => Manner::Grey,
        2 => Manner::Garbles,
        3 => Manner::Loses,
        _ => Manner::Hangs,
    }
}
