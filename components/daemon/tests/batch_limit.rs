//! Guards against more open jobs than a client may have, and against refusals without need.
#![allow(clippy::unwrap_used)]

mod durable;

use cyclamengrade_caller::{Kind, backend::JobState};
use cyclamengrade_configuration::Limit;
use durable::{CLIENT, Platform, Scripted, submission};
use googletest::prelude::*;

fn platform(open_jobs: u32) -> Platform {
    Platform::with_limit(Limit::new().with_open_jobs(open_jobs))
}

/// A job over the limit must be refused as not run and leave nothing behind, while the same
/// submission again still gives its job.
#[gtest]
#[tokio::test]
async fn over_limit() {
    let platform = platform(2);
    let first = platform.submit("a", 3).await;
    platform.submit("b", 3).await;
    let (rows, objects) = (platform.table.memory.rows(""), platform.objects.keys());
    let failure = platform.jobs().submit(submission("c", 3)).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Limited, true)));
    expect_that!(failure.retry_after, some(anything()));
    expect_that!(platform.table.memory.rows(""), eq(&rows));
    expect_that!(platform.objects.keys(), eq(&objects));
    expect_that!(platform.submit("a", 3).await.id, eq(&first.id));
}

/// A place must be free again after a job was cancelled or completed, in the same transaction.
#[gtest]
#[tokio::test]
async fn place_freed() {
    let platform = platform(1);
    let first = platform.submit("a", 3).await;
    platform.jobs().cancel(CLIENT, &first.id).await.unwrap();
    let second = platform.submit("b", 3).await;
    expect_that!(platform.jobs().submit(submission("c", 3)).await, err(anything()));
    let _daemon = platform.daemon("entry-0", Scripted::immediate(), 3).await;
    platform.wait_for_state(&second.id, JobState::Completed).await;
    expect_that!(platform.table.memory.rows("client-open/"), is_empty());
    platform.submit("c", 3).await;
}

/// Concurrent submissions must not pass the limit together, nor all be refused.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_time() {
    let platform = platform(3);
    let submits: Vec<_> = (0..12)
        .map(|number| {
            let jobs = platform.jobs();
            let submission = submission(&format!("key-{number}"), 5);
            tokio::spawn(async move { jobs.submit(submission).await })
        })
        .collect();
    let mut refused = Vec::new();
    for submit in submits {
        refused.extend(submit.await.unwrap().err().map(|failure| (failure.kind, failure.not_run)));
    }
    expect_that!(refused, eq(&vec![(Kind::Limited, true); 9]));
    expect_that!(platform.table.memory.rows("job/"), len(eq(3)));
    expect_that!(platform.table.memory.rows("client-open/"), len(eq(3)));
}

/// A lost reply must not take a second place or turn the accepted job into a refusal.
#[gtest]
#[tokio::test]
async fn lost_reply() {
    let platform = platform(1);
    platform.table.lose_reply(0);
    let job = platform.submit("a", 3).await;
    expect_that!(job.state, eq(JobState::Open));
    expect_that!(platform.submit("a", 3).await.id, eq(&job.id));
    expect_that!(platform.table.memory.rows("client-open/"), len(eq(1)));
}

/// A limit of zero refuses every job; without a limit no row is written for it.
#[gtest]
#[tokio::test]
async fn zero_and_none() {
    let failure = platform(0).jobs().submit(submission("a", 3)).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Limited, true)));
    let platform = Platform::new();
    platform.submit("a", 3).await;
    expect_that!(platform.table.memory.rows("client-"), is_empty());
}
