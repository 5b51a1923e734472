//! Lets the other tasks of a thread run while a peer sends without pause.
//!
//! A future that reads until nothing is left never ends while its peer sends as fast as
//! it is read: the executor cannot interrupt it, and neither time limits nor readiness
//! get the thread. hyper does so between the heads of interim responses, which it skips.
//! See `docs/incidents/interim-heads.md`.

use std::io;
use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// The number of bytes that are read in a row before other tasks run.
const TURN_BYTES: usize = 64 << 10;
/// The size of a read. hyper enlarges its buffer whenever a read fills it.
const READ_MAX_BYTES: usize = 16 << 10;
/// The number of reads, or of items that a loop receives, in a row before other tasks run.
const TURN_ITEMS: usize = 64;

/// A stream that interrupts its reader after each [`TURN_BYTES`] bytes and each
/// [`TURN_ITEMS`] reads for which it did not have to wait.
pub struct Fair<S> {
    stream: S,
    bytes: usize,
    reads: usize,
}

/// Counts the items that a loop has received without having to wait.
#[derive(Debug, Default)]
pub struct Yields {
    items: usize,
}

impl Yields {
    /// Counts an item, and lets other tasks run after each [`TURN_ITEMS`] of them.
    pub async fn count_item(&mut self) {
        self.items += 1;
        if self.items >= TURN_ITEMS {
            self.items = 0;
            futures_lite::future::yield_now().await;
        }
    }
}

impl<S> Fair<S> {
    /// Wraps `stream`.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            bytes: 0,
            reads: 0,
        }
    }

    fn begin_turn(&mut self) {
        self.bytes = 0;
        self.reads = 0;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Fair<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes >= TURN_BYTES || self.reads >= TURN_ITEMS {
            self.begin_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let limit = out.len().min(TURN_BYTES - self.bytes).min(READ_MAX_BYTES);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut out[..limit]);
        if polled.is_pending() {
            self.begin_turn();
        }
        let length = ready!(polled)?;
        self.bytes += length;
        self.reads += 1;
        Poll::Ready(Ok(length))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Fair<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
