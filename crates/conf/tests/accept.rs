//! Tickets and domain orders under races, lost replies, outages and stale reads.

use std::sync::Arc;
use std::time::Duration;

use conf::accept;
use conf::accept::ApplyContext;
use conf::accept::Error;
use conf::domains::DomainOrder;
use conf::ticket::Domain;
use conf::ticket::ServerChange;
use conf::Mirror;
use conf::Server;
use conf::Service;
use conf::Ticket;
use plat::Store;
use standin::store::Faults;
use standin::MemoryStore;

fn context() -> ApplyContext {
    ApplyContext {
        name: "test".into(),
        region: "home".into(),
        at: 0,
        force: false,
    }
}

fn service(name: &str, slots: u32) -> Service {
    let address = ([127, 0, 0, 1], 9000).into();
    Service::new(name, &format!("/{name}"), Duration::from_secs(1))
        .with_servers(vec![Server::new("one", address, "north", slots)])
}

fn ticket(number: u64, services: Vec<Service>) -> Ticket {
    let mut ticket = Ticket::new(number, "amy");
    ticket.domains = vec![Domain {
        name: "north".into(),
        region: String::new(),
        ticket: 0,
    }];
    if number > 1 {
        ticket.domains.clear();
    }
    ticket.services = services;
    ticket
}

fn apply_first_ticket(store: &MemoryStore) {
    let ticket = ticket(1, vec![service("a", 1), service("b", 1), service("c", 1)]);
    smol::block_on(accept::apply_ticket(store, &ticket, &context())).unwrap();
}

/// Reads the whole accepted configuration from the store into a mirror.
fn mirror(store: &MemoryStore) -> Mirror {
    let mut mirror = Mirror::new();
    let (_, head) = smol::block_on(accept::read_head(store)).unwrap();
    for entry in mirror.offer_head(head) {
        let object = smol::block_on(store.get(&entry.key())).unwrap().unwrap();
        mirror.add_part(&entry, object.value).unwrap();
    }
    mirror
}

fn slots(mirror: &Mirror, service: &str) -> u32 {
    let state = mirror.state();
    state.service(base::id::service(service)).unwrap().servers[0].slots
}

#[test]
fn apply_ticket_repeated_is_accepted_once() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    let ticket = ticket(2, vec![service("a", 2)]);
    let one = smol::block_on(accept::apply_ticket(&store, &ticket, &context())).unwrap();
    let two = smol::block_on(accept::apply_ticket(&store, &ticket, &context())).unwrap();
    assert_eq!(one, two);
    assert_eq!(mirror(&store).revision(), 2);
}

#[test]
fn apply_ticket_taken_number_is_refused() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    smol::block_on(accept::apply_ticket(
        &store,
        &ticket(2, vec![service("a", 2)]),
        &context(),
    ))
    .unwrap();
    let other = ticket(2, vec![service("a", 3)]);
    let refused = smol::block_on(accept::apply_ticket(&store, &other, &context()));
    assert_eq!(refused, Err(Error::NumberTaken(2)));
}

#[test]
fn apply_ticket_lower_number_on_the_same_item_is_superseded() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    smol::block_on(accept::apply_ticket(
        &store,
        &ticket(5, vec![service("a", 5)]),
        &context(),
    ))
    .unwrap();
    let late = smol::block_on(accept::apply_ticket(
        &store,
        &ticket(4, vec![service("a", 4)]),
        &context(),
    ));
    assert!(
        matches!(late, Err(Error::Superseded { by: 5, .. })),
        "{late:?}"
    );
    smol::block_on(accept::apply_ticket(
        &store,
        &ticket(3, vec![service("b", 3)]),
        &context(),
    ))
    .unwrap();
    let mirror = mirror(&store);
    assert_eq!((slots(&mirror, "a"), slots(&mirror, "b")), (5, 3));
}

#[test]
fn apply_ticket_one_server_leaves_the_others_unchanged() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    let mut ticket = ticket(2, Vec::new());
    let address = ([127, 0, 0, 1], 9001).into();
    ticket.servers = vec![ServerChange {
        service: "a".into(),
        server: Server::new("two", address, "north", 7),
    }];
    smol::block_on(accept::apply_ticket(&store, &ticket, &context())).unwrap();
    let state = mirror(&store).state();
    let service = state.service(base::id::service("a")).unwrap();
    let slots: Vec<u32> = service.servers.iter().map(|s| s.slots).collect();
    assert_eq!(slots, [1, 7]);
    assert_eq!(service.servers[0].ticket, 1);
    assert_eq!(service.servers[1].ticket, 2);
}

#[test]
fn apply_ticket_unknown_references_are_all_listed() {
    let store = MemoryStore::new(1);
    let mut ticket = ticket(2, vec![service("a", 1)]);
    ticket.services[0].servers[0].domain = "nowhere".into();
    let refused = smol::block_on(accept::apply_ticket(&store, &ticket, &context()));
    let Err(Error::Invalid(errors)) = refused else {
        panic!("{refused:?}");
    };
    assert!(errors.to_string().contains("nowhere"));
}

#[test]
fn apply_ticket_without_a_server_needs_force() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    let empty = service("a", 1).with_servers(Vec::new());
    let ticket = ticket(2, vec![empty]);
    let refused = smol::block_on(accept::apply_ticket(&store, &ticket, &context()));
    assert!(matches!(refused, Err(Error::NeedsForce(_))));
    let forced = ApplyContext {
        force: true,
        ..context()
    };
    smol::block_on(accept::apply_ticket(&store, &ticket, &forced)).unwrap();
}

#[test]
fn apply_ticket_too_large_for_one_object_is_refused_whole() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    let address = ([127, 0, 0, 1], 9000).into();
    let servers = (0..9000).map(|n| Server::new(&format!("server-{n}"), address, "north", 1));
    let big = service("a", 1).with_servers(servers.collect());
    let both = ticket(2, vec![service("b", 9), big]);
    let refused = smol::block_on(accept::apply_ticket(&store, &both, &context()));
    assert!(
        matches!(refused, Err(Error::Platform(plat::Error::TooLarge(_)))),
        "{refused:?}"
    );
    assert_eq!(slots(&mirror(&store), "b"), 1);
}

/// One writer in a race: which service its ticket changes (from 128 on, two of them),
/// and a part of its ticket number.
type Writer = (u8, u8);

/// Applies the tickets of all writers concurrently; returns each ticket with its
/// result.
fn race(store: &Arc<MemoryStore>, writers: &[Writer]) -> Vec<(Ticket, accept::Result<u64>)> {
    let names = ["a", "b", "c"];
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = writers
        .iter()
        .enumerate()
        .map(|(n, (which, number))| {
            let number = 2 + u64::from(*number) * 8 + n as u64;
            let which = usize::from(*which);
            let mut services = vec![service(names[which % 3], number as u32 % 1000 + 1)];
            if which >= 128 {
                services.push(service(names[(which + 1) % 3], number as u32 % 1000 + 1));
            }
            let ticket = ticket(number, services);
            let store = store.clone();
            let task = executor.spawn(async move {
                let results = accept::apply_ticket(&*store, &ticket, &context()).await;
                (ticket, results.map(|accepted| accepted.revision))
            });
            task
        })
        .collect();
    smol::block_on(executor.run(async {
        let mut results = Vec::new();
        for task in tasks {
            results.push(task.await);
        }
        results
    }))
}

#[test]
fn apply_ticket_races_and_lost_replies_lose_and_split_nothing() {
    cases::check::<(u64, u8, u8, Vec<Writer>)>(60, |(seed, lost, stale, writers)| {
        let store = Arc::new(MemoryStore::new(*seed));
        apply_first_ticket(&store);
        store.set_faults(Faults {
            lost_writes: f64::from(*lost) / 1000.0,
            stale_reads: f64::from(*stale) / 2000.0,
            ..Faults::default()
        });
        let writers = &writers[..writers.len().min(6)];
        let results = race(&store, writers);
        store.set_faults(Faults::default());
        let mirror = mirror(&store);
        for (ticket, results) in &results {
            let accepted = mirror.head().has_accepted(ticket.number, &ticket.digest());
            if results.is_ok() {
                assert!(
                    accepted,
                    "ticket {} was reported as accepted but is not in the head",
                    ticket.number
                );
            }
            let refused = matches!(
                results,
                Err(Error::Superseded { .. }
                    | Error::ConcurrentChange { .. }
                    | Error::NumberTaken(_))
            );
            assert!(
                !(refused && accepted),
                "ticket {} was reported as refused but is in the head",
                ticket.number
            );
        }
        check_services(&mirror, &results);
    });
}

/// Checks that each service is as the accepted ticket with the highest number left it.
fn check_services(mirror: &Mirror, results: &[(Ticket, accept::Result<u64>)]) {
    for name in ["a", "b", "c"] {
        let last = results
            .iter()
            .map(|(ticket, _)| ticket)
            .filter(|ticket| mirror.head().has_accepted(ticket.number, &ticket.digest()))
            .filter(|ticket| ticket.touched_services().contains(&name))
            .max_by_key(|ticket| ticket.number);
        let wanted = last.map_or(1, |ticket| ticket.number as u32 % 1000 + 1);
        assert_eq!(slots(mirror, name), wanted, "service {name}");
    }
}

#[test]
fn apply_ticket_while_the_platform_is_down_can_be_repeated() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let ticket = ticket(2, vec![service("a", 2)]);
    let refused = smol::block_on(accept::apply_ticket(&store, &ticket, &context()));
    assert!(matches!(
        refused,
        Err(Error::Platform(plat::Error::Unavailable(_)))
    ));
    store.set_faults(Faults::default());
    smol::block_on(accept::apply_ticket(&store, &ticket, &context())).unwrap();
    assert_eq!(slots(&mirror(&store), "a"), 2);
}

#[test]
fn offer_head_older_or_partial_heads_change_nothing() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    let (_, old) = smol::block_on(accept::read_head(&store)).unwrap();
    let two = ticket(2, vec![service("a", 2), service("b", 2)]);
    smol::block_on(accept::apply_ticket(&store, &two, &context())).unwrap();
    let mut mirror = mirror(&store);
    assert!(mirror.offer_head(old).is_empty());
    assert_eq!(mirror.revision(), 2);
    let three = ticket(3, vec![service("a", 3), service("b", 3)]);
    smol::block_on(accept::apply_ticket(&store, &three, &context())).unwrap();
    let (_, head) = smol::block_on(accept::read_head(&store)).unwrap();
    let missing = mirror.offer_head(head);
    assert_eq!(missing.len(), 2);
    let part = smol::block_on(store.get(&missing[0].key()))
        .unwrap()
        .unwrap();
    assert!(mirror.add_part(&missing[0], b"{}".to_vec()).is_err());
    mirror.add_part(&missing[0], part.value).unwrap();
    assert_eq!((slots(&mirror, "a"), slots(&mirror, "b")), (2, 2));
    let part = smol::block_on(store.get(&missing[1].key()))
        .unwrap()
        .unwrap();
    mirror.add_part(&missing[1], part.value).unwrap();
    assert_eq!((slots(&mirror, "a"), slots(&mirror, "b")), (3, 3));
}

#[test]
fn apply_order_lost_replies_take_a_domain_out_once() {
    for seed in 0..50 {
        let store = MemoryStore::new(seed);
        store.set_faults(Faults {
            lost_writes: 0.3,
            ..Faults::default()
        });
        let order = DomainOrder {
            domain: "north".into(),
            out: true,
            by: "amy".into(),
            at: 0,
        };
        let domains = smol::block_on(accept::apply_order(&store, order)).unwrap();
        assert!(domains.is_out("north"));
        assert_eq!(domains.revision, 1);
    }
}

#[test]
fn find_service_longest_prefix_wins_and_a_host_takes_precedence() {
    cases::check::<(Vec<(bool, Vec<u8>)>, Vec<u8>)>(2000, |(rules, path)| {
        let text = |bytes: &[u8]| -> String {
            let letters = bytes
                .iter()
                .take(8)
                .map(|b| ["a", "b", "/", "é"][usize::from(b % 4)]);
            format!("/{}", letters.collect::<String>())
        };
        let mut services = Vec::new();
        for (n, (host, prefix)) in rules.iter().enumerate() {
            let mut service =
                Service::new(&format!("s-{n}"), &text(prefix), Duration::from_secs(1));
            service.matches[0].host = host.then(|| "h".into());
            services.push(Arc::new(service));
        }
        let state = conf::State::new(
            &conf::Head::default(),
            services,
            conf::DomainOrders::default(),
        );
        let path = text(path);
        let rank = |service: &Service| {
            let rule = &service.matches[0];
            let fits = path.starts_with(&rule.prefix);
            fits.then_some((rule.host.is_some(), rule.prefix.len()))
        };
        let best = state.services.iter().filter_map(|s| rank(s)).max();
        let found = state.find_service("h:80", &path).and_then(rank);
        assert_eq!(found, best, "{path}");
    });
}

#[test]
fn apply_ticket_domain_without_a_region_gets_one() {
    let store = MemoryStore::new(1);
    apply_first_ticket(&store);
    let near = |region: &str| {
        let state = mirror(&store).state();
        let service = state.service(base::id::service("a")).unwrap();
        state.is_in_region(&service.servers[0], region)
    };
    assert!(near("home"));
    assert!(!near("away") && !near(""));
    // A ticket that lists the domain again, applied by a VM of another region, does
    // not change the domain's region.
    let mut again = ticket(2, Vec::new());
    again.domains = ticket(1, Vec::new()).domains;
    let away = ApplyContext {
        region: "away".into(),
        ..context()
    };
    smol::block_on(accept::apply_ticket(&store, &again, &away)).unwrap();
    assert!(near("home") && !near("away"));
}
