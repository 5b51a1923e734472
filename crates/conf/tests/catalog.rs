//! The copy of the service registry: revisions never decrease, whatever changes
//! arrive in whatever order.

use std::sync::Arc;
use std::time::Duration;

use base::Time;
use bolero::TypeGenerator;
use conf::catalog::Instance;
use conf::catalog::Update;
use conf::layout::WeightedService;
use conf::team::KeyDigest;
use conf::Catalog;
use conf::Layout;
use conf::Mapping;
use conf::Rollout;
use conf::RolloutState;
use conf::Service;
use conf::Team;

/// Number of cases generated for each property.
const CASES: u64 = 100_000;

fn instance(port: u16) -> Instance {
    Instance {
        service: "plans".into(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "north".into(),
        slots: 2,
        draining: false,
        cold: Duration::ZERO,
        born: 1,
        announced: 0,
        version: String::new(),
    }
}

fn layout(ticket: u64) -> Arc<Layout> {
    Arc::new(Layout {
        ticket,
        mappings: vec![Mapping {
            name: "r".into(),
            host: "h".into(),
            prefix: "/plans/".into(),
            shares: vec![WeightedService {
                service: "plans".into(),
                weight: 1,
            }],
            idempotent: true,
            timeout: Duration::from_secs(1),
            target: Duration::from_millis(200),
            attempts: 2,
            class: base::Class::Interactive,
            rank: 2,
            public: false,
        }],
        services: vec![Service::new("plans", "/", Duration::from_secs(2))],
        limits: None,
        teams: None,
    })
}

#[test]
fn calls_are_weighed_with_teams_or_folded_ranks_only() {
    let mut one = Layout::clone(&layout(1));
    one.mappings.push(Mapping {
        class: base::Class::Critical,
        rank: 1,
        ..one.mappings[0].clone()
    });
    assert!(!one.weighs_calls());
    let mut folded = one.clone();
    folded.mappings[0].class = base::Class::Critical;
    assert!(folded.weighs_calls());
    one.teams = Some(Vec::new());
    assert!(one.weighs_calls());
}

/// A change that a VM receives: name, revision and whether the entry exists; for a
/// layout, revision and ticket number.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Server(u8, u8, bool),
    Out(u8, u8, bool),
    Layout(u8, u8),
}

fn apply(catalog: &mut Catalog, event: Event, now: Time) {
    match event {
        Event::Server(name, revision, present) => {
            let value = present.then(|| instance(u16::from(revision) + 1));
            let name = format!("i-{}", name % 4);
            catalog.set_server(&name, u64::from(revision), value, now);
        }
        Event::Out(name, revision, out) => {
            let name = format!("d-{}", name % 3);
            catalog.set_domain_out(&name, u64::from(revision), out, now);
        }
        Event::Layout(revision, ticket) => {
            catalog.set_layout(u64::from(revision), layout(u64::from(ticket)));
        }
    }
}

#[test]
fn catalog_revisions_never_decrease() {
    cases::check::<Vec<Event>>(CASES, |events| {
        let mut catalog = Catalog::new();
        for event in events {
            let before = catalog.clone();
            apply(&mut catalog, *event, Time::ZERO);
            let (old, new) = (before.revisions(), catalog.revisions());
            assert!(!old.exceeds(&new), "{old:?} {new:?}");
            let ticket = |c: &Catalog| c.layout().map_or(0, |l| l.ticket);
            assert!(ticket(&before) <= ticket(&catalog));
            for old in before.servers() {
                let new = catalog.servers().iter().find(|s| s.name == old.name);
                assert!(new.is_some_and(|new| new.revision >= old.revision));
            }
        }
    });
}

#[test]
fn merge_makes_the_catalog_of_a_peer_equal() {
    cases::check::<(Vec<Event>, Vec<Event>)>(CASES, |(first, second)| {
        let mut one = Catalog::new();
        let mut revision = 0;
        // A reader receives changes in the order of their revisions.
        let mut apply_all = |one: &mut Catalog, events: &[Event]| {
            for event in events.iter().take(100) {
                revision += 1;
                let event = match *event {
                    Event::Server(name, _, present) => Event::Server(name, revision, present),
                    Event::Out(name, _, out) => Event::Out(name, revision, out),
                    Event::Layout(_, ticket) => Event::Layout(revision, ticket),
                };
                apply(one, event, Time::ZERO);
            }
        };
        apply_all(&mut one, first);
        let mut other = Catalog::new();
        other.merge(
            one.changes_since(&other.revisions(), Time::ZERO),
            Time::ZERO,
        );
        apply_all(&mut one, second);
        // The update is applied twice, because messages may be duplicated.
        for _ in 0..2 {
            let update: Update = one.changes_since(&other.revisions(), Time::ZERO);
            let bytes = serde_json::to_vec(&update).expect("an update can be encoded");
            let update = serde_json::from_slice(&bytes).expect("and decoded");
            other.merge(update, Time::ZERO);
        }
        let live = |c: &Catalog| -> Vec<_> {
            let present = c.servers().iter().filter(|s| s.value.is_some());
            present.map(|s| (s.name.clone(), s.value.clone())).collect()
        };
        assert_eq!(live(&one), live(&other));
        assert_eq!(one.revisions().layout, other.revisions().layout);
    });
}

/// A change of a registry whose servers repeat their announcements.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Write {
    Announce(u8),
    Remove(u8),
}

#[test]
fn merge_removal_does_not_win_over_a_return_that_changed_nothing() {
    cases::check::<(Vec<Write>, u8)>(CASES, |(writes, read)| {
        let name = |server: u8| format!("i-{}", server % 3);
        let mut truth: Vec<String> = Vec::new();
        let (mut reader, mut peer) = (Catalog::new(), Catalog::new());
        let read = usize::from(*read) % (writes.len() + 1);
        for (index, write) in writes.iter().enumerate() {
            let revision = index as u64 + 1;
            let (name, value) = match *write {
                Write::Announce(server) => (name(server), Some(instance(1))),
                Write::Remove(server) => (name(server), None),
            };
            truth.retain(|known| *known != name);
            truth.extend(value.is_some().then(|| name.clone()));
            // The reader holds a removal back, and the server returns in time.
            let returns = writes[index..].iter().any(|later| match *later {
                Write::Announce(server) => format!("i-{}", server % 3) == name,
                Write::Remove(_) => false,
            });
            if value.is_some() || !returns {
                reader.set_server(&name, revision, value.clone(), Time::ZERO);
            }
            if value.is_some() {
                reader.note_return(&name);
            }
            if index < read {
                peer.set_server(&name, revision, value, Time::ZERO);
            }
        }
        truth.sort_unstable();
        for _ in 0..3 {
            let update = peer.changes_since(&reader.revisions(), Time::ZERO);
            reader.merge(update, Time::ZERO);
            let update = reader.changes_since(&peer.revisions(), Time::ZERO);
            peer.merge(update, Time::ZERO);
        }
        assert_eq!(live(&reader), truth);
        assert_eq!(live(&peer), truth);
    });
}

// Guards against returns that are lost at a VM that never saw the deletion.
#[test]
fn merge_return_reaches_a_peer_through_a_vm_that_saw_no_removal() {
    let announce = |catalog: &mut Catalog, name: &str, revision| {
        catalog.set_server(name, revision, Some(instance(1)), Time::ZERO);
    };
    let (mut reader, mut relay, mut peer) = (Catalog::new(), Catalog::new(), Catalog::new());
    for catalog in [&mut reader, &mut relay, &mut peer] {
        announce(catalog, "i-1", 1);
    }
    peer.set_server("i-1", 2, None, Time::ZERO);
    announce(&mut reader, "i-1", 3);
    reader.note_return("i-1");
    announce(&mut reader, "i-2", 4);
    relay.merge(
        reader.changes_since(&relay.revisions(), Time::ZERO),
        Time::ZERO,
    );
    peer.merge(
        relay.changes_since(&peer.revisions(), Time::ZERO),
        Time::ZERO,
    );
    assert_eq!(live(&peer), ["i-1", "i-2"]);
}

/// Peers whose revisions are the same still pass roll-outs on, and a peer of an earlier
/// build sends none.
#[test]
fn merge_rollout_reaches_a_peer_and_ends_with_its_entry() {
    let rollout = |state| Rollout {
        service: "plans".into(),
        target: "v2".into(),
        duration: Duration::from_secs(60),
        order: 7,
        state,
    };
    let (mut reader, mut peer) = (Catalog::new(), Catalog::new());
    let json = serde_json::to_value(reader.changes_since(&peer.revisions(), Time::ZERO)).unwrap();
    assert_eq!(json.get("rollouts"), None);
    let pass_on = |reader: &Catalog, peer: &mut Catalog| {
        let update = reader.changes_since(&peer.revisions(), Time::ZERO);
        let json = serde_json::to_string(&update).unwrap();
        peer.merge(serde_json::from_str(&json).unwrap(), Time::ZERO)
    };
    assert!(reader.set_rollout("plans", 5, Some(rollout(None)), Time::ZERO));
    assert!(pass_on(&reader, &mut peer));
    assert!(!pass_on(&reader, &mut peer));
    assert_eq!(peer.rollouts()[0].value, Some(rollout(None)));
    let state = Some(RolloutState::RolledBack);
    assert!(peer.set_rollout("plans", 6, Some(rollout(state)), Time::ZERO));
    // What is older never replaces it.
    assert!(!pass_on(&reader, &mut peer));
    assert_eq!(peer.rollouts()[0].value, Some(rollout(state)));
    assert!(reader.set_rollout("plans", 8, None, Time::ZERO));
    assert!(pass_on(&reader, &mut peer));
    assert_eq!(peer.rollouts()[0].value, None);
}

/// Returns the names of the servers that `catalog` has.
fn live(catalog: &Catalog) -> Vec<String> {
    let present = catalog.servers().iter().filter(|s| s.value.is_some());
    present.map(|s| s.name.clone()).collect()
}

#[test]
fn state_restarted_server_gets_a_new_id() {
    let mut catalog = Catalog::new();
    catalog.set_layout(1, layout(7));
    catalog.set_server("i-1", 2, Some(instance(80)), Time::ZERO);
    let first = catalog.state("r", Time::ZERO);
    let restarted = Instance {
        born: 2,
        ..instance(80)
    };
    catalog.set_server("i-1", 3, Some(restarted), Time::ZERO);
    let second = catalog.state("r", Time::ZERO);
    let id = |state: &conf::State| {
        let server = &state.services[0].servers[0];
        assert_eq!(server.instance(), "i-1");
        server.id("plans")
    };
    assert_ne!(id(&first), id(&second));
    assert_eq!(second.layout_ticket(), 7);
}

#[test]
fn set_server_heartbeat_changes_nothing() {
    let mut catalog = Catalog::new();
    assert!(catalog.set_server("i-1", 2, Some(instance(80)), Time::ZERO));
    assert!(!catalog.set_server("i-1", 9, Some(instance(80)), Time::ZERO));
    // The deletion of the entry may have the revision of the last heartbeat.
    assert!(catalog.set_server("i-1", 9, None, Time::ZERO));
    assert!(!catalog.set_server("i-1", 9, Some(instance(80)), Time::ZERO));
}

#[test]
fn state_server_is_cold_until_it_announces_otherwise() {
    let mut catalog = Catalog::new();
    catalog.set_layout(1, layout(7));
    let cold = Instance {
        cold: Duration::from_secs(3),
        ..instance(80)
    };
    catalog.set_server("i-1", 2, Some(cold), Time::ZERO);
    assert_ne!(
        catalog.state("r", Time::ZERO).services[0].servers[0].cold,
        0
    );
    assert!(catalog.set_server("i-1", 3, Some(instance(80)), Time::ZERO));
    assert_eq!(
        catalog.state("r", Time::ZERO).services[0].servers[0].cold,
        0
    );
}

/// Returns the layout of `ticket` with the one team `name`.
fn layout_with_team(ticket: u64, name: &str) -> Arc<Layout> {
    let mut layout = Layout::clone(&layout(ticket));
    layout.teams = Some(vec![Team {
        name: name.into(),
        keys: vec![KeyDigest::new(b"k")],
        rank: None,
        quota: None,
    }]);
    Arc::new(layout)
}

fn update(revision: u64, layout: Arc<Layout>) -> Update {
    Update {
        layout: Some((revision, layout)),
        ..Update::default()
    }
}

#[test]
fn merge_layout_without_teams_is_refused_where_there_are_teams() {
    let mut catalog = Catalog::new().with_needs_teams(true);
    assert!(!catalog.merge(update(3, layout(7)), Time::ZERO));
    assert!(!catalog.has_layout() && catalog.awaits_layout());
    assert!(!catalog.state("r", Time::ZERO).is_configured());
    // The registry itself, or a peer of this build, has it with the teams.
    assert!(catalog.set_layout(3, layout_with_team(7, "a")));
    assert!(!catalog.awaits_layout());
    assert!(!catalog.merge(update(4, layout(8)), Time::ZERO));
    assert_eq!(catalog.layout(), Some(&layout_with_team(7, "a")));
    assert!(catalog.awaits_layout());
    assert!(catalog.merge(update(4, layout_with_team(8, "b")), Time::ZERO));
    assert!(!catalog.awaits_layout());
    // What the registry itself has is taken over, and no call passes without a key.
    assert!(catalog.set_layout(5, layout(9)));
    assert!(!catalog.awaits_layout());
}

#[test]
fn merge_layout_without_teams_is_taken_over_elsewhere() {
    let mut catalog = Catalog::new();
    assert!(catalog.merge(update(3, layout(7)), Time::ZERO));
    assert!(!catalog.awaits_layout());
    // The teams that an earlier build dropped are added, and never taken away again.
    assert!(catalog.merge(update(3, layout_with_team(7, "a")), Time::ZERO));
    assert!(!catalog.merge(update(3, layout(7)), Time::ZERO));
    assert!(!catalog.merge(update(3, layout_with_team(7, "b")), Time::ZERO));
    assert_eq!(catalog.layout(), Some(&layout_with_team(7, "a")));
}
