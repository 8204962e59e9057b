//! Polling of the upstreams' load reports and cache events.

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

/// Guards against cache events that are never read again after an engine restarts, when it numbers
/// its load reports and cache events from the beginning again.
#[gtest]
#[tokio::test]
async fn restarted_engine() {
    let load_sequence = Arc::new(AtomicU64::new(9));
    let current = Arc::clone(&load_sequence);
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
    let count_reads = |after: u64| {
        let path = format!("/v1/cache-events?after={after}");
        engine.requests("GET", &path).len()
    };
    for (after, min_reads) in [(0, 1), (7, 1), (0, 2)] {
        if min_reads == 2 {
            // A lower sequence number of the load report shows that the engine has restarted.
            load_sequence.store(1, Ordering::SeqCst);
        }
        for _ in 0..2_000 {
            if count_reads(after) >= min_reads {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        expect_that!(count_reads(after), ge(min_reads));
    }
}
