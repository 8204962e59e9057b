//! Tests of the choice among upstreams that differ in speed, and of how their speeds are learned.

use std::time::Duration;

use cyclamengrade_control::{
    relay::broker::speed::{News, Sample, Speeds},
    time::Time,
};
use googletest::prelude::*;

const SHARD: u32 = 9;
const NOW: Time = Time(1_000_000_000);
/// Time between the events of an upstream of usual speed with one request.
const GAP: Duration = Duration::from_millis(37);
/// What each further request adds to it.
const GAP_PER_REQUEST: f64 = 0.08;
const SLOTS: u32 = 8;
/// Slowness of upstreams of three kinds of hardware.
const KINDS: [f64; 3] = [0.6, 1.0, 1.6];

fn sample(upstream: u32, slowness: f64, requests: u32) -> Sample {
    let load = 1.0 + GAP_PER_REQUEST * f64::from(requests - 1);
    Sample { shard: SHARD, upstream, requests, gap: GAP.mul_f64(slowness * load), events: 19 }
}

/// Returns the speeds of nine upstreams of three kinds after `rounds` responses of each, at all loads by turns.
fn learned(rounds: u32) -> (Speeds, Time) {
    let (mut speeds, mut now) = (Speeds::default(), NOW);
    for round in 0..rounds {
        for upstream in 0..9 {
            let requests = (round * 3 + upstream) % SLOTS + 1;
            let slowness = KINDS[upstream as usize % 3];
            speeds.record_gap(sample(upstream, slowness, requests), now);
            now = now + Duration::from_millis(20);
        }
    }
    (speeds, now)
}

/// Guards against upstreams that count as equal although some of them are slower for good.
#[gtest]
fn lasting_difference() {
    let (speeds, now) = learned(40);
    let slowness = |upstream| speeds.slowness(upstream, now);
    expect_that!(slowness(2) / slowness(0), near(KINDS[2] / KINDS[0], 0.4));
    expect_that!(slowness(1) / slowness(0), near(KINDS[1] / KINDS[0], 0.25));
    expect_that!([0, 1, 2].map(|upstream| speeds.is_slow(upstream, now)), eq([false, false, true]));
}

/// Guards against an upstream that counts as slow because it has more requests than the others.
#[gtest]
fn own_load() {
    let mut speeds = Speeds::default();
    for round in 0..60 {
        for upstream in 0..4 {
            // The first one is full all the time.
            let requests = if upstream == 0 { SLOTS } else { round % SLOTS + 1 };
            speeds.record_gap(sample(upstream, 1.0, requests), NOW);
        }
    }
    expect_that!(speeds.slowness(0, NOW), near(1.0, 0.1));
    expect_that!((0..4).any(|upstream| speeds.is_slow(upstream, NOW)), is_false());
}

/// Guards against an upstream that is avoided for long because a neighbour slowed it down for a moment.
#[gtest]
fn momentary_difference() {
    let (mut speeds, now) = learned(40);
    let before = speeds.slowness(1, now);
    for _ in 0..3 {
        speeds.record_gap(sample(1, 2.5, 4), now);
    }
    expect_that!(speeds.slowness(1, now), gt(before * 1.5));
    let later = now + Duration::from_secs(8);
    expect_that!(speeds.slowness(1, later), lt(before * 1.5));
}

/// Guards against one odd response that makes an upstream slow or fast.
#[gtest]
fn odd_response() {
    let (mut speeds, now) = learned(40);
    let before = speeds.slowness(0, now);
    speeds.record_gap(Sample { gap: Duration::from_secs(3_600), ..sample(0, 1.0, 1) }, now);
    expect_that!(speeds.slowness(0, now + Duration::from_secs(10)), lt(before * 3.0));
    // Too few events tell nothing.
    let (mut speeds, now) = learned(40);
    speeds.record_gap(Sample { events: 2, ..sample(0, 8.0, 1) }, now);
    expect_that!(speeds.slowness(0, now), eq(before));
}

/// Guards against a new broker that has to learn the speeds anew.
#[gtest]
fn lost_broker() {
    let (speeds, now) = learned(40);
    let mut next = Speeds::default();
    for news in speeds.news(now) {
        next.adopt(&news, now);
    }
    for upstream in 0..9 {
        expect_that!(next.slowness(upstream, now), near(speeds.slowness(upstream, now), 0.15));
    }
    // What it has learned itself counts for more than news.
    next.adopt(&News { upstream: 2, slowness_milli: 100, age: Duration::ZERO }, now);
    expect_that!(next.slowness(2, now), gt(1.0));
}
