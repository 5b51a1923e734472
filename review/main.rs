//! Stand-ins for the platform's store, the upstreams and the requesters, and the cases of
//! the review. It uses the standard library only; `review/build.sh` builds it.

mod cases;
mod client;
mod server;
mod store;
mod vm;

use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Returns the seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line with the time to `record.txt`.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {line}", now());
    }
}

/// Writes a line to `record.txt` and to standard output.
pub fn say(line: &str) {
    record(line);
    println!("{:9.3} {line}", now());
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Sleeps until `at`, in seconds since the start of the case.
pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// The first of the ports that cases use. They are below those that the system gives to
/// outgoing connections, so that none is taken between its choice and its use.
const FIRST_PORT: u32 = 12_000;
/// The number of these ports.
const PORTS: u32 = 20_000;

/// Returns a port that is free for TCP and UDP on the loopback address, another one each
/// time. Cases that run at the same time begin at different ports.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id() * 101 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = (FIRST_PORT + offset % PORTS) as u16;
        let tcp = TcpListener::bind(("127.0.0.1", port));
        if tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    now();
    let name = std::env::args().nth(1).expect("the number of the case");
    let folder = PathBuf::from(std::env::args().nth(2).expect("the folder of the case"));
    let trouble = std::env::args().nth(3).as_deref() != Some("0");
    let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
    let _ = RECORD.set(Mutex::new(file));
    say(&format!("case {name}, trouble: {trouble}"));
    // A stand-in that fails ends the case, and leaves no process behind.
    std::panic::set_hook(Box::new(|info| {
        say(&format!("the case could not run: {info}"));
        vm::kill_all();
        std::process::exit(2);
    }));
    // The run must not last longer than two minutes, whatever hangs.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        say("the case did not end in time");
        vm::kill_all();
        std::process::exit(2);
    });
    let verdict = cases::run(&name, trouble);
    vm::kill_all();
    let code = match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    };
    say(&format!("exit code {code}"));
    std::process::exit(code);
}
