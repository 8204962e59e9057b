//! Renders completions in the JSON format of the OpenAI API.
//!
//! The JSON is written directly into a buffer, since this runs for every token.

use std::time::{SystemTime, UNIX_EPOCH};

/// Endpoint that received the request, which decides on the format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `POST /v1/completions`
    Completions,
    /// `POST /v1/chat/completions`
    ChatCompletions,
}

/// Renders the response to one request.
pub(crate) struct Renderer {
    endpoint: Endpoint,
    id: String,
    created: u64,
    model: String,
    /// Part that all streamed chunks have in common, up to the text.
    chunk_prefix: Vec<u8>,
}

impl Renderer {
    pub(crate) fn new(endpoint: Endpoint, number: u64, model: &str) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        let id = match endpoint {
            Endpoint::Completions => format!("cmpl-{number:x}"),
            Endpoint::ChatCompletions => format!("chatcmpl-{number:x}"),
        };
        let mut renderer =
            Self { endpoint, id, created, model: model.to_owned(), chunk_prefix: Vec::new() };
        let mut chunk_prefix = b"data: ".to_vec();
        renderer.write_object_start(
            &mut chunk_prefix,
            match endpoint {
                Endpoint::Completions => "text_completion",
                Endpoint::ChatCompletions => "chat.completion.chunk",
            },
        );
        chunk_prefix.extend_from_slice(br#","choices":[{"index":0,"#);
        renderer.chunk_prefix = chunk_prefix;
        renderer
    }

    /// Writes the fields before `choices`, which are the same in all formats.
    fn write_object_start(&self, out: &mut Vec<u8>, object: &str) {
        out.extend_from_slice(br#"{"id":""#);
        out.extend_from_slice(self.id.as_bytes());
        out.extend_from_slice(br#"","object":""#);
        out.extend_from_slice(object.as_bytes());
        out.extend_from_slice(br#"","created":"#);
        out.extend_from_slice(self.created.to_string().as_bytes());
        out.extend_from_slice(br#","model":"#);
        write_json_string(out, &self.model);
    }

    /// Writes the event of one token.
    pub(crate) fn token_event(&self, out: &mut Vec<u8>, text: &str) {
        out.extend_from_slice(&self.chunk_prefix);
        match self.endpoint {
            Endpoint::Completions => {
                out.extend_from_slice(br#""text":"#);
                write_json_string(out, text);
                out.extend_from_slice(br#","finish_reason":null}]}"#);
            }
            Endpoint::ChatCompletions => {
                out.extend_from_slice(br#""delta":{"content":"#);
                write_json_string(out, text);
                out.extend_from_slice(br#"},"finish_reason":null}]}"#);
            }
        }
        out.extend_from_slice(b"\n\n");
    }

    /// Writes the first event of a chat completion, which carries the role; a plain completion has
    /// none.
    pub(crate) fn role_event(&self, out: &mut Vec<u8>) {
        if self.endpoint == Endpoint::ChatCompletions {
            out.extend_from_slice(&self.chunk_prefix);
            out.extend_from_slice(br#""delta":{"role":"assistant"},"finish_reason":null}]}"#);
            out.extend_from_slice(b"\n\n");
        }
    }

    /// Writes the event of the last chunk and the final `[DONE]`.
    pub(crate) fn end_events(&self, out: &mut Vec<u8>, finish_reason: &str) {
        out.extend_from_slice(&self.chunk_prefix);
        out.extend_from_slice(match self.endpoint {
            Endpoint::Completions => br#""text":"","finish_reason":"#.as_slice(),
            Endpoint::ChatCompletions => br#""delta":{},"finish_reason":"#,
        });
        write_json_string(out, finish_reason);
        out.extend_from_slice(b"}]}\n\ndata: [DONE]\n\n");
    }

    /// Renders a complete response as one JSON object.
    pub(crate) fn complete(&self, text: &str, finish_reason: &str, tokens: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(text.len() + 256);
        self.write_object_start(
            &mut out,
            match self.endpoint {
                Endpoint::Completions => "text_completion",
                Endpoint::ChatCompletions => "chat.completion",
            },
        );
        out.extend_from_slice(br#","choices":[{"index":0,"#);
        match self.endpoint {
            Endpoint::Completions => {
                out.extend_from_slice(br#""text":"#);
                write_json_string(&mut out, text);
            }
            Endpoint::ChatCompletions => {
                out.extend_from_slice(br#""message":{"role":"assistant","content":"#);
                write_json_string(&mut out, text);
                out.push(b'}');
            }
        }
        out.extend_from_slice(br#","finish_reason":"#);
        write_json_string(&mut out, finish_reason);
        out.extend_from_slice(br#"}],"usage":{"completion_tokens":"#);
        out.extend_from_slice(tokens.to_string().as_bytes());
        out.extend_from_slice(b"}}");
        out
    }
}

/// Writes a JSON string with quotes and escapes.
fn write_json_string(out: &mut Vec<u8>, text: &str) {
    const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";
    out.push(b'"');
    let mut rest = text.as_bytes();
    while let Some(at) = rest.iter().position(|byte| matches!(byte, b'"' | b'\\' | 0..=0x1f)) {
        out.extend_from_slice(&rest[..at]);
        match rest[at] {
            b'"' => out.extend_from_slice(br#"\""#),
            b'\\' => out.extend_from_slice(br"\\"),
            b'\n' => out.extend_from_slice(br"\n"),
            b'\r' => out.extend_from_slice(br"\r"),
            b'\t' => out.extend_from_slice(br"\t"),
            byte => {
                out.extend_from_slice(br"\u00");
                out.push(HEX_DIGITS[usize::from(byte >> 4)]);
                out.push(HEX_DIGITS[usize::from(byte & 0xf)]);
            }
        }
        rest = &rest[at + 1..];
    }
    out.extend_from_slice(rest);
    out.push(b'"');
}
