//! Tests idempotency keys while VMs fail, restart, are replaced and are partitioned: of
//! the calls with one key, at most one may run within the time for which owners remember
//! the claim.

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

/// Number of VMs in the simulation; a departed VM is replaced at once.
const VMS: usize = 7;
/// Number of keys in the simulation.
const KEYS: u64 = 4;
/// Number of scripts generated.
const SCRIPTS: u64 = 5000;
/// The longest time until a VM learns of a new VM, or that a VM has departed for good.
const VIEW_DELAY_MAX: Duration = Duration::from_secs(5);

struct Vm {
    id: VmId,
    claims: ClaimTable,
    /// The VMs that may exist according to this VM, sorted.
    view: Vec<VmId>,
    up: bool,
    /// VMs reach only VMs with the same number.
    partition: u8,
    /// The time until which the VM keeps its view unchanged.
    view_until: Time,
}

/// The state of the simulation.
struct Sim {
    now: Time,
    vms: Vec<Vm>,
    /// VMs replaced so far, from which the names of new VMs are made.
    replaced: u64,
    /// Calls made so far; the count is the id of the last call.
    calls: u64,
    /// Keys of the calls that ran, with the times at which they ran.
    runs: Vec<(u64, Time)>,
    /// The steps that the script has made so far.
    steps: Vec<String>,
}

impl Sim {
    /// Creates a fleet whose VMs have been owners for long enough for their grants to
    /// count.
    fn new() -> Self {
        let mut ids: Vec<VmId> = (0..VMS).map(|n| base::id::vm(&format!("{n}"))).collect();
        ids.sort_unstable();
        let vms = ids.iter().map(|&id| {
            let mut claims = ClaimTable::new(id, Time::ZERO);
            claims.set_view(&ids, true, Time::ZERO);
            Vm {
                id,
                claims,
                view: ids.clone(),
                up: true,
                partition: 0,
                view_until: Time::ZERO,
            }
        });
        Self {
            now: OWNER_AGE_MIN * 2,
            vms: vms.collect(),
            replaced: 0,
            calls: 0,
            runs: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Returns whether messages from one VM arrive at another one.
    fn reaches(&self, from: usize, to: usize) -> bool {
        self.vms[to].up && self.vms[from].partition == self.vms[to].partition
    }

    /// Updates the views of the VMs whose delay has passed: adds the VMs that they reach
    /// and removes the VMs that no longer exist.
    fn update_views(&mut self) {
        let existing: Vec<VmId> = self.vms.iter().map(|vm| vm.id).collect();
        for index in 0..VMS {
            if !self.vms[index].up || self.now < self.vms[index].view_until {
                continue;
            }
            let reachable = (0..VMS).filter(|to| self.reaches(index, *to));
            let mut view: Vec<VmId> = reachable.map(|to| self.vms[to].id).collect();
            view.extend(&self.vms[index].view);
            view.retain(|vm| existing.contains(vm));
            view.sort_unstable();
            view.dedup();
            let complete = existing.iter().all(|vm| view.contains(vm));
            let now = self.now;
            self.vms[index].claims.set_view(&view, complete, now);
            self.vms[index].view = view;
        }
    }

    /// Delays the next update of each view by up to three thirds of [`VIEW_DELAY_MAX`],
    /// depending on `bits`.
    fn delay_views(&mut self, bits: u8) {
        for (n, vm) in self.vms.iter_mut().enumerate() {
            let thirds = (usize::from(bits) >> (n % 6)) & 3;
            vm.view_until = self.now + VIEW_DELAY_MAX * thirds as u32 / 3;
        }
    }

    /// Restarts a VM, which loses its claims and takes its view from the VMs that it
    /// reaches.
    fn restart(&mut self, index: usize) {
        let (id, now) = (self.vms[index].id, self.now);
        let others = (0..VMS).filter(|to| *to != index && self.reaches(index, *to));
        let mut view: Vec<VmId> = others.flat_map(|to| self.vms[to].view.clone()).collect();
        view.push(id);
        view.sort_unstable();
        view.dedup();
        let vm = &mut self.vms[index];
        vm.up = true;
        vm.claims = ClaimTable::new(id, now);
        vm.claims.set_view(&view, false, now);
        vm.view = view;
    }

    /// Makes a call with `key` at a VM in the same way as the `node` crate. Returns none if
    /// the VM is down.
    fn call(&mut self, index: usize, key: u64) -> Option<ClaimDecision> {
        if !self.vms[index].up {
            return None;
        }
        self.calls += 1;
        let (from, now) = (self.vms[index].id, self.now);
        let claim = KeyClaim {
            key,
            call: self.calls,
        };
        let mut replies = Vec::new();
        let owners = keys::owners(key, &self.vms[index].view);
        for owner in &owners {
            let to = self.vms.iter().position(|vm| vm.id == *owner);
            let to = to.filter(|to| self.reaches(index, *to));
            replies.push(to.map(|to| self.vms[to].claims.claim(claim, from, now)));
            if replies.contains(&Some(ClaimReply::Taken)) {
                break;
            }
        }
        let decision = keys::decide(owners.len(), &replies);
        if let ClaimDecision::Undecided { .. } = decision {
            for vm in &mut self.vms {
                vm.claims.forget(claim, from);
            }
        }
        Some(decision)
    }

    /// Performs one step of a script: `op` selects the operation, and `arg` the VM, the key
    /// or the time that it applies to.
    fn step(&mut self, op: u8, arg: u8) {
        self.steps.push(format!("{op} {arg}"));
        let index = usize::from(arg) % VMS;
        match op % 9 {
            0..=2 => {
                let key = u64::from(arg) / 8 % KEYS;
                if self.call(index, key) == Some(ClaimDecision::Run) {
                    self.check(key);
                    self.runs.push((key, self.now));
                }
            }
            3 => self.now += Duration::from_millis(u64::from(arg) * 20),
            4 => self.now += Duration::from_millis(u64::from(arg) * 200),
            5 => self.vms[index].up = false,
            6 => {
                self.restart(index);
                self.delay_views(arg);
            }
            7 => {
                self.replaced += 1;
                self.vms[index].id = base::id::vm(&format!("new {}", self.replaced));
                self.restart(index);
                self.delay_views(arg);
            }
            _ => {
                for (n, vm) in self.vms.iter_mut().enumerate() {
                    vm.partition = (arg >> n) & 1;
                }
                self.delay_views(arg.rotate_left(3));
            }
        }
        self.update_views();
    }

    /// Panics if a call with `key` has run within the last [`CLAIM_TTL`].
    fn check(&self, key: u64) {
        let last = self.runs.iter().rev().find(|(other, _)| *other == key);
        let too_soon = last.is_some_and(|(_, time)| self.now < *time + CLAIM_TTL);
        assert!(
            !too_soon,
            "key {key} let two calls run after the steps {}",
            self.steps.join(", ")
        );
    }

    /// Returns the indexes of the owners of `key` according to the view of the first VM.
    fn owners(&self, key: u64) -> Vec<usize> {
        let owners = keys::owners(key, &self.vms[0].view);
        let index = |id: &VmId| self.vms.iter().position(|vm| vm.id == *id);
        owners.iter().filter_map(index).collect()
    }
}

#[test]
fn claim_lets_one_call_per_key_run() {
    cases::check_bytes(SCRIPTS, 400, |script: &[u8]| {
        let mut sim = Sim::new();
        for step in script.chunks_exact(2) {
            sim.step(step[0], step[1]);
        }
    });
}

#[test]
fn claim_with_one_owner_down_and_one_young_runs() {
    for key in 0..KEYS {
        let mut sim = Sim::new();
        let owners = sim.owners(key);
        sim.vms[owners[0]].up = false;
        sim.restart(owners[1]);
        let entry = owners[2];
        assert_eq!(sim.call(entry, key), Some(ClaimDecision::Run));
        sim.restart(owners[0]);
        assert_eq!(sim.call(entry, key), Some(ClaimDecision::Duplicate));
    }
}

#[test]
fn claim_with_most_owners_young_is_undecided() {
    let mut sim = Sim::new();
    let owners = sim.owners(0);
    assert_eq!(sim.call(owners[0], 0), Some(ClaimDecision::Run));
    for index in &owners[..3] {
        sim.restart(*index);
    }
    sim.update_views();
    sim.now += CLAIM_TTL;
    let Some(ClaimDecision::Undecided { after }) = sim.call(owners[0], 0) else {
        panic!("a call ran while most owners were young");
    };
    sim.now += after;
    assert_eq!(sim.call(owners[0], 0), Some(ClaimDecision::Run));
}

#[test]
fn claim_in_partition_with_few_owners_is_undecided() {
    let mut sim = Sim::new();
    let owners = sim.owners(0);
    for index in &owners[..2] {
        sim.vms[*index].partition = 1;
    }
    assert!(matches!(
        sim.call(owners[0], 0),
        Some(ClaimDecision::Undecided { .. })
    ));
    assert_eq!(sim.call(owners[4], 0), Some(ClaimDecision::Run));
}
