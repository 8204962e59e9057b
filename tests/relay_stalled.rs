//! Streams that are slow, and streams that stall while a byte arrives now and then.

use std::time::{Duration, Instant};

use cyclamengrade_standins::bridge::{Fault, Harness};
use googletest::prelude::*;

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(4);

/// Returns the events of a stream without its comments.
fn events(text: &str) -> String {
    text.split_inclusive("\n\n").filter(|event| !event.starts_with(':')).collect()
}

fn text(events: u64) -> String {
    (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

/// Guards against a stream that is never resumed, because comments arrive in place of its events.
#[gtest]
#[tokio::test]
async fn stalled_stream() -> Result<()> {
    for fault in [Fault::StallAfter(0), Fault::StallAfter(3)] {
        let harness = Harness::start(1).await?;
        harness.runners[0].queue_faults(&[fault]);
        for id in ["s-1", "s-2", "s-3"] {
            let begin = Instant::now();
            let reply = harness.stream(0, "stream", id, 6).await?;
            expect_that!(events(&reply.text()), eq(&text(6)), "{fault:?} {id}");
            expect_that!(begin.elapsed(), lt(DEADLINE / 2), "{fault:?} {id}");
        }
        expect_that!(harness.runners[0].runs().len(), ge(1));
    }
    Ok(())
}

/// Guards against a batch item that stays at an upstream which sends comments in place of events.
#[gtest]
#[tokio::test]
async fn stalled_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners[0].queue_faults(&[Fault::StallAfter(2)]);
    harness.runners[1].queue_faults(&[Fault::StallAfter(2)]);
    let (job, status) = harness.submit(0, "job-1", 2, 6).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(0, &job).await?;
    verify_that!(Harness::complete_items(&results, 6), len(eq(2)))
}

/// Guards against cutting a sound stream that pauses for more than a second, on a route where another run
/// is not allowed, and against events that are missing or repeated where it is.
#[gtest]
#[tokio::test]
async fn slow_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    for (route, id) in [("once", "s-1"), ("stream", "s-2")] {
        for runner in &harness.runners {
            runner.queue_faults(&[Fault::PauseAfter(3)]);
        }
        let reply = harness.stream(0, route, id, 6).await?;
        expect_that!(reply.text(), eq(&text(6)), "{route}");
    }
    Ok(())
}
