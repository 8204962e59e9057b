//! Tests of the software versions that began recent streams.

use std::time::Duration;

use cyclamengrade_control::{
    relay::origin::{Origins, Software, Stream},
    time::Time,
};
use googletest::prelude::*;

const NOW: Time = Time::from_millis(10_000);
const LIFETIME: Duration = Duration::from_secs(5);

/// Guards against streams that are forgotten while their callers may continue them, and against
/// records that are kept for ever.
#[gtest]
fn lifetime() {
    let mut origins = Origins::new();
    let (first, second) = (Stream::new("s-1"), Stream::new("s-2"));
    origins.record(NOW, first, Software(1), LIFETIME);
    origins.record(NOW + Duration::from_secs(1), second, Software(2), LIFETIME);
    let later = NOW + Duration::from_millis(4_999);
    expect_that!(origins.find(later, first), some(eq(Software(1))));
    expect_that!(origins.find(later, second), some(eq(Software(2))));
    expect_that!(origins.find(NOW + LIFETIME, first), none());
    origins.record(later, first, Software(1), LIFETIME);
    expect_that!(origins.find(NOW + LIFETIME, first), some(eq(Software(1))));
}

/// Guards against memory that grows with the number of streams.
#[gtest]
fn many_streams() {
    let mut origins = Origins::new();
    for number in 0..(1 << 17) {
        let stream = Stream(number);
        origins.record(NOW + Duration::from_micros(number), stream, Software(1), LIFETIME);
    }
    let now = NOW + Duration::from_secs(1);
    let kept = (0..(1 << 17)).filter(|number| origins.find(now, Stream(*number)).is_some());
    expect_that!(kept.count(), eq(1 << 16));
    expect_that!(origins.find(now, Stream((1 << 17) - 1)), some(eq(Software(1))));
}

/// Guards against a relay that looks for the origin of a stream where no relay has kept it, after
/// relays joined or left.
#[gtest]
fn keepers() {
    let names: Vec<String> = (0..20).map(|number| format!("vm-{number}")).collect();
    let mut missed = 0;
    for number in 0..200 {
        let stream = Stream::new(&format!("s-{number}"));
        let before = stream.keepers(names[..16].iter().map(String::as_str), 3);
        let after = stream.keepers(names[1..].iter().map(String::as_str), 5);
        missed += usize::from(!before.iter().any(|name| after.contains(name)));
    }
    expect_that!(missed, le(2));
}
