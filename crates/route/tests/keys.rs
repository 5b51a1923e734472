//! Idempotency keys while VMs fail, restart, are replaced and are cut off from
//! each other: no key lets two calls run within the time that it is remembered.

use std::time::Duration;

use base::Time;
use base::VmId;
use route::keys;
use route::keys::ClaimDecision;
use route::keys::ClaimReply;
use route::keys::ClaimTable;
use route::keys::KeyClaim;
use route::keys::CLAIM_TTL;
use route::keys::OWNER_AGE_MIN;

/// VMs in the world at each moment.
const VMS: usize = 7;
/// Keys in the world.
const KEYS: u64 = 4;
/// Scripts that are tried.
const SCRIPTS: usize = 5000;
/// The longest time until a VM hears of one that has come, or is told that one
/// is gone for good.
const LAG: Duration = Duration::from_secs(5);

struct Vm {
    id: VmId,
    memory: ClaimTable,
    known: Vec<VmId>,
    up: bool,
    group: u8,
    notices: Time,
}

struct World {
    now: Time,
    vms: Vec<Vm>,
    names: u64,
    calls: u64,
    runs: Vec<(u64, Time)>,
    log: Vec<String>,
}

impl World {
    /// Makes a fleet that has run for long.
    fn new() -> Self {
        let mut ids: Vec<VmId> = (0..VMS).map(|n| base::id::vm(&format!("{n}"))).collect();
        ids.sort_unstable();
        let vms = ids.iter().map(|&id| {
            let mut memory = ClaimTable::new(id, Time::ZERO);
            memory.set_view(&ids, true, Time::ZERO);
            Vm {
                id,
                memory,
                known: ids.clone(),
                up: true,
                group: 0,
                notices: Time::ZERO,
            }
        });
        Self {
            now: OWNER_AGE_MIN * 2,
            vms: vms.collect(),
            names: 0,
            calls: 0,
            runs: Vec::new(),
            log: Vec::new(),
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.vms[to].up && self.vms[from].group == self.vms[to].group
    }

    /// Lets the VMs whose time has come hear of those that have come and gone.
    fn notice(&mut self) {
        let exist: Vec<VmId> = self.vms.iter().map(|vm| vm.id).collect();
        for at in 0..VMS {
            if !self.vms[at].up || self.now < self.vms[at].notices {
                continue;
            }
            let heard = (0..VMS).filter(|to| self.reaches(at, *to));
            let mut known: Vec<VmId> = heard.map(|to| self.vms[to].id).collect();
            known.extend(&self.vms[at].known);
            known.retain(|vm| exist.contains(vm));
            known.sort_unstable();
            known.dedup();
            let whole = exist.iter().all(|vm| known.contains(vm));
            let now = self.now;
            self.vms[at].memory.set_view(&known, whole, now);
            self.vms[at].known = known;
        }
    }

    /// Draws when each VM notices what has just changed.
    fn change(&mut self, lag: u8) {
        for (n, vm) in self.vms.iter_mut().enumerate() {
            let part = (usize::from(lag) >> (n % 6)) & 3;
            vm.notices = self.now + LAG * part as u32 / 3;
        }
    }

    /// Starts a VM; it asks those that it reaches who there is.
    fn restart(&mut self, at: usize) {
        let (id, now) = (self.vms[at].id, self.now);
        let others = (0..VMS).filter(|to| *to != at && self.reaches(at, *to));
        let mut known: Vec<VmId> = others.flat_map(|to| self.vms[to].known.clone()).collect();
        known.push(id);
        known.sort_unstable();
        known.dedup();
        let vm = &mut self.vms[at];
        vm.up = true;
        vm.memory = ClaimTable::new(id, now);
        vm.memory.set_view(&known, false, now);
        vm.known = known;
    }

    /// Makes a call with `key` at a VM, as `node` does.
    fn call(&mut self, at: usize, key: u64) -> Option<ClaimDecision> {
        if !self.vms[at].up {
            return None;
        }
        self.calls += 1;
        let (from, now) = (self.vms[at].id, self.now);
        let claimed = KeyClaim {
            key,
            call: self.calls,
        };
        let mut answers = Vec::new();
        let owners = keys::owners(key, &self.vms[at].known);
        for owner in &owners {
            let to = self.vms.iter().position(|vm| vm.id == *owner);
            let to = to.filter(|to| self.reaches(at, *to));
            answers.push(to.map(|to| self.vms[to].memory.claim(claimed, from, now)));
            if answers.contains(&Some(ClaimReply::Taken)) {
                break;
            }
        }
        let ruling = keys::decide(owners.len(), &answers);
        if let ClaimDecision::Undecided { .. } = ruling {
            for vm in &mut self.vms {
                vm.memory.forget(claimed, from);
            }
        }
        Some(ruling)
    }

    fn step(&mut self, what: u8, which: u8) {
        self.log.push(format!("{what} {which}"));
        let at = usize::from(which) % VMS;
        match what % 9 {
            0..=2 => {
                let key = u64::from(which) / 8 % KEYS;
                if self.call(at, key) == Some(ClaimDecision::Run) {
                    self.check(key);
                    self.runs.push((key, self.now));
                }
            }
            3 => self.now += Duration::from_millis(u64::from(which) * 20),
            4 => self.now += Duration::from_millis(u64::from(which) * 200),
            5 => self.vms[at].up = false,
            6 => {
                self.restart(at);
                self.change(which);
            }
            7 => {
                self.names += 1;
                self.vms[at].id = base::id::vm(&format!("new {}", self.names));
                self.restart(at);
                self.change(which);
            }
            _ => {
                for (n, vm) in self.vms.iter_mut().enumerate() {
                    vm.group = (which >> n) & 1;
                }
                self.change(which.rotate_left(3));
            }
        }
        self.notice();
    }

    fn check(&self, key: u64) {
        let last = self.runs.iter().rev().find(|(other, _)| *other == key);
        let again = last.is_some_and(|(_, at)| self.now < *at + CLAIM_TTL);
        assert!(
            !again,
            "key {key} let two calls run after {}",
            self.log.join(", ")
        );
    }

    /// Returns the places of the owners of `key`, as the first VM knows them.
    fn owners(&self, key: u64) -> Vec<usize> {
        let owners = keys::owners(key, &self.vms[0].known);
        let place = |id: &VmId| self.vms.iter().position(|vm| vm.id == *id);
        owners.iter().filter_map(place).collect()
    }
}

#[test]
fn claim_key_lets_one_call_run() {
    bolero::check!()
        .with_iterations(SCRIPTS)
        .with_max_len(400)
        .for_each(|script: &[u8]| {
            let mut world = World::new();
            for step in script.chunks_exact(2) {
                world.step(step[0], step[1]);
            }
        });
}

#[test]
fn claim_two_owners_down_or_young_keys_go_on() {
    for key in 0..KEYS {
        let mut world = World::new();
        let owners = world.owners(key);
        world.vms[owners[0]].up = false;
        world.restart(owners[1]);
        let asks = owners[2];
        assert_eq!(world.call(asks, key), Some(ClaimDecision::Run));
        world.restart(owners[0]);
        assert_eq!(world.call(asks, key), Some(ClaimDecision::Duplicate));
    }
}

#[test]
fn claim_most_owners_young_nobody_is_sure_for_a_while() {
    let mut world = World::new();
    let owners = world.owners(0);
    assert_eq!(world.call(owners[0], 0), Some(ClaimDecision::Run));
    for at in &owners[..3] {
        world.restart(*at);
    }
    world.notice();
    world.now += CLAIM_TTL;
    let Some(ClaimDecision::Undecided { after }) = world.call(owners[0], 0) else {
        panic!("a call ran while most owners were young");
    };
    world.now += after;
    assert_eq!(world.call(owners[0], 0), Some(ClaimDecision::Run));
}

#[test]
fn claim_part_with_few_owners_lets_nothing_run() {
    let mut world = World::new();
    let owners = world.owners(0);
    for at in &owners[..2] {
        world.vms[*at].group = 1;
    }
    assert!(matches!(
        world.call(owners[0], 0),
        Some(ClaimDecision::Undecided { .. })
    ));
    assert_eq!(world.call(owners[4], 0), Some(ClaimDecision::Run));
}
