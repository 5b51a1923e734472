//! The format of signed datagrams.
//!
//! A datagram consists of a tag of [`TAG_BYTES`], the sender's id of 8 bytes in
//! little-endian order, and the messages in postcard encoding. The tag covers the
//! sender and the messages.

use base::VmId;

use crate::key::Keyring;
use crate::key::TAG_BYTES;
use crate::msg::Msg;

/// The size up to which messages are batched in one datagram. It fits into a usual
/// MTU, so that the datagram is not fragmented.
pub const BATCH_MAX_BYTES: usize = 1400;
/// The size of the largest datagram that a VM receives.
pub const RECEIVE_MAX_BYTES: usize = 65_000;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// None of the receiver's keys produced the tag.
    #[error("the signature matches no key; set the same peers.keys on all VMs")]
    BadSignature,
    /// The datagram is truncated or contains bytes that do not decode to a message.
    #[error("the content cannot be decoded; run the same version on all VMs")]
    Malformed,
}

/// A datagram under construction.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// Space for the tag, then the sender and the messages.
    bytes: Vec<u8>,
    header_len: usize,
}

impl Datagram {
    /// Creates a datagram with the sender `from` and no messages.
    pub fn new(from: VmId) -> Self {
        let mut bytes = vec![0; TAG_BYTES];
        bytes.extend_from_slice(&from.to_le_bytes());
        let header_len = bytes.len();
        Self { bytes, header_len }
    }

    /// Appends `msg`, and returns false if it does not fit.
    ///
    /// The first message is appended whatever its size, since a message cannot be
    /// split. A message that cannot be encoded is dropped, and the result is true.
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

    /// Returns whether the datagram contains no message.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == self.header_len
    }

    /// Signs the datagram with the first key of `keys` and returns its bytes.
    pub fn seal(mut self, keys: &Keyring) -> Vec<u8> {
        let tag = keys.sign(&self.bytes[TAG_BYTES..]);
        self.bytes[..TAG_BYTES].copy_from_slice(&tag);
        self.bytes
    }
}

/// Verifies and decodes a datagram. Returns its sender and its messages.
pub fn open(bytes: &[u8], keys: &Keyring) -> Result<(VmId, Vec<Msg>), Error> {
    let (tag, signed) = bytes.split_at_checked(TAG_BYTES).ok_or(Error::Malformed)?;
    if !keys.verify(signed, tag) {
        return Err(Error::BadSignature);
    }
    let (from, mut rest) = signed.split_first_chunk().ok_or(Error::Malformed)?;
    let mut msgs = Vec::new();
    while !rest.is_empty() {
        let (msg, remaining) = postcard::take_from_bytes(rest).map_err(|_| Error::Malformed)?;
        msgs.push(msg);
        rest = remaining;
    }
    Ok((VmId::from_le_bytes(*from), msgs))
}
