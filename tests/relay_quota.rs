//! Tests of the quotas of client accounts over several relays that stop.

use std::time::{Duration, Instant};

use cyclamengrade_control::hash;
use cyclamengrade_standins::{
    bridge::{Faults, Harness},
    client::Client,
};
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
/// Requests a second and burst in tests with relays that are frozen or start again.
const LARGE_RATE: f64 = 100.0;
const LARGE_BURST: f64 = 300.0;
/// Requests a second that soon use up the burst.
const HIGH_LOAD: f64 = 700.0;
/// Time in which an empty bucket becomes full under a tenth of the rate.
const FILL_TIME: Duration = Duration::from_millis(3_500);
/// Time in which the requests of an account are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Time after which a killed relay starts again.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// Time for which a stopping relay accepts connections, in milliseconds.
const LEAVE_MS: u64 = 3_000;

/// Starts relays with an account that has a quota.
async fn start(relays: usize) -> Result<Harness> {
    start_with(relays, RATE, BURST).await
}

/// The same with another quota.
async fn start_with(relays: usize, rate: f64, burst: f64) -> Result<Harness> {
    let mut harness = Harness::start(0).await?;
    harness.leave_ms = LEAVE_MS;
    harness.accounts =
        json!([{"Name": "alba", "ApiKeys": [KEY], "RatePerS": rate, "Burst": burst}]);
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

/// Returns how many requests of an account may run in a window.
fn bound(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0
}

/// Sends requests to all relays at `rate` a second for `time`, and once more each time after all relays were killed and
/// have started again, `restarts` times. Returns their statuses.
async fn send_over_restarts(
    harness: &mut Harness,
    restarts: usize,
    rate: f64,
    time: Duration,
) -> Result<Vec<u16>> {
    let relays: Vec<usize> = (0..harness.relays()).collect();
    let mut statuses = send(harness, "load-0", &relays, rate, time).await?;
    for number in 1..=restarts {
        harness.kill_relays(&relays)?;
        sleep(DOWN_TIME).await;
        for relay in &relays {
            harness.start_relay(*relay)?;
        }
        statuses.extend(send(harness, &format!("load-{number}"), &relays, rate, time).await?);
    }
    Ok(statuses)
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

/// Guards against an owner that wakes up and grants the burst that its bucket gained meanwhile, although its
/// substitute has granted it. It is frozen with a full bucket, for a time near that after which the others turn to the
/// substitute, and for a longer one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn woken_owner() -> Result<()> {
    for frozen_ms in [1_000, 3_400] {
        let harness = start_with(3, LARGE_RATE, LARGE_BURST).await?;
        let owner = owners(&harness)[0];
        send(&harness, "calm", &[0, 1, 2], LARGE_RATE / 10.0, FILL_TIME).await?;
        harness.pause_relay(owner)?;
        let wake = async {
            sleep(Duration::from_millis(frozen_ms)).await;
            harness.resume_relay(owner)
        };
        let load = send(&harness, "hot", &[0, 1, 2], HIGH_LOAD, Duration::from_millis(5_500));
        let (woken, replies) = tokio::join!(wake, load);
        woken?;
        let most = most_in_window(&harness) as f64;
        expect_that!(most, le(bound(LARGE_RATE, LARGE_BURST)), "{frozen_ms} ms");
        // The account still gets its quota.
        let admitted = replies?.into_iter().filter(|status| *status == 200).count();
        expect_that!(
            admitted as f64,
            ge((LARGE_BURST + LARGE_RATE * 5.5) * 0.95),
            "{frozen_ms} ms"
        );
    }
    Ok(())
}

/// Guards against relays that start without knowing each other, of which each grants a part of the burst that their
/// predecessors have granted.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_relays() -> Result<()> {
    for restarts in [1, 2] {
        let mut harness = start_with(3, LARGE_RATE, LARGE_BURST).await?;
        send(&harness, "calm", &[0, 1, 2], LARGE_RATE / 10.0, FILL_TIME).await?;
        let time = Duration::from_millis(1_200);
        send_over_restarts(&mut harness, restarts, HIGH_LOAD, time).await?;
        let most = most_in_window(&harness) as f64;
        expect_that!(most, le(bound(LARGE_RATE, LARGE_BURST)), "{restarts} restarts");
    }
    Ok(())
}

/// Guards against requests within the quota that relays reject after a restart because they do not know what their
/// predecessors have granted, or do not know each other yet. The second time the store is slow, so that the
/// configuration is known for a while before the other relays are.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_within() -> Result<()> {
    for (delay_ms, expected) in [(0, 450), (240, 350)] {
        let mut harness = start_with(3, LARGE_RATE, LARGE_RATE).await?;
        let delay = Duration::from_millis(delay_ms);
        harness.store.set_faults(Faults { delay, ..Faults::default() });
        let rate = LARGE_RATE * 0.9;
        let statuses = send_over_restarts(&mut harness, 2, rate, Duration::from_secs(2)).await?;
        expect_that!(statuses.len(), ge(expected), "{delay_ms} ms");
        expect_that!(statuses, not(contains(eq(&429))), "{delay_ms} ms");
    }
    Ok(())
}
