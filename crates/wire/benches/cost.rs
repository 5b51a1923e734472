//! Cost of sealing and opening a datagram, by the number of messages in it.

use base::Class;
use divan::AllocProfiler;
use divan::Bencher;
use route::epoch::Epoch;
use route::msg::AttemptKind;
use route::msg::Body;
use route::msg::PermitRequest;
use wire::datagram;
use wire::datagram::Datagram;
use wire::Keyring;
use wire::Msg;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

const COUNTS: [usize; 4] = [1, 2, 4, 16];

fn acquire(call: u64) -> Msg {
    let ask = PermitRequest {
        class: Class::Critical,
        left: std::time::Duration::from_secs(1),
        goal: std::time::Duration::from_secs(1),
        late_wait: std::time::Duration::from_secs(1) / 8,
        kind: AttemptKind::First,
        avoid: Vec::new(),
        domain: 3 << 60,
        ranking: None,
    };
    let epoch = Epoch {
        count: 2,
        home: 9 << 60,
    };
    Msg::Route(route::Msg {
        shard: 5 << 60,
        body: Body::Acquire { epoch, call, ask },
    })
}

fn sealed(count: usize, keys: &Keyring) -> Vec<u8> {
    let mut datagram = Datagram::new(7 << 60);
    for call in 0..count as u64 {
        datagram.add(&acquire((1 << 62) + call));
    }
    datagram.seal(keys)
}

#[divan::bench(args = COUNTS)]
fn seal_by_messages(bencher: Bencher<'_, '_>, count: usize) {
    let keys = Keyring::new(vec![[1; 32]]);
    let size = sealed(count, &keys).len();
    bencher
        .counter(divan::counter::BytesCount::new(size))
        .bench_local(|| sealed(count, &keys));
}

#[divan::bench(args = COUNTS)]
fn open_by_messages(bencher: Bencher<'_, '_>, count: usize) {
    let keys = Keyring::new(vec![[1; 32]]);
    let bytes = sealed(count, &keys);
    bencher.bench_local(|| datagram::open(&bytes, &keys).map(|(_, msgs)| msgs.len()));
}
