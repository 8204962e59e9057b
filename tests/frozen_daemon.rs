//! A daemon that is paused beyond its lease and wakes up.

use std::time::Duration;

use cyclamengrade_standins::fleet::{Error, JobState, Scene, items};
use googletest::prelude::*;
use serde_json::json;

/// The woken daemon must not commit chunks that another daemon has taken over.
#[gtest]
#[tokio::test]
async fn woken_holder() -> Result<()> {
    let scene = Scene::start().await?;
    let job = scene.ledger.submit(&scene.fleet, 1, "job-1", &items("a", 400, 40)).await?;
    scene.await_progress(1, &job.id).await?;
    scene.fleet.process(0)?.pause()?;
    let fleet = &scene.fleet;
    fleet
        .eventually("the end of the job without the paused daemon", async || {
            let job = fleet.job(1, &job.id).await.ok()?;
            (job.state == JobState::Completed).then_some(())
        })
        .await?;
    let before = fleet.results(1, &job.id).await?;
    fleet.process(0)?.resume()?;
    fleet.await_daemon(0, "/readyz", 200).await?;
    // Time for the commits that the woken daemon may still try.
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(fleet.results(1, &job.id).await?, eq(&before));
    expect_that!(fleet.results(0, &job.id).await?, eq(&before));
    scene.verify(1).await.or_fail()
}

/// A non-idempotent call whose daemon is paused must not run again at another daemon.
#[gtest]
#[tokio::test]
async fn paused_claim() -> Result<()> {
    let scene = Scene::start().await?;
    let fleet = &scene.fleet;
    fleet.services[0].faults(&fleet.client, &json!({"slow_factor": 100.0})).await?;
    let call = scene.ledger.call_service(fleet, 0, "artwork-1");
    let resend = async {
        let runs = "a run at the service";
        fleet
            .eventually(runs, async || {
                let runs: serde_json::Value =
                    fleet.services[0].read(&fleet.client, "/_runs").await.ok()?;
                (runs["total"] == 1).then_some(())
            })
            .await?;
        fleet.process(0)?.pause()?;
        fleet.services[0].faults(&fleet.client, &json!({"slow_factor": 1.0})).await?;
        // Longer than lease and margin together.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let resent = scene.ledger.call_service(fleet, 1, "artwork-1").await;
        fleet.process(0)?.resume()?;
        Ok::<_, Error>(resent)
    };
    let (_, resent) = tokio::join!(call, resend);
    let resent = resent??;
    expect_that!(resent.kind(), eq("outcome_unknown"));
    expect_that!(resent.not_run(), is_false());
    scene.verify(1).await.or_fail()
}
