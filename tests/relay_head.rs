//! Tests of responses whose head ends early, at upstreams that live on.

use cyclamengrade_standins::bridge::{Fault, Harness};
use googletest::prelude::*;

/// Makes all upstreams end the heads of their next responses early.
fn shorten_heads(harness: &Harness) {
    for runner in harness.runners.iter().chain([&harness.plain]) {
        runner.queue_faults(&[Fault::ShortHead; 4]);
    }
}

/// Guards against a head that ends early being taken for a complete response without a body, on a route
/// of each kind.
#[gtest]
#[tokio::test]
async fn short_head() -> Result<()> {
    let harness = Harness::start(1).await?;
    for route in ["stream", "once", "safe", "unsafe"] {
        shorten_heads(&harness);
        let reply = match route {
            "stream" | "once" => harness.stream(0, route, route, 4).await,
            _ => harness.send(harness.call(0, route, route)).await,
        };
        // A connection that is closed says as little as 502.
        expect_that!(reply.map_or(502, |reply| reply.status), eq(502), "{route}");
    }
    Ok(())
}

/// The same, when a caller continues a stream.
#[gtest]
#[tokio::test]
async fn continued_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    shorten_heads(&harness);
    let call = harness.call(0, "stream", "s-2");
    let call = call.with_header("token-counts", "10,4").with_header("last-event-id", "2");
    let reply = harness.send(call).await;
    verify_that!(reply.map_or(502, |reply| reply.status), eq(502))
}

/// Guards against a request that may be repeated being failed by one head that ends early.
#[gtest]
#[tokio::test]
async fn repeated_request() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let spare = harness.add_runner("p-2", "v1", "a").await?;
    harness.store.put("servers", &spare.id, &spare.entry("plain", "ready"));
    harness
        .eventually("the relay knows p-2", async || {
            let added = harness.events(0, "upstream_added");
            added.iter().any(|line| line["upstream"] == "p-2").then_some(())
        })
        .await?;
    harness.runners[0].queue_faults(&[Fault::ShortHead]);
    harness.plain.queue_faults(&[Fault::ShortHead]);
    for number in 0..4 {
        let reply = harness.stream(0, "stream", &format!("s-{number}"), 4).await?;
        expect_that!(reply.text().matches("data: piece").count(), eq(4));
        let reply = harness.send(harness.call(0, "safe", &format!("p-{number}"))).await?;
        expect_that!(reply.text().as_str(), eq(format!("answer to p-{number}").as_str()));
    }
    Ok(())
}

/// Guards against a batch item that is listed with a short text after heads that end early.
#[gtest]
#[tokio::test]
async fn batch_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    shorten_heads(&harness);
    let (job, status) = harness.submit(0, "job-1", 3, 4).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(0, &job).await?;
    verify_that!(Harness::complete_items(&results, 4), len(eq(3)))
}

/// Guards against sound responses without length and chunks being refused.
#[gtest]
#[tokio::test]
async fn sound_responses() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in harness.runners.iter().chain([&harness.plain]) {
        runner.omit_framing();
    }
    for route in ["safe", "unsafe"] {
        let reply = harness.send(harness.call(0, route, route)).await?;
        expect_that!(reply.text().as_str(), eq(format!("answer to {route}").as_str()));
    }
    let reply = harness.stream(0, "stream", "s-1", 4).await?;
    verify_that!(reply.text().matches("data: piece").count(), eq(4))
}
