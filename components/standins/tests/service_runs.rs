//! Tests of the run counters of the service stand-in.

mod support;

use cyclamengrade_standins::{
    client::{Call, Client},
    service::Runs,
};
use googletest::prelude::*;
use serde_json::json;
use support::Standin;

/// Guards against a run that is not counted because its reply is dropped, which would hide a second
/// run from the comparison of replies and runs. Calls refused with 503 must not be counted.
#[gtest]
#[tokio::test]
async fn counted_runs() -> Result<()> {
    let mut standin = Standin::start("service", &[])?;
    let client = Client::new();
    let call = Call::post(standin.address, "/print?copies=1")
        .with_header("idempotency-key", "artwork-7")
        .with_body("artwork");
    let reply = client.send(call.clone()).await?;
    expect_that!(reply.json::<serde_json::Value>()?["run"], eq(&json!(1)));
    standin.set_faults(json!({"lose_replies": 1})).await?;
    expect_that!(client.send(call.clone()).await, err(anything()));
    standin.set_faults(json!({"down": true})).await?;
    expect_that!(client.send(call).await?.status, eq(503));
    let runs = support::eventually(async || {
        client.send(Call::get(standin.address, "/_runs")).await.ok()?.json::<Runs>().ok()
    })
    .await?;
    expect_that!(runs.keys["artwork-7"], eq(2));
    expect_that!(runs.total, eq(2));
    standin.process.kill()?;
    Ok(())
}
