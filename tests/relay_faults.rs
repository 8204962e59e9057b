//! Faults of upstreams: what is repeated, what is resumed and what is told to the caller.

use cyclamengrade_standins::bridge::{Fault, Harness, Run};
use googletest::prelude::*;

/// All runs with their upstreams' order.
fn runs(harness: &Harness) -> Vec<Run> {
    harness.runners.iter().flat_map(|runner| runner.runs()).collect()
}

/// Both runners spoil their next answer, so that the first attempt meets the fault.
fn spoil_first(harness: &Harness, fault: Fault) {
    // The second runner is spoiled as well, since either may be chosen; the attempt after it finds
    // the first runner sound again.
    harness.runners[0].queue_faults(&[fault]);
    harness.runners[1].queue_faults(&[fault]);
}

/// Guards against an event that is missing, repeated or cut in half when a stream goes on at
/// another upstream.
#[gtest]
#[tokio::test]
async fn resumed_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners[0].queue_faults(&[Fault::CutAfter(3)]);
    for id in ["s-1", "s-2", "s-3", "s-4"] {
        let reply = harness.stream(0, "stream", id, 8).await?;
        let events: String =
            (1..=8).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect();
        expect_that!(reply.text(), eq(&events), "{id}");
    }
    let resumed: Vec<_> = runs(&harness).into_iter().filter_map(|run| run.after).collect();
    verify_that!(resumed, elements_are![eq(&3)])
}

/// Guards against a second run of a stream that may not be resumed, and against a cut stream that
/// looks whole.
#[gtest]
#[tokio::test]
async fn cut_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    spoil_first(&harness, Fault::CutAfter(3));
    let reply = harness.stream(0, "once", "s-1", 8).await;
    expect_that!(reply.is_err(), eq(true));
    verify_that!(runs(&harness).len(), eq(1))
}

/// Guards against a refusal that ends a request although another upstream can run it.
#[gtest]
#[tokio::test]
async fn not_run() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners[0].queue_faults(&[Fault::NotRun]);
    for route in ["stream", "once"] {
        for number in 0..4 {
            let reply = harness.stream(0, route, &format!("{route}-{number}"), 3).await?;
            expect_that!(reply.status, eq(200));
        }
    }
    verify_that!(runs(&harness).len(), eq(8))
}

/// Guards against a "not run" for a request that may have run, and against a second run of it.
#[gtest]
#[tokio::test]
async fn may_have_run() -> Result<()> {
    for fault in [Fault::CutAfter(0), Fault::WrongId] {
        let harness = Harness::start(1).await?;
        harness.plain.queue_faults(&[fault]);
        let reply = harness.send(harness.call(0, "unsafe", "r-1")).await?;
        expect_that!(reply.status, eq(502), "{fault:?}");
        expect_that!(harness.plain.runs().len(), eq(1), "{fault:?}");
    }
    Ok(())
}

/// Guards against a refusal without the time to come back.
#[gtest]
#[tokio::test]
async fn refused() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.plain.queue_faults(&[Fault::NotRun]);
    let reply = harness.send(harness.call(0, "unsafe", "r-1")).await?;
    expect_that!(reply.status, eq(503));
    let seconds: f64 = reply.headers["retry-after"].to_str()?.parse()?;
    expect_that!(seconds, gt(0.0));
    verify_that!(harness.plain.runs(), is_empty())
}

/// Guards against bytes after a whole answer that become the answer to the next request.
#[gtest]
#[tokio::test]
async fn second_answer() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.plain.queue_faults(&[Fault::SecondAnswer]);
    for id in ["r-1", "r-2", "r-3"] {
        let reply = harness.send(harness.call(0, "safe", id)).await?;
        expect_that!(reply.text(), eq(&format!("answer to {id}")));
    }
    Ok(())
}

/// Guards against an item that is tried for ever, or given up before its bound.
#[gtest]
#[tokio::test]
async fn failing_items() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::Failed, Fault::Failed]);
    }
    let (job, _) = harness.submit(0, "j-1", 1, 3).await?;
    let results = harness.await_results(0, &job).await?;
    expect_that!(results[0]["State"].as_str(), some(eq("dead_letter")));
    verify_that!(runs(&harness).len(), eq(2))
}

/// Guards against a further run of an item that can never be done.
#[gtest]
#[tokio::test]
async fn impossible_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    spoil_first(&harness, Fault::Impossible);
    let (job, _) = harness.submit(0, "j-1", 1, 3).await?;
    let results = harness.await_results(0, &job).await?;
    expect_that!(results[0]["State"].as_str(), some(eq("dead_letter")));
    verify_that!(runs(&harness).len(), eq(1))
}

/// Guards against the text of an item that repeats or misses an event after its run broke off.
#[gtest]
#[tokio::test]
async fn cut_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    spoil_first(&harness, Fault::CutAfter(4));
    let (job, _) = harness.submit(0, "j-1", 1, 9).await?;
    let results = harness.await_results(0, &job).await?;
    let text: Vec<String> = (1..=9).map(|event| format!("piece {event}")).collect();
    verify_that!(results[0]["Text"].as_str(), some(eq(text.join("\n").as_str())))
}
