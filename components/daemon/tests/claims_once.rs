//! Guards against non-idempotent requests that run twice or whose answer is lost, also when the
//! table or the daemon that ran the request fails.

mod durable;

use std::time::Duration;

use bytes::Bytes;
use cyclamengrade_daemon::{
    claims::{Answer, Claims, Decision, Outcome},
    lease::Renewer,
    node::Clock,
};
use durable::{Platform, TEST_TIMEOUT, eventually, settings};
use googletest::prelude::*;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Claims and lease of a daemon; the lease is no longer renewed once the daemon is dropped.
struct Daemon {
    claims: Claims,
    lease_renewer: Renewer,
}

#[allow(clippy::unwrap_used)]
async fn daemon(platform: &Platform, name: &str) -> Daemon {
    let settings = settings(name);
    let clock = Clock::new();
    let lease_renewer = Renewer::start(platform.table.clone(), clock, name, &settings.lease);
    let (table, objects) = (platform.table.clone(), platform.objects.clone());
    let claims = Claims::start(table, objects, clock, name, &settings.lease, lease_renewer.state());
    let mut state = lease_renewer.state();
    timeout(TEST_TIMEOUT, state.wait_for(|state| state.epoch.is_some())).await.unwrap().unwrap();
    // The recorder is informed of the lease asynchronously and refuses claims until then.
    eventually(async || match claims.begin("warm-up", name, "d").await {
        Decision::Refused => None,
        _ => Some(()),
    })
    .await;
    Daemon { claims, lease_renewer }
}

fn answer(body: impl Into<Bytes>) -> Answer {
    Answer { status: 200, content_type: Some("text/plain".into()), body: body.into() }
}

/// Claims a key that must be granted.
#[allow(clippy::panic)]
async fn claim(claims: &Claims, key: &str) -> cyclamengrade_daemon::claims::Permit {
    match claims.begin("himal", key, "d").await {
        Decision::Run(permit) => permit,
        other => panic!("{other:?}"),
    }
}

/// A repeated request must not run at any daemon and must get the recorded answer. The same key
/// with another digest must be refused.
#[gtest]
#[tokio::test]
async fn repeated_request() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let second = daemon(&platform, "entry-1").await;
    let permit = claim(&first.claims, "order-1").await;
    for claims in [&first.claims, &second.claims] {
        expect_that!(claims.begin("himal", "order-1", "d").await, eq(&Decision::InProgress));
        expect_that!(claims.begin("himal", "order-1", "other").await, eq(&Decision::Conflict));
    }
    first.claims.finish(permit, Outcome::Done(answer("printed"))).await;
    for claims in [&first.claims, &second.claims] {
        let done = Decision::Done(answer("printed"));
        expect_that!(claims.begin("himal", "order-1", "d").await, eq(&done));
        expect_that!(claims.begin("himal", "order-1", "other").await, eq(&Decision::Conflict));
    }
    // Keys of different clients are independent.
    expect_that!(second.claims.begin("tessiture", "order-1", "d").await, pat!(Decision::Run(_)));
}

/// Empty, binary and large bodies must be returned unchanged. Keys may contain slashes and dots.
#[gtest]
#[tokio::test]
async fn bodies() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    let large: Vec<u8> = (0..100_000_u32).map(|byte| (byte % 251) as u8).collect();
    for (key, body) in [("a", vec![]), ("b", vec![0xff, 0x00, 0x7f]), ("c/../d", large)] {
        let permit = claim(&claims, key).await;
        claims.finish(permit, Outcome::Done(answer(body.clone()))).await;
        let done = Decision::Done(answer(body));
        expect_that!(claims.begin("himal", key, "d").await == done, is_true());
    }
}

/// The key of a request that certainly did not run may be used again. A request with an unknown
/// outcome must never run again.
#[gtest]
#[tokio::test]
async fn ends_without_answer() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    let permit = claim(&claims, "k").await;
    claims.finish(permit, Outcome::NotRun).await;
    let permit = claim(&claims, "k").await;
    claims.finish(permit, Outcome::Unknown).await;
    expect_that!(claims.begin("himal", "k", "d").await, eq(&Decision::OutcomeUnknown));
}

/// Of many concurrent requests with the same key at two daemons, exactly one must run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_requests() {
    let platform = Platform::new();
    let daemons = [daemon(&platform, "entry-0").await, daemon(&platform, "entry-1").await];
    let commits = platform.table.commits();
    let mut requests = JoinSet::new();
    for index in 0..400 {
        let claims = daemons[index % 2].claims.clone();
        let key = format!("order-{}", index % 20);
        requests.spawn(async move {
            matches!(claims.begin("himal", &key, "d").await, Decision::Run(_))
        });
    }
    let granted = timeout(TEST_TIMEOUT, requests.join_all()).await.unwrap();
    expect_that!(granted.into_iter().filter(|granted| *granted).count(), eq(20));
    let commits = platform.table.commits() - commits;
    println!("20 keys, 400 requests: {commits} commits");
    expect_that!(commits, lt(100));
}

/// Claims that arrive while a commit is in flight must be grouped into one transaction, so that the
/// number of commits does not grow with that of the claims.
#[gtest]
#[tokio::test]
async fn group_commit() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    platform.table.memory.faults().set_slow(Duration::from_millis(20));
    let commits = platform.table.commits();
    let mut requests = JoinSet::new();
    for index in 0..200 {
        let claims = claims.clone();
        requests.spawn(async move {
            let key = format!("order-{index}");
            matches!(claims.begin("himal", &key, "d").await, Decision::Run(_))
        });
    }
    let granted = timeout(TEST_TIMEOUT, requests.join_all()).await.unwrap();
    expect_that!(granted.iter().all(|granted| *granted), is_true());
    let commits = platform.table.commits() - commits;
    println!("200 claims: {commits} commits");
    expect_that!(commits, le(8));
}

/// After the crash of a daemon, its claim must end as unknown once the lease has expired, and the
/// request must never run again.
#[gtest]
#[tokio::test]
async fn dead_holder() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let second = daemon(&platform, "entry-1").await;
    let _permit = claim(&first.claims, "k").await;
    drop(first);
    expect_that!(second.claims.begin("himal", "k", "d").await, eq(&Decision::InProgress));
    let decision = eventually(async || match second.claims.begin("himal", "k", "d").await {
        Decision::InProgress => None,
        other => Some(other),
    });
    expect_that!(decision.await, eq(&Decision::OutcomeUnknown));
    expect_that!(second.claims.begin("himal", "k", "d").await, eq(&Decision::OutcomeUnknown));
}

/// A restarted daemon must end the claims of its earlier process as unknown, without waiting for
/// the lease to expire.
#[gtest]
#[tokio::test]
async fn raised_epoch() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let _permit = claim(&first.claims, "k").await;
    drop(first);
    let restarted = daemon(&platform, "entry-0").await;
    expect_that!(restarted.claims.begin("himal", "k", "d").await, eq(&Decision::OutcomeUnknown));
}

/// While the table is down, requests must be refused as not run. An outcome that cannot be recorded
/// must be recorded once the table is available, even if the lease has lapsed.
#[gtest]
#[tokio::test]
async fn table_down() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let permit = claim(&first.claims, "k").await;
    platform.table.memory.faults().set_down(true);
    expect_that!(first.claims.begin("himal", "l", "d").await, eq(&Decision::Refused));
    first.claims.finish(permit, Outcome::Done(answer("printed"))).await;
    // The sleep is longer than the lease, which cannot be renewed.
    sleep(Duration::from_secs(3)).await;
    expect_that!(first.claims.may_dispatch(), is_false());
    expect_that!(first.claims.begin("himal", "m", "d").await, eq(&Decision::Refused));
    platform.table.memory.faults().set_down(false);
    let second = daemon(&platform, "entry-1").await;
    let done = eventually(async || match second.claims.begin("himal", "k", "d").await {
        Decision::InProgress => None,
        other => Some(other),
    });
    expect_that!(done.await, eq(&Decision::Done(answer("printed"))));
    // The refused requests have left no claim.
    expect_that!(second.claims.begin("himal", "l", "d").await, pat!(Decision::Run(_)));
    drop(first.lease_renewer);
}

/// If the reply to the write of a claim or of its outcome is lost after the write has taken effect,
/// the request must still run once and its answer must be recorded.
#[gtest]
#[tokio::test]
async fn lost_replies() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    for number in 0..4 {
        platform.table.lose_reply(platform.table.commits() + number % 2);
        let key = format!("k{number}");
        let permit = claim(&claims, &key).await;
        claims.finish(permit, Outcome::Done(answer("printed"))).await;
        let done = Decision::Done(answer("printed"));
        expect_that!(claims.begin("himal", &key, "d").await, eq(&done));
    }
}
