//! Tests of outages and slowness of the platform.

use std::time::{Duration, Instant};

use cyclamengrade_standins::fleet::{Completion, Error, Harness, Plan, items};
use googletest::prelude::*;
use serde_json::json;

/// Without the table, idempotent online requests must go on, everything that needs the table
/// must be refused at once as not run, and running work must be completed after the outage.
#[gtest]
#[tokio::test]
async fn table_down() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let job = harness.ledger.submit(fleet, 0, "job-1", &items("a", 300, 40)).await?;
    harness.await_progress(0, &job.id).await?;
    fleet.platform.set_faults(&fleet.client, &json!({"down": true})).await?;
    let refused_at = Instant::now();
    let refused = harness.ledger.submit(fleet, 0, "job-2", &items("b", 20, 10)).await;
    let Err(Error::Refused(503, body)) = refused else {
        return fail!("the job was not refused: {refused:?}");
    };
    expect_that!(body, contains_substring(r#""not_run":true"#));
    expect_that!(body, contains_substring("retry_after_ms"));
    expect_that!(refused_at.elapsed(), lt(Duration::from_secs(10)));
    // Longer than the lease and its safety margin together.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for daemon in 0..2 {
        let completion = Completion::new(format!("order {daemon}"), 20);
        let answer = harness.ledger.complete(fleet, daemon, completion).await;
        expect_that!(answer.complete, is_true());
    }
    fleet.platform.set_faults(&fleet.client, &json!({"down": false})).await?;
    let jobs = fleet.rows("job-key/").await?;
    expect_that!(jobs, len(eq(1)));
    harness.verify(0).await.or_fail()
}

/// Without the object store, new jobs must be refused and online requests must go on.
#[gtest]
#[tokio::test]
async fn objects_down() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let job = harness.ledger.submit(fleet, 0, "job-1", &items("a", 200, 40)).await?;
    harness.await_progress(0, &job.id).await?;
    let down = json!({"down": true, "parts": ["objects"]});
    fleet.platform.set_faults(&fleet.client, &down).await?;
    let refused = harness.ledger.submit(fleet, 0, "job-2", &items("b", 20, 10)).await;
    expect_that!(refused, err(matches_pattern!(Error::Refused(eq(&503), _))));
    let answer = harness.ledger.complete(fleet, 1, Completion::new("order", 20)).await;
    expect_that!(answer.complete, is_true());
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.platform.set_faults(&fleet.client, &json!({"down": false, "parts": []})).await?;
    harness.verify(1).await.or_fail()
}

/// With a slow platform, jobs and claims must still be accepted and complete.
#[gtest]
#[tokio::test]
async fn slow_platform() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    fleet.platform.set_faults(&fleet.client, &json!({"slow_ms": 250})).await?;
    harness.ledger.submit(fleet, 0, "job-1", &items("a", 64, 20)).await?;
    let printed = harness.ledger.call_service(fleet, 1, "artwork-1").await?;
    expect_that!(printed.status, eq(200));
    let answer = harness.ledger.complete(fleet, 0, Completion::new("order", 20)).await;
    expect_that!(answer.complete, is_true());
    harness.verify(1).await.or_fail()
}

/// A daemon that starts while the platform is down must not become ready with an older
/// configuration than its peers have.
#[gtest]
#[tokio::test]
async fn start_during_outage() -> Result<()> {
    let mut harness = Harness::start_plan(Plan::new(2, 2, 1)).await?;
    harness.fleet.kill_daemon(0)?;
    let down = json!({"down": true, "parts": ["table"]});
    harness.fleet.platform.set_faults(&harness.fleet.client, &down).await?;
    harness.fleet.start_daemon(0)?;
    harness.fleet.await_daemon(0, "/livez", 200).await?;
    harness.fleet.await_daemon(0, "/readyz", 200).await?;
    let answer = harness.ledger.complete(&harness.fleet, 0, Completion::new("order", 20)).await;
    expect_that!(answer.complete, is_true());
    harness.verify(1).await.or_fail()
}
