//! Tests of client accounts and their keys.

use cyclamengrade_control::relay::account::{Accounts, Caller, Entry, Secret};
use googletest::prelude::*;

const SECRET: Secret = Secret([7; 16]);

fn entry(name: &str, keys: &[&str]) -> Entry {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Entry { name: name.to_owned(), keys, ..Entry::default() }
}

fn accounts(entries: impl IntoIterator<Item = Entry>) -> Accounts {
    Accounts::new(SECRET, entries).0
}

/// Guards against a part of a list that takes effect although it is invalid, or that makes others invalid, and
/// against messages that do not name the account or that quote a key.
#[gtest]
fn bad_input() -> Result<()> {
    let quota = |rate, burst| Entry { rate, burst, ..entry("alba", &["key-1"]) };
    let cases = [
        vec![entry("alba", &["key-1"]), entry("brin", &["key-2", "key-1"])],
        vec![entry("alba", &[""]), entry("brin", &["key-2"])],
        vec![quota(-1.0, 0.0), entry("brin", &["key-2"])],
        vec![quota(1.0, -1.0), entry("brin", &["key-2"])],
        vec![quota(f64::NAN, 0.0), entry("brin", &["key-2"])],
        vec![entry("alba\n", &["key-1"]), entry("brin", &["key-2"])],
    ];
    for case in cases {
        let (accounts, flaws) = Accounts::new(SECRET, case);
        expect_that!(flaws.len(), eq(1));
        expect_that!(flaws[0], all![contains_substring("alba"), not(contains_substring("key-"))]);
        expect_that!(accounts.caller(Some("key-1")), eq(&Caller::Anonymous));
        expect_that!(accounts.caller(Some("")), eq(&Caller::Anonymous));
        let sound = accounts.caller(Some("key-2"));
        expect_that!(sound.account().map(|account| account.name.as_str()), some(eq("brin")));
    }
    for name in ["", " alba", "alba ", "al\u{7f}ba", "al\tba", &"a".repeat(10_000)] {
        let (accounts, flaws) = Accounts::new(SECRET, [entry(name, &["key-1"])]);
        expect_that!((accounts.iter().count(), flaws.len()), eq((0, 1)), "{name:?}");
        expect_that!(accounts.caller(Some("key-1")), eq(&Caller::Anonymous));
    }
    Ok(())
}

/// Guards against accounts that are left out although a header can hold their names or their quotas are only
/// large, and against an account that is listed twice and loses keys.
#[gtest]
fn odd_input() -> Result<()> {
    for name in ["älba", "al  ba", "\u{1f9f5}", &"a".repeat(5_000)] {
        let (accounts, flaws) = Accounts::new(SECRET, [entry(name, &["key-1"])]);
        expect_that!(flaws, is_empty(), "{name}");
        let caller = accounts.caller(Some("key-1"));
        expect_that!(caller.account().map(|account| account.name.as_str()), some(eq(name)));
    }
    for (rate, burst) in [(f64::INFINITY, 0.0), (1.0, 1e300), (1e30, 1e30)] {
        let large = Entry { rate, burst, ..entry("alba", &["key-1"]) };
        let (accounts, flaws) = Accounts::new(SECRET, [large]);
        expect_that!(flaws, is_empty());
        let quota = accounts.by_name("alba").and_then(|account| account.quota).or_fail()?;
        expect_that!(quota.rate_milli, ge(1_000));
    }
    let first = Entry { rate: 4.0, ..entry("alba", &["key-1"]) };
    let (accounts, flaws) = Accounts::new(SECRET, [first, entry("alba", &["key-2"])]);
    expect_that!(flaws.len(), eq(1));
    for key in ["key-1", "key-2"] {
        let caller = accounts.caller(Some(key));
        let quota = caller.account().and_then(|account| account.quota).or_fail()?;
        expect_that!(quota.rate_milli, eq(4_000));
    }
    Ok(())
}

/// Guards against keys that are lost or mixed up in a list as long as that of a large site.
#[gtest]
fn many_accounts() {
    let names: Vec<String> = (0..1_000).map(|number| format!("account-{number}")).collect();
    let key = |name: &str, number: usize| format!("{name}/{number}");
    let entries = names.iter().map(|name| Entry {
        keys: (0..5).map(|number| key(name, number)).collect(),
        ..entry(name, &[])
    });
    let accounts = accounts(entries);
    for name in &names {
        for number in 0..5 {
            let caller = accounts.caller(Some(&key(name, number)));
            expect_that!(caller.account().map(|account| &account.name), some(eq(name)));
        }
    }
    expect_that!(accounts.caller(Some("account-1/5")), eq(&Caller::Anonymous));
    expect_that!(accounts.caller(None), eq(&Caller::Anonymous));
}

/// Guards against a key that stays valid after it was removed or given to another account, and against one
/// that is lost in a change of other keys.
#[gtest]
fn removed_key() -> Result<()> {
    let both = accounts([entry("alba", &["key-1", "key-2"]), entry("brin", &[])]);
    let caller = both.caller(Some("key-1"));
    for (entries, is_valid) in [
        (vec![entry("alba", &["key-1"])], true),
        (vec![entry("alba", &["key-2"])], false),
        (vec![entry("brin", &["key-1"])], false),
        (vec![], false),
    ] {
        expect_that!(accounts(entries).confirms(&caller), eq(is_valid));
    }
    Ok(())
}

/// Guards against keys in the output of a debug format, which log lines may quote.
#[gtest]
fn debug_output() -> Result<()> {
    let accounts = accounts([entry("alba", &["key-1"])]);
    let text = format!("{accounts:?} {:?}", accounts.caller(Some("key-1")));
    expect_that!(text, all![contains_substring("alba"), not(contains_substring("key-1"))]);
    Ok(())
}
