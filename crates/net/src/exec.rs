//! A thread pool that runs one smol executor.

use std::future::Future;
use std::io;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::thread;
use std::time::Duration;

use event_listener::Event;
use futures_lite::FutureExt;
use smol::Executor;
use smol::Task;

/// The delay before a supervised future that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// No thread of a pool can be started.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot start a thread: {0}; raise the limit of processes (ulimit -u, or pids.max of the \
     control group) or of memory, and start again"
)]
pub struct StartError(#[source] io::Error);

/// The threads that run the tasks of one daemon.
///
/// The threads exit when the last clone of the pool is dropped.
#[derive(Clone)]
pub struct ThreadPool {
    executor: Arc<Executor<'static>>,
    control: Arc<Control>,
    _exit: Arc<ExitOnDrop>,
}

/// What the threads of a pool are to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Run,
    Pause,
    Exit,
}

/// The mode of a pool, shared with its threads.
#[derive(Debug)]
struct Control {
    mode: Mutex<Mode>,
    /// Notified on each change of the mode, for threads that run the executor.
    changed: Event,
    /// Notified on each change of the mode, for threads that are paused.
    unpaused: Condvar,
}

/// Makes the threads exit when the last clone of their pool is dropped.
#[derive(Debug)]
struct ExitOnDrop(Arc<Control>);

impl Drop for ExitOnDrop {
    fn drop(&mut self) {
        self.0.set_mode(Mode::Exit);
    }
}

impl Control {
    fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.changed.notify(usize::MAX);
        self.unpaused.notify_all();
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the mode is not [`Mode::Run`].
    async fn wait_interrupted(&self) {
        loop {
            let listener = self.changed.listen();
            if self.mode() != Mode::Run {
                return;
            }
            listener.await;
        }
    }

    /// Blocks the thread while the pool is paused. Returns whether the thread has to
    /// run tasks; if not, it has to exit.
    fn wait_while_paused(&self) -> bool {
        let mut mode = self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        while *mode == Mode::Pause {
            mode = self
                .unpaused
                .wait(mode)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *mode == Mode::Run
    }
}

impl ThreadPool {
    /// Starts `threads` threads, at least one, with names of the form `NAME-0`.
    ///
    /// # Panics
    ///
    /// Panics if no thread can be started; see [`Self::try_new`].
    pub fn new(name: &str, threads: usize) -> Self {
        match Self::try_new(name, threads) {
            Ok(pool) => pool,
            Err(error) => panic!("{error}"),
        }
    }

    /// Starts `threads` threads, at least one, with names of the form `NAME-0`. If only
    /// some of them can be started, the pool runs with these.
    ///
    /// Fails if none can be started.
    pub fn try_new(name: &str, threads: usize) -> Result<Self, StartError> {
        Self::with_starter(name, threads, |name, run| {
            thread::Builder::new().name(name).spawn(run).map(drop)
        })
    }

    /// Starts the threads as [`Self::try_new`] does, each with a call of `start` with the
    /// name of the thread and what it has to run.
    pub fn with_starter(
        name: &str,
        threads: usize,
        mut start: impl FnMut(String, Box<dyn FnOnce() + Send>) -> io::Result<()>,
    ) -> Result<Self, StartError> {
        let executor = Arc::new(Executor::new());
        let control = Arc::new(Control {
            mode: Mutex::new(Mode::Run),
            changed: Event::new(),
            unpaused: Condvar::new(),
        });
        let mut last_error = None;
        let mut started = 0;
        for i in 0..threads.max(1) {
            let executor = executor.clone();
            let control = control.clone();
            let run = move || {
                while control.wait_while_paused() {
                    let run = || smol::block_on(executor.run(control.wait_interrupted()));
                    if panic::catch_unwind(AssertUnwindSafe(run)).is_err() {
                        log::error!("net: a thread panicked outside of its tasks; it runs on");
                    }
                }
            };
            match start(format!("{name}-{i}"), Box::new(run)) {
                Ok(()) => started += 1,
                Err(error) => {
                    log::error!("net: cannot start thread {i} of {threads}: {error}");
                    last_error = Some(error);
                }
            }
        }
        if let (0, Some(error)) = (started, last_error) {
            return Err(StartError(error));
        }
        Ok(Self {
            executor,
            _exit: Arc::new(ExitOnDrop(control.clone())),
            control,
        })
    }

    /// Suspends all tasks, as if the VM were paused. Tests of failures use this.
    pub fn pause(&self) {
        self.control.set_mode(Mode::Pause);
    }

    /// Resumes the tasks after [`ThreadPool::pause`].
    pub fn resume(&self) {
        self.control.set_mode(Mode::Run);
    }

    /// Runs `future` on the pool. Dropping the returned task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(Contained::new(future))
    }

    /// Returns a handle with which hyper and other code spawn tasks on the pool.
    pub fn handle(&self) -> Handle {
        Handle(self.executor.clone())
    }
}

/// A handle that spawns tasks on a pool without keeping the threads of the pool alive.
#[derive(Clone)]
pub struct Handle(Arc<Executor<'static>>);

impl<F> hyper::rt::Executor<F> for Handle
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(Contained::new(future)).detach();
    }
}

impl Handle {
    /// Runs `future` on the pool. Dropping the returned task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.0.spawn(Contained::new(future))
    }

    /// Runs `future` to its end on the pool. The task cannot be cancelled.
    pub fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(Contained::new(future)).detach();
    }
}

/// A future whose destructor does not panic. The executor contains a panic of a poll, and
/// aborts the process on one of a destructor.
struct Contained<F>(Option<Pin<Box<F>>>);

impl<F> Contained<F> {
    fn new(future: F) -> Self {
        Self(Some(Box::pin(future)))
    }
}

impl<F: Future> Future for Contained<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        match &mut self.0 {
            Some(future) => future.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }
}

impl<F> Drop for Contained<F> {
    fn drop(&mut self) {
        let future = self.0.take();
        // The panic hook reports the panic.
        let _ = panic::catch_unwind(AssertUnwindSafe(move || drop(future)));
    }
}

/// Runs the future that `start` returns to its end. If it panics, starts another one
/// after a short delay. For tasks without which the VM would serve nothing. `name` is for
/// the log.
pub async fn supervise<F: Future<Output = ()>>(name: &str, start: impl Fn() -> F) {
    while AssertUnwindSafe(async { start().await })
        .catch_unwind()
        .await
        .is_err()
    {
        log::error!("net: the task {name} panicked; it starts again");
        smol::Timer::after(RESTART_DELAY).await;
    }
}
