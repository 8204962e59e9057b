//! Parser of event streams (WHATWG HTML, section "Server-sent events").

use bytes::{Buf, Bytes, BytesMut};

/// Limit on the bytes that are buffered until an event is complete. A relay reads from hundreds of
/// upstreams at once.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id; `None` if the event has none or one that is not a number.
    pub id: Option<u64>,
    /// Bytes of the event as received, including the blank line at its end.
    pub raw: Bytes,
}

impl Event {
    /// Whether the event has a `data` field. Without one it is a comment or only sets fields.
    pub fn has_data(&self) -> bool {
        lines(&self.raw).any(|line| field(line, b"data").is_some())
    }

    /// Returns the values of the `data` fields, joined by line feeds, or `None` if they are not
    /// UTF-8.
    pub fn data(&self) -> Option<String> {
        let mut data = String::new();
        let mut first = true;
        for line in lines(&self.raw) {
            let Some(value) = field(line, b"data") else { continue };
            if !first {
                data.push('\n');
            }
            first = false;
            data.push_str(std::str::from_utf8(value).ok()?);
        }
        Some(data)
    }
}

/// Splits the bytes of a stream into events, and buffers the incomplete event at their end.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    scanned: usize,
}

impl Splitter {
    /// Appends bytes of the stream. Returns whether the buffer is still within
    /// [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        // A copy, so that an event that waits for its caller does not hold the whole buffer.
        let raw = Bytes::copy_from_slice(&self.buffer[..end]);
        self.buffer.advance(end);
        let id = lines(&raw)
            .filter_map(|line| field(line, b"id"))
            .next_back()
            .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        Some(Event { id, raw })
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds an incomplete event, once [`Self::next`] has returned `None`.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the position after the first blank line, which ends an event.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut index = self.scanned;
        while let Some(offset) = bytes[index..].iter().position(|byte| *byte == b'\n') {
            let next = index + offset + 1;
            match bytes.get(next..) {
                Some([b'\n', ..]) => return Some(next + 1),
                Some([b'\r', b'\n', ..]) => return Some(next + 2),
                _ => index = next,
            }
        }
        // A blank line may be split between these bytes and the next ones.
        self.scanned = bytes.len().saturating_sub(2);
        None
    }
}

fn lines(raw: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    raw.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
