//! Deterministic answers of the engines, which a checker can compute again.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Marker in a prompt whose item always fails.
pub const FAIL: &str = "[fail]";

/// Marker in a prompt that ends the engine process while it runs.
pub const KILL: &str = "[kill]";

/// Start of a marker `[stop:N]` in a prompt whose answer ends after N tokens.
pub const STOP: &str = "[stop:";

/// Bytes of the prompt that the prefix cache looks at.
pub const PREFIX_BYTES: usize = 64;

/// Text of one token.
pub fn token(prompt: &str, version: &str, index: u32) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write(prompt.as_bytes());
    hasher.write_u8(0);
    hasher.write(version.as_bytes());
    hasher.write_u32(index);
    format!("{:04x} ", hasher.finish() & 0xffff)
}

/// Number of tokens in the whole answer.
pub fn length(prompt: &str, max_tokens: u32) -> u32 {
    let stop = prompt.split_once(STOP).and_then(|(_, rest)| rest.split(']').next()?.parse().ok());
    stop.unwrap_or(u32::MAX).min(max_tokens)
}

/// `stop` or `length`.
pub fn finish_reason(prompt: &str, max_tokens: u32) -> &'static str {
    match length(prompt, u32::MAX) <= max_tokens {
        true => "stop",
        false => "length",
    }
}

/// Text of the whole answer.
pub fn whole(prompt: &str, version: &str, max_tokens: u32) -> String {
    (0..length(prompt, max_tokens)).map(|index| token(prompt, version, index)).collect()
}

/// Hash of the part of the prompt that the prefix cache looks at.
pub fn prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let mut hasher = SipHasher13::new();
    hasher.write(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
