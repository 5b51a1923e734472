//! Catalogs of VMs that hold removals back around outages of the registry.
//!
//! Three VMs read the changes of a registry in their order and update each other, at any
//! moment. Each may hold back the removals that it reads.

use std::time::Duration;

use base::Time;
use bolero::TypeGenerator;
use conf::catalog::HeldRemoval;
use conf::catalog::Instance;
use conf::catalog::Update;
use conf::Catalog;

/// Number of cases generated for each property.
const CASES: u64 = 100_000;

const VMS: usize = 3;
/// How long removals are held back.
const HOLD: Duration = Duration::from_secs(2);
/// The time that passes with [`Event::Wait`].
const STEP: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Announce(u8),
    Remove(u8),
    /// The VM reads all changes since its last read.
    Read(u8),
    /// The VM does the same, and holds removals back.
    ReadAfterOutage(u8),
    /// The first VM fetches from the second one what it has newer.
    Fetch(u8, u8),
    Wait,
}

#[derive(Default)]
struct Model {
    now: Time,
    /// The name of each change and whether the server was announced; the first one has
    /// revision 1.
    changes: Vec<(String, bool)>,
    vms: [Catalog; VMS],
    read: [usize; VMS],
}

fn name(server: u8) -> String {
    format!("i-{}", server % 3)
}

fn instance() -> Instance {
    Instance {
        service: "plans".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".into(),
        slots: 2,
        draining: false,
        cold: Duration::ZERO,
        born: 1,
        announced: 0,
        version: String::new(),
    }
}

fn live(catalog: &Catalog) -> Vec<String> {
    let present = catalog.servers().iter().filter(|s| s.value.is_some());
    present.map(|s| s.name.clone()).collect()
}

impl Model {
    fn truth(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for (name, announced) in &self.changes {
            names.retain(|known| known != name);
            names.extend(announced.then(|| name.clone()));
        }
        names.sort_unstable();
        names
    }

    fn read(&mut self, vm: usize, holds: bool) {
        let catalog = &mut self.vms[vm];
        for (index, (name, announced)) in self.changes.iter().enumerate().skip(self.read[vm]) {
            let revision = index as u64 + 1;
            if *announced {
                catalog.set_server(name, revision, Some(instance()), self.now);
            } else if holds {
                catalog.hold_server(name, HeldRemoval::new(revision, HOLD, self.now));
            } else {
                catalog.set_server(name, revision, None, self.now);
            }
        }
        self.read[vm] = self.changes.len();
        catalog.remove_due_servers(self.now, self.now);
    }

    /// Passes an update on as VMs do, encoded.
    fn fetch(&mut self, to: usize, from: usize) {
        let known = self.vms[to].revisions();
        let update = self.vms[from].changes_since(&known, self.now);
        let bytes = serde_json::to_vec(&update).expect("an update can be encoded");
        let update: Update = serde_json::from_slice(&bytes).expect("and decoded");
        self.vms[to].merge(update, self.now);
    }

    fn apply(&mut self, event: Event) {
        let index = |vm: u8| usize::from(vm) % VMS;
        match event {
            Event::Announce(server) => self.changes.push((name(server), true)),
            Event::Remove(server) => self.changes.push((name(server), false)),
            Event::Read(vm) => self.read(index(vm), false),
            Event::ReadAfterOutage(vm) => self.read(index(vm), true),
            Event::Fetch(to, from) => self.fetch(index(to), index(from)),
            Event::Wait => self.now += STEP,
        }
    }
}

// Guards against removals that are held back for good, at readers or at their peers.
#[test]
fn hold_server_ends_with_the_servers_that_are_listed_at_all_vms() {
    cases::check::<(Vec<Event>, bool)>(CASES, |(events, holds)| {
        let mut model = Model::default();
        for event in events.iter().take(60) {
            model.apply(*event);
        }
        // From now on, nothing changes and only the first VM reads.
        model.read(0, *holds);
        for vm in 1..VMS {
            model.fetch(vm, 0);
        }
        model.now += HOLD;
        for vm in 0..VMS {
            model.vms[vm].remove_due_servers(model.now, model.now);
            assert_eq!(live(&model.vms[vm]), model.truth(), "VM {vm}");
        }
    });
}

#[test]
fn hold_server_removes_nothing_early_and_revisions_never_decrease() {
    cases::check::<Vec<Event>>(CASES, |events| {
        let mut model = Model::default();
        for event in events.iter().take(60) {
            let before: Vec<_> = model.vms.iter().map(Catalog::revisions).collect();
            model.apply(*event);
            for (old, new) in before.iter().zip(&model.vms) {
                assert!(!old.exceeds(&new.revisions()), "{event:?}");
            }
        }
        for catalog in &mut model.vms {
            let due = catalog.next_server_removal().unwrap_or_default();
            let early = due.saturating_sub(Duration::from_millis(1));
            assert!(catalog.remove_due_servers(early, model.now).is_empty());
        }
    });
}

// Guards against entries that come back and stay in doubt at peers of a VM that held
// their removal back.
#[test]
fn hold_server_return_without_a_change_reaches_peers() {
    let (mut reader, mut peer) = (Catalog::new(), Catalog::new());
    reader.set_server("i-1", 1, Some(instance()), Time::ZERO);
    peer.set_server("i-1", 1, Some(instance()), Time::ZERO);
    reader.hold_server("i-1", HeldRemoval::new(2, HOLD, Time::ZERO));
    peer.set_server("i-1", 2, None, Time::ZERO);
    reader.set_server("i-1", 3, Some(instance()), Time::ZERO);
    peer.merge(
        reader.changes_since(&peer.revisions(), Time::ZERO),
        Time::ZERO,
    );
    assert_eq!(live(&peer), ["i-1"]);
    assert_eq!(reader.next_server_removal(), None);
}
