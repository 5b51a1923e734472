//! A few VMs with one shard, and a network that does its worst.
//!
//! Each step is a byte or two of a generated script: a VM asks for a permit, a
//! message is delivered, lost, doubled or overtaken, a VM is paused, restarted
//! or given another view of who is alive. After each step the invariants are
//! checked; a failure names the broken one and the last steps.

#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use base::Class;
use base::Outcome;
use base::ServerId;
use base::Time;
use base::VmId;
use route::follower::Event;
use route::ledger::Action;
use route::ledger::Fleet;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::Envelope;
use route::msg::PermitRequest;
use route::msg::Release;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::verify;
use route::AttemptId;
use route::Coordinator;
use route::Follower;
use route::Msg;
use route::ShardSpec;

/// VMs in the world.
pub(crate) const VMS: usize = 4;
/// Backend servers in the world.
pub(crate) const SERVERS: usize = 2;
/// The time that one step takes.
const STEP: Duration = Duration::from_millis(3);
/// Messages in flight beyond which old ones are lost.
const FLIGHT_MAX: usize = 400;

/// A message on its way.
#[derive(Clone, Debug)]
struct Flight {
    from: VmId,
    envelope: Envelope,
}

/// One VM of the world.
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) coordinator: Coordinator,
    pub(crate) follower: Follower,
    alive: Vec<VmId>,
    paused: bool,
    life: u32,
    running: Vec<(AttemptId, ServerId)>,
    pub(crate) asked: u64,
    pub(crate) ended: u64,
}

/// The world.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) spec: Arc<ShardSpec>,
    pub(crate) vms: Vec<Vm>,
    flights: Vec<Flight>,
    log: Vec<String>,
}

/// Makes a service whose servers have `slots` and grow after `grow` answers.
pub(crate) fn spec(slots: u32, grow: u32) -> Arc<ShardSpec> {
    let server = |n: usize| ServerSpec {
        id: base::id::server("s", &format!("{n}")),
        domain: n as u64,
        slots,
        connections: 220,
        open: true,
        announced: Announcement::Unknown,
    };
    let mut spec = ShardSpec::new(base::id::service("s"), (0..SERVERS).map(server).collect());
    spec.grow_after = grow;
    Arc::new(spec)
}

pub(crate) fn ask(left: Duration) -> PermitRequest {
    PermitRequest {
        class: Class::Interactive,
        left,
        goal: left,
        late_wait: left / 8,
        kind: AttemptKind::First,
        avoid: Vec::new(),
        domain: 0,
    }
}

impl World {
    pub(crate) fn new(spec: Arc<ShardSpec>) -> Self {
        let mut ids: Vec<VmId> = (0..VMS).map(|n| base::id::vm(&format!("{n}"))).collect();
        ids.sort_unstable();
        let vms = ids.iter().map(|&id| Vm {
            id,
            coordinator: Coordinator::new(id, spec.clone()),
            follower: Follower::new(spec.shard, id, 1),
            alive: ids.clone(),
            paused: false,
            life: 1,
            running: Vec::new(),
            asked: 0,
            ended: 0,
        });
        let mut world = Self {
            now: Time::from_secs(1),
            vms: vms.collect(),
            flights: Vec::new(),
            log: Vec::new(),
            spec,
        };
        for at in 0..VMS {
            world.update(at);
        }
        world
    }

    /// Returns the place of the VM that the first one follows as home.
    pub(crate) fn home(&self) -> usize {
        let home = self.vms[0].follower.home().unwrap();
        self.vms.iter().position(|vm| vm.id == home).unwrap()
    }

    fn ids(&self) -> Vec<VmId> {
        self.vms.iter().map(|vm| vm.id).collect()
    }

    /// Tells a VM its view of the others.
    fn update(&mut self, at: usize) {
        let ids = self.ids();
        let vm = &mut self.vms[at];
        vm.follower
            .set_fleet(&vm.alive, &vm.alive, &self.spec, self.now);
        let fleet = Fleet {
            vms: &ids,
            alive: &vm.alive,
            undiscovered: 0,
        };
        vm.coordinator.set_fleet(fleet, self.now);
        self.collect(at);
    }

    /// Takes up what a VM wants to send, and notes what it was granted.
    fn collect(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        let from = vm.id;
        let mut out = Vec::new();
        let mut over = None;
        for action in vm.coordinator.take_actions() {
            match action {
                Action::Send(envelope) => out.push(envelope),
                Action::StepDown(epoch) => over = Some(epoch),
                Action::Probe(_) => {}
            }
        }
        if let Some(epoch) = over {
            vm.coordinator.step_down(epoch, self.now);
        }
        for event in vm.follower.take_events() {
            match event {
                Event::Send(envelope) => out.push(envelope),
                Event::Granted { call, server } => vm.running.push((call, server)),
                Event::Refused { .. } => vm.ended += 1,
                Event::HomeUnresponsive(_) => {}
            }
        }
        let flights = out.into_iter().map(|envelope| Flight { from, envelope });
        self.flights.extend(flights);
        let excess = self.flights.len().saturating_sub(FLIGHT_MAX);
        self.flights.drain(..excess);
    }

    fn deliver(&mut self, flight: Flight) {
        let to = flight.envelope.to;
        let Some(at) = self.vms.iter().position(|vm| vm.id == to) else {
            return;
        };
        if self.vms[at].paused {
            return;
        }
        let ids = self.ids();
        let vm = &mut self.vms[at];
        let Msg { shard, body } = flight.envelope.msg;
        if body.is_for_home() {
            let chosen = base::rendezvous::first(shard, &vm.alive) == Some(vm.id);
            let fleet = Fleet {
                vms: &ids,
                alive: &vm.alive,
                undiscovered: 0,
            };
            vm.coordinator
                .receive(flight.from, body, fleet, chosen, self.now);
        } else {
            if let Body::Lead { epoch, .. } = body {
                if let Some(legacy) = vm.coordinator.step_down(epoch, self.now) {
                    vm.follower
                        .adopt_summaries(legacy.epoch, legacy.servers, self.now);
                }
            }
            vm.follower.receive(flight.from, body, self.now);
        }
        self.collect(at);
    }

    pub(crate) fn acquire(&mut self, at: usize, left: Duration) {
        let vm = &mut self.vms[at];
        if vm.paused {
            return;
        }
        vm.asked += 1;
        vm.follower.acquire(ask(left), self.now);
        self.collect(at);
    }

    pub(crate) fn release(&mut self, at: usize, outcome: Outcome) {
        let vm = &mut self.vms[at];
        if vm.paused || vm.running.is_empty() {
            return;
        }
        let (call, server) = vm.running.remove(0);
        vm.ended += 1;
        let release = Release {
            call,
            server,
            outcome,
            took: Duration::from_millis(10),
            load: None,
        };
        vm.follower.release(release, self.now);
        self.collect(at);
    }

    /// Lets a VM see that `server` closed an idle connection.
    pub(crate) fn lost(&mut self, at: usize, server: ServerId) {
        self.vms[at].follower.connection_lost(server, self.now);
        self.collect(at);
    }

    /// Lets all others know that `dead` does not answer any more.
    pub(crate) fn all_lead_without(&mut self, dead: usize) {
        for at in (0..VMS).filter(|at| *at != dead) {
            self.lead_without(at, dead);
        }
    }

    /// Lets a VM know that `dead` does not answer any more.
    pub(crate) fn lead_without(&mut self, at: usize, dead: usize) {
        let gone = self.vms[dead].id;
        self.vms[at].alive.retain(|vm| *vm != gone);
        self.update(at);
    }

    /// Delivers what VM `at` sends, and what is sent to it, until there is
    /// nothing left; other messages stay on their way.
    pub(crate) fn deliver_between(&mut self, at: usize) {
        let id = self.vms[at].id;
        let concerns = |flight: &Flight| flight.from == id || flight.envelope.to == id;
        while let Some(next) = self.flights.iter().position(concerns) {
            let flight = self.flights.remove(next);
            self.deliver(flight);
        }
    }

    /// Drops all messages that are on their way.
    pub(crate) fn lose_all(&mut self) {
        self.flights.clear();
    }

    /// Takes all servers out, or lets them get work again.
    pub(crate) fn set_open(&mut self, open: bool) {
        let mut spec = (*self.spec).clone();
        for server in &mut spec.servers {
            server.open = open;
        }
        self.spec = Arc::new(spec);
        for at in 0..VMS {
            self.vms[at]
                .coordinator
                .set_spec(self.spec.clone(), self.now);
            self.update(at);
        }
    }

    /// Ends one life of a VM and begins the next; its calls end with it.
    fn restart(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.life += 1;
        vm.coordinator = Coordinator::new(vm.id, self.spec.clone());
        vm.follower = Follower::new(self.spec.shard, vm.id, vm.life);
        vm.running.clear();
        vm.paused = false;
        vm.asked = 0;
        vm.ended = 0;
        self.update(at);
    }

    fn set_paused(&mut self, at: usize, paused: bool) {
        let woken = self.vms[at].paused && !paused;
        self.vms[at].paused = paused;
        if woken {
            self.vms[at].coordinator.resume_after_pause();
            self.vms[at].follower.resume_after_pause(self.now);
            self.collect(at);
        }
    }

    /// Stops a VM where it is.
    pub(crate) fn pause(&mut self, at: usize) {
        self.set_paused(at, true);
    }

    pub(crate) fn tick(&mut self, time: Duration) {
        self.now += time;
        for at in 0..VMS {
            if !self.vms[at].paused {
                self.vms[at].follower.tick(self.now);
                self.vms[at].coordinator.tick(self.now);
                self.collect(at);
            }
        }
    }

    /// Does one step of a script.
    pub(crate) fn step(&mut self, what: u8, which: u8) {
        let at = usize::from(which) % VMS;
        self.log.push(format!("{what} {which}"));
        match what % 16 {
            0..=2 => self.acquire(at, Duration::from_secs(2)),
            3..=7 => self.deliver_some(usize::from(which), 4),
            8 => self.lose(usize::from(which)),
            9 => self.double(usize::from(which)),
            10 => self.release(at, Outcome::Done),
            11 => self.tick(STEP),
            12 => self.change_view(at, which),
            13 => self.set_paused(at, which >= 128),
            14 if which < 32 => self.restart(at),
            14 => self.release(at, Outcome::Broken),
            _ => {
                self.deliver_some(usize::from(which), 16);
                self.tick(STEP * 4);
            }
        }
    }

    fn deliver_some(&mut self, from: usize, count: usize) {
        for i in 0..count {
            if self.flights.is_empty() {
                return;
            }
            let at = (from + i * 7) % self.flights.len();
            let flight = self.flights.remove(at);
            self.deliver(flight);
        }
    }

    fn lose(&mut self, which: usize) {
        if !self.flights.is_empty() {
            let at = which % self.flights.len();
            self.flights.remove(at);
        }
    }

    fn double(&mut self, which: usize) {
        if !self.flights.is_empty() {
            let again = self.flights[which % self.flights.len()].clone();
            self.flights.push(again);
        }
    }

    fn change_view(&mut self, at: usize, which: u8) {
        let ids = self.ids();
        let mine = self.vms[at].id;
        let sees = |i: usize| (which >> (i + 2)) & 1 == 1;
        let alive = ids
            .iter()
            .enumerate()
            .filter(|(i, id)| sees(*i) || **id == mine);
        self.vms[at].alive = alive.map(|(_, id)| *id).collect();
        self.update(at);
    }

    /// Ends all trouble and runs until nothing is on its way.
    pub(crate) fn settle(&mut self, time: Duration) {
        let ids = self.ids();
        for at in 0..VMS {
            self.set_paused(at, false);
            self.vms[at].alive = ids.clone();
            self.update(at);
        }
        let end = self.now + time;
        while self.now < end {
            while !self.flights.is_empty() {
                let flight = self.flights.remove(0);
                self.deliver(flight);
            }
            for at in 0..VMS {
                self.release(at, Outcome::Done);
            }
            self.tick(STEP);
        }
    }

    /// Returns the calls in flight at `server` over the whole fleet, as the
    /// VMs that send them know.
    pub(crate) fn in_flight(&self, server: ServerId) -> usize {
        let running = self.vms.iter().flat_map(|vm| &vm.running);
        running.filter(|(_, at)| *at == server).count()
    }

    /// Checks what must always hold; `limit` bounds the calls at each server.
    pub(crate) fn check(&self, limit: usize) {
        for vm in &self.vms {
            if let Some(ledger) = vm.coordinator.ledger() {
                let broken = verify::check(ledger);
                assert!(broken.is_empty(), "{}\nafter {}", broken[0], self.story());
            }
        }
        for server in &self.spec.servers {
            let busy = self.in_flight(server.id);
            assert!(
                busy <= limit,
                "{busy} calls in flight at server {:x}, which bears {limit}, after {}",
                server.id,
                self.story()
            );
        }
    }

    pub(crate) fn story(&self) -> String {
        let from = self.log.len().saturating_sub(40);
        self.log[from..].join(", ")
    }
}
