//! HTTP servers and client connections on smol and hyper.
//!
//! hyper implements HTTP. This crate supplies hyper with sockets, TLS, timers,
//! limits, an executor and a shutdown signal. It makes no decisions about calls. See
//! `docs/architecture.md`.

pub mod body;
pub mod budget;
pub mod client;
pub mod cut;
pub mod deferred;
pub mod exec;
pub mod fair;
pub mod linger;
pub mod listen;
pub mod lookahead;
mod opening;
pub mod server;
pub mod stop;
mod timeout;
pub mod tls;

pub use body::Body;
pub use exec::ThreadPool;
pub use listen::Listener;
pub use listen::Listeners;
pub use stop::Stop;
pub use timeout::timeout;
pub use timeout::Timeout;

/// A boxed future that can be sent between threads.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn std::future::Future<Output = T> + Send + 'a>>;

/// Runs all of `futures` concurrently and returns their results in the same order.
pub async fn join_all<T, F: std::future::Future<Output = T>>(futures: Vec<F>) -> Vec<T> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut results: Vec<Option<T>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|cx| {
        let mut pending = false;
        for (future, result) in futures.iter_mut().zip(&mut results) {
            if result.is_none() {
                match future.as_mut().poll(cx) {
                    std::task::Poll::Ready(value) => *result = Some(value),
                    std::task::Poll::Pending => pending = true,
                }
            }
        }
        if pending {
            std::task::Poll::Pending
        } else {
            std::task::Poll::Ready(())
        }
    })
    .await;
    results.into_iter().flatten().collect()
}
