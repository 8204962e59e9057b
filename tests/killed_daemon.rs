//! Tests of a daemon that crashes after it has acknowledged work.

use cyclamengrade_standins::fleet::{Completion, Harness, items};
use googletest::prelude::*;

/// An acknowledged job must survive a crash of the daemon that acknowledged it.
#[gtest]
#[tokio::test]
async fn acknowledged_job() -> Result<()> {
    let mut harness = Harness::start().await?;
    harness.ledger.submit(&harness.fleet, 0, "job-1", &items("a", 200, 20)).await?;
    harness.fleet.kill_daemon(0)?;
    harness.verify(1).await.or_fail()
}

/// Chunks held by a crashed daemon must be taken over, and committed results must remain.
#[gtest]
#[tokio::test]
async fn held_chunks() -> Result<()> {
    let mut harness = Harness::start().await?;
    let job = harness.ledger.submit(&harness.fleet, 0, "job-1", &items("a", 300, 40)).await?;
    harness.await_progress(0, &job.id).await?;
    harness.fleet.kill_daemon(0)?;
    let early = harness.fleet.results(1, &job.id).await?;
    harness.verify(1).await?;
    let late = harness.fleet.results(1, &job.id).await?;
    for result in early {
        expect_that!(late, contains(eq(&result)));
    }
    Ok(())
}

/// Callers of a crashed daemon must be served by another daemon, and the crashed daemon must be
/// able to restart under the same name.
#[gtest]
#[tokio::test]
async fn other_daemon() -> Result<()> {
    let mut harness = Harness::start().await?;
    let cut_off = harness.spawn(0, Completion::new("cut off", 300));
    harness
        .fleet
        .eventually("the first token at an engine", async || {
            let upstreams = harness.fleet.upstreams(harness.fleet.daemons[0].address).await.ok()?;
            upstreams.iter().any(|upstream| upstream.online > 0).then_some(())
        })
        .await?;
    harness.fleet.kill_daemon(0)?;
    expect_that!(cut_off.await?.complete, is_false());
    let answer = harness.ledger.complete(&harness.fleet, 1, Completion::new("again", 30)).await;
    expect_that!(answer.complete, is_true());
    harness.fleet.start_daemon(0)?;
    harness.fleet.await_daemon(0, "/readyz", 200).await?;
    let answer = harness.ledger.complete(&harness.fleet, 0, Completion::new("back", 30)).await;
    expect_that!(answer.complete, is_true());
    harness.verify(1).await.or_fail()
}
