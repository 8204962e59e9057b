//! Online completions while upstreams fail.
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
    caller::{LONG, completion, text, tokens},
    engine::{Engine, Step, refused},
    node::{Daemon, vms},
};
use tokio::time::{sleep, timeout};

const POST: &str = "POST";
const PATH: &str = "/v1/completions";

/// An engine that answers with `count` tokens from where the request resumes.
async fn healthy(count: u32) -> Engine {
    Engine::start(move |request| {
        vec![Step::Tokens(request.resume_from()..count), Step::Finish(count)]
    })
    .await
}

/// Guards against a stream that ends when its upstream dies, and against repeated tokens.
#[gtest]
#[tokio::test]
async fn dies_midway() {
    let cut = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&cut);
    let dying = Engine::start(move |request| {
        counted.fetch_add(1, Ordering::SeqCst);
        let from = request.resume_from();
        vec![Step::Tokens(from..from + 3), Step::Cut]
    })
    .await;
    let good = healthy(10).await;
    let daemon = Daemon::start(vms("wording-llm", &[dying.address, good.address]), None).await;
    // Until a request went to the dying upstream first.
    for _ in 0..50 {
        let events = daemon.online.complete(completion("hello")).await.unwrap();
        expect_that!(text(events).await, ok(eq(&tokens(10))));
        if cut.load(Ordering::SeqCst) > 0 {
            break;
        }
    }
    let resumed: Vec<_> = good.requests(POST, PATH).iter().map(|it| it.resume_from()).collect();
    expect_that!(resumed, contains(eq(&3)));
}

/// Guards against an answer that was cut off and looks whole.
#[gtest]
#[tokio::test]
async fn never_whole() {
    for last in [Step::Cut, Step::End, Step::Bytes(b"data: [DONE]\n\n".to_vec())] {
        let engine = Engine::start(move |request| {
            let from = request.resume_from();
            vec![Step::Tokens(from..from + 2), last.clone(), Step::Cut]
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

/// Guards against tokens with a gap, which must not reach the caller as an answer.
#[gtest]
#[tokio::test]
async fn gap() {
    let engine =
        Engine::start(|_| vec![Step::Tokens(0..2), Step::Tokens(3..5), Step::Finish(5)]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let events = daemon.online.complete(completion("hello")).await.unwrap();
    let (text, _) = text(events).await.unwrap_err();
    expect_that!(text, eq(&tokens(2)));
}

/// Guards against a second run of a non-idempotent stream that was cut off.
#[gtest]
#[tokio::test]
async fn not_repeated() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..2), Step::Cut]).await;
    let other = healthy(4).await;
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

/// Guards against `not_run` for a request that ran, and against its absence for one that did not.
#[gtest]
#[tokio::test]
async fn nobody_there() {
    let daemon = Daemon::start(vms("wording-llm", &[refused().await, refused().await]), None).await;
    let mut call = completion("hello");
    call.idempotent = Some(false);
    let failure = daemon.online.complete(call).await.unwrap_err();
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.retry_after, some(anything()));
    let engine = Engine::start(|_| vec![Step::Cut]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let failure = daemon.online.complete(completion("hello")).await.unwrap_err();
    expect_that!(failure.not_run, eq(false));
}

/// Guards against a caller's mistake that is tried at every upstream.
#[gtest]
#[tokio::test]
async fn refused_by_engine() {
    let engine = Engine::start(|_| vec![Step::Answer(400, "prompt too long")]).await;
    let addresses = [engine.address; 2];
    let daemon = Daemon::start(vms("wording-llm", &addresses), None).await;
    let failure = daemon.online.complete(completion("hello")).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::Invalid));
    expect_that!(failure.message, contains_substring("prompt too long"));
    expect_that!(engine.requests(POST, PATH).len(), eq(1));
}

/// Guards against a stream that stays silent for good while new connections work.
#[gtest]
#[tokio::test]
async fn silent_connection() {
    let silent = Arc::new(AtomicBool::new(false));
    let fault = Arc::clone(&silent);
    let engine = Engine::start(move |request| {
        let from = request.resume_from();
        if fault.swap(false, Ordering::SeqCst) {
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
    // The daemon learns the usual gaps.
    for _ in 0..20 {
        let events = daemon.online.complete(completion("hello")).await.unwrap();
        expect_that!(text(events).await, ok(eq(&tokens(10))));
    }
    silent.store(true, Ordering::SeqCst);
    let events = daemon.online.complete(completion("hello")).await.unwrap();
    expect_that!(text(events).await, ok(eq(&tokens(10))));
    let requests = engine.requests(POST, PATH);
    let [.., first, second] = requests.as_slice() else { panic!("two requests") };
    expect_that!(second.resume_from(), eq(4));
    expect_that!(second.header("x-stream-id"), eq(first.header("x-stream-id")));
    expect_that!(second.connection, not(eq(first.connection)));
}

/// Guards against upstream work that goes on for a caller that went away.
#[gtest]
#[tokio::test]
async fn caller_gone() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..2), Step::Silence]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let events = daemon.online.complete(completion("hello")).await.unwrap();
    let id = engine.wait_for(POST, PATH).await.header("x-stream-id").unwrap().to_owned();
    drop(events);
    let cancel = engine.wait_for("DELETE", "/v1/streams/").await;
    expect_that!(cancel.path, eq(&format!("/v1/streams/{id}")));
    timeout(LONG, async {
        while daemon.online.status().await[0].online > 0 {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await
    .unwrap();
}

/// Guards against a request without a token that goes on for a caller that went away.
#[gtest]
#[tokio::test]
async fn caller_gone_early() {
    let engine = Engine::start(|_| vec![Step::Silence]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let online = daemon.online.clone();
    let call = tokio::spawn(async move { online.complete(completion("hello")).await });
    engine.wait_for(POST, PATH).await;
    call.abort();
    engine.wait_for("DELETE", "/v1/streams/").await;
}

/// Guards against an answer that is held back beyond the deadline.
#[gtest]
#[tokio::test]
async fn deadline() {
    let engine = Engine::start(|_| vec![Step::Silence]).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    for idempotent in [true, false] {
        let mut call = completion("hello");
        call.deadline = Some(Duration::from_millis(200));
        call.idempotent = Some(idempotent);
        let failure = timeout(LONG, daemon.online.complete(call)).await.unwrap().unwrap_err();
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

/// Guards against tokens that are lost when the caller reads slowly.
#[gtest]
#[tokio::test]
async fn slow_caller() {
    let engine = healthy(1_000).await;
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), None).await;
    let mut events = daemon.online.complete(completion("hello")).await.unwrap();
    let mut whole = String::new();
    let mut count = 0;
    while let Some(event) = timeout(LONG, events.recv()).await.unwrap() {
        match event {
            Event::Token(token) => whole.push_str(&token),
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
    expect_that!(whole, eq(&tokens(1_000)));
}
