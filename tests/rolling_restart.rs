//! Tests of a rolling restart of the daemons under load.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cyclamengrade_standins::{
    client::{Call, Client},
    fleet::{self, Completion, Harness, Plan, items},
};
use googletest::prelude::*;
use serde_json::json;

/// A graceful shutdown must not cut off requests. The callers reach the fleet through a load
/// balancer that sends new requests only to daemons whose readiness probe succeeded shortly before.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_request_cut_off() -> Result<()> {
    let plan = Plan::new(3, 3, 1).with_settings(&json!({"timers": {"leave_ms": 1_000}}));
    let mut harness = Harness::start_plan(plan).await?;
    harness.ledger.submit(&harness.fleet, 0, "job-1", &items("a", 300, 40)).await?;
    let daemons: Vec<_> = harness.fleet.daemons.iter().map(|daemon| daemon.address).collect();
    let ready: Arc<Vec<_>> = Arc::new(daemons.iter().map(|_| AtomicBool::new(true)).collect());
    let running = Arc::new(AtomicBool::new(true));
    let probes = tokio::spawn({
        let (daemons, ready, running) = (daemons.clone(), Arc::clone(&ready), Arc::clone(&running));
        async move {
            let client = Client::new();
            while running.load(Ordering::SeqCst) {
                for (address, ready) in daemons.iter().zip(ready.iter()) {
                    let timeout = Duration::from_millis(200);
                    let call = Call::get(*address, "/readyz").with_timeout(timeout);
                    let status = client.send(call).await.map_or(0, |reply| reply.status);
                    ready.store(status == 200, Ordering::SeqCst);
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    });
    let callers = tokio::spawn({
        let (ledger, running) = (Arc::clone(&harness.ledger), Arc::clone(&running));
        async move {
            let client = Client::new();
            let mut requests = Vec::new();
            let mut number = 0;
            while running.load(Ordering::SeqCst) {
                let turn = (0..daemons.len()).map(|offset| (number + offset) % daemons.len());
                let chosen = turn.into_iter().find(|daemon| ready[*daemon].load(Ordering::SeqCst));
                if let Some(daemon) = chosen {
                    let completion = Completion::new(format!("order {number}"), 60);
                    let (client, address) = (client.clone(), daemons[daemon]);
                    let ledger = Arc::clone(&ledger);
                    requests.push(tokio::spawn(async move {
                        let result = fleet::complete(&client, address, &completion).await;
                        ledger.record_completion(completion, result)
                    }));
                }
                number += 1;
                tokio::time::sleep(Duration::from_millis(40)).await;
            }
            requests
        }
    });
    for daemon in 0..3 {
        expect_that!(harness.fleet.stop_daemon(daemon).await?, some(eq(0)));
        harness.fleet.start_daemon(daemon)?;
        harness.fleet.await_daemon(daemon, "/readyz", 200).await?;
    }
    running.store(false, Ordering::SeqCst);
    probes.await?;
    let requests = callers.await?;
    expect_that!(requests.len(), gt(50));
    for request in requests {
        let answer = request.await?;
        expect_that!(answer.error, none());
        expect_that!(answer.complete, is_true());
    }
    harness.verify(0).await.or_fail()
}
