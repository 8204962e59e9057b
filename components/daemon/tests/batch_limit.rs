//! Limit on the open jobs of a client: guards against jobs accepted beyond the limit, and against
//! refusals below it.
#![allow(clippy::unwrap_used)]

mod durable;

use cyclamengrade_caller::{Kind, backend::JobState};
use cyclamengrade_configuration::Limit;
use durable::{CLIENT, Platform, Scripted, submission};
use googletest::prelude::*;

fn platform(open_jobs: u32) -> Platform {
    Platform::with_limit(Limit::new().with_open_jobs(open_jobs))
}

/// A job over the limit must be refused as not run and must leave no rows or objects. Resending the
/// submission of an accepted job must still return that job.
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

/// A job must stop counting towards the limit in the same transaction that cancels or completes it.
#[gtest]
#[tokio::test]
async fn closed_jobs_not_counted() {
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

/// Of more concurrent submissions than the limit allows, exactly as many as it allows must be
/// accepted.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_submissions() {
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

/// When the reply to its commit is lost, an accepted job must count once, and neither its submission
/// nor a resent one must be refused.
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

/// A limit of 0 must refuse every job. Without a limit, no row must be written for counting jobs.
#[gtest]
#[tokio::test]
async fn zero_or_no_limit() {
    let failure = platform(0).jobs().submit(submission("a", 3)).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Limited, true)));
    let platform = Platform::new();
    platform.submit("a", 3).await;
    expect_that!(platform.table.memory.rows("client-"), is_empty());
}
