//! Load patterns that the placement of requests answers, in a model of whole fleets.

mod placement;

use cyclamengrade_control::time::Time;
use googletest::prelude::*;
use placement::{Fleet, Policy, run};

/// A fleet with one upstream for two relays, loaded as on the heaviest days.
const fn fleet(relays: u32) -> Fleet {
    Fleet {
        relays,
        upstreams: relays * 55 / 100,
        online_load: 0.5,
        items_per_s: 0.3,
        dead_broker: None,
        length: Time::from_millis(18_000),
    }
}

/// Guards against online requests that queue at full upstreams, wait long or are refused when
/// traffic steps to five times its rate while batch items fill the valleys.
#[gtest]
fn steps_of_traffic() {
    for relays in [20, 60, 300] {
        let outcome = run(fleet(relays), Policy::Broker, 5);
        expect_that!(outcome.online, gt(relays * 20), "{relays} relays");
        // At most 1 % of all requests reach a full upstream.
        expect_that!(outcome.queued * 100, le(outcome.online), "{relays} relays: {outcome:?}");
        expect_that!(outcome.refused * 100, le(outcome.online), "{relays} relays: {outcome:?}");
        expect_that!(outcome.items, gt(0), "{relays} relays: {outcome:?}");
    }
}

/// Shows that the broker prevents this: relays that choose alone queue at full upstreams.
#[gtest]
fn steps_without_broker() {
    let outcome = run(fleet(300), Policy::Alone, 5);
    expect_that!(outcome.queued * 100, gt(outcome.online * 5), "{outcome:?}");
}

/// Guards against batch streams that are stopped again and again. An item runs for 5 s and the valleys
/// between the steps of traffic last 3.4 s, so an item meets two steps at most.
#[gtest]
fn stopped_streams() {
    let outcome = run(fleet(300), Policy::Broker, 7);
    expect_that!(outcome.stopped, le(outcome.items * 2), "{outcome:?}");
}

/// Guards against messages that grow with the fleet: from 60 to 1000 relays, those of one relay grow
/// by half at most.
#[gtest]
fn messages_stay_flat() {
    let brief = |relays| Fleet { length: Time::from_millis(11_800), ..fleet(relays) };
    let small = run(brief(60), Policy::Broker, 3).messages_per_relay_s;
    let large = run(brief(1_000), Policy::Broker, 3).messages_per_relay_s;
    expect_that!(large, le(small * 1.5), "{small} at 60 relays");
}

/// Guards against lasting harm by a broker that dies: its slots are used again after it is back, and
/// the other shards are not disturbed.
#[gtest]
fn broker_dies() {
    let dead = (Time::from_millis(8_000), Time::from_millis(9_000));
    let calm = Fleet { online_load: 0.3, ..fleet(300) };
    let outcome = run(Fleet { dead_broker: Some(dead), ..calm }, Policy::Broker, 9);
    // A third of the requests of one second of twelve are placed without a broker.
    expect_that!(outcome.queued * 50, le(outcome.online), "{outcome:?}");
    expect_that!(outcome.refused * 100, le(outcome.online), "{outcome:?}");
}
