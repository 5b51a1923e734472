//! Punctual sleeps for stand-ins that run in one process with a whole fleet.
//!
//! The timers of the async runtime share one reactor with all sockets of the
//! process. With a whole fleet in one process, the reactor wakes up milliseconds
//! late, which would be measured as network latency. The sleeps of the stand-ins
//! are therefore timed by a thread of their own.

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

/// A sleep that is not over yet, ordered by the time at which it ends.
struct PendingSleep {
    due: Instant,
    /// Orders sleeps that end at the same time; not unique.
    seq: u64,
    state: Arc<Mutex<State>>,
}

impl PartialEq for PendingSleep {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for PendingSleep {}

impl PartialOrd for PendingSleep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingSleep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.seq).cmp(&(other.due, other.seq))
    }
}

/// The state that a [`Sleep`] shares with the timer thread.
#[derive(Default)]
struct State {
    elapsed: bool,
    waker: Option<Waker>,
}

/// All pending sleeps of the process, the earliest first.
#[derive(Default)]
struct TimerQueue {
    pending: Mutex<BinaryHeap<Reverse<PendingSleep>>>,
    changed: Condvar,
}

/// Wake-ups since the process started.
static WAKEUPS: AtomicU64 = AtomicU64::new(0);
/// Wake-ups since the process started that came late.
static LATE_WAKEUPS: AtomicU64 = AtomicU64::new(0);
/// Delay from which a wake-up counts as late.
const LATE_THRESHOLD: Duration = Duration::from_millis(1);

/// Counts of sleeps in this process that ended, and that ended late. They show
/// how punctually the machine ran the timers of the stand-ins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WakeupStats {
    /// Sleeps that have ended.
    pub wakeups: u64,
    /// Sleeps that ended 1 ms late or more.
    pub late: u64,
}

impl WakeupStats {
    /// Returns the counts since the process started.
    pub fn now() -> Self {
        Self {
            wakeups: WAKEUPS.load(Ordering::Relaxed),
            late: LATE_WAKEUPS.load(Ordering::Relaxed),
        }
    }

    /// Returns the share of late wake-ups since `earlier`, from 0 to 1; 0 if there
    /// were no wake-ups.
    pub fn late_share_since(&self, earlier: &Self) -> f64 {
        let wakeups = self.wakeups - earlier.wakeups;
        (self.late - earlier.late) as f64 / wakeups.max(1) as f64
    }
}

/// The future that [`sleep`] returns.
pub struct Sleep(Arc<Mutex<State>>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn timer_queue() -> &'static TimerQueue {
    static QUEUE: OnceLock<&'static TimerQueue> = OnceLock::new();
    QUEUE.get_or_init(|| {
        let queue: &'static TimerQueue = Box::leak(Box::default());
        std::thread::Builder::new()
            .name("sleeper".into())
            .spawn(|| queue.run())
            .expect("the timer thread can be spawned");
        queue
    })
}

impl TimerQueue {
    /// Ends the sleeps at their times; never returns.
    fn run(&self) {
        let mut pending = lock(&self.pending);
        loop {
            let now = Instant::now();
            let next = pending.peek().map(|Reverse(sleep)| sleep.due);
            match next {
                None => {
                    let result = self.changed.wait(pending);
                    pending = result.unwrap_or_else(PoisonError::into_inner);
                }
                Some(due) if due > now => {
                    let result = self.changed.wait_timeout(pending, due - now);
                    pending = result.unwrap_or_else(PoisonError::into_inner).0;
                }
                Some(_) => {
                    let expired = pending.pop();
                    drop(pending);
                    if let Some(Reverse(sleep)) = expired {
                        sleep.wake();
                    }
                    pending = lock(&self.pending);
                }
            }
        }
    }
}

impl PendingSleep {
    fn wake(&self) {
        WAKEUPS.fetch_add(1, Ordering::Relaxed);
        if self.due.elapsed() >= LATE_THRESHOLD {
            LATE_WAKEUPS.fetch_add(1, Ordering::Relaxed);
        }
        let mut state = lock(&self.state);
        state.elapsed = true;
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Returns a future that is ready after `time`, counted from this call.
pub fn sleep(time: Duration) -> Sleep {
    let state = Arc::new(Mutex::new(State {
        elapsed: time.is_zero(),
        waker: None,
    }));
    if !time.is_zero() {
        let queue = timer_queue();
        let mut pending = lock(&queue.pending);
        let sleep = PendingSleep {
            due: Instant::now() + time,
            seq: pending.len() as u64,
            state: state.clone(),
        };
        let first = pending
            .peek()
            .is_none_or(|Reverse(next)| sleep.due < next.due);
        pending.push(Reverse(sleep));
        drop(pending);
        if first {
            queue.changed.notify_one();
        }
    }
    Sleep(state)
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.0);
        if state.elapsed {
            return Poll::Ready(());
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}
