//! Decoding of a completion's server-sent events.

use std::borrow::Cow;

use serde::Deserialize;

/// Largest event, in bytes; a longer one ends the stream as not understood.
const EVENT_BYTES: usize = 1 << 20;

/// One token of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the answer, from 0.
    pub index: u32,
    /// Text.
    pub text: String,
}

/// A chunk whose text borrows from the event where it has no escapes.
#[derive(Deserialize)]
struct Chunk<'a> {
    index: u32,
    #[serde(borrow)]
    text: Cow<'a, str>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Splits the bytes of a body into events.
#[derive(Default)]
pub(crate) struct Decoder {
    rest: Vec<u8>,
    next: u32,
    finish_reason: Option<String>,
}

impl Decoder {
    /// A decoder whose first token has the position `next`.
    pub(crate) fn new(next: u32) -> Self {
        Self { next, ..Self::default() }
    }

    /// Position of the next token.
    pub(crate) const fn next(&self) -> u32 {
        self.next
    }

    /// The reason for which the answer ended, once its last chunk has arrived.
    pub(crate) fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// Decodes the whole events in `data` and keeps an unfinished one for the next call.
    pub(crate) fn push(&mut self, data: &[u8], tokens: &mut Vec<Token>) -> Result<(), String> {
        let Some(end) = data.iter().rposition(|byte| *byte == b'\n') else {
            return self.keep(data);
        };
        let (whole, rest) = data.split_at(end + 1);
        if self.rest.is_empty() {
            self.lines(whole, tokens)?;
        } else {
            let mut joined = std::mem::take(&mut self.rest);
            joined.extend_from_slice(whole);
            self.lines(&joined, tokens)?;
        }
        self.keep(rest)
    }

    fn keep(&mut self, rest: &[u8]) -> Result<(), String> {
        if self.rest.len() + rest.len() > EVENT_BYTES {
            return Err(format!("an event is longer than {EVENT_BYTES} bytes"));
        }
        self.rest.extend_from_slice(rest);
        Ok(())
    }

    fn lines(&mut self, whole: &[u8], tokens: &mut Vec<Token>) -> Result<(), String> {
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            // Other fields and comments carry nothing.
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            let data = data.strip_prefix(b" ").unwrap_or(data);
            if data != b"[DONE]" {
                self.chunk(data, tokens)?;
            }
        }
        Ok(())
    }

    fn chunk(&mut self, data: &[u8], tokens: &mut Vec<Token>) -> Result<(), String> {
        let chunk: Chunk<'_> = serde_json::from_slice(data)
            .map_err(|error| format!("an event is not a chunk of a completion: {error}"))?;
        if self.finish_reason.is_some() {
            return Err(format!("chunk {} follows the last one", chunk.index));
        }
        if chunk.index > self.next {
            return Err(format!("chunk {} arrived instead of {}", chunk.index, self.next));
        }
        // A resumed stream may repeat tokens that were received before.
        if chunk.index == self.next && !(chunk.text.is_empty() && chunk.finish_reason.is_some()) {
            tokens.push(Token { index: chunk.index, text: chunk.text.into_owned() });
            self.next += 1;
        }
        self.finish_reason = chunk.finish_reason;
        Ok(())
    }
}
