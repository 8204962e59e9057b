//! Guards against a daemon that moves to a lower revision, skips one, or reports ready before it
//! has the newest revision that it can learn of.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Client, Delta, Document};
use cyclamengrade_control::{
    revision::{Action, Entry, Input, Machine, Snapshot, Source},
    time::Time,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn document(number: u64) -> Document {
    let mut document = Document::default();
    document.clients.insert("himal".into(), Client::new(format!("token-{number}")));
    document
}

fn entry(number: u64) -> Entry {
    let old = if number == 1 { Document::default() } else { document(number - 1) };
    let new = document(number);
    Entry { number, delta: Delta::new(&old, &new), digest: new.digest() }
}

fn machine() -> Machine {
    Machine::new(Duration::from_secs(2))
}

fn content(range: std::ops::RangeInclusive<u64>) -> Input {
    Input::Content { snapshot: None, entries: range.map(entry).collect() }
}

fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[gtest]
fn waits_for_both_sources() {
    let mut machine = machine();
    expect_that!(
        machine.handle(now(0), Input::Head { newest: 0, snapshot: 0 }),
        not(contains(eq(&Action::Ready)))
    );
    expect_that!(machine.handle(now(1), Input::PeersAsked), contains(eq(&Action::Ready)));
}

#[gtest]
fn ready_without_table() {
    let mut machine = machine();
    machine.handle(now(0), Input::TableDown);
    expect_that!(machine.handle(now(1), Input::PeersAsked), not(contains(eq(&Action::Ready))));
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let actions = machine.handle(now(2), Input::PeerRevision { revision: 3, address });
    let read = Action::ReadContent {
        source: Source::Peer { address },
        after: 0,
        newest: 3,
        snapshot: None,
    };
    expect_that!(actions, contains(eq(&read)));
    let actions = machine.handle(now(3), content(1..=3));
    expect_that!(actions, contains(eq(&Action::Ready)));
    expect_that!(machine.current().number, eq(3));
}

#[gtest]
fn digest_mismatch_is_refused() {
    let mut machine = machine();
    machine.handle(now(0), Input::Head { newest: 2, snapshot: 1 });
    let mut wrong = entry(1);
    wrong.digest = "0".into();
    let actions = machine.handle(now(1), Input::Content { snapshot: None, entries: vec![wrong] });
    expect_that!(actions, contains(eq(&Action::Mismatch { number: 1 })));
    expect_that!(machine.current().number, eq(0));
}

#[gtest]
fn long_gap_uses_snapshot() {
    let mut machine = machine();
    machine.handle(now(0), Input::Head { newest: 1, snapshot: 1 });
    let snapshot = Snapshot { number: 1, document: Arc::new(document(1)) };
    machine.handle(now(1), Input::Content { snapshot: Some(snapshot), entries: vec![] });
    let actions = machine.handle(now(2), Input::Head { newest: 305, snapshot: 300 });
    let read =
        Action::ReadContent { source: Source::Table, after: 1, newest: 305, snapshot: Some(300) };
    expect_that!(actions, contains(eq(&read)));
}

fn step() -> impl Strategy<Value = Input> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    prop_oneof![
        Just(Input::Tick),
        Just(Input::TableDown),
        Just(Input::PeersAsked),
        Just(Input::ContentFailed),
        (0..40_u64).prop_map(|newest| Input::Head { newest, snapshot: newest.min(1) }),
        (0..40_u64).prop_map(move |revision| Input::PeerRevision { revision, address }),
        (1..40_u64, 0..10_u64).prop_map(|(from, count)| content(from..=from + count)),
        (1..40_u64).prop_map(|number| {
            let document = Arc::new(document(number));
            Input::Content { snapshot: Some(Snapshot { number, document }), entries: vec![] }
        }),
    ]
}

proptest! {
    /// Delayed, lost, repeated and reordered content never lowers the revision, and the document in
    /// force always belongs to the revision's number.
    #[test]
    fn never_reverts(steps in prop::collection::vec(step(), 1..60)) {
        let mut machine = machine();
        let mut last = 0;
        for (index, input) in steps.into_iter().enumerate() {
            machine.handle(now(index as u64 * 1_000), input);
            let current = machine.current();
            prop_assert!(current.number >= last);
            if current.number > 0 {
                prop_assert_eq!(current.document.as_ref(), &document(current.number));
            }
            last = current.number;
        }
    }
}
