//! Request bodies of completions and chat completions in the JSON format of the OpenAI API.
//!
//! Unknown fields are ignored, because callers commonly send fields that this system does not use.

use serde::Deserialize;

use crate::{Failure, extract::invalid};

/// Maximum number of tokens to generate if the request does not set one.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Parameters of a completion, independent of the endpoint.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Parameters {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    model: String,
    prompt: TextContent,
    max_tokens: Option<u32>,
    stream: Option<bool>,
    n: Option<u32>,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatCompletionBody {
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
    content: TextContent,
}

/// Text, given as a string or as a list of parts.
#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "expected a text or a list of texts")]
enum TextContent {
    One(String),
    Many(Vec<TextPart>),
}

#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "expected a text or an object with the field `text`")]
enum TextPart {
    Plain(String),
    Typed { text: String },
}

impl TextContent {
    fn concatenate(self) -> String {
        match self {
            Self::One(text) => text,
            Self::Many(parts) => parts
                .into_iter()
                .map(|part| match part {
                    TextPart::Plain(text) | TextPart::Typed { text } => text,
                })
                .collect(),
        }
    }
}

impl CompletionBody {
    pub(crate) fn into_parameters(self) -> Result<Parameters, Failure> {
        if matches!(&self.prompt, TextContent::Many(parts) if parts.len() != 1) {
            return Err(invalid("the field `prompt` must contain exactly one prompt"));
        }
        Parameters::new(self.model, self.prompt.concatenate(), self.max_tokens, self.stream, self.n)
    }
}

impl ChatCompletionBody {
    pub(crate) fn into_parameters(self) -> Result<Parameters, Failure> {
        if self.messages.is_empty() {
            return Err(invalid("the field `messages` must not be empty"));
        }
        let mut prompt = String::new();
        for message in self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content.concatenate());
            prompt.push('\n');
        }
        prompt.push_str("assistant:");
        let max_tokens = self.max_completion_tokens.or(self.max_tokens);
        Parameters::new(self.model, prompt, max_tokens, self.stream, self.n)
    }
}

impl Parameters {
    fn new(
        model: String,
        prompt: String,
        max_tokens: Option<u32>,
        stream: Option<bool>,
        n: Option<u32>,
    ) -> Result<Self, Failure> {
        if n.is_some_and(|n| n != 1) {
            return Err(invalid("the field `n` must be 1; send one request for each completion"));
        }
        if max_tokens == Some(0) {
            return Err(invalid("the field `max_tokens` must be at least 1"));
        }
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        Ok(Self { model, prompt, max_tokens, stream: stream.unwrap_or(false) })
    }
}
