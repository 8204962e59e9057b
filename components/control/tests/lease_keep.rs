//! Guards against two daemons that both believe they hold the same lease.

mod support;

use std::time::Duration;

use cyclamengrade_control::{
    lease::{Action, Input, Keeper, Observer, Row, Settings, Verdict, key},
    store::{Call, Reply},
    time::Time,
};
use googletest::prelude::*;
use support::{LEASE_LENGTH, LEASE_MARGIN, Store};

fn keeper(instance: u64) -> Keeper {
    Keeper::new(Settings {
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

/// Lets a keeper make its calls until it makes none; returns its other actions.
fn settle(keeper: &mut Keeper, store: &mut Store, now: Time, input: Input) -> Vec<Action> {
    let mut others = Vec::new();
    let mut input = Some(input);
    while let Some(next) = input.take() {
        for action in keeper.handle(now, next) {
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
fn renews() {
    let (mut keeper, mut store) = (keeper(1), Store::default());
    let held = settle(&mut keeper, &mut store, at(0), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(10_000) }]));
    expect_that!(settle(&mut keeper, &mut store, at(2_900), Input::Tick), is_empty());
    let held = settle(&mut keeper, &mut store, at(3_000), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(13_000) }]));
    expect_that!(row(&store).map(|row| row.counter), some(eq(1)));
}

/// The lease counts from the moment at which the renewal was sent, not from its late reply.
#[gtest]
fn late_reply() {
    let (mut keeper, mut store) = (keeper(1), Store::default());
    settle(&mut keeper, &mut store, at(0), Input::Tick);
    let commit = call(&keeper.handle(at(3_000), Input::Tick));
    let reply = store.apply(&commit);
    let held = keeper.handle(at(9_000), Input::Reply(reply));
    expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(13_000) }]));
}

/// A renewal whose reply is lost is recognised, also after reads that fail.
#[gtest]
fn lost_reply() {
    for failures in 0..3 {
        let (mut keeper, mut store) = (keeper(1), Store::default());
        settle(&mut keeper, &mut store, at(0), Input::Tick);
        let commit = call(&keeper.handle(at(3_000), Input::Tick));
        store.apply(&commit);
        let mut now = at(3_100);
        let mut read = call(&keeper.handle(now, Input::Reply(Reply::Unknown)));
        for _ in 0..failures {
            expect_that!(
                keeper.handle(now, Input::Reply(Reply::Failed)),
                eq(&vec![Action::Failing])
            );
            now = now + Duration::from_millis(500);
            read = call(&keeper.handle(now, Input::Tick));
        }
        let held = keeper.handle(now, Input::Reply(store.apply(&read)));
        expect_that!(held, eq(&vec![Action::Held { epoch: 1, until: at(13_000) }]));
        expect_that!(row(&store).map(|row| row.counter), some(eq(1)));
    }
}

/// A renewal that was thought lost and takes effect late does not cost the lease.
#[gtest]
fn late_write() {
    let (mut keeper, mut store) = (keeper(1), Store::default());
    settle(&mut keeper, &mut store, at(0), Input::Tick);
    let late = call(&keeper.handle(at(3_000), Input::Tick));
    let read = call(&keeper.handle(at(3_100), Input::Reply(Reply::Unknown)));
    let again = call(&keeper.handle(at(3_200), Input::Reply(store.apply(&read))));
    store.apply(&late);
    let read = call(&keeper.handle(at(3_300), Input::Reply(store.apply(&again))));
    let next = keeper.handle(at(3_400), Input::Reply(store.apply(&read)));
    expect_that!(next, not(contains(eq(&Action::Superseded))));
}

/// A second process under the same name ends the first one's lease; the first notices.
#[gtest]
fn superseded() {
    let mut store = Store::default();
    let (mut first, mut second) = (keeper(1), keeper(2));
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
    let (mut first, mut second) = (keeper(1), keeper(2));
    let reads = [&mut first, &mut second].map(|keeper| call(&keeper.handle(at(0), Input::Tick)));
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
    let (mut keeper, mut store) = (keeper(1), Store::default());
    settle(&mut keeper, &mut store, at(0), Input::Tick);
    let released = settle(&mut keeper, &mut store, at(500), Input::Release);
    expect_that!(released, eq(&vec![Action::Released]));
    expect_that!(row(&store).map(|row| row.released), some(is_true()));
    // The name may be used again, with a higher epoch.
    let mut again = self::keeper(2);
    let held = settle(&mut again, &mut store, at(600), Input::Tick);
    expect_that!(held, eq(&vec![Action::Held { epoch: 2, until: at(10_600) }]));
}

/// A release during a renewal whose reply is late.
#[gtest]
fn release_while_renewing() {
    let (mut keeper, mut store) = (keeper(1), Store::default());
    settle(&mut keeper, &mut store, at(0), Input::Tick);
    let commit = call(&keeper.handle(at(3_000), Input::Tick));
    expect_that!(keeper.handle(at(3_100), Input::Release), is_empty());
    settle(&mut keeper, &mut store, at(3_200), Input::Tick);
    let reply = store.apply(&commit);
    settle(&mut keeper, &mut store, at(3_300), Input::Reply(reply));
    let released = settle(&mut keeper, &mut store, at(3_400), Input::Tick);
    expect_that!(released, eq(&vec![Action::Released]));
}

/// An observer counts only time during which it saw the same row.
#[gtest]
fn observes() {
    let (mut keeper, mut store) = (keeper(1), Store::default());
    settle(&mut keeper, &mut store, at(0), Input::Tick);
    let name = key("entry-0");
    let mut observer = Observer::new(LEASE_LENGTH, LEASE_MARGIN);
    let origin = Duration::from_secs(5_000);
    expect_that!(observer.verdict("entry-0", 1), eq(Verdict::Live));
    let saw = |observer: &mut Observer, store: &Store, ms: u64| {
        let now = at(ms) + origin;
        observer.saw(now, now, "entry-0", store.rows.get(&name));
    };
    saw(&mut observer, &store, 0);
    saw(&mut observer, &store, 15_000);
    expect_that!(observer.verdict("entry-0", 1), eq(Verdict::Live));
    saw(&mut observer, &store, 15_001);
    let version = store.rows[&name].version;
    expect_that!(observer.verdict("entry-0", 1), eq(Verdict::Expired(version)));
    settle(&mut keeper, &mut store, at(16_000), Input::Tick);
    saw(&mut observer, &store, 16_000);
    expect_that!(observer.verdict("entry-0", 1), eq(Verdict::Live));
    // A reply that was under way for long is older than what is known.
    observer.saw(at(0) + origin, at(90_000) + origin, "entry-0", store.rows.get(&name));
    expect_that!(observer.verdict("entry-0", 1), eq(Verdict::Live));
    expect_that!(observer.verdict("entry-0", 0), eq(Verdict::Ended));
    settle(&mut keeper, &mut store, at(17_000), Input::Release);
    saw(&mut observer, &store, 17_000);
    expect_that!(observer.verdict("entry-0", 1), eq(Verdict::Ended));
}
