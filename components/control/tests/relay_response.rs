//! Whether a response belongs to the request on its connection.

use cyclamengrade_control::relay::{
    failure::Failure,
    response::{Claim, History, Tie},
};
use googletest::prelude::*;

const NO_ID: [&[u8]; 0] = [];

/// Returns the history of a connection that carried requests with these ids.
fn history(ids: &[&str]) -> History {
    let mut history = History::default();
    for id in ids {
        history.record(id);
    }
    history
}

/// Guards against a response to an earlier request that is taken for the answer to the current one.
#[gtest]
fn ties() {
    let (fresh, kept) = (history(&["r-1"]), history(&["r-1", "r-2"]));
    expect_that!(fresh.tie(NO_ID), eq(Tie::First));
    expect_that!(kept.tie(NO_ID), eq(Tie::Uncertain));
    expect_that!(kept.tie([b"r-2".as_slice()]), eq(Tie::Named));
    expect_that!(kept.tie([b"r-1".as_slice()]), eq(Tie::Uncertain));
    expect_that!(fresh.tie([b"r-2".as_slice()]), eq(Tie::Uncertain));
    expect_that!(history(&[]).tie(NO_ID), eq(Tie::Uncertain));
}

/// Guards against a response with the ids of two requests that counts for one of them.
#[gtest]
fn two_ids() {
    let kept = history(&["r-1", "r-2"]);
    expect_that!(kept.tie([b"r-2".as_slice(), b"r-1"]), eq(Tie::Uncertain));
    expect_that!(kept.tie([b"r-2".as_slice(), b"r-2"]), eq(Tie::Named));
}

/// Guards against a request on a connection that has carried one with the same id, whose response may
/// come once more.
#[gtest]
fn same_id() {
    let kept = history(&["r-1", "r-2"]);
    expect_that!(kept.admits("r-1"), eq(false));
    expect_that!(kept.admits("r-2"), eq(false));
    expect_that!(kept.admits("r-3"), eq(true));
}

/// Guards against ids of a connection that take more and more memory, or are forgotten.
#[gtest]
fn many_ids() {
    let mut history = History::default();
    let mut number = 0;
    while history.admits(&format!("r-{number}")) {
        history.record(&format!("r-{number}"));
        number += 1;
        expect_that!(history.admits("r-0"), eq(false));
    }
    expect_that!(number, all!(ge(100), le(1_000)));
    expect_that!(history.is_full(), eq(true));
    expect_that!(history.requests(), eq(number));
}

/// Guards against a refusal that counts although it may belong to another request, and against a
/// connection that is closed after a refusal with the id of its request.
#[gtest]
fn refusals() {
    for (claim, failure) in
        [(Claim::NotRun, Failure::NotRun), (Claim::Misdirected, Failure::Misdirected)]
    {
        expect_that!(Tie::Named.judge(claim), err(eq(failure)));
        expect_that!(Tie::First.judge(claim), err(eq(failure)));
        expect_that!(Tie::Uncertain.judge(claim), err(eq(Failure::Broken)));
    }
    expect_that!(Tie::Named.allows_reuse(), eq(true));
    expect_that!(Tie::First.allows_reuse(), eq(false));
    expect_that!(Tie::Uncertain.allows_reuse(), eq(false));
}

/// Guards against an answer that counts without the id of its request.
#[gtest]
fn answers() {
    expect_that!(Tie::Named.judge(Claim::Answer), ok(eq(())));
    expect_that!(Tie::First.judge(Claim::Answer), err(eq(Failure::Broken)));
    expect_that!(Tie::Uncertain.judge(Claim::Answer), err(eq(Failure::Broken)));
    for tie in [Tie::Named, Tie::First, Tie::Uncertain] {
        expect_that!(tie.judge(Claim::Invalid), err(eq(Failure::Broken)), "{tie:?}");
    }
}

/// Guards against what a response to another request says of its upstream.
#[gtest]
fn marks() {
    expect_that!(Tie::Named.is_certain(), eq(true));
    expect_that!(Tie::First.is_certain(), eq(true));
    expect_that!(Tie::Uncertain.is_certain(), eq(false));
}
