//! End-to-end tests of a relay: streams, plain responses, jobs, configuration and graceful
//! shutdown.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Fault, Harness};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Guards against a relay that alters the events, the server stamp or the request id of a stream.
#[gtest]
#[tokio::test]
async fn stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    let reply = harness.stream(0, "stream", "s-1", 5).await?;
    expect_that!(reply.status, eq(200));
    expect_that!(reply.headers["server-stamp"].to_str()?, eq("stamp"));
    expect_that!(reply.headers["request-id"].to_str()?, eq("s-1"));
    let events: String =
        (1..=5).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect();
    verify_that!(reply.text(), eq(&events))
}

/// Guards against an altered body, and against a deadline sent to the upstream that exceeds the
/// remaining time.
#[gtest]
#[tokio::test]
async fn plain() -> Result<()> {
    let harness = Harness::start(1).await?;
    for route in ["safe", "unsafe"] {
        let reply = harness.send(harness.call(0, route, route)).await?;
        expect_that!(reply.status, eq(200));
        expect_that!(reply.text(), eq(&format!("answer to {route}")));
    }
    let runs = harness.plain.runs();
    expect_that!(runs.len(), eq(2));
    for run in runs {
        expect_that!(run.deadline_ms, some(le(4_000)));
    }
    Ok(())
}

/// Guards against opening a new upstream connection for each request.
#[gtest]
#[tokio::test]
async fn kept_connections() -> Result<()> {
    let harness = Harness::start(1).await?;
    for number in 0..20 {
        let reply = harness.send(harness.call(0, "safe", &format!("r-{number}"))).await?;
        expect_that!(reply.status, eq(200));
    }
    verify_that!(harness.plain.connections(), le(2))
}

/// Guards against requests that reach an upstream although they have no route or too large a body.
#[gtest]
#[tokio::test]
async fn no_route() -> Result<()> {
    let harness = Harness::start(1).await?;
    let reply = harness.send(harness.call(0, "nowhere", "r-1")).await?;
    expect_that!(reply.status, eq(404));
    let body = "x".repeat(2 << 20);
    let large = harness.call(0, "safe", "r-2").with_body(body);
    // The connection may be closed while the body is still being sent.
    let reply = harness.send(large).await;
    expect_that!(reply.is_err() || reply.is_ok_and(|reply| reply.status == 413), eq(true));
    verify_that!(harness.plain.runs(), is_empty())
}

/// Guards against request bodies that exceed the memory limit of the relay.
#[gtest]
#[tokio::test]
async fn many_bodies() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.plain.queue_faults(&[Fault::Silent; 8]);
    let client = cyclamengrade_standins::client::Client::new();
    // Eight bodies of 1 MB each, with a limit of 4 MB for all bodies.
    let calls = (0..8).map(|number| {
        let call = harness.call(0, "unsafe", &format!("r-{number}"));
        let call = call.with_header("deadline-ms", "1500").with_body("x".repeat(1_000_000));
        let client = client.clone();
        tokio::spawn(async move { client.send(call).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut refused = 0;
    for call in calls {
        // A refusal may close the connection while the body is still being sent.
        let reply = call.await?;
        refused += usize::from(reply.is_err() || reply.is_ok_and(|reply| reply.status == 503));
    }
    expect_that!(refused, ge(3));
    expect_that!(harness.plain.runs().len(), le(4));
    let reply = harness.stream(0, "stream", "after", 2).await?;
    verify_that!(reply.status, eq(200))
}

/// Guards against a job that is accepted at one relay and unknown at another, and against results
/// that differ between relays.
#[gtest]
#[tokio::test]
async fn job() -> Result<()> {
    let harness = Harness::start(2).await?;
    let (job, status) = harness.submit(0, "j-1", 6, 10).await?;
    expect_that!(status, eq(202));
    let (_, again) = harness.submit(1, "j-1", 6, 10).await?;
    expect_that!(again, eq(202));
    let first = harness.await_results(0, &job).await?;
    let second = harness.await_results(1, &job).await?;
    expect_that!(first, eq(&second));
    let text: Vec<String> = (1..=10).map(|event| format!("piece {event}")).collect();
    for result in &first {
        expect_that!(result["State"], eq(&json!("completed")));
        expect_that!(result["Text"], eq(&json!(text.join("\n"))));
    }
    let mut items: Vec<&str> = first.iter().filter_map(|result| result["Id"].as_str()).collect();
    items.sort_unstable();
    expect_that!(items, eq(&job.items.iter().map(String::as_str).collect::<Vec<_>>()));
    let body = harness.item(1, "j-1", "j-1-3").await?;
    expect_that!(body.text(), eq("j-1-3"));
    expect_that!(harness.results(1, "unknown", 0).await?.status, eq(404));
    Ok(())
}

/// Guards against items that run at any relay after their job was ended.
#[gtest]
#[tokio::test]
async fn ended_job() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.submit(0, "j-1", 4, 2_000).await?;
    harness
        .eventually("runs of the job", async || {
            let runs: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
            (runs >= 4).then_some(())
        })
        .await?;
    for _ in 0..2 {
        expect_that!(harness.end_job(1, "j-1").await?.status, eq(200));
    }
    harness
        .eventually("the release of the job", async || {
            (!harness.events(0, "job_released").is_empty()).then_some(())
        })
        .await?;
    let before: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
    verify_that!(after, eq(before))
}

/// Guards against an outdated configuration that stays in force, also after the store has lost its
/// history, and against a return to an older or damaged one.
#[gtest]
#[tokio::test]
async fn configuration() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    harness.add_route("added");
    harness.store.discard_history();
    for relay in 0..2 {
        harness
            .eventually("the added route", async || {
                let reply = harness.send(harness.call(relay, "added", "r-1")).await.ok()?;
                (reply.status == 200).then_some(())
            })
            .await?;
    }
    harness.store.put("op", "config", &json!({"Version": 1, "Routes": [], "Services": []}));
    harness.store.put_bytes("op", "config", b"no configuration");
    // The feed delivers changes in order, so the older configuration has been seen by then.
    harness
        .eventually("the refusal of the damaged row", async || {
            (!harness.events(0, "row_unusable").is_empty()).then_some(())
        })
        .await?;
    let reply = harness.send(harness.call(0, "added", "r-2")).await?;
    verify_that!(reply.status, eq(200))
}

/// Guards against requests to an upstream that has announced that it is leaving, and against
/// foreign or damaged rows that add upstreams or hide valid ones.
#[gtest]
#[tokio::test]
async fn leaving_upstream() -> Result<()> {
    let harness = Harness::start(1).await?;
    let leaving = &harness.runners[0];
    harness.store.put("servers", &leaving.id, &leaving.entry("model", "draining"));
    harness.store.put("servers", "foreign", &json!({"Service": "model"}));
    harness.store.put_bytes("servers", "damaged", b"\xff\x00");
    harness
        .eventually("the event that the upstream is leaving", async || {
            (!harness.events(0, "upstream_leaving").is_empty()).then_some(())
        })
        .await?;
    for number in 0..6 {
        let reply = harness.stream(0, "stream", &format!("s-{number}"), 2).await?;
        expect_that!(reply.status, eq(200));
    }
    expect_that!(leaving.runs(), is_empty());
    verify_that!(harness.runners[1].runs().len(), eq(6))
}

/// Guards against a graceful shutdown that cuts off requests, loses a job or does not end.
#[gtest]
#[tokio::test]
async fn planned_stop() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    let (job, _) = harness.submit(0, "j-1", 4, 100).await?;
    let call = harness.call(0, "stream", "s-1").with_header("token-counts", "10,60");
    let client = cyclamengrade_standins::client::Client::new();
    let stream = tokio::spawn(async move { client.send(call).await });
    harness
        .eventually("the run of the stream", async || {
            let mut runs = harness.runners.iter().flat_map(|runner| runner.runs());
            runs.any(|run| run.id == "s-1").then_some(())
        })
        .await?;
    expect_that!(harness.stop_relay(0).await?, some(eq(0)));
    let reply = stream.await??;
    expect_that!(reply.text().matches("data:").count(), eq(60));
    let results: Vec<Value> = harness.await_results(1, &job).await?;
    verify_that!(results.len(), eq(4))
}
