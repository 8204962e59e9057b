//! Splits an event stream into events (WHATWG HTML, section "Server-sent events").

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes.
const LARGEST_EVENT: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id; `None` when it has none or one that is no number.
    pub id: Option<u64>,
    /// The event as it came, its blank line included.
    pub raw: Bytes,
}

impl Event {
    /// Its data lines, joined by line feeds; `None` when they are not UTF-8.
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

/// Bytes that are not yet a whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Adds bytes as they arrive; returns whether the buffer stays within its bound.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= LARGEST_EVENT
    }

    /// The next whole event.
    pub fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.searched = 0;
        let raw = self.buffer.split_to(end).freeze();
        let id = lines(&raw)
            .filter_map(|line| field(line, b"id"))
            .next_back()
            .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        Some(Event { id, raw })
    }

    /// Whether an event is incomplete.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The end of the first blank line after the start of an event.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut index = self.searched;
        while let Some(offset) = bytes[index..].iter().position(|byte| *byte == b'\n') {
            let next = index + offset + 1;
            match bytes.get(next..) {
                Some([b'\n', ..]) => return Some(next + 1),
                Some([b'\r', b'\n', ..]) => return Some(next + 2),
                _ => index = next,
            }
        }
        // A line end may continue with the next bytes.
        self.searched = bytes.len().saturating_sub(2);
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
