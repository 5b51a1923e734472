//! Time and memory that the configuration takes, by the number of services, which have
//! twelve servers each.

use std::time::Duration;

use conf::head::PartRef;
use conf::mirror;
use conf::Head;
use conf::Mirror;
use conf::Server;
use conf::Service;
use divan::AllocProfiler;
use divan::Bencher;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

const SERVICES: [usize; 3] = [10, 100, 850];

fn service(n: usize) -> Service {
    let address = ([127, 0, 0, 1], 9000).into();
    let servers = (0..12).map(|s| Server::new(&format!("server-{s}"), address, "north", 2));
    Service::new(
        &format!("service-{n}"),
        &format!("/service-{n}/"),
        Duration::from_secs(1),
    )
    .with_servers(servers.collect())
}

fn add_service(mirror: &mut Mirror, head: &mut Head, n: usize, ticket: u64) {
    let bytes = serde_json::to_vec(&service(n)).unwrap();
    let part_ref = PartRef {
        service: format!("service-{n}"),
        ticket,
        digest: mirror::part_digest(&bytes),
    };
    head.set_part(part_ref.clone());
    head.revision += 1;
    mirror.offer_head(head.clone());
    mirror.add_part(&part_ref, bytes).unwrap();
}

fn mirror(services: usize) -> (Mirror, Head) {
    let mut mirror = Mirror::new();
    let mut head = Head::default();
    for n in 0..services {
        add_service(&mut mirror, &mut head, n, 1);
    }
    (mirror, head)
}

/// Applies one ticket on one service to a mirror: the head, the part and the new state.
#[divan::bench(args = SERVICES)]
fn ticket_by_services(bencher: Bencher<'_, '_>, services: usize) {
    let (mut mirror, mut head) = mirror(services);
    let mut ticket = 1;
    bencher.bench_local(|| {
        ticket += 1;
        head.retired.clear();
        add_service(&mut mirror, &mut head, 3, ticket);
        divan::black_box(mirror.state());
    });
}

#[divan::bench(args = SERVICES)]
fn find_by_services(bencher: Bencher<'_, '_>, services: usize) {
    let (mirror, _) = mirror(services);
    let state = mirror.state();
    bencher
        .bench_local(|| divan::black_box(state.find_service("host", "/service-7/plans")).is_some());
}

#[divan::bench(args = SERVICES)]
fn whole_mirror(services: usize) -> Mirror {
    mirror(services).0
}

#[divan::bench(args = SERVICES)]
fn head_size(bencher: Bencher<'_, '_>, services: usize) {
    let (_, head) = mirror(services);
    let size = serde_json::to_vec(&head).unwrap().len();
    bencher
        .counter(divan::counter::BytesCount::new(size))
        .bench_local(|| serde_json::to_vec(&head).unwrap());
}
