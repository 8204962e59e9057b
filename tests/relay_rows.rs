//! Tests of batch jobs whose rows the store refuses for their content or size.

use std::time::Duration;

use cyclamengrade_standins::{
    bridge::{Faults, Harness, Job},
    client::Call,
};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Events of an item.
const EVENTS: u64 = 6;

/// Returns the results that are listed so far.
async fn listed(harness: &Harness, relay: usize, job: &Job) -> Result<Vec<Value>> {
    let mut all = Vec::new();
    loop {
        let page: Value = harness.results(relay, &job.id, all.len()).await?.json()?;
        let results = page["Results"].as_array().cloned().unwrap_or_default();
        if results.is_empty() {
            return Ok(all);
        }
        all.extend(results);
    }
}

/// Waits until a number of results are listed, and returns them.
async fn await_listed(
    harness: &Harness,
    relay: usize,
    job: &Job,
    count: usize,
) -> Result<Vec<Value>> {
    let results = async || {
        let results = listed(harness, relay, job).await.ok()?;
        (results.len() == count).then_some(results)
    };
    Ok(harness.eventually("the results", results).await?)
}

/// Guards against texts whose characters take more bytes in a row than in the stream, which the store refuses: as
/// results, as texts of unfinished items, or as many of them in one transaction.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn escaped_texts() -> Result<()> {
    let harness = Harness::start(2).await?;
    let units = ["t", "\0", "\"\\", "\u{2028}", "\u{1f9f5}", "\0\"\u{2028}\u{1f}\u{1f9f5}t\u{7f}"];
    for (number, unit) in units.into_iter().enumerate() {
        for (items, bytes) in [(3, 2_000), (40, 1_300)] {
            let fill = unit.repeat(bytes / unit.len());
            harness.runners.iter().for_each(|runner| runner.fill_events(&fill));
            let (job, status) =
                harness.submit(0, &format!("j-{number}-{items}"), items, EVENTS).await?;
            expect_that!(status, eq(202));
            let results = await_listed(&harness, 1, &job, items).await?;
            let texts: Vec<String> =
                (1..=EVENTS).map(|event| format!("piece {event}{fill}")).collect();
            let text = json!(texts.join("\n"));
            let is_whole = |result: &Value| result["Text"] == text;
            expect_that!(results.iter().all(is_whole), is_true(), "{unit:?}, {bytes} bytes");
        }
    }
    verify_that!(harness.store.rejected(), eq(0))
}

/// Guards against a text that grows beyond a row while its item runs, which a relay that stops would store again and
/// again, so that its jobs stay with it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn handed_over() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    harness.runners.iter().for_each(|runner| runner.fill_events(&"\0".repeat(300)));
    let (job, status) = harness.submit(0, "j-1", 4, 200).await?;
    expect_that!(status, eq(202));
    let running = async || {
        let runs: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
        (runs == 4).then_some(())
    };
    harness.eventually("all runs", running).await?;
    sleep(Duration::from_millis(400)).await;
    expect_that!(harness.stop_relay(0).await?, some(eq(0)));
    await_listed(&harness, 1, &job, 4).await?;
    verify_that!(harness.store.rejected(), eq(0))
}

/// Guards against one result that the store refuses for good and that keeps sound results from being listed, is
/// sent again without a pause, or keeps a relay from handing its jobs over.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_result() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    let faults = Faults { refused_text: Some("\"j-1-2\""), ..Faults::default() };
    harness.store.set_faults(faults);
    let (job, _) = harness.submit(0, "j-1", 8, EVENTS).await?;
    let results = await_listed(&harness, 1, &job, 7).await?;
    expect_that!(results.iter().any(|result| result["Id"] == "j-1-2"), is_false());
    let before = harness.store.rejected();
    sleep(Duration::from_secs(3)).await;
    expect_that!(harness.store.rejected() - before, all!(ge(1), le(6)));
    expect_that!(harness.events(0, "results_rejected"), not(is_empty()));
    expect_that!(harness.stop_relay(0).await?, some(eq(0)));
    harness.store.set_faults(Faults::default());
    let results = await_listed(&harness, 1, &job, 8).await?;
    verify_that!(results[7]["Id"], eq(&json!("j-1-2")))
}

/// Guards against a text that the store does not take in a row and that is not stored as an object.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_text() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.store.set_faults(Faults { refused_text: Some("piece 6"), ..Faults::default() });
    let (job, _) = harness.submit(0, "j-1", 3, EVENTS).await?;
    let results = await_listed(&harness, 0, &job, 3).await?;
    verify_that!(Harness::complete_items(&results, EVENTS).len(), eq(3))
}

/// Guards against a transaction that is sent again without a pause while the store fails each one in a way that
/// does not tell whether it took effect.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_transactions() -> Result<()> {
    let harness = Harness::start(1).await?;
    let (job, _) = harness.submit(0, "j-1", 3, EVENTS).await?;
    harness.store.set_faults(Faults { failing_transactions: true, ..Faults::default() });
    sleep(Duration::from_secs(2)).await;
    let before = harness.store.calls();
    sleep(Duration::from_secs(2)).await;
    // The feeds and the commits are repeated a few times a second.
    expect_that!(harness.store.calls() - before, le(40));
    harness.store.set_faults(Faults::default());
    await_listed(&harness, 0, &job, 3).await?;
    Ok(())
}

/// Guards against a takeover that is repeated without a pause, because the items of the job cannot be read.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_items() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    let (_, status) = harness.submit(0, "j-1", 2, 2_000).await?;
    expect_that!(status, eq(202));
    harness.store.remove_object("jobs-j-1");
    harness.kill_relay(0)?;
    let failed = || harness.events(1, "job_call_failed").len();
    harness.eventually("a takeover", async || (failed() > 0).then_some(())).await?;
    let before = failed();
    sleep(Duration::from_secs(5)).await;
    verify_that!(failed() - before, all!(ge(1), le(3)))
}

/// Guards against jobs that are accepted although the store takes none of their rows.
#[gtest]
#[tokio::test]
async fn long_names() -> Result<()> {
    let harness = Harness::start(1).await?;
    let id = "j".repeat(194);
    expect_that!(harness.submit(0, &id, 1, EVENTS).await?.1, eq(400));
    expect_that!(harness.results(0, &id, 0).await?.status, eq(404));
    let (job, status) = harness.submit(0, &id[..193], 1, EVENTS).await?;
    expect_that!(status, eq(202));
    await_listed(&harness, 0, &job, 1).await?;
    let item = "\u{1}".repeat(12_000);
    let body = json!({"Items": [{"Id": item, "Path": "/batch/item", "Tokens": 1, "Body": ""}]});
    let call = Call::post(harness.address(0), "/batch/j-2").with_header("host", "calls.example");
    let call = call.with_header("request-id", "j-2").with_json(&body);
    expect_that!(harness.send(call).await?.status, eq(400));
    verify_that!(harness.store.rejected(), eq(0))
}
