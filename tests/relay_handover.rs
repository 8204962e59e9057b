//! Tests of batch jobs whose owner loses the store, while another relay has it.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Faults, Harness, Run};
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

/// Time in which the relays learn of each other.
const CONTACT_TIME: Duration = Duration::from_secs(2);
/// Time within which the results of a job are due, see the routes of the harness.
const DUE_TIME: Duration = Duration::from_secs(18);

fn runs(harness: &Harness) -> Vec<Run> {
    harness.runners.iter().flat_map(|runner| runner.runs()).collect()
}

/// Guards against items that run again, and are listed late, although the owner finished them while the
/// store refused it.
#[gtest]
#[tokio::test]
async fn finished_items() -> Result<()> {
    let harness = Harness::start_linked(3).await?;
    sleep(CONTACT_TIME).await;
    let (job, status) = harness.submit(0, "j-1", 4, 60).await?;
    expect_that!(status, eq(202));
    harness.refuse_relay(0, true);
    let results = harness.await_results(1, &job).await?;
    expect_that!(Harness::complete_items(&results, 60).len(), eq(4));
    expect_that!(runs(&harness).len(), eq(4));
    harness.refuse_relay(0, false);
    sleep(Duration::from_secs(2)).await;
    verify_that!(harness.await_results(0, &job).await?, eq(&results))
}

/// Guards against an owner without the store that goes on with the items of a job that was taken over, and
/// against the loss of the texts that it has not stored.
#[gtest]
#[tokio::test]
async fn unfinished_items() -> Result<()> {
    let harness = Harness::start_linked(3).await?;
    sleep(CONTACT_TIME).await;
    let submitted = Instant::now();
    let (job, status) = harness.submit(0, "j-1", 2, 900).await?;
    expect_that!(status, eq(202));
    harness.refuse_relay(0, true);
    harness
        .eventually("the release of the job", async || {
            (!harness.events(0, "job_released").is_empty()).then_some(())
        })
        .await?;
    let results = harness.await_results(1, &job).await?;
    expect_that!(submitted.elapsed(), lt(DUE_TIME));
    expect_that!(Harness::complete_items(&results, 900).len(), eq(2));
    let resumed: Vec<u64> = runs(&harness).iter().filter_map(|run| run.after).collect();
    expect_that!(resumed, each(ge(&200)));
    verify_that!(resumed.len(), eq(2))
}

/// Length of an outage that ends before the job is due.
const OUTAGE: Duration = Duration::from_secs(12);
/// Items of a job that takes 7 s at the 16 slots of the runners.
const LOADED_ITEMS: usize = 32;
const LOADED_EVENTS: u64 = 400;

/// Guards against items that are listed late because two relays run the items of a job, and the new owner
/// runs again what the former one had written: the job takes less than half of its time, and its owner, which
/// is a monitor, loses the store for 12 s right after it accepted the job.
#[gtest]
#[tokio::test]
async fn loaded_runners() -> Result<()> {
    let harness = Harness::start_linked(3).await?;
    sleep(CONTACT_TIME).await;
    let submitted = Instant::now();
    let (job, status) = harness.submit(0, "j-1", LOADED_ITEMS, LOADED_EVENTS).await?;
    expect_that!(status, eq(202));
    harness.refuse_relay(0, true);
    let results = harness.await_results(1, &job).await?;
    expect_that!(submitted.elapsed(), lt(OUTAGE));
    expect_that!(Harness::complete_items(&results, LOADED_EVENTS).len(), eq(LOADED_ITEMS));
    let begun = runs(&harness).into_iter().filter(|run| run.after.is_none()).count();
    verify_that!(begun, eq(LOADED_ITEMS))
}

/// Guards against a takeover while the store is lost for all, and against an owner that stops its runs then.
#[gtest]
#[tokio::test]
async fn store_lost_for_all() -> Result<()> {
    let harness = Harness::start_linked(3).await?;
    sleep(CONTACT_TIME).await;
    let (job, status) = harness.submit(0, "j-1", 2, 300).await?;
    expect_that!(status, eq(202));
    harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
    sleep(Duration::from_secs(6)).await;
    harness.store.set_faults(Faults::default());
    let results = harness.await_results(1, &job).await?;
    expect_that!(Harness::complete_items(&results, 300).len(), eq(2));
    expect_that!(runs(&harness).len(), eq(2));
    for relay in 1..3 {
        expect_that!(harness.events(relay, "job_owned"), is_empty());
    }
    verify_that!(harness.events(0, "job_owned").len(), eq(1))
}

/// Time within which a job stops after its caller has ended it.
const STOP_TIME: Duration = Duration::from_secs(3);

/// Guards against an owner that does not learn from the store that a caller has ended the job at another relay,
/// and goes on with its items until it reaches the store again.
#[gtest]
#[tokio::test]
async fn ended_job() -> Result<()> {
    let harness = Harness::start_linked(3).await?;
    sleep(CONTACT_TIME).await;
    harness.submit(0, "j-1", 2, 2_000).await?;
    harness
        .eventually("runs of the job", async || (runs(&harness).len() >= 2).then_some(()))
        .await?;
    harness.refuse_relay(0, true);
    sleep(Duration::from_millis(300)).await;
    expect_that!(harness.end_job(1, "j-1").await?.status, eq(200));
    sleep(STOP_TIME).await;
    let released = harness.events(0, "job_released");
    expect_that!(released.len(), eq(1));
    verify_that!(runs(&harness).len(), eq(2))
}
