//! Membership under packet loss, crashes, pauses, partitions and restarts.

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

/// The simulated time between two ticks of the VMs.
const STEP: Duration = Duration::from_millis(5);

/// A simulated network of VMs, which are denoted by their index.
struct Net {
    now: Time,
    vms: Vec<Membership>,
    down: Vec<bool>,
    /// The links (sender, receiver) that drop all messages.
    cut: Vec<(usize, usize)>,
    /// The probability that a message is lost.
    loss: f64,
    rng: fastrand::Rng,
    /// The VMs that found newer revisions, each with the peer that has them.
    newer: Vec<(usize, VmId)>,
    /// The number of updates that pings and acks have carried.
    updates: usize,
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
            updates: 0,
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

    /// Delivers messages without delay until no VM has any to send.
    fn exchange(&mut self) {
        loop {
            let mut sent: Vec<(usize, usize, Msg)> = Vec::new();
            for from in 0..self.vms.len() {
                for action in self.vms[from].take_actions() {
                    match action {
                        Action::Send { to, msg } => {
                            let to = usize::from(to.port() - 7000);
                            if let Msg::Ping { news, .. } | Msg::Ack { news, .. } = &msg {
                                self.updates += news.len();
                            }
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

    /// Delivers messages as [`Self::exchange`] does, but returns those to VM `late` with
    /// their senders instead of delivering them.
    fn exchange_except(&mut self, late: usize) -> Vec<(usize, Msg)> {
        let mut kept = Vec::new();
        loop {
            let mut sent = Vec::new();
            for from in (0..self.vms.len()).filter(|from| *from != late) {
                for action in self.vms[from].take_actions() {
                    if let Action::Send { to, msg } = action {
                        sent.push((from, usize::from(to.port() - 7000), msg));
                    }
                }
            }
            if sent.is_empty() {
                return kept;
            }
            for (from, to, msg) in sent {
                if to == late {
                    kept.push((from, msg));
                } else if !self.down[from] && !self.down[to] {
                    let vm = self.vms[from].profile().vm;
                    self.vms[to].receive(self.now, vm, address(from), msg);
                }
            }
        }
    }

    /// Delivers the messages that VM `from` has to send.
    fn deliver_from(&mut self, from: usize) {
        let vm = self.vms[from].profile().vm;
        for action in self.vms[from].take_actions() {
            if let Action::Send { to, msg } = action {
                let to = usize::from(to.port() - 7000);
                if !self.down[to] {
                    self.vms[to].receive(self.now, vm, address(from), msg);
                }
            }
        }
    }

    /// Returns the number of VMs that VM `i` sees as alive, itself included.
    fn alive(&self, i: usize) -> usize {
        self.vms[i].alive().len()
    }

    /// Returns a table of the health of each VM as seen by each VM.
    fn describe(&self) -> String {
        let row = |i: usize| {
            let seen = (0..self.vms.len()).map(|peer| format!("{:?} ", self.health(i, peer)));
            format!("{i}: {}\n", seen.collect::<String>())
        };
        (0..self.vms.len()).map(row).collect()
    }

    /// Returns the health of VM `peer` as seen by VM `i`.
    fn health(&self, i: usize, peer: usize) -> Option<Health> {
        self.vms[i]
            .peer(self.vms[peer].profile().vm)
            .map(|peer| peer.health)
    }
}

#[test]
fn tick_all_vms_discover_each_other() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    assert!((0..13).all(|i| net.alive(i) == 13));
    assert!(net.vms.iter().all(|vm| vm.undiscovered() == 0));
}

#[test]
fn tick_failed_vm_is_dead_within_seconds() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    net.down[5] = true;
    net.run(Duration::from_secs(5));
    for i in (0..13).filter(|i| *i != 5) {
        assert_eq!(net.alive(i), 12);
        assert_eq!(net.health(i, 5), Some(Health::Dead));
    }
}

#[test]
fn report_unresponsive_failed_vm_is_suspected_at_once() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    net.down[5] = true;
    let failed = net.vms[5].profile().vm;
    net.vms[2].report_unresponsive(failed, net.now);
    net.run(Duration::from_millis(150));
    assert_eq!(net.alive(2), 12);
}

#[test]
fn report_unresponsive_vm_that_started_too_may_respond_late() {
    let mut net = Net::new(3);
    net.vms[1] = vm(1, 60_000);
    net.run(Duration::from_secs(1));
    assert_eq!(net.alive(0), 3);
    for index in [1, 2] {
        net.down[index] = true;
        let failed = net.vms[index].profile().vm;
        net.vms[0].report_unresponsive(failed, net.now);
    }
    // VM 1 has not started with the others.
    net.run(Duration::from_millis(150));
    assert_eq!(net.health(0, 1), Some(Health::Suspect));
    assert_eq!(net.health(0, 2), Some(Health::Alive));
    net.run(Duration::from_millis(220));
    assert_eq!(net.health(0, 2), Some(Health::Suspect));
}

#[test]
fn receive_paused_vm_refutes_after_it_resumes() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.down[4] = true;
    net.run(Duration::from_secs(6));
    assert_eq!(net.health(0, 4), Some(Health::Dead));
    net.down[4] = false;
    net.run(Duration::from_secs(8));
    assert!((0..8).all(|i| net.alive(i) == 8));
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
    assert!((0..8).all(|i| net.alive(i) == 4));
    net.cut.clear();
    net.run(Duration::from_secs(15));
    assert!((0..8).all(|i| net.alive(i) == 8));
}

#[test]
fn tick_cut_link_keeps_a_vm_that_others_reach() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.cut.extend([(2, 6), (6, 2)]);
    net.run(Duration::from_secs(10));
    assert!((0..8).all(|i| net.alive(i) == 8));
}

#[test]
fn tick_packet_loss_declares_no_vm_dead() {
    let mut net = Net::new(13);
    net.run(Duration::from_secs(3));
    net.loss = 0.05;
    net.run(Duration::from_secs(30));
    for i in 0..13 {
        let dead = (0..13).filter(|peer| net.health(i, *peer) == Some(Health::Dead));
        assert_eq!(dead.count(), 0);
    }
    net.loss = 0.0;
    net.run(Duration::from_secs(5));
    assert!((0..13).all(|i| net.alive(i) == 13));
}

#[test]
fn leave_is_known_to_peers_at_once() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.vms[3].leave();
    net.exchange();
    net.down[3] = true;
    net.run(Duration::from_millis(50));
    assert!((0..8).filter(|i| *i != 3).all(|i| net.alive(i) == 7));
}

#[test]
fn new_restarted_vm_is_alive_again() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(3));
    net.down[3] = true;
    net.run(Duration::from_secs(5));
    // After the restart the wall clock may be behind, so the incarnation is lower.
    net.vms[3] = vm(3, 0);
    net.down[3] = false;
    net.run(Duration::from_secs(10));
    assert!((0..8).all(|i| net.alive(i) == 8));
}

#[test]
fn set_platform_list_unlisted_dead_vm_is_forgotten() {
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
fn announce_revisions_reach_all_within_a_second() {
    let mut net = Net::new(50);
    net.run(Duration::from_secs(8));
    assert!((0..50).all(|i| net.alive(i) == 50));
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
        for (i, _) in std::mem::take(&mut net.newer) {
            if !known[i] {
                known[i] = true;
                net.vms[i].set_revisions(revisions);
                net.vms[i].announce();
            }
        }
    }
    assert!(known.iter().all(|known| *known));
}

#[test]
fn receive_any_order_of_updates_converges() {
    cases::check::<(u64, u8, Vec<u8>)>(300, |(seed, loss, toggles)| {
        let mut net = Net::new(6);
        net.rng = fastrand::Rng::with_seed(*seed);
        net.loss = f64::from(*loss) / 600.0;
        for toggle in toggles.iter().take(8) {
            let i = usize::from(*toggle) % 6;
            net.down[i] = !net.down[i];
            net.run(Duration::from_millis(u64::from(*toggle) * 4));
        }
        net.loss = 0.0;
        net.down = vec![false; 6];
        net.run(Duration::from_secs(20));
        assert!((0..6).all(|i| net.alive(i) == 6), "{}", net.describe());
    });
}

#[test]
fn tick_vm_that_started_before_its_seeds_joins_soon_after_them() {
    let mut net = Net::new(6);
    net.down[0] = true;
    net.down[1] = true;
    net.run(Duration::from_millis(350));
    net.down[0] = false;
    net.down[1] = false;
    net.run(Duration::from_millis(300));
    for i in 0..6 {
        assert!(net.alive(i) >= 3, "{}", net.describe());
    }
}

#[test]
fn tick_late_vm_does_not_suspect_peers_that_respond() {
    let mut net = Net::new(12);
    net.run(Duration::from_secs(3));
    assert_eq!(net.alive(0), 12);
    // VM 0 gets the processor only now and then. Its ticks come before it has processed
    // the acks that have arrived meanwhile.
    net.down[0] = true;
    for _ in 0..40 {
        let mut received = Vec::new();
        for _ in 0..30 {
            net.now += STEP;
            for from in 1..net.vms.len() {
                net.vms[from].tick(net.now);
            }
            received.extend(net.exchange_except(0));
        }
        net.vms[0].tick(net.now);
        for (from, msg) in received {
            let vm = net.vms[from].profile().vm;
            let now = net.now;
            net.vms[0].receive(now, vm, address(from), msg);
        }
        assert_eq!(net.alive(0), 12, "{}", net.describe());
        net.deliver_from(0);
    }
}

#[test]
fn tick_late_vm_still_finds_a_failed_peer() {
    let mut net = Net::new(12);
    net.run(Duration::from_secs(3));
    net.down[0] = true;
    net.down[5] = true;
    for _ in 0..60 {
        net.now += Duration::from_millis(150);
        net.vms[0].tick(net.now);
        net.deliver_from(0);
        for (from, msg) in net.exchange_except(0) {
            let vm = net.vms[from].profile().vm;
            let now = net.now;
            net.vms[0].receive(now, vm, address(from), msg);
        }
    }
    assert_eq!(net.health(0, 5), Some(Health::Dead), "{}", net.describe());
}

#[test]
fn tick_vms_that_agree_stop_sending_updates() {
    for count in [13, 120, 300] {
        let mut net = Net::new(count);
        while !net.vms.iter().all(|vm| vm.alive().len() == count) {
            assert!(net.now < Time::from_secs(10), "{count} VMs do not agree");
            net.run(Duration::from_millis(100));
        }
        // Each VM sends and acknowledges ten pings a second.
        net.run(Duration::from_secs(3));
        let before = net.updates;
        net.run(Duration::from_secs(1));
        let sent = net.updates - before;
        assert!(sent <= count, "{count} VMs sent {sent} updates in a second");
    }
}

#[test]
fn tick_suspicion_reaches_vms_that_agree_on_who_is_in_the_fleet() {
    let mut net = Net::new(30);
    net.run(Duration::from_secs(6));
    net.down[7] = true;
    net.run(Duration::from_secs(4));
    let failed = net.vms[7].profile().vm;
    for (n, vm) in net.vms.iter().enumerate().filter(|(n, _)| *n != 7) {
        assert!(!vm.alive().contains(&failed), "VM {n} was not told");
    }
}
