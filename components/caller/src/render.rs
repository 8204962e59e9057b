//! JSON of completions, written without intermediate values.

use std::time::{SystemTime, UNIX_EPOCH};

/// Form of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// Of `POST /v1/completions`.
    Plain,
    /// Of `POST /v1/chat/completions`.
    Chat,
}

/// Writes the parts of one answer.
pub(crate) struct Renderer {
    form: Form,
    id: String,
    created: u64,
    model: String,
    /// Beginning of every streamed chunk, up to the text.
    chunk: Vec<u8>,
}

impl Renderer {
    pub(crate) fn new(form: Form, number: u64, model: &str) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        let id = match form {
            Form::Plain => format!("cmpl-{number:x}"),
            Form::Chat => format!("chatcmpl-{number:x}"),
        };
        let mut renderer = Self { form, id, created, model: model.to_owned(), chunk: Vec::new() };
        let mut chunk = b"data: ".to_vec();
        renderer.head(
            &mut chunk,
            match form {
                Form::Plain => "text_completion",
                Form::Chat => "chat.completion.chunk",
            },
        );
        chunk.extend_from_slice(br#","choices":[{"index":0,"#);
        renderer.chunk = chunk;
        renderer
    }

    fn head(&self, out: &mut Vec<u8>, object: &str) {
        out.extend_from_slice(br#"{"id":""#);
        out.extend_from_slice(self.id.as_bytes());
        out.extend_from_slice(br#"","object":""#);
        out.extend_from_slice(object.as_bytes());
        out.extend_from_slice(br#"","created":"#);
        out.extend_from_slice(self.created.to_string().as_bytes());
        out.extend_from_slice(br#","model":"#);
        escape(out, &self.model);
    }

    /// Writes one token as an event.
    pub(crate) fn token(&self, out: &mut Vec<u8>, text: &str) {
        out.extend_from_slice(&self.chunk);
        match self.form {
            Form::Plain => {
                out.extend_from_slice(br#""text":"#);
                escape(out, text);
                out.extend_from_slice(br#","finish_reason":null}]}"#);
            }
            Form::Chat => {
                out.extend_from_slice(br#""delta":{"content":"#);
                escape(out, text);
                out.extend_from_slice(br#"},"finish_reason":null}]}"#);
            }
        }
        out.extend_from_slice(b"\n\n");
    }

    /// Writes the event that opens a chat answer.
    pub(crate) fn opening(&self, out: &mut Vec<u8>) {
        if self.form == Form::Chat {
            out.extend_from_slice(&self.chunk);
            out.extend_from_slice(br#""delta":{"role":"assistant"},"finish_reason":null}]}"#);
            out.extend_from_slice(b"\n\n");
        }
    }

    /// Writes the last chunk and the end mark.
    pub(crate) fn end(&self, out: &mut Vec<u8>, finish_reason: &str) {
        out.extend_from_slice(&self.chunk);
        out.extend_from_slice(match self.form {
            Form::Plain => br#""text":"","finish_reason":"#.as_slice(),
            Form::Chat => br#""delta":{},"finish_reason":"#,
        });
        escape(out, finish_reason);
        out.extend_from_slice(b"}]}\n\ndata: [DONE]\n\n");
    }

    /// The whole answer as one JSON object.
    pub(crate) fn whole(&self, text: &str, finish_reason: &str, tokens: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(text.len() + 256);
        self.head(
            &mut out,
            match self.form {
                Form::Plain => "text_completion",
                Form::Chat => "chat.completion",
            },
        );
        out.extend_from_slice(br#","choices":[{"index":0,"#);
        match self.form {
            Form::Plain => {
                out.extend_from_slice(br#""text":"#);
                escape(&mut out, text);
            }
            Form::Chat => {
                out.extend_from_slice(br#""message":{"role":"assistant","content":"#);
                escape(&mut out, text);
                out.push(b'}');
            }
        }
        out.extend_from_slice(br#","finish_reason":"#);
        escape(&mut out, finish_reason);
        out.extend_from_slice(br#"}],"usage":{"completion_tokens":"#);
        out.extend_from_slice(tokens.to_string().as_bytes());
        out.extend_from_slice(b"}}");
        out
    }
}

/// Writes a JSON string.
fn escape(out: &mut Vec<u8>, text: &str) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
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
                out.push(DIGITS[usize::from(byte >> 4)]);
                out.push(DIGITS[usize::from(byte & 0xf)]);
            }
        }
        rest = &rest[at + 1..];
    }
    out.extend_from_slice(rest);
    out.push(b'"');
}
