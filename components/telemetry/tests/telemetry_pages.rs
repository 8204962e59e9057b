//! Tests that compare the documentation pages of events and metrics with the code.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use cyclamengrade_telemetry::{event::Event, metrics};
use googletest::prelude::*;

/// Returns the rows of the tables of a page that start with a number or name in backticks.
fn rows(page: &str) -> Vec<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    let text = fs::read_to_string(path).unwrap();
    text.lines().filter(|line| line.starts_with("| `")).map(String::from).collect()
}

/// Guards against an event that is missing from the page or described differently there.
#[gtest]
fn events_page() -> Result<()> {
    let expected: Vec<_> = Event::ALL
        .iter()
        .map(|event| {
            format!(
                "| `{}` | {} | {} | {} |",
                event.number(),
                event.name(),
                event.level().as_str().to_ascii_lowercase(),
                event.description().trim()
            )
        })
        .collect();
    verify_that!(rows("events.md"), eq(&expected))
}

/// Guards against a metric that is missing from the page or described differently there.
#[gtest]
fn metrics_page() -> Result<()> {
    let expected: Vec<_> = metrics::ALL
        .iter()
        .map(|metric| {
            let labels = if metric.labels.is_empty() { "-" } else { metric.labels };
            format!(
                "| `{}` | {} | {} | {labels} | {} |",
                metric.name,
                metric.kind.name(),
                metric.unit.as_str(),
                metric.description
            )
        })
        .collect();
    verify_that!(rows("metrics.md"), eq(&expected))
}

/// Returns the text of all source files except `event.rs` and `metrics.rs`, which declare the
/// events and metrics.
fn sources() -> String {
    fn collect(folder: &Path, text: &mut String) {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap_or_default();
            if path.is_dir() {
                collect(&path, text);
            } else if name != "event.rs" && name != "metrics.rs" {
                *text += &fs::read_to_string(path).unwrap_or_default();
            }
        }
    }
    let mut text = String::new();
    let components = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for entry in fs::read_dir(components).unwrap() {
        collect(&entry.unwrap().path().join("src"), &mut text);
    }
    text
}

/// Returns the event numbers or metric names that a page lists under "Not written yet".
fn not_written_yet(page: &str) -> BTreeSet<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    let text = fs::read_to_string(path).unwrap();
    let section = text.split_once("## Not written yet").map_or("", |(_, section)| section);
    section.split('`').skip(1).step_by(2).map(String::from).collect()
}

/// Guards against a declared event or metric that no code writes. Those that a page lists under
/// "Not written yet" are exempt, and may already be written.
#[gtest]
fn declarations_used() -> Result<()> {
    let sources = sources();
    // A macro names its metric by a constant, with or without the module, or by a literal.
    let recorded: BTreeSet<_> = ["counter!(", "gauge!(", "histogram!("]
        .iter()
        .flat_map(|open| sources.split(open).skip(1))
        .filter_map(|rest| rest.split([',', ')']).next())
        .filter_map(|name| name.rsplit("::").next())
        .map(|name| name.trim().trim_matches('"'))
        .collect();
    let (unwritten_events, unwritten_metrics) =
        (not_written_yet("events.md"), not_written_yet("metrics.md"));
    for event in Event::ALL {
        let variant = format!("{event:?}");
        let used = sources.contains(&format!("Event::{variant}"))
            || sources.split("event!(").skip(1).any(|rest| {
                let name = rest.trim_start();
                let name = name.split(|c: char| !c.is_ascii_alphanumeric()).next();
                name == Some(variant.as_str())
            });
        let listed = unwritten_events.contains(&event.number().to_string());
        expect_that!(used || listed, eq(true), "{} {variant}", event.number());
    }
    for (constant, metric) in metrics::CONSTANTS.iter().zip(metrics::ALL) {
        let used = recorded.contains(constant) || recorded.contains(metric.name);
        expect_that!(used || unwritten_metrics.contains(metric.name), eq(true), "{}", metric.name);
    }
    Ok(())
}

/// Guards against two events with the same number or name, and against numbers out of order.
#[gtest]
fn events_distinct() -> Result<()> {
    let numbers: Vec<_> = Event::ALL.iter().map(|event| event.number()).collect();
    let names: BTreeSet<_> = Event::ALL.iter().map(|event| event.name()).collect();
    expect_that!(numbers.windows(2).all(|pair| pair[0] < pair[1]), eq(true));
    verify_that!(names.len(), eq(Event::ALL.len()))
}

/// Guards against two metrics with the same name, and against a counter without the suffix `_total`
/// or a histogram of seconds without the suffix `_seconds`.
#[gtest]
fn metrics_distinct() -> Result<()> {
    let names: BTreeSet<_> = metrics::ALL.iter().map(|metric| metric.name).collect();
    expect_that!(names.len(), eq(metrics::ALL.len()));
    for metric in metrics::ALL {
        let suffix = match (metric.kind, metric.unit) {
            (metrics::Kind::Counter, _) => "_total",
            (metrics::Kind::Histogram, ::metrics::Unit::Seconds) => "_seconds",
            _ => "",
        };
        expect_that!(metric.name, ends_with(suffix));
    }
    Ok(())
}
