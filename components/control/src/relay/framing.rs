//! Follows the requests in the bytes that a caller sends.
//!
//! The HTTP library takes a request whose length is stated in two ways, and says nothing of a head
//! that has begun. Such a request hides another one from whoever trusts the other statement (RFC
//! 9112, section 11.2).

/// Bytes of a header line that are looked at; longer lines state no length.
const LINE_BYTES: usize = 64;

/// Where the next byte belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    /// Request line and headers.
    #[default]
    Head,
    /// Body, of which so many bytes are left.
    Body(u64),
    /// Line with the size of a chunk.
    Size,
    /// Data of a chunk and the line break after it, of which so many bytes are left.
    Chunk(u64),
    /// Lines after the last chunk.
    Trailer,
}

/// The bytes up to here belong to requests that can be served; the request after them states its
/// length twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ambiguous(pub usize);

/// Requests of one connection.
#[derive(Clone, Debug, Default)]
pub struct Framing {
    part: Part,
    line: Vec<u8>,
    /// Whether a line of the head was seen.
    has_lines: bool,
    length: Option<u64>,
    is_chunked: bool,
}

impl Framing {
    /// A connection before its first request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a head has begun and is not complete.
    pub fn is_in_head(&self) -> bool {
        self.part == Part::Head && (self.has_lines || !self.line.is_empty())
    }

    /// Takes over the next bytes.
    ///
    /// # Errors
    ///
    /// A head states the length of its body twice.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Ambiguous> {
        let mut start = 0;
        let mut rest = bytes;
        while let Some(first) = rest.first() {
            match self.part {
                Part::Body(left) => rest = self.skip(rest, left, Part::Head, Part::Body),
                Part::Chunk(left) => rest = self.skip(rest, left, Part::Size, Part::Chunk),
                Part::Head | Part::Size | Part::Trailer => {
                    rest = &rest[1..];
                    if *first != b'\n' {
                        if self.line.len() < LINE_BYTES {
                            self.line.push(*first);
                        }
                        continue;
                    }
                    let was_head = self.part == Part::Head;
                    self.end_line();
                    if self.is_chunked && self.length.is_some() {
                        return Err(Ambiguous(start));
                    }
                    if was_head && self.part != Part::Head {
                        (self.length, self.is_chunked) = (None, false);
                    }
                }
            }
            if self.part == Part::Head && !self.is_in_head() {
                start = bytes.len() - rest.len();
            }
        }
        Ok(())
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        after: Part,
        within: fn(u64) -> Part,
    ) -> &'a [u8] {
        let taken = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        let left = left - taken as u64;
        self.part = if left == 0 { after } else { within(left) };
        &bytes[taken..]
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii();
        match self.part {
            Part::Head if line.is_empty() => self.end_head(),
            Part::Head => {
                self.has_lines = true;
                self.header(line);
            }
            Part::Size => {
                let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
                let digits = str::from_utf8(digits.trim_ascii()).unwrap_or_default();
                self.part = match u64::from_str_radix(digits, 16) {
                    // Two bytes for the line break after the data.
                    Ok(size) if size > 0 => Part::Chunk(size.saturating_add(2)),
                    // What is no size ends the request for the library as well.
                    Ok(_) | Err(_) => Part::Trailer,
                };
            }
            Part::Trailer if line.is_empty() => self.part = Part::Head,
            Part::Trailer | Part::Body(_) | Part::Chunk(_) => {}
        }
    }

    fn end_head(&mut self) {
        if !self.has_lines {
            // An empty line before a request is passed over (RFC 9112, section 2.2).
            return;
        }
        self.has_lines = false;
        self.part = match (self.is_chunked, self.length) {
            (true, _) => Part::Size,
            (false, Some(length)) if length > 0 => Part::Body(length),
            (false, _) => Part::Head,
        };
        if self.part == Part::Head {
            self.length = None;
        }
    }

    fn header(&mut self, line: &[u8]) {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let (Some(name), Some(value)) = (parts.next(), parts.next()) else { return };
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let value = str::from_utf8(value.trim_ascii()).unwrap_or_default();
            // The library refuses what is no number.
            self.length = value.parse().ok();
        }
    }
}
