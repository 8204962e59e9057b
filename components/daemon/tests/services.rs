//! Calls of plain services, and claims of non-idempotent requests, which run at most once.
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
use cyclamengrade_daemon::online::{Answer, Claims, Decision, Outcome};
use googletest::prelude::*;
use support::{
    caller::{HANG_TIMEOUT, completion, service_call, text, tokens},
    engine::{Engine, Step, unused_address},
    node::{Daemon, vms},
};
use tokio::time::{sleep, timeout};

/// Digest of a claim, and its outcome once it is recorded.
type Row = (String, Option<Outcome>);

/// Store of claims in memory.
#[derive(Default)]
struct ClaimStore {
    /// Claims by client and key.
    rows: Mutex<HashMap<(String, String), Row>>,
    /// Whether `begin` fails as if the table could not be reached.
    unavailable: AtomicBool,
}

impl Claims for ClaimStore {
    fn begin(&self, client: String, key: String, digest: String) -> BackendFuture<Decision> {
        let mut rows = self.rows.lock().unwrap();
        let result = if self.unavailable.load(Ordering::SeqCst) {
            Err(Failure::not_run(Kind::Unavailable, "the table cannot be reached"))
        } else {
            match rows.get(&(client.clone(), key.clone())) {
                Some((other, _)) if *other != digest => {
                    Err(Failure::not_run(Kind::Conflict, "other content"))
                }
                Some((_, Some(Outcome::Done(answer)))) => Ok(Decision::Done(answer.clone())),
                Some((_, Some(Outcome::Unknown))) => {
                    Err(Failure::may_have_run(Kind::OutcomeUnknown, "unknown"))
                }
                Some((_, None)) => Err(Failure::may_have_run(Kind::Conflict, "running")),
                Some((_, Some(Outcome::NotRun))) | None => {
                    rows.insert((client, key), (digest, None));
                    Ok(Decision::Run)
                }
            }
        };
        Box::pin(async move { result })
    }

    fn finish(&self, client: String, key: String, outcome: Outcome) -> BackendFuture<()> {
        self.rows.lock().unwrap().get_mut(&(client, key)).unwrap().1 = Some(outcome);
        Box::pin(async { Ok(()) })
    }
}

impl ClaimStore {
    /// Waits until the outcome of a claim is recorded, and returns it.
    async fn outcome(&self, key: &str) -> Outcome {
        for _ in 0..2_000 {
            let rows = self.rows.lock().unwrap().clone();
            if let Some((_, Some(end))) = rows.get(&("himal".to_owned(), key.to_owned())) {
                return end.clone();
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("the outcome of the claim {key} is not recorded");
    }
}

/// Returns a non-idempotent call with an idempotency key.
fn keyed_call(key: &str) -> ServiceCall {
    ServiceCall {
        idempotent: Some(false),
        idempotency_key: Some(key.into()),
        ..service_call("/print")
    }
}

/// Guards against a call that reaches the service without its path, query, body or key, and against
/// a response with an error status that does not reach the caller unchanged.
#[gtest]
#[tokio::test]
async fn forwarded_unchanged() {
    let engine = Engine::start(|_| vec![Step::Response(409, "jam")]).await;
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), None).await;
    let mut call = service_call("/print?copies=2");
    call.idempotency_key = Some("k".into());
    let response = daemon.online.call_service(call).await.unwrap();
    expect_that!((response.status, &*response.body), eq((409, b"jam".as_slice())));
    let request = engine.wait_for("POST", "/print?copies=2").await;
    expect_that!(request.body, eq(b"artwork"));
    expect_that!(request.header("idempotency-key"), some(eq("k")));
    expect_that!(request.header("content-type"), some(eq("text/plain")));
}

/// Guards against an idempotent call that fails although another upstream can serve it. The first
/// one is busy, closes the connection or refuses it.
#[gtest]
#[tokio::test]
async fn idempotent_call_retried() {
    let busy = Engine::start(|_| vec![Step::Response(503, "busy")]).await;
    let disconnecting = Engine::start(|_| vec![Step::Disconnect]).await;
    let healthy = Engine::start(|_| vec![Step::Response(200, "done")]).await;
    for failing in [busy.address, disconnecting.address, unused_address().await] {
        let daemon = Daemon::start(vms("print-relay", &[failing, healthy.address]), None).await;
        for _ in 0..4 {
            let response = daemon.online.call_service(service_call("/print")).await.unwrap();
            expect_that!(response.status, eq(200));
        }
    }
}

/// Guards against a second attempt of a non-idempotent call after its connection was closed or its
/// upstream was busy.
#[gtest]
#[tokio::test]
async fn non_idempotent_not_retried() {
    let engine = Engine::start(|_| vec![Step::Disconnect]).await;
    let addresses = [engine.address; 3];
    let daemon = Daemon::start(vms("print-relay", &addresses), None).await;
    let failure = daemon.online.call_service(keyed_call("k")).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::OutcomeUnknown));
    expect_that!(failure.not_run, eq(false));
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
    let busy = Engine::start(|_| vec![Step::Response(503, "busy")]).await;
    let daemon = Daemon::start(vms("print-relay", &[busy.address; 3]), None).await;
    expect_that!(daemon.online.call_service(keyed_call("k")).await.unwrap().status, eq(503));
    expect_that!(busy.requests("POST", "/print").len(), eq(1));
}

/// Guards against a repeated call that runs again instead of getting the recorded result, and
/// against a key that can be used again for other content.
#[gtest]
#[tokio::test]
async fn repeated_call() {
    let engine = Engine::start(|_| vec![Step::Response(200, "printed")]).await;
    let claims = Arc::new(ClaimStore::default());
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    for _ in 0..3 {
        let response = daemon.online.call_service(keyed_call("k")).await.unwrap();
        expect_that!((response.status, &*response.body), eq((200, b"printed".as_slice())));
    }
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
    let other = ServiceCall { body: "other".into(), ..keyed_call("k") };
    let failure = daemon.online.call_service(other).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::Conflict));
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
    let answer = Answer {
        status: 200,
        content_type: Some("application/json".into()),
        body: "printed".into(),
    };
    expect_that!(claims.outcome("k").await, eq(&Outcome::Done(answer)));
}

/// Guards against a repeated completion that runs again instead of getting the recorded text.
#[gtest]
#[tokio::test]
async fn repeated_completion() {
    let engine = Engine::start(|_| vec![Step::Tokens(0..5), Step::Finish(5)]).await;
    let claims = Arc::new(ClaimStore::default());
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

/// Guards against a non-idempotent call that runs without a claim while the table cannot be
/// reached.
#[gtest]
#[tokio::test]
async fn table_unavailable() {
    let engine = Engine::start(|_| vec![Step::Response(200, "printed")]).await;
    let claims = Arc::new(ClaimStore::default());
    claims.unavailable.store(true, Ordering::SeqCst);
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    let failure = daemon.online.call_service(keyed_call("k")).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Unavailable, true)));
    expect_that!(engine.requests("POST", "/print").len(), eq(0));
    // Idempotent calls need no claim.
    expect_that!(daemon.online.call_service(service_call("/print")).await, ok(anything()));
}

/// Guards against a wrong outcome of a claim, which would block the key after a call that did not
/// run, or allow a second run after a call that may have run.
#[gtest]
#[tokio::test]
async fn claim_outcome() {
    let claims = Arc::new(ClaimStore::default());
    let unreachable = vms("print-relay", &[unused_address().await]);
    let daemon = Daemon::start(unreachable, Some(claims.clone())).await;
    let failure = daemon.online.call_service(keyed_call("a")).await.unwrap_err();
    expect_that!(failure.not_run, eq(true));
    expect_that!(claims.outcome("a").await, eq(&Outcome::NotRun));
    let engine = Engine::start(|_| vec![Step::Disconnect]).await;
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    let failure = daemon.online.call_service(keyed_call("b")).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::OutcomeUnknown));
    expect_that!(claims.outcome("b").await, eq(&Outcome::Unknown));
}

/// Guards against a claimed call whose result is lost because the caller disconnects while it runs.
#[gtest]
#[tokio::test]
async fn caller_of_claimed_call_disconnects() {
    let engine = Engine::start(|_| {
        vec![Step::Pause(Duration::from_millis(100)), Step::Response(200, "printed")]
    })
    .await;
    let claims = Arc::new(ClaimStore::default());
    let daemon = Daemon::start(vms("print-relay", &[engine.address]), Some(claims.clone())).await;
    let online = daemon.online.clone();
    let call = tokio::spawn(async move { online.call_service(keyed_call("k")).await });
    engine.wait_for("POST", "/print").await;
    call.abort();
    expect_that!(claims.outcome("k").await, matches_pattern!(Outcome::Done(anything())));
    let response =
        timeout(HANG_TIMEOUT, daemon.online.call_service(keyed_call("k"))).await.unwrap().unwrap();
    expect_that!(&*response.body, eq(b"printed".as_slice()));
    expect_that!(engine.requests("POST", "/print").len(), eq(1));
}
