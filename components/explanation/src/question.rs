//! Question about a request, as the target of an HTTP request.

use std::fmt::Write;

/// Path of the question.
pub const PATH: &str = "/explain";

/// A request that a relay is asked about. Its key is not part of it, see [`crate`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Question {
    pub host: String,
    /// Path of the request, with its query if it has one.
    pub path: String,
    pub method: String,
    /// Stated tokens of the prompt and largest number of those of the output. For a batch job, the tokens
    /// of all items.
    pub tokens: Option<(u64, u64)>,
}

impl Question {
    /// Creates a question about a request with the method `POST` that states no tokens.
    pub fn new(host: impl Into<String>, path: impl Into<String>) -> Self {
        Self { host: host.into(), path: path.into(), method: "POST".into(), tokens: None }
    }

    pub fn with_method(self, method: impl Into<String>) -> Self {
        Self { method: method.into(), ..self }
    }

    pub fn with_tokens(self, tokens: Option<(u64, u64)>) -> Self {
        Self { tokens, ..self }
    }

    /// Checks the values that do not depend on the state of a relay.
    ///
    /// # Errors
    ///
    /// Returns what is wrong.
    pub fn check(&self) -> Result<(), String> {
        let is_token = |text: &str| {
            let mut bytes = text.bytes();
            !text.is_empty() && bytes.all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
        };
        match () {
            () if self.host.is_empty() => Err("the host is empty".into()),
            () if self.host.bytes().any(|byte| !byte.is_ascii_graphic() || byte == b'/') => {
                Err(format!("{:?} is not a host", self.host))
            }
            () if !self.path.starts_with('/') => {
                Err(format!("the path {:?} does not begin with a slash", self.path))
            }
            () if !self.path.bytes().all(|byte| byte.is_ascii_graphic()) => {
                Err(format!("the path {:?} has characters that have to be encoded", self.path))
            }
            () if !is_token(&self.method) => Err(format!("{:?} is not a method", self.method)),
            () => Ok(()),
        }
    }

    /// Returns the target of the HTTP request.
    pub fn target(&self) -> String {
        let Self { host, path, method, tokens } = self;
        let mut target =
            format!("{PATH}?host={}&path={}&method={}", encode(host), encode(path), encode(method));
        if let Some((prompt, output)) = tokens {
            // Writing to a string cannot fail.
            let _ = write!(target, "&prompt_tokens={prompt}&output_tokens={output}");
        }
        target
    }

    /// Parses the query of the target.
    ///
    /// # Errors
    ///
    /// Returns which parameter is missing, unknown or malformed.
    pub fn parse(query: &str) -> Result<Self, String> {
        let mut question = Self::new("", "");
        let (mut prompt, mut output) = (None, None);
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value =
                decode(value).ok_or_else(|| format!("the parameter {name} is malformed"))?;
            let number = || {
                let parsed = value.parse::<u64>();
                parsed.map(Some).map_err(|_| format!("{name} is not a number of tokens"))
            };
            match name {
                "host" => question.host = value,
                "path" => question.path = value,
                "method" => question.method = value,
                "prompt_tokens" => prompt = number()?,
                "output_tokens" => output = number()?,
                _ => return Err(format!("{name:?} is not a parameter")),
            }
        }
        question.tokens = match (prompt, output) {
            (Some(prompt), Some(output)) => Some((prompt, output)),
            (None, None) => None,
            _ => return Err("one of prompt_tokens and output_tokens is missing".into()),
        };
        question.check()?;
        Ok(question)
    }
}

/// Percent-encodes a value of a query (RFC 3986, section 2.1).
fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Reverses [`encode`]. Returns `None` for an incomplete escape or bytes that are not UTF-8.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let mut digit = || char::from(rest.next()?).to_digit(16);
        bytes.push(u8::try_from(digit()? * 16 + digit()?).ok()?);
    }
    String::from_utf8(bytes).ok()
}
