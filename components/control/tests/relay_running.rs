//! Time for which a process has run.

use std::time::Duration;

use cyclamengrade_control::{
    relay::running::{Stopwatch, TICK_PERIOD},
    time::Time,
};
use googletest::prelude::*;

const START: Time = Time::from_millis(60_000);
/// Time for which a vm with a quota of processor time stops at most.
const QUOTA_STOP: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_secs(2);

/// Guards against a pause of the process that counts as silence of others, before and after the tick that
/// finds it.
#[gtest]
fn pause_left_out() {
    let mut stopwatch = Stopwatch::new(START);
    let woken = START + TICK_PERIOD + PAUSE;
    let before = stopwatch.read(woken).since(START);
    expect_that!(before, lt(PAUSE / 10));
    let pause = stopwatch.tick(woken);
    expect_that!(pause, gt(PAUSE * 9 / 10));
    expect_that!(stopwatch.read(woken).since(START), eq(before));
    // From then on it counts as before.
    expect_that!(stopwatch.read(woken + TICK_PERIOD).since(START), eq(before + TICK_PERIOD));
}

/// Guards against silence that is noticed late on a vm which stops regularly because of its quota.
#[gtest]
fn quota_counts() {
    let mut stopwatch = Stopwatch::new(START);
    let mut now = START;
    for _ in 0..20 {
        now = now + TICK_PERIOD + QUOTA_STOP;
        expect_that!(stopwatch.tick(now), eq(Duration::ZERO));
    }
    expect_that!(stopwatch.read(now).since(START), eq(now.since(START)));
}
