//! Requests that end the upstreams that run them, by a part of their prompt.

use std::time::{Duration, Instant};

use cyclamengrade_standins::{
    bridge::{Fault, Harness},
    client::{Call, Client},
};
use googletest::prelude::*;
use serde_json::json;
use tokio::time::sleep;

/// Part that all requests share.
const COMMON: &str = "c0ffee:10";
/// Part under which upstreams crash.
const FATAL: &str = "dead01:5";
/// Time after the last crash that may happen from which such requests may no longer be sent.
const CONTAINMENT: Duration = Duration::from_secs(3);

/// Builds a request for a short stream whose prompt has the given parts and one of its own.
fn request(harness: &Harness, relay: usize, id: &str, parts: &[&str]) -> Call {
    harness
        .call(relay, "stream", id)
        .with_header("token-counts", "10,3")
        .with_header("prompt-prefix", format!("{},{id}:3", parts.join(",")))
}

/// Starts relays with five runners that crash under the fatal part.
async fn start(relays: usize) -> Result<Harness> {
    let mut harness = Harness::start(relays).await?;
    for number in 3..=5 {
        let runner = harness.add_runner(&format!("m-{number}"), "v1", "a").await?;
        for relay in 0..relays {
            harness.list(&runner, relay).await?;
        }
    }
    for runner in &harness.runners {
        runner.crash_under(FATAL);
    }
    // Requests with the common part were served before.
    for relay in 0..relays {
        let call = request(&harness, relay, &format!("first-{relay}"), &[COMMON]);
        expect_that!(harness.send(call).await?.status, eq(200));
    }
    Ok(harness)
}

/// Sends requests with the fatal part until the part is quarantined and they are refused as not run.
/// A 503 alone may also mean that all upstreams are down.
async fn provoke(harness: &Harness) -> Result<()> {
    for number in 0..40 {
        let call = request(harness, 0, &format!("bad-{number}"), &[COMMON, FATAL]);
        let reply = harness.send(call).await;
        let is_quarantined = !harness.events(0, "part_quarantined").is_empty();
        if reply.is_ok_and(|reply| reply.status == 503)
            && is_quarantined
            && all_upstreams_serve(harness).await
        {
            return Ok(());
        }
        sleep(Duration::from_millis(100)).await;
    }
    fail!("requests with the fatal part are still sent")
}

/// Returns the number of runs that started later than allowed after crash number `last`, of requests
/// whose ids begin with `prefix`.
fn late_runs(harness: &Harness, prefix: &str, last: usize) -> usize {
    let mut crashes: Vec<Instant> =
        harness.runners.iter().flat_map(|runner| runner.crashes()).collect();
    crashes.sort_unstable();
    let Some(last) = crashes.get(last - 1) else { return 0 };
    let runs = harness.runners.iter().flat_map(|runner| runner.runs());
    let late = runs.filter(|run| run.id.starts_with(prefix) && run.started > *last + CONTAINMENT);
    late.count()
}

/// Waits until a runner that was down has started again. Returns whether none has crashed meanwhile.
async fn all_upstreams_serve(harness: &Harness) -> bool {
    let crashes = || harness.runners.iter().flat_map(|runner| runner.crashes()).collect::<Vec<_>>();
    let before = crashes().len();
    sleep(Duration::from_millis(1_500)).await;
    crashes().len() == before
}

/// Guards against requests that end one upstream after the other, at all relays, because each crash
/// is taken for a fault of the upstream; and against refusing sound requests instead.
#[gtest]
#[tokio::test]
async fn fatal_requests() -> Result<()> {
    let harness = start(3).await?;
    let begin = Instant::now();
    let (mut sound, mut served) = (0, 0);
    for number in 0..90 {
        let call = request(&harness, number % 3, &format!("bad-{number}"), &[COMMON, FATAL]);
        tokio::spawn(async move { Client::new().send(call).await });
        sleep(Duration::from_millis(50)).await;
        let call = request(&harness, number % 3, &format!("good-{number}"), &[COMMON]);
        let reply = harness.send(call).await;
        if begin.elapsed() > CONTAINMENT * 2 {
            sound += 1;
            served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
        }
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(late_runs(&harness, "bad", 5), le(3));
    expect_that!(sound, ge(20));
    verify_that!(served, ge(sound / 2))
}

/// Guards against holding a request that will not be sent, and against an answer without the time to
/// come back.
#[gtest]
#[tokio::test]
async fn refusal() -> Result<()> {
    let harness = start(1).await?;
    provoke(&harness).await?;
    let runs = || harness.runners.iter().map(|runner| runner.runs().len()).sum::<usize>();
    let before = runs();
    let start = Instant::now();
    let reply = harness.send(request(&harness, 0, "bad", &[FATAL])).await?;
    let names = ["attempt_failed", "part_blamed", "part_suspect", "part_quarantined"];
    let log = names.map(|name| harness.events(0, name));
    expect_that!(reply.status, eq(503), "{log:#?}");
    expect_that!(reply.headers.contains_key("retry-after"), eq(true));
    expect_that!(start.elapsed(), lt(Duration::from_millis(200)));
    expect_that!(runs(), eq(before));
    let reply = harness.send(request(&harness, 0, "good", &[COMMON])).await?;
    verify_that!(reply.status, eq(200))
}

/// Guards against taking a crash for a broken connection because the upstream still accepts
/// connections for a moment.
#[gtest]
#[tokio::test]
async fn late_listener() -> Result<()> {
    let harness = start(1).await?;
    for runner in &harness.runners {
        runner.delay_listener(Duration::from_millis(30));
    }
    provoke(&harness).await
}

/// Guards against relays that forget the part when all of them restart, and against relays that start
/// later and do not know it.
#[gtest]
#[tokio::test]
async fn restarted_relays() -> Result<()> {
    let mut harness = start(2).await?;
    provoke(&harness).await?;
    for relay in 0..2 {
        harness.kill_relay(relay)?;
    }
    for relay in 0..2 {
        harness.start_relay(relay)?;
        harness.await_ready(relay).await?;
    }
    harness.add_relay(2)?;
    harness.await_ready(2).await?;
    let crashes = || harness.runners.iter().map(|runner| runner.crashes().len()).sum::<usize>();
    let before = crashes();
    for relay in 0..3 {
        let id = format!("after-{relay}");
        let reply = harness.send(request(&harness, relay, &id, &[COMMON, FATAL])).await?;
        expect_that!(reply.status, eq(503), "relay {relay}");
        let reply =
            harness.send(request(&harness, relay, &format!("good-{relay}"), &[COMMON])).await?;
        expect_that!(reply.status, eq(200), "relay {relay}");
    }
    verify_that!(crashes(), eq(before))
}

/// Guards against an item that is held or given up because upstreams crashed under it, and against
/// refusing callers' requests that have a part of their prompt in common with it: items are never the
/// cause.
#[gtest]
#[tokio::test]
async fn items_under_crashes() -> Result<()> {
    let harness = start(1).await?;
    let items = [("sound", COMMON), ("unlucky", FATAL)];
    let status = harness.submit_prompts(0, "j-1", &items, 3).await?;
    expect_that!(status, eq(202));
    harness
        .eventually("five crashes", async || {
            let crashes = harness.runners.iter().map(|runner| runner.crashes().len());
            (crashes.sum::<usize>() >= 5).then_some(())
        })
        .await?;
    for runner in &harness.runners {
        runner.mend();
    }
    sleep(CONTAINMENT).await;
    let page: serde_json::Value = harness.results(0, "j-1", 0).await?.json()?;
    expect_that!(page["Results"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(page["Results"][1]["State"], eq(&json!("completed")));
    let reply = harness.send(request(&harness, 0, "caller", &[COMMON, FATAL])).await?;
    verify_that!(reply.status, eq(200))
}

/// Guards against items that are not run because callers' requests with a part of their prompt ended
/// upstreams.
#[gtest]
#[tokio::test]
async fn items_with_quarantined_part() -> Result<()> {
    let harness = start(1).await?;
    provoke(&harness).await?;
    for runner in &harness.runners {
        runner.mend();
    }
    let items = [("sound", COMMON), ("owed", FATAL)];
    let status = harness.submit_prompts(0, "j-1", &items, 3).await?;
    expect_that!(status, eq(202));
    sleep(CONTAINMENT).await;
    let page: serde_json::Value = harness.results(0, "j-1", 0).await?.json()?;
    verify_that!(page["Results"].as_array().map(Vec::len), some(eq(2)))
}

/// Guards against taking connections that break off under upstreams that go on serving for crashes.
#[gtest]
#[tokio::test]
async fn broken_connections() -> Result<()> {
    let harness = Harness::start(1).await?;
    for number in 0..6 {
        for runner in &harness.runners {
            runner.queue_faults(&[Fault::CutAfter(0)]);
        }
        let call = request(&harness, 0, &format!("cut-{number}"), &["abcd:5"]);
        expect_that!(harness.send(call).await?.status, eq(502));
    }
    let reply = harness.send(request(&harness, 0, "next", &["abcd:5"])).await?;
    verify_that!(reply.status, eq(200))
}

/// Guards against a request without a prompt that is sent again and again, at all relays, and ends one
/// upstream after the other; and against refusing other requests of its route instead.
#[gtest]
#[tokio::test]
async fn repeated_request() -> Result<()> {
    let mut harness = start(3).await?;
    harness.configure(json!([{
        "Name": "print", "Host": "calls.example", "PathPrefix": "/print/", "Kind": "safe",
        "TimeoutMs": 2_000, "TargetLatencyMs": 400, "MaxAttempts": 3, "Service": "model"
    }]));
    for runner in &harness.runners {
        runner.crash_under_body("fatal");
    }
    sleep(Duration::from_secs(2)).await;
    let begin = Instant::now();
    let (mut sound, mut served) = (0, 0);
    for number in 0..90 {
        let call = harness.call(number % 3, "print", &format!("bad-{number}")).with_body("fatal");
        tokio::spawn(async move { Client::new().send(call).await });
        sleep(Duration::from_millis(50)).await;
        let call = harness.call(number % 3, "print", &format!("good-{number}"));
        let reply = harness.send(call).await;
        if begin.elapsed() > CONTAINMENT * 2 {
            sound += 1;
            served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
        }
        sleep(Duration::from_millis(50)).await;
    }
    let crashes: usize = harness.runners.iter().map(|runner| runner.crashes().len()).sum();
    expect_that!(crashes, ge(3));
    expect_that!(late_runs(&harness, "bad", 3), le(3));
    expect_that!(sound, ge(20));
    verify_that!(served, ge(sound / 2))
}
