//! Messages that wait to be sent, gathered by receiver.
//!
//! Messages for one peer that wait at the same moment leave in one datagram.
//! There is no timer: what has gathered while the last datagrams were being
//! sent is the batch, so a message that comes alone leaves alone and at once.
//! The idea is that of "Batch your lookups" (mq-bridge, 2026); the figures on
//! our own messages are in `docs/design/wire.md`.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;

use base::VmId;
use event_listener::Event;

use crate::datagram::Datagram;
use crate::key::Keyring;
use crate::msg::Msg;
use crate::transport::Transport;

/// The messages for one peer.
#[derive(Debug)]
struct Pile {
    to: SocketAddr,
    msgs: Vec<Msg>,
}

/// What an outbox has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// Messages.
    pub msgs: u64,
    /// Datagrams.
    pub datagrams: u64,
    /// Bytes of the datagrams.
    pub bytes: u64,
}

/// Messages that wait to be sent.
#[derive(Debug)]
pub struct Outbox {
    me: VmId,
    keys: Keyring,
    gather: bool,
    piles: Mutex<Vec<Pile>>,
    filled: Event,
    msgs: AtomicU64,
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

impl Outbox {
    /// Makes an empty outbox of `me`.
    pub fn new(me: VmId, keys: Keyring) -> Self {
        Self {
            me,
            keys,
            gather: true,
            piles: Mutex::default(),
            filled: Event::new(),
            msgs: AtomicU64::new(0),
            datagrams: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        }
    }

    /// Returns the same outbox with each message in a datagram of its own, to
    /// measure what gathering saves.
    pub fn without_batching(mut self) -> Self {
        self.gather = false;
        self
    }

    /// Puts a message in.
    pub fn put(&self, to: SocketAddr, msg: Msg) {
        let mut piles = self.piles.lock().unwrap_or_else(PoisonError::into_inner);
        match piles.binary_search_by_key(&to, |pile| pile.to) {
            Ok(at) => piles[at].msgs.push(msg),
            Err(at) => {
                let msgs = vec![msg];
                piles.insert(at, Pile { to, msgs });
            }
        }
        drop(piles);
        self.filled.notify(1);
    }

    /// Returns what has been sent.
    pub fn sent(&self) -> SentCounts {
        SentCounts {
            msgs: self.msgs.load(Ordering::Relaxed),
            datagrams: self.datagrams.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }

    /// Sends what is put in, for as long as it is polled.
    pub async fn run(&self, transport: &dyn Transport) {
        loop {
            let listener = self.filled.listen();
            let piles = self.take();
            if piles.is_empty() {
                listener.await;
                continue;
            }
            for pile in piles {
                self.send(transport, pile).await;
            }
        }
    }

    /// Sends what waits now and returns; the last act of a planned stop.
    pub async fn flush(&self, transport: &dyn Transport) {
        for pile in self.take() {
            self.send(transport, pile).await;
        }
    }

    fn take(&self) -> Vec<Pile> {
        let mut piles = self.piles.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *piles)
    }

    async fn send(&self, transport: &dyn Transport, pile: Pile) {
        let mut datagram = Datagram::new(self.me);
        for msg in &pile.msgs {
            let alone = !self.gather && !datagram.is_empty();
            if alone || !datagram.add(msg) {
                let full = std::mem::replace(&mut datagram, Datagram::new(self.me));
                self.send_one(transport, pile.to, full).await;
                datagram.add(msg);
            }
        }
        self.msgs
            .fetch_add(pile.msgs.len() as u64, Ordering::Relaxed);
        self.send_one(transport, pile.to, datagram).await;
    }

    async fn send_one(&self, transport: &dyn Transport, to: SocketAddr, datagram: Datagram) {
        let bytes = datagram.seal(&self.keys);
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if let Err(error) = transport.send(to, &bytes).await {
            log::debug!("wire: datagram to {to} lost: {error}");
        }
    }
}
