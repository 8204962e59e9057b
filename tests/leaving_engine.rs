//! Tests of an engine on a vm that the platform is about to remove.

use std::time::{Duration, Instant};

use cyclamengrade_standins::fleet::{Completion, Harness, items};
use cyclamengrade_upstream::wire::Load;
use googletest::prelude::*;

/// Guaranteed time within which every daemon must stop sending new work to a leaving engine.
const DETECTION_LIMIT: Duration = Duration::from_secs(5);

/// Within [`DETECTION_LIMIT`] after the list of vms shows an upstream as leaving, no daemon may
/// send it new online or batch work. Its requests in flight must complete.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_new_work() -> Result<()> {
    let mut harness = Harness::start().await?;
    let name = harness.fleet.engines[0].name.clone();
    harness.ledger.submit(&harness.fleet, 0, "job-1", &items("a", 300, 40)).await?;
    let running: Vec<_> =
        (0..12).map(|n| harness.spawn(n % 2, Completion::new(format!("early {n}"), 60))).collect();
    harness.fleet.leaving.push(name.clone());
    harness.fleet.publish_vms().await?;
    let listed = Instant::now();
    for daemon in 0..2 {
        let address = harness.fleet.daemons[daemon].address;
        harness
            .fleet
            .eventually("the engine as leaving", async || {
                let upstreams = harness.fleet.upstreams(address).await.ok()?;
                let found = upstreams.iter().find(|upstream| upstream.name == name)?;
                (found.state == "leaving").then_some(())
            })
            .await?;
    }
    expect_that!(listed.elapsed(), le(DETECTION_LIMIT));
    for request in running {
        let answer = request.await?;
        expect_that!(answer.error, none());
        expect_that!(answer.complete, is_true());
    }
    let engine = &harness.fleet.engines[0];
    harness
        .fleet
        .eventually("an idle engine", async || {
            let load: Load = engine.read(&harness.fleet.client, "/v1/load").await.ok()?;
            (load.running + load.queued == 0).then_some(())
        })
        .await?;
    // The job and new requests run at the other engines.
    let late: Vec<_> =
        (0..30).map(|n| harness.spawn(n % 2, Completion::new(format!("late {n}"), 20))).collect();
    for _ in 0..20 {
        let load: Load = engine.read(&harness.fleet.client, "/v1/load").await?;
        expect_that!(load.running + load.queued, eq(0));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for request in late {
        expect_that!(request.await?.complete, is_true());
    }
    harness.verify(0).await.or_fail()
}
