//! Writes text and JSON to standard output and standard error, and wraps text for narrow screens.

use std::{
    io::{self, ErrorKind, Write},
    time::{Duration, UNIX_EPOCH},
};

use serde::Serialize;

use crate::cli::{Exit, Failure};

/// Maximum width of a line in characters, so that output can be read on a phone.
pub const LINE_WIDTH: usize = 60;

/// Start of the year 10000 in milliseconds since the Unix epoch.
const YEAR_10000_MS: u64 = 253_402_300_800_000;

/// Additional indentation, in characters, of the continuation lines of a wrapped line.
const HANGING_INDENT: usize = 4;

/// Prints text on standard output and ends it with a newline. A closed pipe is not an error, so
/// that the output can be piped to `head`.
pub fn line(text: &str) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    let end = if text.ends_with('\n') { "" } else { "\n" };
    match write!(out, "{text}{end}").and_then(|()| out.flush()) {
        Err(cause) if cause.kind() != ErrorKind::BrokenPipe => {
            Err(Failure::new(Exit::Internal, format!("cannot write standard output: {cause}")))
        }
        Ok(()) | Err(_) => Ok(()),
    }
}

/// Prints a value as one line of JSON.
pub fn json(value: &impl Serialize) -> Result<(), Failure> {
    line(&to_json(value)?)
}

/// Serializes a value as one line of JSON.
pub fn to_json(value: &impl Serialize) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(|cause| Failure::new(Exit::Internal, cause))
}

/// Prints a line on standard error. Write errors are ignored, since they cannot be reported.
pub fn error(text: &str) {
    let _ = writeln!(io::stderr().lock(), "{text}");
}

/// Wraps every line at spaces to [`LINE_WIDTH`]. A longer word, such as a path or an identifier, is
/// not broken, so that it can be copied.
pub fn wrap(text: &str) -> String {
    text.lines().map(wrap_line).collect::<Vec<_>>().join("\n")
}

fn wrap_line(line: &str) -> String {
    if line.chars().count() <= LINE_WIDTH {
        return line.into();
    }
    let indent = line.len() - line.trim_start().len();
    let hang = " ".repeat(indent + HANGING_INDENT);
    let mut lines = Vec::new();
    let mut current = " ".repeat(indent);
    let mut empty = true;
    for word in line.split_whitespace() {
        let space = usize::from(!empty);
        if !empty && current.chars().count() + space + word.chars().count() > LINE_WIDTH {
            lines.push(std::mem::replace(&mut current, hang.clone()));
            empty = true;
        }
        if !empty {
            current.push(' ');
        }
        current.push_str(word);
        empty = false;
    }
    lines.push(current);
    lines.join("\n")
}

/// Formats milliseconds since the Unix epoch as an RFC 3339 timestamp in UTC.
pub fn timestamp(unix_ms: u64) -> String {
    UNIX_EPOCH
        .checked_add(Duration::from_millis(unix_ms))
        // The formatter rejects years of more than four digits.
        .filter(|_| unix_ms < YEAR_10000_MS)
        .map_or_else(
            || format!("{unix_ms} ms after 1970"),
            |time| humantime::format_rfc3339_seconds(time).to_string(),
        )
}
