//! Calls of plain services, and claims of requests that run at most once.
#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cyclamengrade_caller::{
    Failure, Kind,
    backend::{BackendFuture, ServiceCall},
};
use cyclamengrade_daemon::online::{Begin, Claims, End, Record};
use googletest::prelude::*;
use support::{
    caller::{LONG, completion, service_call, text, tokens},
    engine::{Engine, Step, refused},
    node::{Daemon, vms},
};
use tokio::time::{sleep, timeout};

/// Digest and end of a claim.
type Row = (String, Option<End>);

/// Claims in memory, by client and key.
#[derive(Default)]
struct Memory {
    rows: Mutex<HashMap<(String, String), Row>>,
    down: AtomicBool,
}

impl Claims for Memory {
    fn begin(&self, client: String, key: String, digest: String) -> BackendFuture<Begin> {
        let mut rows = self.rows.lock().unwrap();
        let result = if self.down.load(Ordering::SeqCst) {
            Err(Failure::not_run(Kind::Unavailable, "the table is down"))
        } else {
            match rows.get(&(client.clone(), key.clone())) {
                Some((other, _)) if *other != digest => {
                    Err(Failure::not_run(Kind::Conflict, "other content"))
                }
                Some((_, Some(End::Done(record)))) => Ok(Begin::Done(record.clone())),
                Some((_, Some(End::Unknown))) => {
                    Err(Failure::may_have_run(Kind::OutcomeUnknown, "unknown"))
                }
                Some((_, None)) => Err(Failure::may_have_run(Kind::Conflict, "running")),
                Some((_, Some(End::NotRun))) | None => {
                    rows.insert((client, key), (digest, None));
                    Ok(Begin::Run)
                }
            }
        };
        Box::pin(async move { result })
    }

    fn finish(&self, client: String, key: String, end: End) -> BackendFuture<()> {
        self.rows.lock().unwrap().get_mut(&(client, key)).unwrap().1 = Some(end);
        Box::pin(async { Ok(()) })
    }
}

impl Memory {
    /// Waits until the claim of the key has an end.
    async fn end(&self, key: &str) -> End {
        for _ in 0..2_000 {
            let rows = self.rows.lock().unwrap().clone();
            if let Some((_, Some(end))) = rows.get(&("himal".to_owned(), key.to_owned())) {
                return end.clone();
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("the claim {key} has no end");
    }
}

fn once(key: &str) -> ServiceCall {
    ServiceCall {
        idempotent: Some(false),
        idempotency_key: Some(key.into()),
        ..service_call("/print")
    }
}

/// Guards against a call that loses its path, body or key, and an answer with an error status.
#[gtest]
#[tokio::test]
async fn passed_on() {
    let engine = Engine::start(|_| vec![Step::Answer(409, "jam")]).await;
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), None).await;
    let mut call = service_call("/print?copies=2");
    call.idempotency_key = Some("k".into());
    let answer = daemon.online.call_service(call).await.unwrap();
    expect_that!((answer.status, &*answer.body), eq((409, b"jam".as_slice())));
    let request = engine.wait_for("POST", "/print?copies=2").await;
    expect_that!(request.body, eq(b"artwork"));
    expect_that!(request.header("idempotency-key"), some(eq("k")));
    expect_that!(request.header("content-type"), some(eq("text/plain")));
}

/// Guards against an idempotent call that fails although another upstream can answer.
#[gtest]
#[tokio::test]
async fn another_upstream() {
    let busy = Engine::start(|_| vec![Step::Answer(503, "busy")]).await;
    let cut = Engine::start(|_| vec![Step::Cut]).await;
    let good = Engine::start(|_| vec![Step::Answer(200, "done")]).await;
    for bad in [busy.address, cut.address, refused().await] {
        let daemon = Daemon::start(vms("print-relay", &[bad, good.address]), None).await;
        for _ in 0..4 {
            let answer = daemon.online.call_service(service_call("/print")).await.unwrap();
            expect_that!(answer.status, eq(200));
        }
    }
}

/// Guards against a second run of a call that must not be repeated.
#[gtest]
#[tokio::test]
async fn not_repeated() {
    let engine = Engine::start(|_| vec![Step::Cut]).await;
    let addresses = [engine.address; 3];
    let daemon = Daemon::start(vms("print-relay", &addresses), None).await;
    let failure = daemon.online.call_service(once("k")).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::OutcomeUnknown));
    expect_that!(failure.not_run, eq(false));
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
    let busy = Engine::start(|_| vec![Step::Answer(503, "busy")]).await;
    let daemon = Daemon::start(vms("print-relay", &[busy.address; 3]), None).await;
    expect_that!(daemon.online.call_service(once("k")).await.unwrap().status, eq(503));
    expect_that!(busy.requests("POST", "/print").len(), eq(1));
}

/// Guards against a resend that runs again instead of getting the recorded result.
#[gtest]
#[tokio::test]
async fn resend() {
    let engine = Engine::start(|_| vec![Step::Answer(200, "printed")]).await;
    let claims = Arc::new(Memory::default());
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    for _ in 0..3 {
        let answer = daemon.online.call_service(once("k")).await.unwrap();
        expect_that!((answer.status, &*answer.body), eq((200, b"printed".as_slice())));
    }
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
    let other = ServiceCall { body: "other".into(), ..once("k") };
    let failure = daemon.online.call_service(other).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::Conflict));
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
    let record = Record {
        status: 200,
        content_type: Some("application/json".into()),
        body: "printed".into(),
    };
    expect_that!(claims.end("k").await, eq(&End::Done(record)));
}

/// Guards against a completion with a key that runs twice.
#[gtest]
#[tokio::test]
async fn completion_resend() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..5), Step::Finish(5)]).await;
    let claims = Arc::new(Memory::default());
    let daemon = Daemon::start(vms("wording-llm", &[engine.address]), Some(claims.clone())).await;
    for _ in 0..2 {
        let mut call = completion("hello");
        call.idempotent = Some(false);
        call.idempotency_key = Some("k".into());
        let events = daemon.online.complete(call).await.unwrap();
        expect_that!(text(events).await, ok(eq(&tokens(5))));
    }
    expect_that!(engine.requests("POST", "/v1/completions").len(), eq(1));
}

/// Guards against a run without claim while the table is down.
#[gtest]
#[tokio::test]
async fn table_down() {
    let engine = Engine::start(|_| vec![Step::Answer(200, "printed")]).await;
    let claims = Arc::new(Memory::default());
    claims.down.store(true, Ordering::SeqCst);
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    let failure = daemon.online.call_service(once("k")).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Unavailable, true)));
    expect_that!(engine.requests("POST", "/print").len(), eq(0));
    // Idempotent calls need no claim.
    expect_that!(daemon.online.call_service(service_call("/print")).await, ok(anything()));
}

/// Guards against claims that block a key after a request that did not run.
#[gtest]
#[tokio::test]
async fn claim_ends() {
    let claims = Arc::new(Memory::default());
    let nobody = vms("print-relay", &[refused().await]);
    let daemon = Daemon::start(nobody, Some(claims.clone())).await;
    let failure = daemon.online.call_service(once("a")).await.unwrap_err();
    expect_that!(failure.not_run, eq(true));
    expect_that!(claims.end("a").await, eq(&End::NotRun));
    let engine = Engine::start(|_| vec![Step::Cut]).await;
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    let failure = daemon.online.call_service(once("b")).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::OutcomeUnknown));
    expect_that!(claims.end("b").await, eq(&End::Unknown));
}

/// Guards against a claimed request that is lost because its caller went away.
#[gtest]
#[tokio::test]
async fn claimed_caller_gone() {
    let engine = Engine::start(|_| {
        vec![Step::Pause(Duration::from_millis(100)), Step::Answer(200, "printed")]
    })
    .await;
    let claims = Arc::new(Memory::default());
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    let online = daemon.online.clone();
    let call = tokio::spawn(async move { online.call_service(once("k")).await });
    engine.wait_for("POST", "/print").await;
    call.abort();
    expect_that!(claims.end("k").await, matches_pattern!(End::Done(anything())));
    let answer = timeout(LONG, daemon.online.call_service(once("k"))).await.unwrap().unwrap();
    expect_that!(&*answer.body, eq(b"printed".as_slice()));
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
}
