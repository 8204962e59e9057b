//! Tests of upstreams that answer a long upload before they have read it, and reset its connection.

use std::time::Duration;

use cyclamengrade_standins::{
    bridge::{Cut, Early, Harness},
    client::{Call, Client, Error, Reply},
};
use googletest::prelude::*;
use serde_json::json;

/// Bytes of an upload, more than wait in the buffers of the system on the way.
const UPLOAD_BYTES: usize = 12_000_000;
const UPLOADS: usize = 6;

/// Starts relays, of which the connections of the first one can be cut.
async fn start(relays: usize) -> Result<Harness> {
    let mut harness = Harness::start_linked(0).await?;
    harness.memory_bytes = 128 << 20;
    for relay in 0..relays {
        harness.is_linked = relay == 0;
        harness.add_relay(relay)?;
    }
    for relay in 0..relays {
        harness.await_ready(relay).await?;
    }
    harness.limits = Some(json!({"MaxBodyBytes": 16 << 20}));
    harness.configure(json!([]));
    let revision = harness.version();
    for relay in 0..relays {
        let applied = async || {
            let lines = harness.events(relay, "configuration_in_force");
            lines.iter().any(|line| line["revision"] == revision).then_some(())
        };
        harness.eventually("the configuration", applied).await?;
    }
    Ok(harness)
}

async fn upload(harness: &Harness, route: &str, id: &str) -> std::result::Result<Reply, Error> {
    let call = match route {
        "stream" | "once" => harness.call(0, route, id).with_header("token-counts", "10,4"),
        _ => harness.call(0, route, id),
    };
    // On a connection of its own, as the one of a broken stream is closed.
    let call: Call = call.with_body(vec![b'u'; UPLOAD_BYTES]).with_timeout(Duration::from_secs(8));
    Client::new().send(call).await
}

/// Sends uploads to upstreams that break off. Fails if a caller gets a part of a response as a whole one.
async fn expect_no_part(harness: &Harness) -> Result<()> {
    for early in [Early::Unframed, Early::Chunked] {
        for runner in harness.runners.iter().chain([&harness.plain]) {
            runner.reset_uploads(early);
        }
        for route in ["unsafe", "safe", "once", "stream"] {
            for number in 0..UPLOADS {
                let id = format!("{route}-{early:?}-{number}");
                let reply = upload(harness, route, &id).await;
                let is_whole = reply.as_ref().is_ok_and(|reply| reply.status < 300);
                expect_that!(is_whole, is_false(), "{id}: {reply:?}");
            }
        }
    }
    let runners = harness.runners.iter().chain([&harness.plain]);
    let runs: usize = runners.map(|runner| runner.runs().len()).sum();
    verify_that!(runs, ge(8 * UPLOADS))
}

/// Guards against a part of a response that a caller gets as a complete one, because the reset of its connection is
/// reported to the upload.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn direct() -> Result<()> {
    expect_no_part(&start(1).await?).await
}

/// The same, at a relay that carries the connection for another one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn carried() -> Result<()> {
    let harness = start(3).await?;
    harness.cut_links(0, Cut::Refuse);
    let carried = async || {
        let reply = harness.stream(0, "stream", "first", 1).await.ok()?;
        let is_carried = !harness.events(0, "connection_carried").is_empty();
        (reply.status == 200 && is_carried).then_some(())
    };
    harness.eventually("another relay carries connections", carried).await?;
    expect_no_part(&harness).await
}

/// Guards against a part of the text of an item that is listed as its whole text.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items() -> Result<()> {
    let harness = start(1).await?;
    for runner in &harness.runners {
        runner.reset_uploads(Early::Unframed);
    }
    let body = "eHh4".repeat(2_000_000);
    let job = json!({"Items": [{
        "Id": "j-1-0", "Path": "/batch/item", "Tokens": 14, "Body": body,
        "Headers": {"Token-Counts": "10,4", "Model": "m"}
    }]});
    let call = Call::post(harness.address(0), "/batch/j-1")
        .with_header("host", "calls.example")
        .with_header("request-id", "j-1")
        .with_json(&job);
    expect_that!(harness.send(call).await?.status, eq(202));
    let broken = async || {
        let runs: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
        (runs >= 3).then_some(())
    };
    harness.eventually("broken runs", broken).await?;
    let page: serde_json::Value = harness.results(0, "j-1", 0).await?.json()?;
    verify_that!(page["Results"], eq(&json!([])))
}
