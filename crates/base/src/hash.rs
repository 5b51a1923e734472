//! Stable 64-bit hashes of names and of pairs of ids.
//!
//! Every VM and every build has to compute the same hash. XXH3 guarantees that;
//! the standard library's hasher does not.

use twox_hash::XxHash3_64;

/// Returns the hash of a list of names.
///
/// The length of each name is hashed too, so that lists that differ only in where
/// a name ends, such as `["ab", "c"]` and `["a", "bc"]`, have different hashes.
pub fn of(parts: &[&str]) -> u64 {
    let mut text = Vec::new();
    for part in parts {
        text.extend_from_slice(&(part.len() as u64).to_le_bytes());
        text.extend_from_slice(part.as_bytes());
    }
    XxHash3_64::oneshot(&text)
}

/// Returns the hash of `bytes`.
pub fn of_bytes(bytes: &[u8]) -> u64 {
    XxHash3_64::oneshot(bytes)
}

/// Returns the hash of a pair of ids, which depends on the order of the pair.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    XxHash3_64::oneshot(&bytes)
}
