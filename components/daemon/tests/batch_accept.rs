//! Guards against jobs that are accepted twice, lost after acceptance, or accepted with an invalid
//! input, also when replies of the platform are lost.

mod durable;

use bytes::Bytes;
use cyclamengrade_caller::{
    Kind,
    backend::{JobState, Submission},
};
use durable::{CLIENT, Platform, input, submission};
use googletest::prelude::*;

/// Submits an input that must be refused, checks that nothing was written, and returns the failure.
#[allow(clippy::unwrap_used)]
async fn refused(input: impl Into<Bytes>) -> (Kind, bool, String) {
    let platform = Platform::new();
    let submission = Submission { input: input.into(), ..submission("k", 1) };
    let failure = platform.jobs().submit(submission).await.unwrap_err();
    assert!(platform.table.memory.rows("").is_empty(), "a refused job left rows in the table");
    assert!(platform.objects.keys().is_empty(), "a refused job left objects in the store");
    (failure.kind, failure.not_run, failure.message)
}

#[gtest]
#[tokio::test]
async fn invalid_input() {
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
async fn invalid_target() {
    let platform = Platform::new();
    for (deployment, kind) in [("absent", Kind::NotFound), ("print-relay", Kind::Invalid)] {
        let submission = Submission { deployment: deployment.into(), ..submission("k", 1) };
        let failure = platform.jobs().submit(submission).await.unwrap_err();
        expect_that!((failure.kind, failure.not_run), eq((kind, true)));
    }
    let failure = platform.jobs().submit(submission("", 1)).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Invalid, true)));
}

/// A repeated submission must return the same job; the same key with other content must be refused.
#[gtest]
#[tokio::test]
async fn repeated_key() {
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

/// Concurrent submissions of the same job at several daemons must create one job only.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_submissions() {
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

/// If the reply to the creation of a job is lost, a second submission must not create another job.
#[gtest]
#[tokio::test]
async fn lost_reply() {
    let platform = Platform::new();
    platform.table.lose_reply(0);
    let first = platform.submit("k", 20).await;
    expect_that!(platform.table.memory.rows("job/"), len(eq(1)));
    expect_that!(platform.submit("k", 20).await.id, eq(&first.id));
    // The same holds if the reply to the write of an input object is lost.
    platform.objects.faults().set_lose_replies(1);
    platform.submit("l", 20).await;
    expect_that!(platform.table.memory.rows("job/"), len(eq(2)));
}

/// While the table or the object store is down, a submission must be refused as not run and must
/// leave no row behind.
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

/// If the reply to the creation of a job is lost and the table then goes down, the caller must not
/// be told that the job was not accepted.
#[gtest]
#[tokio::test]
async fn unknown_outcome() {
    let platform = Platform::new();
    let jobs = platform.jobs();
    platform.table.memory.faults().set_lose_replies(1);
    let table = platform.table.clone();
    let submit = tokio::spawn(async move { jobs.submit(submission("k", 3)).await });
    durable::eventually(async || (!table.memory.rows("job/").is_empty()).then_some(())).await;
    platform.table.memory.faults().set_down(true);
    let outcome = submit.await.unwrap();
    platform.table.memory.faults().set_down(false);
    // Either the read that resolves the lost reply succeeded, or the outcome stays unknown.
    match outcome {
        Ok(job) => expect_that!(job.state, eq(JobState::Open)),
        Err(failure) => expect_that!(failure.not_run, is_false()),
    }
    expect_that!(platform.jobs().submit(submission("k", 3)).await, ok(anything()));
}

/// Another client must not be able to read or cancel a job.
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
