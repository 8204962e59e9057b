//! Tests of the choice of requests that a relay still accepts during a planned stop.

use std::time::Duration;

use cyclamengrade_control::{
    relay::{route::Kind, stop::Stop},
    time::Time,
};
use googletest::prelude::*;

const STOP: Stop = Stop { leave_at: Time::from_millis(3_000), answer_by: Time::from_millis(7_300) };
const AVERAGE: Duration = Duration::from_millis(900);

fn accepts(kind: Kind, now_ms: u64, timeout_ms: u64) -> bool {
    let now = Time::from_millis(now_ms);
    STOP.accepts(now, kind, now + Duration::from_millis(timeout_ms), AVERAGE)
}

/// Guards against a stream, or a request that cannot be repeated, which the exit of the relay cuts although
/// it came after the load balancer sent new connections elsewhere.
#[gtest]
fn after_leaving() {
    for kind in [Kind::Stream, Kind::Unsafe] {
        expect_that!(accepts(kind, 3_001, 5_000), is_false(), "{kind:?}");
        expect_that!(accepts(kind, 3_001, 4_000), is_true(), "{kind:?}");
    }
    expect_that!(accepts(Kind::Safe, 3_001, 5_000), is_true());
}

/// Guards against refusals while the load balancer still sends connections, and against requests that are
/// accepted although the rest of the time does not suffice for an average one.
#[gtest]
fn while_leaving() {
    for kind in [Kind::Stream, Kind::Unsafe, Kind::Safe] {
        expect_that!(accepts(kind, 2_900, 60_000), is_true(), "{kind:?}");
        expect_that!(accepts(kind, 6_000, 60_000), is_false(), "{kind:?}");
        expect_that!(accepts(kind, 8_000, 60_000), is_false(), "{kind:?}");
    }
}
