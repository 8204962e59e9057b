//! Tests of upstream faults: which requests are retried or resumed, and what the caller is told.

use cyclamengrade_standins::bridge::{Fault, Harness, Run};
use futures_util::future::join_all;
use googletest::prelude::*;

/// Returns the runs of all runners, ordered by runner.
fn all_runs(harness: &Harness) -> Vec<Run> {
    harness.runners.iter().flat_map(|runner| runner.runs()).collect()
}

/// Injects the fault into the next answer of both runners, so that the first attempt meets it at
/// whichever runner is chosen. A third attempt finds the first runner free of faults again.
fn inject_fault(harness: &Harness, fault: Fault) {
    harness.runners[0].queue_faults(&[fault]);
    harness.runners[1].queue_faults(&[fault]);
}

/// Guards against events that are missing, repeated or truncated when a stream is resumed at
/// another upstream.
#[gtest]
#[tokio::test]
async fn resumed_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners[0].queue_faults(&[Fault::CutAfter(3)]);
    // More at once than the slots of one runner, so that some begin at the one with the fault.
    let ids: Vec<String> = (0..12).map(|number| format!("s-{number}")).collect();
    let replies = join_all(ids.iter().map(|id| harness.stream(0, "stream", id, 8))).await;
    for (id, reply) in ids.iter().zip(replies) {
        let events: String =
            (1..=8).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect();
        expect_that!(reply?.text(), eq(&events), "{id}");
    }
    let resumed: Vec<_> = all_runs(&harness).into_iter().filter_map(|run| run.after).collect();
    verify_that!(resumed, elements_are![eq(&3)])
}

/// Guards against a second run of a stream that must not be resumed, and against a broken stream
/// that looks complete.
#[gtest]
#[tokio::test]
async fn cut_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    inject_fault(&harness, Fault::CutAfter(3));
    let reply = harness.stream(0, "once", "s-1", 8).await;
    expect_that!(reply.is_err(), eq(true));
    verify_that!(all_runs(&harness).len(), eq(1))
}

/// Guards against failing a request that one upstream refused and another one can run.
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
    verify_that!(all_runs(&harness).len(), eq(8))
}

/// Guards against reporting a request as not run although it may have run, and against running it a
/// second time.
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

/// Guards against a refusal without a positive `retry-after`.
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

/// Guards against surplus bytes after a complete response that are taken for the response to the
/// next request on the connection.
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

/// Guards against an item that is retried without end or given up before its maximum number of
/// attempts.
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
    verify_that!(all_runs(&harness).len(), eq(2))
}

/// Guards against retrying an item that an upstream reported as impossible.
#[gtest]
#[tokio::test]
async fn impossible_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    inject_fault(&harness, Fault::Impossible);
    let (job, _) = harness.submit(0, "j-1", 1, 3).await?;
    let results = harness.await_results(0, &job).await?;
    expect_that!(results[0]["State"].as_str(), some(eq("dead_letter")));
    verify_that!(all_runs(&harness).len(), eq(1))
}

/// Guards against repeated or missing events in the text of an item whose run broke off.
#[gtest]
#[tokio::test]
async fn cut_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    inject_fault(&harness, Fault::CutAfter(4));
    let (job, _) = harness.submit(0, "j-1", 1, 9).await?;
    let results = harness.await_results(0, &job).await?;
    let text: Vec<String> = (1..=9).map(|event| format!("piece {event}")).collect();
    verify_that!(results[0]["Text"].as_str(), some(eq(text.join("\n").as_str())))
}

/// Guards against new work at a runner whose answer said that it is leaving while the store still
/// lists it as ready: online requests, and items of batch jobs.
#[gtest]
#[tokio::test]
async fn leaving_answer() -> Result<()> {
    let harness = Harness::start(1).await?;
    let leaving = &harness.runners[0];
    leaving.announce_leaving();
    for number in 0..20 {
        expect_that!(harness.stream(0, "stream", &format!("a-{number}"), 2).await?.status, eq(200));
        if !leaving.runs().is_empty() {
            break;
        }
    }
    let known = leaving.runs().len();
    expect_that!(known, eq(1));
    for number in 0..20 {
        expect_that!(harness.stream(0, "stream", &format!("b-{number}"), 2).await?.status, eq(200));
    }
    let (job, status) = harness.submit(0, "job-1", 6, 3).await?;
    expect_that!(status, eq(202));
    harness.await_results(0, &job).await?;
    expect_that!(leaving.runs().len(), eq(known));
    verify_that!(harness.runners[1].runs().len(), ge(26))
}
