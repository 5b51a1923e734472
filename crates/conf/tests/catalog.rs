//! The copy of a system of record: whatever comes in whatever order, nothing
//! goes back.

use std::sync::Arc;
use std::time::Duration;

use base::Time;
use bolero::TypeGenerator;
use conf::catalog::Instance;
use conf::catalog::Update;
use conf::layout::WeightedService;
use conf::Catalog;
use conf::Layout;
use conf::Mapping;
use conf::Service;

fn instance(port: u16) -> Instance {
    Instance {
        service: "plans".into(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "north".into(),
        slots: 2,
        draining: false,
        cold: Duration::ZERO,
        born: 1,
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
        }],
        services: vec![Service::new("plans", "/", Duration::from_secs(2))],
        limits: None,
    })
}

/// Something that a VM is told.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Word {
    Server(u8, u8, bool),
    Out(u8, u8, bool),
    Layout(u8, u8),
}

fn tell(catalog: &mut Catalog, word: Word, now: Time) {
    match word {
        Word::Server(name, revision, there) => {
            let value = there.then(|| instance(u16::from(revision) + 1));
            let name = format!("i-{}", name % 4);
            catalog.set_server(&name, u64::from(revision), value, now);
        }
        Word::Out(name, revision, out) => {
            let name = format!("d-{}", name % 3);
            catalog.set_domain_out(&name, u64::from(revision), out, now);
        }
        Word::Layout(revision, ticket) => {
            catalog.set_layout(u64::from(revision), layout(u64::from(ticket)));
        }
    }
}

#[test]
fn catalog_never_goes_back() {
    bolero::check!().with_type::<Vec<Word>>().for_each(|words| {
        let mut catalog = Catalog::new();
        for word in words {
            let before = catalog.clone();
            tell(&mut catalog, *word, Time::ZERO);
            let (old, new) = (before.revisions(), catalog.revisions());
            assert!(!old.exceeds(&new), "{old:?} {new:?}");
            let ticket = |c: &Catalog| c.layout().map_or(0, |l| l.ticket);
            assert!(ticket(&before) <= ticket(&catalog));
            for was in before.servers() {
                let is = catalog.servers().iter().find(|s| s.name == was.name);
                assert!(is.is_some_and(|is| is.revision >= was.revision));
            }
        }
    });
}

#[test]
fn merge_makes_a_peer_know_the_same() {
    bolero::check!()
        .with_type::<(Vec<Word>, Vec<Word>)>()
        .for_each(|(first, second)| {
            let mut one = Catalog::new();
            let mut revision = 0;
            // A reader hears of changes in the order of their revisions.
            let mut tell_all = |one: &mut Catalog, words: &[Word]| {
                for word in words.iter().take(100) {
                    revision += 1;
                    let word = match *word {
                        Word::Server(name, _, there) => Word::Server(name, revision, there),
                        Word::Out(name, _, out) => Word::Out(name, revision, out),
                        Word::Layout(_, ticket) => Word::Layout(revision, ticket),
                    };
                    tell(one, word, Time::ZERO);
                }
            };
            tell_all(&mut one, first);
            let mut other = Catalog::new();
            other.merge(
                one.changes_since(&other.revisions(), Time::ZERO),
                Time::ZERO,
            );
            tell_all(&mut one, second);
            // Twice, as messages may come twice.
            for _ in 0..2 {
                let update: Update = one.changes_since(&other.revisions(), Time::ZERO);
                let bytes = serde_json::to_vec(&update).expect("an update can be encoded");
                let update = serde_json::from_slice(&bytes).expect("and decoded");
                other.merge(update, Time::ZERO);
            }
            let live = |c: &Catalog| -> Vec<_> {
                let there = c.servers().iter().filter(|s| s.value.is_some());
                there.map(|s| (s.name.clone(), s.value.clone())).collect()
            };
            assert_eq!(live(&one), live(&other));
            assert_eq!(one.revisions().layout, other.revisions().layout);
        });
}

#[test]
fn state_of_a_second_life_is_another_server() {
    let mut catalog = Catalog::new();
    catalog.set_layout(1, layout(7));
    catalog.set_server("i-1", 2, Some(instance(80)), Time::ZERO);
    let first = catalog.state("r", Time::ZERO);
    let reborn = Instance {
        born: 2,
        ..instance(80)
    };
    catalog.set_server("i-1", 3, Some(reborn), Time::ZERO);
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
fn state_signs_of_life_change_nothing() {
    let mut catalog = Catalog::new();
    assert!(catalog.set_server("i-1", 2, Some(instance(80)), Time::ZERO));
    assert!(!catalog.set_server("i-1", 9, Some(instance(80)), Time::ZERO));
    // The end of the entry may bear the revision of the last sign of life.
    assert!(catalog.set_server("i-1", 9, None, Time::ZERO));
    assert!(!catalog.set_server("i-1", 9, Some(instance(80)), Time::ZERO));
}

#[test]
fn state_cold_server_is_marked_until_it_says_otherwise() {
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
