//! Tests of the subcommand `story`, which prints the log lines about one id.
#![allow(clippy::unwrap_used)]

mod program;

use googletest::prelude::*;
use program::{Program, scratch};

/// Guards against lines out of order, lines of other requests, and failures caused by lines that
/// are not JSON.
#[gtest]
fn order() -> Result<()> {
    let first = scratch(
        "vm-1.log",
        "{\"time\":\"2026-01-01T00:00:02.000Z\",\"name\":\"request_ended\",\"request\":\"r-1\",\"status\":200}\n\
         not a line\n\
         {\"time\":\"2026-01-01T00:00:01.000Z\",\"name\":\"request_sent\",\"request\":\"r-2\"}\n",
    );
    let second = scratch(
        "vm-2.log",
        "{\"time\":\"2026-01-01T00:00:01.500Z\",\"name\":\"request_sent\",\"request\":\"r-1\",\"upstream\":\"u\"}\n",
    );
    let output = Program::new(&format!("story r-1 {first} {second}")).run();
    expect_that!(output.code, eq(0), "{}", output.errors);
    let lines: Vec<String> =
        output.text.replace("\n    ", " ").lines().map(str::to_owned).collect();
    expect_that!(lines.len(), eq(2));
    expect_that!(
        lines[0],
        contains_substring("request_sent upstream=u")
            .or(contains_substring("request_sent request=r-1 upstream=u"))
    );
    expect_that!(lines[1], contains_substring("status=200"));
    verify_that!(output.widest(), le(60))
}

/// Guards against a missing file that is reported as a file without matching lines.
#[gtest]
fn missing_file() {
    let output = Program::new("story r-1 no-such.log").run();
    expect_that!(output.code, eq(2));
    expect_that!(output.message(), contains_substring("no-such.log"));
}
