//! Behaviour of the client of a daemon on lost replies, refusals and unreachable daemons.
#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cyclamengrade_operator::{
    Admin, Attempts, Configuration, Deployment, Error, JobState, Plan, Revision,
};
use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Daemon, Reply, Request};

fn admin(daemon: &Daemon) -> Admin {
    Admin::new(&daemon.address)
        .with_token("secret")
        .with_attempts(Attempts { count: 3, interval: Duration::from_millis(1) })
}

fn plan() -> Plan {
    let base = Revision { revision: 4, digest: String::new(), document: Value::Null };
    let document =
        Configuration::new().with_deployment("relay", Deployment::service()).finish().unwrap();
    Plan::new(&base, document)
}

fn job(state: &str) -> Value {
    json!({
        "id": "j-1", "deployment": "d", "state": state, "items": 2, "succeeded": 1, "failed": 0,
        "due_unix_ms": 5,
    })
}

fn accepted(plan: &Plan) -> Value {
    json!({ "revision": 5, "digest": plan.document.digest(), "document": plan.document })
}

/// Guards against reporting a lost reply as a failure, and against repeating the call as another
/// change.
#[gtest]
#[tokio::test]
async fn lost_reply() -> Result<()> {
    let plan = plan();
    let calls = Arc::new(AtomicUsize::new(0));
    let (counter, body) = (Arc::clone(&calls), accepted(&plan));
    let daemon = Daemon::start(move |_| match counter.fetch_add(1, Ordering::Relaxed) {
        0 => Reply::Silence,
        1 => Reply::Partial(body.to_string()),
        _ => Reply::json(&body),
    });
    let revision = admin(&daemon).apply(&plan, "anna").await.or_fail()?;
    expect_that!(revision.revision, eq(5));
    let requests = daemon.requests();
    expect_that!(requests.len(), eq(3));
    for request in &requests {
        expect_that!(request.line(), eq("POST /admin/config"));
        expect_that!(request.header("authorization"), some(eq("Bearer secret")));
        expect_that!(
            request.json(),
            eq(&json!({
                "expected_revision": 4, "change_id": plan.change_id, "author": "anna",
                "document": plan.document,
            }))
        );
    }
    Ok(())
}

/// Guards against giving up when the daemon reports that the outcome of its own write is unknown.
#[gtest]
#[tokio::test]
async fn outcome_unknown() -> Result<()> {
    let plan = plan();
    let calls = Arc::new(AtomicUsize::new(0));
    let (counter, body) = (Arc::clone(&calls), accepted(&plan));
    let unknown = json!({ "error": {
        "kind": "outcome_unknown", "message": "no reply of the table", "not_run": false,
    } });
    let daemon = Daemon::start(move |_| match counter.fetch_add(1, Ordering::Relaxed) {
        0 => Reply::Answer(502, unknown.to_string()),
        _ => Reply::json(&body),
    });
    let revision = admin(&daemon).apply(&plan, "anna").await.or_fail()?;
    expect_that!(revision.revision, eq(5));
    verify_that!(daemon.requests().len(), eq(2))
}

/// Guards against reporting a conflict that the change itself caused: the first call took effect, its
/// reply was lost, and the second call was refused because of the newer revision.
#[gtest]
#[tokio::test]
async fn own_conflict() -> Result<()> {
    let plan = plan();
    let change_id = plan.change_id.clone();
    let daemon = Daemon::start(move |request: &Request| {
        if request.method == "GET" {
            Reply::json(&json!([
                { "revision": 6, "change_id": "other", "author": "b", "accepted_unix_ms": 2, "changes": [] },
                { "revision": 5, "change_id": change_id, "author": "a", "accepted_unix_ms": 1, "changes": [] },
            ]))
        } else {
            Reply::refusal(409, "conflict", "the newest revision is 6")
        }
    });
    let revision = admin(&daemon).apply(&plan, "anna").await.or_fail()?;
    expect_that!(revision.revision, eq(5));
    verify_that!(
        daemon.lines(),
        elements_are![eq("POST /admin/config"), eq("GET /admin/config/history?limit=100")]
    )
}

/// Guards against taking a conflict with the change of another operator for success.
#[gtest]
#[tokio::test]
async fn other_conflict() -> Result<()> {
    let daemon = Daemon::start(|request| match request.method.as_str() {
        "GET" => Reply::json(&json!([])),
        _ => Reply::refusal(409, "conflict", "the newest revision is 6"),
    });
    let error = admin(&daemon).apply(&plan(), "anna").await.unwrap_err();
    expect_that!(error.is_conflict(), eq(true));
    verify_that!(error.to_string(), eq("conflict: the newest revision is 6"))
}

/// Guards against stating an outcome when every reply was lost.
#[gtest]
#[tokio::test]
async fn every_reply_lost() -> Result<()> {
    let daemon = Daemon::start(|_| Reply::Silence);
    let error = admin(&daemon).apply(&plan(), "anna").await.unwrap_err();
    expect_that!(error, matches_pattern!(Error::ReplyLost { .. }));
    verify_that!(daemon.requests().len(), eq(4))
}

/// Guards against reporting that a call may have taken effect when no connection was opened.
#[gtest]
#[tokio::test]
async fn unreachable_daemon() -> Result<()> {
    let address = TcpListener::bind("127.0.0.1:0").or_fail()?.local_addr().or_fail()?;
    let error = Admin::new(address.to_string()).configuration().await.unwrap_err();
    verify_that!(error, matches_pattern!(Error::Unreachable { .. }))
}

/// Guards against dropping the kind of a refusal or the time after which to retry, and against
/// misreading responses of a load balancer, which have no JSON body.
#[gtest]
#[tokio::test]
async fn refusal_kinds() -> Result<()> {
    let daemon = Daemon::start(|_| Reply::refusal(503, "unavailable", "the table is down"));
    let error = admin(&daemon).upstreams().await.unwrap_err();
    expect_that!(
        error,
        eq(&Error::Refused {
            kind: "unavailable".into(),
            message: "the table is down".into(),
            not_run: true,
            retry_after: Some(Duration::from_millis(1_500)),
        })
    );
    for (status, body) in [(503, "<html>"), (502, ""), (404, ""), (200, "<html>"), (504, "")] {
        let daemon = Daemon::start(move |_| Reply::Answer(status, body.into()));
        let error = admin(&daemon).upstreams().await.unwrap_err();
        let expected = match status {
            502 | 503 => matches!(error, Error::Unreachable { .. }),
            504 => matches!(error, Error::ReplyLost { .. }),
            404 => matches!(error, Error::Refused { not_run: true, .. }),
            _ => matches!(error, Error::Protocol { .. }),
        };
        expect_that!(expected, eq(true), "{status}: {error:?}");
    }
    Ok(())
}

/// Guards against a second job when a submission is repeated after a lost reply.
#[gtest]
#[tokio::test]
async fn submit_repeats_key() -> Result<()> {
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&calls);
    let daemon = Daemon::start(move |_| match counter.fetch_add(1, Ordering::Relaxed) {
        0 => Reply::Silence,
        _ => Reply::json(&job("open")),
    });
    let due = Duration::from_secs(60);
    let job = admin(&daemon).submit("a b/c", "key-1", due, "{}\n").await.or_fail()?;
    expect_that!(job.id, eq("j-1"));
    for request in daemon.requests() {
        expect_that!(request.line(), eq("POST /v1/batches?deployment=a%20b%2Fc&due_s=60"));
        expect_that!(request.header("idempotency-key"), some(eq("key-1")));
        expect_that!(request.body, eq(b"{}\n"));
    }
    verify_that!(daemon.requests().len(), eq(2))
}

/// Guards against ending the wait for a job when its daemon restarts, and against waiting for a job
/// that does not exist.
#[gtest]
#[tokio::test]
async fn wait_survives_restart() -> Result<()> {
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&calls);
    let daemon = Daemon::start(move |_| match counter.fetch_add(1, Ordering::Relaxed) {
        0 => Reply::json(&job("open")),
        1 => Reply::Silence,
        2 => Reply::refusal(503, "unavailable", "starting"),
        _ => Reply::json(&job("completed")),
    });
    let (period, timeout) = (Duration::from_millis(1), Duration::from_secs(60));
    let mut states = Vec::new();
    let show = |job: &cyclamengrade_operator::Job| states.push(job.state);
    let ended = admin(&daemon).wait("j-1", period, timeout, show).await.or_fail()?;
    expect_that!(ended.state, eq(JobState::Completed));
    expect_that!(states, elements_are![eq(&JobState::Open), eq(&JobState::Completed)]);

    let daemon = Daemon::start(|_| Reply::refusal(404, "not_found", "no such job"));
    let error = admin(&daemon).wait("j-2", period, timeout, |_| ()).await.unwrap_err();
    expect_that!(error.to_string(), eq("not_found: no such job"));
    verify_that!(daemon.requests().len(), eq(1))
}

/// Guards against taking results that were cut short for complete ones.
#[gtest]
#[tokio::test]
async fn truncated_results() -> Result<()> {
    let daemon = Daemon::start(|_| Reply::Answer(200, "{\"id\":\"1\"}\n".into()));
    let mut output = Vec::new();
    expect_that!(admin(&daemon).results("j-1", &mut output).await, ok(eq(&11)));
    expect_that!(output, eq(b"{\"id\":\"1\"}\n"));

    let daemon = Daemon::start(|_| Reply::Partial("{\"id\":\"1\"}\n".into()));
    let error = admin(&daemon).results("j-1", &mut Vec::new()).await.unwrap_err();
    verify_that!(error, matches_pattern!(Error::ReplyLost { .. }))
}

/// Guards against sending the admin token with calls about batch jobs, and against sending the token
/// of the client with admin calls when there is an admin token.
#[gtest]
#[tokio::test]
async fn token_by_path() -> Result<()> {
    let daemon = Daemon::start(|request| match request.line().contains("/v1/") {
        true => Reply::json(&job("open")),
        false => Reply::json(&json!([])),
    });
    let admin = admin(&daemon).with_admin_token("operators");
    admin.upstreams().await.or_fail()?;
    admin.history(1).await.or_fail()?;
    admin.job("j-1").await.or_fail()?;
    let requests = daemon.requests();
    let tokens: Vec<_> =
        requests.iter().map(|request| request.header("authorization").unwrap()).collect();
    verify_that!(
        tokens,
        elements_are![eq(&"Bearer operators"), eq(&"Bearer operators"), eq(&"Bearer secret")]
    )
}
