//! Tests of client accounts in the native dialect.

use cyclamengrade_control::relay::account::Caller;
use cyclamengrade_relay::{Native, dialect::Dialect};
use googletest::prelude::*;
use hyper::{HeaderMap, header::AUTHORIZATION};
use serde_json::{Value, json};

fn configuration(accounts: Value) -> Value {
    json!({"version": 1, "routes": [], "accounts": accounts})
}

/// Guards against a list of accounts that is read as none, which would let everybody in, and the reverse.
#[gtest]
fn lists() -> Result<()> {
    let native = Native::new();
    let table = native.configuration(&json!({"version": 1, "routes": []})).or_fail()?;
    expect_that!(table.accounts.is_none(), is_true());
    let table = native.configuration(&configuration(json!([]))).or_fail()?;
    expect_that!(table.accounts.or_fail()?.caller(Some("kx-1")), eq(&Caller::Anonymous));
    let list =
        json!([{"name": "alba", "keys": ["kx-1"], "priority": 2, "rate_per_s": 0.5, "burst": 4}]);
    let table = native.configuration(&configuration(list)).or_fail()?;
    let caller = table.accounts.or_fail()?.caller(Some("kx-1"));
    let account = caller.account().or_fail()?;
    expect_that!((account.name.as_str(), account.priority), eq(("alba", Some(2))));
    let quota = account.quota.or_fail()?;
    verify_that!((quota.rate_milli, quota.burst_milli), eq((500, 4_000)))
}

/// Guards against an error, which is logged, that quotes a key in an unexpected place, and against such a key that
/// takes effect.
#[gtest]
fn quoted_keys() -> Result<()> {
    for accounts in [
        json!(["kx-1"]),
        json!([{"name": "alba", "keys": "kx-1"}]),
        json!([{"name": "alba", "keys": [["kx-1"]]}]),
        json!([{"name": "alba", "keys": ["kx-1"], "kx-1": true}]),
        json!([{"name": "alba", "keys": ["kx-1"], "rate_per_s": "kx-1"}]),
    ] {
        let table = Native::new().configuration(&configuration(accounts)).or_fail()?;
        expect_that!(table.flaws, elements_are![not(contains_substring("kx-1"))]);
        expect_that!(table.accounts.or_fail()?.caller(Some("kx-1")), eq(&Caller::Anonymous));
    }
    for value in [configuration(json!("kx-1")), json!("kx-1")] {
        let error = Native::new().configuration(&value).err();
        expect_that!(error, some(not(contains_substring("kx-1"))));
    }
    let error = Native::new().read_job(br#"{"items": "kx-1"}"#).err();
    verify_that!(error, some(not(contains_substring("kx-1"))))
}

/// Guards against a key that is not found because of the writing of its header, and against one of several.
#[gtest]
fn headers() -> Result<()> {
    let native = Native::new();
    for (values, expected) in [
        (vec!["Bearer kx-1"], Some("kx-1")),
        (vec!["bearer   kx-1 "], Some("kx-1")),
        (vec!["Token kx-1"], None),
        (vec!["kx-1"], None),
        (vec!["Bearer kx-1", "Bearer kx-2"], None),
        (vec![], None),
    ] {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append(AUTHORIZATION, value.parse().or_fail()?);
        }
        expect_that!(native.key(&headers), eq(expected));
    }
    Ok(())
}
