//! Time and memory of routing decisions, by the number of servers, VMs, shards and
//! claims.

use std::sync::Arc;
use std::time::Duration;

use base::Class;
use base::Outcome;
use base::Time;
use base::VmId;
use divan::AllocProfiler;
use divan::Bencher;
use route::keys::ClaimTable;
use route::keys::KeyClaim;
use route::ledger::Fleet;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::FollowerReport;
use route::msg::PermitRequest;
use route::msg::Release;
use route::spec::Announcement;
use route::spec::ServerSpec;
use route::AttemptId;
use route::HomeId;
use route::Ledger;
use route::ShardSpec;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

const SERVERS: [usize; 4] = [10, 64, 1000, 10_000];
const FLEETS: [usize; 3] = [13, 100, 300];
const NOW: Time = Time::from_secs(10);

fn spec(servers: usize) -> ShardSpec {
    let server = |n: usize| ServerSpec {
        id: base::id::server("s", &n.to_string()),
        domain: n as u64 % 4,
        slots: 2,
        connections: 220,
        open: true,
        version: Default::default(),
        announced: Announcement::Unknown,
    };
    ShardSpec::new(base::id::service("s"), (0..servers).map(server).collect())
}

fn vms(count: usize) -> Vec<VmId> {
    let mut vms: Vec<VmId> = (0..count).map(|n| base::id::vm(&n.to_string())).collect();
    vms.sort_unstable();
    vms
}

/// Returns the ledger of the first shard, with an epoch that all VMs have
/// acknowledged.
fn ledger(servers: usize, vm_count: usize) -> Ledger {
    let shards = spec(servers).shards();
    let vms = vms(vm_count);
    let fleet = Fleet {
        vms: &vms,
        alive: &vms,
        undiscovered: 0,
    };
    let spec = Arc::new(shards[0].clone());
    let home = HomeId {
        vm: vms[0],
        instance: 1,
    };
    let mut ledger = Ledger::new(home, Default::default(), spec, fleet, NOW);
    for vm in &vms {
        let body = Body::Attach {
            epoch: ledger.epoch(),
            holding: FollowerReport::default(),
            snapshot: Default::default(),
        };
        ledger.receive(*vm, body, NOW);
    }
    ledger.take_actions();
    ledger
}

fn request() -> PermitRequest {
    PermitRequest {
        class: Class::Interactive,
        left: Duration::from_secs(1),
        goal: Duration::from_secs(1),
        late_wait: Duration::from_secs(1) / 8,
        kind: AttemptKind::First,
        avoid: Vec::new(),
        domain: 1,
        ranking: None,
    }
}

/// Requests a permit and releases it again. No other permits are in use.
fn permit(ledger: &mut Ledger, vm: VmId, call: AttemptId, now: Time) {
    let epoch = ledger.epoch();
    let ask = request();
    ledger.receive(vm, Body::Acquire { epoch, call, ask }, now);
    let server = ledger
        .permits()
        .iter()
        .find(|p| p.call == call)
        .map(|p| p.server);
    let release = Release {
        call,
        server: server.unwrap_or_default(),
        outcome: Outcome::Done,
        took: Duration::from_millis(10),
        load: None,
    };
    ledger.receive(vm, Body::Release { epoch, release }, now);
    divan::black_box(ledger.take_actions());
}

#[divan::bench(args = SERVERS)]
fn permit_by_servers(bencher: Bencher<'_, '_>, servers: usize) {
    let mut ledger = ledger(servers, 13);
    let vm = vms(13)[3];
    let mut call = 1 << 32;
    bencher.bench_local(|| {
        call += 1;
        permit(&mut ledger, vm, call, NOW);
    });
}

#[divan::bench(args = FLEETS)]
fn permit_by_fleet(bencher: Bencher<'_, '_>, fleet: usize) {
    let mut ledger = ledger(13, fleet);
    let vm = vms(fleet)[3];
    let mut call = 1 << 32;
    bencher.bench_local(|| {
        call += 1;
        permit(&mut ledger, vm, call, NOW);
    });
}

#[divan::bench(args = FLEETS)]
fn tick_by_fleet(bencher: Bencher<'_, '_>, fleet: usize) {
    let mut ledger = ledger(13, fleet);
    bencher.bench_local(|| {
        ledger.tick(NOW);
        divan::black_box(ledger.take_actions());
    });
}

#[divan::bench(args = FLEETS)]
fn new_ledger_by_fleet(fleet: usize) -> Ledger {
    ledger(13, fleet)
}

#[divan::bench(args = [1, 16, 157])]
fn partition_by_shards(shards: usize) {
    let vms = vms(300);
    for _ in 0..shards {
        let keys: Vec<(u64, u32)> = (0..13).map(|n| (n, 2)).collect();
        divan::black_box(base::rendezvous::partition(&keys, &vms));
    }
}

/// Claims an idempotency key and forgets the claim, by the number of VMs in the
/// region.
#[divan::bench(args = FLEETS)]
fn claim_by_vms(bencher: Bencher<'_, '_>, fleet: usize) {
    let vms = vms(fleet);
    let mut table = ClaimTable::new(vms[0], Time::ZERO);
    table.set_view(&vms, true, Time::ZERO);
    let mut key = 0;
    bencher.bench_local(|| {
        key += 1;
        let claim = KeyClaim { key, call: key };
        divan::black_box(table.claim(claim, vms[0], NOW));
        table.forget(claim, vms[0]);
    });
}

/// Makes `count` claims with different keys in an empty table, which shows the memory
/// that the claims take.
#[divan::bench(args = [1_000, 10_000])]
fn claims_kept(count: u64) -> ClaimTable {
    let mut table = ClaimTable::new(1, Time::ZERO);
    table.set_view(&[1, 2, 3], true, Time::ZERO);
    for key in 0..count {
        table.claim(KeyClaim { key, call: key }, 2, NOW);
    }
    table
}
