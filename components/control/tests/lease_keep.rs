//! Guards against two processes that both consider themselves holders of the same lease.

mod support;

use std::time::Duration;

use cyclamengrade_control::{
    lease::{Action, Input, Machine, Observer, Row, Settings, State, key},
    store::{Call, Reply},
    time::Time,
};
use googletest::prelude::*;
use support::{LEASE_LENGTH, LEASE_MARGIN, Store};

fn machine(instance: u64) -> Machine {
    Machine::new(Settings {
        daemon: "entry-0".into(),
        instance,
        length: LEASE_LENGTH,
        renewal: Duration::from_secs(3),
    })
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[allow(clippy::panic)]
fn call(actions: &[Action]) -> Call {
    match actions {
        [Action::Call(call)] | [Action::Failing, Action::Call(call)] => call.clone(),
        other => panic!("no call in {other:?}"),
    }
}

/// Answers the calls of a machine until it makes none, and returns its other actions.
fn settle(machine: &mut Machine, store: &mut Store, now: Time, input: Input) -> Vec<Action> {
    let mut others = Vec::new();
    let mut input = Some(input);
    while let Some(next) = input.take() {
        for action in machine.handle(now, next) {
            match action {
                Action::Call(call) => input = Some(Input::Reply(store.apply(&call))),
                other => others.push(other),
            }
        }
    }
    others
}

fn row(store: &Store) -> Option<Row> {
    store.row(&key("entry-0"))
}

#[gtest]
fn renews_after_renewal_period() {
    let (mut machine, mut store) = (machine(1), Store::default());
    let held = settle(&mut machine, &mut store, at(0), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(10_000) }]));
    expect_that!(settle(&mut machine, &mut store, at(2_900), Input::Tick), is_empty());
    let held = settle(&mut machine, &mut store, at(3_000), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(13_000) }]));
    expect_that!(row(&store).map(|row| row.counter), some(eq(1)));
}

/// The length of the lease counts from the time at which the renewal was sent, not from its delayed
/// reply.
#[gtest]
fn late_reply() {
    let (mut machine, mut store) = (machine(1), Store::default());
    settle(&mut machine, &mut store, at(0), Input::Tick);
    let commit = call(&machine.handle(at(3_000), Input::Tick));
    let reply = store.apply(&commit);
    let held = machine.handle(at(9_000), Input::Reply(reply));
    expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(13_000) }]));
}

/// A renewal whose reply was lost is recognised by reading the row, even after failed reads.
#[gtest]
fn lost_reply() {
    for failures in 0..3 {
        let (mut machine, mut store) = (machine(1), Store::default());
        settle(&mut machine, &mut store, at(0), Input::Tick);
        let commit = call(&machine.handle(at(3_000), Input::Tick));
        store.apply(&commit);
        let mut now = at(3_100);
        let mut read = call(&machine.handle(now, Input::Reply(Reply::Unknown)));
        for _ in 0..failures {
            expect_that!(
                machine.handle(now, Input::Reply(Reply::Failed)),
                eq(&vec![Action::Failing])
            );
            now = now + Duration::from_millis(500);
            read = call(&machine.handle(now, Input::Tick));
        }
        let held = machine.handle(now, Input::Reply(store.apply(&read)));
        expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(13_000) }]));
        expect_that!(row(&store).map(|row| row.counter), some(eq(1)));
    }
}

/// A renewal that is applied late, after it had seemed lost, does not end the lease.
#[gtest]
fn late_write() {
    let (mut machine, mut store) = (machine(1), Store::default());
    settle(&mut machine, &mut store, at(0), Input::Tick);
    let late = call(&machine.handle(at(3_000), Input::Tick));
    let read = call(&machine.handle(at(3_100), Input::Reply(Reply::Unknown)));
    let again = call(&machine.handle(at(3_200), Input::Reply(store.apply(&read))));
    store.apply(&late);
    let read = call(&machine.handle(at(3_300), Input::Reply(store.apply(&again))));
    let next = machine.handle(at(3_400), Input::Reply(store.apply(&read)));
    expect_that!(next, not(contains(eq(&Action::Superseded))));
}

/// A second process under the same name ends the lease of the first one, which learns this at its
/// next renewal.
#[gtest]
fn superseded() {
    let mut store = Store::default();
    let (mut first, mut second) = (machine(1), machine(2));
    settle(&mut first, &mut store, at(0), Input::Tick);
    let held = settle(&mut second, &mut store, at(100), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 2, until: at(10_100) }]));
    let lost = settle(&mut first, &mut store, at(3_000), Input::Tick);
    expect_that!(lost, eq(&vec![Action::Superseded]));
    expect_that!(first.handle(at(9_000), Input::Tick), is_empty());
}

/// Two processes that start at the same time get different epochs.
#[gtest]
fn start_race() {
    let mut store = Store::default();
    let (mut first, mut second) = (machine(1), machine(2));
    let reads = [&mut first, &mut second].map(|machine| call(&machine.handle(at(0), Input::Tick)));
    let rows = reads.map(|read| store.apply(&read));
    let [one, two] = rows;
    let commits = [
        call(&first.handle(at(1), Input::Reply(one))),
        call(&second.handle(at(1), Input::Reply(two))),
    ];
    let [one, two] = commits.map(|commit| store.apply(&commit));
    let held = first.handle(at(2), Input::Reply(one));
    expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(10_001) }]));
    let rest = settle(&mut second, &mut store, at(2), Input::Reply(two));
    expect_that!(rest, not(contains(matches_pattern!(Action::Held { .. }))));
    let held = settle(&mut second, &mut store, at(600), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 2, until: at(10_600) }]));
}

#[gtest]
fn release() {
    let (mut machine, mut store) = (machine(1), Store::default());
    settle(&mut machine, &mut store, at(0), Input::Tick);
    let released = settle(&mut machine, &mut store, at(500), Input::Release);
    expect_that!(released, eq(&vec![Action::Released]));
    expect_that!(row(&store).map(|row| row.released), some(is_true()));
    // Another process can acquire the lease under the same name, with a higher epoch.
    let mut second = self::machine(2);
    let held = settle(&mut second, &mut store, at(600), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 2, until: at(10_600) }]));
}

/// A release during a renewal whose reply is delayed.
#[gtest]
fn release_while_renewing() {
    let (mut machine, mut store) = (machine(1), Store::default());
    settle(&mut machine, &mut store, at(0), Input::Tick);
    let commit = call(&machine.handle(at(3_000), Input::Tick));
    expect_that!(machine.handle(at(3_100), Input::Release), is_empty());
    settle(&mut machine, &mut store, at(3_200), Input::Tick);
    let reply = store.apply(&commit);
    settle(&mut machine, &mut store, at(3_300), Input::Reply(reply));
    let released = settle(&mut machine, &mut store, at(3_400), Input::Tick);
    expect_that!(released, eq(&vec![Action::Released]));
}

/// For an observer, a lease expires only if all its reads over the lease length plus the margin
/// return the same version of the row.
#[gtest]
fn observer_detects_expiry() {
    let (mut machine, mut store) = (machine(1), Store::default());
    settle(&mut machine, &mut store, at(0), Input::Tick);
    let name = key("entry-0");
    let mut observer = Observer::new(LEASE_LENGTH, LEASE_MARGIN);
    let origin = Duration::from_secs(5_000);
    expect_that!(observer.lease_state("entry-0", 1), eq(State::Live));
    let read = |observer: &mut Observer, store: &Store, ms: u64| {
        let now = at(ms) + origin;
        observer.record_read(now, now, "entry-0", store.rows.get(&name));
    };
    read(&mut observer, &store, 0);
    read(&mut observer, &store, 15_000);
    expect_that!(observer.lease_state("entry-0", 1), eq(State::Live));
    read(&mut observer, &store, 15_001);
    let version = store.rows[&name].version;
    expect_that!(observer.lease_state("entry-0", 1), eq(State::Expired(version)));
    settle(&mut machine, &mut store, at(16_000), Input::Tick);
    read(&mut observer, &store, 16_000);
    expect_that!(observer.lease_state("entry-0", 1), eq(State::Live));
    // The read was sent long ago, so its late reply does not extend the time of observation.
    observer.record_read(at(0) + origin, at(90_000) + origin, "entry-0", store.rows.get(&name));
    expect_that!(observer.lease_state("entry-0", 1), eq(State::Live));
    expect_that!(observer.lease_state("entry-0", 0), eq(State::Ended));
    settle(&mut machine, &mut store, at(17_000), Input::Release);
    read(&mut observer, &store, 17_000);
    expect_that!(observer.lease_state("entry-0", 1), eq(State::Ended));
}
