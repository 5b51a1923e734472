//! Signed datagrams: a tag, the sender, and as many messages as fit.

use base::VmId;

use crate::key::Keyring;
use crate::key::TAG_BYTES;
use crate::msg::Msg;

/// The size up to which a datagram is filled, so that it is not fragmented.
pub const BATCH_MAX_BYTES: usize = 1400;
/// The largest datagram that is received.
pub const RECEIVE_MAX_BYTES: usize = 65_000;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No key signed it.
    #[error("the signature is wrong; give all VMs the same peers.keys")]
    BadSignature,
    /// It holds something that is not a message.
    #[error("the content is not a message; run the same version on all VMs")]
    Malformed,
}

/// A datagram that is being filled.
#[derive(Clone, Debug)]
pub struct Datagram {
    bytes: Vec<u8>,
    empty: usize,
}

impl Datagram {
    /// Makes a datagram from `from` without messages.
    pub fn new(from: VmId) -> Self {
        let mut bytes = vec![0; TAG_BYTES];
        bytes.extend_from_slice(&from.to_le_bytes());
        let empty = bytes.len();
        Self { bytes, empty }
    }

    /// Adds `msg` unless the datagram is full; returns whether it was added.
    pub fn add(&mut self, msg: &Msg) -> bool {
        let Ok(encoded) = postcard::to_stdvec(msg) else {
            return true;
        };
        let fits = self.bytes.len() + encoded.len() <= BATCH_MAX_BYTES;
        if fits || self.is_empty() {
            self.bytes.extend_from_slice(&encoded);
            return true;
        }
        false
    }

    /// Returns whether it holds no message.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == self.empty
    }

    /// Signs it and returns its bytes.
    pub fn seal(mut self, keys: &Keyring) -> Vec<u8> {
        let tag = keys.sign(&self.bytes[TAG_BYTES..]);
        self.bytes[..TAG_BYTES].copy_from_slice(&tag);
        self.bytes
    }
}

/// Opens a datagram; returns its sender and messages.
pub fn open(bytes: &[u8], keys: &Keyring) -> Result<(VmId, Vec<Msg>), Error> {
    let (tag, signed) = bytes.split_at_checked(TAG_BYTES).ok_or(Error::Malformed)?;
    if !keys.verify(signed, tag) {
        return Err(Error::BadSignature);
    }
    let (from, mut rest) = signed.split_first_chunk().ok_or(Error::Malformed)?;
    let mut msgs = Vec::new();
    while !rest.is_empty() {
        let (msg, left) = postcard::take_from_bytes(rest).map_err(|_| Error::Malformed)?;
        msgs.push(msg);
        rest = left;
    }
    Ok((VmId::from_le_bytes(*from), msgs))
}
