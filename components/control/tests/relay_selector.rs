//! Tests of the upstreams as one relay sees them: failures, leaving upstreams, and choices without a
//! broker.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        failure::Failure,
        limit::{Limit, Rate},
        selector::{Choice, Key, Selector, Upstream, short_id},
    },
    time::Time,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 8;
const NOW: Time = Time::from_millis(10_000);
/// Longer than the silence after which an upstream with requests counts as stalled.
const STALL: Duration = Duration::from_secs(3);

fn upstreams(count: usize) -> BTreeMap<String, Upstream> {
    let upstream = |number: usize| {
        let id = format!("u{number}");
        let upstream = Upstream {
            id: id.clone(),
            deployment: "chat".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "a".into(),
            version: "v1".into(),
            slots: Some(SLOTS),
            leaving: false,
            born: None,
        };
        (id, upstream)
    };
    (0..count).map(upstream).collect()
}

fn selector(count: usize) -> Selector {
    let mut selector = Selector::new("a");
    selector.set_upstreams(&upstreams(count));
    selector
}

fn choose(selector: &Selector, now: Time, points: [f64; 2]) -> Option<Key> {
    match selector.choose("chat", None, &BTreeSet::new(), now, points) {
        Choice::Send(key) => Some(key),
        Choice::Refuse(_) => None,
    }
}

/// Returns the upstreams that a relay would choose without a broker.
fn chosen(selector: &Selector, now: Time) -> BTreeSet<String> {
    let points = (0..20).map(|point| f64::from(point) / 20.0);
    let keys = points.filter_map(|point| choose(selector, now, [point, point]));
    keys.map(|key| selector.upstream(key).unwrap().id.clone()).collect()
}

/// Guards against new work at an upstream whose response said that it is leaving while the store
/// still lists it as ready, also after the list is read again, and against a new start of the
/// upstream that stays excluded.
#[gtest]
fn announced_leaving() -> Result<()> {
    let mut selector = selector(2);
    let key = choose(&selector, NOW, [0.0, 0.0]).or_fail()?;
    let id = selector.upstream(key).or_fail()?.id.clone();
    expect_that!(selector.record_leaving(key), is_true());
    expect_that!(selector.record_leaving(key), is_false());
    selector.set_upstreams(&upstreams(2));
    expect_that!(chosen(&selector, NOW), not(contains(eq(&id))));
    expect_that!(selector.usable_key(short_id(&id), None, &BTreeSet::new(), NOW), none());
    expect_that!(selector.avoided(NOW), elements_are![eq(&short_id(&id))]);
    let mut reborn = upstreams(2);
    reborn.get_mut(&id).or_fail()?.born = Some(7);
    selector.set_upstreams(&reborn);
    expect_that!(
        selector.usable_key(short_id(&id), None, &BTreeSet::new(), NOW),
        some(not(eq(key)))
    );
    verify_that!(chosen(&selector, NOW), contains(eq(&id)))
}

/// Guards against what a response of one start of an upstream says, or how it fails, counting for the next
/// start under its id when it arrives after that one was listed.
#[gtest]
fn earlier_start() -> Result<()> {
    let mut selector = selector(1);
    let key = choose(&selector, NOW, [0.0, 0.0]).or_fail()?;
    selector.record_start(key, NOW);
    let mut reborn = upstreams(1);
    reborn.get_mut("u0").or_fail()?.born = Some(7);
    expect_that!(selector.set_upstreams(&reborn), elements_are![eq("u0")]);
    let later = NOW + STALL;
    expect_that!(selector.record_leaving(key), is_false());
    selector.record_failure(key, Failure::NotSent, later);
    let rate = Rate::parse("1").or_fail()?;
    selector.record_limit(key, Limit { rate: Some(rate), known_at: later });
    let next = selector.usable_key(short_id("u0"), None, &BTreeSet::new(), later).or_fail()?;
    expect_that!(selector.limit(next).or_fail()?.rate, none());
    selector.record_end(key);
    verify_that!(chosen(&selector, later), contains(eq("u0")))
}

/// Guards against a mark that cannot be taken back.
#[gtest]
fn cleared_leaving() -> Result<()> {
    let mut selector = selector(1);
    let key = choose(&selector, NOW, [0.0, 0.0]).or_fail()?;
    selector.record_leaving(key);
    expect_that!(selector.clear_leaving(key), is_true());
    expect_that!(selector.clear_leaving(key), is_false());
    verify_that!(chosen(&selector, NOW), contains(eq("u0")))
}

/// Guards against requests to upstreams that are all leaving.
#[gtest]
fn all_leaving() -> Result<()> {
    let mut selector = selector(2);
    for point in [0.0, 0.9] {
        let key = choose(&selector, NOW, [point, point]).or_fail()?;
        selector.record_leaving(key);
    }
    verify_that!(choose(&selector, NOW, [0.5, 0.5]), none())
}

/// Guards against relays without a broker that all select the same upstream in a burst.
#[gtest]
fn burst_is_spread() -> Result<()> {
    let mut random = StdRng::seed_from_u64(7);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..12 {
        let selector = selector(6);
        let key = choose(&selector, NOW, [random.random(), random.random()]).or_fail()?;
        *counts.entry(selector.upstream(key).or_fail()?.id.clone()).or_default() += 1;
    }
    verify_that!(counts.values().max(), some(le(&6)))
}

/// Guards against a relay without a broker that sends its own requests to one upstream.
#[gtest]
fn own_requests_are_spread() -> Result<()> {
    let mut selector = selector(2);
    for _ in 0..2 * SLOTS {
        let key = choose(&selector, NOW, [0.0, 0.9]).or_fail()?;
        selector.record_start(key, NOW);
        selector.record_bytes(key, NOW);
    }
    for point in [0.0, 0.9] {
        let key = choose(&selector, NOW, [point, point]).or_fail()?;
        for _ in 0..SLOTS {
            selector.record_end(key);
        }
    }
    // Ends that were not started change nothing.
    verify_that!(chosen(&selector, NOW).len(), eq(2))
}

/// Guards against an unresponsive upstream that gets further requests.
#[gtest]
fn failed_upstream() -> Result<()> {
    let mut selector = selector(3);
    let failed = choose(&selector, NOW, [0.0, 0.0]).or_fail()?;
    selector.record_failure(failed, Failure::Silent, NOW);
    let id = selector.upstream(failed).or_fail()?.id.clone();
    expect_that!(chosen(&selector, NOW), not(contains(eq(&id))));
    verify_that!(selector.avoided(NOW), elements_are![eq(&short_id(&id))])
}

/// Guards against the ejection of an upstream for one broken response, or for one request that
/// times out while others get responses.
#[gtest]
fn single_failures() -> Result<()> {
    let mut selector = selector(1);
    let now = NOW;
    let key = choose(&selector, now, [0.0, 0.0]).or_fail()?;
    expect_that!(selector.record_failure(key, Failure::Broken, now), none());
    selector.record_bytes(key, now);
    expect_that!(selector.record_failure(key, Failure::Silent, now), none());
    expect_that!(selector.record_failure(key, Failure::NotRun, now), none());
    verify_that!(selector.record_failure(key, Failure::NotSent, now), some(gt(Duration::ZERO)))
}

/// Guards against the ejection of a full upstream: two "not run" responses must not count towards
/// the consecutive failures when a broken response follows.
#[gtest]
fn full_upstream() -> Result<()> {
    let mut selector = selector(1);
    let now = NOW;
    let key = choose(&selector, now, [0.0, 0.0]).or_fail()?;
    expect_that!(selector.record_failure(key, Failure::NotRun, now), none());
    expect_that!(selector.record_failure(key, Failure::NotRun, now), none());
    verify_that!(selector.record_failure(key, Failure::Broken, now), none())
}

/// Guards against about a thousand attempts per second at an address where another upstream refuses
/// them: the upstream was replaced, the list does not show this yet, and batch items wait.
#[gtest]
fn replaced_upstream() -> Result<()> {
    let mut selector = selector(1);
    let now = NOW;
    let key = choose(&selector, now, [0.0, 0.0]).or_fail()?;
    expect_that!(
        selector.record_failure(key, Failure::Misdirected, now),
        some(ge(Duration::from_secs(2)))
    );
    let later = now + Duration::from_millis(500);
    verify_that!(selector.usable_key(short_id("u0"), None, &BTreeSet::new(), later), none())
}

/// Guards against callers that are told to retry while an overload of some seconds is likely to
/// continue, and against a long retry delay after it has ended.
#[gtest]
fn retry_delay() {
    let mut selector = selector(1);
    let wait = Duration::from_millis(200);
    let mut delays = Vec::new();
    for step in 0..6 {
        let now = Time::from_millis(10_000 + step * 300);
        delays.push(selector.record_refusal("chat", wait, now).as_millis());
    }
    expect_that!(delays, eq(&vec![200, 300, 600, 900, 1_200, 1_500]));
    expect_that!(selector.record_refusal("chat", wait, Time::from_millis(20_000)), eq(wait));
    expect_that!(selector.record_refusal("other", wait, Time::from_millis(20_000)), eq(wait));
}

/// Guards against an outage of this relay while its upstreams have only paused: none is left to use, although
/// they have free slots.
#[gtest]
fn all_silent() -> Result<()> {
    let mut selector = selector(2);
    let keys: Vec<Key> = ["u0", "u1"].iter().filter_map(|id| selector.key_of(id)).collect();
    let untried = BTreeSet::new();
    keys.iter().for_each(|key| selector.record_start(*key, NOW));
    let later = NOW + STALL;
    expect_that!(selector.avoided_by("chat", None, &untried, later), is_empty());
    expect_that!(
        selector.usable_key(short_id("u0"), None, &BTreeSet::new(), later),
        some(eq(keys[0]))
    );
    // One that is sound is better than the silent one.
    selector.record_bytes(keys[1], later);
    let avoided = selector.avoided_by("chat", None, &untried, later);
    expect_that!(avoided, elements_are![eq(&short_id("u0"))]);
    expect_that!(selector.usable_key(short_id("u0"), None, &BTreeSet::new(), later), none());
    // Unless the request was there already.
    let tried = BTreeSet::from([keys[1]]);
    let avoided = selector.avoided_by("chat", None, &tried, later);
    expect_that!(avoided, elements_are![eq(&short_id("u1"))]);
    let usable = selector.usable_key(short_id("u0"), None, &tried, later);
    verify_that!(usable, some(eq(keys[0])))
}

/// Guards against requests to upstreams that refuse connections, because no other one is left.
#[gtest]
fn all_failed() -> Result<()> {
    let mut selector = selector(2);
    let keys: Vec<Key> = ["u0", "u1"].iter().filter_map(|id| selector.key_of(id)).collect();
    for key in &keys {
        selector.record_failure(*key, Failure::NotSent, NOW);
    }
    let avoided = selector.avoided_by("chat", None, &BTreeSet::new(), NOW);
    expect_that!(avoided, len(eq(2)));
    verify_that!(selector.usable_key(short_id("u0"), None, &BTreeSet::new(), NOW), none())
}

/// Guards against a stream that is lost around a release, because the only upstream of its version is silent
/// while those of the next one are not.
#[gtest]
fn silent_version() -> Result<()> {
    let mut listed = upstreams(2);
    listed.get_mut("u1").or_fail()?.version = "v2".into();
    let mut selector = Selector::new("a");
    selector.set_upstreams(&listed);
    let key = selector.key_of("u0").or_fail()?;
    selector.record_start(key, NOW);
    let (untried, later) = (BTreeSet::new(), NOW + STALL);
    let software = Some(listed["u0"].software());
    expect_that!(selector.avoided_by("chat", software, &untried, later), is_empty());
    expect_that!(
        selector.usable_key(short_id("u0"), software, &BTreeSet::new(), later),
        some(eq(key))
    );
    let avoided = selector.avoided_by("chat", None, &untried, later);
    verify_that!(avoided, elements_are![eq(&short_id("u0"))])
}
