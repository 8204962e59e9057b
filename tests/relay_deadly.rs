//! Requests that end their upstreams after the head of the response.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Fault, Harness};
use googletest::prelude::*;
use tokio::time::sleep;

/// Guards against requests that end one upstream after the other and are answered with complete streams
/// without any event, so that nobody blames them.
#[gtest]
#[tokio::test]
async fn killed_after_head() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    for number in 3..=5 {
        let runner = harness.add_runner(&format!("m-{number}"), "v1", "a").await?;
        harness.list(&runner, 0).await?;
    }
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::KilledAfter(0); 4]);
    }
    let mut answers = Vec::new();
    for number in 0..6 {
        let call = harness.call(0, "stream", &format!("bad-{number}"));
        let call = call.with_header("token-counts", "10,3");
        let reply = harness.send(call.with_header("prompt-prefix", "dead01:5,own:3")).await?;
        answers.push(reply.status);
        // Blames reach all relays, and upstreams that crashed start again.
        sleep(Duration::from_millis(1_300)).await;
    }
    expect_that!(answers, each(any!(eq(&502), eq(&503))));
    expect_that!(harness.events(0, "part_quarantined"), not(is_empty()));
    let runs = || harness.runners.iter().map(|runner| runner.runs().len()).sum::<usize>();
    // Three crashes lead to the quarantine; a request that is under way may end one more upstream.
    expect_that!(runs(), le(4));
    let before = runs();
    let call = harness.call(0, "stream", "bad-7").with_header("token-counts", "10,3");
    let reply = harness.send(call.with_header("prompt-prefix", "dead01:5,own:3")).await?;
    expect_that!(reply.status, eq(503));
    verify_that!(runs(), eq(before))
}
