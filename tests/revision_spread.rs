//! Tests how fast an accepted configuration comes into force at every daemon.

use std::time::{Duration, Instant};

use cyclamengrade_standins::{
    client::Call,
    fleet::{CLIENT, Fleet, Plan, merge},
};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Target time within which an accepted revision must be in force at every daemon.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(11);

/// Returns the periods of the default settings; the test fleet uses shorter ones otherwise.
fn default_periods() -> Value {
    json!({
        "peer": {"probe_period_ms": 1_000, "probe_timeout_ms": 300, "suspicion_ms": 3_000},
        "timers": {"config_poll_ms": 2_000, "vms_poll_ms": 2_000},
    })
}

async fn revisions(fleet: &Fleet) -> Vec<u64> {
    let mut revisions = Vec::new();
    for daemon in fleet.daemons.iter().filter(|daemon| daemon.process.is_some()) {
        let call = Call::get(daemon.address, "/admin/config");
        let body = fleet.client.send(call.with_timeout(PROPAGATION_LIMIT)).await;
        let body = body.ok().and_then(|reply| reply.json::<Value>().ok()).unwrap_or_default();
        revisions.push(body["revision"].as_u64().unwrap_or(0));
    }
    revisions
}

/// A change must be in force at 12 daemons with default periods within [`PROPAGATION_LIMIT`].
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn twelve_daemons() -> Result<()> {
    let plan = Plan::new(12, 2, 0).with_settings(&default_periods());
    let mut document = plan.document.clone();
    let fleet = Fleet::start(plan).await?;
    for weight in 2..5 {
        merge(&mut document, &json!({"clients": {CLIENT: {"weight": weight}}}));
        let revision = fleet.apply(document.clone()).await?;
        let accepted = Instant::now();
        fleet
            .eventually("the revision at every daemon", async || {
                revisions(&fleet).await.iter().all(|at| *at >= revision).then_some(())
            })
            .await?;
        println!("revision {revision} in force at 12 daemons after {:?}", accepted.elapsed());
        expect_that!(accepted.elapsed(), le(PROPAGATION_LIMIT));
    }
    Ok(())
}

/// A daemon that restarts while the platform is down must take the newest revision from another
/// daemon, and must not become ready with an older one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_without_platform() -> Result<()> {
    let plan = Plan::new(3, 1, 0);
    let mut document = plan.document.clone();
    let mut fleet = Fleet::start(plan).await?;
    merge(&mut document, &json!({"clients": {CLIENT: {"weight": 7}}}));
    let revision = fleet.apply(document).await?;
    fleet
        .eventually("the revision at every daemon", async || {
            revisions(&fleet).await.iter().all(|at| *at >= revision).then_some(())
        })
        .await?;
    fleet.kill_daemon(1)?;
    // The list of vms is a separate service and stays readable; table and objects are down.
    let faults = json!({"down": true, "parts": ["table", "objects"]});
    fleet.platform.set_faults(&fleet.client, &faults).await?;
    fleet.start_daemon(1)?;
    fleet.await_daemon(1, "/readyz", 200).await?;
    expect_that!(revisions(&fleet).await, each(ge(&revision)));
    Ok(())
}
