//! Tests of roll calls, by which a relay learns through the store which others are alive.

use std::time::Duration;

use cyclamengrade_control::{
    relay::{
        monitor::{Health, Presence},
        roll_call::{Action, RollCall, View},
    },
    time::Time,
};
use googletest::prelude::*;

const START: Time = Time::from_millis(100_000);
const TICK: Duration = Duration::from_millis(250);
const CALL: u64 = 20;
const DOUBT: View = View { is_doubtful: true, is_store_current: true, relays: 10 };

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Ticks for a time, and returns the actions with their times since `from`.
fn run(calls: &mut RollCall, from: Time, time: Duration, view: View) -> Vec<(Duration, Action)> {
    let ticks = (time.as_millis() / TICK.as_millis()) as u32;
    let act = |tick| {
        let elapsed = TICK * tick;
        calls.tick(from + elapsed, view).map(|action| (elapsed, action))
    };
    (0..ticks).filter_map(act).collect()
}

/// Guards against a relay that is left alone and never learns that the others are gone, and against
/// one that concludes so before they could answer.
#[gtest]
fn close_call() -> Result<()> {
    let mut calls = RollCall::default();
    let actions = run(&mut calls, START, ms(1_500), DOUBT);
    let called: Vec<Action> = actions.into_iter().map(|(_, action)| action).collect();
    expect_that!(called, elements_are![eq(&Action::Call)]);
    calls.record_call(CALL);
    let actions = run(&mut calls, START + ms(1_500), ms(6_000), DOUBT);
    let [(elapsed, action)] = actions[..] else { return verify_that!(actions.len(), eq(1)) };
    expect_that!(elapsed, ge(ms(3_000)));
    verify_that!(action, eq(Action::Close(CALL)))
}

/// Guards against a write for each relay in doubt, and against one with each tick.
#[gtest]
fn shared_call() {
    let mut calls = RollCall::default();
    calls.record_call(CALL);
    expect_that!(run(&mut calls, START, ms(2_000), DOUBT), is_empty());
    let mut alone = RollCall::default();
    expect_that!(run(&mut alone, START, ms(2_000), DOUBT).len(), eq(1));
}

/// Guards against a relay that was suspended, or whose feed did not deliver the answers, and takes those
/// who answered meanwhile for dead.
#[gtest]
fn missed_answers() -> Result<()> {
    let mut calls = RollCall::default();
    calls.record_call(CALL);
    run(&mut calls, START, ms(1_000), DOUBT);
    expect_that!(calls.tick(START + ms(60_000), DOUBT), none());
    let without_store = View { is_store_current: false, ..DOUBT };
    expect_that!(calls.tick(START + ms(60_250), without_store), none());
    let actions = run(&mut calls, START + ms(60_500), ms(2_000), DOUBT);
    let actions: Vec<Action> = actions.into_iter().map(|(_, action)| action).collect();
    verify_that!(actions, elements_are![eq(&Action::Call)])
}

/// Guards against a call of a relay that was suspended and reads what waits for it within a second.
#[gtest]
fn short_doubt() {
    let mut calls = RollCall::default();
    let calm = View { is_doubtful: false, ..DOUBT };
    calls.tick(START, calm);
    let later = START + ms(60_000);
    expect_that!(run(&mut calls, later, ms(750), DOUBT), is_empty());
    calls.tick(later + ms(1_000), calm);
    expect_that!(run(&mut calls, later + ms(1_250), ms(750), DOUBT), is_empty());
}

/// Guards against conclusions of a relay that has news of the others from a monitor.
#[gtest]
fn no_doubt() {
    let mut calls = RollCall::default();
    calls.record_call(CALL);
    let view = View { is_doubtful: false, ..DOUBT };
    expect_that!(run(&mut calls, START, ms(20_000), view), is_empty());
}

/// Guards against a relay that answered counting as dead, one that did not as alive, and one of an
/// older build as dead before it had the time in which it would be heard.
#[gtest]
fn presence() {
    let health = || Health::new("vm-1", 7, START).with_answers(true);
    let later = START + ms(6_000);
    let mut silent = health();
    expect_that!(silent.close_call(CALL, later), eq(Presence::Missing));
    expect_that!(silent.is_absent(later, later), is_true());
    silent.record_answer(later);
    expect_that!(silent.is_absent(later, later), is_false());
    let mut answered = health();
    answered.record_row(CALL + 1, later, START);
    expect_that!(answered.close_call(CALL, later), eq(Presence::Unreachable));
    expect_that!(answered.has_store_sign(later + ms(10_000)), is_true());
    expect_that!(answered.is_absent(later + ms(10_000), later + ms(10_000)), is_false());
    // Nothing arrives from it, so it serves nobody as a broker.
    expect_that!(answered.is_responsive(later, later), is_false());
    let mut older = Health::new("vm-1", 7, START);
    expect_that!(older.close_call(CALL, later), eq(Presence::Unreachable));
    expect_that!(older.close_call(CALL, START + ms(40_000)), eq(Presence::Missing));
}

/// Guards against two groups of relays that take a job from each other for as long as they are cut off
/// from one another.
#[gtest]
fn written_by_dead() {
    let later = START + ms(4_000);
    let mut newer = Health::new("vm-1", 7, START).with_answers(true);
    newer.record_row(8, later, later);
    expect_that!(newer.has_store_sign(later), is_true());
    let mut older = Health::new("vm-1", 7, START);
    older.record_ownership(later, later);
    expect_that!(older.has_store_sign(later), is_true());
    // A write of a relay that has died may take effect later.
    let mut dead = Health::new("vm-1", 7, START).with_answers(true);
    dead.record_ownership(later, later);
    expect_that!(dead.has_store_sign(later), is_false());
}
