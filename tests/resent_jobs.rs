//! Tests of jobs that are submitted repeatedly or cancelled.

use std::time::Duration;

use cyclamengrade_standins::{
    engine::Runs,
    fleet::{Harness, Job, JobState, items},
};
use googletest::prelude::*;

/// A job that is submitted concurrently several times, to both daemons, must be accepted once and
/// run once.
#[gtest]
#[tokio::test]
async fn same_job() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let items = items("a", 64, 20);
    let due = Duration::from_secs(600);
    let submit = |daemon| fleet.submit(daemon, "job-1", due, &items);
    let replies = tokio::join!(submit(0), submit(1), submit(0), submit(1));
    let replies = [replies.0?, replies.1?, replies.2?, replies.3?];
    let mut ids = Vec::new();
    for reply in &replies {
        expect_that!(reply.status, all![ge(200), lt(300)], "{}", reply.text());
        ids.push(reply.json::<Job>()?.id);
    }
    ids.dedup();
    expect_that!(ids, len(eq(1)));
    harness.ledger.submit(fleet, 0, "job-1", &items).await?;
    harness.verify(0).await?;
    expect_that!(fleet.rows("job/").await?, len(eq(1)));
    // Submitting the job again after its end returns the completed job and starts no work.
    let again = harness.ledger.submit(fleet, 1, "job-1", &items).await?;
    expect_that!(again.state, eq(JobState::Completed));
    let mut started = 0;
    for engine in &fleet.engines {
        let runs: Runs = engine.read(&fleet.client, "/_runs").await?;
        started += runs.total.started;
    }
    expect_that!(started, eq(64));
    Ok(())
}

/// The same key with other content must be refused as a conflict.
#[gtest]
#[tokio::test]
async fn other_content() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    harness.ledger.submit(fleet, 0, "job-1", &items("a", 20, 5)).await?;
    let due = Duration::from_secs(600);
    let other = fleet.submit(1, "job-1", due, &items("b", 20, 5)).await?;
    expect_that!(other.status, eq(409));
    expect_that!(other.kind(), eq("conflict"));
    harness.verify(0).await.or_fail()
}

/// A cancelled job must stop: engines get no further work of it, and it stays cancelled.
#[gtest]
#[tokio::test]
async fn cancelled_job() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let job = harness.ledger.submit(fleet, 0, "job-1", &items("a", 2_000, 40)).await?;
    harness.await_progress(0, &job.id).await?;
    let cancelled = fleet.cancel(1, &job.id).await?;
    expect_that!(cancelled.state, eq(JobState::Cancelled));
    harness.ledger.record_cancelled(&cancelled);
    let tokens = async || -> Result<u64> {
        let mut tokens = 0;
        for engine in &fleet.engines {
            let runs: Runs = engine.read(&fleet.client, "/_runs?summary").await?;
            tokens += runs.total.tokens;
        }
        Ok(tokens)
    };
    // Longer than the interval between polls for jobs.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = tokens().await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    expect_that!(tokens().await?, eq(before));
    harness.verify(1).await.or_fail()
}
