//! Second attempts of slow requests.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use support::{
    caller::{HANG_TIMEOUT, completion, text, tokens},
    engine::{Engine, Step},
    node::{Daemon, vms},
};
use tokio::time::{sleep, timeout};

const POST: &str = "POST";
const PATH: &str = "/v1/completions";

/// Guards against a hedge whose loser goes on at its upstream.
#[gtest]
#[tokio::test]
async fn hedge_loser() {
    let stuck = Arc::new(AtomicUsize::new(0));
    let (mut engines, mut addresses) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let fault = Arc::clone(&stuck);
        let engine = Engine::start(move |_| {
            // Exactly one request gets stuck, wherever it goes.
            if fault.compare_exchange(1, 2, Ordering::SeqCst, Ordering::SeqCst).is_ok() {
                return vec![Step::Silence];
            }
            vec![Step::Pause(Duration::from_millis(2)), Step::Tokens(0..3), Step::Finish(3)]
        })
        .await;
        addresses.push(engine.address);
        engines.push(engine);
    }
    let daemon = Daemon::start(vms("wording-llm", &addresses), None).await;
    // The daemon learns the usual times, and earns the budget of a hedge.
    for _ in 0..200 {
        let events = daemon.online.complete(completion("hello")).await.unwrap();
        expect_that!(text(events).await, ok(eq(&tokens(3))));
    }
    let before = engines.iter().map(|engine| engine.requests(POST, PATH).len()).sum::<usize>();
    stuck.store(1, Ordering::SeqCst);
    let events = timeout(HANG_TIMEOUT, daemon.online.complete(completion("hello"))).await.unwrap();
    expect_that!(text(events.unwrap()).await, ok(eq(&tokens(3))));
    let after = engines.iter().map(|engine| engine.requests(POST, PATH).len()).sum::<usize>();
    expect_that!(after - before, eq(2));
    let cancelled = async {
        loop {
            if engines.iter().any(|engine| !engine.requests("DELETE", "/v1/streams/").is_empty()) {
                return;
            }
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(HANG_TIMEOUT, cancelled).await.unwrap();
}
