//! Tests of the checks that the soak of accounts makes.

use std::time::{Duration, Instant};

use cyclamengrade_standins::bridge::{Account, Keyring};
use googletest::prelude::*;

/// Guards against a soak that passes because its checks accept what breaks a promise.
#[gtest]
fn checks() -> Result<()> {
    let (begin, second) = (Instant::now(), Duration::from_secs(1));
    let keyring = Keyring::new();
    let key = keyring.listed("small").or_fail()?;
    let later = Instant::now();
    expect_that!(keyring.may_run(&key, begin - second), is_false());
    expect_that!(keyring.may_run(&key, later + 100 * second), is_true());
    expect_that!(keyring.may_run("kxsmall-unknown", later), is_false());
    expect_that!(keyring.is_known(&key, later, later), is_false());
    expect_that!(keyring.is_known(&key, later + 3 * second, later + 7 * second), is_true());
    keyring.remove("small");
    expect_that!(keyring.may_run(&key, later + 2 * second), is_true());
    expect_that!(keyring.may_run(&key, later + 3 * second), is_false());
    expect_that!(keyring.is_known(&key, later + 6 * second, later + 7 * second), is_false());
    expect_that!(keyring.listed("small"), none());

    // 1.1 times five seconds of the rate and the burst, and 20.
    let loud = Account::named("loud").or_fail()?;
    let spread = |count: u32| (0..count).map(|number| begin + number * second / 13).collect();
    expect_that!(loud.excess(spread(61)), none());
    expect_that!(loud.excess(spread(65)), some((eq(begin), eq(65))));
    expect_that!(loud.excess(vec![begin; 61]), none());
    expect_that!(loud.excess(vec![begin; 62]), some(anything()));
    verify_that!(Account::named("large").or_fail()?.excess(spread(200)), none())
}
