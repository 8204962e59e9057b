//! Evidence that a stream is complete.

use cyclamengrade_control::relay::ending::Ending;
use googletest::prelude::*;

/// Guards against a single close of a connection that counts as the end of a stream.
#[gtest]
fn single_close() {
    let mut ending = Ending::default();
    expect_that!(ending.record_close(), eq(false));
    expect_that!(ending.record_close(), eq(true));
}

/// Guards against a close that counts although its upstream was killed, another upstream went on, or
/// further events arrived.
#[gtest]
fn explained_close() {
    let mut ending = Ending::default();
    ending.record_close();
    ending.reset();
    expect_that!(ending.record_close(), eq(false));
    ending.record_event();
    expect_that!(ending.record_close(), eq(false));
}
