//! Tests of a daemon that is paused until its lease has expired and then resumes.

use std::time::Duration;

use cyclamengrade_standins::fleet::{Harness, JobState, items};
use googletest::prelude::*;

/// A daemon that resumes after its lease has expired must not commit chunks that another daemon has
/// taken over.
#[gtest]
#[tokio::test]
async fn woken_holder() -> Result<()> {
    let harness = Harness::start().await?;
    let job = harness.ledger.submit(&harness.fleet, 1, "job-1", &items("a", 300, 40)).await?;
    harness.await_progress(1, &job.id).await?;
    harness.fleet.process(0)?.pause()?;
    let fleet = &harness.fleet;
    fleet
        .eventually("the end of the job without the paused daemon", async || {
            let job = fleet.job(1, &job.id).await.ok()?;
            (job.state == JobState::Completed).then_some(())
        })
        .await?;
    let before = fleet.results(1, &job.id).await?;
    fleet.process(0)?.resume()?;
    fleet.await_daemon(0, "/readyz", 200).await?;
    // Gives the resumed daemon time to attempt stale commits.
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(fleet.results(1, &job.id).await?, eq(&before));
    expect_that!(fleet.results(0, &job.id).await?, eq(&before));
    harness.verify(1).await.or_fail()
}
