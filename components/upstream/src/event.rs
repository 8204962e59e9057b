//! Decodes the server-sent events of a streamed completion into tokens.
//!
//! Each `data:` line holds one whole JSON chunk. The decoder checks that the positions of the
//! chunks have no gaps and drops tokens that a resumed stream repeats.

use std::borrow::Cow;

use serde::Deserialize;

/// Largest unfinished event, in bytes; a longer one fails the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One token of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the completion, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

/// Borrowing counterpart of [`crate::wire::Chunk`]: the text is copied only if it has escapes.
#[derive(Deserialize)]
struct Chunk<'a> {
    index: u32,
    #[serde(borrow)]
    text: Cow<'a, str>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Incremental decoder of a response body that arrives in parts.
#[derive(Default)]
pub(crate) struct Decoder {
    /// Bytes after the last line break.
    buffer: Vec<u8>,
    next_index: u32,
    finish_reason: Option<String>,
}

impl Decoder {
    /// Creates a decoder that expects `next_index` as the position of the first new token.
    pub(crate) fn new(next_index: u32) -> Self {
        Self { next_index, ..Self::default() }
    }

    pub(crate) const fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Returns why the completion ended, once its last chunk has been decoded.
    pub(crate) fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// Decodes all complete lines and buffers an incomplete one until the next call.
    ///
    /// Returns a description of the violated rule if the stream is invalid.
    pub(crate) fn push(&mut self, data: &[u8], tokens: &mut Vec<Token>) -> Result<(), String> {
        let Some(end) = data.iter().rposition(|byte| *byte == b'\n') else {
            return self.buffer_incomplete(data);
        };
        let (complete, rest) = data.split_at(end + 1);
        if self.buffer.is_empty() {
            self.decode_lines(complete, tokens)?;
        } else {
            let mut joined = std::mem::take(&mut self.buffer);
            joined.extend_from_slice(complete);
            self.decode_lines(&joined, tokens)?;
        }
        self.buffer_incomplete(rest)
    }

    fn buffer_incomplete(&mut self, rest: &[u8]) -> Result<(), String> {
        if self.buffer.len() + rest.len() > MAX_EVENT_BYTES {
            return Err(format!("an event is longer than {MAX_EVENT_BYTES} bytes"));
        }
        self.buffer.extend_from_slice(rest);
        Ok(())
    }

    fn decode_lines(&mut self, lines: &[u8], tokens: &mut Vec<Token>) -> Result<(), String> {
        for line in lines.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            // Comments and fields other than `data` carry no part of the completion.
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            let data = data.strip_prefix(b" ").unwrap_or(data);
            if data != b"[DONE]" {
                self.decode_chunk(data, tokens)?;
            }
        }
        Ok(())
    }

    fn decode_chunk(&mut self, data: &[u8], tokens: &mut Vec<Token>) -> Result<(), String> {
        let chunk: Chunk<'_> = serde_json::from_slice(data)
            .map_err(|error| format!("an event is not a completion chunk: {error}"))?;
        if self.finish_reason.is_some() {
            return Err(format!("chunk {} follows the last chunk", chunk.index));
        }
        if chunk.index > self.next_index {
            return Err(format!("expected chunk {}, got chunk {}", self.next_index, chunk.index));
        }
        // A resumed stream may repeat tokens that were received before. An empty last chunk only
        // carries the finish reason and is not a token.
        if chunk.index == self.next_index
            && !(chunk.text.is_empty() && chunk.finish_reason.is_some())
        {
            tokens.push(Token { index: chunk.index, text: chunk.text.into_owned() });
            self.next_index += 1;
        }
        self.finish_reason = chunk.finish_reason;
        Ok(())
    }
}
