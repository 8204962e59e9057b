//! Rendezvous hashing (Thaler and Ravishankar, 1998).

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Hash of the given parts that is the same on every daemon and in every release.
pub fn stable(parts: &[&str]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0xff);
    }
    hasher.finish()
}

/// The name that owns `key` among `names`.
pub fn owner<'a>(names: impl IntoIterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    names.into_iter().max_by_key(|name| (stable(&[name, key]), *name))
}

/// The `count` names with the highest weight for `key`, in descending order.
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
