//! Tests of accepted jobs whose batch route is removed from the configuration.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Fault, Harness, Job};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::time::sleep;

/// More than the slots of both runners.
const ITEMS: usize = 30;
const EVENTS: u64 = 100;

async fn accept(harness: &Harness, relay: usize, id: &str) -> Result<Job> {
    let (job, status) = harness.submit(relay, id, ITEMS, EVENTS).await?;
    verify_that!(status, eq(202))?;
    Ok(job)
}

fn given_up(results: &[Value]) -> usize {
    results.iter().filter(|result| result["State"] == "dead_letter").count()
}

/// Guards against items that are neither run nor given up after the end of their route, until the end of
/// their retention time.
#[gtest]
#[tokio::test]
async fn removed_route() -> Result<()> {
    let mut harness = Harness::start(3).await?;
    let job = accept(&harness, 0, "job").await?;
    sleep(Duration::from_millis(500)).await;
    harness.configure_without(&["batch"]);
    let results = harness.await_results(1, &job).await?;
    // What runs when the route ends is finished.
    expect_that!(Harness::complete_items(&results, EVENTS).len(), gt(0));
    expect_that!(given_up(&results), gt(0));
    verify_that!(results.len(), eq(ITEMS))
}

/// Guards against the same when the owner is lost while the route is gone.
#[gtest]
#[tokio::test]
async fn lost_owner() -> Result<()> {
    let mut harness = Harness::start(3).await?;
    let job = accept(&harness, 0, "job").await?;
    sleep(Duration::from_millis(500)).await;
    harness.configure_without(&["batch"]);
    sleep(Duration::from_millis(300)).await;
    harness.kill_relay(0)?;
    let results = harness.await_results(1, &job).await?;
    verify_that!(results.len(), eq(ITEMS))
}

/// Guards against items that are given up although their route is back after a moment, and after a single
/// failure when another relay took the job over meanwhile.
#[gtest]
#[tokio::test]
async fn returned_route() -> Result<()> {
    let mut harness = Harness::start(3).await?;
    let job = accept(&harness, 0, "job").await?;
    sleep(Duration::from_millis(300)).await;
    harness.configure_without(&["batch"]);
    sleep(Duration::from_millis(300)).await;
    harness.kill_relay(0)?;
    // The next owner takes the job over before the route is back.
    harness
        .eventually("another owner", async || {
            let owned = (1..3).any(|relay| !harness.events(relay, "job_owned").is_empty());
            owned.then_some(())
        })
        .await?;
    harness.runners[0].queue_faults(&[Fault::Failed]);
    harness.configure(json!([]));
    let results = harness.await_results(1, &job).await?;
    verify_that!(Harness::complete_items(&results, EVENTS).len(), eq(ITEMS))
}
