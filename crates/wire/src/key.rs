//! Keys that sign what VMs say to each other.
//!
//! The first key signs, all are accepted, so that a key is replaced without a
//! moment in which two VMs do not understand each other: add the new key
//! second everywhere, then put it first everywhere, then drop the old one.

/// The bytes of a key.
pub const KEY_BYTES: usize = 32;
/// The bytes of a signature.
pub const TAG_BYTES: usize = 16;

/// A signature.
pub type Tag = [u8; TAG_BYTES];

/// The keys of one VM.
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<[u8; KEY_BYTES]>,
}

impl Keyring {
    /// Makes a keyring; the first of `keys` signs.
    ///
    /// # Panics
    ///
    /// Without keys; settings without them are refused before this.
    pub fn new(keys: Vec<[u8; KEY_BYTES]>) -> Self {
        assert!(!keys.is_empty(), "settings name at least one key");
        Self { keys }
    }

    /// Signs `bytes`.
    pub fn sign(&self, bytes: &[u8]) -> Tag {
        tag(&self.keys[0], bytes)
    }

    /// Returns whether any key signed `bytes` with `given`.
    pub fn verify(&self, bytes: &[u8], given: &[u8]) -> bool {
        let Ok(given) = Tag::try_from(given) else {
            return false;
        };
        // The hash type compares in constant time.
        let wide = |tag: Tag| {
            let mut wide = [0; KEY_BYTES];
            wide[..TAG_BYTES].copy_from_slice(&tag);
            blake3::Hash::from(wide)
        };
        let given = wide(given);
        self.keys.iter().any(|key| wide(tag(key, bytes)) == given)
    }
}

fn tag(key: &[u8; KEY_BYTES], bytes: &[u8]) -> Tag {
    let hash = blake3::keyed_hash(key, bytes);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}
