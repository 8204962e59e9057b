//! Upstreams that name a limit on the requests that they take from all relays together.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use cyclamengrade_control::{hash, relay::shard};
use cyclamengrade_standins::{
    bridge::{Harness, Runner},
    client::Client,
};
use googletest::prelude::*;
use tokio::time::sleep;

/// Limit that the upstreams of these tests name, in requests a second.
const LIMIT: f64 = 2.0;
/// The same in a test with a frozen broker.
const HIGH_LIMIT: f64 = 20.0;
/// Number of times that the broker is frozen, within a window.
const FREEZES: usize = 3;
/// Time from the first naming of a limit until it binds.
const CONTACT: Duration = Duration::from_secs(3);
/// Span of time in which the requests at an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most requests that an upstream may get in a window: one and a half times its limit, and
/// five.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the largest number of requests that reached a runner within one window after `from`.
fn most_in_window(runner: &Runner, from: Instant) -> usize {
    let runs = runner.runs();
    let starts: Vec<Instant> =
        runs.iter().map(|run| run.started).filter(|start| *start >= from).collect();
    let in_window = |first: &Instant| {
        starts.iter().filter(|start| **start >= *first && **start < *first + WINDOW).count()
    };
    starts.iter().map(in_window).max().unwrap_or(0)
}

/// Outcomes of the requests of a test.
#[derive(Clone, Default)]
struct Outcomes {
    served: Arc<AtomicUsize>,
    refused: Arc<AtomicUsize>,
}

/// Sends requests for short streams to the given relays in turn for a time, without waiting for their
/// responses.
async fn load(harness: &Harness, relays: &[usize], rate: u32, time: Duration) -> Outcomes {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let outcomes = Outcomes::default();
    let begin = Instant::now();
    while begin.elapsed() < time {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let relay = relays[number % relays.len()];
        let call = harness
            .call(relay, "stream", &format!("r-{number}"))
            .with_header("token-counts", "10,2");
        let outcomes = outcomes.clone();
        tokio::spawn(async move {
            match Client::new().send(call).await {
                Ok(reply) if reply.status == 200 => outcomes.served.fetch_add(1, Ordering::Relaxed),
                _ => outcomes.refused.fetch_add(1, Ordering::Relaxed),
            }
        });
        sleep(Duration::from_secs(1) / rate).await;
    }
    outcomes
}

/// Guards against upstreams that get more requests than they take from all relays together, because
/// each relay counts only its own or none does.
#[gtest]
#[tokio::test]
async fn all_limited() -> Result<()> {
    let harness = Harness::start(3).await?;
    for runner in &harness.runners {
        runner.set_limit(Some(LIMIT));
    }
    let begin = Instant::now();
    let outcomes = load(&harness, &[0, 1, 2], 20, CONTACT + WINDOW * 2).await;
    for runner in &harness.runners {
        expect_that!(most_in_window(runner, begin + CONTACT), le(allowed(LIMIT)));
    }
    // A limit is not a reason to stop sending.
    verify_that!(outcomes.served.load(Ordering::Relaxed), ge(20))
}

/// Guards against a limit that is forgotten when the relay that grants the slots is killed or all
/// relays restart one after the other, and against two relays that both grant for a while.
#[gtest]
#[tokio::test]
async fn killed_relays() -> Result<()> {
    let mut harness = Harness::start(3).await?;
    for runner in &harness.runners {
        runner.set_limit(Some(LIMIT));
    }
    let begin = Instant::now();
    load(&harness, &[0, 1, 2], 20, CONTACT).await;
    for killed in 0..3 {
        harness.kill_relay(killed)?;
        let others = [(killed + 1) % 3, (killed + 2) % 3];
        load(&harness, &others, 20, Duration::from_millis(1_500)).await;
        harness.start_relay(killed)?;
        harness.await_ready(killed).await?;
        load(&harness, &[0, 1, 2], 20, Duration::from_millis(1_500)).await;
    }
    for runner in &harness.runners {
        expect_that!(most_in_window(runner, begin + CONTACT), le(allowed(LIMIT)));
    }
    Ok(())
}

/// Guards against requests that wait or are refused because one of two upstreams is at its limit, and
/// against a limit that stays in force after the upstream has ceased to name it.
#[gtest]
#[tokio::test]
async fn one_limited() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.runners[0].set_limit(Some(LIMIT));
    let outcomes = load(&harness, &[0, 1], 20, CONTACT).await;
    expect_that!(outcomes.refused.load(Ordering::Relaxed), eq(0));
    harness.runners[0].set_limit(None);
    // The next request that the limit allows shows that it has ended.
    load(&harness, &[0, 1], 20, Duration::from_secs(1)).await;
    let before = harness.runners[0].runs().len();
    load(&harness, &[0, 1], 20, Duration::from_secs(2)).await;
    // About half of 40 requests.
    verify_that!(harness.runners[0].runs().len() - before, ge(10))
}

/// Guards against callers who wait although all upstreams are at their limits, and against a refusal
/// without the time to come back.
#[gtest]
#[tokio::test]
async fn refusal() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.set_limit(Some(0.2));
    }
    load(&harness, &[0], 20, Duration::from_secs(2)).await;
    let begin = Instant::now();
    let reply = harness.stream(0, "stream", "next", 2).await?;
    expect_that!(reply.status, eq(503));
    expect_that!(begin.elapsed(), lt(Duration::from_millis(200)));
    verify_that!(reply.headers.contains_key("retry-after"), eq(true))
}

/// Returns the relay that grants the requests to the upstreams of these tests.
fn broker(harness: &Harness) -> Option<usize> {
    let names: Vec<String> = (0..harness.relays()).map(|number| format!("vm-{number}")).collect();
    let key = format!("broker {}", shard::id("model", 0));
    let owner = hash::owner(names.iter().map(String::as_str), &key)?;
    names.iter().position(|name| name == owner)
}

/// Guards against a broker that wakes up and grants what the limit gained meanwhile, although another one has
/// granted it.
#[gtest]
#[tokio::test]
async fn woken_broker() -> Result<()> {
    let harness = Harness::start(3).await?;
    for runner in &harness.runners {
        runner.set_limit(Some(HIGH_LIMIT));
    }
    let broker = broker(&harness).unwrap_or_default();
    let begin = Instant::now();
    let freezes = async {
        sleep(CONTACT).await;
        for _ in 0..FREEZES {
            harness.pause_relay(broker)?;
            sleep(Duration::from_millis(1_000)).await;
            harness.resume_relay(broker)?;
            sleep(Duration::from_millis(300)).await;
        }
        Ok::<_, cyclamengrade_standins::fleet::Error>(())
    };
    let (frozen, _) = tokio::join!(freezes, load(&harness, &[0, 1, 2], 240, CONTACT + WINDOW * 2));
    frozen?;
    for runner in &harness.runners {
        expect_that!(most_in_window(runner, begin + CONTACT), le(allowed(HIGH_LIMIT)));
    }
    Ok(())
}
