//! Tests of the quotas of client accounts over several relays that stop.

use std::time::{Duration, Instant};

use cyclamengrade_control::hash;
use cyclamengrade_standins::{bridge::Harness, client::Client};
use googletest::prelude::*;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

const KEY: &str = "kxalba-1";
/// Requests a second and burst of the account.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;
/// Time in which the requests of an account are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Time for which a stopping relay accepts connections, in milliseconds.
const LEAVE_MS: u64 = 3_000;

/// Starts relays with an account that has a quota.
async fn start(relays: usize) -> Result<Harness> {
    let mut harness = Harness::start(0).await?;
    harness.leave_ms = LEAVE_MS;
    harness.accounts =
        json!([{"Name": "alba", "ApiKeys": [KEY], "RatePerS": RATE, "Burst": BURST}]);
    harness.configure(json!([]));
    for number in 0..relays {
        harness.add_relay(number)?;
    }
    for number in 0..relays {
        harness.await_ready(number).await?;
    }
    // The relays learn of each other.
    sleep(Duration::from_millis(700)).await;
    Ok(harness)
}

/// Returns the relays in the order in which they own the quota of the account.
fn owners(harness: &Harness) -> Vec<usize> {
    let names: Vec<String> = (0..harness.relays()).map(|number| format!("vm-{number}")).collect();
    let order = hash::subset(names.iter().map(String::as_str), "account alba", names.len());
    order.iter().filter_map(|name| names.iter().position(|other| other == name)).collect()
}

/// Sends requests to these relays by turns at `rate` a second for `time`, whose ids begin with `prefix`. Returns
/// their statuses; those that get no answer are left out.
async fn send(
    harness: &Harness,
    prefix: &str,
    relays: &[usize],
    rate: f64,
    time: Duration,
) -> Result<Vec<u16>> {
    let client = Client::new();
    let mut calls = JoinSet::new();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let start = Instant::now();
    for (number, relay) in relays.iter().cycle().enumerate() {
        ticks.tick().await;
        if start.elapsed() >= time {
            break;
        }
        let call = harness.call(*relay, "safe", &format!("{prefix}-{number}"));
        let call = call.with_header("authorization", format!("Token {KEY}"));
        let client = client.clone();
        calls.spawn(async move { client.send(call).await });
    }
    let replies = calls.join_all().await;
    Ok(replies.into_iter().flatten().map(|reply| reply.status).collect())
}

/// Returns the most requests that ran in a window.
fn most_in_window(harness: &Harness) -> usize {
    let mut starts: Vec<Instant> = harness.plain.runs().iter().map(|run| run.started).collect();
    starts.sort_unstable();
    let in_window = |(number, first): (usize, &Instant)| {
        starts.partition_point(|start| *start < *first + WINDOW) - number
    };
    starts.iter().enumerate().map(in_window).max().unwrap_or(0)
}

async fn stop_in_turn(harness: &Harness, relays: &[usize]) -> Result<()> {
    for relay in relays {
        sleep(Duration::from_millis(900)).await;
        harness.terminate_relay(*relay)?;
    }
    Ok(())
}

/// Guards against a relay that goes on to own a quota while it stops, beside its successor, which would run
/// more requests than the quota allows. The owners stop one after the other, so that their times overlap.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_owners() -> Result<()> {
    let harness = start(4).await?;
    let order = owners(&harness);
    let relays: Vec<usize> = (0..harness.relays()).collect();
    send(&harness, "calm", &relays, RATE / 2.0, Duration::from_secs(2)).await?;
    let stops = stop_in_turn(&harness, &order[..3]);
    let load = send(&harness, "hot", &relays, RATE * 5.0, Duration::from_millis(5_500));
    let (stopped, replies) = tokio::join!(stops, load);
    stopped?;
    let admitted = replies?.into_iter().filter(|status| *status == 200).count();
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    expect_that!(most_in_window(&harness) as f64, le(allowed));
    // No relay is without an owner either.
    verify_that!(admitted as f64, ge(RATE * 5.0 * 0.9))
}

/// Guards against a part of the burst from each of several owners that are killed one after the other. The requests
/// arrive at the owners themselves, so that no other relay remembers what they have granted.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_owners() -> Result<()> {
    let mut harness = start(4).await?;
    let order = owners(&harness);
    let relays: Vec<usize> = (0..harness.relays()).collect();
    send(&harness, "calm", &relays, RATE / 2.0, Duration::from_secs(2)).await?;
    for (number, owner) in order.iter().take(3).enumerate() {
        let prefix = format!("hot-{number}");
        send(&harness, &prefix, &[*owner], RATE * 5.0, Duration::from_millis(900)).await?;
        harness.kill_relay(*owner)?;
    }
    send(&harness, "last", &order[3..], RATE * 5.0, Duration::from_millis(1_500)).await?;
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    verify_that!(most_in_window(&harness) as f64, le(allowed))
}

/// Guards against requests within a quota that nobody grants because all relays stop at once, or the only one does.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_owner() -> Result<()> {
    for count in [1, 3] {
        let harness = start(count).await?;
        let relays: Vec<usize> = (0..count).collect();
        send(&harness, "calm", &relays, RATE / 2.0, Duration::from_secs(1)).await?;
        for relay in &relays {
            harness.terminate_relay(*relay)?;
        }
        let time = Duration::from_millis(LEAVE_MS / 2);
        let replies = send(&harness, "late", &relays, RATE / 2.0, time).await?;
        expect_that!(replies.len(), ge(25), "{count} relays");
        expect_that!(replies, each(eq(&200)), "{count} relays");
    }
    Ok(())
}
