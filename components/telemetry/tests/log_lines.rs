//! Tests of the JSON log lines: their fields and the filter by level.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync::{Mutex, mpsc};

use cyclamengrade_telemetry::{event, event::Event, logs};
use googletest::prelude::*;
use log::LevelFilter;
use serde_json::{Value, json};

/// Receives the lines of the logger, of which a process can have only one.
static LOG: Mutex<Option<mpsc::Receiver<String>>> = Mutex::new(None);

/// Runs `body` and returns the lines that it logged.
fn logged_by(body: impl FnOnce()) -> Vec<Value> {
    let mut log = LOG.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let receiver = log.get_or_insert_with(|| {
        let (sender, receiver) = mpsc::channel();
        logs::dispatch(LevelFilter::Info).chain(fern::Output::sender(sender, "")).apply().unwrap();
        receiver
    });
    receiver.try_iter().for_each(drop);
    body();
    receiver.try_iter().map(|line| serde_json::from_str(&line).unwrap()).collect()
}

/// Guards against numbers and booleans written as strings, and against missing fields.
#[gtest]
fn fields_typed() -> Result<()> {
    let lines = logged_by(|| {
        let error = std::io::Error::other("a \"quoted\"\nline");
        event!(ConfigurationInForce, revision = 7_u64, digest = "9f0c");
        event!(UpstreamUnreachable, upstream = "tl-1", share = 0.5, late = true, error:% = error);
    });
    expect_that!(lines.len(), eq(2));
    let mut first = lines[0].clone();
    let time = first["time"].take();
    expect_that!(time.as_str(), some(ends_with("Z")));
    expect_that!(
        first,
        eq(&json!({
            "time": null, "level": "info", "event": 200, "name": "configuration_in_force",
            "message": Event::ConfigurationInForce.message(), "revision": 7, "digest": "9f0c",
        }))
    );
    expect_that!(lines[1]["share"], eq(&json!(0.5)));
    expect_that!(lines[1]["late"], eq(&json!(true)));
    verify_that!(lines[1]["error"], eq(&json!("a \"quoted\"\nline")))
}

/// Guards against a field that overwrites the level, the message or the time of the line.
#[gtest]
fn fixed_fields() -> Result<()> {
    let lines = logged_by(|| event!(Ready, level = "none", message = "none", time = "none"));
    expect_that!(lines[0]["level"], eq(&json!("info")));
    expect_that!(lines[0]["time"], not(eq(&json!("none"))));
    verify_that!(lines[0]["message"], eq(&json!(Event::Ready.message())))
}

/// Guards against debug lines at level `info`, and against info lines of third-party libraries.
#[gtest]
fn level_filter() -> Result<()> {
    let lines = logged_by(|| {
        event!(RequestRefused, client = "a");
        log::info!(target: "hyper", "connection");
        log::warn!(target: "hyper", "broken");
        log::debug!(target: "cyclamengrade_daemon::online", "detail");
        log::info!(target: "cyclamengrade_daemon::online", "step");
        event!(Stopped);
    });
    let messages: Vec<_> = lines.iter().map(|line| line["message"].as_str().unwrap()).collect();
    expect_that!(
        messages,
        elements_are![eq(&"broken"), eq(&"step"), eq(&Event::Stopped.message())]
    );
    verify_that!(lines[0]["target"], eq(&json!("hyper")))
}
