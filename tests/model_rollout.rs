//! A new version of a model under load.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cyclamengrade_standins::{
    answer,
    client::{Call, Client},
    fleet::{Completion, DEPLOYMENT, Fleet, MODEL, Plan, complete, merge},
};
use cyclamengrade_upstream::wire::Load;
use googletest::prelude::*;
use hyper::Method;
use serde_json::json;

async fn models(fleet: &Fleet) -> Option<Vec<Vec<String>>> {
    let mut models = Vec::new();
    for engine in &fleet.engines {
        models.push(engine.read::<Load>(&fleet.client, "/v1/load").await.ok()?.models);
    }
    Some(models)
}

/// A rollout must cut off no request, move every engine to the new version alone, and never mix
/// two versions in one answer.
async fn roll_out(fencing: &str) -> Result<()> {
    let plan = Plan::new(2, 3, 0)
        .with_settings(&json!({"timers": {"request_ms": 1_000}}))
        .with_engine_arguments(["--load-ms", "300", "--fencing", fencing])
        .with_document(&json!({
            "deployments": {DEPLOYMENT: {"fencing": fencing}},
            "models": {MODEL: {"versions": {"2": {"weights": "weights/2"}}}},
        }));
    let mut document = plan.document.clone();
    let fleet = Fleet::start(plan).await?;
    let running = Arc::new(AtomicBool::new(true));
    let callers = tokio::spawn({
        let running = Arc::clone(&running);
        let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.address).collect();
        async move {
            let client = Client::new();
            let mut requests = Vec::new();
            while running.load(Ordering::SeqCst) {
                let number = requests.len();
                let completion = Completion::new(format!("note {number}"), 20);
                let (client, address) = (client.clone(), addresses[number % addresses.len()]);
                requests.push(tokio::spawn(async move {
                    let answer = complete(&client, address, &completion).await;
                    (completion, answer)
                }));
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            requests
        }
    });
    merge(&mut document, &json!({"deployments": {DEPLOYMENT: {"version": "2"}}}));
    fleet.apply(document).await?;
    let only_new = vec![format!("{MODEL}@2")];
    fleet
        .eventually("every engine with the new version alone", async || {
            let models = models(&fleet).await?;
            models.iter().all(|models| *models == only_new).then_some(())
        })
        .await?;
    running.store(false, Ordering::SeqCst);
    let mut with_new = 0;
    for request in callers.await? {
        let (completion, answer) = request.await?;
        let answer = answer?;
        expect_that!(answer.error, none());
        expect_that!(answer.complete, is_true());
        let new = answer::text(&completion.prompt, "2", completion.max_tokens);
        with_new += u32::from(answer.text == new);
        expect_that!(answer.text, any![eq(&completion.expected()), eq(&new)]);
    }
    expect_that!(with_new, gt(0));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn checked_fencing() -> Result<()> {
    roll_out("checked").await
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ignored_fencing() -> Result<()> {
    roll_out("ignored").await
}

/// An order with an old fencing number must be refused by an engine that checks it.
#[gtest]
#[tokio::test]
async fn old_number_refused() -> Result<()> {
    let plan = Plan::new(1, 1, 0).with_engine_arguments(["--fencing", "checked"]);
    let fleet = Fleet::start(plan).await?;
    let order = |fence: u64| {
        Call::new(Method::PUT, fleet.engines[0].address, "/v1/orders")
            .with_header("x-fencing-number", fence.to_string())
            .with_json(&json!({"models": [format!("{MODEL}@1")]}))
    };
    expect_that!(fleet.client.send(order(7)).await?.status, lt(300));
    expect_that!(fleet.client.send(order(6)).await?.status, ge(400));
    Ok(())
}
