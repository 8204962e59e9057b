//! Tests of engines that crash with work in flight or that are leaving.

use std::{cell::Cell, time::Duration};

use cyclamengrade_standins::{
    answer,
    client::Call,
    engine::Runs,
    fleet::{Completion, DEPLOYMENT, Fleet, Harness, Plan, items},
};
use googletest::prelude::*;
use serde_json::json;

/// Streams in flight when an engine crashes.
const STREAMS: usize = 6;

/// Returns the retries and hedges that the first daemon's budget allows, which it publishes every 2 s.
async fn retry_budget(fleet: &Fleet) -> Option<f64> {
    let call = Call::get(fleet.daemons[0].address, "/metrics");
    let text = fleet.client.send(call).await.ok()?.text();
    let label = format!("deployment=\"{DEPLOYMENT}\"");
    let line = text.lines().find(|line| line.contains("retry_budget{") && line.contains(&label))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Streams of a crashed engine must be resumed at another engine and deliver the whole answer.
#[gtest]
#[tokio::test]
async fn online_streams() -> Result<()> {
    let settings = json!({"policy": {"retry_share": 0.5}});
    let mut harness = Harness::start_plan(Plan::new(2, 3, 1).with_settings(&settings)).await?;
    // The retry budget is a share of these successful requests. Hedges spend it as well, so that
    // their number does not tell how much is left.
    let number = Cell::new(0);
    harness
        .fleet
        .eventually("a retry and a hedge for each stream in the budget", async || {
            for _ in 0..10 {
                let completion =
                    Completion::new(format!("order {}", number.replace(number.get() + 1)), 1);
                harness.ledger.complete(&harness.fleet, 0, completion).await;
            }
            (retry_budget(&harness.fleet).await? >= 2.0 * STREAMS as f64).then_some(())
        })
        .await?;
    let long = |number| Completion::new(format!("long {number}"), 200);
    let streams: Vec<_> = (0..STREAMS).map(|number| harness.spawn(0, long(number))).collect();
    let fleet = &harness.fleet;
    let busiest = fleet
        .eventually("streams at an engine", async || {
            let upstreams = fleet.upstreams(fleet.daemons[0].address).await.ok()?;
            let busiest = upstreams.iter().max_by_key(|upstream| upstream.online)?;
            let number = fleet.engines.iter().position(|engine| engine.name == busiest.name)?;
            (busiest.online > 0).then_some(number)
        })
        .await?;
    harness.fleet.engines[busiest].process.kill()?;
    for stream in streams {
        let answer = stream.await?;
        expect_that!(answer.error, none());
        expect_that!(answer.complete, is_true());
    }
    harness.verify(0).await.or_fail()
}

/// Batch items of a crashed engine must run at other engines.
#[gtest]
#[tokio::test]
async fn batch_items() -> Result<()> {
    let mut harness = Harness::start().await?;
    let job = harness.ledger.submit(&harness.fleet, 0, "job-1", &items("a", 200, 40)).await?;
    harness.await_progress(0, &job.id).await?;
    harness.fleet.engines[0].process.kill()?;
    harness.verify(1).await.or_fail()
}

/// Items that always fail or that crash their engine must end as failed after a bounded number of
/// attempts, and the rest of the job must complete.
#[gtest]
#[tokio::test]
async fn failing_items() -> Result<()> {
    let harness = Harness::start_plan(Plan::new(2, 6, 1)).await?;
    let mut items = items("a", 48, 10);
    items[5].prompt.push_str(answer::FAIL_MARKER);
    items[20].prompt.push_str(answer::KILL_MARKER);
    harness.ledger.submit(&harness.fleet, 0, "job-1", &items).await?;
    harness.verify(1).await?;
    let mut alive = 0;
    for engine in &harness.fleet.engines {
        let runs = engine.read::<Runs>(&harness.fleet.client, "/_runs?summary").await;
        alive += usize::from(runs.is_ok());
    }
    expect_that!(alive, ge(3));
    Ok(())
}

/// An engine that reports that it is leaving must get no new work after at most 3 s, and its
/// streams must not be cut off.
#[gtest]
#[tokio::test]
async fn leaving_engine() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let job = harness.ledger.submit(fleet, 0, "job-1", &items("a", 600, 40)).await?;
    harness.await_progress(0, &job.id).await?;
    let leaving = json!({"leaving": true});
    fleet.engines[0].set_faults(&fleet.client, &leaving).await?;
    let mut requests = Vec::new();
    for number in 0..120 {
        requests.push(harness.spawn(number % 2, Completion::new(format!("order {number}"), 20)));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for request in requests {
        expect_that!(request.await?.complete, is_true());
    }
    harness.verify(1).await?;
    let runs: Runs = fleet.engines[0].read(&fleet.client, "/_runs?summary").await?;
    expect_that!(runs.last_accepted_while_leaving_ms, lt(3_000));
    Ok(())
}

/// An engine that the list of vms shows as leaving must get no new work after 3 s.
#[gtest]
#[tokio::test]
async fn listed_as_leaving() -> Result<()> {
    let mut harness = Harness::start().await?;
    harness.fleet.leaving.push(harness.fleet.engines[0].name.clone());
    harness.fleet.publish_vms().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let fleet = &harness.fleet;
    let before: Runs = fleet.engines[0].read(&fleet.client, "/_runs?summary").await?;
    harness.ledger.submit(fleet, 0, "job-1", &items("a", 64, 10)).await?;
    for number in 0..40 {
        let completion = Completion::new(format!("order {number}"), 2);
        let answer = harness.ledger.complete(fleet, number % 2, completion).await;
        expect_that!(answer.complete, is_true());
    }
    harness.verify(1).await?;
    let after: Runs = fleet.engines[0].read(&fleet.client, "/_runs?summary").await?;
    expect_that!(after.total, eq(before.total));
    Ok(())
}
