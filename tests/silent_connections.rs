//! Tests of established connections that stop delivering data while new connections work.

use cyclamengrade_standins::fleet::{Completion, Harness, items};
use googletest::prelude::*;
use serde_json::json;

/// Streams on silent connections must be resumed on new connections, and callers must get the whole
/// answer.
#[gtest]
#[tokio::test]
async fn engine_streams() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    // The daemon derives its progress timeout from the gaps between tokens of these requests.
    for number in 0..20 {
        harness.ledger.complete(fleet, 0, Completion::new(format!("order {number}"), 20)).await;
    }
    let long = |number| Completion::new(format!("long {number}"), 200);
    let streams: Vec<_> = (0..6).map(|number| harness.spawn(0, long(number))).collect();
    fleet
        .eventually("streams at all engines", async || {
            let upstreams = fleet.upstreams(fleet.daemons[0].address).await.ok()?;
            let busy = upstreams.iter().filter(|upstream| upstream.online > 0).count();
            (busy == fleet.engines.len()).then_some(())
        })
        .await?;
    for engine in &fleet.engines {
        engine.set_faults(&fleet.client, &json!({"silent": true})).await?;
    }
    for stream in streams {
        let answer = stream.await?;
        expect_that!(answer.error, none());
        expect_that!(answer.complete, is_true());
    }
    harness.verify(0).await.or_fail()
}

/// Batch items on silent connections must not keep their job from completing.
#[gtest]
#[tokio::test]
async fn batch_streams() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let job = harness.ledger.submit(fleet, 0, "job-1", &items("a", 200, 40)).await?;
    harness.await_progress(0, &job.id).await?;
    for engine in &fleet.engines {
        engine.set_faults(&fleet.client, &json!({"silent": true})).await?;
    }
    harness.verify(1).await.or_fail()
}

/// Silent connections to the platform must not prevent the acceptance of jobs.
#[gtest]
#[tokio::test]
async fn platform_connections() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    fleet.platform.set_faults(&fleet.client, &json!({"silent": true})).await?;
    let items = items("a", 64, 20);
    fleet
        .eventually("the acceptance of the job", async || {
            harness.ledger.submit(fleet, 0, "job-1", &items).await.ok()
        })
        .await?;
    harness.verify(1).await.or_fail()
}
