//! The shared keys that authenticate messages between VMs.
//!
//! A VM signs with its first key and accepts signatures of all its keys. Operators
//! rotate a key in three steps, so that no two VMs ever reject each other's messages:
//! they add the new key as the second one on all VMs, then move it to the front on
//! all VMs, then remove the old key.

/// The length of a key; equal to [`conf::settings::KEY_BYTES`].
pub const KEY_BYTES: usize = 32;
/// The length of a signature, which is a truncated keyed BLAKE3 hash.
pub const TAG_BYTES: usize = 16;

/// A signature: a message authentication code of the bytes that it is sent with.
pub type Tag = [u8; TAG_BYTES];

/// The keys that a VM has for messages to and from other VMs.
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<[u8; KEY_BYTES]>,
}

impl Keyring {
    /// Creates a keyring that signs with the first of `keys`.
    ///
    /// # Panics
    ///
    /// Panics if `keys` is empty. Settings without keys are rejected earlier.
    pub fn new(keys: Vec<[u8; KEY_BYTES]>) -> Self {
        assert!(!keys.is_empty(), "settings name at least one key");
        Self { keys }
    }

    /// Returns the signature of `bytes` by the first key.
    pub fn sign(&self, bytes: &[u8]) -> Tag {
        compute_tag(&self.keys[0], bytes)
    }

    /// Returns whether `received` is the signature of `bytes` by any of the keys.
    pub fn verify(&self, bytes: &[u8], received: &[u8]) -> bool {
        let Ok(received) = Tag::try_from(received) else {
            return false;
        };
        // `blake3::Hash` compares in constant time.
        let to_hash = |tag: Tag| {
            let mut padded = [0; KEY_BYTES];
            padded[..TAG_BYTES].copy_from_slice(&tag);
            blake3::Hash::from(padded)
        };
        let received = to_hash(received);
        self.keys
            .iter()
            .any(|key| to_hash(compute_tag(key, bytes)) == received)
    }
}

fn compute_tag(key: &[u8; KEY_BYTES], bytes: &[u8]) -> Tag {
    let hash = blake3::keyed_hash(key, bytes);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}
