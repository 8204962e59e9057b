//! Rendezvous hashing (Thaler and Ravishankar, 1998).
//!
//! Every daemon computes the same owner of a key from the same set of names, without messages.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Hashes the given parts. The result is the same on every daemon and in every release.
///
/// Each part is followed by the byte 0xff, which UTF-8 never contains, so that the bounds of the
/// parts enter the hash.
pub fn stable(parts: &[&str]) -> u64 {
    hasher(parts).finish()
}

/// Hashes the given parts, followed by bytes that need not be text.
pub fn stable_with_bytes(parts: &[&str], bytes: &[u8]) -> u64 {
    let mut hasher = hasher(parts);
    hasher.write(bytes);
    hasher.finish()
}

fn hasher(parts: &[&str]) -> SipHasher13 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0xff);
    }
    hasher
}

/// Returns the upper half of a hash, which identifies names in messages between relays. A collision
/// only makes counts less accurate.
pub const fn short(hash: u64) -> u32 {
    (hash >> 32) as u32
}

/// Returns the name with the highest weight for `key`; `None` if there are no names.
pub fn owner<'a>(names: impl IntoIterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    names.into_iter().max_by_key(|name| (stable(&[name, key]), *name))
}

/// Returns the `count` names with the highest weights for `key`, highest first.
pub fn subset<'a>(
    names: impl IntoIterator<Item = &'a str>,
    key: &str,
    count: usize,
) -> Vec<&'a str> {
    let mut weighted: Vec<_> = names.into_iter().map(|name| (stable(&[name, key]), name)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, name)| name).collect()
}
