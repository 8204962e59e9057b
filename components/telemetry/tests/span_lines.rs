//! Test of the log lines of finished spans.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync::mpsc;

use cyclamengrade_telemetry::{logs, trace};
use googletest::prelude::*;
use log::LevelFilter;
use serde_json::{Value, json};

/// Guards against sampled spans that are not logged or are logged without their identifiers, and
/// against logging a span that is not sampled.
#[gtest]
fn span_logged() -> Result<()> {
    let (sender, receiver) = mpsc::channel();
    logs::dispatch(LevelFilter::Info).chain(fern::Output::sender(sender, "")).apply().or_fail()?;
    trace::install(0.0);
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut span = trace::start("request", Some(parent));
    span.set("tokens", 12);
    span.set("deployment", "telaio-lm");
    span.end();
    trace::start("request", None).end();

    let lines: Vec<Value> =
        receiver.try_iter().map(|line| serde_json::from_str(&line).unwrap()).collect();
    expect_that!(lines.len(), eq(1));
    let line = &lines[0];
    expect_that!(line["event"], eq(&json!(1100)));
    expect_that!(line["span"], eq(&json!("request")));
    expect_that!(line["trace_id"], eq(&json!("0af7651916cd43dd8448eb211c80319c")));
    expect_that!(line["parent_span_id"], eq(&json!("b7ad6b7169203331")));
    expect_that!(line["tokens"], eq(&json!(12)));
    expect_that!(line["deployment"], eq(&json!("telaio-lm")));
    verify_that!(line["duration_us"].is_u64(), eq(true))
}
