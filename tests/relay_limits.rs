//! Tests of the limit on the tokens of a batch route that wait for a run.

use cyclamengrade_standins::bridge::Harness;
use googletest::prelude::*;
use serde_json::json;

/// Adds the route `capped`, on which 5,000 tokens may wait.
fn add_capped_route(harness: &mut Harness) {
    harness.configure(json!([{
        "Name": "capped", "Host": "calls.example", "PathPrefix": "/capped/", "Kind": "batch",
        "TimeoutMs": 5_000, "TargetLatencyMs": 400, "MaxAttempts": 2, "Service": "model",
        "CompletionTargetMs": 18_000, "RetentionS": 60, "Cap": 5_000
    }]));
}

/// Guards against jobs over the limit, submitted at any relay; against a job that is refused when it
/// is sent again after it was accepted; and against tokens that stay counted after a job is done or
/// ended.
#[gtest]
#[tokio::test]
async fn waiting_tokens() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    add_capped_route(&mut harness);
    // An item has 10 tokens more than it has events.
    let accepted = async |relay: usize, id: &'static str| {
        let (job, reply) = harness.submission(relay, "capped", id, 4, 990).await.ok()?;
        (reply.status == 202).then_some(job)
    };
    let first = harness.eventually("the route", async || accepted(0, "job-1").await).await?;
    // A relay learns of the jobs of others with a delay, or when it is asked about them.
    harness
        .eventually("the job at the other relay", async || {
            (harness.results(1, &first.id, 0).await.ok()?.status == 200).then_some(())
        })
        .await?;
    let reply = harness
        .eventually("a refusal by the other relay", async || {
            let (_, reply) = harness.submission(1, "capped", "job-2", 4, 990).await.ok()?;
            (reply.status == 429).then_some(reply)
        })
        .await?;
    let retry_after = reply.headers.get("retry-after").and_then(|value| value.to_str().ok());
    let seconds = retry_after.and_then(|value| value.parse::<f64>().ok());
    expect_that!(seconds, some(all![ge(0.5), le(4.0)]));
    // The relay writes its log lines after the response.
    let over = harness
        .eventually("the log line of the refusal", async || {
            let lines = harness.events(1, "job_over_limit");
            (!lines.is_empty()).then_some(lines)
        })
        .await?;
    expect_that!(over[0]["waiting"], eq(&json!(4_000)));
    expect_that!(over[0]["tokens"], eq(&json!(4_000)));
    // The same job again, at both relays.
    expect_that!(accepted(0, "job-1").await.is_some(), is_true());
    expect_that!(accepted(1, "job-1").await.is_some(), is_true());
    expect_that!(harness.end_job(0, &first.id).await?.status, eq(200));
    harness.eventually("space after the end", async || accepted(1, "job-3").await).await?;
    Ok(())
}

/// Guards against a job that is told to come back although it can never fit.
#[gtest]
#[tokio::test]
async fn too_large() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    add_capped_route(&mut harness);
    let reply = harness
        .eventually("a refusal", async || {
            let (_, reply) = harness.submission(0, "capped", "job-1", 6, 990).await.ok()?;
            (reply.status == 429).then_some(reply)
        })
        .await?;
    verify_that!(reply.headers.get("retry-after").is_none(), is_true())
}
