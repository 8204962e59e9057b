//! Tests of the upstream registry across outages of the store.
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

const GRACE_PERIOD: Duration = Duration::from_secs(2);

fn upstream(id: &str) -> Upstream {
    Upstream {
        id: id.into(),
        deployment: "chat".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: Some(8),
        leaving: false,
        born: None,
    }
}

fn registry() -> Registry {
    let mut registry = Registry::new(GRACE_PERIOD);
    registry.put("u", 1, upstream("u"));
    registry
}

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against the removal of healthy upstreams whose entries expired during an outage of the
/// store.
#[gtest]
fn entry_returns_after_outage() {
    let mut registry = registry();
    registry.record_store_answer(at(10_000), Duration::from_secs(4));
    expect_that!(registry.record_missing("u", at(10_000)), eq(Change::Lapsed));
    expect_that!(registry.remove_expired(at(11_900)), is_empty());
    expect_that!(registry.put("u", 9, upstream("u")), eq(Change::Minor));
    expect_that!(registry.remove_expired(at(12_100)), is_empty());
    expect_that!(registry.get("u").is_some(), eq(true));
}

/// Guards against an upstream that is kept forever although its entry did not return after the
/// outage.
#[gtest]
fn entry_does_not_return() {
    let mut registry = registry();
    registry.record_store_answer(at(10_000), Duration::from_secs(4));
    registry.record_missing("u", at(10_000));
    expect_that!(registry.remove_expired(at(12_000)), elements_are![eq("u")]);
    expect_that!(registry.get("u").is_none(), eq(true));
}

/// Guards against requests to an upstream whose entry was removed while the store was available.
#[gtest]
fn removal_without_outage() {
    let mut registry = registry();
    registry.record_store_answer(at(10_000), Duration::from_millis(700));
    expect_that!(registry.record_missing("u", at(10_000)), eq(Change::Removed));
}

/// Guards against an upstream that announced its departure and is kept after its entry is gone,
/// because of a recent outage.
#[gtest]
fn removal_of_leaving_upstream() {
    let mut registry = registry();
    let leaving = Upstream { leaving: true, ..upstream("u") };
    expect_that!(registry.put("u", 2, leaving), eq(Change::Leaving));
    registry.record_store_answer(at(10_000), Duration::from_secs(4));
    expect_that!(registry.record_missing("u", at(10_000)), eq(Change::Removed));
}

/// Guards against an older version of an entry that replaces a newer one.
#[gtest]
fn older_version() {
    let mut registry = registry();
    let leaving = Upstream { leaving: true, ..upstream("u") };
    registry.put("u", 5, leaving);
    registry.put("u", 4, upstream("u"));
    expect_that!(registry.get("u").map(|upstream| upstream.leaving), some(eq(true)));
}
