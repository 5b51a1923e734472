//! VMs that are partitioned from all servers, while callers and other VMs reach them.

mod harness;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use harness::respond_whole;
use harness::Harness;
use harness::Scripted;
use net::cut::Cut;
use net::cut::CutConnector;
use node::Options;

const SERVERS: usize = 6;
/// The time from the start of a partition until calls have to be served again.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const CALLS: usize = 60;

/// Responds as [`respond_whole`] does, and says to a call of `/leave` that the server leaves.
fn respond_leaving(stream: &mut TcpStream, head: &str) {
    if !head.contains("/leave") {
        return respond_whole(stream, head);
    }
    let response = "HTTP/1.1 200 OK\r\nsnipepaddle-leaving: 1\r\ncontent-length: 5\r\n\r\nwhole";
    let _ = stream.write_all(response.as_bytes());
}

/// Starts two VMs; the second one opens connections by `connector`.
fn start(connector: &Arc<CutConnector>, servers: &[Scripted]) -> Harness {
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    let mut harness = Harness::new(&addresses);
    let options = Options {
        connector: Some(connector.clone()),
        ..Options::default()
    };
    harness.add_vm_with("vm-2", options);
    count_served(&harness);
    harness
}

/// Calls both VMs by turns, and returns how many calls each of them served.
fn count_served(harness: &Harness) -> (usize, usize) {
    let callers = harness.all_callers();
    let mut served = [0, 0];
    for n in 0..CALLS * 2 {
        let (vm, method) = (n % 2, if n % 4 < 2 { "GET" } else { "POST" });
        let answer = harness.call_at(callers[vm], method, &format!("/{n}"), "", "x");
        served[vm] += usize::from(answer.starts_with("HTTP/1.1 200"));
        std::thread::sleep(Duration::from_millis(5));
    }
    (served[0], served[1])
}

fn check_partition(cut: Cut) {
    let connector = Arc::new(CutConnector::new());
    let servers: Vec<Scripted> = (0..SERVERS).map(|_| Scripted::new(respond_whole)).collect();
    let harness = start(&connector, &servers);
    connector.set(cut);
    let callers = harness.all_callers();
    let began = std::time::Instant::now();
    while began.elapsed() < SETTLE_TIME {
        harness.call_at(callers[1], "GET", "/", "", "");
        std::thread::sleep(Duration::from_millis(50));
    }
    let (others, partitioned) = count_served(&harness);
    assert!(
        others * 50 >= CALLS * 49 && partitioned * 3 >= others * 2,
        "{cut:?}: the partitioned VM served {partitioned} of {CALLS}, the other one {others}"
    );
    connector.set(Cut::None);
    std::thread::sleep(SETTLE_TIME);
    let served = count_served(&harness);
    assert_eq!(served, (CALLS, CALLS), "{cut:?}: after the partition");
    assert!(connector.connections() > 0, "{cut:?}: calls take a detour");
}

#[test]
fn vm_that_servers_refuse_fails_its_calls() {
    check_partition(Cut::Refused);
}

#[test]
fn vm_that_servers_do_not_answer_fails_its_calls() {
    check_partition(Cut::Silent);
}

#[test]
fn vm_whose_new_connections_are_refused_fails_its_calls() {
    check_partition(Cut::NewRefused);
}

#[test]
fn server_that_leaves_gets_calls_of_a_vm_that_relayed_its_response() {
    let connector = Arc::new(CutConnector::new());
    let servers: Vec<Scripted> = (0..2).map(|_| Scripted::new(respond_leaving)).collect();
    let harness = start(&connector, &servers);
    connector.set(Cut::Refused);
    let partitioned = harness.all_callers()[1];
    let began = std::time::Instant::now();
    while began.elapsed() < SETTLE_TIME {
        harness.call_at(partitioned, "GET", "/", "", "");
        std::thread::sleep(Duration::from_millis(50));
    }
    let counts = || [servers[0].count(), servers[1].count()];
    let before = counts();
    let answer = harness.call_at(partitioned, "POST", "/leave", "", "x");
    assert!(answer.ends_with("whole"), "{answer}");
    let leaving = usize::from(counts()[1] > before[1]);
    connector.set(Cut::None);
    std::thread::sleep(Duration::from_secs(1));
    let before = counts();
    for n in 0..20 {
        let answer = harness.call_at(partitioned, "POST", &format!("/{n}"), "", "x");
        assert!(answer.ends_with("whole"), "{answer}");
    }
    assert!(connector.connections() > 0, "calls take a detour");
    assert_eq!(counts()[leaving], before[leaving]);
}
