//! Bodies of completions and chat completions in the common JSON form.
//!
//! Unknown fields are accepted, since callers send many that do not concern this system.

use serde::Deserialize;

use crate::{Failure, input::invalid};

/// Tokens to generate when the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// What a completion request asks for, whichever form it came in.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Wanted {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct Plain {
    model: String,
    prompt: Text,
    max_tokens: Option<u32>,
    stream: Option<bool>,
    n: Option<u32>,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct Chat {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    stream: Option<bool>,
    n: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Text,
}

/// A text, or a list of texts.
#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "expected a text or a list of texts")]
enum Text {
    One(String),
    Many(Vec<Part>),
}

#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "expected a text or an object with the field `text`")]
enum Part {
    Plain(String),
    Typed { text: String },
}

impl Text {
    fn joined(self) -> String {
        match self {
            Self::One(text) => text,
            Self::Many(parts) => parts
                .into_iter()
                .map(|part| match part {
                    Part::Plain(text) | Part::Typed { text } => text,
                })
                .collect(),
        }
    }
}

impl Plain {
    pub(crate) fn wanted(self) -> Result<Wanted, Failure> {
        if matches!(&self.prompt, Text::Many(parts) if parts.len() != 1) {
            return Err(invalid("the field `prompt` must hold one prompt"));
        }
        Wanted::new(self.model, self.prompt.joined(), self.max_tokens, self.stream, self.n)
    }
}

impl Chat {
    pub(crate) fn wanted(self) -> Result<Wanted, Failure> {
        if self.messages.is_empty() {
            return Err(invalid("the field `messages` is empty"));
        }
        let mut prompt = String::new();
        for message in self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content.joined());
            prompt.push('\n');
        }
        prompt.push_str("assistant:");
        let max_tokens = self.max_completion_tokens.or(self.max_tokens);
        Wanted::new(self.model, prompt, max_tokens, self.stream, self.n)
    }
}

impl Wanted {
    fn new(
        model: String,
        prompt: String,
        max_tokens: Option<u32>,
        stream: Option<bool>,
        n: Option<u32>,
    ) -> Result<Self, Failure> {
        if n.is_some_and(|n| n != 1) {
            return Err(invalid("the field `n` must be 1; send one request for each answer"));
        }
        if max_tokens == Some(0) {
            return Err(invalid("the field `max_tokens` must be at least 1"));
        }
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        Ok(Self { model, prompt, max_tokens, stream: stream.unwrap_or(false) })
    }
}
