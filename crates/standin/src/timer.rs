//! Sleeps that end on time, for stand-ins that many others share a process with.
//!
//! The daemon's timers share one reactor with all sockets of its process. With
//! a whole fleet in one process that reactor wakes late by milliseconds, which
//! would count as the network's latency. A thread of its own keeps the
//! stand-ins' times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

/// One who sleeps.
struct Sleeper {
    due: Instant,
    number: u64,
    state: Arc<Mutex<State>>,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

/// Whether a sleep is over, and whom to wake.
#[derive(Default)]
struct State {
    over: bool,
    waker: Option<Waker>,
}

/// The sleepers of the process, the next one to wake first.
#[derive(Default)]
struct Line {
    sleepers: Mutex<BinaryHeap<Reverse<Sleeper>>>,
    changed: Condvar,
}

/// Wake-ups so far, and those of them that came late.
static WOKEN: AtomicU64 = AtomicU64::new(0);
static LATE: AtomicU64 = AtomicU64::new(0);
/// The lateness from which a wake-up counts as late.
const LATE_FROM: Duration = Duration::from_millis(1);

/// How well the machine kept the time of the sleepers of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WakeupStats {
    /// Wake-ups.
    pub wakeups: u64,
    /// Wake-ups that came a millisecond late or more.
    pub late: u64,
}

impl WakeupStats {
    /// Returns what has been counted since the process started.
    pub fn now() -> Self {
        Self {
            wakeups: WOKEN.load(Ordering::Relaxed),
            late: LATE.load(Ordering::Relaxed),
        }
    }

    /// Returns the share of wake-ups that came late since `earlier`.
    pub fn late_share_since(&self, earlier: &Self) -> f64 {
        let woken = self.wakeups - earlier.wakeups;
        (self.late - earlier.late) as f64 / woken.max(1) as f64
    }
}

/// A sleep; see [`sleep`].
pub struct Sleep(Arc<Mutex<State>>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn line() -> &'static Line {
    static LINE: OnceLock<&'static Line> = OnceLock::new();
    LINE.get_or_init(|| {
        let line: &'static Line = Box::leak(Box::default());
        std::thread::Builder::new()
            .name("sleeper".into())
            .spawn(|| line.run())
            .expect("the machine has room for one more thread");
        line
    })
}

impl Line {
    /// Wakes each sleeper when its time has come.
    fn run(&self) {
        let mut sleepers = lock(&self.sleepers);
        loop {
            let now = Instant::now();
            let next = sleepers.peek().map(|Reverse(sleeper)| sleeper.due);
            match next {
                None => {
                    let waited = self.changed.wait(sleepers);
                    sleepers = waited.unwrap_or_else(PoisonError::into_inner);
                }
                Some(due) if due > now => {
                    let waited = self.changed.wait_timeout(sleepers, due - now);
                    sleepers = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
                Some(_) => {
                    let over = sleepers.pop();
                    drop(sleepers);
                    if let Some(Reverse(sleeper)) = over {
                        sleeper.wake();
                    }
                    sleepers = lock(&self.sleepers);
                }
            }
        }
    }
}

impl Sleeper {
    fn wake(&self) {
        WOKEN.fetch_add(1, Ordering::Relaxed);
        if self.due.elapsed() >= LATE_FROM {
            LATE.fetch_add(1, Ordering::Relaxed);
        }
        let mut state = lock(&self.state);
        state.over = true;
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Sleeps for `time`.
pub fn sleep(time: Duration) -> Sleep {
    let state = Arc::new(Mutex::new(State {
        over: time.is_zero(),
        waker: None,
    }));
    if !time.is_zero() {
        let line = line();
        let mut sleepers = lock(&line.sleepers);
        let sleeper = Sleeper {
            due: Instant::now() + time,
            number: sleepers.len() as u64,
            state: state.clone(),
        };
        let first = sleepers
            .peek()
            .is_none_or(|Reverse(next)| sleeper.due < next.due);
        sleepers.push(Reverse(sleeper));
        drop(sleepers);
        if first {
            line.changed.notify_one();
        }
    }
    Sleep(state)
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.0);
        if state.over {
            return Poll::Ready(());
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}
