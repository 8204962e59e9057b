//! Tests of upstream selection by relays whose views of each other are delayed.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        failure::Failure,
        selector::{Choice, Class, Key, Report, Selector, Upstream},
    },
    time::Time,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 8;
const OBJECTIVE: Duration = Duration::from_millis(300);

fn upstreams(count: usize) -> BTreeMap<String, Upstream> {
    let upstream = |number: usize| {
        let id = format!("u{number}");
        let upstream = Upstream {
            id: id.clone(),
            deployment: "chat".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "a".into(),
            slots: Some(SLOTS),
            leaving: false,
        };
        (id, upstream)
    };
    (0..count).map(upstream).collect()
}

/// Relays that share the same upstreams.
struct RelayGroup {
    selectors: Vec<Selector>,
    now: Time,
}

impl RelayGroup {
    fn new(relays: usize, upstream_count: usize) -> Self {
        let selectors = (0..relays).map(|number| {
            let mut selector = Selector::new(&format!("vm-{number}"), "a");
            selector.set_upstreams(&upstreams(upstream_count));
            selector
        });
        Self { selectors: selectors.collect(), now: Time::from_millis(10_000) }
    }

    /// Delivers the report of every relay to all others.
    fn exchange(&mut self) {
        let reports: Vec<Report> =
            self.selectors.iter().map(|selector| selector.own_report(self.now)).collect();
        for (number, selector) in self.selectors.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != number) {
                selector.record_report(self.now, &format!("vm-{from}"), report.clone());
            }
        }
    }

    /// Starts batch items at each relay until it finds no spare slot, without exchanging reports.
    /// Returns the relays and upstreams of the started items.
    fn start_batch(&mut self) -> Vec<(usize, Key)> {
        let mut started = Vec::new();
        for (number, selector) in self.selectors.iter_mut().enumerate() {
            while let Some(key) = selector.choose_batch("chat", self.now, 0.0) {
                selector.record_start(key, Class::Batch, self.now);
                started.push((number, key));
            }
        }
        started
    }
}

fn online(selector: &mut Selector, now: Time, point: f64) -> Choice {
    selector.choose_online("chat", &BTreeSet::new(), OBJECTIVE, now, point)
}

/// Creates ten relays with waiting batch items and four upstreams with one free slot each.
fn one_free_slot_each() -> RelayGroup {
    let mut relays = RelayGroup::new(10, 4);
    let now = relays.now;
    for selector in &mut relays.selectors {
        selector.set_waiting(20);
    }
    let selector = &mut relays.selectors[0];
    for _ in 0..4 * (SLOTS - 1) {
        if let Choice::Send(key, _) = online(selector, now, 0.0) {
            selector.record_start(key, Class::Online, now);
            selector.record_bytes(key, now);
        }
    }
    // With a long service time, hardly any slot is reserved for online requests.
    let keys: BTreeSet<Key> = (0..4)
        .filter_map(|number| match online(selector, now, f64::from(number) / 4.0) {
            Choice::Send(key, _) => Some(key),
            Choice::Refuse(..) => None,
        })
        .collect();
    for selector in &mut relays.selectors {
        for key in &keys {
            for _ in 0..200 {
                selector.record_service_time(*key, Duration::from_secs(60));
            }
        }
    }
    relays
}

/// Guards against one batch stream from each relay for the same free slot when many relays have
/// waiting batch items. The streams would queue ahead of online requests.
#[gtest]
fn free_slot_is_not_oversubscribed() -> Result<()> {
    let mut relays = one_free_slot_each();
    relays.exchange();
    let started = relays.start_batch().len();
    expect_that!(started, ge(1));
    verify_that!(started, le(4))
}

/// Shows that the reported numbers of waiting items prevent this: without them, the relays start
/// more items than there are free slots.
#[gtest]
fn oversubscription_without_waiting_counts() -> Result<()> {
    let mut relays = one_free_slot_each();
    for selector in &mut relays.selectors {
        selector.set_waiting(0);
    }
    relays.exchange();
    verify_that!(relays.start_batch().len(), ge(10))
}

/// Guards against relays that stop several batch streams for the same online request, or too few,
/// when online load rises while batch streams fill all slots.
#[gtest]
fn preemption_for_online() -> Result<()> {
    let mut relays = RelayGroup::new(4, 1);
    let key = relays.selectors[0].choose_batch("chat", relays.now, 0.0).or_fail()?;
    for selector in &mut relays.selectors {
        let key = selector.choose_batch("chat", relays.now, 0.0).unwrap_or(key);
        selector.record_start(key, Class::Batch, relays.now);
        selector.record_start(key, Class::Batch, relays.now);
    }
    relays.exchange();
    for number in 0..3 {
        let choice = online(&mut relays.selectors[number], relays.now, 0.5);
        let Choice::Send(key, _) = choice else { return fail!("refused: {choice:?}") };
        let now = relays.now;
        relays.selectors[number].record_start(key, Class::Online, now);
    }
    relays.exchange();
    let preemptions =
        relays.selectors.iter_mut().flat_map(|selector| selector.preemptions(relays.now));
    verify_that!(preemptions.map(|(_, count)| count).sum::<u32>(), eq(3))
}

/// Guards against requests that queue past their objective when there are more online requests than
/// slots, and against refusals while slots are free.
#[gtest]
fn early_refusal() -> Result<()> {
    let mut relays = RelayGroup::new(1, 2);
    let now = relays.now;
    let selector = &mut relays.selectors[0];
    let mut sent = 0;
    let refused = loop {
        match online(selector, now, 0.3) {
            Choice::Send(key, _) => selector.record_start(key, Class::Online, now),
            Choice::Refuse(wait, view) => break (wait, view),
        }
        sent += 1;
        verify_that!(sent, le(100))?;
    };
    // Two upstreams with eight slots each, plus the queue that the objective allows.
    expect_that!(sent, ge(2 * SLOTS));
    expect_that!(sent, le(2 * SLOTS + 8));
    verify_that!(refused.0, gt(Duration::ZERO))
}

/// Guards against online requests that wait for the next regular report before batch streams are
/// stopped, and against datagrams to relays without batch streams at the upstream.
#[gtest]
fn immediate_preemption_targets() -> Result<()> {
    let mut relays = RelayGroup::new(6, 1);
    let now = relays.now;
    let mut key = Key::default();
    for selector in &mut relays.selectors[..2] {
        key = selector.choose_batch("chat", now, 0.0).or_fail()?;
        for _ in 0..4 {
            selector.record_start(key, Class::Batch, now);
        }
    }
    relays.exchange();
    let selector = &mut relays.selectors[5];
    expect_that!(selector.preemption_targets(key), is_empty());
    selector.record_start(key, Class::Online, now);
    verify_that!(
        selector.preemption_targets(key),
        unordered_elements_are![eq(&"vm-0"), eq(&"vm-1")]
    )
}

/// Guards against a thundering herd: relays with the same view that all select the same upstream
/// in a burst.
#[gtest]
fn burst_is_spread() -> Result<()> {
    let mut relays = RelayGroup::new(12, 6);
    let mut random = StdRng::seed_from_u64(7);
    let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
    for selector in &mut relays.selectors {
        if let Choice::Send(key, _) = online(selector, relays.now, random.random()) {
            let id = selector.upstream(key).map(|upstream| upstream.id.clone()).unwrap_or_default();
            *chosen.entry(id).or_default() += 1;
        }
    }
    verify_that!(chosen.values().max(), some(le(&6)))
}

/// Guards against relays that all send to the upstreams with the lowest load in the last reports,
/// when online load rises and reports are delayed.
#[gtest]
fn delayed_reports() -> Result<()> {
    let mut relays = RelayGroup::new(60, 60);
    let mut random = StdRng::seed_from_u64(3);
    // Reports arrive every 120 ms, with 50 requests in between. A request takes 800 ms.
    let (period, arrivals, service) = (120, 50, 800);
    let mut ends: Vec<(Time, usize, Key)> = Vec::new();
    let (mut placed, mut queued) = (0, 0);
    for round in 0..40 {
        for _ in 0..arrivals {
            relays.now = relays.now + Duration::from_micros(period * 1_000 / arrivals);
            let now = relays.now;
            for (_, relay, key) in ends.extract_if(.., |(end, ..)| *end <= now) {
                relays.selectors[relay].record_end(key, Class::Online);
                relays.selectors[relay].record_service_time(key, Duration::from_millis(service));
            }
            let relay = random.random_range(0..relays.selectors.len());
            let selector = &mut relays.selectors[relay];
            if let Choice::Send(key, _) = online(selector, now, random.random()) {
                selector.record_start(key, Class::Online, now);
                selector.record_bytes(key, now);
                let in_flight = ends.iter().filter(|(_, _, other)| *other == key).count();
                ends.push((now + Duration::from_millis(service), relay, key));
                if round >= 20 {
                    placed += 1;
                    queued += usize::from(in_flight >= SLOTS as usize);
                }
            }
        }
        relays.exchange();
    }
    // About 333 requests run concurrently in 480 slots. Of the requests that queue, 95 % get their
    // first token late. At most 5 % of all requests may queue.
    expect_that!(placed, ge(900));
    verify_that!(queued * 20, le(placed))
}

/// Guards against an unresponsive upstream that delays a request at each relay before all of them
/// avoid it, and against one disconnected relay whose reports make the others avoid healthy
/// upstreams.
#[gtest]
fn shared_failures() -> Result<()> {
    let mut relays = RelayGroup::new(2, 3);
    let now = relays.now;
    let Choice::Send(failed, _) = online(&mut relays.selectors[0], now, 0.0) else {
        return fail!("refused");
    };
    relays.selectors[0].record_failure(failed, Failure::Silent, now);
    relays.exchange();
    for point in [0.0, 0.2, 0.4, 0.6, 0.8] {
        let choice = online(&mut relays.selectors[1], now, point);
        let Choice::Send(key, _) = choice else { return fail!("refused: {choice:?}") };
        let other = relays.selectors[1].upstream(key).map(|upstream| upstream.id.clone());
        let failed = relays.selectors[0].upstream(failed).map(|upstream| upstream.id.clone());
        expect_that!(other, not(eq(&failed)));
    }
    let mut disconnected = RelayGroup::new(2, 3);
    let keys: Vec<Key> = (0..3)
        .filter_map(|number| {
            match online(&mut disconnected.selectors[0], now, f64::from(number) / 3.0) {
                Choice::Send(key, _) => Some(key),
                Choice::Refuse(..) => None,
            }
        })
        .collect();
    for key in &keys {
        disconnected.selectors[0].record_failure(*key, Failure::NotSent, now);
    }
    disconnected.exchange();
    let choice = disconnected.selectors[1].choose_batch("chat", now, 0.0);
    verify_that!(choice.is_some(), eq(true))
}

/// Guards against the ejection of an upstream for one broken response, or for one request that
/// times out while others get responses.
#[gtest]
fn single_failures() -> Result<()> {
    let mut relays = RelayGroup::new(1, 1);
    let now = relays.now;
    let selector = &mut relays.selectors[0];
    let Choice::Send(key, _) = online(selector, now, 0.0) else { return fail!("refused") };
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
    let mut relays = RelayGroup::new(1, 1);
    let now = relays.now;
    let selector = &mut relays.selectors[0];
    let Choice::Send(key, _) = online(selector, now, 0.0) else { return fail!("refused") };
    expect_that!(selector.record_failure(key, Failure::NotRun, now), none());
    expect_that!(selector.record_failure(key, Failure::NotRun, now), none());
    verify_that!(selector.record_failure(key, Failure::Broken, now), none())
}

/// Guards against slots that stay occupied by a relay that is gone, and against counts that are lost
/// or counted twice when reports are replaced and the list of upstreams changes.
#[gtest]
fn reported_counts() -> Result<()> {
    let mut relays = RelayGroup::new(2, 1);
    let now = relays.now;
    let Choice::Send(key, _) = online(&mut relays.selectors[1], now, 0.0) else {
        return fail!("refused");
    };
    let count = |selector: &mut Selector, now| match online(selector, now, 0.0) {
        Choice::Send(_, view) | Choice::Refuse(_, view) => view.counts.online,
    };
    for number in 1..=3 {
        relays.selectors[1].record_start(key, Class::Online, now);
        relays.exchange();
        expect_that!(count(&mut relays.selectors[0], now), eq(number));
    }
    relays.selectors[0].set_upstreams(&upstreams(2));
    relays.selectors[0].set_upstreams(&upstreams(1));
    expect_that!(count(&mut relays.selectors[0], now), eq(3));
    verify_that!(count(&mut relays.selectors[0], now + Duration::from_secs(2)), eq(0))
}

/// Guards against about a thousand attempts per second at an address where another upstream refuses
/// them: the upstream was replaced, the list does not show this yet, and batch items wait.
#[gtest]
fn replaced_upstream() -> Result<()> {
    let mut relays = RelayGroup::new(1, 1);
    let now = relays.now;
    let selector = &mut relays.selectors[0];
    let Choice::Send(key, _) = online(selector, now, 0.0) else { return fail!("refused") };
    expect_that!(
        selector.record_failure(key, Failure::Misdirected, now),
        some(ge(Duration::from_secs(2)))
    );
    let later = now + Duration::from_millis(500);
    verify_that!(selector.choose_batch("chat", later, 0.0), none())
}

/// Guards against callers that are told to retry while an overload of some seconds is likely to
/// continue, and against a long retry delay after it has ended.
#[gtest]
fn retry_delay() {
    let mut relays = RelayGroup::new(1, 1);
    let selector = &mut relays.selectors[0];
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
