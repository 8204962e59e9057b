//! Messages of the engines' published protocol.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Model that must answer.
    pub model: String,
    /// Version that must answer; absent for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Tokens that the receiver already has; the stream goes on after them.
    #[serde(default)]
    pub resume_from: u32,
}

/// One server-sent event of a completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the token in the answer, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// `stop` or `length` on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Answer of `GET /v1/load`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of this report, which rises.
    pub sequence: u64,
    /// Age of the figures in milliseconds.
    pub age_ms: u32,
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests that wait in the engine.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Loaded models, as `model@version` or `model@version+adapter`.
    pub models: Vec<String>,
    /// Whether the engine is about to leave.
    pub leaving: bool,
}

/// Answer of `GET /v1/cache-events?after=N`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events with a number above N; numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// A prompt prefix that entered or left the cache of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub number: u64,
    /// Hash of the first 64 bytes of the prompt (SipHash-1-3, zero key), as hexadecimal digits.
    pub prefix: String,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Body of `PUT /v1/orders`: the condition that the engine must reach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Models to have, as `model@version` or `model@version+adapter`, in order of preference.
    pub models: Vec<String>,
}
