//! Tests of requests that took effect but whose reply was lost.

use cyclamengrade_standins::{
    client::Call,
    fleet::{Completion, Harness, items},
};
use googletest::prelude::*;
use serde_json::json;

/// A job that was stored but whose reply from the table was lost must exist exactly once, and the
/// submission or its repetition must be acknowledged.
#[gtest]
#[tokio::test]
async fn accepted_job() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let items = items("a", 64, 20);
    let lose = json!({"lose_replies": 3, "parts": ["table"]});
    fleet.platform.set_faults(&fleet.client, &lose).await?;
    let job = fleet
        .eventually("the acceptance of the job", async || {
            harness.ledger.submit(fleet, 0, "job-1", &items).await.ok()
        })
        .await?;
    let again = harness.ledger.submit(fleet, 1, "job-1", &items).await?;
    expect_that!(again.id, eq(&job.id));
    expect_that!(fleet.rows("job-key/").await?, len(eq(1)));
    harness.verify(1).await.or_fail()
}

/// Results must be committed exactly once when replies to the commits are lost.
#[gtest]
#[tokio::test]
async fn committed_chunks() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    harness.ledger.submit(fleet, 0, "job-1", &items("a", 200, 40)).await?;
    for part in ["table", "objects", "table"] {
        let lose = json!({"lose_replies": 3, "parts": [part]});
        fleet.platform.set_faults(&fleet.client, &lose).await?;
        fleet
            .eventually("three lost replies", async || {
                let call = Call::get(fleet.platform.address, "/_faults");
                let left: serde_json::Value = fleet.client.send(call).await.ok()?.json().ok()?;
                (left["lose_replies"] == 0).then_some(())
            })
            .await?;
    }
    harness.verify(1).await.or_fail()
}

/// An idempotent completion whose engine dropped the reply must be answered by another attempt; a
/// non-idempotent one must not run a second time.
#[gtest]
#[tokio::test]
async fn lost_completions() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    // The retry budget is a share of these successful requests.
    for number in 0..40 {
        harness.ledger.complete(fleet, 0, Completion::new(format!("order {number}"), 1)).await;
    }
    let lose = async |count: u32| -> Result<()> {
        for engine in &fleet.engines {
            engine.set_faults(&fleet.client, &json!({"lose_replies": count})).await?;
        }
        Ok(())
    };
    lose(1).await?;
    let unsafe_ = Completion::new("print", 5).with_idempotent(false);
    let answer = harness.ledger.complete(fleet, 0, unsafe_).await;
    expect_that!(answer.error.as_deref(), some(eq("outcome_unknown")));
    lose(0).await?;
    fleet.engines[0].set_faults(&fleet.client, &json!({"lose_replies": 1})).await?;
    for number in 0..6 {
        let completion = Completion::new(format!("idempotent {number}"), 5);
        let answer = harness.ledger.complete(fleet, 0, completion).await;
        expect_that!(answer.complete, is_true());
    }
    harness.verify(0).await.or_fail()
}
