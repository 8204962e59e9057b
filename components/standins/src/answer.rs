//! Deterministic answers of the model engines. A test computes the expected answer from the
//! prompt, the model version and the token limit.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Marker in a prompt that makes the engine fail the request on every attempt.
pub const FAIL_MARKER: &str = "[fail]";

/// Marker in a prompt that terminates the engine process while it generates the answer.
pub const KILL_MARKER: &str = "[kill]";

/// Start of the marker `[stop:N]` in a prompt. The answer ends after N tokens.
pub const STOP_MARKER: &str = "[stop:";

/// Length of the prompt prefix that identifies an entry of the prefix cache, in bytes.
pub const PREFIX_BYTES: usize = 64;

/// Derives the token at `index` from a hash of the prompt, the version and the index.
pub fn token(prompt: &str, version: &str, index: u32) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write(prompt.as_bytes());
    hasher.write_u8(0);
    hasher.write(version.as_bytes());
    hasher.write_u32(index);
    format!("{:04x} ", hasher.finish() & 0xffff)
}

/// Returns the number of tokens in the complete answer: the N of a `[stop:N]` marker or else
/// `max_tokens`, and never more than `max_tokens`.
pub fn token_count(prompt: &str, max_tokens: u32) -> u32 {
    let stop =
        prompt.split_once(STOP_MARKER).and_then(|(_, rest)| rest.split(']').next()?.parse().ok());
    stop.unwrap_or(u32::MAX).min(max_tokens)
}

/// Returns `stop` if the answer ends within `max_tokens`, else `length`.
pub fn finish_reason(prompt: &str, max_tokens: u32) -> &'static str {
    match token_count(prompt, u32::MAX) <= max_tokens {
        true => "stop",
        false => "length",
    }
}

/// Returns the text of the complete answer.
pub fn text(prompt: &str, version: &str, max_tokens: u32) -> String {
    (0..token_count(prompt, max_tokens)).map(|index| token(prompt, version, index)).collect()
}

/// Hashes the first [`PREFIX_BYTES`] of the prompt.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let mut hasher = SipHasher13::new();
    hasher.write(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
