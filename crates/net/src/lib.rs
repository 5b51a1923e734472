//! Glue between smol and hyper: executors, servers, connections, bodies, TLS.
//!
//! Nothing here decides anything about calls. HTTP itself is hyper's; this
//! crate gives it sockets, timers, limits and a way to stop. See
//! `docs/architecture.md`.

pub mod body;
pub mod client;
pub mod deferred;
pub mod exec;
pub mod server;
pub mod stop;
pub mod tls;

pub use body::Body;
pub use exec::ThreadPool;
pub use stop::Stop;

/// A boxed future that can move between threads.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn std::future::Future<Output = T> + Send + 'a>>;

/// Waits for `future` for at most `limit`; none if the time passes first.
pub async fn timeout<T>(
    limit: std::time::Duration,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        smol::Timer::after(limit).await;
        None
    })
    .await
}

/// Waits for all of `futures`, side by side; the results are in their order.
pub async fn join_all<T, F: std::future::Future<Output = T>>(futures: Vec<F>) -> Vec<T> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut results: Vec<Option<T>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|cx| {
        let mut waits = false;
        for (future, result) in futures.iter_mut().zip(&mut results) {
            if result.is_none() {
                match future.as_mut().poll(cx) {
                    std::task::Poll::Ready(value) => *result = Some(value),
                    std::task::Poll::Pending => waits = true,
                }
            }
        }
        if waits {
            std::task::Poll::Pending
        } else {
            std::task::Poll::Ready(())
        }
    })
    .await;
    results.into_iter().flatten().collect()
}
