//! Tracks message framing in the byte stream of an HTTP/1 connection from a caller.
//!
//! The HTTP library accepts a request with both `Content-Length` and `Transfer-Encoding`, which
//! allows request smuggling (RFC 9112, section 11.2): a recipient that trusts the other header sees
//! a second, hidden request. The library also does not report that a request head has begun.

/// Bytes of a line that are kept; the rest is ignored. Lines that state a length are shorter.
const MAX_LINE_BYTES: usize = 64;

/// Part of a request that the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    /// Request line and header lines.
    #[default]
    Head,
    /// Body with a known length; the bytes that remain.
    Body(u64),
    /// Line with the size of a chunk.
    ChunkSize,
    /// Data of a chunk and the line break after it; the bytes that remain.
    ChunkData(u64),
    /// Trailer section, after the last chunk.
    Trailer,
}

/// A request head states the length of its body in two ways.
///
/// Contains the number of pushed bytes that belong to the valid requests before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AmbiguousLength(pub usize);

/// Framing state of one connection.
#[derive(Clone, Debug, Default)]
pub struct Framing {
    part: Part,
    /// Start of the current line, at most [`MAX_LINE_BYTES`] long.
    line: Vec<u8>,
    /// Whether a non-empty line of the current head was read.
    has_head_lines: bool,
    content_length: Option<u64>,
    is_chunked: bool,
}

impl Framing {
    /// Creates the state of a connection before its first request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request head has begun and is incomplete.
    pub fn is_in_head(&self) -> bool {
        self.part == Part::Head && (self.has_head_lines || !self.line.is_empty())
    }

    /// Processes the next bytes of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if a request head has both a `Content-Length` and a `Transfer-Encoding`.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), AmbiguousLength> {
        let mut valid = 0;
        let mut rest = bytes;
        while let Some(first) = rest.first() {
            match self.part {
                Part::Body(remaining) => rest = self.skip(rest, remaining, Part::Head, Part::Body),
                Part::ChunkData(remaining) => {
                    rest = self.skip(rest, remaining, Part::ChunkSize, Part::ChunkData)
                }
                Part::Head | Part::ChunkSize | Part::Trailer => {
                    rest = &rest[1..];
                    if *first != b'\n' {
                        if self.line.len() < MAX_LINE_BYTES {
                            self.line.push(*first);
                        }
                        continue;
                    }
                    let was_head = self.part == Part::Head;
                    self.finish_line();
                    if self.is_chunked && self.content_length.is_some() {
                        return Err(AmbiguousLength(valid));
                    }
                    if was_head && self.part != Part::Head {
                        (self.content_length, self.is_chunked) = (None, false);
                    }
                }
            }
            if self.part == Part::Head && !self.is_in_head() {
                valid = bytes.len() - rest.len();
            }
        }
        Ok(())
    }

    /// Skips up to `remaining` bytes and returns the bytes after them. The next part is `after` if
    /// all of them were there, and otherwise `within` with the number that is still missing.
    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining: u64,
        after: Part,
        within: fn(u64) -> Part,
    ) -> &'a [u8] {
        let skipped = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len());
        let remaining = remaining - skipped as u64;
        self.part = if remaining == 0 { after } else { within(remaining) };
        &bytes[skipped..]
    }

    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii();
        match self.part {
            Part::Head if line.is_empty() => self.finish_head(),
            Part::Head => {
                self.has_head_lines = true;
                self.parse_header(line);
            }
            Part::ChunkSize => {
                let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
                let digits = str::from_utf8(digits.trim_ascii()).unwrap_or_default();
                self.part = match u64::from_str_radix(digits, 16) {
                    // Plus two bytes for the line break after the data.
                    Ok(size) if size > 0 => Part::ChunkData(size.saturating_add(2)),
                    // The HTTP library also ends a request with an invalid chunk size.
                    Ok(_) | Err(_) => Part::Trailer,
                };
            }
            Part::Trailer if line.is_empty() => self.part = Part::Head,
            Part::Trailer | Part::Body(_) | Part::ChunkData(_) => {}
        }
    }

    fn finish_head(&mut self) {
        if !self.has_head_lines {
            // Empty lines before a request are ignored (RFC 9112, section 2.2).
            return;
        }
        self.has_head_lines = false;
        self.part = match (self.is_chunked, self.content_length) {
            (true, _) => Part::ChunkSize,
            (false, Some(length)) if length > 0 => Part::Body(length),
            (false, _) => Part::Head,
        };
        if self.part == Part::Head {
            self.content_length = None;
        }
    }

    fn parse_header(&mut self, line: &[u8]) {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let (Some(name), Some(value)) = (parts.next(), parts.next()) else { return };
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let value = str::from_utf8(value.trim_ascii()).unwrap_or_default();
            // The HTTP library rejects values that are not numbers.
            self.content_length = value.parse().ok();
        }
    }
}
