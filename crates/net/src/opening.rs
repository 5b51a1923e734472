//! The first bytes of a connection without TLS, which tell its protocol.
//!
//! They may arrive in any pieces. A connection speaks HTTP/2 if it begins with the whole
//! client preface, and HTTP/1.1 once a byte differs from it.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;

/// The client preface of HTTP/2 (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A stream whose first bytes are read to tell its protocol, and again by its reader.
pub(crate) struct Opening<S> {
    stream: S,
    bytes: [u8; HTTP2_PREFACE.len()],
    /// How many of `bytes` have been received.
    received: usize,
    /// How many of `bytes` the reader has taken.
    taken: usize,
    /// When the first byte was received.
    began: Option<Instant>,
}

impl<S> Opening<S> {
    /// Wraps `stream`, of which nothing has been read.
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
            bytes: [0; HTTP2_PREFACE.len()],
            received: 0,
            taken: 0,
            began: None,
        }
    }

    /// Returns when the first byte was received; none if there is none yet.
    pub(crate) fn began(&self) -> Option<Instant> {
        self.began
    }

    fn is_preface(&self) -> bool {
        self.bytes == *HTTP2_PREFACE
    }
}

impl<S: AsyncRead + Unpin> Opening<S> {
    /// Returns whether the stream begins with the preface of HTTP/2, as soon as its bytes show
    /// that. Returns false if the peer closes its sending side before.
    ///
    /// Nothing that was received is lost if the future is dropped.
    pub(crate) async fn is_http2(&mut self) -> bool {
        while !self.is_preface() && HTTP2_PREFACE.starts_with(&self.bytes[..self.received]) {
            if !self.receive().await {
                return false;
            }
        }
        self.is_preface()
    }

    /// Waits for further of the first bytes. Returns false if the peer closes its sending side
    /// or resets the connection instead.
    pub(crate) async fn receive(&mut self) -> bool {
        let result = self.stream.read(&mut self.bytes[self.received..]).await;
        // A reader of the stream meets the error again, or the end of the stream.
        let length = result.unwrap_or(0);
        self.received += length;
        if length > 0 {
            self.began.get_or_insert_with(Instant::now);
        }
        length > 0
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Opening<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let left = &this.bytes[this.taken..this.received];
        if left.is_empty() {
            return Pin::new(&mut this.stream).poll_read(cx, out);
        }
        let length = left.len().min(out.len());
        out[..length].copy_from_slice(&left[..length]);
        this.taken += length;
        Poll::Ready(Ok(length))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Opening<S> {
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
