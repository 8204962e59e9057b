//! Online completions, from their arrival at the daemon to the answer of the upstream.
#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use cyclamengrade_caller::Kind;
use googletest::prelude::*;
use support::{
    caller::{completion, text, tokens},
    engine::{Engine, Step, unused_address},
    node::{Daemon, vms},
};

/// Guards against tokens that are lost, repeated or delivered in the wrong order.
#[gtest]
#[tokio::test]
async fn complete_answer() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..20), Step::Finish(20)]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let events = daemon.online.complete(completion("hello")).await.unwrap();
    expect_that!(text(events).await, ok(eq(&tokens(20))));
    let request = engine.wait_for("POST", "/v1/completions").await;
    expect_that!(request.json()["prompt"].as_str(), some(eq("hello")));
    expect_that!(request.json()["stream"].as_bool(), some(eq(true)));
    expect_that!(request.header("x-stream-id"), some(anything()));
}

/// Guards against a request for an unknown deployment that waits or reaches an upstream instead of
/// failing as not run.
#[gtest]
#[tokio::test]
async fn unknown_deployment() {
    let daemon = Daemon::start(Vec::new(), None).await;
    let mut call = completion("hello");
    call.deployment = "nothing".into();
    let failure = daemon.online.complete(call).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::NotFound));
    expect_that!(failure.not_run, eq(true));
}

/// Guards against a request that fails although only one of two upstreams refuses connections.
#[gtest]
#[tokio::test]
async fn upstream_refuses_connections() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..3), Step::Finish(3)]).await;
    let addresses = [unused_address().await, engine.address];
    let daemon = Daemon::start(vms("wording-llm", &addresses), None).await;
    for _ in 0..4 {
        let events = daemon.online.complete(completion("hello")).await.unwrap();
        expect_that!(text(events).await, ok(eq(&tokens(3))));
    }
}
