//! Responses of sound upstreams that are quiet for longer than the silence timeout and go on.

use std::time::{Duration, Instant};

use cyclamengrade_standins::{
    bridge::{Fault, Harness, Runner},
    client::Reply,
    fleet::Error,
};
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::json;
use tokio::time::{sleep, timeout};

/// Slots of each upstream.
const SLOTS: usize = 8;
/// Events of each stream.
const EVENTS: u64 = 40;
/// Longer than the silence timeout, and shorter than callers wait for the next event.
const QUIET: Duration = Duration::from_millis(1_500);
/// Longer than a batch item is silent before another upstream is sought.
const LONG_QUIET: Duration = Duration::from_millis(2_500);
/// Longer than a stream is silent before another upstream is sought, by less than [`LATE`].
const BRIEFLY_QUIET: Duration = Duration::from_millis(900);
/// Time after which the next upstream responds to a stream that it may take over.
const LATE: Duration = Duration::from_millis(250);
/// Time for which two upstreams may work on one request.
const OVERLAP: Duration = Duration::from_millis(400);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(4);

fn text(events: u64) -> String {
    (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

/// Lets the next responses of an upstream be quiet after their tenth event.
fn quieten(runner: &Runner, responses: usize, quiet: Duration) {
    runner.queue_faults(&vec![Fault::QuietAfter(10, quiet); responses]);
}

/// Requests streams at the same time and reads them to their ends. Returns those without a whole answer.
async fn incomplete(harness: &Harness, count: usize) -> Vec<String> {
    let streams = (0..count).map(async |number| {
        let id = format!("s-{number}");
        let reply = harness.stream(number % harness.relays(), "stream", &id, EVENTS).await;
        match reply {
            Ok(Reply { status: 200, .. }) => {
                let is_whole = reply.is_ok_and(|reply| reply.text() == text(EVENTS));
                (!is_whole).then(|| format!("{id}: another text"))
            }
            Ok(reply) => Some(format!("{id}: status {}", reply.status)),
            Err(error) => Some(format!("{id}: {error}")),
        }
    });
    join_all(streams).await.into_iter().flatten().collect()
}

fn runs(harness: &Harness) -> usize {
    harness.runners.iter().map(|runner| runner.runs().len()).sum()
}

/// Guards against a stream that is cut because its upstream is quiet and no other one has a free slot.
#[gtest]
#[tokio::test]
async fn full_upstreams() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners.iter().for_each(|runner| quieten(runner, 2 * SLOTS, QUIET));
    expect_that!(incomplete(&harness, 2 * SLOTS).await, is_empty());
    verify_that!(runs(&harness), eq(2 * SLOTS))
}

/// Guards against a stream that is cut because its upstream is quiet and no other one has its software
/// version, as around a release.
#[gtest]
#[tokio::test]
async fn last_version() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let newer = harness.add_runner("m-3", "v2", "a").await?;
    harness.list(&newer, 0).await?;
    let older = harness.runners[1].clone();
    harness.unlist(&older, 0).await?;
    let streams = async {
        quieten(&harness.runners[0], SLOTS, QUIET);
        let replies = (0..4).map(async |number| {
            let id = format!("s-{number}");
            let reply = harness.stream(0, "stream", &id, EVENTS).await;
            reply.err().map(|error| format!("{id}: {error}"))
        });
        join_all(replies).await.into_iter().flatten().collect::<Vec<_>>()
    };
    expect_that!(streams.await, is_empty());
    // Otherwise no stream was at the older version.
    verify_that!(harness.runners[0].runs(), not(is_empty()))
}

/// Guards against streams that are cut or run again because the relay itself got no processor time, and
/// takes that for silence of its upstreams.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_relay() -> Result<()> {
    let harness = Harness::start(1).await?;
    for round in 0..4 {
        let pause = async {
            sleep(Duration::from_millis(100)).await;
            harness.pause_relay(0)?;
            sleep(Duration::from_millis(1_200)).await;
            harness.resume_relay(0)?;
            std::result::Result::<(), Error>::Ok(())
        };
        let before = runs(&harness);
        let (incomplete, paused) = tokio::join!(incomplete(&harness, 6), pause);
        paused?;
        expect_that!(incomplete, is_empty(), "round {round}");
        expect_that!(runs(&harness) - before, eq(6), "round {round}");
    }
    Ok(())
}

/// Guards against a request that is given up at the only upstream of its service, which answers slowly.
#[gtest]
#[tokio::test]
async fn slow_service() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.plain.queue_faults(&[Fault::QuietAfter(0, QUIET); 8]);
    let replies = (0..4).map(async |number| {
        let reply = harness.send(harness.call(0, "safe", &format!("p-{number}"))).await;
        reply.map(|reply| reply.status).unwrap_or(0)
    });
    expect_that!(join_all(replies).await, each(eq(&200)));
    verify_that!(harness.plain.runs().len(), eq(4))
}

/// Guards against batch items that start over and over, because upstreams that are all full are quiet in
/// each run.
#[gtest]
#[tokio::test]
async fn quiet_items() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners.iter().for_each(|runner| quieten(runner, 2 * SLOTS, LONG_QUIET));
    let (job, status) = harness.submit(0, "j-1", 2 * SLOTS, 30).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(0, &job).await?;
    expect_that!(Harness::complete_items(&results, 30), len(eq(2 * SLOTS)));
    verify_that!(runs(&harness), eq(2 * SLOTS))
}

/// Guards against a caller that waits beyond the deadline for an upstream which never goes on, while no
/// other one has a free slot.
#[gtest]
#[tokio::test]
async fn deadline_met() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners.iter().for_each(|runner| quieten(runner, 2 * SLOTS, DEADLINE * 3));
    harness.plain.queue_faults(&[Fault::Silent; 2]);
    let begin = Instant::now();
    let plain = async {
        let reply = harness.send(harness.call(0, "safe", "p-1")).await;
        reply.map(|reply| reply.status).unwrap_or(0)
    };
    let (incomplete, status) = tokio::join!(incomplete(&harness, 2 * SLOTS), plain);
    expect_that!(incomplete, len(eq(2 * SLOTS)));
    expect_that!(status, eq(504));
    verify_that!(begin.elapsed(), lt(DEADLINE + Duration::from_millis(500)))
}

/// Guards against a stream that is cut because the upstream which was to take it over refuses it, while the
/// one that was given up goes on to serve.
#[gtest]
#[tokio::test]
async fn refused_successor() -> Result<()> {
    let harness = Harness::start(1).await?;
    let other = harness.runners[1].clone();
    harness.unlist(&other, 0).await?;
    quieten(&harness.runners[0], 1, QUIET);
    let listing = async {
        sleep(Duration::from_millis(150)).await;
        other.queue_faults(&[Fault::NotRun; 40]);
        harness.list(&other, 0).await
    };
    let (incomplete, listed) = tokio::join!(incomplete(&harness, 1), listing);
    listed?;
    expect_that!(incomplete, is_empty());
    // Otherwise no other upstream was to take it over.
    verify_that!(harness.events(0, "attempt_failed"), not(is_empty()))
}

/// Guards against a quiet stream that is given up although it cannot be resumed without the ids of its events.
#[gtest]
#[tokio::test]
async fn unnumbered_events() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners.iter().for_each(|runner| runner.queue_faults(&[Fault::PauseUnnumbered(10)]));
    let reply = harness.stream(0, "stream", "s-1", EVENTS).await?;
    verify_that!(reply.text().matches("data: ").count(), eq(EVENTS as usize))
}

/// Guards against a silent batch item that starts again at a service to which its route no longer leads.
#[gtest]
#[tokio::test]
async fn moved_item() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let (silent, other) = (harness.runners[0].clone(), harness.runners[1].clone());
    harness.unlist(&other, 0).await?;
    quieten(&silent, 1, DEADLINE * 5);
    let (_, status) = harness.submit(0, "j-1", 1, 30).await?;
    expect_that!(status, eq(202));
    sleep(Duration::from_millis(500)).await;
    harness.configure_route(
        "batch",
        &json!({
            "Name": "batch", "Host": "calls.example", "PathPrefix": "/batch/", "Kind": "batch",
            "TimeoutMs": 5_000, "TargetLatencyMs": 400, "Priority": 0, "MaxAttempts": 2,
            "Service": "plain", "CompletionTargetMs": 18_000, "RetentionS": 60
        }),
    );
    sleep(Duration::from_millis(500)).await;
    harness.list(&other, 0).await?;
    sleep(Duration::from_secs(7)).await;
    expect_that!(silent.runs(), len(eq(1)));
    verify_that!(other.runs(), is_empty())
}

/// Guards against a batch item that waits for an upstream which hangs and is gone from the list, because no
/// other one has the software that began its text.
#[gtest]
#[tokio::test]
async fn hung_item() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let newer = harness.add_runner("m-3", "v2", "a").await?;
    let (hung, other) = (harness.runners[0].clone(), harness.runners[1].clone());
    harness.unlist(&other, 0).await?;
    quieten(&hung, 1, DEADLINE * 20);
    let (job, status) = harness.submit(0, "j-1", 1, 30).await?;
    expect_that!(status, eq(202));
    let begin = Instant::now();
    sleep(Duration::from_millis(500)).await;
    harness.list(&newer, 0).await?;
    harness.unlist(&hung, 0).await?;
    harness.await_results(0, &job).await?;
    expect_that!(newer.runs(), len(eq(1)));
    // As long as a run whose upstream is still listed may be silent.
    verify_that!(begin.elapsed(), lt(Duration::from_secs(6)))
}

/// Guards against requests that get no answer, because a relay which is short of processor time takes the
/// silence of a broker for its own pause each time.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starved_relay() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.pause_relay(1)?;
    let requests = join_all((0..16).map(async |number| {
        let call = harness.call(0, "safe", &format!("p-{number}"));
        timeout(DEADLINE * 2, harness.send(call)).await.is_ok_and(|reply| reply.is_ok())
    }));
    let starve = async {
        loop {
            let stopped = harness.pause_relay(0);
            sleep(Duration::from_millis(92)).await;
            let resumed = harness.resume_relay(0);
            if stopped.and(resumed).is_err() {
                return;
            }
            sleep(Duration::from_millis(8)).await;
        }
    };
    let answered = tokio::select! {
        answered = requests => answered,
        () = starve => Vec::new(),
    };
    harness.resume_relay(0)?;
    harness.resume_relay(1)?;
    expect_that!(answered, len(eq(16)));
    verify_that!(answered, each(eq(&true)))
}

/// Guards against a stream that is cut because its upstream is given up for one that refuses it, while no
/// other upstream accepts work, as around a release.
#[gtest]
#[tokio::test]
async fn full_successor() -> Result<()> {
    let harness = Harness::start(1).await?;
    let (silent, full) = (harness.runners[0].clone(), harness.runners[1].clone());
    harness.unlist(&full, 0).await?;
    quieten(&silent, 1, QUIET);
    full.queue_faults(&[Fault::NotRun; 400]);
    let listing = async {
        sleep(Duration::from_millis(150)).await;
        harness.list(&full, 0).await?;
        harness.unlist(&silent, 0).await
    };
    let begin = Instant::now();
    let (incomplete, listed) = tokio::join!(incomplete(&harness, 1), listing);
    listed?;
    expect_that!(incomplete, is_empty());
    expect_that!(silent.runs(), len(eq(1)));
    expect_that!(begin.elapsed(), lt(DEADLINE));
    // Otherwise the other upstream did not refuse it.
    verify_that!(harness.events(0, "attempt_failed"), not(is_empty()))
}

/// Requests a stream from an upstream that is quiet for a time after its tenth event. Another one, which is
/// listed meanwhile, responds with a fault. Returns the first upstream, the other one and whether the stream was
/// incomplete.
async fn taken_over(
    harness: &Harness,
    quiet: Duration,
    fault: Fault,
) -> Result<(Runner, Runner, Vec<String>)> {
    let (silent, other) = (harness.runners[0].clone(), harness.runners[1].clone());
    harness.unlist(&other, 0).await?;
    quieten(&silent, 1, quiet);
    other.queue_faults(&[fault]);
    let listing = async {
        sleep(Duration::from_millis(150)).await;
        harness.list(&other, 0).await
    };
    let (incomplete, listed) = tokio::join!(incomplete(harness, 1), listing);
    listed?;
    Ok((silent, other, incomplete))
}

/// Returns the time for which the first run of an upstream went on after the first one of another upstream began.
fn overlap(earlier: &Runner, later: &Runner) -> Duration {
    let ended = earlier.runs()[0].ended.map_or_else(Instant::now, |(ended, _)| ended);
    ended.saturating_duration_since(later.runs()[0].started)
}

/// Guards against events that reach the caller twice or not at all, because the silent upstream goes on while
/// the next one has not responded yet.
#[gtest]
#[tokio::test]
async fn late_head() -> Result<()> {
    let harness = Harness::start(1).await?;
    let fault = Fault::LateHead(LATE);
    let (silent, other, incomplete) = taken_over(&harness, BRIEFLY_QUIET, fault).await?;
    expect_that!(incomplete, is_empty());
    expect_that!(silent.runs(), len(eq(1)));
    expect_that!(other.runs(), len(eq(1)));
    expect_that!(other.runs()[0].after, some(eq(10)));
    // A shorter one shows that the silent run was given up before the other upstream accepted the request.
    verify_that!(overlap(&silent, &other), all!(ge(LATE), lt(OVERLAP)))
}

/// Guards against the loss of events that arrive from the silent upstream before the next one refuses.
#[gtest]
#[tokio::test]
async fn late_refusal() -> Result<()> {
    let harness = Harness::start(1).await?;
    let fault = Fault::LateNotRun(LATE);
    let (silent, other, incomplete) = taken_over(&harness, BRIEFLY_QUIET, fault).await?;
    expect_that!(incomplete, is_empty());
    expect_that!(silent.runs(), len(eq(1)));
    expect_that!(other.runs(), is_empty());
    // Otherwise the other upstream was not asked.
    verify_that!(harness.events(0, "attempt_failed"), len(eq(1)))
}

/// Guards against two upstreams that work on one request for longer than they may, because the next one sends
/// no response.
#[gtest]
#[tokio::test]
async fn missing_head() -> Result<()> {
    let harness = Harness::start(1).await?;
    let (silent, other, _) = taken_over(&harness, DEADLINE * 3, Fault::Silent).await?;
    expect_that!(silent.runs(), len(eq(1)));
    expect_that!(other.runs(), len(eq(1)));
    verify_that!(overlap(&silent, &other), all!(gt(LATE), lt(OVERLAP)))
}

/// Guards against a stream that runs at more upstreams than its route allows, because the attempt beside the
/// silent one is not counted.
#[gtest]
#[tokio::test]
async fn failed_successor() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let third = harness.add_runner("m-3", "v1", "a").await?;
    let (silent, other) = (harness.runners[0].clone(), harness.runners[1].clone());
    harness.unlist(&other, 0).await?;
    quieten(&silent, 1, QUIET);
    for runner in [&other, &third] {
        runner.queue_faults(&[Fault::WrongId; 4]);
    }
    let listing = async {
        sleep(Duration::from_millis(150)).await;
        harness.list(&other, 0).await?;
        harness.list(&third, 0).await
    };
    let (incomplete, listed) = tokio::join!(incomplete(&harness, 1), listing);
    listed?;
    expect_that!(incomplete, is_empty());
    expect_that!(silent.runs(), len(eq(1)));
    verify_that!(other.runs().len() + third.runs().len(), eq(1))
}

/// Guards against a batch item whose run is given up for an upstream that refuses it.
#[gtest]
#[tokio::test]
async fn refused_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    let (silent, full) = (harness.runners[0].clone(), harness.runners[1].clone());
    harness.unlist(&full, 0).await?;
    quieten(&silent, 1, LONG_QUIET);
    full.queue_faults(&[Fault::NotRun; 400]);
    let (job, status) = harness.submit(0, "j-1", 1, 30).await?;
    expect_that!(status, eq(202));
    harness.eventually("the run", async || silent.runs().first().map(drop)).await?;
    harness.list(&full, 0).await?;
    let results = harness.await_results(0, &job).await?;
    expect_that!(Harness::complete_items(&results, 30), len(eq(1)));
    expect_that!(silent.runs(), len(eq(1)));
    expect_that!(full.runs(), is_empty());
    // Otherwise the other upstream did not refuse it.
    verify_that!(harness.events(0, "attempt_failed"), not(is_empty()))
}
