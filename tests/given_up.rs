//! Tests that requests which cannot be served fail early instead of at their deadline.

use std::time::Duration;

use cyclamengrade_standins::fleet::{Completion, Harness};
use googletest::prelude::*;
use serde_json::json;

/// Deadline of the requests. Answers must arrive within half of it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Without a running engine, the caller must be told early that the request did not run and
/// when to retry.
#[gtest]
#[tokio::test]
async fn no_engine_left() -> Result<()> {
    let mut harness = Harness::start().await?;
    for engine in &mut harness.fleet.engines {
        engine.process.kill()?;
    }
    let completion = Completion::new("order", 20).with_timeout(REQUEST_TIMEOUT);
    let answer = harness.ledger.complete(&harness.fleet, 0, completion).await;
    expect_that!(answer.status, any![eq(502), eq(503)]);
    expect_that!(answer.not_run, is_true());
    expect_that!(answer.elapsed, lt(REQUEST_TIMEOUT / 2));
    harness.verify(0).await.or_fail()
}

/// If all engines refuse a request, the caller must be told that it did not run.
#[gtest]
#[tokio::test]
async fn refusing_engines() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    for engine in &fleet.engines {
        engine.set_faults(&fleet.client, &json!({"down": true})).await?;
    }
    let completion =
        Completion::new("order", 20).with_timeout(REQUEST_TIMEOUT).with_idempotent(false);
    let answer = harness.ledger.complete(fleet, 0, completion).await;
    expect_that!(answer.complete, is_false());
    expect_that!(answer.not_run, is_true());
    expect_that!(answer.elapsed, lt(REQUEST_TIMEOUT / 2));
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

/// A request at an engine that makes no progress must not wait until its deadline while another
/// engine works.
#[gtest]
#[tokio::test]
async fn frozen_engines() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    // The daemon derives its progress timeout from the gaps between tokens of these requests.
    for number in 0..40 {
        harness.ledger.complete(fleet, 0, Completion::new(format!("order {number}"), 10)).await;
    }
    fleet.engines[0].set_faults(&fleet.client, &json!({"frozen": true})).await?;
    for number in 0..12 {
        let completion =
            Completion::new(format!("urgent {number}"), 20).with_timeout(REQUEST_TIMEOUT);
        let answer = harness.ledger.complete(fleet, 0, completion).await;
        expect_that!(answer.error, none());
        expect_that!(answer.complete, is_true());
        expect_that!(answer.elapsed, lt(REQUEST_TIMEOUT / 2));
    }
    fleet.engines[0].set_faults(&fleet.client, &json!({"frozen": false})).await?;
    harness.verify(0).await.or_fail()
}
