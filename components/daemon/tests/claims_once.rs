//! Guards against non-idempotent requests that run twice or lose their answer.

mod durable;

use std::time::Duration;

use bytes::Bytes;
use cyclamengrade_daemon::{
    claims::{Answer, Claims, Decision, Outcome},
    lease::Keeper,
    node::Clock,
};
use durable::{LONG, Platform, eventually, settings};
use googletest::prelude::*;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Claims of a daemon, and the keeper of its lease, which ends with it.
struct Daemon {
    claims: Claims,
    keeper: Keeper,
}

#[allow(clippy::unwrap_used)]
async fn daemon(platform: &Platform, name: &str) -> Daemon {
    let settings = settings(name);
    let clock = Clock::new();
    let keeper = Keeper::start(platform.table.clone(), clock, name, &settings.lease);
    let (table, objects) = (platform.table.clone(), platform.objects.clone());
    let claims = Claims::start(table, objects, clock, name, &settings.lease, keeper.state());
    let mut state = keeper.state();
    timeout(LONG, state.wait_for(|state| state.epoch.is_some())).await.unwrap().unwrap();
    // The claims hear of the lease a moment later.
    eventually(async || match claims.begin("warm-up", name, "d").await {
        Decision::Refused => None,
        _ => Some(()),
    })
    .await;
    Daemon { claims, keeper }
}

fn answer(body: impl Into<Bytes>) -> Answer {
    Answer { status: 200, content_type: Some("text/plain".into()), body: body.into() }
}

#[allow(clippy::panic)]
async fn run(claims: &Claims, key: &str) -> cyclamengrade_daemon::claims::Permit {
    match claims.begin("himal", key, "d").await {
        Decision::Run(permit) => permit,
        other => panic!("{other:?}"),
    }
}

#[gtest]
#[tokio::test]
async fn resend() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let second = daemon(&platform, "entry-1").await;
    let permit = run(&first.claims, "order-1").await;
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
    // The key belongs to one client.
    expect_that!(second.claims.begin("tessiture", "order-1", "d").await, pat!(Decision::Run(_)));
}

/// Bodies that are large or no text come back as they were.
#[gtest]
#[tokio::test]
async fn bodies() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    let large: Vec<u8> = (0..100_000_u32).map(|byte| (byte % 251) as u8).collect();
    for (key, body) in [("a", vec![]), ("b", vec![0xff, 0x00, 0x7f]), ("c/../d", large)] {
        let permit = run(&claims, key).await;
        claims.finish(permit, Outcome::Done(answer(body.clone()))).await;
        let done = Decision::Done(answer(body));
        expect_that!(claims.begin("himal", key, "d").await == done, is_true());
    }
}

/// A request that certainly did not run frees its key; one with an unknown outcome never does.
#[gtest]
#[tokio::test]
async fn other_ends() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    let permit = run(&claims, "k").await;
    claims.finish(permit, Outcome::NotRun).await;
    let permit = run(&claims, "k").await;
    claims.finish(permit, Outcome::Unknown).await;
    expect_that!(claims.begin("himal", "k", "d").await, eq(&Decision::OutcomeUnknown));
}

/// Of many resends at two daemons at the same time, exactly one runs.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_time() {
    let platform = Platform::new();
    let daemons = [daemon(&platform, "entry-0").await, daemon(&platform, "entry-1").await];
    let commits = platform.table.commits();
    let mut begins = JoinSet::new();
    for index in 0..400 {
        let claims = daemons[index % 2].claims.clone();
        let key = format!("order-{}", index % 20);
        begins.spawn(
            async move { matches!(claims.begin("himal", &key, "d").await, Decision::Run(_)) },
        );
    }
    let begun = timeout(LONG, begins.join_all()).await.unwrap();
    expect_that!(begun.into_iter().filter(|run| *run).count(), eq(20));
    let commits = platform.table.commits() - commits;
    println!("20 keys, 400 requests: {commits} commits");
    expect_that!(commits, lt(100));
}

/// Claims that come up together go into one transaction.
#[gtest]
#[tokio::test]
async fn group_commit() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    platform.table.memory.faults().set_slow(Duration::from_millis(20));
    let commits = platform.table.commits();
    let mut begins = JoinSet::new();
    for index in 0..200 {
        let claims = claims.clone();
        begins.spawn(async move {
            let key = format!("order-{index}");
            matches!(claims.begin("himal", &key, "d").await, Decision::Run(_))
        });
    }
    let begun = timeout(LONG, begins.join_all()).await.unwrap();
    expect_that!(begun.iter().all(|run| *run), is_true());
    let commits = platform.table.commits() - commits;
    println!("200 claims: {commits} commits");
    expect_that!(commits, le(8));
}

/// A claim whose holder is gone without an answer ends as unknown and never runs again.
#[gtest]
#[tokio::test]
async fn dead_holder() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let second = daemon(&platform, "entry-1").await;
    let _permit = run(&first.claims, "k").await;
    drop(first);
    expect_that!(second.claims.begin("himal", "k", "d").await, eq(&Decision::InProgress));
    let begun = eventually(async || match second.claims.begin("himal", "k", "d").await {
        Decision::InProgress => None,
        other => Some(other),
    });
    expect_that!(begun.await, eq(&Decision::OutcomeUnknown));
    expect_that!(second.claims.begin("himal", "k", "d").await, eq(&Decision::OutcomeUnknown));
}

/// The same for a daemon that starts anew under its name, which needs not wait for the lease.
#[gtest]
#[tokio::test]
async fn raised_epoch() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let _permit = run(&first.claims, "k").await;
    drop(first);
    let again = daemon(&platform, "entry-0").await;
    expect_that!(again.claims.begin("himal", "k", "d").await, eq(&Decision::OutcomeUnknown));
}

/// While the table is down, requests are refused as not run, and outcomes are recorded later.
#[gtest]
#[tokio::test]
async fn table_down() {
    let platform = Platform::new();
    let first = daemon(&platform, "entry-0").await;
    let permit = run(&first.claims, "k").await;
    platform.table.memory.faults().set_down(true);
    expect_that!(first.claims.begin("himal", "l", "d").await, eq(&Decision::Refused));
    first.claims.finish(permit, Outcome::Done(answer("printed"))).await;
    // Longer than the lease.
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
    // The refused requests left no claim behind.
    expect_that!(second.claims.begin("himal", "l", "d").await, pat!(Decision::Run(_)));
    drop(first.keeper);
}

/// The reply to a claim or to its outcome is lost after the effect.
#[gtest]
#[tokio::test]
async fn lost_replies() {
    let platform = Platform::new();
    let claims = daemon(&platform, "entry-0").await.claims;
    for number in 0..4 {
        platform.table.lose(platform.table.commits() + number % 2);
        let key = format!("k{number}");
        let permit = run(&claims, &key).await;
        claims.finish(permit, Outcome::Done(answer("printed"))).await;
        let done = Decision::Done(answer("printed"));
        expect_that!(claims.begin("himal", &key, "d").await, eq(&done));
    }
}
