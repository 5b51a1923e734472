//! A pool of threads that run one smol executor.

use std::future::Future;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use event_listener::Event;

use smol::Executor;
use smol::Task;

/// Threads that run the tasks of one daemon.
///
/// The threads end when the last clone of the pool is dropped.
#[derive(Clone)]
pub struct ThreadPool {
    executor: Arc<Executor<'static>>,
    control: Arc<Control>,
    _end: Arc<End>,
}

/// What the threads of a pool are told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    Run,
    Pause,
    End,
}

/// Passes orders to the threads of a pool.
#[derive(Debug)]
struct Control {
    order: Mutex<Order>,
    changed: Event,
    wake: Condvar,
}

/// Ends the threads when the last clone of their pool is dropped.
#[derive(Debug)]
struct End(Arc<Control>);

impl Drop for End {
    fn drop(&mut self) {
        self.0.give(Order::End);
    }
}

impl Control {
    fn give(&self, order: Order) {
        *self.order.lock().unwrap_or_else(PoisonError::into_inner) = order;
        self.changed.notify(usize::MAX);
        self.wake.notify_all();
    }

    fn order(&self) -> Order {
        *self.order.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the order is another than to run.
    async fn interrupted(&self) {
        loop {
            let listener = self.changed.listen();
            if self.order() != Order::Run {
                return;
            }
            listener.await;
        }
    }

    /// Blocks while the order is to pause; returns whether to go on.
    fn proceed(&self) -> bool {
        let mut order = self.order.lock().unwrap_or_else(PoisonError::into_inner);
        while *order == Order::Pause {
            order = self
                .wake
                .wait(order)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *order == Order::Run
    }
}

impl ThreadPool {
    /// Starts `threads` threads whose names begin with `name`.
    pub fn new(name: &str, threads: usize) -> Self {
        let executor = Arc::new(Executor::new());
        let control = Arc::new(Control {
            order: Mutex::new(Order::Run),
            changed: Event::new(),
            wake: Condvar::new(),
        });
        for i in 0..threads.max(1) {
            let executor = executor.clone();
            let control = control.clone();
            let started = thread::Builder::new()
                .name(format!("{name}-{i}"))
                .spawn(move || {
                    while control.proceed() {
                        smol::block_on(executor.run(control.interrupted()));
                    }
                });
            if let Err(error) = started {
                log::error!("net: cannot start thread {i} of {threads}: {error}");
            }
        }
        Self {
            executor,
            _end: Arc::new(End(control.clone())),
            control,
        }
    }

    /// Stops all tasks where they are, as if the VM were paused; for tests of
    /// failures.
    pub fn pause(&self) {
        self.control.give(Order::Pause);
    }

    /// Lets the tasks go on after [`ThreadPool::pause`].
    pub fn resume(&self) {
        self.control.give(Order::Run);
    }

    /// Runs `future` on the pool; dropping the task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }

    /// Returns what hyper needs to start tasks of its own.
    pub fn handle(&self) -> Handle {
        Handle(self.executor.clone())
    }
}

/// Lets hyper start tasks on a pool without keeping the pool alive.
#[derive(Clone)]
pub struct Handle(Arc<Executor<'static>>);

impl<F> hyper::rt::Executor<F> for Handle
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

impl Handle {
    /// Runs `future` to its end, whoever waits for it.
    pub fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(future).detach();
    }
}
