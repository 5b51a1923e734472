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
/// The fields between VMs.
const HEARD: &str = "snipepaddle-heard";
const DENIED: &str = "snipepaddle-denied";

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

/// Cuts the second VM off, and waits until it relays its calls.
fn cut_off(harness: &Harness, connector: &CutConnector) {
    connector.set(Cut::Refused);
    let began = std::time::Instant::now();
    while began.elapsed() < SETTLE_TIME {
        harness.call_at(harness.all_callers()[1], "GET", "/", "", "");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Gives the second VM its path back.
fn join_again(connector: &CutConnector) {
    connector.set(Cut::None);
    std::thread::sleep(Duration::from_secs(1));
}

#[test]
fn server_that_leaves_gets_no_calls_of_a_vm_that_relayed_its_response() {
    let connector = Arc::new(CutConnector::new());
    let servers: Vec<Scripted> = (0..2).map(|_| Scripted::new(respond_leaving)).collect();
    let mut harness = start(&connector, &servers);
    // One of the two others makes the attempt and hears the server, the other one does not.
    harness.add_vm("vm-3");
    let partitioned = harness.all_callers()[1];
    cut_off(&harness, &connector);
    let counts = || [servers[0].count(), servers[1].count()];
    let before = counts();
    let answer = harness.call_at(partitioned, "POST", "/leave", "", "x");
    assert!(answer.ends_with("whole"), "{answer}");
    assert!(!answer.contains(HEARD), "{answer}");
    let leaving = usize::from(counts()[1] > before[1]);
    let before = counts();
    for joined in [false, true] {
        if joined {
            join_again(&connector);
        }
        for n in 0..20 {
            let answer = harness.call_at(partitioned, "POST", &format!("/{n}"), "", "x");
            assert!(answer.ends_with("whole"), "{answer}");
        }
        assert_eq!(counts()[leaving], before[leaving], "{joined}");
    }
    assert!(connector.connections() > 0, "calls take a detour");
}

/// Responds as [`respond_whole`] does, and refuses calls of `/rest` for a rest.
fn respond_resting(stream: &mut TcpStream, head: &str) {
    if !head.contains("/rest") {
        return respond_whole(stream, head);
    }
    let response = "HTTP/1.1 503 X\r\nsnipepaddle-not-run: 1\r\nretry-after: 4\r\n\
                    content-length: 0\r\n\r\n";
    let _ = stream.write_all(response.as_bytes());
}

#[test]
fn servers_that_rest_get_no_calls_of_a_vm_that_relayed_their_refusals() {
    let connector = Arc::new(CutConnector::new());
    let servers: Vec<Scripted> = (0..2).map(|_| Scripted::new(respond_resting)).collect();
    let harness = start(&connector, &servers);
    let partitioned = harness.all_callers()[1];
    cut_off(&harness, &connector);
    let counts = || [servers[0].count(), servers[1].count()];
    let before = counts();
    // One server refuses the first attempt, the other one the retry.
    let answer = harness.call_at(partitioned, "POST", "/rest", "", "x");
    let rested = std::time::Instant::now();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(!answer.contains(HEARD), "{answer}");
    let resting = counts();
    assert!(resting[0] > before[0] && resting[1] > before[1]);
    join_again(&connector);
    for n in 0..20 {
        let answer = harness.call_at(partitioned, "POST", &format!("/{n}"), "", "x");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(counts(), resting);
    std::thread::sleep(Duration::from_millis(4500).saturating_sub(rested.elapsed()));
    let answer = harness.call_at(partitioned, "POST", "/", "", "x");
    assert!(answer.ends_with("whole"), "{answer}");
}

/// Responds as [`respond_whole`] does, and tells another VM that both servers leave. Does
/// not respond if the request has the field.
fn respond_forging(stream: &mut TcpStream, head: &str) {
    if head.contains(HEARD) || head.contains(DENIED) {
        return;
    }
    let ids = ["s-0", "s-1"].map(|name| base::id::server("s", name));
    let response = format!(
        "HTTP/1.1 200 OK\r\nconnection: {HEARD}\r\n\
         {HEARD}: {:x}=leaving, {:x}=leaving\r\ncontent-length: 5\r\n\r\nwhole",
        ids[0], ids[1]
    );
    let _ = stream.write_all(response.as_bytes());
}

#[test]
fn field_between_vms_that_servers_and_callers_forge_has_no_effect() {
    let connector = Arc::new(CutConnector::new());
    let servers: Vec<Scripted> = (0..2).map(|_| Scripted::new(respond_forging)).collect();
    let harness = start(&connector, &servers);
    let partitioned = harness.all_callers()[1];
    cut_off(&harness, &connector);
    let id = base::id::server("s", "s-0");
    let fields =
        format!("connection: {HEARD}, {DENIED}\r\n{HEARD}: {id:x}=leaving\r\n{DENIED}: {id:x}\r\n");
    for n in 0..20 {
        let answer = harness.call_at(partitioned, "POST", &format!("/{n}"), &fields, "x");
        assert!(answer.ends_with("whole"), "{answer}");
        assert!(!answer.contains(HEARD), "{answer}");
    }
    join_again(&connector);
    let served = count_served(&harness);
    assert_eq!(served, (CALLS, CALLS), "the servers count as leaving");
}
