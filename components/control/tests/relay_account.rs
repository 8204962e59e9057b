//! Tests of client accounts and their keys.

use cyclamengrade_control::relay::account::{Accounts, Caller, Entry, Secret};
use googletest::prelude::*;

const SECRET: Secret = Secret([7; 16]);

fn entry(name: &str, keys: &[&str]) -> Entry {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Entry { name: name.to_owned(), keys, ..Entry::default() }
}

fn accounts(entries: impl IntoIterator<Item = Entry>) -> std::result::Result<Accounts, String> {
    Accounts::new(SECRET, entries)
}

/// Guards against an invalid list that takes effect, and against messages that do not name the account or
/// that quote a key.
#[gtest]
fn bad_input() {
    let quota = |rate, burst| Entry { rate, burst, ..entry("alba", &["key-1"]) };
    let cases = [
        vec![entry("alba", &["key-1"]), entry("brin", &["key-2", "key-1"])],
        vec![entry("alba", &["key-1", ""])],
        vec![entry("alba", &["key-1"]), entry("alba", &["key-2"])],
        vec![quota(-1.0, 0.0)],
        vec![quota(f64::INFINITY, 0.0)],
        vec![quota(f64::NAN, 0.0)],
        vec![quota(1.0, 1e300)],
        vec![entry("alba\n", &["key-1"])],
    ];
    for case in cases {
        let error = accounts(case).err().unwrap_or_default();
        expect_that!(error, all![contains_substring("alba"), not(contains_substring("key-"))]);
    }
    for name in ["", " alba", "älba", &"a".repeat(1_000)] {
        expect_that!(accounts([entry(name, &["key-1"])]), err(anything()));
    }
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
    let accounts = accounts(entries).unwrap_or_else(|error| panic!("{error}"));
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
    let both = accounts([entry("alba", &["key-1", "key-2"]), entry("brin", &[])]).or_fail()?;
    let caller = both.caller(Some("key-1"));
    for (entries, is_valid) in [
        (vec![entry("alba", &["key-1"])], true),
        (vec![entry("alba", &["key-2"])], false),
        (vec![entry("brin", &["key-1"])], false),
        (vec![], false),
    ] {
        expect_that!(accounts(entries).or_fail()?.confirms(&caller), eq(is_valid));
    }
    Ok(())
}

/// Guards against keys in the output of a debug format, which log lines may quote.
#[gtest]
fn debug_output() -> Result<()> {
    let accounts = accounts([entry("alba", &["key-1"])]).or_fail()?;
    let text = format!("{accounts:?} {:?}", accounts.caller(Some("key-1")));
    expect_that!(text, all![contains_substring("alba"), not(contains_substring("key-1"))]);
    Ok(())
}
