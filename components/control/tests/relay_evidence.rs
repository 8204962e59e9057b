//! Evidence that the configuration of a relay is current, for a fleet that takes keys away.

use std::time::Duration;

use cyclamengrade_control::{
    relay::evidence::{self, Candidate, Change, Confirmation, Evidence, Statement},
    time::Time,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time for which a removed key may be used.
const LIMIT: Duration = Duration::from_millis(5_000);
/// Time for which the store holds a call.
const WAIT: Duration = Duration::from_millis(600);
const START: Time = Time::from_millis(60_000);
const VERSION: u64 = 7;
/// Name of the relay that answers.
const OTHER: &str = "vm-1";

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the evidence of a relay whose call of the time `begin` was answered `delay` later.
fn confirmed(begin: Time, delay: Duration) -> Evidence {
    let mut evidence = Evidence::new(Some(LIMIT));
    let confirmation = Confirmation { version: VERSION, begin };
    evidence.record_store(confirmation, VERSION, begin + delay, WAIT);
    evidence
}

/// Has one relay answer another; the question takes `there` and the answer `back`.
fn exchange(
    from: &Evidence,
    to: &mut Evidence,
    in_force: u64,
    now: Time,
    there: Duration,
    back: Duration,
) {
    let statement = from.statement(now + there);
    to.record_statement(OTHER, statement.as_ref(), now, in_force, now + there + back);
}

/// Guards against keys that are served before the first answer of the store.
#[gtest]
fn start() {
    let mut evidence = Evidence::new(Some(LIMIT));
    expect_that!(evidence.is_current(START, LIMIT), eq(false));
    expect_that!(evidence.statement(START), none());
    expect_that!(evidence.take_change(START), none());
    expect_that!(evidence.begin_round(START, 0.5), eq(true));
}

/// Guards against an answer of the store that was on its way for long and counts from its arrival.
#[gtest]
fn late_answer_of_store() {
    let evidence = confirmed(START, ms(4_000));
    let arrived = START + ms(4_000);
    expect_that!(evidence.age(arrived), some(eq(ms(4_000))));
    expect_that!(evidence.is_current(START + ms(4_999), LIMIT), eq(true));
    expect_that!(evidence.is_current(START + LIMIT, LIMIT), eq(false));
}

/// Guards against a vm that was suspended between the check and the call and goes on with old evidence, and
/// against one that waits for the store then although its answer is overdue.
#[gtest]
fn suspended_vm() {
    let mut evidence = confirmed(START, ms(5));
    let checked = START + ms(100);
    expect_that!(evidence.is_current(checked, LIMIT), eq(true));
    let woken = checked + LIMIT;
    expect_that!(evidence.is_current(woken, LIMIT), eq(false));
    expect_that!(evidence.take_change(woken), some(eq(Change::Lost(LIMIT + ms(100)))));
    expect_that!(evidence.begin_round(woken, 0.5), eq(true));
    // A call that began before the pause says nothing of the time after it.
    let confirmation = Confirmation { version: VERSION, begin: checked };
    evidence.record_store(confirmation, VERSION, woken, WAIT);
    expect_that!(evidence.is_current(woken, LIMIT), eq(false));
}

/// Guards against questions of a relay that reaches the store, whose evidence is as old as two calls that the
/// store holds, and against a relay that asks without strict revocation.
#[gtest]
fn reached_store() {
    let mut evidence = confirmed(START, WAIT);
    let mut weak = Evidence::new(None);
    for call in 1..20 {
        let begin = START + WAIT * call;
        for step in 0..60 {
            expect_that!(evidence.begin_round(begin + ms(step * 10), 0.0), eq(false));
        }
        let confirmation = Confirmation { version: VERSION, begin };
        evidence.record_store(confirmation, VERSION, begin + WAIT, WAIT);
        weak.record_store_failure();
        expect_that!(weak.begin_round(begin, 0.0), eq(false));
    }
    expect_that!(Evidence::bounded_wait(Some(ms(1_000)), WAIT), eq(ms(200)));
    expect_that!(Evidence::bounded_wait(Some(LIMIT), WAIT), eq(WAIT));
    expect_that!(Evidence::bounded_wait(None, WAIT), eq(WAIT));
}

/// Guards against a relay that asks while its evidence is young, never, or without a pause, after its calls
/// fail or get no answer.
#[gtest]
fn lost_store() {
    let mut refused = confirmed(START, ms(5));
    refused.record_store_failure();
    let mut silent = confirmed(START, ms(5));
    let rounds = |evidence: &mut Evidence| -> Vec<u64> {
        (0..5_000).filter(|now| evidence.begin_round(START + ms(*now), 0.5)).collect()
    };
    expect_that!(rounds(&mut refused), eq(&(2..10).map(|round| round * 500).collect::<Vec<_>>()));
    let asked = rounds(&mut silent);
    expect_that!(asked.first(), some(le(&1_500)));
    expect_that!(asked.len(), ge(6));
}

/// Guards against answers of other relays whose way counts as no time, also when the relay that answers or
/// the one that asked is suspended.
#[gtest]
fn late_answer_of_relay() {
    let other = confirmed(START, ms(5));
    for (there, back) in [(ms(1), ms(3_000)), (ms(3_000), ms(1))] {
        let mut evidence = Evidence::new(Some(LIMIT));
        let asked = START + ms(1_000);
        exchange(&other, &mut evidence, VERSION, asked, there, back);
        let arrived = asked + there + back;
        expect_that!(evidence.age(arrived).unwrap_or_default(), ge(arrived.since(START)));
        expect_that!(evidence.is_current(START + LIMIT, LIMIT), eq(false));
    }
}

/// Guards against an answer of another relay that is older than a relay's own evidence and replaces it, and
/// against an age from before the start of the vm that counts as the time since then.
#[gtest]
fn older_answer() {
    let mut evidence = confirmed(START + ms(1_000), ms(5));
    let known = evidence.clone();
    exchange(&confirmed(START, ms(5)), &mut evidence, VERSION, START + ms(1_200), ms(1), ms(1));
    expect_that!(evidence.age(START + ms(1_300)), eq(known.age(START + ms(1_300))));

    let mut started = Evidence::new(Some(LIMIT));
    let asked = Time::from_millis(3_000);
    for age_ms in [3_001, 60_000, u64::MAX] {
        let statement = Statement { version: VERSION, age_ms };
        started.record_statement(OTHER, Some(&statement), asked, VERSION, asked);
        expect_that!(started.age(asked), none(), "{age_ms}");
    }
}

/// Guards against evidence of a newer version that covers an older configuration, and against such news that
/// ends the time of the evidence that the relay has.
#[gtest]
fn newer_version_elsewhere() {
    let mut other = Evidence::new(Some(LIMIT));
    let later = START + ms(2_000);
    let confirmation = Confirmation { version: VERSION + 1, begin: later };
    other.record_store(confirmation, VERSION + 1, later, WAIT);
    let mut evidence = confirmed(START, ms(5));
    exchange(&other, &mut evidence, VERSION, later, ms(1), ms(1));
    expect_that!(evidence.age(later), some(eq(ms(2_000))));
    expect_that!(evidence.is_current(START + LIMIT, LIMIT), eq(false));
    // Once the configuration came with the answer, the evidence covers it.
    exchange(&other, &mut evidence, VERSION + 1, later + ms(10), ms(1), ms(1));
    expect_that!(evidence.is_current(START + LIMIT, LIMIT), eq(true));
}

/// Guards against a version that the store or another relay confirms although the store has a newer one, which
/// cannot be used; and against a usable one that nothing confirms after that.
#[gtest]
fn unusable_version() {
    let mut evidence = confirmed(START, Duration::ZERO);
    evidence.record_unusable(VERSION);
    let later = START + LIMIT / 2;
    let confirmation = Confirmation { version: VERSION, begin: later };
    evidence.record_store(confirmation, VERSION, later, Duration::ZERO);
    let statement = Statement { version: VERSION, age_ms: 0 };
    evidence.record_statement("vm-2", Some(&statement), later, VERSION, later);
    expect_that!(evidence.age(later), some(eq(LIMIT / 2)));
    // Another relay may have a newer version that this one can use.
    evidence.record_unusable(VERSION);
    expect_that!(evidence.begin_round(later, 0.5), is_true());
    let newer = Statement { version: VERSION + 1, age_ms: 0 };
    evidence.record_statement("vm-2", Some(&newer), later, VERSION + 1, later);
    expect_that!(evidence.age(later), some(eq(Duration::ZERO)));
}

/// Guards against the refusal of keys at a relay that the store refuses while others have evidence, over one
/// relay between them.
#[gtest]
fn lost_for_some() {
    let mut connected = confirmed(START, ms(5));
    let (mut near, mut far) = (confirmed(START, ms(5)), confirmed(START, ms(5)));
    near.record_store_failure();
    far.record_store_failure();
    for step in 0..300 {
        let now = START + ms(step * 100);
        if step % 6 == 0 {
            let confirmation = Confirmation { version: VERSION, begin: now };
            connected.record_store(confirmation, VERSION, now, WAIT);
        }
        if near.begin_round(now, 0.5) {
            exchange(&connected, &mut near, VERSION, now, ms(2), ms(2));
        }
        if far.begin_round(now, 0.5) {
            exchange(&near, &mut far, VERSION, now, ms(2), ms(2));
        }
        for evidence in [&near, &far] {
            expect_that!(evidence.is_current(now, LIMIT), eq(true), "{now:?}");
            expect_that!(evidence.is_unready(now, [OTHER]), eq(false), "{now:?}");
        }
    }
}

/// Guards against evidence that gets younger while it goes from relay to relay, in any order and with any
/// delays, after the store is lost for all.
#[gtest]
fn circulating_evidence() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut relays: Vec<Evidence> =
            (0..6).map(|relay| confirmed(START + ms(relay * 100), ms(5))).collect();
        relays.iter_mut().for_each(Evidence::record_store_failure);
        let newest = START + ms(500);
        let mut now = newest;
        for _ in 0..200 {
            now = now + Duration::from_micros(random.random_range(0..60_000));
            let (from, to) = (random.random_range(0..6), random.random_range(0..6));
            let there = Duration::from_micros(random.random_range(0..300_000));
            let back = Duration::from_micros(random.random_range(0..300_000));
            let other = relays[from].clone();
            exchange(&other, &mut relays[to], VERSION, now, there, back);
            for relay in &relays {
                expect_that!(relay.age(now).unwrap_or_default(), ge(now.since(newest)), "{seed}");
            }
        }
        let end = newest + LIMIT;
        expect_that!(relays.iter().any(|relay| relay.is_current(end, LIMIT)), eq(false), "{seed}");
    }
}

/// Guards against a relay that stays ready though others could serve its callers, also when a relay that is
/// no better off answers it, and against one that reports not ready though none could. Monitors report late
/// that a relay does not reach the store.
#[gtest]
fn readiness() {
    let mut evidence = confirmed(START, ms(5));
    evidence.record_store_failure();
    let old = START + ms(3_000);
    expect_that!(evidence.is_unready(START + ms(2_999), [OTHER]), eq(false));
    expect_that!(evidence.is_unready(old, []), eq(false));
    expect_that!(evidence.is_unready(old, [OTHER]), eq(true));
    expect_that!(Evidence::new(None).is_unready(old, [OTHER]), eq(false));
    exchange(&confirmed(START, ms(5)), &mut evidence, VERSION, old, ms(1), ms(1));
    let asked = old + ms(2);
    evidence.record_statement("vm-2", None, asked, VERSION, asked);
    expect_that!(evidence.is_unready(old + ms(10), [OTHER, "vm-2"]), eq(false));
    expect_that!(evidence.is_unready(old + ms(10), [OTHER, "vm-3"]), eq(true));
    expect_that!(evidence.is_unready(old + ms(2_600), [OTHER]), eq(true));
}

/// Guards against a loss that is reported more than once, or whose end is not.
#[gtest]
fn changes() {
    let mut evidence = confirmed(START, ms(5));
    expect_that!(evidence.take_change(START + ms(4_999)), none());
    expect_that!(evidence.take_change(START + LIMIT), some(eq(Change::Lost(LIMIT))));
    expect_that!(evidence.take_change(START + LIMIT * 2), none());
    let begin = START + LIMIT * 2;
    let confirmation = Confirmation { version: VERSION, begin };
    evidence.record_store(confirmation, VERSION, begin, WAIT);
    expect_that!(evidence.take_change(begin), some(eq(Change::Back(LIMIT))));
    expect_that!(evidence.take_change(begin), none());
}

/// Guards against questions to relays that do not reach the store while others do, and against one that is
/// always or never asked.
#[gtest]
fn asked_relays() {
    let candidate = |name, reaches_store| Candidate { name, reaches_store };
    let candidates =
        [candidate("a", false), candidate("b", true), candidate("c", true), candidate("d", true)];
    let mut random = StdRng::seed_from_u64(1);
    let mut counts = [0; 4];
    for _ in 0..300 {
        let chosen = evidence::choose(&candidates, || random.random());
        expect_that!(chosen.len(), eq(evidence::MAX_PEERS));
        for (count, candidate) in counts.iter_mut().zip(&candidates) {
            *count += i32::from(chosen.contains(&candidate.name));
        }
    }
    expect_that!(counts[0], eq(0));
    expect_that!(counts[1..].iter().all(|count| *count > 100), eq(true), "{counts:?}");
    let chosen = evidence::choose(&candidates[..2], || 0);
    expect_that!(chosen, eq(&vec!["b", "a"]));
    expect_that!(evidence::choose(&[], || 0), is_empty());
}
