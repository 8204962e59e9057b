//! Online requests do not wait behind batch work.

use std::time::Duration;

use cyclamengrade_standins::{
    engine::Runs,
    fleet::{Completion, Harness, JobState, items},
};
use googletest::prelude::*;

/// Time of one batch item: 1000 steps of at least 5 ms. A request that waits for a slot to become
/// free by itself waits for about as long.
const ITEM: Duration = Duration::from_secs(5);

/// A burst that needs all slots must get them from running batch streams at once, and the paused
/// items must not run from the beginning again.
#[gtest]
#[tokio::test]
async fn burst_over_batch() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let job = harness.ledger.submit(fleet, 0, "job-1", &items("batch", 64, 1_000)).await?;
    let runs = async || -> Option<(u64, u64)> {
        let (mut tokens, mut started) = (0, 0);
        for engine in &fleet.engines {
            let runs: Runs = engine.read(&fleet.client, "/_runs?summary").await.ok()?;
            let batch = runs.classes.get("batch").copied().unwrap_or_default();
            (tokens, started) = (tokens + batch.tokens, started + batch.started);
        }
        Some((tokens, started))
    };
    fleet
        .eventually("batch streams in most slots", async || {
            let (tokens, started) = runs().await?;
            (started >= 16 && tokens > 500).then_some(())
        })
        .await?;
    let order = |number| Completion::new(format!("online {number}"), 10);
    let burst: Vec<_> = (0..24).map(|number| harness.spawn(number % 2, order(number))).collect();
    for request in burst {
        let answer = request.await?;
        expect_that!(answer.complete, is_true());
        expect_that!(answer.first_token, some(lt(ITEM / 2)));
    }
    let open = fleet.job(0, &job.id).await?;
    expect_that!(open.state, eq(JobState::Open));
    let cancelled = fleet.cancel(0, &job.id).await?;
    harness.ledger.record_cancelled(&cancelled);
    harness.verify(0).await.or_fail()
}
