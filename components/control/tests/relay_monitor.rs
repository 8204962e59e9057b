//! Tests of the liveness of relays as monitors observe it, and of the choice of brokers.

use std::{collections::BTreeSet, time::Duration};

use cyclamengrade_control::{
    relay::{
        monitor::{Exception, Health, Status},
        shard::{self, Candidate},
    },
    time::Time,
};
use googletest::prelude::*;

const NOW: Time = Time::from_millis(100_000);
const ROW: u64 = 7;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn status(sequence: u64) -> Status {
    Status {
        name: "vm-1".into(),
        sequence,
        store_age: Duration::ZERO,
        leaving: false,
        cut_off: false,
        wants_news: true,
    }
}

/// Guards against a monitor that reports relays that are well, which would grow with the fleet, or
/// that does not report one that is silent, leaving or disconnected from the store.
#[gtest]
fn exceptions() {
    let mut health = Health::new("vm-1", ROW, NOW);
    health.record_status(&status(1), NOW);
    expect_that!(health.exception(NOW + ms(500)), none());
    expect_that!(health.exception(NOW + ms(1_200)), some(anything()));
    expect_that!(health.record_status(&status(1), NOW + ms(1_000)), is_false());
    health.record_status(&Status { store_age: ms(4_000), ..status(2) }, NOW);
    expect_that!(health.exception(NOW), some(anything()));
    health.record_status(&Status { leaving: true, ..status(3) }, NOW);
    let leaving = health.exception(NOW).map(|exception| exception.leaving);
    expect_that!(leaving, some(eq(true)));
}

/// Guards against a monitor that has just started and calls relays well which died before: its news
/// must not change what is known of them.
#[gtest]
fn new_monitor() {
    let at_monitor = Health::new("vm-1", ROW, NOW);
    let exception = at_monitor.exception(NOW + ms(10));
    expect_that!(exception, some(anything()));
    let mut health = Health::new("vm-1", ROW, NOW - ms(20_000));
    health.record_news(exception.as_ref(), ROW, NOW + ms(10));
    expect_that!(health.silence(NOW + ms(10)), ge(ms(20_000)));
}

/// Guards against all relays counting as dead when the monitors fail: without news, the silence of
/// the others does not grow.
#[gtest]
fn no_news() {
    let mut health = Health::new("vm-1", ROW, NOW);
    let seen = NOW + ms(400);
    health.record_news(None, ROW, seen);
    expect_that!(health.silence(seen), eq(Duration::ZERO));
    expect_that!(health.is_responsive(NOW + ms(60_000), seen), is_true());
}

/// Guards against a dead relay that is tried again and again as a broker, and against one that is
/// excluded after it is back.
#[gtest]
fn dead_relay() {
    let mut health = Health::new("vm-1", ROW, NOW);
    let seen = NOW + ms(2_000);
    let silent = |silence| Exception {
        relay: health_id(),
        silence,
        store_age: Duration::ZERO,
        leaving: false,
        cut_off: false,
    };
    health.record_news(Some(&silent(ms(1_900))), ROW, seen);
    expect_that!(health.is_responsive(seen, seen), is_false());
    let later = seen + ms(10_000);
    health.record_news(Some(&silent(ms(11_900))), ROW, later);
    expect_that!(health.is_responsive(later, later), is_false());
    health.record_news(None, ROW, later + ms(500));
    expect_that!(health.is_responsive(later + ms(500), later + ms(500)), is_true());
}

fn health_id() -> u32 {
    Health::new("vm-1", ROW, NOW).relay()
}

/// Guards against news of a monitor that does not know the current start of a relay, and against old
/// news that replace newer ones.
#[gtest]
fn stale_news() {
    let mut health = Health::new("vm-1", ROW, NOW);
    let silent = Exception {
        relay: health_id(),
        silence: ms(5_000),
        store_age: Duration::ZERO,
        leaving: true,
        cut_off: false,
    };
    expect_that!(health.record_news(Some(&silent), ROW - 1, NOW), is_false());
    expect_that!(health.is_leaving(), is_false());
    health.record_news(None, ROW, NOW + ms(1_000));
    health.record_news(Some(&silent), ROW, NOW + ms(1_100));
    expect_that!(health.silence(NOW + ms(1_100)), le(ms(100)));
}

/// Guards against a change of broker for one answer that is late, and against requests that wait for
/// a broker that does not answer at all.
#[gtest]
fn late_answers() {
    let mut health = Health::new("vm-1", ROW, NOW);
    health.record_miss(NOW);
    expect_that!(health.is_responsive(NOW + ms(100), NOW), is_true());
    health.record_answer(NOW + ms(120));
    expect_that!(health.is_responsive(NOW + ms(300), NOW), is_true());
    health.record_miss(NOW + ms(400));
    health.record_miss(NOW + ms(500));
    expect_that!(health.is_responsive(NOW + ms(700), NOW), is_false());
    expect_that!(health.is_responsive(NOW + ms(5_000), NOW), is_true());
}

fn candidate(name: &str, capacity: u32, joined_ms: u64) -> Candidate<'_> {
    Candidate { name, capacity, joined_ms }
}

/// Guards against brokers on small vms, and against two brokers of one shard while relays join: those
/// that are cut off from the store do not know the new ones.
#[gtest]
fn choice_of_brokers() {
    let names: Vec<String> = (0..20).map(|number| format!("vm-{number}")).collect();
    let old: Vec<Candidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(number, name)| candidate(name, if number < 12 { 120 } else { 500 }, 1_000))
        .collect();
    let mut joined = old.clone();
    joined.extend(["new-1", "new-2", "new-3"].map(|name| candidate(name, 500, 30_000)));
    let mut chosen = BTreeSet::new();
    for shard in 0..50 {
        let key = format!("broker {shard}");
        let before = shard::servers(&old, &key, 1, 32_000);
        chosen.extend(before.clone());
        expect_that!(shard::servers(&joined, &key, 1, 32_000), eq(&before));
    }
    expect_that!(chosen.len(), ge(6));
    expect_that!(
        chosen.iter().all(|name| name[3..].parse::<u32>().is_ok_and(|n| n >= 12)),
        is_true()
    );
    let later: BTreeSet<&str> = (0..50)
        .flat_map(|shard| shard::servers(&joined, &format!("broker {shard}"), 1, 60_000))
        .collect();
    expect_that!(later.iter().any(|name| name.starts_with("new")), is_true());
}

/// Guards against a relay without any broker while all have just started.
#[gtest]
fn all_new() {
    let new = [candidate("a", 500, 1_000), candidate("b", 500, 1_500)];
    expect_that!(shard::servers(&new, "broker 1", 1, 2_000), len(eq(1)));
}

/// Guards against upstreams that all change their broker when a few join or leave.
#[gtest]
fn stable_shards() {
    let hash = |number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let moved = (0..1_000)
        .filter(|number| shard::index(hash(*number), 3) != shard::index(hash(*number), 4));
    // A quarter moves to the new shard.
    expect_that!(moved.count(), le(350));
    let counts = (0..3)
        .map(|index| (0..1_000).filter(|number| shard::index(hash(*number), 3) == index).count());
    expect_that!(counts.min(), some(ge(250)));
}

/// Guards against a relay that is asked to carry connections though it has lost its own links, and against
/// one that is never asked again.
#[gtest]
fn cut_off_relay() {
    let mut observed = Health::new("vm-1", ROW, NOW);
    observed.record_status(&Status { cut_off: true, ..status(1) }, NOW);
    let exception = observed.exception(NOW);
    expect_that!(exception.is_some_and(|exception| exception.cut_off), is_true());
    let mut told = Health::new("vm-1", ROW, NOW);
    told.record_news(exception.as_ref(), ROW, NOW);
    expect_that!(told.is_cut_off(), is_true());
    observed.record_status(&status(2), NOW + ms(500));
    told.record_news(observed.exception(NOW + ms(500)).as_ref(), ROW, NOW + ms(500));
    expect_that!(told.is_cut_off(), is_false());
}
