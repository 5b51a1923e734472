//! Membership under loss, crashes, pauses, partitions and restarts.

use std::net::SocketAddr;
use std::time::Duration;

use base::Time;
use base::VmId;
use member::Action;
use member::Config;
use member::Health;
use member::Membership;
use member::Msg;
use member::Profile;
use member::Revisions;

/// The time of one step.
const STEP: Duration = Duration::from_millis(5);

struct Net {
    now: Time,
    vms: Vec<Membership>,
    down: Vec<bool>,
    cut: Vec<(usize, usize)>,
    loss: f64,
    rng: fastrand::Rng,
    newer: Vec<(usize, VmId)>,
}

fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + n as u16).into()
}

fn vm(n: usize, incarnation: u64) -> Membership {
    let profile = Profile {
        vm: base::id::vm(&format!("{n}")),
        name: format!("{n}"),
        address: address(n),
        domain: 0,
        capacity: 1000,
        region: 0,
    };
    Membership::new(profile, incarnation, Config::default(), n as u64)
        .with_seeds(vec![address(0), address(1)])
}

impl Net {
    fn new(count: usize) -> Self {
        Self {
            now: Time::from_secs(1),
            vms: (0..count).map(|n| vm(n, 1)).collect(),
            down: vec![false; count],
            cut: Vec::new(),
            loss: 0.0,
            rng: fastrand::Rng::with_seed(3),
            newer: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for from in 0..self.vms.len() {
                if !self.down[from] {
                    self.vms[from].tick(self.now);
                }
            }
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        loop {
            let mut sent: Vec<(usize, usize, Msg)> = Vec::new();
            for from in 0..self.vms.len() {
                for action in self.vms[from].take_actions() {
                    match action {
                        Action::Send { to, msg } => {
                            let to = usize::from(to.port() - 7000);
                            sent.push((from, to, msg));
                        }
                        Action::NewerRevisions { vm, .. } => self.newer.push((from, vm)),
                        Action::SameRegistry { .. } => {}
                    }
                }
            }
            if sent.is_empty() {
                return;
            }
            for (from, to, msg) in sent {
                let lost = self.rng.f64() < self.loss || self.cut.contains(&(from, to));
                if lost || self.down[from] || self.down[to] {
                    continue;
                }
                let vm = self.vms[from].profile().vm;
                self.vms[to].receive(self.now, vm, address(from), msg);
            }
        }
    }

    fn alive(&self, at: usize) -> usize {
        self.vms[at].alive().len()
    }

    /// Describes who sees whom how.
    fn picture(&self) -> String {
        let row = |at: usize| {
            let seen = (0..self.vms.len()).map(|of| format!("{:?} ", self.health(at, of)));
            format!("{at}: {}\n", seen.collect::<String>())
        };
        (0..self.vms.len()).map(row).collect()
    }

    fn health(&self, at: usize, of: usize) -> Option<Health> {
        self.vms[at]
            .peer(self.vms[of].profile().vm)
            .map(|peer| peer.health)
    }
}

#[test]
fn tick_all_learn_of_all() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    assert!((0..13).all(|at| net.alive(at) == 13));
    assert!(net.vms.iter().all(|vm| vm.undiscovered() == 0));
}

#[test]
fn tick_vanished_vm_is_dead_within_seconds() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    net.down[5] = true;
    net.run(Duration::from_secs(5));
    for at in (0..13).filter(|at| *at != 5) {
        assert_eq!(net.alive(at), 12);
        assert_eq!(net.health(at, 5), Some(Health::Dead));
    }
}

#[test]
fn report_unresponsive_silent_vm_is_suspected_at_once() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    net.down[5] = true;
    let silent = net.vms[5].profile().vm;
    net.vms[2].report_unresponsive(silent, net.now);
    net.run(Duration::from_millis(150));
    assert_eq!(net.alive(2), 12);
}

#[test]
fn receive_paused_vm_refutes_when_it_wakes() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.down[4] = true;
    net.run(Duration::from_secs(6));
    assert_eq!(net.health(0, 4), Some(Health::Dead));
    net.down[4] = false;
    net.run(Duration::from_secs(8));
    assert!((0..8).all(|at| net.alive(at) == 8));
}

#[test]
fn tick_partition_heals() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    for a in 0..4 {
        for b in 4..8 {
            net.cut.extend([(a, b), (b, a)]);
        }
    }
    net.run(Duration::from_secs(8));
    assert!((0..8).all(|at| net.alive(at) == 4));
    net.cut.clear();
    net.run(Duration::from_secs(15));
    assert!((0..8).all(|at| net.alive(at) == 8));
}

#[test]
fn tick_one_way_cut_keeps_a_vm_that_others_reach() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.cut.extend([(2, 6), (6, 2)]);
    net.run(Duration::from_secs(10));
    assert!((0..8).all(|at| net.alive(at) == 8));
}

#[test]
fn tick_loss_kills_nobody() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    net.loss = 0.05;
    net.run(Duration::from_secs(30));
    for at in 0..13 {
        let dead = (0..13).filter(|of| net.health(at, *of) == Some(Health::Dead));
        assert_eq!(dead.count(), 0);
    }
    net.loss = 0.0;
    net.run(Duration::from_secs(5));
    assert!((0..13).all(|at| net.alive(at) == 13));
}

#[test]
fn leave_is_known_at_once() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.vms[3].leave();
    net.exchange();
    net.down[3] = true;
    net.run(Duration::from_millis(50));
    assert!((0..8).filter(|at| *at != 3).all(|at| net.alive(at) == 7));
}

#[test]
fn new_restart_under_the_same_address_is_alive_again() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.down[3] = true;
    net.run(Duration::from_secs(5));
    // The clock of the new life may even lie behind that of the old one.
    net.vms[3] = vm(3, 0);
    net.down[3] = false;
    net.run(Duration::from_secs(10));
    assert!((0..8).all(|at| net.alive(at) == 8));
}

#[test]
fn set_listed_dead_vm_that_is_not_listed_is_gone() {
    let mut net = Net::new(5);
    net.run(Duration::from_secs(3));
    net.down[3] = true;
    net.run(Duration::from_secs(5));
    let mut listed: Vec<VmId> = (0..5)
        .filter(|n| *n != 3)
        .map(|n| net.vms[n].profile().vm)
        .collect();
    listed.sort_unstable();
    net.vms[0].set_platform_list(listed.clone());
    assert_eq!(net.health(0, 3), None);
    listed.retain(|vm| *vm != net.vms[4].profile().vm);
    net.vms[0].set_platform_list(listed);
    assert_eq!(net.health(0, 4), Some(Health::Alive));
}

#[test]
fn announce_news_reach_all_within_a_second() {
    let mut net = Net::new(50);
    net.run(Duration::from_secs(8));
    assert!((0..50).all(|at| net.alive(at) == 50));
    let revisions = Revisions {
        head: 1,
        domains: 0,
        ..Revisions::default()
    };
    net.vms[7].set_revisions(revisions);
    net.vms[7].announce();
    let end = net.now + Duration::from_secs(1);
    let mut known = [false; 50];
    known[7] = true;
    while net.now < end {
        net.run(STEP);
        for (at, _) in std::mem::take(&mut net.newer) {
            if !known[at] {
                known[at] = true;
                net.vms[at].set_revisions(revisions);
                net.vms[at].announce();
            }
        }
    }
    assert!(known.iter().all(|known| *known));
}

#[test]
fn receive_any_order_of_news_ends_alike() {
    bolero::check!()
        .with_iterations(300)
        .with_type::<(u64, u8, Vec<u8>)>()
        .for_each(|(seed, loss, downs)| {
            let mut net = Net::new(6);
            net.rng = fastrand::Rng::with_seed(*seed);
            net.loss = f64::from(*loss) / 600.0;
            for down in downs.iter().take(8) {
                let at = usize::from(*down) % 6;
                net.down[at] = !net.down[at];
                net.run(Duration::from_millis(u64::from(*down) * 4));
            }
            net.loss = 0.0;
            net.down = vec![false; 6];
            net.run(Duration::from_secs(20));
            assert!((0..6).all(|at| net.alive(at) == 6), "{}", net.picture());
        });
}
