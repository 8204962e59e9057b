//! The pages of events and metrics against the code.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{collections::BTreeSet, fs, path::PathBuf};

use cyclamengrade_telemetry::{event::Event, metrics};
use googletest::prelude::*;

fn rows(page: &str) -> Vec<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    let text = fs::read_to_string(path).unwrap();
    text.lines().filter(|line| line.starts_with("| `")).map(String::from).collect()
}

/// Guards against an event that the catalogue page misses or describes otherwise.
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
                event.meaning().trim()
            )
        })
        .collect();
    verify_that!(rows("events.md"), eq(&expected))
}

/// Guards against a metric that the page misses or describes otherwise.
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
                metric.text
            )
        })
        .collect();
    verify_that!(rows("metrics.md"), eq(&expected))
}

/// Guards against two events with one number or name, and against numbers out of order.
#[gtest]
fn events_distinct() -> Result<()> {
    let numbers: Vec<_> = Event::ALL.iter().map(|event| event.number()).collect();
    let names: BTreeSet<_> = Event::ALL.iter().map(|event| event.name()).collect();
    expect_that!(numbers.windows(2).all(|pair| pair[0] < pair[1]), eq(true));
    verify_that!(names.len(), eq(Event::ALL.len()))
}

/// Guards against two metrics with one name, and against a name without its unit.
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
