//! JSON messages of the engines' HTTP protocol.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Name of the model that must answer.
    pub model: String,
    /// Version of the model that must answer; absent if any version may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Text to complete.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the engine answers with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens that the receiver already has; the engine continues the completion after
    /// them.
    #[serde(default)]
    pub resume_from: u32,
}

/// Data of one server-sent event of a completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the token in the completion, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// `stop` or `length` on the last chunk, otherwise absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Response to `GET /v1/load`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of this report; it increases from report to report.
    pub sequence: u64,
    /// Time since the values were taken, in milliseconds.
    pub age_ms: u32,
    /// Requests that are generating tokens.
    pub running: u32,
    /// Requests that wait in the engine's own queue.
    pub queued: u32,
    /// Maximum number of requests that can run at once.
    pub slots: u32,
    /// Loaded models, as `model@version` or `model@version+adapter`.
    pub models: Vec<String>,
    /// Whether the engine is about to shut down.
    pub leaving: bool,
}

/// Response to `GET /v1/cache-events?after=N`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events with a number above N; the numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// Change of an engine's prompt prefix cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, which the next query passes as `after`.
    pub number: u64,
    /// Hash of the first 64 bytes of the prompt (SipHash-1-3, zero key), as hexadecimal digits.
    pub prefix: String,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Body of `PUT /v1/orders`: the state that the engine must reach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Models to load, as `model@version` or `model@version+adapter`, in order of preference.
    pub models: Vec<String>,
}
