//! Tests of upstreams that said that they are leaving, while their entries say otherwise.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Faults, Harness, Runner};
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
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

/// Guards against an upstream that gets no more requests because it says that it is not leaving.
#[gtest]
#[tokio::test]
async fn denied() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners.iter().for_each(Runner::deny_leaving);
    for number in 0..4 {
        let reply = harness.stream(0, "stream", &format!("s-{number}"), 4).await?;
        expect_that!(reply.status, eq(200));
    }
    verify_that!(harness.events(0, "upstream_leaving"), is_empty())
}

/// Returns the entry of a start of a runner.
fn entry(runner: &Runner, born: u64) -> Value {
    let mut entry = runner.entry("model", "ready");
    entry["born"] = json!(born);
    entry
}

/// Guards against a mark of one start of an upstream that is stored for the next one under its id, because
/// the store refused the write while the upstream was restarted. All relays would shun the new start for
/// good.
#[gtest]
#[tokio::test]
async fn restarted_upstream() -> Result<()> {
    let harness = Harness::start(3).await?;
    for runner in &harness.runners {
        harness.store.put("servers", &runner.id, &entry(runner, 1));
    }
    sleep(Duration::from_millis(500)).await;
    for (number, runner) in harness.runners.iter().enumerate() {
        harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
        runner.announce_leaving();
        send(&harness, &format!("leaving-{number}")).await?;
        sleep(Duration::from_secs(1)).await;
        runner.stay();
        harness.store.put("servers", &runner.id, &entry(runner, 2));
        harness.store.set_faults(Faults::default());
        // Longer than the time between two attempts to store a mark.
        sleep(Duration::from_secs(4)).await;
    }
    for runner in &harness.runners {
        let mark = harness.store.value("fleet", "leaving", &runner.id);
        expect_that!(mark, not(some(eq(&json!({"born": 2})))), "{}", runner.id);
    }
    let before: Vec<usize> = harness.runners.iter().map(|runner| runner.runs().len()).collect();
    // More streams than one runner has slots.
    let streams = (0..STREAMS).map(async |number| {
        harness.stream(number % 3, "stream", &format!("after-{number}"), 100).await
    });
    for reply in join_all(streams).await {
        expect_that!(reply?.status, eq(200));
    }
    for (runner, before) in harness.runners.iter().zip(before) {
        expect_that!(runner.runs().len(), gt(before), "{}", runner.id);
    }
    Ok(())
}

/// Guards against marks of sound upstreams, which an older build stored, that stay in the store for good.
#[gtest]
#[tokio::test]
async fn wrong_mark() -> Result<()> {
    let harness = Harness::start(3).await?;
    for runner in &harness.runners {
        harness.store.put("servers", &runner.id, &entry(runner, 1));
        let mark = json!({"born": 1}).to_string();
        harness.store.put_row("fleet", "leaving", &runner.id, mark.as_bytes());
    }
    sleep(Duration::from_millis(500)).await;
    let (job, status) = harness.submit(0, "marked", 4, 4).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(1, &job).await?;
    verify_that!(Harness::complete_items(&results, 4).len(), eq(4))
}
