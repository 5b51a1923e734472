//! A simulation of a few VMs that share one shard over a faulty network.
//!
//! A generated script drives the simulation. Each step of it is two bytes, which
//! make a VM request or release a permit, deliver, drop or duplicate messages,
//! pause or restart a VM, change its view of the membership, or advance the time.
//! Tests check the invariants after each step; a failed check names the violation
//! and the last steps.

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
use route::msg::Ranking;
use route::msg::Release;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::verify;
use route::AttemptId;
use route::Coordinator;
use route::Follower;
use route::HomeId;
use route::Msg;
use route::ShardSpec;

/// Number of VMs in the simulation.
pub(crate) const VMS: usize = 4;
/// Number of backend servers in the simulation.
pub(crate) const SERVERS: usize = 2;
/// The smallest step of the simulated time.
const TICK: Duration = Duration::from_millis(3);
/// The most messages in flight; beyond that, the oldest are dropped.
const PACKETS_MAX: usize = 400;

/// A message in flight.
#[derive(Clone, Debug)]
struct Packet {
    from: VmId,
    envelope: Envelope,
}

/// One VM of the simulation.
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) coordinator: Coordinator,
    pub(crate) follower: Follower,
    /// The VMs that respond according to this VM, sorted; includes the VM itself.
    alive: Vec<VmId>,
    paused: bool,
    boot_id: u32,
    /// Attempts that hold a permit, with their servers, in the order of the grants.
    running: Vec<(AttemptId, ServerId)>,
    /// Permit requests since the VM's last restart.
    pub(crate) requested: u64,
    /// Grants since the start of the simulation.
    pub(crate) granted: usize,
    /// Attempts that were refused or released since the VM's last restart.
    pub(crate) ended: u64,
}

/// The state of the simulation.
pub(crate) struct Sim {
    pub(crate) now: Time,
    pub(crate) spec: Arc<ShardSpec>,
    pub(crate) vms: Vec<Vm>,
    packets: Vec<Packet>,
    /// VMs that have stopped and left the membership.
    removed: Vec<VmId>,
    /// The steps that the script has made so far.
    steps: Vec<String>,
}

/// Returns a shard of [`SERVERS`] servers with `slots` each, whose limits grow by
/// one after `grow_after` healthy responses.
pub(crate) fn spec(slots: u32, grow_after: u32) -> Arc<ShardSpec> {
    let server = |n: usize| ServerSpec {
        id: base::id::server("s", &format!("{n}")),
        domain: n as u64,
        slots,
        connections: 220,
        open: true,
        version: Default::default(),
        announced: Announcement::Unknown,
    };
    let mut spec = ShardSpec::new(base::id::service("s"), (0..SERVERS).map(server).collect());
    spec.grow_after = grow_after;
    Arc::new(spec)
}

/// Returns a permit request of a call that has `left` until its deadline, which is
/// also its target latency.
pub(crate) fn request(left: Duration) -> PermitRequest {
    PermitRequest {
        class: Class::Interactive,
        left,
        goal: left,
        late_wait: left / 8,
        kind: AttemptKind::First,
        avoid: Vec::new(),
        domain: 0,
        ranking: None,
    }
}

/// Returns the VM `vm` as home since its restart number `instance`.
fn home(vm: VmId, instance: u32) -> HomeId {
    HomeId { vm, instance }
}

impl Sim {
    pub(crate) fn new(spec: Arc<ShardSpec>) -> Self {
        let mut ids: Vec<VmId> = (0..VMS).map(|n| base::id::vm(&format!("{n}"))).collect();
        ids.sort_unstable();
        let vms = ids.iter().map(|&id| Vm {
            id,
            coordinator: Coordinator::new(home(id, 1), spec.clone()),
            follower: Follower::new(spec.shard, id, 1),
            alive: ids.clone(),
            paused: false,
            boot_id: 1,
            running: Vec::new(),
            requested: 0,
            granted: 0,
            ended: 0,
        });
        let mut sim = Self {
            now: Time::from_secs(1),
            vms: vms.collect(),
            packets: Vec::new(),
            removed: Vec::new(),
            steps: Vec::new(),
            spec,
        };
        for index in 0..VMS {
            sim.update_view(index);
        }
        sim
    }

    /// Returns the index of the VM that the first VM follows as home.
    pub(crate) fn home(&self) -> usize {
        let home = self.vms[0].follower.home().unwrap();
        self.vms.iter().position(|vm| vm.id == home).unwrap()
    }

    fn ids(&self) -> Vec<VmId> {
        let ids = self.vms.iter().map(|vm| vm.id);
        ids.filter(|id| !self.removed.contains(id)).collect()
    }

    /// Stops a VM, which leaves the membership.
    pub(crate) fn remove(&mut self, index: usize) {
        self.pause(index);
        self.removed.push(self.vms[index].id);
        self.mark_unresponsive_everywhere(index);
    }

    /// Passes a VM's view of the membership to its coordinator and its follower.
    fn update_view(&mut self, index: usize) {
        let ids = self.ids();
        let vm = &mut self.vms[index];
        vm.follower
            .set_fleet(&vm.alive, &vm.alive, &self.spec, self.now);
        let fleet = Fleet {
            vms: &ids,
            alive: &vm.alive,
            undiscovered: 0,
        };
        vm.coordinator.set_fleet(fleet, self.now);
        self.collect_output(index);
    }

    /// Puts the messages that a VM sends in flight, and records the grants and
    /// refusals that it received.
    fn collect_output(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let from = vm.id;
        let mut sent = Vec::new();
        let mut higher_epoch = None;
        for action in vm.coordinator.take_actions() {
            match action {
                Action::Send(envelope) => sent.push(envelope),
                Action::StepDown(epoch) => higher_epoch = Some(epoch),
                Action::Probe(_) => {}
            }
        }
        if let Some(epoch) = higher_epoch {
            vm.coordinator.step_down(epoch, self.now);
        }
        for event in vm.follower.take_events() {
            match event {
                Event::Send(envelope) => sent.push(envelope),
                Event::Granted { call, server } => {
                    vm.granted += 1;
                    vm.running.push((call, server));
                }
                Event::Refused { .. } => vm.ended += 1,
                Event::HomeUnresponsive(_) => {}
            }
        }
        let packets = sent.into_iter().map(|envelope| Packet { from, envelope });
        self.packets.extend(packets);
        let excess = self.packets.len().saturating_sub(PACKETS_MAX);
        self.packets.drain(..excess);
    }

    /// Delivers a message, which is lost if its receiver is paused.
    fn deliver(&mut self, packet: Packet) {
        let to = packet.envelope.to;
        let Some(index) = self.vms.iter().position(|vm| vm.id == to) else {
            return;
        };
        if self.vms[index].paused {
            return;
        }
        let ids = self.ids();
        let vm = &mut self.vms[index];
        let Msg { shard, body } = packet.envelope.msg;
        if body.is_for_home() {
            let is_home = base::rendezvous::first(shard, &vm.alive) == Some(vm.id);
            let fleet = Fleet {
                vms: &ids,
                alive: &vm.alive,
                undiscovered: 0,
            };
            vm.coordinator
                .receive(packet.from, body, fleet, is_home, self.now);
        } else {
            if let Body::Lead { epoch, .. } = body {
                if let Some(final_state) = vm.coordinator.step_down(epoch, self.now) {
                    vm.follower
                        .adopt_summaries(final_state.epoch, final_state.servers, self.now);
                }
            }
            vm.follower.receive(packet.from, body, self.now);
        }
        self.collect_output(index);
    }

    /// Requests a permit on a VM for a call that has `left` until its deadline. Every other
    /// VM ranks its calls, as if the others were of a build from before rankings.
    pub(crate) fn acquire(&mut self, index: usize, left: Duration) {
        let vm = &mut self.vms[index];
        if vm.paused {
            return;
        }
        vm.requested += 1;
        let mut request = request(left);
        request.ranking = (index % 2 == 1).then(|| Ranking {
            rank: left.as_millis() as u32 % 3,
            team: left.as_millis() as u64 % 2,
            work: left / 16,
            target: left / 2,
        });
        vm.follower.acquire(request, self.now);
        self.collect_output(index);
    }

    /// Releases the oldest permit of a VM, if it holds any.
    pub(crate) fn release(&mut self, index: usize, outcome: Outcome) {
        let vm = &mut self.vms[index];
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
        self.collect_output(index);
    }

    /// Reports to a VM that `server` closed an idle connection, as it does when it
    /// restarts.
    pub(crate) fn connection_lost(&mut self, index: usize, server: ServerId) {
        self.vms[index].follower.connection_lost(server, self.now);
        self.collect_output(index);
    }

    /// Makes all VMs but `other` consider the VM `other` unresponsive.
    pub(crate) fn mark_unresponsive_everywhere(&mut self, other: usize) {
        for index in (0..VMS).filter(|index| *index != other) {
            self.mark_unresponsive(index, other);
        }
    }

    /// Makes one VM consider the VM `other` unresponsive.
    pub(crate) fn mark_unresponsive(&mut self, index: usize, other: usize) {
        let other_id = self.vms[other].id;
        self.vms[index].alive.retain(|vm| *vm != other_id);
        self.update_view(index);
    }

    /// Delivers the messages from and to one VM until none is left; other messages
    /// stay in flight.
    pub(crate) fn exchange_messages(&mut self, index: usize) {
        let id = self.vms[index].id;
        let involves = |packet: &Packet| packet.from == id || packet.envelope.to == id;
        while let Some(next) = self.packets.iter().position(involves) {
            let packet = self.packets.remove(next);
            self.deliver(packet);
        }
    }

    /// Drops all messages in flight.
    pub(crate) fn drop_packets(&mut self) {
        self.packets.clear();
    }

    /// Sets whether the servers may be given calls.
    pub(crate) fn set_open(&mut self, open: bool) {
        let mut spec = (*self.spec).clone();
        for server in &mut spec.servers {
            server.open = open;
        }
        self.spec = Arc::new(spec);
        for index in 0..VMS {
            self.vms[index]
                .coordinator
                .set_spec(self.spec.clone(), self.now);
            self.update_view(index);
        }
    }

    /// Restarts a VM, which loses its state and its calls.
    fn restart(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.boot_id += 1;
        vm.coordinator = Coordinator::new(home(vm.id, vm.boot_id), self.spec.clone());
        vm.follower = Follower::new(self.spec.shard, vm.id, vm.boot_id);
        vm.running.clear();
        vm.paused = false;
        vm.requested = 0;
        vm.ended = 0;
        self.update_view(index);
    }

    fn set_paused(&mut self, index: usize, paused: bool) {
        let resumed = self.vms[index].paused && !paused;
        self.vms[index].paused = paused;
        if resumed {
            self.vms[index].coordinator.resume_after_pause();
            self.vms[index].follower.resume_after_pause(self.now);
            self.collect_output(index);
        }
    }

    /// Pauses a VM: it does nothing, and messages to it are lost.
    pub(crate) fn pause(&mut self, index: usize) {
        self.set_paused(index, true);
    }

    /// Advances the time, and runs the periodic work of the VMs that are not paused.
    pub(crate) fn tick(&mut self, time: Duration) {
        self.now += time;
        for index in 0..VMS {
            if !self.vms[index].paused {
                self.vms[index].follower.tick(self.now);
                self.vms[index].coordinator.tick(self.now);
                self.collect_output(index);
            }
        }
    }

    /// Performs one step of a script: `op` selects the operation, and `arg` the VM,
    /// the message or the view that it applies to. Operation 15 delivers up to 16
    /// messages and advances the time by 12 ms.
    pub(crate) fn step(&mut self, op: u8, arg: u8) {
        let index = usize::from(arg) % VMS;
        self.steps.push(format!("{op} {arg}"));
        match op % 16 {
            0..=2 => self.acquire(index, Duration::from_secs(2)),
            3..=7 => self.deliver_some(usize::from(arg), 4),
            8 => self.drop_packet(usize::from(arg)),
            9 => self.duplicate_packet(usize::from(arg)),
            10 => self.release(index, Outcome::Done),
            11 => self.tick(TICK),
            12 => self.change_view(index, arg),
            13 => self.set_paused(index, arg >= 128),
            14 if arg < 32 => self.restart(index),
            14 => self.release(index, Outcome::Broken),
            _ => {
                self.deliver_some(usize::from(arg), 16);
                self.tick(TICK * 4);
            }
        }
    }

    /// Delivers up to `count` messages out of order, beginning with the one at index `start`.
    fn deliver_some(&mut self, start: usize, count: usize) {
        for i in 0..count {
            if self.packets.is_empty() {
                return;
            }
            let index = (start + i * 7) % self.packets.len();
            let packet = self.packets.remove(index);
            self.deliver(packet);
        }
    }

    fn drop_packet(&mut self, choice: usize) {
        if !self.packets.is_empty() {
            let index = choice % self.packets.len();
            self.packets.remove(index);
        }
    }

    fn duplicate_packet(&mut self, choice: usize) {
        if !self.packets.is_empty() {
            let copy = self.packets[choice % self.packets.len()].clone();
            self.packets.push(copy);
        }
    }

    /// Sets which VMs one VM considers alive: those with index `i` for which bit `i + 2`
    /// of `bits` is set, and always itself.
    fn change_view(&mut self, index: usize, bits: u8) {
        let ids = self.ids();
        let self_id = self.vms[index].id;
        let is_alive = |i: usize| (bits >> (i + 2)) & 1 == 1;
        let alive = ids
            .iter()
            .enumerate()
            .filter(|(i, id)| is_alive(*i) || **id == self_id);
        self.vms[index].alive = alive.map(|(_, id)| *id).collect();
        self.update_view(index);
    }

    /// Ends all faults: resumes all VMs and gives them the complete view. Then delivers
    /// all messages and releases permits for `time`.
    pub(crate) fn settle(&mut self, time: Duration) {
        let ids = self.ids();
        for index in 0..VMS {
            self.set_paused(index, false);
            self.vms[index].alive = ids.clone();
            self.update_view(index);
        }
        let end = self.now + time;
        while self.now < end {
            while !self.packets.is_empty() {
                let packet = self.packets.remove(0);
                self.deliver(packet);
            }
            for index in 0..VMS {
                self.release(index, Outcome::Done);
            }
            self.tick(TICK);
        }
    }

    /// Returns the calls that all VMs together have in flight at `server`, as counted
    /// by the VMs that sent them.
    pub(crate) fn in_flight(&self, server: ServerId) -> usize {
        let running = self.vms.iter().flat_map(|vm| &vm.running);
        running.filter(|(_, used)| *used == server).count()
    }

    /// Panics if a ledger violates its invariants, or if more than `limit` calls are in
    /// flight at a server.
    pub(crate) fn check(&self, limit: usize) {
        for vm in &self.vms {
            if let Some(ledger) = vm.coordinator.ledger() {
                let violations = verify::check(ledger);
                assert!(
                    violations.is_empty(),
                    "{}\nafter the steps {}",
                    violations[0],
                    self.trace()
                );
            }
        }
        for server in &self.spec.servers {
            let count = self.in_flight(server.id);
            assert!(
                count <= limit,
                "{count} calls in flight at server {:x}, more than {limit}, after the steps {}",
                server.id,
                self.trace()
            );
        }
    }

    /// Returns the last 40 steps of the script.
    pub(crate) fn trace(&self) -> String {
        let start = self.steps.len().saturating_sub(40);
        self.steps[start..].join(", ")
    }
}
