//! The callers of the load tool stay within their number of connections.

use std::io::Read;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use load::callers::Balancer;
use load::callers::Callers;
use load::callers::CONNECTIONS_PER_VM_MAX;
use load::plan::Plan;

/// The share of one VM in the 20,000 descriptors of a test process that runs eight
/// fleets of four VMs and holds both ends of each connection. It exceeds the limit of
/// the callers, because closed connections are noticed late.
const OPEN_MAX: usize = 20_000 / (8 * 4 * 2);

/// 800 calls a second, each of which waits for two seconds.
const PLAN: &str = r#"{
  "name": "hang",
  "domains": ["a"],
  "vms": 1,
  "latency": { "peers": "0s", "callers": "0s", "servers": "0s" },
  "services": [
    { "name": "reads", "servers": 4, "slots": 2, "mean": "5ms", "deadline": "1s" }
  ],
  "load": 0.5, "warmup": "0s", "time": "1s"
}"#;

/// The number of connections that a VM has open.
#[derive(Default)]
struct OpenCount {
    now: AtomicUsize,
    most: AtomicUsize,
}

impl OpenCount {
    fn add(&self) {
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(now, Ordering::SeqCst);
    }

    /// Reads `stream` until the caller closes it, without a response.
    fn read_to_end(&self, mut stream: TcpStream) {
        let _ = stream.read_to_end(&mut Vec::new());
        self.now.fetch_sub(1, Ordering::SeqCst);
    }
}

#[test]
fn run_vm_without_responses_opens_a_bounded_number_of_connections() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let open = Arc::new(OpenCount::default());
    let counter = open.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.add();
            let counter = counter.clone();
            std::thread::spawn(move || counter.read_to_end(stream));
        }
    });
    let plan = Arc::new(Plan::parse(PLAN).unwrap());
    let balancer = Arc::new(Balancer::new(vec![address]));
    let callers = Callers::new(plan, balancer);
    let tally = smol::block_on(callers.run(Duration::from_secs(1)));
    assert!(tally.samples.len() > CONNECTIONS_PER_VM_MAX);
    let most = open.most.load(Ordering::SeqCst);
    assert!(most > 0);
    assert!(most <= OPEN_MAX, "{most} connections open to one VM");
}
