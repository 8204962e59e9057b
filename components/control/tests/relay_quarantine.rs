//! Tests of the quarantine of parts of prompts that end upstreams.

use std::time::Duration;

use cyclamengrade_control::{
    relay::quarantine::{Part, QUARANTINE_TIME, Quarantine, Query, Suspicions},
    time::Time,
};
use googletest::prelude::*;

const NOW: Time = Time::from_millis(100_000);
const COMMON: Part = Part(1);
const FATAL: Part = Part(2);

const fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Guards against upstreams that end one after the other under the same part, and against a part that
/// other requests share being quarantined with it.
#[gtest]
fn fatal_part() {
    let mut suspicions = Suspicions::new();
    expect_that!(suspicions.blame(at(0), 1, &[COMMON, FATAL]), none());
    expect_that!(suspicions.blame(at(150), 2, &[COMMON, FATAL]), none());
    let query = suspicions.blame(at(400), 3, &[COMMON, FATAL]);
    expect_that!(query.as_ref().map(|query| &query.parts[..]), some(eq(&[COMMON, FATAL][..])));
    expect_that!(suspicions.blame(at(500), 4, &[COMMON, FATAL]), none());
    suspicions.clear(&[COMMON]);
    expect_that!(suspicions.take_confirmed(at(600)), is_empty());
    expect_that!(suspicions.take_confirmed(at(700)), elements_are![eq(&FATAL)]);
    expect_that!(suspicions.take_confirmed(at(900)), is_empty());
}

/// Guards against counting one crash for each relay that saw it, and against adding up crashes that
/// are far apart.
#[gtest]
fn few_crashes() {
    let mut suspicions = Suspicions::new();
    for relay in 0..10 {
        expect_that!(suspicions.blame(at(relay), 1, &[FATAL]), none());
    }
    expect_that!(suspicions.blame(at(4_000), 1, &[FATAL]), none());
    let much_later = at(120_000);
    for upstream in 5..7 {
        expect_that!(suspicions.blame(much_later, upstream, &[FATAL]), none());
    }
    expect_that!(suspicions.blame(much_later, 7, &[FATAL]), some(anything()));
}

/// Guards against blaming parts with which requests are answered, and against sound parts that are
/// quarantined when other relays answer their requests.
#[gtest]
fn sound_parts() {
    let mut quarantine = Quarantine::new();
    quarantine.record_answer(NOW, &[COMMON]);
    expect_that!(quarantine.suspects(at(9_000), &[COMMON, FATAL]), elements_are![eq(&FATAL)]);
    expect_that!(quarantine.suspects(at(11_000), &[COMMON]), elements_are![eq(&COMMON)]);
    let query = Query { parts: vec![COMMON, FATAL], within: Duration::from_secs(20) };
    expect_that!(quarantine.sound_parts(at(11_000), &query), elements_are![eq(&COMMON)]);
    expect_that!(quarantine.hold(at(1_000), COMMON, QUARANTINE_TIME), eq(false));
    expect_that!(quarantine.left(at(1_000), &[COMMON]), none());
}

/// Guards against a quarantine that never ends, or that a news of an older one shortens.
#[gtest]
fn end_of_quarantine() {
    let mut quarantine = Quarantine::new();
    expect_that!(quarantine.hold(NOW, FATAL, QUARANTINE_TIME), eq(true));
    expect_that!(
        quarantine.hold(at(1_000), FATAL, QUARANTINE_TIME - Duration::from_secs(1)),
        eq(false)
    );
    let left = quarantine.left(at(1_000), &[COMMON, FATAL]);
    expect_that!(left, some(eq(QUARANTINE_TIME - Duration::from_secs(1))));
    expect_that!(quarantine.left(NOW + QUARANTINE_TIME, &[FATAL]), none());
}

/// Guards against memory that grows with the number of parts.
#[gtest]
fn many_parts() {
    let mut quarantine = Quarantine::new();
    let mut suspicions = Suspicions::new();
    for number in 0..100_000 {
        let now = NOW + Duration::from_millis(number);
        quarantine.record_answer(now, &[Part(number)]);
        suspicions.blame(now, 1, &[Part(number)]);
    }
    let query =
        Query { parts: (0..100_000).map(Part).collect(), within: Duration::from_secs(1_000) };
    expect_that!(quarantine.sound_parts(at(100_000), &query).len(), le(1 << 15));
}
