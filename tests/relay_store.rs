//! Tests of faults of the store and of crashes of the relays that own jobs.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Faults, Harness};
use googletest::prelude::*;

/// Guards against losing a job when the relay that accepted it crashes, and against results that
/// are listed twice.
#[gtest]
#[tokio::test]
async fn killed_owner() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    let (job, status) = harness.submit(0, "j-1", 6, 60).await?;
    expect_that!(status, eq(202));
    harness.kill_relay(0)?;
    let results = harness.await_results(1, &job).await?;
    let mut items: Vec<&str> = results.iter().filter_map(|result| result["Id"].as_str()).collect();
    items.sort_unstable();
    verify_that!(items, eq(&job.items.iter().map(String::as_str).collect::<Vec<_>>()))
}

/// Guards against restarting an item from the beginning although part of its text is stored.
#[gtest]
#[tokio::test]
async fn saved_text() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    let (job, _) = harness.submit(0, "j-1", 1, 500).await?;
    harness
        .eventually("a stored text", async || {
            (!harness.store.keys("partials").is_empty()).then_some(())
        })
        .await?;
    harness.kill_relay(0)?;
    harness.await_results(1, &job).await?;
    let resumed: Vec<u64> = harness
        .runners
        .iter()
        .flat_map(|runner| runner.runs())
        .filter_map(|run| run.after)
        .collect();
    verify_that!(resumed, contains(ge(&30)))
}

/// Guards against a job that no relay runs because the reply to the write that stored it was lost.
#[gtest]
#[tokio::test]
async fn lost_replies() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.store.set_faults(Faults { lost_replies: 2, ..Faults::default() });
    let (job, status) = harness.submit(0, "j-1", 2, 5).await?;
    expect_that!(status, eq(202).or(ge(500)));
    let (_, status) = harness.submit(1, "j-1", 2, 5).await?;
    expect_that!(status, eq(202));
    verify_that!(harness.await_results(0, &job).await?.len(), eq(2))
}

/// Guards against a job that is stored twice, or whose results change, when the first write takes
/// effect after its retry.
#[gtest]
#[tokio::test]
async fn late_write() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.store.set_faults(Faults { late_transactions: 1, ..Faults::default() });
    let (job, status) = harness.submit(0, "j-1", 2, 3).await?;
    expect_that!(status, eq(202));
    let before = harness.await_results(0, &job).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    verify_that!(harness.await_results(0, &job).await?, eq(&before))
}

/// Guards against online requests that fail while the store refuses calls, against an answer that a
/// job is unknown while the store cannot tell, and against accepting a job without storing it.
#[gtest]
#[tokio::test]
async fn refusing_store() -> Result<()> {
    let harness = Harness::start(1).await?;
    let (job, _) = harness.submit(0, "j-1", 2, 5).await?;
    harness.await_results(0, &job).await?;
    harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
    for number in 0..5 {
        let reply = harness.stream(0, "stream", &format!("s-{number}"), 3).await?;
        expect_that!(reply.status, eq(200));
    }
    expect_that!(harness.submit(0, "j-2", 1, 1).await?.1, eq(503));
    expect_that!(harness.results(0, "unknown", 0).await?.status, eq(503));
    harness.store.set_faults(Faults::default());
    let (job, status) = harness.submit(0, "j-2", 1, 1).await?;
    expect_that!(status, eq(202));
    verify_that!(harness.await_results(0, &job).await?.len(), eq(1))
}

/// Guards against a relay that waits without end for a store that stopped answering.
#[gtest]
#[tokio::test]
async fn silent_store() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    harness.store.set_faults(Faults { silent: true, ..Faults::default() });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    harness.store.set_faults(Faults::default());
    harness.configure(serde_json::json!([{
        "Name": "added", "Host": "calls.example", "PathPrefix": "/added/", "Kind": "safe",
        "TimeoutMs": 5_000, "TargetLatencyMs": 400, "MaxAttempts": 2, "Service": "plain"
    }]));
    harness
        .eventually("the added route", async || {
            let reply = harness.send(harness.call(0, "added", "r-1")).await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await?;
    verify_that!(harness.events(0, "feed_lost").len(), ge(1))
}

/// Guards against rows and objects of finished jobs that are never deleted, and against jobs that
/// are deleted before their retention period ends.
#[gtest]
#[tokio::test]
async fn old_jobs() -> Result<()> {
    let harness = Harness::start(2).await?;
    let (kept, _) = harness.submit(0, "kept", 2, 3).await?;
    harness.await_results(0, &kept).await?;
    let (job, _) = harness.submit_to(1, "brief", "old", 2, 3).await?;
    harness.await_results(1, &job).await?;
    harness
        .eventually("the deletion of the job", async || {
            let objects = harness.store.objects();
            (!objects.iter().any(|object| object.contains("old"))).then_some(())
        })
        .await?;
    harness
        .eventually("the answer that there is no such job", async || {
            let reply = harness.results(0, "old", 0).await.ok()?;
            (reply.status == 404).then_some(())
        })
        .await?;
    for table in ["results", "partials", "fleet", "failures"] {
        let keys = harness.store.keys(table);
        expect_that!(keys.iter().any(|key| key.contains("old")), eq(false), "{table}: {keys:?}");
    }
    verify_that!(harness.await_results(1, &kept).await?.len(), eq(2))
}

/// Guards against a shutdown that accepts requests until the end of its grace period and then cuts
/// them off, because the handover of jobs waits for a silent store.
#[gtest]
#[tokio::test]
async fn stop_without_store() -> Result<()> {
    let harness = Harness::start(1).await?;
    for job in ["j-1", "j-2", "j-3"] {
        harness.submit(0, job, 1, 900).await?;
    }
    harness.store.set_faults(Faults { silent: true, ..Faults::default() });
    harness.terminate_relay(0)?;
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    // A new client has no open connection.
    let client = cyclamengrade_standins::client::Client::new();
    let reply = client.send(harness.call(0, "safe", "r-1")).await;
    verify_that!(reply.is_err(), eq(true))
}

/// Guards against losing jobs or results when all relays crash.
#[gtest]
#[tokio::test]
async fn all_killed() -> Result<()> {
    let mut harness = Harness::start(2).await?;
    let (job, _) = harness.submit(0, "j-1", 4, 40).await?;
    for relay in 0..2 {
        harness.kill_relay(relay)?;
    }
    for relay in 0..2 {
        harness.start_relay(relay)?;
    }
    for relay in 0..2 {
        harness.await_ready(relay).await?;
    }
    let first = harness.await_results(0, &job).await?;
    verify_that!(harness.await_results(1, &job).await?, eq(&first))
}

/// Guards against a relay that reports ready before it has read its configuration.
#[gtest]
#[tokio::test]
async fn start_without_store() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    harness.kill_relay(0)?;
    harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
    harness.start_relay(0)?;
    harness.eventually("the relay listens", async || harness.readiness(0).await).await?;
    expect_that!(harness.readiness(0).await, some(eq(503)));
    expect_that!(harness.send(harness.call(0, "safe", "r-1")).await?.status, eq(503));
    harness.store.set_faults(Faults::default());
    harness.await_ready(0).await?;
    verify_that!(harness.send(harness.call(0, "safe", "r-2")).await?.status, eq(200))
}

/// Guards against a relay that takes the jobs of another one over as soon as the store is back after an
/// outage, because both were disconnected from it, and has all items run again.
#[gtest]
#[tokio::test]
async fn long_outage() -> Result<()> {
    let harness = Harness::start(2).await?;
    let mut jobs = Vec::new();
    // Each relay would take some of them over.
    for number in 0..8 {
        let (job, status) = harness.submit(number % 2, &format!("j-{number}"), 1, 10).await?;
        expect_that!(status, eq(202));
        jobs.push(job);
    }
    harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
    // Longer than the time after which the jobs of a relay that is cut from the store go to others.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    harness.store.set_faults(Faults::default());
    for job in &jobs {
        harness.await_results(0, job).await?;
    }
    let owned: usize = (0..2).map(|relay| harness.events(relay, "job_owned").len()).sum();
    expect_that!(owned, eq(jobs.len()));
    let runs: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
    verify_that!(runs, eq(jobs.len()))
}

/// Guards against items that run twice because their relay shuts down during an outage of the
/// store, when their results are ready but not stored.
#[gtest]
#[tokio::test]
async fn ready_results() -> Result<()> {
    let harness = Harness::start(2).await?;
    let (job, status) = harness.submit(0, "j-1", 4, 40).await?;
    expect_that!(status, eq(202));
    harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
    harness
        .eventually("complete items", async || {
            (harness.events(0, "item_completed").len() == 4).then_some(())
        })
        .await?;
    harness.terminate_relay(0)?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    harness.store.set_faults(Faults::default());
    harness.await_results(1, &job).await?;
    let runs: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
    let names = ["job_owned", "job_released", "results_listed", "results_waiting", "member_joined"];
    let log = [0, 1].map(|relay| names.map(|name| harness.events(relay, name)));
    expect_that!(runs, eq(4), "{log:#?}");
    Ok(())
}

/// Guards against a store call by every relay for every change of every job; changes are read in
/// batches.
#[gtest]
#[tokio::test]
async fn gathered_changes() -> Result<()> {
    let harness = Harness::start(3).await?;
    let started = std::time::Instant::now();
    let before = harness.store.calls();
    for number in 0..40 {
        harness.submit(number % 3, &format!("j-{number}"), 1, 2).await?;
    }
    let last = harness.submit(0, "last", 1, 2).await?.0;
    harness.await_results(1, &last).await?;
    let calls = (harness.store.calls() - before) as f64;
    // Each job needs calls for its object, its row and its result. Each relay reads the changes of
    // each of its tables at most five times a second, and one relay is polled for results.
    let max_calls = 41.0 * 4.0 + 3.0 * 3.0 * 5.0 * (started.elapsed().as_secs_f64() + 0.5);
    verify_that!(calls, le(max_calls))
}
