//! Streams of which the events of several upstreams are joined.

use std::time::Duration;

use cyclamengrade_standins::{
    bridge::{Fault, Harness},
    client::{Client, Events},
};
use googletest::prelude::*;
use serde_json::json;
use tokio::time::sleep;

/// Returns the text of the first events of a stream.
fn events(count: u64) -> String {
    (1..=count).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

/// Reads a stream to its end. Returns its text and whether it ended as complete.
async fn read(mut stream: Events, mut text: String) -> (String, bool) {
    loop {
        match stream.next_event().await {
            Ok(Some(event)) => text += &event,
            Ok(None) => return (text, true),
            Err(_) => return (text, false),
        }
    }
}

/// Guards against a stream that breaks off because the first upstream that is asked to resume it answers
/// with an error, although a further attempt is allowed. None of the error may reach the caller.
#[gtest]
#[tokio::test]
async fn error_of_next() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let spare = harness.add_runner("m-3", "v1", "a").await?;
    harness.configure(json!([{
        "Name": "patient", "Host": "calls.example", "PathPrefix": "/patient/", "Kind": "stream",
        "TimeoutMs": 5_000, "TargetLatencyMs": 400, "Priority": 0, "MaxAttempts": 3,
        "Service": "model", "Resumable": true, "GapAimMs": 400
    }]));
    let (first, failing) = (harness.runners[0].clone(), harness.runners[1].clone());
    harness.unlist(&failing, 0).await?;
    first.queue_faults(&[Fault::CutAfter(60); 6]);
    failing.queue_faults(&[Fault::Failed; 6]);
    let mut streams = Vec::new();
    for number in 0..6 {
        let call = harness.call(0, "patient", &format!("s-{number}"));
        let mut stream = Client::new().open(call.with_header("token-counts", "10,80")).await?;
        let text = stream.next_event().await?.or_fail()?;
        streams.push(tokio::spawn(read(stream, text)));
    }
    harness.list(&spare, 0).await?;
    harness.store.put("servers", &failing.id, &failing.entry("model", "ready"));
    for stream in streams {
        let (text, is_complete) = stream.await?;
        expect_that!(text, eq(&events(80)));
        expect_that!(is_complete, eq(true));
    }
    // Otherwise no stream met the error.
    verify_that!(failing.runs(), not(is_empty()))
}

/// Guards against a stream whose first events are missing.
#[gtest]
#[tokio::test]
async fn late_start() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::StartAt(4)]);
    }
    let mut complete = 0;
    for number in 0..4 {
        let reply = harness.stream(0, "stream", &format!("s-{number}"), 9).await?;
        match reply.status {
            200 => {
                expect_that!(reply.text(), eq(&events(9)));
                complete += 1;
            }
            // Both attempts met the fault.
            status => expect_that!(status, eq(502)),
        }
        sleep(Duration::from_millis(20)).await;
    }
    verify_that!(complete, ge(2))
}

/// Guards against events that are repeated or lost when a stream is resumed after an event without an
/// id.
#[gtest]
#[tokio::test]
async fn unknown_position() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::OmitIds(3)]);
    }
    let call = harness.call(0, "stream", "s-1").with_header("token-counts", "10,9");
    let (text, is_complete) = read(Client::new().open(call).await?, String::new()).await;
    expect_that!(text, eq("data: piece 1\n\ndata: piece 2\n\ndata: piece 3\n\n"));
    expect_that!(is_complete, eq(false));
    let runs: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
    verify_that!(runs, eq(1))
}

/// Guards against a batch item whose text lacks its first events.
#[gtest]
#[tokio::test]
async fn late_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::StartAt(4)]);
    }
    let (job, status) = harness.submit(0, "j-1", 3, 9).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(0, &job).await?;
    verify_that!(Harness::complete_items(&results, 9).len(), eq(3))
}
