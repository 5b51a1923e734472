//! Stable 64-bit hashes of names and of pairs of ids.
//!
//! The hash has to be the same on every VM and in every build, which the
//! standard library's hasher does not promise; XXH3 does.

use twox_hash::XxHash3_64;

/// Hashes a list of names; the lengths take part, so that no two lists that
/// differ in where a name ends are hashed alike.
pub fn of(parts: &[&str]) -> u64 {
    let mut text = Vec::new();
    for part in parts {
        text.extend_from_slice(&(part.len() as u64).to_le_bytes());
        text.extend_from_slice(part.as_bytes());
    }
    XxHash3_64::oneshot(&text)
}

/// Hashes a pair of ids; the order of the pair matters.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    XxHash3_64::oneshot(&bytes)
}
