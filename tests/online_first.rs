//! Tests that online requests preempt batch work.

use std::time::Duration;

use cyclamengrade_standins::{
    engine::Runs,
    fleet::{Completion, Harness, JobState, items},
};
use googletest::prelude::*;

/// Duration of a batch item: 1000 steps of at least 5 ms. Without preemption, an online request
/// would wait about as long for a free slot.
const ITEM_DURATION: Duration = Duration::from_secs(5);

/// A burst of online requests that needs all slots must preempt running batch streams at once,
/// and the preempted items must not restart from the beginning.
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
        expect_that!(answer.first_token, some(lt(ITEM_DURATION / 2)));
    }
    let open = fleet.job(0, &job.id).await?;
    expect_that!(open.state, eq(JobState::Open));
    let cancelled = fleet.cancel(0, &job.id).await?;
    harness.ledger.record_cancelled(&cancelled);
    harness.verify(0).await.or_fail()
}
