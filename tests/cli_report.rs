//! Tests of the subcommand `report`, which summarizes log files of relays.
#![allow(clippy::unwrap_used)]

mod program;

use std::fs;

use googletest::prelude::*;
use program::{Program, scratch};
use serde_json::{Value, json};

/// Formats log lines of a relay; each time is in milliseconds since a fixed start.
fn log_lines(lines: &[(u64, Value)]) -> String {
    let lines = lines.iter().map(|(ms, fields)| {
        let mut fields = fields.clone();
        fields["time"] = json!(format!("2026-01-01T00:00:{:02}.{:03}Z", ms / 1_000, ms % 1_000));
        format!("{fields}\n")
    });
    lines.collect()
}

/// Writes the log files of two relays and returns their paths.
fn write_logs() -> (String, String) {
    let first = log_lines(&[
        (0, json!({"name": "daemon_starting"})),
        (100, json!({"name": "job_stored", "job": "j", "items": 2})),
        (200, json!({"name": "item_started", "job": "j", "item": "i-1"})),
        (1_200, json!({"name": "item_completed", "job": "j", "item": "i-1"})),
        (1_300, json!({"name": "results_listed", "job": "j", "count": 1, "listed": 1, "items": 2})),
        (1_400, json!({"name": "item_started", "job": "j", "item": "i-2"})),
        (1_900, json!({"name": "job_released", "job": "j"})),
        (3_000, json!({"name": "feed_lost"})),
    ]);
    let second = log_lines(&[
        (500, json!({"name": "request_sent", "request": "r-1"})),
        (1_500, json!({"name": "request_ended", "request": "r-1", "status": 200, "first_ms": 70})),
        (1_600, json!({"name": "request_declined", "request": "r-2"})),
        (2_500, json!({"name": "request_ended", "request": "r-3", "status": 502, "first_ms": 0})),
    ]);
    (scratch("vm-1.log", &format!("{first}no line\n")), scratch("vm-2.log", &second))
}

/// Guards against events that are counted in the wrong step or twice.
#[gtest]
fn steps() -> Result<()> {
    let (first, second) = write_logs();
    let output = Program::new(&format!("report {first} {second} --step-s 1 --json")).run();
    expect_that!(output.code, eq(0), "{}", output.errors);
    let report: Value = serde_json::from_str(&output.text)?;
    let steps = report["steps"].as_array().unwrap();
    expect_that!(steps.len(), eq(4));
    let column = |name: &str| steps.iter().map(|step| step[name].clone()).collect::<Vec<_>>();
    expect_that!(column("answered"), eq(&[json!(0), json!(1), json!(0), json!(0)]));
    expect_that!(column("refused"), eq(&[json!(0), json!(1), json!(0), json!(0)]));
    expect_that!(column("failed"), eq(&[json!(0), json!(0), json!(1), json!(0)]));
    expect_that!(column("backlog"), eq(&[json!(2), json!(1), json!(1), json!(1)]));
    expect_that!(column("online"), eq(&[json!(0.5), json!(0.5), json!(0.0), json!(0.0)]));
    expect_that!(column("batch"), eq(&[json!(0.8), json!(0.7), json!(0.0), json!(0.0)]));
    verify_that!(steps[3]["events"], eq(&json!({"feed_lost": 1})))
}

/// Guards against a report that is too wide for a phone, and a page with missing charts or invalid
/// numbers.
#[gtest]
fn page() -> Result<()> {
    let (first, second) = write_logs();
    let page = scratch("report.html", "");
    let output = Program::new(&format!("report {first} {second} --page {page}")).run();
    expect_that!(output.code, eq(0), "{}", output.errors);
    expect_that!(output.widest(), le(60));
    expect_that!(output.text, contains_substring("1 answered, 1 refused, 1 failed"));
    let html = fs::read_to_string(page)?;
    expect_that!(html.matches("<svg").count(), eq(4));
    expect_that!(html, not(contains_substring("NaN")));
    verify_that!(html, contains_substring("feed_lost 1"))
}

/// Guards against an empty report instead of an error for files without log lines and for steps of
/// zero length.
#[gtest]
fn no_lines() {
    let file = scratch("empty.log", "nothing\n");
    let output = Program::new(&format!("report {file}")).run();
    expect_that!(output.code, eq(2));
    let output = Program::new(&format!("report {file} --step-s 0")).run();
    expect_that!(output.code, eq(2));
}
