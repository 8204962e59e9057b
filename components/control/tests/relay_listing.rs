//! The list of upstreams over outages of the store.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cyclamengrade_control::{
    relay::{
        registry::{Change, Registry},
        selector::Upstream,
    },
    time::Time,
};
use googletest::prelude::*;

const RETURN_TIME: Duration = Duration::from_secs(2);

fn upstream(id: &str) -> Upstream {
    Upstream {
        id: id.into(),
        deployment: "chat".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        slots: Some(8),
        leaving: false,
    }
}

fn registry() -> Registry {
    let mut registry = Registry::new(RETURN_TIME);
    registry.put("u", 1, upstream("u"));
    registry
}

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against a fleet that is dropped because its entries lapsed while the store was away.
#[gtest]
fn lapse_in_outage() {
    let mut registry = registry();
    registry.record_store_answer(at(10_000), Duration::from_secs(4));
    expect_that!(registry.record_missing("u", at(10_000)), eq(Change::Lapsed));
    expect_that!(registry.remove_expired(at(11_900)), is_empty());
    expect_that!(registry.put("u", 9, upstream("u")), eq(Change::Minor));
    expect_that!(registry.remove_expired(at(12_100)), is_empty());
    expect_that!(registry.get("u").is_some(), eq(true));
}

/// Guards against an upstream that stays for good although its entry did not return.
#[gtest]
fn no_return() {
    let mut registry = registry();
    registry.record_store_answer(at(10_000), Duration::from_secs(4));
    registry.record_missing("u", at(10_000));
    expect_that!(registry.remove_expired(at(12_000)), elements_are![eq("u")]);
    expect_that!(registry.get("u").is_none(), eq(true));
}

/// Guards against requests to an upstream that left while the store was healthy.
#[gtest]
fn calm_removal() {
    let mut registry = registry();
    registry.record_store_answer(at(10_000), Duration::from_millis(700));
    expect_that!(registry.record_missing("u", at(10_000)), eq(Change::Removed));
}

/// Guards against an upstream that said that it leaves and is kept when its entry is gone.
#[gtest]
fn leaving_removal() {
    let mut registry = registry();
    let leaving = Upstream { leaving: true, ..upstream("u") };
    expect_that!(registry.put("u", 2, leaving), eq(Change::Leaving));
    registry.record_store_answer(at(10_000), Duration::from_secs(4));
    expect_that!(registry.record_missing("u", at(10_000)), eq(Change::Removed));
}

/// Guards against an older entry that replaces a newer one.
#[gtest]
fn older_entry() {
    let mut registry = registry();
    let leaving = Upstream { leaving: true, ..upstream("u") };
    registry.put("u", 5, leaving);
    registry.put("u", 4, upstream("u"));
    expect_that!(registry.get("u").map(|upstream| upstream.leaving), some(eq(true)));
}
