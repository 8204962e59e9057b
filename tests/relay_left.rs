//! Tests of upstreams that said that they are leaving, while their entries say otherwise.

use std::time::Duration;

use cyclamengrade_standins::bridge::Harness;
use googletest::prelude::*;
use tokio::time::sleep;

const STREAMS: usize = 12;

async fn send(harness: &Harness, name: &str) -> Result<()> {
    for number in 0..STREAMS {
        let reply = harness.stream(number % 3, "stream", &format!("{name}-{number}"), 2).await?;
        expect_that!(reply.status, eq(200));
    }
    Ok(())
}

/// Guards against an upstream that is in use again after a restart of the relays to which it said that it
/// is leaving.
#[gtest]
#[tokio::test]
async fn restarted_relays() -> Result<()> {
    let mut harness = Harness::start(3).await?;
    harness.runners[0].announce_leaving();
    send(&harness, "a").await?;
    harness
        .eventually("the store knows", async || {
            let keys = harness.store.keys("fleet");
            keys.contains(&harness.runners[0].id).then_some(())
        })
        .await?;
    let before = harness.runners[0].runs().len();
    expect_that!(before, gt(0));
    harness.kill_relays(&[0, 1, 2])?;
    for relay in 0..3 {
        harness.start_relay(relay)?;
    }
    for relay in 0..3 {
        harness.await_ready(relay).await?;
    }
    send(&harness, "b").await?;
    verify_that!(harness.runners[0].runs().len(), eq(before))
}

/// Guards against a record that outlives its upstream.
#[gtest]
#[tokio::test]
async fn removed_upstream() -> Result<()> {
    let harness = Harness::start(3).await?;
    let runner = &harness.runners[0];
    runner.announce_leaving();
    send(&harness, "a").await?;
    let is_stored = || harness.store.keys("fleet").contains(&runner.id);
    harness.eventually("the store knows", async || is_stored().then_some(())).await?;
    harness.store.remove("servers", &runner.id);
    harness.eventually("the record is gone", async || (!is_stored()).then_some(())).await?;
    Ok(())
}

/// Guards against a record for each upstream whose entry says itself that it is leaving.
#[gtest]
#[tokio::test]
async fn draining_entry() -> Result<()> {
    let harness = Harness::start(3).await?;
    let runner = &harness.runners[0];
    runner.announce_leaving();
    send(&harness, "a").await?;
    harness.store.put("servers", &runner.id, &runner.entry("model", "draining"));
    sleep(Duration::from_secs(3)).await;
    verify_that!(harness.store.keys("fleet").contains(&runner.id), eq(false))
}
