//! Guards against jobs that are accepted twice, lost, or accepted with a broken input.

mod durable;

use bytes::Bytes;
use cyclamengrade_caller::{
    Kind,
    backend::{JobState, Submission},
};
use durable::{CLIENT, Platform, input, submission};
use googletest::prelude::*;

#[allow(clippy::unwrap_used)]
async fn refused(input: impl Into<Bytes>) -> (Kind, bool, String) {
    let platform = Platform::new();
    let submission = Submission { input: input.into(), ..submission("k", 1) };
    let failure = platform.jobs().submit(submission).await.unwrap_err();
    assert!(platform.table.memory.rows("").is_empty(), "a refused job left rows behind");
    assert!(platform.objects.keys().is_empty(), "a refused job left objects behind");
    (failure.kind, failure.not_run, failure.message)
}

#[gtest]
#[tokio::test]
async fn broken_input() {
    let good = r#"{"id":"a","prompt":"p","max_tokens":4}"#;
    let cases: Vec<(Vec<u8>, Kind, &str)> = vec![
        (vec![], Kind::Invalid, "no items"),
        (b"{\"id\": \xff}".to_vec(), Kind::Invalid, "not UTF-8 from byte 7"),
        (format!("{good}\nnot json\n").into(), Kind::Invalid, "line 2 is not an item"),
        (format!("{good}\n{good}\n").into(), Kind::Invalid, "line 2 repeats the item id \"a\""),
        (good.replace("\"a\"", "\"\"").into(), Kind::Invalid, "empty id"),
        (good.replace('4', "0").into(), Kind::Invalid, "max_tokens"),
        (good.replace("\"id\"", "\"x\":1,\"id\"").into(), Kind::Invalid, "unknown field"),
        (format!("{good}\n\n").into(), Kind::Invalid, "line 2"),
        (input(1001).to_vec(), Kind::TooLarge, "more than 1000 items"),
    ];
    for (content, kind, message) in cases {
        let (found, not_run, text) = refused(content).await;
        expect_that!(found, eq(kind), "{message}");
        expect_that!(not_run, is_true(), "{message}");
        expect_that!(text, contains_substring(message));
    }
}

#[gtest]
#[tokio::test]
async fn wrong_target() {
    let platform = Platform::new();
    for (deployment, kind) in [("absent", Kind::NotFound), ("print-relay", Kind::Invalid)] {
        let wrong = Submission { deployment: deployment.into(), ..submission("k", 1) };
        let failure = platform.jobs().submit(wrong).await.unwrap_err();
        expect_that!((failure.kind, failure.not_run), eq((kind, true)));
    }
    let failure = platform.jobs().submit(submission("", 1)).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Invalid, true)));
}

#[gtest]
#[tokio::test]
async fn same_key() {
    let platform = Platform::new();
    let first = platform.submit("k", 20).await;
    let again = platform.submit("k", 20).await;
    expect_that!(again.id, eq(&first.id));
    expect_that!(first.state, eq(JobState::Open));
    let other = platform.jobs().submit(submission("k", 21)).await.unwrap_err();
    expect_that!((other.kind, other.not_run), eq((Kind::Conflict, true)));
    expect_that!(platform.submit("other", 20).await.id, not(eq(&first.id)));
    expect_that!(platform.table.memory.rows("job/"), len(eq(2)));
}

/// Two daemons accept the same submission at the same time.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_time() {
    let platform = Platform::new();
    let submits: Vec<_> = (0..16)
        .map(|_| {
            let jobs = platform.jobs();
            tokio::spawn(async move { jobs.submit(submission("k", 50)).await.unwrap().id })
        })
        .collect();
    let mut ids = Vec::new();
    for submit in submits {
        ids.push(submit.await.unwrap());
    }
    ids.dedup();
    expect_that!(ids, len(eq(1)));
    expect_that!(platform.table.memory.rows("job/"), len(eq(1)));
    expect_that!(platform.table.memory.rows("open/"), len(eq(1)));
}

/// The platform creates the job, but its reply is lost.
#[gtest]
#[tokio::test]
async fn lost_reply() {
    let platform = Platform::new();
    platform.table.lose(0);
    let first = platform.submit("k", 20).await;
    expect_that!(platform.table.memory.rows("job/"), len(eq(1)));
    expect_that!(platform.submit("k", 20).await.id, eq(&first.id));
    // An input object was written, but the reply was lost.
    platform.objects.faults().set_lose_replies(1);
    platform.submit("l", 20).await;
    expect_that!(platform.table.memory.rows("job/"), len(eq(2)));
}

/// The submission must be refused as not run, and must truly leave no job.
#[gtest]
#[tokio::test]
async fn platform_down() {
    let platform = Platform::new();
    platform.table.memory.faults().set_down(true);
    let failure = platform.jobs().submit(submission("k", 3)).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Unavailable, true)));
    expect_that!(failure.retry_after, some(anything()));
    platform.table.memory.faults().set_down(false);
    platform.objects.faults().set_down(true);
    let failure = platform.jobs().submit(submission("k", 3)).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Unavailable, true)));
    expect_that!(platform.table.memory.rows(""), is_empty());
}

/// When every reply is lost, the caller must not be told that the job does not exist.
#[gtest]
#[tokio::test]
async fn unknown_outcome() {
    let platform = Platform::new();
    let jobs = platform.jobs();
    platform.table.memory.faults().set_lose_replies(1);
    let table = platform.table.clone();
    let lost = tokio::spawn(async move { jobs.submit(submission("k", 3)).await });
    durable::eventually(async || (!table.memory.rows("job/").is_empty()).then_some(())).await;
    platform.table.memory.faults().set_down(true);
    let outcome = lost.await.unwrap();
    platform.table.memory.faults().set_down(false);
    // Either the read that resolves the lost reply came through, or the outcome stays unknown.
    match outcome {
        Ok(job) => expect_that!(job.state, eq(JobState::Open)),
        Err(failure) => expect_that!(failure.not_run, is_false()),
    }
    expect_that!(platform.jobs().submit(submission("k", 3)).await, ok(anything()));
}

/// Another client must neither see nor cancel the job.
#[gtest]
#[tokio::test]
async fn other_client() {
    let platform = Platform::new();
    let job = platform.submit("k", 3).await;
    let jobs = platform.jobs();
    expect_that!(jobs.job("tessiture", &job.id).await.unwrap_err().kind, eq(Kind::NotFound));
    expect_that!(jobs.results("tessiture", &job.id).await.is_err(), is_true());
    expect_that!(jobs.cancel("tessiture", &job.id).await.unwrap_err().kind, eq(Kind::NotFound));
    expect_that!(jobs.cancel(CLIENT, &job.id).await.unwrap().state, eq(JobState::Cancelled));
    expect_that!(jobs.cancel(CLIENT, &job.id).await.unwrap().state, eq(JobState::Cancelled));
}
