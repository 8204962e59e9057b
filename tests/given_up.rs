//! Requests that cannot be served get their final answer at once.

use std::time::Duration;

use cyclamengrade_standins::fleet::{Completion, Harness};
use googletest::prelude::*;
use serde_json::json;

/// Time that the callers give. An answer near it would have been held back.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Without an engine, the caller must be told soon that the request did not run and when to come
/// back.
#[gtest]
#[tokio::test]
async fn no_engine_left() -> Result<()> {
    let mut harness = Harness::start().await?;
    for engine in &mut harness.fleet.engines {
        engine.process.kill()?;
    }
    let completion = Completion::new("order", 20).with_timeout(TIMEOUT);
    let answer = harness.ledger.complete(&harness.fleet, 0, completion).await;
    expect_that!(answer.status, any![eq(502), eq(503)]);
    expect_that!(answer.not_run, is_true());
    expect_that!(answer.elapsed, lt(TIMEOUT / 2));
    harness.verify(0).await.or_fail()
}

/// Engines that refuse everything did not run the request, so the caller must be told so.
#[gtest]
#[tokio::test]
async fn refusing_engines() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    for engine in &fleet.engines {
        engine.set_faults(&fleet.client, &json!({"down": true})).await?;
    }
    let completion = Completion::new("order", 20).with_timeout(TIMEOUT).with_idempotent(false);
    let answer = harness.ledger.complete(fleet, 0, completion).await;
    expect_that!(answer.complete, is_false());
    expect_that!(answer.not_run, is_true());
    expect_that!(answer.elapsed, lt(TIMEOUT / 2));
    for engine in &fleet.engines {
        engine.set_faults(&fleet.client, &json!({"down": false})).await?;
    }
    fleet
        .eventually("service after the outage", async || {
            let again = Completion::new(format!("again {:?}", std::time::Instant::now()), 20);
            harness.ledger.complete(fleet, 0, again).await.complete.then_some(())
        })
        .await?;
    harness.verify(0).await.or_fail()
}

/// Engines that stand still must not hold a caller until its deadline when another engine works.
#[gtest]
#[tokio::test]
async fn frozen_engines() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    // Gaps from which the daemon derives its progress timeout.
    for number in 0..40 {
        harness.ledger.complete(fleet, 0, Completion::new(format!("order {number}"), 10)).await;
    }
    fleet.engines[0].set_faults(&fleet.client, &json!({"frozen": true})).await?;
    for number in 0..12 {
        let completion = Completion::new(format!("urgent {number}"), 20).with_timeout(TIMEOUT);
        let answer = harness.ledger.complete(fleet, 0, completion).await;
        expect_that!(answer.error, none());
        expect_that!(answer.complete, is_true());
        expect_that!(answer.elapsed, lt(TIMEOUT / 2));
    }
    fleet.engines[0].set_faults(&fleet.client, &json!({"frozen": false})).await?;
    harness.verify(0).await.or_fail()
}
