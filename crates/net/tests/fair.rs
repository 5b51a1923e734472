//! Peers that send as fast as they are read do not stop the other tasks of a thread.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use http::Request;
use net::body;
use net::client;
use net::fair::Fair;
use net::ThreadPool;

/// A stream that always has bytes.
struct Endless;

impl AsyncRead for Endless {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        out.fill(b'x');
        Poll::Ready(Ok(out.len()))
    }
}

/// Counts how often the thread gets to another task within 300 ms.
async fn count_turns() -> usize {
    let turns = Arc::new(AtomicUsize::new(0));
    let counted = turns.clone();
    let _ = net::timeout(Duration::from_millis(300), async {
        loop {
            smol::Timer::after(Duration::from_millis(5)).await;
            counted.fetch_add(1, Ordering::Relaxed);
        }
    })
    .await;
    turns.load(Ordering::Relaxed)
}

#[test]
fn fair_read_without_end_lets_other_tasks_run() {
    for size in [1, 100, 1 << 20] {
        let pool = ThreadPool::new("test", 1);
        let reader = pool.spawn(async move {
            let (mut stream, mut buffer) = (Fair::new(Endless), vec![0; size]);
            while stream.read(&mut buffer).await.is_ok() {}
        });
        let turns = smol::block_on(pool.spawn(count_turns()));
        drop(reader);
        assert!(turns >= 5, "{turns} turns beside reads of {size} bytes");
    }
}

#[test]
fn send_interim_heads_without_end_fails_soon() {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let sending = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        // Bytes before the request would belong to no request.
        assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
        let block = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(1000);
        while stream.write_all(&block).is_ok() {}
    });
    let pool = ThreadPool::new("test", 1);
    let handle = pool.handle();
    let fetch = async move {
        let request = Request::get("/").header("host", "s");
        let request = request.body(body::empty()).unwrap();
        client::fetch(&handle, address, request, Duration::from_secs(5), 100).await
    };
    let result = smol::block_on(net::timeout(Duration::from_secs(2), pool.spawn(fetch)));
    assert!(
        matches!(result, Some(Err(client::Error::Interim))),
        "{result:?}"
    );
    // The connection is closed.
    sending.join().unwrap();
}
