//! Output that fits a narrow screen.

use std::{
    io::{self, ErrorKind, Write},
    time::{Duration, UNIX_EPOCH},
};

use serde::Serialize;

use crate::cli::{Exit, Failure};

/// Widest line, so that a report can be read on a phone.
pub const WIDTH: usize = 60;

/// First millisecond of the year 10000 in the Unix epoch.
const YEAR_10000_MS: u64 = 253_402_300_800_000;

/// Indentation of the second and further lines of a wrapped line.
const HANG: usize = 4;

/// Prints a text on standard output. A reader that goes away early is no failure.
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

/// A value as one line of JSON.
pub fn to_json(value: &impl Serialize) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(|cause| Failure::new(Exit::Internal, cause))
}

/// Prints a text on standard error; there is nowhere to report a failure of this.
pub fn error(text: &str) {
    let _ = writeln!(io::stderr().lock(), "{text}");
}

/// Breaks every line at spaces so that it fits the width. A single longer word, such as a path or
/// an identifier, stays whole, so that it can be copied.
pub fn wrap(text: &str) -> String {
    text.lines().map(wrap_line).collect::<Vec<_>>().join("\n")
}

fn wrap_line(line: &str) -> String {
    if line.chars().count() <= WIDTH {
        return line.into();
    }
    let indent = line.len() - line.trim_start().len();
    let hang = " ".repeat(indent + HANG);
    let mut lines = Vec::new();
    let mut current = " ".repeat(indent);
    let mut empty = true;
    for word in line.split_whitespace() {
        let space = usize::from(!empty);
        if !empty && current.chars().count() + space + word.chars().count() > WIDTH {
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

/// Wall-clock time as text.
pub fn time(unix_ms: u64) -> String {
    UNIX_EPOCH
        .checked_add(Duration::from_millis(unix_ms))
        // Later years have more than four digits, which the formatter refuses.
        .filter(|_| unix_ms < YEAR_10000_MS)
        .map_or_else(
            || format!("{unix_ms} ms after 1970"),
            |time| humantime::format_rfc3339_seconds(time).to_string(),
        )
}
