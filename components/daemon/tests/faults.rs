//! Online completions while upstreams fail, stall or refuse requests, and while callers disconnect.
#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cyclamengrade_caller::{Kind, backend::Event};
use googletest::prelude::*;
use support::{
    caller::{HANG_TIMEOUT, completion, text, tokens},
    engine::{Engine, Request, Step, unused_address},
    node::{Daemon, vms},
};
use tokio::{
    runtime::Handle,
    time::{sleep, timeout},
};

const POST: &str = "POST";
const PATH: &str = "/v1/completions";

/// Starts an engine that generates the tokens up to `count`, from the index at which the request
/// resumes.
async fn healthy_engine(count: u32) -> Engine {
    Engine::start(move |request| {
        vec![Step::Tokens(request.resume_from()..count), Step::Finish(count)]
    })
    .await
}

/// Guards against a completion that fails or repeats tokens when an upstream closes the connection
/// in the middle of the stream. Another upstream must resume the stream at the next token.
#[gtest]
#[tokio::test]
async fn resumed_after_disconnect() {
    let disconnects = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&disconnects);
    let failing = Engine::start(move |request| {
        counter.fetch_add(1, Ordering::SeqCst);
        let from = request.resume_from();
        vec![Step::Tokens(from..from + 3), Step::Disconnect]
    })
    .await;
    let healthy = healthy_engine(10).await;
    let daemon = Daemon::start(vms("wording-llm", &[failing.address, healthy.address]), None).await;
    // Sends requests until one of them went to the failing upstream first.
    for _ in 0..50 {
        let events = daemon.online.complete(completion("hello")).await.unwrap();
        expect_that!(text(events).await, ok(eq(&tokens(10))));
        if disconnects.load(Ordering::SeqCst) > 0 {
            break;
        }
    }
    let resumed: Vec<_> = healthy.requests(POST, PATH).iter().map(|it| it.resume_from()).collect();
    expect_that!(resumed, contains(eq(&3)));
}

/// Starts an engine that has loaded one version of the model and answers requests for another one with
/// 404. It closes the connection after `breaks_after` tokens, if that is given.
async fn versioned_engine(version: &'static str, breaks_after: Option<u32>) -> Engine {
    let script = move |request: &Request| {
        let from = request.resume_from();
        match (request.json()["version"].as_str(), breaks_after) {
            (Some(wanted), _) if wanted != version => {
                vec![Step::Response(404, r#"{"error":"not loaded"}"#)]
            }
            (_, Some(count)) => vec![Step::Tokens(from..from + count), Step::Disconnect],
            (_, None) => vec![Step::Tokens(from..10), Step::Finish(10)],
        }
    };
    let sequence = AtomicUsize::new(1);
    Engine::start_with(script, move |request| {
        if request.path != "/v1/load" {
            return Vec::new();
        }
        let number = sequence.fetch_add(1, Ordering::SeqCst);
        let load = format!(
            r#"{{"sequence":{number},"age_ms":0,"running":0,"queued":0,"slots":8,
                "models":["m@{version}"],"leaving":false}}"#
        );
        vec![Step::Response(200, load.leak())]
    })
    .await
}

/// Guards against an answer that is joined from two versions of the model: during a rollout, a stream
/// that breaks off was resumed at any upstream of the deployment.
#[gtest]
#[tokio::test]
async fn resumed_version() {
    let failing = versioned_engine("1", Some(3)).await;
    let new = versioned_engine("2", None).await;
    let old = versioned_engine("1", None).await;
    let mut settings = support::node::settings();
    settings.timers.load_poll_ms = 10;
    let vms = vms("wording-llm", &[failing.address, new.address, old.address]);
    let daemon = Daemon::start_on(Handle::current(), vms, None, settings).await;
    daemon.set_model_version("2");
    for engine in [&failing, &new, &old] {
        engine.wait_for("GET", "/v1/load").await;
    }
    sleep(Duration::from_millis(100)).await;
    for number in 0..30 {
        // Different prompts, so that the caches of prefixes do not keep all of them at one engine.
        let events = daemon.online.complete(completion(&format!("hello {number}"))).await.unwrap();
        // A stream that cannot be resumed at its version fails; it is not joined.
        let _ = text(events).await;
    }
    let resumed = |engine: &Engine| {
        let requests = engine.requests(POST, PATH).into_iter();
        requests.filter(|it| it.resume_from() > 0).collect::<Vec<_>>()
    };
    expect_that!(failing.requests(POST, PATH), not(is_empty()));
    expect_that!(resumed(&old), not(is_empty()));
    for request in resumed(&new).iter().chain(&resumed(&old)) {
        expect_that!(request.json()["version"].as_str(), some(eq("1")));
    }
}

/// Guards against a truncated completion that is reported as complete. The engine never sends the
/// final event, however its stream ends.
#[gtest]
#[tokio::test]
async fn truncated() {
    for last in [Step::Disconnect, Step::End, Step::Bytes(b"data: [DONE]\n\n".to_vec())] {
        let engine = Engine::start(move |request| {
            let from = request.resume_from();
            vec![Step::Tokens(from..from + 2), last.clone(), Step::Disconnect]
        })
        .await;
        let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
        let events = daemon.online.complete(completion("hello")).await.unwrap();
        let (text, failure) = text(events).await.unwrap_err();
        expect_that!(tokens(8), starts_with(text));
        expect_that!(failure.kind, eq(Kind::UpstreamFailed));
        expect_that!(failure.not_run, eq(false));
        expect_that!(failure.retry_after, some(anything()));
    }
}

/// Guards against a completion with a missing token. An engine skips an index, and the tokens after
/// the gap must not reach the caller.
#[gtest]
#[tokio::test]
async fn missing_token() {
    let engine =
        Engine::start(|_| vec![Step::Tokens(0..2), Step::Tokens(3..5), Step::Finish(5)]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let events = daemon.online.complete(completion("hello")).await.unwrap();
    let (text, _) = text(events).await.unwrap_err();
    expect_that!(text, eq(&tokens(2)));
}

/// Guards against a second run of a non-idempotent completion whose connection was closed in the
/// middle of the stream.
#[gtest]
#[tokio::test]
async fn non_idempotent_not_retried() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..2), Step::Disconnect]).await;
    let other = healthy_engine(4).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address, other.address]), None).await;
    let mut unknown = 0;
    for count in 1..=4 {
        let mut call = completion("hello");
        call.idempotent = Some(false);
        match text(daemon.online.complete(call).await.unwrap()).await {
            Ok(text) => expect_that!(text, eq(&tokens(4))),
            Err((text, failure)) => {
                unknown += 1;
                expect_that!(text, eq(&tokens(2)));
                expect_that!(failure.kind, eq(Kind::OutcomeUnknown));
                expect_that!(failure.not_run, eq(false));
            }
        }
        let runs = engine.requests(POST, PATH).len() + other.requests(POST, PATH).len();
        expect_that!(runs, eq(count));
    }
    expect_that!(unknown, gt(0));
}

/// Guards against a wrong `not_run`: it must be true if no upstream accepted a connection, and
/// false if one closed the connection after it had the request.
#[gtest]
#[tokio::test]
async fn not_run() {
    let daemon =
        Daemon::start(vms("wording-llm", &[unused_address().await, unused_address().await]), None)
            .await;
    let mut call = completion("hello");
    call.idempotent = Some(false);
    let failure = daemon.online.complete(call).await.unwrap_err();
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.retry_after, some(anything()));
    let engine = Engine::start(|_| vec![Step::Disconnect]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let failure = daemon.online.complete(completion("hello")).await.unwrap_err();
    expect_that!(failure.not_run, eq(false));
}

/// Guards against retries of a request that is invalid and that every engine would reject.
#[gtest]
#[tokio::test]
async fn invalid_request_not_retried() {
    let engine = Engine::start(|_| vec![Step::Response(400, "prompt too long")]).await;
    let addresses = [engine.address; 2];
    let daemon = Daemon::start(vms("wording-llm", &addresses), None).await;
    let failure = daemon.online.complete(completion("hello")).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::Invalid));
    expect_that!(failure.message, contains_substring("prompt too long"));
    expect_that!(engine.requests(POST, PATH).len(), eq(1));
}

/// Guards against a stream that hangs on a silent connection. The daemon must reopen the stream at
/// the same upstream on a new connection.
#[gtest]
#[tokio::test]
async fn silent_connection() {
    let silence_next = Arc::new(AtomicBool::new(false));
    let silence = Arc::clone(&silence_next);
    let engine = Engine::start(move |request| {
        let from = request.resume_from();
        if silence.swap(false, Ordering::SeqCst) {
            return vec![Step::Tokens(from..from + 4), Step::Silence];
        }
        vec![
            Step::Tokens(from..from + 2),
            Step::Pause(Duration::from_millis(5)),
            Step::Tokens(from + 2..10),
            Step::Finish(10),
        ]
    })
    .await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    // The daemon needs samples of the usual time between tokens for its silence timeout.
    for _ in 0..20 {
        let events = daemon.online.complete(completion("hello")).await.unwrap();
        expect_that!(text(events).await, ok(eq(&tokens(10))));
    }
    silence_next.store(true, Ordering::SeqCst);
    let events = daemon.online.complete(completion("hello")).await.unwrap();
    expect_that!(text(events).await, ok(eq(&tokens(10))));
    let requests = engine.requests(POST, PATH);
    let [.., first, second] = requests.as_slice() else {
        panic!("the stream must be opened twice")
    };
    expect_that!(second.resume_from(), eq(4));
    expect_that!(second.header("x-stream-id"), eq(first.header("x-stream-id")));
    expect_that!(second.connection, not(eq(first.connection)));
}

/// Guards against an attempt that continues at its upstream after the caller has disconnected.
#[gtest]
#[tokio::test]
async fn caller_disconnects() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..2), Step::Silence]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let events = daemon.online.complete(completion("hello")).await.unwrap();
    let id = engine.wait_for(POST, PATH).await.header("x-stream-id").unwrap().to_owned();
    drop(events);
    let cancel = engine.wait_for("DELETE", "/v1/streams/").await;
    expect_that!(cancel.path, eq(&format!("/v1/streams/{id}")));
    timeout(HANG_TIMEOUT, async {
        while daemon.online.status().await[0].online > 0 {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await
    .unwrap();
}

/// Guards against an attempt that continues after the caller has disconnected before the first
/// token.
#[gtest]
#[tokio::test]
async fn caller_disconnects_before_first_token() {
    let engine = Engine::start(|_| vec![Step::Silence]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let online = daemon.online.clone();
    let call = tokio::spawn(async move { online.complete(completion("hello")).await });
    engine.wait_for(POST, PATH).await;
    call.abort();
    engine.wait_for("DELETE", "/v1/streams/").await;
}

/// Guards against a caller that waits beyond its deadline while an engine sends nothing, and
/// against a deadline that is too large to be added to the current time.
#[gtest]
#[tokio::test]
async fn deadline() {
    let engine = Engine::start(|_| vec![Step::Silence]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    for idempotent in [true, false] {
        let mut call = completion("hello");
        call.deadline = Some(Duration::from_millis(200));
        call.idempotent = Some(idempotent);
        let failure =
            timeout(HANG_TIMEOUT, daemon.online.complete(call)).await.unwrap().unwrap_err();
        let kind = if idempotent { Kind::Expired } else { Kind::OutcomeUnknown };
        expect_that!(failure.kind, eq(kind));
        expect_that!(failure.not_run, eq(false));
    }
    let mut call = completion("hello");
    call.deadline = Some(Duration::MAX);
    let online = daemon.online.clone();
    let task = tokio::spawn(async move { online.complete(call).await });
    engine.wait_for(POST, PATH).await;
    expect_that!(task.is_finished(), eq(false));
}

/// Guards against tokens that are lost when the channel is full because the caller reads slowly.
#[gtest]
#[tokio::test]
async fn slow_caller() {
    let engine = healthy_engine(1_000).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let mut events = daemon.online.complete(completion("hello")).await.unwrap();
    let mut received = String::new();
    let mut count = 0;
    while let Some(event) = timeout(HANG_TIMEOUT, events.recv()).await.unwrap() {
        match event {
            Event::Token(token) => received.push_str(&token),
            Event::End { finish_reason } => {
                expect_that!(finish_reason, eq("stop"));
                break;
            }
            Event::Failed(failure) => panic!("{failure}"),
        }
        count += 1;
        if count % 100 == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }
    expect_that!(received, eq(&tokens(1_000)));
}
