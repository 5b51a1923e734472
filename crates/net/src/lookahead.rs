//! Reads ahead on an HTTP/1.1 connection, and starts pipelined requests before their
//! turn.
//!
//! hyper serves the requests of a connection one after the other. [`Lookahead`] is the
//! stream that hyper reads from. It passes on one request at a time, and meanwhile
//! reads the requests behind it. Those that [`Handler::call_early`] accepts are started
//! at once, up to [`EARLY_MAX`] of them. When hyper reaches such a request, it gets the
//! response that was started, so the responses stay in order and hyper alone decides how
//! they are framed. A caller that closes the connection is noticed while its requests
//! wait, and what was started is cancelled. See `docs/design/call-path.md`.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Buf;
use bytes::BytesMut;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http::header;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Version;
use smol::Task;

use crate::budget::Freed;
use crate::budget::MemoryBudget;
use crate::budget::Reservation;
use crate::exec::Handle;
use crate::server::Handler;
use crate::Body;

/// The maximum number of requests of one connection that are started before their turn.
pub const EARLY_MAX: usize = 8;
/// The size of a read from the connection.
const READ_BYTES: usize = 8 << 10;

/// The bytes that each connection buffers without a reservation, and the most that it reads
/// ahead while hyper has a request: only the time for a head that hyper waits for is limited.
const FREE_BYTES: usize = 4 << 10;
/// The memory that is reserved for a request that is started early.
const EARLY_BYTES: usize = 16 << 10;
/// How much of a response hyper may hold before it asks for more.
const UNWRITTEN_MAX_BYTES: usize = 4 << 10;

/// A request that has been read and not yet passed on to hyper.
struct Waiting {
    /// The length of its head in bytes.
    head_len: usize,
    early: EarlyResponse,
}

/// The response to a request that was started before its turn.
struct EarlyResponse {
    method: Method,
    target: String,
    response: Task<Response<Body>>,
    memory: Reservation,
}

/// What the next unparsed bytes of the connection are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// The head of a request.
    Head,
    /// This many bytes of a body.
    Body(u64),
    /// Bytes that only hyper parses, up to the end of the connection.
    Opaque,
}

/// What the stream and the code that serves the requests have to know of each other.
#[derive(Default)]
struct Progress {
    /// Whether hyper has a request that it has not completely responded to.
    busy: bool,
    /// Whether hyper has received the head of a request.
    begun: bool,
    /// The started response to the request that hyper is about to serve.
    current: Option<EarlyResponse>,
    /// The number of started requests that hyper has not reached.
    early: usize,
    /// Whether no further requests may be started early.
    stopping: bool,
    /// Whether the response to the current request may break off, so that no requests
    /// may be started behind it.
    streaming: bool,
    /// Wakes the connection, which may wait for hyper to finish a request.
    waker: Option<Waker>,
    /// Whether the caller does not take what hyper writes.
    write_blocked: bool,
    /// The bytes of the body of the current response that have not been written.
    unwritten: usize,
    /// Wakes the current request or the body of its response, which waits for a write.
    write_waker: Option<Waker>,
}

/// The state of a connection that is shared with the code that serves its requests.
#[derive(Clone, Default)]
pub(crate) struct Turns(Arc<Mutex<Progress>>);

/// The place of a request on its HTTP/1.1 connection, which is among the extensions of
/// the request.
///
/// A response that breaks off midway closes the connection, and the callers of requests
/// that were started behind it get no response. A handler therefore asks before it
/// returns a body that may break off.
#[derive(Clone, Default)]
pub struct Place {
    /// Weak, because the connection's state may hold the response to the request.
    progress: Weak<Mutex<Progress>>,
    /// Whether the request was started before its turn.
    early: bool,
}

/// Held while hyper serves a request, until the response has been written.
pub(crate) struct TurnGuard {
    turns: Turns,
    memory: Option<Reservation>,
}

/// A stream for hyper that reads ahead.
pub(crate) struct Lookahead<S> {
    stream: S,
    handler: Arc<dyn Handler>,
    handle: Handle,
    peer: SocketAddr,
    turns: Turns,
    /// The bytes that hyper has not read.
    buffer: BytesMut,
    /// The number of bytes at the front of `buffer` that hyper may read now.
    released: usize,
    /// The number of bytes at the front of `buffer` that have been parsed.
    parsed: usize,
    waiting: VecDeque<Waiting>,
    next: Next,
    header_fields: usize,
    head_bytes: usize,
    /// Whether the requests behind the last one have to wait for their turn.
    blocked: bool,
    ended: bool,
    budget: MemoryBudget,
    /// The memory of the buffer beyond [`FREE_BYTES`], and of the head that hyper has.
    memory: Reservation,
    /// The size of the allocated buffer.
    allocated: usize,
    /// The length of the head of hyper's request.
    head_len: usize,
    /// Set while a read waits for memory.
    freed: Option<Freed>,
}

impl Progress {
    /// Returns whether requests may be started early.
    fn may_start(&self) -> bool {
        !self.stopping && !self.streaming
    }
}

impl Turns {
    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the response to `request` that was started early, if there is one.
    pub(crate) fn take_early<B>(
        &self,
        request: &Request<B>,
    ) -> Option<(Task<Response<Body>>, Reservation)> {
        let early = self.lock().current.take()?;
        let same = early.method == *request.method() && *request.uri() == *early.target;
        same.then_some((early.response, early.memory))
    }

    /// Returns the place of a request, which was started before its turn or not.
    pub(crate) fn place(&self, early: bool) -> Place {
        Place {
            progress: Arc::downgrade(&self.0),
            early,
        }
    }

    /// Returns whether the head of a request has been received.
    pub(crate) fn has_begun(&self) -> bool {
        self.lock().begun
    }

    /// Returns a guard that ends the turn of the current request when it is dropped.
    pub(crate) fn guard(&self) -> TurnGuard {
        self.lock().begun = true;
        TurnGuard {
            turns: self.clone(),
            memory: None,
        }
    }

    /// Records the outcome of a write, and wakes what waits for it.
    fn note_write(&self, polled: &Poll<io::Result<usize>>) {
        let mut progress = self.lock();
        progress.write_blocked = polled.is_pending();
        let Poll::Ready(result) = polled else {
            return;
        };
        let written = result.as_ref().map_or(usize::MAX, |length| *length);
        progress.unwritten = progress.unwritten.saturating_sub(written);
        if progress.unwritten < UNWRITTEN_MAX_BYTES {
            if let Some(waker) = progress.write_waker.take() {
                waker.wake();
            }
        }
    }

    /// Starts no further requests early. Returns whether hyper has reached all that
    /// were started, so that the connection may close after the current response.
    pub(crate) fn stop(&self) -> bool {
        let mut progress = self.lock();
        progress.stopping = true;
        progress.early == 0
    }
}

impl Place {
    /// Returns whether the response may break off without a loss: no request has been
    /// started behind this one, and none will be before the response ends.
    pub fn try_stream(&self) -> bool {
        let Some(progress) = self.progress.upgrade() else {
            return true;
        };
        let mut progress = progress.lock().unwrap_or_else(PoisonError::into_inner);
        if self.early || progress.early > 0 {
            return false;
        }
        progress.streaming = true;
        true
    }

    /// Starts no further requests of the connection early, since the response may break
    /// off although requests were started behind it.
    pub fn stream_anyway(&self) {
        if let Some(progress) = self.progress.upgrade() {
            let mut progress = progress.lock().unwrap_or_else(PoisonError::into_inner);
            progress.stopping = true;
        }
    }
}

impl TurnGuard {
    /// Keeps `memory` until the response has been passed on.
    pub(crate) fn hold(&mut self, memory: Reservation) {
        self.memory = Some(memory);
    }

    /// Waits until the caller takes the responses to earlier requests.
    pub(crate) fn poll_begin(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut progress = self.turns.lock();
        if progress.write_blocked {
            progress.write_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        progress.unwritten = 0;
        Poll::Ready(())
    }

    /// Waits until hyper holds little of the response.
    pub(crate) fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut progress = self.turns.lock();
        if progress.unwritten < UNWRITTEN_MAX_BYTES {
            return Poll::Ready(());
        }
        progress.write_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Counts bytes that were passed on to hyper.
    pub(crate) fn add_unwritten(&self, bytes: usize) {
        self.turns.lock().unwritten += bytes;
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        let mut progress = self.turns.lock();
        progress.busy = false;
        progress.streaming = false;
        if let Some(waker) = progress.waker.take() {
            waker.wake();
        }
    }
}

impl<S> Lookahead<S> {
    /// Wraps `stream`, which comes from `peer`. Requests that are started early are passed
    /// to `handler` and run on `handle`. [`Self::with_limits`] has to follow: without it,
    /// every head counts as too large and is left to hyper.
    pub(crate) fn new(
        stream: S,
        handler: Arc<dyn Handler>,
        handle: Handle,
        peer: SocketAddr,
    ) -> Self {
        let budget = MemoryBudget::new(usize::MAX);
        Self {
            stream,
            handler,
            handle,
            peer,
            turns: Turns::default(),
            buffer: BytesMut::new(),
            released: 0,
            parsed: 0,
            waiting: VecDeque::new(),
            next: Next::Head,
            header_fields: 0,
            head_bytes: 0,
            blocked: false,
            ended: false,
            memory: budget.empty(),
            budget,
            allocated: 0,
            head_len: 0,
            freed: None,
        }
    }

    /// Sets the limits of a head: its size in bytes and the number of its fields. A
    /// larger head is left to hyper, which refuses it.
    pub(crate) fn with_limits(mut self, head_bytes: usize, header_fields: usize) -> Self {
        self.head_bytes = head_bytes;
        self.header_fields = header_fields;
        self
    }

    /// Sets the budget of the memory, which is shared with other connections.
    pub(crate) fn with_memory(mut self, budget: &MemoryBudget) -> Self {
        self.budget = budget.clone();
        self.memory = budget.empty();
        self
    }

    /// Returns the state to be shared with the code that serves the requests.
    pub(crate) fn turns(&self) -> Turns {
        self.turns.clone()
    }

    /// Parses what has been received, and releases what hyper may read now.
    fn advance(&mut self) {
        self.release_waiting();
        while self.parsed < self.buffer.len() {
            let unparsed = self.buffer.len() - self.parsed;
            match self.next {
                Next::Opaque => {
                    self.parsed = self.buffer.len();
                    self.released = self.parsed;
                }
                Next::Body(left) => {
                    let length = usize::try_from(left).unwrap_or(usize::MAX).min(unparsed);
                    self.parsed += length;
                    self.released = self.parsed;
                    self.next = match left - length as u64 {
                        0 => Next::Head,
                        left => Next::Body(left),
                    };
                }
                Next::Head => {
                    let parsed = self.parse_head();
                    if !parsed {
                        return;
                    }
                }
            }
        }
    }

    /// Lets hyper read the first request that waits, if hyper has finished the one
    /// before.
    fn release_waiting(&mut self) {
        let mut progress = self.turns.lock();
        if progress.busy {
            return;
        }
        if self.head_len > 0 {
            self.head_len = 0;
            let held = self.allocated.saturating_sub(FREE_BYTES);
            self.memory.shrink_to(held);
        }
        if let Some(first) = self.waiting.pop_front() {
            self.released += first.head_len;
            self.head_len = first.head_len;
            progress.busy = true;
            progress.current = Some(first.early);
            progress.early = self.waiting.len();
        } else {
            self.blocked = false;
        }
    }

    /// Parses the head at `parsed`. Returns false if it is not complete or has to wait
    /// for its turn.
    fn parse_head(&mut self) -> bool {
        let busy = self.turns.lock().busy;
        if busy && self.blocked {
            return false;
        }
        let mut fields = vec![httparse::EMPTY_HEADER; self.header_fields];
        let mut head = httparse::Request::new(&mut fields);
        let head_len = match head.parse(&self.buffer[self.parsed..]) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => {
                if self.buffer.len() - self.parsed < self.head_bytes {
                    return false;
                }
                return self.leave_to_hyper(busy);
            }
            Err(_) => return self.leave_to_hyper(busy),
        };
        let body = body_length(&head);
        if !busy {
            self.head_len = head_len;
            self.parsed += head_len;
            self.released = self.parsed;
            self.next = match body {
                Some(0) => Next::Head,
                Some(length) => Next::Body(length),
                None => Next::Opaque,
            };
            self.turns.lock().busy = true;
            self.blocked = closes(&head) || !is_safe(&head);
            return true;
        }
        let last = closes(&head);
        let may_start = body == Some(0) && is_safe(&head) && self.waiting.len() < EARLY_MAX;
        let started = may_start
            .then(|| to_request(&head))
            .flatten()
            .filter(|_| self.turns.lock().may_start())
            .and_then(|request| self.start(request));
        let Some(early) = started else {
            self.blocked = true;
            return false;
        };
        self.blocked = last;
        self.waiting.push_back(Waiting { head_len, early });
        self.parsed += head_len;
        self.turns.lock().early = self.waiting.len();
        true
    }

    /// Passes on all further bytes unparsed, once hyper has finished its request.
    /// Returns whether that is so now.
    fn leave_to_hyper(&mut self, busy: bool) -> bool {
        if busy {
            self.blocked = true;
        } else {
            self.next = Next::Opaque;
        }
        !busy
    }

    fn start(&self, mut request: Request<()>) -> Option<EarlyResponse> {
        let Some(memory) = self.budget.reserve(EARLY_BYTES) else {
            self.budget.count_wait();
            return None;
        };
        let method = request.method().clone();
        let target = request.uri().to_string();
        request.extensions_mut().insert(self.turns.place(true));
        let response = self.handler.clone().call_early(request, self.peer)?;
        Some(EarlyResponse {
            method,
            target,
            response: self.handle.spawn(response),
            memory,
        })
    }

    /// Drops what was read ahead, and cancels what was started.
    fn discard(&mut self) {
        self.waiting.clear();
        self.turns.lock().early = 0;
        self.buffer.clear();
        self.free_buffer();
        (self.parsed, self.released) = (0, 0);
    }

    /// Frees the memory of the buffer while it is empty, since most connections are
    /// idle.
    fn free_buffer(&mut self) {
        if self.buffer.is_empty() && self.allocated > 0 {
            self.buffer = BytesMut::new();
            self.allocated = 0;
        }
        let held = self.allocated.max(self.head_len);
        self.memory.shrink_to(held.saturating_sub(FREE_BYTES));
    }

    /// Returns whether more may be read while hyper does not take what there is.
    fn has_room(&self) -> bool {
        let busy = self.turns.lock().busy;
        let most = if busy { FREE_BYTES } else { self.head_bytes };
        self.buffer.len() < most
    }

    /// Enlarges the buffer to at least `size`.
    fn allocate(&mut self, size: usize) {
        if size > self.allocated {
            self.allocated = size.next_power_of_two();
            let mut buffer = BytesMut::with_capacity(self.allocated);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
        }
    }

    /// Enlarges the buffer if it is full. Waits for memory if there is none. Reserves the
    /// memory of the largest head at once: connections that each hold a part of what they
    /// need could all wait.
    fn poll_reserve(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.buffer.len() < self.allocated.max(FREE_BYTES) {
            return Poll::Ready(());
        }
        let size = (self.buffer.len() + 1).next_power_of_two();
        let most = size.max(self.head_bytes).max(self.head_len);
        let more = most - FREE_BYTES;
        while !self.memory.resize(more) {
            let Some(freed) = &mut self.freed else {
                self.budget.count_wait();
                self.freed = Some(self.budget.freed());
                continue;
            };
            ready!(freed.poll(cx));
            self.freed = Some(self.budget.freed());
        }
        if self.freed.take().is_some() {
            self.budget.wake_next();
        }
        self.allocate(size);
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> Lookahead<S> {
    /// Reads from the stream into the buffer; returns the number of bytes.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        ready!(self.poll_reserve(cx));
        let room = READ_BYTES.min(self.allocated.max(FREE_BYTES) - self.buffer.len());
        let length = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut bytes[..room]))?;
        self.allocate(self.buffer.len() + length);
        self.buffer.extend_from_slice(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    /// Reads a part of a body, or of what only hyper parses, directly into `out`.
    /// Returns none if the buffer has to be used.
    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Option<Poll<io::Result<usize>>> {
        let left = match self.next {
            _ if !self.buffer.is_empty() || self.ended => return None,
            Next::Head => return None,
            Next::Body(left) => usize::try_from(left).unwrap_or(usize::MAX),
            Next::Opaque => usize::MAX,
        };
        let limit = left.min(out.len()).min(READ_BYTES);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut out[..limit]);
        if let (Poll::Ready(Ok(length)), Next::Body(left)) = (&polled, self.next) {
            self.next = match left - *length as u64 {
                0 => Next::Head,
                left => Next::Body(left),
            };
        }
        Some(polled)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Lookahead<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.turns.lock().waker = Some(cx.waker().clone());
        if let Some(polled) = this.poll_body(cx, out) {
            return polled;
        }
        loop {
            this.advance();
            if this.released > 0 {
                let length = this.released.min(out.len());
                this.buffer.copy_to_slice(&mut out[..length]);
                this.released -= length;
                this.parsed -= length;
                this.free_buffer();
                return Poll::Ready(Ok(length));
            }
            if this.ended {
                // What is left is not a whole request.
                let length = this.buffer.len().min(out.len());
                this.buffer.copy_to_slice(&mut out[..length]);
                this.parsed = this.parsed.saturating_sub(length);
                return Poll::Ready(Ok(length));
            }
            if !this.has_room() {
                // Woken by the guard of the current request.
                return Poll::Pending;
            }
            let length = ready!(this.poll_fill(cx))?;
            this.ended = length == 0;
            if this.ended && this.turns.lock().busy {
                // The caller has left: what is waiting must not be served.
                this.discard();
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Lookahead<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.turns.note_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.turns.note_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Returns the length of the body of the request with this head, or none if only its
/// end shows the length, or if the connection changes its protocol.
fn body_length(head: &httparse::Request<'_, '_>) -> Option<u64> {
    let mut length = None;
    for field in head.headers.iter() {
        let name = field.name;
        if name.eq_ignore_ascii_case(header::TRANSFER_ENCODING.as_str())
            || name.eq_ignore_ascii_case(header::UPGRADE.as_str())
            || name.eq_ignore_ascii_case(header::EXPECT.as_str())
        {
            return None;
        }
        if name.eq_ignore_ascii_case(header::CONTENT_LENGTH.as_str()) {
            let text = std::str::from_utf8(field.value).ok()?.trim();
            let digits = text.bytes().all(|byte| byte.is_ascii_digit());
            let value: u64 = text.parse().ok().filter(|_| digits)?;
            if length.replace(value).is_some_and(|other| other != value) {
                return None;
            }
        }
    }
    (head.method != Some(Method::CONNECT.as_str())).then(|| length.unwrap_or(0))
}

/// Returns whether the method of the request with this head is safe. Requests with safe
/// methods may be processed in parallel (RFC 9112, section 9.3.2).
fn is_safe(head: &httparse::Request<'_, '_>) -> bool {
    let method = head.method.map(str::as_bytes).map(Method::from_bytes);
    method.is_some_and(|method| method.is_ok_and(|method| method.is_safe()))
}

/// Returns whether no request can follow the one with this head on its connection.
fn closes(head: &httparse::Request<'_, '_>) -> bool {
    let asks_close = |field: &httparse::Header<'_>| {
        field.name.eq_ignore_ascii_case(header::CONNECTION.as_str())
            && field.value.to_ascii_lowercase().starts_with(b"close")
    };
    head.version != Some(1) || head.headers.iter().any(asks_close)
}

/// Converts a parsed head; returns none if it is not a proper request.
fn to_request(head: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = head.path?.parse().ok()?;
    *request.version_mut() = Version::HTTP_11;
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}
