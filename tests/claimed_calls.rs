//! Tests that non-idempotent calls run at most once.

use std::time::{Duration, Instant};

use cyclamengrade_standins::fleet::Harness;
use googletest::prelude::*;
use serde_json::json;

/// A non-idempotent call whose daemon is paused must not run again at another daemon.
#[gtest]
#[tokio::test]
async fn paused_claim() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    fleet.services[0].set_faults(&fleet.client, &json!({"slow_factor": 100.0})).await?;
    let call = harness.ledger.call_service(fleet, 0, "artwork-1");
    let resend = async {
        let run = "a run at the service";
        fleet
            .eventually(run, async || {
                let runs: serde_json::Value =
                    fleet.services[0].read(&fleet.client, "/_runs").await.ok()?;
                (runs["total"] == 1).then_some(())
            })
            .await?;
        fleet.process(0)?.pause()?;
        fleet.services[0].set_faults(&fleet.client, &json!({"slow_factor": 1.0})).await?;
        // The call counts as running until the lease of the paused daemon and its safety margin
        // have passed.
        let claim_end = "the end of the claim of the paused daemon";
        let not_run = fleet
            .eventually(claim_end, async || {
                let resent = harness.ledger.call_service(fleet, 1, "artwork-1").await.ok()?;
                (resent.kind() == "outcome_unknown").then_some(resent.not_run())
            })
            .await;
        fleet.process(0)?.resume()?;
        not_run
    };
    let (_, not_run) = tokio::join!(call, resend);
    expect_that!(not_run?, is_false());
    harness.verify(1).await.or_fail()
}

/// A non-idempotent call whose reply was lost must end as unknown and never run again, also when
/// the caller resends it to another daemon.
#[gtest]
#[tokio::test]
async fn printed_artwork() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    fleet.services[0].set_faults(&fleet.client, &json!({"lose_replies": 1})).await?;
    let first = harness.ledger.call_service(fleet, 0, "artwork-1").await?;
    expect_that!(first.kind(), eq("outcome_unknown"));
    expect_that!(first.not_run(), is_false());
    for daemon in [0, 1] {
        let resent = harness.ledger.call_service(fleet, daemon, "artwork-1").await?;
        expect_that!(resent.kind(), eq("outcome_unknown"));
    }
    harness.verify(1).await.or_fail()
}

/// A call that is resent with the same key must get the same answer without a second run.
#[gtest]
#[tokio::test]
async fn repeated_answer() -> Result<()> {
    let harness = Harness::start().await?;
    let first = harness.ledger.call_service(&harness.fleet, 0, "artwork-1").await?;
    expect_that!(first.status, eq(200));
    for daemon in [0, 1] {
        let resent = harness.ledger.call_service(&harness.fleet, daemon, "artwork-1").await?;
        expect_that!(resent.status, eq(200));
        expect_that!(resent.body, eq(&first.body));
    }
    harness.verify(1).await.or_fail()
}

/// While the table is down no claim can be written, so the call must be refused at once as not
/// run, and it must run after the outage.
#[gtest]
#[tokio::test]
async fn refused_without_table() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    fleet.platform.set_faults(&fleet.client, &json!({"down": true, "parts": ["table"]})).await?;
    let start = Instant::now();
    let refused = harness.ledger.call_service(fleet, 1, "artwork-1").await?;
    expect_that!(refused.not_run(), is_true());
    expect_that!(refused.status, eq(503));
    expect_that!(start.elapsed(), lt(Duration::from_secs(10)));
    harness.verify(1).await?;
    fleet.platform.set_faults(&fleet.client, &json!({"down": false, "parts": []})).await?;
    fleet
        .eventually("the printed artwork", async || {
            let printed = harness.ledger.call_service(fleet, 1, "artwork-1").await.ok()?;
            (printed.status == 200).then_some(())
        })
        .await?;
    harness.verify(1).await.or_fail()
}
