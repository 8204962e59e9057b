//! Reads of the upstreams' load and cache events.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use googletest::prelude::*;
use support::{
    engine::{Engine, Step},
    node::{self, Daemon, vms},
};
use tokio::{
    runtime::Handle,
    time::{Duration, sleep},
};

/// Guards against cache events that are never read again after an engine has started anew and
/// numbers them from the beginning.
#[gtest]
#[tokio::test]
async fn restarted_engine() {
    let sequence = Arc::new(AtomicU64::new(9));
    let current = Arc::clone(&sequence);
    let engine = Engine::start_with(
        |_| Vec::new(),
        move |request| {
            if request.path.starts_with("/v1/cache-events") {
                let body = r#"{"events":[{"number":7,"prefix":"0f","stored":true}]}"#;
                return vec![Step::Response(200, body)];
            }
            let load = format!(
                r#"{{"sequence":{},"age_ms":0,"running":0,"queued":0,"slots":8,
                    "models":["m@1"],"leaving":false}}"#,
                current.load(Ordering::SeqCst)
            );
            vec![Step::Response(200, load.leak())]
        },
    )
    .await;
    let mut settings = node::settings();
    settings.timers.load_poll_ms = 10;
    let vms = vms("wording-llm", &[engine.address]);
    let _daemon = Daemon::start_on(Handle::current(), vms, None, settings).await;
    let reads = |after: u64| {
        let path = format!("/v1/cache-events?after={after}");
        engine.requests("GET", &path).len()
    };
    for (after, wanted) in [(0, 1), (7, 1), (0, 2)] {
        if wanted == 2 {
            sequence.store(1, Ordering::SeqCst);
        }
        for _ in 0..2_000 {
            if reads(after) >= wanted {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        expect_that!(reads(after), ge(wanted));
    }
}
